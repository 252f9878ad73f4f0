package beryldirector

import (
	"cmp"
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylpolicy"
	"berylglade/berylrank"
	"berylglade/berylwork"
)

// unit is the unit of placement: a task, or all tasks of a gang.
type unit struct {
	job *berylbook.Job
	// queue and rank are shared by the units of a step.
	queue      *berylpolicy.Queue
	rank       *berylrank.Rank
	occurrence int
	step       int
	// tasks are the indexes of the tasks in the step.
	tasks []int
	// due is when the job should be complete, and latestStart when the unit has to
	// start for that if the expected times are right.
	due         time.Time
	latestStart time.Time
	// preemptedAt is when runs were preempted for the unit. Without a recent
	// preemption it is the time of the placement pass, which is later than any
	// recent preemption, so that the unit sorts after those that have one.
	preemptedAt time.Time
	// startableAt is the earliest time at which the job could have started.
	startableAt time.Time
	// criticalPath is the expected time of the job's longest chain of steps in
	// milliseconds.
	criticalPath int64
	// waited is for how long the unit has been ready to start.
	waited time.Duration
}

func (u *unit) stepSpec() *berylwork.Step { return &u.job.Work.Steps[u.step] }

func (u *unit) name() string { return u.ref().String() }

// ref returns the unit's first task.
func (u *unit) ref() berylwork.Ref {
	return berylwork.Ref{Job: u.job.Work.ID, Occurrence: u.occurrence, Step: u.step, Index: u.tasks[0]}
}

func unitName(j *berylbook.Job, occurrence, step, index int) string {
	return firstTask(j, berylwork.Ref{Job: j.Work.ID, Occurrence: occurrence, Step: step, Index: index}).String()
}

// firstTask returns the first task of the unit to which a task belongs.
func firstTask(j *berylbook.Job, ref berylwork.Ref) berylwork.Ref {
	if j.Work.Steps[ref.Step].Gang {
		ref.Index = 0
	}
	return ref
}

// unitTasks returns the first task and all tasks of the unit to which a task belongs.
func unitTasks(j *berylbook.Job, ref berylwork.Ref) (berylwork.Ref, []*berylbook.Task) {
	tasks := j.Step(ref.Occurrence, ref.Step)
	ref = firstTask(j, ref)
	if !j.Work.Steps[ref.Step].Gang {
		return ref, []*berylbook.Task{tasks.At(ref.Index)}
	}
	all := make([]*berylbook.Task, tasks.Len())
	for i := range all {
		all[i] = tasks.At(i)
	}
	return ref, all
}

// pendingUnits returns the units that are ready to start, in groups in the order in which
// they are placed.
func (d *Director) pendingUnits(now time.Time) [][]unit {
	groups := d.pendingGroups(now)
	// Capacity that was freed by preemption goes to the unit for which it was freed.
	// Otherwise a later unit with an earlier latest start would take it, and more
	// runs would be preempted for the first. Units with the oldest preemption are
	// placed first, so that they find their capacity in each placement pass.
	slices.SortStableFunc(groups, func(x, y []unit) int {
		a, b := &x[0], &y[0]
		return cmp.Or(
			cmp.Compare(a.queue.Priority, b.queue.Priority),
			a.preemptedAt.Compare(b.preemptedAt),
			a.rank.Compare(now, *b.rank),
			cmp.Compare(a.job.Work.ID, b.job.Work.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step),
		)
	})
	return groups
}

// pendingGroups returns the units that are ready to start. Those of a step are a group,
// which has one place in the order, except for units with a recent preemption.
func (d *Director) pendingGroups(now time.Time) [][]unit {
	var groups [][]unit
	capacity := map[string]int{}
	limit := min(max(_maxPendingUnits/max(d.readySteps, 1), 1), _maxStepUnits)
	d.readySteps = 0
	for _, j := range d.liveJobs() {
		if j.State.Final() || j.CancelledAt != 0 {
			continue
		}
		q, ok := d.queueOf(j.Work)
		if !ok {
			continue
		}
		if _, ok := capacity[q.Service]; !ok {
			capacity[q.Service] = d.capacity(q.Service)
		}
		for _, units := range d.jobUnits(now, j, &q, capacity[q.Service], limit) {
			d.readySteps++
			d.setRanks(units)
			groups = append(groups, d.noteReady(now, units)...)
		}
	}
	for ref, w := range d.waiting {
		if !w.checkedAt.Equal(now) {
			delete(d.waiting, ref)
			d.forgetUnit(ref.String())
		}
	}
	return groups
}

// setRanks sets the rank of the units of a step.
func (d *Director) setRanks(units []unit) {
	u := &units[0]
	// A late job earns until it has taken _lateFactor times its time.
	lastUseful := u.latestStart.Add(time.Duration((_lateFactor - 1) * float64(u.due.Sub(u.startableAt))))
	r := berylrank.Rank{
		Priority: u.queue.Priority, LatestStart: u.latestStart, LastUsefulStart: lastUseful, Uncertainty: u.uncertainty(),
		// Declared times of routine work are wrong by a factor of up to ten.
		Exact: u.queue.Priority == 0,
	}
	if u.queue.Priority == 0 && d.guaranteed(u) {
		r.ClaimedStart = u.startableAt.Add(d.Limits.Reclaim - d.Limits.preemptionTime())
	}
	for i := range units {
		units[i].rank = &r
	}
}

// uncertainty returns by how much the unit's latest start may be too early.
func (u *unit) uncertainty() time.Duration {
	return time.Duration(_pathUncertainty * float64(u.criticalPath) * float64(time.Millisecond))
}

// forgetUnit deletes what is kept for a unit that waits.
func (d *Director) forgetUnit(name string) {
	if r, ok := d.reservations[name]; ok {
		d.noteReservationOver(name, r)
		delete(d.reservations, name)
	}
	delete(d.preemptedFor, name)
}

// waiting is since when a unit has been ready to start.
type waiting struct {
	since time.Time
	// checkedAt is the last placement pass in which the unit was ready.
	checkedAt time.Time
	// postponed is true once the unit has left capacity to urgent work.
	postponed bool
}

// noteReady sets for how long the units of a step have been ready, and returns them in
// groups.
func (d *Director) noteReady(now time.Time, units []unit) [][]unit {
	if len(d.preemptedFor) == 0 {
		for i := range units {
			d.noteWaiting(now, &units[i])
		}
		return [][]unit{units}
	}
	var groups [][]unit
	var others []unit
	for i := range units {
		u := &units[i]
		d.noteWaiting(now, u)
		if at := d.preemptedFor[u.name()]; now.Sub(at) < d.Limits.preemptionWindow() {
			u.preemptedAt = at
			groups = append(groups, units[i:i+1])
			continue
		}
		others = append(others, *u)
	}
	if len(others) > 0 {
		groups = append(groups, others)
	}
	return groups
}

// noteWaiting notes that a unit is ready, and sets for how long it has been.
func (d *Director) noteWaiting(now time.Time, u *unit) {
	w := d.waiting[u.ref()]
	if w.since.IsZero() {
		w.since = now
		d.noteArrival(now, u)
	}
	w.checkedAt = now
	d.waiting[u.ref()] = w
	u.waited = now.Sub(w.since)
	u.preemptedAt = now
}

// jobUnits returns the units of a job that are ready to start, those of each step as one
// group. A group has at most limit units: the tasks of a step are alike, and when one of
// them does not fit, neither do the others. Of a job with very many steps that are due,
// each placement pass has some, in turn.
func (d *Director) jobUnits(now time.Time, j *berylbook.Job, q *berylpolicy.Queue, capacity, limit int) [][]unit {
	paths := d.expectedPaths(j.Work, capacity)
	steps := len(j.Work.Steps)
	first := j.FirstIncomplete()
	due := first
	for due < j.Work.Occurrences() && !j.Work.Due(due).After(now) {
		due++
	}
	total := (due - first) * steps
	if total == 0 {
		return nil
	}
	var groups [][]unit
	proto := unit{job: j, queue: q, occurrence: -1}
	start, scanned := d.nextSteps[j]%total, 0
	for ; scanned < min(total, _maxScannedSteps) && len(groups) < _maxJobSteps; scanned++ {
		at := (start + scanned) % total
		k, s := first+at/steps, at%steps
		if !stepReady(j, k, s) {
			continue
		}
		if proto.occurrence != k {
			proto.occurrence = k
			proto.setTimes(paths)
		}
		base := proto
		base.step = s
		base.latestStart = proto.latestStartOf(paths, s)
		groups = appendUnits(groups, base, j.Step(k, s), limit)
	}
	delete(d.nextSteps, j)
	if scanned < total {
		d.nextSteps[j] = (start + scanned) % total
	}
	return groups
}

// stepReady reports whether all steps on which step s depends are finished.
func stepReady(j *berylbook.Job, occurrence, s int) bool {
	for _, before := range j.Work.Steps[s].After {
		if !j.StepDone(occurrence, before) {
			return false
		}
	}
	return true
}

// appendUnits appends the units of a step that are ready as one group, at most limit.
func appendUnits(groups [][]unit, base unit, tasks *berylbook.TaskList, limit int) [][]unit {
	if base.stepSpec().Gang {
		if !tasks.AllIdle() {
			return groups
		}
		base.tasks = tasks.Idle(tasks.Len())
		return append(groups, []unit{base})
	}
	idle := tasks.Idle(limit)
	if len(idle) == 0 {
		return groups
	}
	units := make([]unit, len(idle))
	for n := range idle {
		units[n] = base
		units[n].tasks = idle[n : n+1 : n+1]
	}
	return append(groups, units)
}

// setTimes sets startableAt, due and criticalPath of the unit's occurrence from the
// critical path of each step.
func (u *unit) setTimes(paths []int64) {
	w := u.job.Work
	u.startableAt = time.UnixMilli(w.Accepted)
	if w.Times > 0 {
		u.startableAt = w.Due(u.occurrence)
	}
	for _, path := range paths {
		u.criticalPath = max(u.criticalPath, path)
	}
	allowed := time.Duration(float64(u.criticalPath)*u.queue.Stretch) * time.Millisecond
	u.due = u.startableAt.Add(allowed + u.queue.Target)
}

// latestStartOf returns when step s has to start so that the job is complete when it
// is due, from the critical path of each step.
func (u *unit) latestStartOf(paths []int64, s int) time.Time {
	return u.due.Add(-time.Duration(paths[s]) * time.Millisecond)
}

// latestStart returns when a task's step has to start so that the job is complete when
// it is due, if the expected times are right.
func (d *Director) latestStart(j *berylbook.Job, q berylpolicy.Queue, ref berylwork.Ref) time.Time {
	paths := d.expectedPaths(j.Work, d.capacity(q.Service))
	u := unit{job: j, queue: &q, occurrence: ref.Occurrence}
	u.setTimes(paths)
	return u.latestStartOf(paths, ref.Step)
}

// criticalPaths returns for each step the time of the longest chain of steps that starts
// with it, in milliseconds. RunTime returns the time of a task of a step. A step that
// needs more than a quarter of capacity, the accelerators of the service, runs in waves.
func criticalPaths(w *berylwork.Work, capacity int, runTime func(step int) int64) []int64 {
	paths := make([]int64, len(w.Steps))
	for s := len(w.Steps) - 1; s >= 0; s-- {
		paths[s] += runTime(s) * waves(&w.Steps[s], capacity)
		for _, before := range w.Steps[s].After {
			if before < s {
				paths[before] = max(paths[before], paths[s])
			}
		}
	}
	return paths
}

func waves(step *berylwork.Step, capacity int) int64 {
	wave := capacity / _waveDivisor
	width := step.Count * step.Need.Accelerators
	if step.Gang || wave <= 0 || width <= wave {
		return 1
	}
	return int64((width + wave - 1) / wave)
}

// queueOf returns the queue of a job: that of the policy, or one with the terms under which
// the job was accepted if the operators have removed it since.
func (d *Director) queueOf(w *berylwork.Work) (berylpolicy.Queue, bool) {
	if q, ok := d.Policy.Queue(w.Queue); ok {
		return q, true
	}
	t := w.Terms
	return berylpolicy.Queue{
		Name: w.Queue, Service: t.Service, Priority: t.Priority, Attempts: t.Attempts,
		Stretch: t.Stretch, Target: time.Duration(t.Target) * time.Millisecond,
	}, t.Service != ""
}

// capacity returns the number of accelerators of a service.
func (d *Director) capacity(service string) int {
	n := 0
	for _, a := range d.agents {
		if a.report.Service == service {
			n += a.report.Capacity.Accelerators
		}
	}
	return n
}

// demandOf returns the demand of count tasks of a step.
func demandOf(j *berylbook.Job, occurrence, step, count int) berylfit.Demand {
	spec := &j.Work.Steps[step]
	return berylfit.Demand{
		Count: count, Resources: taskResources(spec), Label: spec.Label, Rack: spec.Rack,
		OneRack: spec.OneRack, Together: spec.Gang, MaxPerHost: spec.MaxPerHost, Present: tasksPerNode(j.Step(occurrence, step)),
	}
}

// tasksPerNode counts the active tasks on each node.
func tasksPerNode(tasks *berylbook.TaskList) map[string]int {
	n := map[string]int{}
	tasks.Each(func(_ int, t *berylbook.Task) bool {
		if t.Phase.Active() {
			n[t.Incarnation.Node]++
		}
		return true
	})
	return n
}

const (
	// _maxPendingUnits is about how many units that are ready one placement pass has, and
	// _maxStepUnits how many of one step. Each takes some hundred bytes.
	_maxPendingUnits = 1 << 15
	_maxStepUnits    = 1 << 10
	// _maxJobSteps is how many ready steps of a job one pass has, and _maxScannedSteps
	// among how many it looks for them.
	_maxJobSteps     = 1 << 10
	_maxScannedSteps = 1 << 12
)
