package berylkeeper

import (
	"time"

	"berylglade/berylreport"
)

// Orders handles orders of the leader.
func (k *Keeper) Orders(now time.Time, o berylreport.Orders) berylreport.Receipt {
	if o.Epoch < k.epoch {
		return berylreport.Receipt{Epoch: k.epoch}
	}
	k.epoch = o.Epoch
	if o.Incarnation != k.heartbeat.Incarnation {
		k.changed = true
		return berylreport.Receipt{Epoch: k.epoch}
	}
	k.ack(o.Acked)
	late := !k.applyStarts(now, o)
	for _, key := range o.Stop {
		k.applyStop(now, key)
	}
	return berylreport.Receipt{Epoch: k.epoch, Late: late}
}

func (k *Keeper) ack(n int64) {
	if n > k.acked {
		k.acked = n
		k.relist = true
	}
}

// applyStarts applies the starts of orders, unless the orders were delivered so late that
// the leader may have given up the runs, or are meant for an earlier process of this agent.
// Then it returns false, and the leader orders what it still wants again after the next
// report.
func (k *Keeper) applyStarts(now time.Time, o berylreport.Orders) bool {
	if len(o.Start) == 0 {
		return true
	}
	until := o.Basis + k.Limits.LeaderTimeout.Milliseconds()
	if o.Boot != k.Boot || o.Basis <= k.minBasis || k.BackendClock(now) > until {
		k.changed = true
		return false
	}
	for _, s := range o.Start {
		k.applyStart(now, s, until)
	}
	return true
}

func (k *Keeper) applyStart(now time.Time, s berylreport.Start, until int64) {
	if r := k.runs[s.Key]; r != nil {
		r.startUntil = max(r.startUntil, until)
		return
	}
	r := &run{start: s, phase: starting, unconfirmed: k.inherited, changedAt: now, startUntil: until}
	k.runs[s.Key], k.open[s.Key] = r, r
	switch {
	case k.listedRuns[s.Key]:
		// An earlier process of this agent has started it.
		r.phase = accepted
		r.forgetStart()
	case k.heartbeat.Draining && !r.unconfirmed:
		// The leader ordered this start before it learned that the backend server is
		// draining.
		r.phase = absent
		k.changed = true
	}
}

func (k *Keeper) applyStop(now time.Time, key berylreport.Key) {
	r := k.runs[key]
	if r == nil {
		r = &run{start: berylreport.Start{Key: key}, unconfirmed: true}
		k.runs[key], k.open[key] = r, r
	}
	if r.phase == starting && !r.unconfirmed && !r.inFlight {
		k.setPhase(now, r, absent)
		return
	}
	switch r.phase {
	case stopping, stopped:
	case absent:
		k.changed = true
	default:
		k.setPhase(now, r, stopping)
	}
}
