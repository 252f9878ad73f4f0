package berylbook

import (
	"maps"
	"slices"

	"berylglade/berylwork"
)

// State is the state of a job as clients see it.
type State uint8

const (
	// Pending means that no task has started.
	Pending State = iota
	// Running means that a task has started.
	Running
	// Completed means that every task is done.
	Completed
	// Failed means that a task has used up the attempts that its queue permits.
	Failed
	// Cancelled means that the client cancelled the job before it ended.
	Cancelled
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s >= Completed }

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"pending", "running", "completed", "failed", "cancelled"}[min(s, Cancelled)]
}

// Phase is the known state of a task's newest run.
type Phase uint8

const (
	// Idle means that no run exists.
	Idle Phase = iota
	// Ordered means that a start is recorded and may have been carried out.
	Ordered
	// Working means that the backend server has listed the run.
	Working
	// Stopping means that the run is to be stopped and may still exist.
	Stopping
	// Done means that the task is done.
	Done
)

// Active reports whether a run may exist.
func (p Phase) Active() bool { return p == Ordered || p == Working || p == Stopping }

// Incarnation identifies one process lifetime of a backend server.
type Incarnation struct {
	// Node is the VM's name; empty if there is none.
	Node string `cbor:"n,omitempty"`
	// Instance is the name that the backend server reports for itself.
	Instance string `cbor:"i,omitempty"`
	// StartedAt distinguishes incarnations with the same name; a later one has a
	// higher value.
	StartedAt int64 `cbor:"b,omitempty"`
}

// Task is the progress of one task.
type Task struct {
	// Run is the number of the newest run; zero before the first one. It never
	// decreases.
	Run   int   `cbor:"r,omitempty"`
	Phase Phase `cbor:"p,omitempty"`
	// Incarnation is where the newest run was ordered; it stays set after the run
	// has ended.
	Incarnation Incarnation `cbor:"w,omitempty"`
	// Failures counts the runs that failed.
	Failures int `cbor:"f,omitempty"`
	// LastFailedRun is the newest run counted in Failures. The members of a gang
	// fail together, so each run of the gang is counted only once.
	LastFailedRun int `cbor:"d,omitempty"`
	// Checkpoint is the newest checkpoint; empty if there is none.
	Checkpoint string `cbor:"c,omitempty"`
	// OrderedAt is when the newest run was ordered, in Unix milliseconds.
	OrderedAt int64 `cbor:"t,omitempty"`
	// Begun is true on a task of which a backend server has listed a run. It is set on
	// the first one of a job, as it tells that the job has started.
	Begun bool `cbor:"b,omitempty"`
}

// started reports whether a backend server is known to have started a run of the task.
func (t *Task) started() bool {
	return t.Begun || t.Phase == Working || t.Phase == Done || t.Failures > 0 || t.Checkpoint != ""
}

// Stop marks a run that may exist as stopping.
func (t *Task) Stop() {
	if t.Phase == Ordered || t.Phase == Working {
		t.Phase = Stopping
	}
}

// Job is a job with its progress.
type Job struct {
	// Work is the job as it was submitted. In a Book without tasks it has no steps.
	Work *berylwork.Work
	// Load is what the job takes of the memory of an entry, and EndedLoad what it takes
	// after its end, as the methods of berylwork.Work with these names give them.
	Load, EndedLoad int
	// State is never final while a task may still get another run.
	State State
	// CancelledAt is when the cancel was accepted, in Unix milliseconds; zero if
	// the job was not cancelled.
	CancelledAt int64
	// EndedAt is when State became final, in Unix milliseconds.
	EndedAt int64
	// occurrences has the tasks of those that were asked for, by step.
	occurrences map[int][]TaskList
	// complete is the number of the first occurrences that are known to be complete.
	complete int
	// started is true once a run of a task was known to have started, in a Book without
	// tasks.
	started bool
	// released is true if the job is completed and the progress of its tasks is not kept.
	released bool
	// summary is true in a Book without tasks.
	summary bool

	// quiescent, begun and ordered cache a true result of Quiescent, Begun and Ordered.
	quiescent, begun, ordered bool
	// parts is the number of records that the topic has of a split submission.
	parts int
	// combined is true if the tasks were in the job's Progress, so that the next
	// Progress deletes them.
	combined bool
}

// NewJob returns a job without progress.
func NewJob(w *berylwork.Work) *Job { return &Job{Work: w, occurrences: map[int][]TaskList{}} }

// summarize deletes what a Book without tasks doesn't keep.
func (j *Job) summarize() {
	w := j.Work
	j.summary = true
	j.Work = &berylwork.Work{ID: w.ID, Queue: w.Queue, Account: w.Account, Times: w.Times, Accepted: w.Accepted}
}

// Step returns the tasks of a step in one occurrence.
func (j *Job) Step(occurrence, step int) *TaskList {
	steps, ok := j.occurrences[occurrence]
	if !ok {
		steps = make([]TaskList, len(j.Work.Steps))
		for s := range steps {
			steps[s] = TaskList{count: j.Work.Steps[s].Count, released: j.released}
		}
		j.occurrences[occurrence] = steps
	}
	return &steps[step]
}

// At returns a task that may be changed.
func (j *Job) At(occurrence, step, index int) *Task { return j.Step(occurrence, step).At(index) }

// Release gives back the memory of the tasks of a quiescent job, whose records are deleted.
// Of a completed job it stays known that they are done.
func (j *Job) Release() {
	j.released = j.State == Completed
	clear(j.occurrences)
}

func (j *Job) cancel(at int64) {
	if at == 0 || j.CancelledAt != 0 || j.State.Final() {
		return
	}
	j.CancelledAt = at
}

func (j *Job) applyProgress(p *Progress) {
	if p == nil {
		return
	}
	j.State = p.State
	j.EndedAt = p.EndedAt
	if j.summary {
		for _, steps := range p.Tasks {
			for _, tasks := range steps {
				j.started = j.started || slices.ContainsFunc(tasks, func(t Task) bool { return t.started() })
			}
		}
		return
	}
	if j.sameShape(p.Tasks) {
		j.setTasks(p.Tasks)
		j.combined = true
	}
	if p.Tasks == nil && p.State.Final() && !p.Separate {
		j.clearRuns()
	}
}

// sameShape reports whether tasks has those of all occurrences and steps.
func (j *Job) sameShape(tasks [][][]Task) bool {
	if len(tasks) != j.Work.Occurrences() {
		return false
	}
	same := func(s berylwork.Step, tasks []Task) bool { return s.Count == len(tasks) }
	for _, steps := range tasks {
		if !slices.EqualFunc(j.Work.Steps, steps, same) {
			return false
		}
	}
	return true
}

// setTasks replaces all tasks.
func (j *Job) setTasks(tasks [][][]Task) {
	clear(j.occurrences)
	for k := range tasks {
		for s := range tasks[k] {
			for i, t := range tasks[k][s] {
				if t != (Task{}) {
					*j.At(k, s, i) = t
				}
			}
		}
	}
}

// clearRuns marks all active runs of a final job as ended.
func (j *Job) clearRuns() {
	j.Each(func(_ berylwork.Ref, t *Task) {
		if t.Phase.Active() {
			t.Phase = Idle
		}
	})
}

// Each calls f for each task that has memory, among them all with progress, in order.
func (j *Job) Each(f func(ref berylwork.Ref, t *Task)) {
	for _, k := range slices.Sorted(maps.Keys(j.occurrences)) {
		for s := range j.occurrences[k] {
			j.occurrences[k][s].Each(func(i int, t *Task) bool {
				f(berylwork.Ref{Job: j.Work.ID, Occurrence: k, Step: s, Index: i}, t)
				return true
			})
		}
	}
}

// Active reports whether a run of the job may exist.
func (j *Job) Active() bool { return j.any(func(t *Task) bool { return t.Phase.Active() }) }

// Quiescent reports whether the job can no longer change: its state is final
// and none of its runs may exist.
func (j *Job) Quiescent() bool {
	if !j.quiescent {
		j.quiescent = j.State.Final() && !j.Active()
	}
	return j.quiescent
}

// Started reports whether a run of any task is known to have started. A run that was only
// ordered may never start.
func (j *Job) Started() bool { return j.started || j.any((*Task).started) }

// Begun reports whether the start of the job was noted on a task.
func (j *Job) Begun() bool {
	if !j.begun {
		j.begun = j.any(func(t *Task) bool { return t.Begun })
	}
	return j.begun
}

// Ordered reports whether a run of any task was ever ordered.
func (j *Job) Ordered() bool {
	if !j.ordered {
		j.ordered = j.any(func(t *Task) bool { return t.Run > 0 })
	}
	return j.ordered
}

// any reports whether f is true for a task with progress.
func (j *Job) any(f func(t *Task) bool) bool {
	for _, steps := range j.occurrences {
		for s := range steps {
			if !steps[s].Each(func(_ int, t *Task) bool { return !f(t) }) {
				return true
			}
		}
	}
	return false
}

// ClientState returns the state as clients see it.
func (j *Job) ClientState() State {
	if j.State.Final() {
		return j.State
	}
	if j.CancelledAt != 0 {
		return Cancelled
	}
	if j.Started() {
		return Running
	}
	return Pending
}

// StepDone reports whether all tasks of a step are done.
func (j *Job) StepDone(occurrence, step int) bool { return j.Step(occurrence, step).Done() }

// FirstIncomplete returns the first occurrence that is not known to be complete; the number
// of occurrences if there is none.
func (j *Job) FirstIncomplete() int {
	j.Complete()
	return j.complete
}

// Complete reports whether every task is done.
func (j *Job) Complete() bool {
	for ; j.complete < j.Work.Occurrences(); j.complete++ {
		steps, ok := j.occurrences[j.complete]
		if !ok {
			return false
		}
		for s := range steps {
			if !steps[s].Done() {
				return false
			}
		}
	}
	return true
}

// has reports whether the job has a task that ref names.
func (j *Job) has(ref berylwork.Ref) bool {
	return ref.Occurrence < j.Work.Occurrences() && ref.Step < len(j.Work.Steps) && ref.Index < j.Work.Steps[ref.Step].Count
}
