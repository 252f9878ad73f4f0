package berylbook

import (
	"hash/maphash"

	"berylglade/berylstore"
	"berylglade/berylwork"
)

// Recorded is a job's progress as the topic has it. The zero value is that of a job
// without records of progress.
type Recorded struct {
	state   State
	endedAt int64
	// written is true once the topic has a Progress of the job, and quiescent if that
	// says that no run exists.
	written, quiescent bool
	// seed and tasks have the hash of each task that the topic has.
	seed  maphash.Seed
	tasks map[taskIndex]uint64
}

// taskIndex identifies a task of a job.
type taskIndex struct{ occurrence, step, index int32 }

// Recorded returns the progress of a job whose state is that of the topic.
func (j *Job) Recorded() *Recorded {
	if j.combined {
		return &Recorded{}
	}
	r := &Recorded{state: j.State, endedAt: j.EndedAt, written: j.Ordered() || j.State.Final()}
	j.Each(func(ref berylwork.Ref, t *Task) { r.set(ref, t) })
	return r
}

// set notes that the topic has the task as it is.
func (r *Recorded) set(ref berylwork.Ref, t *Task) {
	if *t == (Task{}) {
		delete(r.tasks, indexOf(ref))
		return
	}
	if r.tasks == nil {
		r.seed = maphash.MakeSeed()
		r.tasks = map[taskIndex]uint64{}
	}
	r.tasks[indexOf(ref)] = maphash.Comparable(r.seed, *t)
}

// has reports whether the topic has the task as it is.
func (r *Recorded) has(ref berylwork.Ref, t *Task) bool {
	hash, ok := r.tasks[indexOf(ref)]
	if *t == (Task{}) {
		return !ok
	}
	return ok && hash == maphash.Comparable(r.seed, *t)
}

func indexOf(ref berylwork.Ref) taskIndex {
	return taskIndex{int32(ref.Occurrence), int32(ref.Step), int32(ref.Index)}
}

// Room is what an append has left for the records of one job.
type Room struct {
	// Records is the number of records, Bytes their size in the call. The record of a
	// job's state may exceed them.
	Records, Bytes int
	// Limits are those of the store.
	Limits berylstore.Limits
}

// take reports whether there is room for r, and takes it.
func (m *Room) take(r berylstore.Record) bool {
	if m.Records < 1 || m.Bytes < r.CallSize() {
		return false
	}
	m.Records--
	m.Bytes -= r.CallSize()
	return true
}

// Changes returns records that bring the topic from r towards the state of the job, for
// which there is room, and updates r. More is true if others have to follow. A job may
// have thousands of tasks, all entries read each record, and one event changes few tasks,
// so each task has a record of its own. Once the job is final and has no active run, its
// tasks are deleted.
func (j *Job) Changes(epoch int64, r *Recorded, room Room) (records []berylstore.Record, more bool, err error) {
	quiescent := j.State.Final() && !j.Active()
	if quiescent {
		// Before the tasks are deleted, the topic has to say that none runs again.
		records, err = j.changedState(epoch, r, quiescent)
		if err != nil {
			return nil, false, err
		}
	}
	tasks, more, err := j.changedTasks(r, quiescent, room)
	if err != nil {
		return nil, false, err
	}
	records = append(records, tasks...)
	if quiescent || more {
		return records, more, nil
	}
	state, err := j.changedState(epoch, r, quiescent)
	return append(records, state...), false, err
}

// changedState returns the Progress of the job if it differs from r.
func (j *Job) changedState(epoch int64, r *Recorded, quiescent bool) ([]berylstore.Record, error) {
	if r.written && r.state == j.State && r.endedAt == j.EndedAt && r.quiescent == quiescent {
		return nil, nil
	}
	p, err := record(_progressPrefix+j.Work.ID, &Progress{Epoch: epoch, State: j.State, EndedAt: j.EndedAt, Separate: !quiescent})
	if err != nil {
		return nil, err
	}
	r.state, r.endedAt, r.quiescent, r.written = j.State, j.EndedAt, quiescent, true
	return []berylstore.Record{p}, nil
}

// changedTasks returns records of tasks that differ from r, or their deletion if the job is
// quiescent, and whether there are others for which there is no room.
func (j *Job) changedTasks(r *Recorded, quiescent bool, room Room) (records []berylstore.Record, more bool, err error) {
	j.Each(func(ref berylwork.Ref, t *Task) {
		want := *t
		if quiescent {
			want = Task{}
		}
		if more || err != nil || r.has(ref, &want) {
			return
		}
		rec := berylstore.Record{Key: _taskPrefix + ref.String()}
		if !quiescent {
			rec, err = taskRecord(rec.Key, t, room.Limits)
		}
		if !room.take(rec) {
			more = true
			return
		}
		records = append(records, rec)
		r.set(ref, &want)
	})
	return records, more, err
}

// taskRecord returns the record of a task. A checkpoint that is too large for a record is
// left out, so that a later run starts without it.
func taskRecord(key string, t *Task, limits berylstore.Limits) (berylstore.Record, error) {
	r, err := record(key, t)
	if err != nil || limits.Accepts(r) {
		return r, err
	}
	without := *t
	without.Checkpoint = ""
	return record(key, &without)
}
