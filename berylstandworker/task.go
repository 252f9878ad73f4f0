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
	// _growth is the time in which a task without run time reaches its
	// memory use.
	_growth = time.Second
)

// task is one task of the stand-in. Its end is computed from its fields when
// the state is looked at, so no timer is needed.
type task struct {
	berylworker.Status
	// run is the work of the task, as a time at full speed; zero means that it
	// runs until it is stopped.
	run time.Duration
	// memory is what the task uses when its work is done.
	memory berylsize.Size
	fail   bool

	started time.Time
	ended   time.Time
	// worked is the work that was done at the time since.
	worked time.Duration
	since  time.Time
	speed  float64
	// expires is the end of the lease.
	expires     time.Time
	checkpoints int
}

// newTask reads the payload: words "run=2s", "mem=3GB" and "fail".
func newTask(now time.Time, t berylworker.Task, faults Faults) (*task, error) {
	n := &task{
		Status:  berylworker.Status{Task: t, State: berylworker.Running},
		started: now,
		since:   now,
		speed:   1,
		expires: now.Add(t.Lease.Std()),
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
			err = n.memory.UnmarshalText([]byte(value))
		case "fail":
			n.fail = true
		default:
			// Other words are the caller's own.
		}
		if err != nil {
			return nil, berylerror.Invalid.Wrap(err, "payload")
		}
	}
	if faults.Fail {
		n.fail = true
		n.run = _failAfter
	}
	return n, nil
}

// settle ends the task if one of its ends has passed.
func (t *task) settle(now time.Time) {
	if t.State != berylworker.Running {
		return
	}
	end, state, reason := t.expires, berylworker.Expired, "lease is over"
	if at, ok := t.reaches(t.run); ok && at.Before(end) {
		end, state, reason = at, berylworker.Done, ""
		if t.fail {
			state, reason = berylworker.Failed, "task failed"
		}
	}
	if at, ok := t.reaches(t.limit()); ok && at.Before(end) {
		end, state, reason = at, berylworker.Exceeded, "memory limit passed"
	}
	if !now.Before(end) {
		t.end(end, state, reason)
	}
}

// reaches returns when an amount of work is done; false for none.
func (t *task) reaches(work time.Duration) (time.Time, bool) {
	if work <= 0 {
		return time.Time{}, false
	}
	return t.since.Add(time.Duration(float64(work-t.worked) / t.speed)), true
}

// limit returns the work after which the memory limit is passed; zero if it
// never is.
func (t *task) limit() time.Duration {
	if t.Shape.Memory <= 0 || t.memory <= t.Shape.Memory {
		return 0
	}
	return max(time.Duration(float64(t.growth())*float64(t.Shape.Memory)/float64(t.memory)), 1)
}

func (t *task) growth() time.Duration {
	if t.run > 0 {
		return t.run
	}
	return _growth
}

func (t *task) end(at time.Time, state berylworker.State, reason string) {
	t.ended = at
	t.State = state
	t.Reason = reason
}

// throttle halves the speed from now on.
func (t *task) throttle(now time.Time) {
	t.worked += time.Duration(float64(now.Sub(t.since)) * t.speed)
	t.since = now
	t.speed /= 2
}

// used returns what the task used at a time.
func (t *task) used(at time.Time) berylshape.Shape {
	if at.Before(t.started) || (!t.ended.IsZero() && !at.Before(t.ended)) {
		return berylshape.Shape{}
	}
	share := min(float64(at.Sub(t.started))/float64(t.growth()), 1)
	used := t.Shape
	used.Memory = berylsize.Size(share * float64(t.memory))
	return used
}
