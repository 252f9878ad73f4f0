package beryldirector

import (
	"cmp"
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylpolicy"
	"berylglade/berylwork"
)

// leavingUnit is a unit with a run on a backend server that leaves.
type leavingUnit struct {
	job *berylbook.Job
	// ref is the unit's first task.
	ref   berylwork.Ref
	tasks []*berylbook.Task
	queue berylpolicy.Queue
	// leavesAt is the earliest time at which one of its backend servers leaves.
	leavesAt time.Time
}

// stopping reports whether a run of the unit is being stopped.
func (u *leavingUnit) stopping() bool {
	return slices.ContainsFunc(u.tasks, func(t *berylbook.Task) bool { return t.Phase == berylbook.Stopping })
}

// moveFromLeaving stops the units that can't end before one of their backend servers
// leaves, if others have capacity for them now and a new run after the departure would
// be worse. Other units stay, as the announced time is a minimum.
func (d *Director) moveFromLeaving(now time.Time) {
	spare := map[string][]berylfit.Host{}
	for _, u := range d.leavingUnits() {
		stopping := u.stopping()
		var left time.Duration
		if !stopping {
			left = d.unitLeft(now, &u)
			if !outlasts(left, u.leavesAt.Sub(now)) || !d.worseAfterDeparture(&u) {
				continue
			}
		}
		service := u.queue.Service
		if _, ok := spare[service]; !ok {
			spare[service] = d.soundHosts(now, service)
		}
		demand := demandOf(u.job, u.ref.Occurrence, u.ref.Step, len(u.tasks))
		places, ok := demand.Place(spare[service])
		if !ok {
			continue
		}
		deductResources(spare[service], places, &demand)
		if stopping {
			continue
		}
		t := u.tasks[0]
		d.note("move", "unit", u.ref.String(), "run", t.Run, "node", t.Incarnation.Node, "priority", u.queue.Priority,
			"remaining", u.leavesAt.Sub(now).Milliseconds(), "left", left.Milliseconds(), "saved", t.Checkpoint != "")
		d.stopUnit(u.ref.String())
	}
}

// outlasts reports whether a run that ends in left can't end before its backend
// server leaves, in remaining.
func outlasts(left, remaining time.Duration) bool {
	return time.Duration(_leftTolerance*float64(left)) > max(remaining, _lingerTime)
}

// worseAfterDeparture reports whether the departure costs more than a stop now: the
// work since the last checkpoint, which a stop saves, or the job's due time.
func (d *Director) worseAfterDeparture(u *leavingUnit) bool {
	return u.job.Work.Steps[u.ref.Step].Checkpoints || u.leavesAt.After(d.latestStart(u.job, u.queue, u.ref))
}

// unitLeft returns the expected time until the unit ends; zero while one of its runs
// has not been listed.
func (d *Director) unitLeft(now time.Time, u *leavingUnit) time.Duration {
	var left time.Duration
	for i := range u.tasks {
		t := u.tasks[i]
		if t.Phase != berylbook.Working || d.agents[t.Incarnation.Node] == nil {
			return 0
		}
		ref := u.ref
		ref.Index += i
		left = max(left, d.remainingTime(now, u.job, ref, t))
	}
	return left
}

// leavingUnits returns the units with runs on backend servers that leave. Those that
// are being stopped come first, as they will need the capacity that was found for
// them, and then the most urgent ones.
func (d *Director) leavingUnits() []leavingUnit {
	if d.Policy == nil {
		return nil
	}
	var nodes []string
	for node, a := range d.agents {
		if a.report.Draining {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	var units []leavingUnit
	seen := map[berylwork.Ref]int{}
	for _, node := range nodes {
		d.eachActiveOn(node, func(s activeTask) {
			leavesAt := d.agents[node].leavesAt
			if i, ok := seen[firstTask(s.job, s.ref)]; ok {
				units[i].leavesAt = earliest(units[i].leavesAt, leavesAt)
				return
			}
			u, ok := d.leavingUnitOf(s, leavesAt)
			if !ok {
				return
			}
			seen[u.ref] = len(units)
			units = append(units, u)
		})
	}
	slices.SortStableFunc(units, func(a, b leavingUnit) int {
		switch {
		case a.stopping() == b.stopping():
			return cmp.Compare(a.queue.Priority, b.queue.Priority)
		case a.stopping():
			return -1
		default:
			return 1
		}
	})
	return units
}

// leavingUnitOf returns the unit of a task on a backend server that leaves. It returns
// false if the job needs no further run, and for a long-running task, whose run has no
// end that it could miss.
func (d *Director) leavingUnitOf(s activeTask, leavesAt time.Time) (leavingUnit, bool) {
	q, ok := d.queueOf(s.job.Work)
	if !ok || s.job.State.Final() || s.job.CancelledAt != 0 || s.job.Work.Steps[s.ref.Step].LongRunning {
		return leavingUnit{}, false
	}
	ref, tasks := unitTasks(s.job, s.ref)
	return leavingUnit{job: s.job, ref: ref, tasks: tasks, queue: q, leavesAt: leavesAt}, true
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

const (
	// _leftTolerance is the part of the expected time of a run that is certain.
	// Progress is in whole percent, so that a rate is exact to some 5%.
	_leftTolerance = 0.95
	// _lingerTime is how long a backend server is taken to stay when the announced
	// minimum time has passed.
	_lingerTime = 300 * time.Millisecond
)
