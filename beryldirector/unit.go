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

// unit is what is placed together: a task, or all tasks of a gang.
type unit struct {
	job        *berylbook.Job
	queue      berylpolicy.Queue
	occurrence int
	step       int
	tasks      []int
	// due is when the job should be complete, and latest when the unit has to
	// start for that if the declared times hold.
	due    time.Time
	latest time.Time
	// promised is when runs were stopped for the unit. It is the time of the look
	// if none are being stopped, which is later than any promise.
	promised time.Time
	// from is when the job could have started at the earliest.
	from time.Time
	// chain is the declared time of the job's longest chain in milliseconds.
	chain   int64
	waiting time.Duration
}

func (u *unit) spec() *berylwork.Step { return &u.job.Work.Steps[u.step] }

func (u *unit) name() string { return unitName(u.job, u.occurrence, u.step, u.tasks[0]) }

func unitName(j *berylbook.Job, occurrence, step, index int) string {
	if j.Work.Steps[step].Gang {
		index = 0
	}
	return berylwork.Ref{Job: j.Work.ID, Occurrence: occurrence, Step: step, Index: index}.String()
}

// waitingUnits returns what may start now in the order of its claim to room.
func (d *Director) waitingUnits(now time.Time) []unit {
	var units []unit
	seen := map[string]bool{}
	capacity := map[string]int{}
	for _, j := range d.look().live {
		if j.State.Final() || j.CancelledAt != 0 {
			continue
		}
		q, ok := d.Policy.Queue(j.Work.Queue)
		if !ok {
			continue
		}
		if _, ok := capacity[q.Service]; !ok {
			capacity[q.Service] = d.capacity(q.Service)
		}
		units = jobUnits(now, j, q, capacity[q.Service], units)
	}
	for i := range units {
		name := units[i].name()
		seen[name] = true
		since, ok := d.ready[name]
		if !ok {
			since = now
			d.ready[name] = now
		}
		units[i].waiting = now.Sub(since)
		units[i].promised = now
		if at := d.promised[name]; now.Sub(at) < _promise {
			units[i].promised = at
		}
	}
	for name := range d.ready {
		if !seen[name] {
			delete(d.ready, name)
			delete(d.kept, name)
			delete(d.promised, name)
		}
	}
	// Room that is made for a unit goes to it: units that come later and have to
	// start sooner would take it, and more runs would be stopped for the first.
	// Those with the oldest promise choose first, so that they find their room at
	// each look.
	slices.SortFunc(units, func(a, b unit) int {
		return cmp.Or(
			cmp.Compare(a.queue.Priority, b.queue.Priority),
			a.promised.Compare(b.promised),
			a.latest.Compare(b.latest),
			cmp.Compare(a.job.Work.ID, b.job.Work.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step),
		)
	})
	return units
}

func jobUnits(now time.Time, j *berylbook.Job, q berylpolicy.Queue, capacity int, units []unit) []unit {
	tails := tailsOf(j.Work, capacity)
	for k := range j.Tasks {
		if j.Work.Due(k).After(now) {
			break
		}
		proto := unit{job: j, queue: q, occurrence: k}
		proto.setTimes(tails)
		for s := range j.Tasks[k] {
			if !unblocked(j, k, s) {
				continue
			}
			base := proto
			base.step = s
			base.latest = proto.due.Add(-time.Duration(tails[s]) * time.Millisecond)
			units = appendUnits(units, base, j.Tasks[k][s])
		}
	}
	return units
}

// unblocked reports whether all steps before s have ended.
func unblocked(j *berylbook.Job, occurrence, s int) bool {
	for _, before := range j.Work.Steps[s].After {
		if !j.StepDone(occurrence, before) {
			return false
		}
	}
	return true
}

func appendUnits(units []unit, base unit, tasks []berylbook.Task) []unit {
	if base.spec().Gang {
		for i := range tasks {
			if tasks[i].Phase != berylbook.Idle {
				return units
			}
			base.tasks = append(base.tasks, i)
		}
		return append(units, base)
	}
	for i := range tasks {
		if tasks[i].Phase == berylbook.Idle {
			u := base
			u.tasks = []int{i}
			units = append(units, u)
		}
	}
	return units
}

// setTimes sets when the unit's occurrence could start and should be complete, from
// the times of tailsOf.
func (u *unit) setTimes(tails []int64) {
	w := u.job.Work
	u.from = time.UnixMilli(w.Accepted)
	if w.Times > 0 {
		u.from = w.Due(u.occurrence)
	}
	for _, tail := range tails {
		u.chain = max(u.chain, tail)
	}
	allowed := time.Duration(float64(u.chain)*u.queue.Stretch) * time.Millisecond
	u.due = u.from.Add(allowed + u.queue.Target)
}

// tailsOf returns for each step the declared time of the longest chain of steps
// that begins with it, in milliseconds. A step that is wider than a quarter of
// the capacity in accelerators runs in waves.
func tailsOf(w *berylwork.Work, capacity int) []int64 {
	tails := make([]int64, len(w.Steps))
	for s := len(w.Steps) - 1; s >= 0; s-- {
		tails[s] += w.Steps[s].Estimate * waves(&w.Steps[s], capacity)
		for _, before := range w.Steps[s].After {
			if before < s {
				tails[before] = max(tails[before], tails[s])
			}
		}
	}
	return tails
}

func waves(step *berylwork.Step, capacity int) int64 {
	wave := capacity / _waveShare
	width := step.Count * step.Need.Accelerators
	if step.Gang || wave <= 0 || width <= wave {
		return 1
	}
	return int64((width + wave - 1) / wave)
}

// capacity returns the accelerators of a service.
func (d *Director) capacity(service string) int {
	n := 0
	for _, m := range d.members {
		if m.last.Service == service {
			n += m.last.Capacity.Accelerators
		}
	}
	return n
}

// demandOf returns what the placement of count tasks of a step asks for.
func demandOf(j *berylbook.Job, occurrence, step, count int) berylfit.Demand {
	spec := &j.Work.Steps[step]
	return berylfit.Demand{
		Count: count, Resources: spec.Resources(), Label: spec.Label, Rack: spec.Rack,
		OneRack: spec.OneRack, MaxPerHost: spec.MaxPerHost, Present: present(j.Tasks[occurrence][step]),
	}
}

// present counts the tasks that are on each node.
func present(tasks []berylbook.Task) map[string]int {
	n := map[string]int{}
	for i := range tasks {
		if tasks[i].Phase.Active() {
			n[tasks[i].Incarnation.Node]++
		}
	}
	return n
}
