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
	return berylexecutor.Target{Addr: k.heartbeat.Addr, Instance: k.heartbeat.Incarnation.Instance, Fence: k.fence}
}

// lease returns the lease deadline to send now, on the clock of the backend
// server. It returns zero if the lease must not be extended.
func (k *Keeper) lease(now time.Time) int64 {
	clock := k.BackendClock(now)
	if clock == 0 || k.leaderContact == 0 || k.down {
		// Another incarnation may answer next, and has another clock.
		return 0
	}
	lease := k.Limits.Lease.Milliseconds()
	d := min(clock+lease, k.leaderContact+k.Limits.LeaderTimeout.Milliseconds()+lease)
	if d <= clock {
		return 0
	}
	return d
}

// Calls returns the calls to send to the backend server now.
func (k *Keeper) Calls(now time.Time) []IssuedCall {
	if k.heartbeat.Incarnation.Instance == "" {
		return k.fenceCalls(now)
	}
	var calls []IssuedCall
	for _, key := range k.keys() {
		r := k.open[key]
		if k.expired(now, r) {
			k.forget(key)
			continue
		}
		if t, ok := k.runCall(now, r); ok {
			calls = append(calls, t)
		}
		if r.isSettled() {
			delete(k.open, key)
			k.settled = append(k.settled, settledRun{key: key, at: now})
		}
	}
	k.forgetSettled(now)
	return append(calls, k.renewCalls(now)...)
}

// forgetSettled forgets the settled runs that have been remembered long enough.
func (k *Keeper) forgetSettled(now time.Time) {
	for len(k.settled) > 0 && now.Sub(k.settled[0].at) > _runRetention {
		key := k.settled[0].key
		k.settled = k.settled[1:]
		if r := k.runs[key]; r != nil && k.open[key] == nil && k.expired(now, r) {
			k.forget(key)
		}
	}
}

func (k *Keeper) forget(key berylreport.Key) {
	delete(k.runs, key)
	delete(k.open, key)
}

// fenceCalls returns a listing call to whatever incarnation answers at the address of the
// backend server. Its fence makes that refuse late starts of an earlier process of this
// agent, which does not know of them.
func (k *Keeper) fenceCalls(now time.Time) []IssuedCall {
	if k.ServerAddr == "" || k.pollSeq != 0 || now.Before(k.nextPoll) {
		return nil
	}
	t := k.issueCall(berylexecutor.RenewCall{Target: berylexecutor.Target{Addr: k.ServerAddr, Fence: k.fence}}, _callTimeout)
	k.pollSeq = t.Seq
	return []IssuedCall{t}
}

// keys returns the open runs in a fixed order.
func (k *Keeper) keys() []berylreport.Key {
	return slices.SortedFunc(maps.Keys(k.open), func(a, b berylreport.Key) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
}

// expired reports whether a settled run has been remembered long enough.
func (k *Keeper) expired(now time.Time, r *run) bool {
	if r.inFlight || r.phase == starting || r.phase == stopping || r.phase == stopped {
		return false
	}
	return now.Sub(r.changedAt) > _runRetention
}

func (k *Keeper) runCall(now time.Time, r *run) (IssuedCall, bool) {
	if r.inFlight || now.Before(r.retryAt) {
		return IssuedCall{}, false
	}
	switch r.phase {
	case starting:
		if k.heartbeat.Draining && k.listed {
			// The listing does not have it, but an earlier process may have sent a start
			// that is carried out late, so it is stopped first.
			k.setPhase(now, r, stopping)
			return k.runCall(now, r)
		}
		clock := k.BackendClock(now)
		if now.Sub(r.changedAt) > _startValidity || clock > r.startUntil {
			k.dropStart(now, r)
			return k.runCall(now, r)
		}
		lease := k.lease(now)
		if lease == 0 || !k.listed || k.unverified || k.strays {
			return IssuedCall{}, false
		}
		r.inFlight = true
		// A start has a short deadline, so that the backend server refuses it if it
		// is delivered seconds late.
		deadline := min(lease, clock+_startValidity.Milliseconds(), r.startUntil)
		k.deadline = max(k.deadline, deadline)
		return k.issueCall(berylexecutor.StartCall{Target: k.target(), Start: r.start, Deadline: deadline}, _callTimeout), true
	case stopping:
		r.inFlight = true
		return k.issueCall(berylexecutor.StopCall{Target: k.target(), Key: r.start.Key}, _callTimeout), true
	default:
		return IssuedCall{}, false
	}
}

// dropStarts gives up all starts that have no outcome, because the leader gives up all
// runs when it learns that the lease has expired. Orders that are based on an earlier
// report may contain such starts.
func (k *Keeper) dropStarts(now time.Time) {
	k.minBasis = max(k.minBasis, k.BackendClock(now))
	for _, key := range k.keys() {
		if r := k.open[key]; r.phase == starting {
			k.dropStart(now, r)
		}
	}
}

// dropStart gives up a start: the leader may have given up the run meanwhile. A start that
// may have been sent is stopped.
func (k *Keeper) dropStart(now time.Time, r *run) {
	if r.unconfirmed || r.inFlight {
		k.setPhase(now, r, stopping)
		return
	}
	k.setPhase(now, r, absent)
}

func (k *Keeper) issueCall(c berylexecutor.Call, timeout time.Duration) IssuedCall {
	k.lastSeq++
	return IssuedCall{Call: c, Seq: k.lastSeq, Timeout: timeout}
}

func (k *Keeper) renewCalls(now time.Time) []IssuedCall {
	var calls []IssuedCall
	if k.relist && !now.Before(k.nextRelist) {
		k.relist = false
		k.nextRelist = now.Add(k.ListingPause())
		calls = append(calls, k.renew(now, 0))
	}
	if k.pollSeq == 0 && !now.Before(k.nextPoll) {
		wait := k.Limits.Poll
		if !k.listed {
			wait = 0
		}
		t := k.renew(now, wait)
		k.pollSeq = t.Seq
		calls = append(calls, t)
	}
	return calls
}

// ListingPause returns the pause between two listings and between two reports, which have the
// same rows. It bounds the share of the time that long ones take: thousands of starts and ends
// in a second would each ask for one.
func (k *Keeper) ListingPause() time.Duration {
	rows := len(k.listing.Runs) + len(k.listing.Ends)
	return time.Duration(max(rows-_freeRows, 0)) * _rowPause
}

// Paused returns how long the next listing call still has to be delayed because of the size
// of the last listing; zero if none is delayed.
func (k *Keeper) Paused(now time.Time) time.Duration {
	if k.heartbeat.Incarnation.Instance == "" || k.ListingPause() == 0 {
		return 0
	}
	var d time.Duration
	if k.relist {
		d = k.nextRelist.Sub(now)
	}
	if k.pollSeq == 0 && (d <= 0 || k.nextPoll.Before(k.nextRelist)) {
		d = k.nextPoll.Sub(now)
	}
	return max(d, 0)
}

func (k *Keeper) renew(now time.Time, wait time.Duration) IssuedCall {
	deadline := k.lease(now)
	k.deadline = max(k.deadline, deadline)
	call := berylexecutor.RenewCall{Target: k.target(), Deadline: deadline, Acked: k.ackable(), Wait: wait}
	t := k.issueCall(call, wait+_callTimeout)
	k.listings[t.Seq] = true
	return t
}

// ackable returns the number up to which ends may be acknowledged to the backend server. An
// end is kept while a call about its run is in flight, which may be a repeated start: if the
// backend server restarts now, the next incarnation may carry out the call.
func (k *Keeper) ackable() int64 {
	n := k.acked
	for _, e := range k.listing.Ends {
		if r := k.runs[e.Key]; r != nil && r.inFlight {
			n = min(n, e.Seq-1)
		}
	}
	return n
}
