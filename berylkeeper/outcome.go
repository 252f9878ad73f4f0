package berylkeeper

import (
	"errors"
	"time"

	"berylglade/berylexecutor"
	"berylglade/berylreport"
)

// Outcome takes the result of a call in.
func (k *Keeper) Outcome(now time.Time, o Outcome) {
	switch c := o.Call.(type) {
	case berylexecutor.StartCall:
		if c.Instance == k.beat.Incarnation.Instance {
			k.heard(now, o)
			k.startOutcome(now, c, o.Err)
		}
	case berylexecutor.StopCall:
		if c.Instance == k.beat.Incarnation.Instance {
			k.heard(now, o)
			k.stopOutcome(now, c, o)
		}
	case berylexecutor.RenewCall:
		if o.Seq == k.holding {
			k.holding = 0
		}
		if c.Instance == k.beat.Incarnation.Instance {
			k.heard(now, o)
			k.holdOutcome(now, o)
		}
	}
}

// heard follows whether the backend server answers, and its clock.
func (k *Keeper) heard(now time.Time, o Outcome) {
	if o.Listing.Clock > 0 {
		k.setClock(now, o.Listing.Clock)
	}
	if errors.Is(o.Err, berylexecutor.ErrFenced) {
		k.fence += _fenceStep
	}
	was := k.silent >= _silentAfter || k.down
	switch {
	case o.Err == nil || answered(o.Err):
		k.silent, k.down = 0, false
		k.replied = now
	case errors.Is(o.Err, berylexecutor.ErrDown):
		k.down = true
		k.unsure = true
		k.unsureAt = k.issue
		k.silent++
	default:
		k.unsure = true
		k.unsureAt = k.issue
		k.silent++
	}
	if was != (k.silent >= _silentAfter || k.down) {
		k.changed = true
	}
}

func answered(err error) bool {
	return errors.Is(err, berylexecutor.ErrRefused) || errors.Is(err, berylexecutor.ErrFenced) ||
		errors.Is(err, berylexecutor.ErrBusy) || errors.Is(err, berylexecutor.ErrOtherInstance)
}

func (k *Keeper) startOutcome(now time.Time, c berylexecutor.StartCall, err error) {
	r := k.runs[c.Key]
	if r == nil {
		return
	}
	r.busy = false
	switch {
	case err == nil:
		if r.phase == wanted {
			k.set(now, r, accepted)
		}
		k.recheck = true
	case errors.Is(err, berylexecutor.ErrRefused) && r.phase == wanted:
		// An earlier try may still be carried out, so the run is stopped first.
		if r.doubt {
			k.set(now, r, stopping)
			return
		}
		k.set(now, r, absent)
	case errors.Is(err, berylexecutor.ErrBusy), errors.Is(err, berylexecutor.ErrFenced),
		errors.Is(err, berylexecutor.ErrDown), errors.Is(err, berylexecutor.ErrOtherInstance):
		r.next = now.Add(_retryPause)
	default:
		r.doubt = true
		r.next = now.Add(_repeatPause)
		k.recheck = true
	}
}

func (k *Keeper) stopOutcome(now time.Time, c berylexecutor.StopCall, o Outcome) {
	r := k.runs[c.Key]
	if r == nil {
		return
	}
	r.busy = false
	if o.Err != nil {
		r.next = now.Add(_retryPause)
		return
	}
	if r.phase == stopping {
		r.phase = stopped
		r.touched = now
		r.after = k.issue
		k.recheck = true
	}
}

func (k *Keeper) holdOutcome(now time.Time, o Outcome) {
	if o.Err != nil {
		k.nextAt = now.Add(_retryPause)
		return
	}
	if o.Listing.StartedAt != 0 && o.Listing.StartedAt != k.beat.Incarnation.StartedAt {
		// A new life under the same name answered before its heartbeat came.
		return
	}
	if o.Seq <= k.newest {
		return
	}
	k.newest = o.Seq
	if !k.looked || differs(k.list, o.Listing) {
		k.changed = true
	}
	if !k.looked {
		// An earlier process of this agent may have given a full lease.
		k.deadline = max(k.deadline, o.Listing.Clock+k.Limits.Lease.Milliseconds())
	}
	k.looked = true
	k.list = o.Listing
	if o.Seq > k.unsureAt {
		k.unsure = false
	}
	k.stopStrays(now)
	k.settleRuns(now, o)
}

// stopStrays stops what runs in a new life before anything was ordered there.
func (k *Keeper) stopStrays(now time.Time) {
	if !k.strays {
		return
	}
	for _, r := range k.list.Runs {
		k.wantStop(now, r.Key)
	}
	if len(k.list.Runs) == 0 {
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

// settleRuns moves runs on by what a listing has of them.
func (k *Keeper) settleRuns(now time.Time, o Outcome) {
	listed := map[berylreport.Key]bool{}
	for _, r := range o.Listing.Runs {
		listed[r.Key] = true
	}
	ended := map[berylreport.Key]bool{}
	for _, e := range o.Listing.Ends {
		ended[e.Key] = true
	}
	for _, key := range k.keys() {
		r := k.runs[key]
		if listed[key] || ended[key] {
			r.seen = true
		}
		if r.phase != stopped || o.Seq <= r.after {
			continue
		}
		switch {
		case listed[key]:
			k.recheckLater(now)
		case ended[key]:
			r.phase = accepted
			r.touched = now
		default:
			k.set(now, r, absent)
		}
	}
}

// recheckLater asks for another listing soon: a stop takes a moment.
func (k *Keeper) recheckLater(now time.Time) {
	k.nextAt = now.Add(_stopCheck)
	k.recheck = false
}
