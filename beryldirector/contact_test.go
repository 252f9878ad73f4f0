package beryldirector

import (
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
)

// A start waits for its record during an outage of the store, in which the leader lease
// ends and reports are no contact. Guards against a start that is sent after the outage,
// given up at once because the lease must have expired, and still carried out.
func TestStartIsSentOnlyWithRecentContact(t *testing.T) {
	h := newHarness(t)
	limits := testLimits()
	h.report("n1", nil)
	h.holdAppends = true
	h.submit("j1", "routine", step(1, 1))
	h.is.Equal(h.phase("j1", 0), berylbook.Ordered)
	var contact int64
	for range int((limits.LeaderLease + limits.LeaderTimeout) / (500 * time.Millisecond)) {
		h.advance(500 * time.Millisecond)
		if h.report("n1", nil).FromLeader {
			contact = h.now.UnixMilli()
		}
	}
	h.advance(500 * time.Millisecond)
	h.is.True(h.now.UnixMilli()-contact > limits.LeaderTimeout.Milliseconds())
	h.holdAppends = false
	h.d.Committed(h.now)
	h.is.Equal(len(h.d.Orders(h.now)["n1"].Start), 0)
	h.advance(100 * time.Millisecond)
	h.is.Equal(len(h.d.Orders(h.now)["n1"].Start), 0)
	h.is.True(h.report("n1", nil).FromLeader)
	h.now = h.now.Add(_orderInterval)
	o := h.d.Orders(h.now)["n1"]
	h.is.Equal(len(o.Start), 1)
	h.is.True(o.Basis > contact+limits.LeaderTimeout.Milliseconds())
}

// A backend server restarts: its new clock has nothing to do with the old one. Guards
// against a start whose basis is of an earlier incarnation, which never gets old.
func TestBasisIsOfTheIncarnation(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.holdAppends = true
	h.advance(testLimits().LeaderLease + 100*time.Millisecond)
	restarted := func(r *berylreport.Report) {
		r.Incarnation.StartedAt++
		r.Clock = 100
	}
	h.is.True(!h.report("n1", restarted).FromLeader)
	h.is.Equal(h.d.Orders(h.now)["n1"].Basis, int64(0))
	h.holdAppends = false
	h.d.Committed(h.now)
	h.advance(100 * time.Millisecond)
	h.is.True(h.report("n1", restarted).FromLeader)
	h.now = h.now.Add(_orderInterval)
	h.d.agents["n1"].sentFingerprint = ""
	h.is.Equal(h.d.Orders(h.now)["n1"].Basis, int64(100))
}
