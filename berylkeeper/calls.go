package berylkeeper

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"berylglade/berylexecutor"
	"berylglade/berylreport"
)

func (k *Keeper) target() berylexecutor.Target {
	return berylexecutor.Target{Addr: k.beat.Addr, Instance: k.beat.Incarnation.Instance, Fence: k.fence}
}

// lease returns the deadline that may be given now, or zero.
func (k *Keeper) lease(now time.Time) int64 {
	clock := k.BackendClock(now)
	if clock == 0 || k.contact == 0 {
		return 0
	}
	reach := k.Limits.Lease.Milliseconds()
	d := min(clock+reach, k.contact+k.Limits.LeaderTimeout.Milliseconds()+reach)
	if d <= clock {
		return 0
	}
	return d
}

// Calls returns what to send to the backend server now.
func (k *Keeper) Calls(now time.Time) []IssuedCall {
	if k.beat.Incarnation.Instance == "" {
		return nil
	}
	var tasks []IssuedCall
	for _, key := range k.keys() {
		r := k.runs[key]
		if k.forget(now, r) {
			delete(k.runs, key)
			continue
		}
		if t, ok := k.runCall(now, r); ok {
			tasks = append(tasks, t)
		}
	}
	return append(tasks, k.holdCalls(now)...)
}

// keys returns the known runs in a fixed order.
func (k *Keeper) keys() []berylreport.Key {
	return slices.SortedFunc(maps.Keys(k.runs), func(a, b berylreport.Key) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
}

func (k *Keeper) forget(now time.Time, r *run) bool {
	if r.busy || r.phase == wanted || r.phase == stopping || r.phase == stopped {
		return false
	}
	return now.Sub(r.touched) > _remember
}

func (k *Keeper) runCall(now time.Time, r *run) (IssuedCall, bool) {
	if r.busy || now.Before(r.next) {
		return IssuedCall{}, false
	}
	switch r.phase {
	case wanted:
		lease := k.lease(now)
		if lease == 0 || !k.looked || k.unsure || k.strays {
			return IssuedCall{}, false
		}
		r.busy = true
		// The deadline of a start is short, so that it is refused if it is
		// carried out seconds late.
		deadline := min(lease, k.BackendClock(now)+_startDeadline.Milliseconds())
		k.deadline = max(k.deadline, deadline)
		return k.task(berylexecutor.StartCall{Target: k.target(), Start: r.start, Deadline: deadline}, _callTimeout), true
	case stopping:
		r.busy = true
		return k.task(berylexecutor.StopCall{Target: k.target(), Key: r.start.Key}, _callTimeout), true
	default:
		return IssuedCall{}, false
	}
}

func (k *Keeper) task(c berylexecutor.Call, timeout time.Duration) IssuedCall {
	k.issue++
	return IssuedCall{Call: c, Seq: k.issue, Timeout: timeout}
}

func (k *Keeper) holdCalls(now time.Time) []IssuedCall {
	var tasks []IssuedCall
	if k.recheck {
		k.recheck = false
		tasks = append(tasks, k.hold(now, 0))
	}
	if k.holding == 0 && !now.Before(k.nextAt) {
		wait := k.Limits.Poll
		if !k.looked {
			wait = 0
		}
		t := k.hold(now, wait)
		k.holding = t.Seq
		tasks = append(tasks, t)
	}
	return tasks
}

func (k *Keeper) hold(now time.Time, wait time.Duration) IssuedCall {
	deadline := k.lease(now)
	k.deadline = max(k.deadline, deadline)
	call := berylexecutor.RenewCall{Target: k.target(), Deadline: deadline, Acked: k.noted, Wait: wait}
	return k.task(call, wait+_callTimeout)
}
