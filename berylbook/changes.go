package berylbook

import (
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// Recorded is a job's progress as the topic has it. The zero value is that of a job
// without records of progress.
type Recorded struct {
	state   State
	endedAt int64
	// written is true once the topic has a Progress of the job.
	written bool
	// tasks is indexed like Job.Tasks; nil if the topic has no task of the job.
	tasks [][][]Task
}

// Recorded returns the progress of a job whose state is that of the topic.
func (j *Job) Recorded() *Recorded {
	if j.combined {
		return &Recorded{}
	}
	r := &Recorded{state: j.State, endedAt: j.EndedAt, written: j.Started() || j.State.Final()}
	r.copyTasks(j)
	return r
}

func (r *Recorded) copyTasks(j *Job) {
	r.tasks = make([][][]Task, len(j.Tasks))
	for k := range j.Tasks {
		r.tasks[k] = make([][]Task, len(j.Tasks[k]))
		for s := range j.Tasks[k] {
			r.tasks[k][s] = append([]Task(nil), j.Tasks[k][s]...)
		}
	}
}

// task returns the recorded state of a task. It is zero if the topic does not have it.
func (r *Recorded) task(ref berylwork.Ref) *Task {
	return &r.tasks[ref.Occurrence][ref.Step][ref.Index]
}

// Changes returns the records that bring the topic from r to the state of the job, and
// updates r. A job may have thousands of tasks, all entries read each record, and one
// event changes few tasks, so each task has a record of its own. Once the job is final
// and has no active run, its tasks are deleted.
func (j *Job) Changes(epoch int64, r *Recorded) ([]berylstore.Record, error) {
	quiescent := j.State.Final() && !j.Active()
	if r.tasks == nil {
		r.copyTasks(&Job{Work: j.Work, Tasks: NewJob(j.Work).Tasks})
	}
	records, err := j.changedTasks(r, quiescent)
	if err != nil {
		return nil, err
	}
	if r.written && r.state == j.State && r.endedAt == j.EndedAt && !(quiescent && len(records) > 0) {
		return records, nil
	}
	// The Progress follows the tasks: a reader that applies an older record of a task
	// again clears it with the Progress of a quiescent job.
	p, err := record(_progressPrefix+j.Work.ID, &Progress{Epoch: epoch, State: j.State, EndedAt: j.EndedAt, Separate: !quiescent})
	if err != nil {
		return nil, err
	}
	r.state, r.endedAt, r.written = j.State, j.EndedAt, true
	return append(records, p), nil
}

// changedTasks returns the records of the tasks that differ from r, or their deletion if
// the job is quiescent.
func (j *Job) changedTasks(r *Recorded, quiescent bool) ([]berylstore.Record, error) {
	var records []berylstore.Record
	var failed error
	j.Each(func(ref berylwork.Ref, t *Task) {
		old := r.task(ref)
		switch {
		case quiescent && *old != (Task{}):
			records = append(records, berylstore.Record{Key: _taskPrefix + ref.String()})
			*old = Task{}
		case !quiescent && *old != *t:
			rec, err := record(_taskPrefix+ref.String(), t)
			if err != nil {
				failed = err
				return
			}
			records = append(records, rec)
			*old = *t
		}
	})
	return records, failed
}
