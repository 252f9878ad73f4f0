package berylstandworker

import (
	"strings"
	"time"

	"berylglade/berylerror"
	"berylglade/berylshape"
	"berylglade/berylsize"
	"berylglade/berylworker"
)

const (
	// _failAfter is how long a task runs on a worker that fails every task.
	_failAfter = 10 * time.Millisecond
	// _defaultMemoryRamp is the time in which the memory use of a task without a
	// run time grows to its final value.
	_defaultMemoryRamp = time.Second
)

// task is a simulated task. Its end is computed from its fields whenever the
// state is updated, so no timer is needed.
type task struct {
	berylworker.Status
	// run is the amount of work, as its duration at speed 1; zero means that the
	// task runs until it is stopped.
	run time.Duration
	// finalMemory is the memory use at the end. The use grows linearly from zero.
	finalMemory berylsize.Size
	fails       bool

	started time.Time
	ended   time.Time
	// workDone is the amount of work that was done at the time workDoneAt; since
	// then it grows by speed.
	workDone   time.Duration
	workDoneAt time.Time
	speed      float64
	// expires is the end of the lease.
	expires     time.Time
	checkpoints int
}

// newTask returns a task as the payload describes it. The payload consists of
// words such as "run=2s", "mem=3GB" and "fail".
func newTask(now time.Time, t berylworker.Task, faults Faults) (*task, error) {
	n := &task{
		Status:     berylworker.Status{Task: t, State: berylworker.Running},
		started:    now,
		workDoneAt: now,
		speed:      1,
		expires:    now.Add(t.Lease.Std()),
	}
	if faults.SlowFactor > 0 {
		n.speed = 1 / faults.SlowFactor
	}
	for word := range strings.FieldsSeq(t.Payload) {
		var err error
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "run":
			n.run, err = time.ParseDuration(value)
		case "mem":
			err = n.finalMemory.UnmarshalText([]byte(value))
		case "fail":
			n.fails = true
		default:
			// Other words have no effect.
		}
		if err != nil {
			return nil, berylerror.Invalid.Wrap(err, "payload")
		}
	}
	if faults.Fail {
		n.fails = true
		n.run = _failAfter
	}
	return n, nil
}

// advance ends the task if it is due at now: because its work is done, its lease
// has expired or its memory limit is exceeded, whichever is first.
func (t *task) advance(now time.Time) {
	if t.State != berylworker.Running {
		return
	}
	end, state, reason := t.expires, berylworker.Expired, "lease expired"
	if at, ok := t.completionTime(t.run); ok && at.Before(end) {
		end, state, reason = at, berylworker.Done, ""
		if t.fails {
			state, reason = berylworker.Failed, "task failed"
		}
	}
	if at, ok := t.completionTime(t.workAtMemoryLimit()); ok && at.Before(end) {
		end, state, reason = at, berylworker.Exceeded, "memory limit exceeded"
	}
	if !now.Before(end) {
		t.end(end, state, reason)
	}
}

// completionTime returns the time at which an amount of work is done. It returns
// false if work is not positive.
func (t *task) completionTime(work time.Duration) (time.Time, bool) {
	if work <= 0 {
		return time.Time{}, false
	}
	return t.workDoneAt.Add(time.Duration(float64(work-t.workDone) / t.speed)), true
}

// workAtMemoryLimit returns the amount of work after which the memory limit is
// exceeded. It returns zero if that never happens.
func (t *task) workAtMemoryLimit() time.Duration {
	if t.Shape.Memory <= 0 || t.finalMemory <= t.Shape.Memory {
		return 0
	}
	return max(time.Duration(float64(t.memoryRamp())*float64(t.Shape.Memory)/float64(t.finalMemory)), 1)
}

// memoryRamp returns the time in which the memory use grows to its final value.
func (t *task) memoryRamp() time.Duration {
	if t.run > 0 {
		return t.run
	}
	return _defaultMemoryRamp
}

func (t *task) end(at time.Time, state berylworker.State, reason string) {
	t.ended = at
	t.State = state
	t.Reason = reason
}

// throttle halves the speed from now on.
func (t *task) throttle(now time.Time) {
	t.workDone += time.Duration(float64(now.Sub(t.workDoneAt)) * t.speed)
	t.workDoneAt = now
	t.speed /= 2
}

// used returns the resource use of the task at a time.
func (t *task) used(at time.Time) berylshape.Shape {
	if at.Before(t.started) || (!t.ended.IsZero() && !at.Before(t.ended)) {
		return berylshape.Shape{}
	}
	share := min(float64(at.Sub(t.started))/float64(t.memoryRamp()), 1)
	used := t.Shape
	used.Memory = berylsize.Size(share * float64(t.finalMemory))
	return used
}
