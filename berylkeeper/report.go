package berylkeeper

import (
	"time"

	"berylglade/berylreport"
)

// leaseExpired reports whether no run can exist any more: no process listens at
// the address, or the lease has expired even if the clock of the backend server
// is slow.
func (k *Keeper) leaseExpired(now time.Time) bool {
	if k.down {
		return true
	}
	if k.failedCalls < _unresponsiveAfter || k.lastReply.IsZero() || !k.listed {
		return false
	}
	elapsed := float64(now.Sub(k.clockReadAt).Milliseconds()) * _minClockRate
	return k.clock+int64(elapsed) > k.deadline+_expiryMargin.Milliseconds()
}

// Changed reports whether there is news for the leader since the last call of
// Changed.
func (k *Keeper) Changed() bool {
	c := k.changed
	k.changed = false
	return c
}

// unackedEnds returns the listed ends that the leader has not acknowledged.
func (k *Keeper) unackedEnds() []berylreport.End {
	var ends []berylreport.End
	for _, e := range k.listing.Ends {
		if e.Seq > k.acked {
			ends = append(ends, e)
		}
	}
	return ends
}

// remaining returns the minimum time in milliseconds until the backend server shuts
// down, which its last heartbeat gave.
func (k *Keeper) remaining(now time.Time) int64 {
	return max(k.heartbeat.Remaining-now.Sub(k.heartbeatAt).Milliseconds(), 0)
}

// Report returns the report to send to the leader.
func (k *Keeper) Report(now time.Time) berylreport.Report {
	k.reportSeq++
	expired := k.leaseExpired(now)
	if expired {
		k.dropStarts(now)
	}
	r := berylreport.Report{
		Node: k.Node, Addr: k.Addr, Seq: k.reportSeq, Boot: k.Boot, Clock: k.BackendClock(now), Incarnation: k.heartbeat.Incarnation,
		Service: k.heartbeat.Service, Zone: k.heartbeat.Zone, Labels: k.heartbeat.Labels, Capacity: k.heartbeat.Capacity,
		Draining: k.heartbeat.Draining, Remaining: k.remaining(now),
		Listed: k.listed, Unresponsive: k.failedCalls >= _unresponsiveAfter || k.down, LeaseExpired: expired,
		Runs: k.listing.Runs, Ends: k.unackedEnds(), Truncated: k.listing.Truncated, PastEnds: k.pastEnds,
	}
	for _, key := range k.keys() {
		run := k.open[key]
		switch {
		case run.phase == absent:
			r.Absent = append(r.Absent, key)
		case !run.listed && (run.phase == starting || run.phase == accepted):
			r.Received = append(r.Received, key)
		}
	}
	return r
}
