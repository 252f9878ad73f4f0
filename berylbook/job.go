package berylbook

import (
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
	Work *berylwork.Work
	// State is never final while a task may still get another run.
	State State
	// CancelledAt is when the cancel was accepted, in Unix milliseconds; zero if
	// the job was not cancelled.
	CancelledAt int64
	// EndedAt is when State became final, in Unix milliseconds.
	EndedAt int64
	// Tasks is indexed by occurrence, step and index.
	Tasks [][][]Task

	// quiescent and begun cache a true result of Quiescent and Begun.
	quiescent, begun bool
	// parts is the number of records that the topic has of a split submission.
	parts int
	// combined is true if the tasks were in the job's Progress, so that the next
	// Progress deletes them.
	combined bool
}

// NewJob returns a job without progress.
func NewJob(w *berylwork.Work) *Job {
	j := &Job{Work: w, Tasks: make([][][]Task, w.Occurrences())}
	for k := range j.Tasks {
		j.Tasks[k] = make([][]Task, len(w.Steps))
		for s := range w.Steps {
			j.Tasks[k][s] = make([]Task, w.Steps[s].Count)
		}
	}
	return j
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
	if j.sameShape(p.Tasks) {
		j.Tasks = p.Tasks
		j.combined = true
	}
	if p.Tasks == nil && p.State.Final() && !p.Separate {
		j.clearRuns()
	}
}

// sameShape reports whether tasks has those of all occurrences and steps.
func (j *Job) sameShape(tasks [][][]Task) bool {
	same := func(a, b []Task) bool { return len(a) == len(b) }
	return slices.EqualFunc(j.Tasks, tasks, func(a, b [][]Task) bool { return slices.EqualFunc(a, b, same) })
}

// clearRuns marks all active runs of a final job as ended.
func (j *Job) clearRuns() {
	j.Each(func(_ berylwork.Ref, t *Task) {
		if t.Phase.Active() {
			t.Phase = Idle
		}
	})
}

// Each calls f for every task.
func (j *Job) Each(f func(ref berylwork.Ref, t *Task)) {
	for k := range j.Tasks {
		for s := range j.Tasks[k] {
			for i := range j.Tasks[k][s] {
				f(berylwork.Ref{Job: j.Work.ID, Occurrence: k, Step: s, Index: i}, &j.Tasks[k][s][i])
			}
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
func (j *Job) Started() bool { return j.any((*Task).started) }

// Begun reports whether the start of the job was noted on a task.
func (j *Job) Begun() bool {
	if !j.begun {
		j.begun = j.any(func(t *Task) bool { return t.Begun })
	}
	return j.begun
}

// ordered reports whether a run of any task was ever ordered.
func (j *Job) ordered() bool { return j.any(func(t *Task) bool { return t.Run > 0 }) }

// any reports whether f is true for a task.
func (j *Job) any(f func(t *Task) bool) bool {
	for _, steps := range j.Tasks {
		for _, tasks := range steps {
			for i := range tasks {
				if f(&tasks[i]) {
					return true
				}
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
func (j *Job) StepDone(occurrence, step int) bool {
	for i := range j.Tasks[occurrence][step] {
		if j.Tasks[occurrence][step][i].Phase != Done {
			return false
		}
	}
	return true
}

// Complete reports whether every task is done.
func (j *Job) Complete() bool {
	for k := range j.Tasks {
		for s := range j.Tasks[k] {
			if !j.StepDone(k, s) {
				return false
			}
		}
	}
	return true
}
