package berylkeeper

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"berylglade/berylexecutor"
	"berylglade/berylreport"
)

// Outcome handles the result of a call.
func (k *Keeper) Outcome(now time.Time, o Outcome) {
	switch c := o.Call.(type) {
	case berylexecutor.StartCall:
		if c.Instance == k.heartbeat.Incarnation.Instance {
			k.observe(now, c.Target, o)
			k.startOutcome(now, c, o.Err)
		}
	case berylexecutor.StopCall:
		if c.Instance == k.heartbeat.Incarnation.Instance {
			k.observe(now, c.Target, o)
			k.stopOutcome(now, c, o)
		}
	case berylexecutor.RenewCall:
		if o.Seq == k.pollSeq {
			k.pollSeq = 0
		}
		delete(k.listings, o.Seq)
		switch {
		case c.Instance == "":
			k.fenceOutcome(now, c.Target, o)
		case k.isPast(c.Instance, o.Listing):
			k.notePastEnds(o.Listing)
		case c.Instance == k.heartbeat.Incarnation.Instance:
			k.observe(now, c.Target, o)
			k.renewOutcome(now, o)
		}
	}
}

// isPast reports whether a listing is a late reply of the previous incarnation.
func (k *Keeper) isPast(instance string, l berylexecutor.Listing) bool {
	past := k.pastEnds.Incarnation
	return instance != "" && past.Instance == instance && l.StartedAt != 0 && past.StartedAt == l.StartedAt
}

// notePastEnds adds the ends of a late reply of the previous incarnation to those that the
// leader has to know.
func (k *Keeper) notePastEnds(l berylexecutor.Listing) {
	ends := slices.Clone(k.pastEnds.Ends)
	for _, e := range l.Ends {
		if !slices.ContainsFunc(ends, func(o berylreport.End) bool { return o.Seq == e.Seq }) {
			ends = append(ends, e)
			k.changed = true
		}
	}
	k.pastEnds.Ends = ends
}

// fenceOutcome handles the result of a call before the first heartbeat.
func (k *Keeper) fenceOutcome(now time.Time, to berylexecutor.Target, o Outcome) {
	k.noteFence(to, o.Err)
	if k.heartbeat.Incarnation.Instance == "" {
		k.nextPoll = now.Add(k.pollPause(now, o.Err))
	}
}

// pollPause returns the pause after a listing call that failed.
func (k *Keeper) pollPause(now time.Time, err error) time.Duration {
	if !errors.Is(err, berylexecutor.ErrDown) {
		k.downSince = time.Time{}
		return _retryPause
	}
	if k.downSince.IsZero() {
		k.downSince = now
	}
	if now.Sub(k.downSince) > _lateCallWindow {
		return _retryPause
	}
	return DownPause
}

// noteFence raises the fence above that of an earlier process of this agent if it is too
// low. A call that was issued before this process raised its fence says nothing: a fence that
// is too high lets a later process of this agent make a new incarnation refuse no late starts
// of this one.
func (k *Keeper) noteFence(to berylexecutor.Target, err error) {
	if errors.Is(err, berylexecutor.ErrFenced) && to.Fence == k.fence {
		k.fence += _fenceStep
	}
}

// observe tracks whether the backend server replies, its clock and the fence.
func (k *Keeper) observe(now time.Time, to berylexecutor.Target, o Outcome) {
	if o.Listing.Clock > 0 {
		k.setClock(now, o.Listing.Clock)
	}
	k.noteFence(to, o.Err)
	was := k.failedCalls >= _unresponsiveAfter || k.down
	switch {
	case o.Err == nil || isReply(o.Err):
		k.failedCalls, k.down = 0, false
		k.lastReply = now
	case errors.Is(o.Err, berylexecutor.ErrDown):
		if !k.down {
			// The next incarnation may have the same name. The first call that it gets
			// then makes it refuse late starts meant for this one.
			k.fence++
			k.downAt, k.downSeq = now, k.lastSeq
		}
		k.down = true
		k.unverified = true
		k.unverifiedSeq = k.lastSeq
		k.failedCalls++
	default:
		k.unverified = true
		k.unverifiedSeq = k.lastSeq
		k.failedCalls++
	}
	if was != (k.failedCalls >= _unresponsiveAfter || k.down) {
		k.changed = true
	}
}

func isReply(err error) bool {
	return errors.Is(err, berylexecutor.ErrRefused) || errors.Is(err, berylexecutor.ErrSuperseded) ||
		errors.Is(err, berylexecutor.ErrFenced) || errors.Is(err, berylexecutor.ErrBusy) ||
		errors.Is(err, berylexecutor.ErrOtherInstance)
}

func (k *Keeper) startOutcome(now time.Time, c berylexecutor.StartCall, err error) {
	r := k.runs[c.Key]
	if r == nil {
		return
	}
	r.inFlight = false
	switch {
	case err == nil:
		if r.phase == starting {
			k.setPhase(now, r, accepted)
		}
		k.relist = true
	case errors.Is(err, berylexecutor.ErrSuperseded) && r.phase == starting:
		// The run may have ended. The listing after a stop tells.
		k.setPhase(now, r, stopping)
	case errors.Is(err, berylexecutor.ErrRefused) && r.phase == starting:
		// An earlier attempt may still be carried out, so the run is stopped first.
		if r.unconfirmed {
			k.setPhase(now, r, stopping)
			return
		}
		k.setPhase(now, r, absent)
	case errors.Is(err, berylexecutor.ErrBusy), errors.Is(err, berylexecutor.ErrFenced),
		errors.Is(err, berylexecutor.ErrDown), errors.Is(err, berylexecutor.ErrOtherInstance):
		r.retryAt = now.Add(_retryPause)
	default:
		r.unconfirmed = true
		r.retryAt = now.Add(_repeatPause)
		k.relist = true
	}
}

func (k *Keeper) stopOutcome(now time.Time, c berylexecutor.StopCall, o Outcome) {
	r := k.runs[c.Key]
	if r == nil {
		return
	}
	r.inFlight = false
	if o.Err != nil {
		r.retryAt = now.Add(_retryPause)
		return
	}
	if r.phase == stopping {
		r.phase = stopped
		r.changedAt = now
		r.stopSeq = k.lastSeq
		k.relist = true
	}
}

func (k *Keeper) renewOutcome(now time.Time, o Outcome) {
	if o.Err != nil {
		k.nextPoll = now.Add(k.pollPause(now, o.Err))
		return
	}
	k.downSince = time.Time{}
	if o.Listing.StartedAt != 0 && o.Listing.StartedAt != k.heartbeat.Incarnation.StartedAt {
		// A new incarnation with the same name replied before its first heartbeat
		// arrived. It has to refuse late starts meant for the previous one already.
		if o.Listing.StartedAt != k.otherStartedAt {
			k.otherStartedAt = o.Listing.StartedAt
			k.fence++
			k.relist = true
		}
		return
	}
	if !k.isNewer(o) {
		return
	}
	k.listingSeq = o.Seq
	k.listingFrom = k.lastSeq
	if !k.listed || differs(k.listing, o.Listing) {
		k.changed = true
	}
	if !k.listed {
		// An earlier process of this agent may have granted a full lease.
		k.deadline = max(k.deadline, o.Listing.Clock+k.Limits.Lease.Milliseconds())
	}
	k.listed = true
	k.listing = o.Listing
	k.listedRuns = make(map[berylreport.Key]bool, len(o.Listing.Runs))
	for _, r := range o.Listing.Runs {
		k.listedRuns[r.Key] = true
	}
	if o.Seq > k.unverifiedSeq {
		k.unverified = false
	}
	k.nextRelist = now.Add(k.ListingPause())
	k.nextPoll = k.nextRelist
	k.stopStrays(now)
	k.settleRuns(now, o)
}

// isNewer reports whether a listing was made after the last one that was used. The replies
// to two calls that were in flight together may arrive in either order, and a call that
// waits for an end may be answered after one that was issued later. The clock of the
// backend server tells which reply is newer, and within a millisecond the ends do.
func (k *Keeper) isNewer(o Outcome) bool {
	switch {
	case o.Seq <= k.incarnationFrom:
		return false
	case !k.listed || o.Seq > k.listingFrom:
		return true
	case o.Listing.Clock != k.listing.Clock:
		return o.Listing.Clock > k.listing.Clock
	default:
		return cmp.Or(cmp.Compare(lastEnd(o.Listing), max(lastEnd(k.listing), k.acked)), cmp.Compare(o.Seq, k.listingSeq)) > 0
	}
}

// lastEnd returns the number of the last listed end; zero if there is none.
func lastEnd(l berylexecutor.Listing) int64 {
	var n int64
	for _, e := range l.Ends {
		n = max(n, e.Seq)
	}
	return n
}

// stopStrays stops runs that exist in a new incarnation before anything was
// ordered there.
func (k *Keeper) stopStrays(now time.Time) {
	if !k.strays {
		return
	}
	for _, r := range k.listing.Runs {
		k.applyStop(now, r.Key)
	}
	if len(k.listing.Runs) == 0 {
		k.strays = false
		k.changed = true
	}
}

func differs(a, b berylexecutor.Listing) bool {
	if len(a.Runs) != len(b.Runs) || len(a.Ends) != len(b.Ends) {
		return true
	}
	for i := range a.Runs {
		if a.Runs[i].Key != b.Runs[i].Key {
			return true
		}
	}
	for i := range a.Ends {
		if a.Ends[i].Seq != b.Ends[i].Seq {
			return true
		}
	}
	return false
}

// settleRuns updates the runs according to a listing.
func (k *Keeper) settleRuns(now time.Time, o Outcome) {
	listed := k.listedRuns
	ended := map[berylreport.Key]bool{}
	for _, e := range o.Listing.Ends {
		ended[e.Key] = true
	}
	for _, key := range k.keys() {
		r := k.open[key]
		if listed[key] || ended[key] {
			r.listed = true
			if r.phase == starting && !r.inFlight {
				r.phase = accepted
				r.forgetStart()
			}
		}
		if r.phase != stopped || o.Seq <= r.stopSeq {
			continue
		}
		switch {
		case listed[key]:
			k.relistLater(now)
		case ended[key]:
			r.phase = accepted
			r.changedAt = now
		case o.Listing.Truncated:
			// Its end may follow those that are listed.
			k.relistLater(now)
		default:
			k.setPhase(now, r, absent)
		}
	}
}

// relistLater delays the next listing, as a stop takes some time to complete.
func (k *Keeper) relistLater(now time.Time) {
	k.nextPoll = now.Add(_stopPollPause)
	k.relist = false
}
