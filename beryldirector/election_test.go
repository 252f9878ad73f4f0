package beryldirector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// Guards against progress by an earlier leader that overwrites newer state of this
// leader when the topic is read again from its newest records.
func TestRereadKeepsTheLeadersState(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", step(1, 1))
	old, _, err := h.d.Book.Jobs["j1"].Changes(0, &berylbook.Recorded{}, berylbook.Room{Records: 10, Bytes: 1 << 20, Limits: testLimits().Store})
	h.is.NoErr(err)
	h.holdAppends = true
	h.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	h.d.ApplyRecords(h.now, old, h.topicEnd)
	h.is.Equal(h.phase("j1", 0), berylbook.Done)
}

// Guards against a claim by an entry whose Book may hold changes that were never
// recorded.
func TestNoClaimBeforeReload(t *testing.T) {
	h := newHarness(t)
	h.d.Deposed()
	claims := h.claims
	h.advance(5 * time.Second)
	h.is.Equal(h.claims, claims)
	h.d.Restore(h.now, h.d.Book, h.topicEnd)
	h.advance(5 * time.Second)
	h.is.True(h.claims > claims)
}

// Guards against an answer that extends a lease when another entry may lead already.
func TestAnswerExtendsLeaseOnlyWithLeaderLease(t *testing.T) {
	h := newHarness(t)
	h.is.True(h.report("n1", nil).FromLeader)
	h.holdAppends = true
	h.advance(3 * time.Second)
	h.is.True(!h.report("n1", nil).FromLeader)
}

// Guards against a leader on a VM that is too small for the reports of all agents
// while entries on larger VMs are available.
func TestSmallEntriesClaimLast(t *testing.T) {
	is := is.New(t)
	for epoch := range int64(20) {
		small := New(Self{Node: "small", Cores: 0.192}, testLimits())
		large := New(Self{Node: "large", Cores: 0.8}, testLimits())
		is.True(small.claimDelay(epoch) > large.claimDelay(epoch))
	}
}

// Guards against a backend server that is idle for seconds after an election: its
// agent asks the entries for the leader, and an entry that can't read the topic
// still names the leader that was deposed.
func TestStaleEntryNamesNoLeader(t *testing.T) {
	h := newHarness(t)
	other := New(Self{Node: "entry-2", Boot: 1, Addr: "10.0.0.8:7000"}, testLimits())
	r, err := h.d.Book.Claim.Record()
	h.is.NoErr(err)
	other.ApplyRecords(h.now, []berylstore.Record{r}, 1)
	h.is.Equal(other.Report(h.now, berylreport.Report{Node: "a"}).Leader, h.d.Self.Addr)
	later := h.now.Add(_maxReadAge + time.Millisecond)
	h.is.Equal(other.Report(later, berylreport.Report{Node: "a"}).Leader, "")
}

// Guards against agents that learn of a new leader only after requests to the
// previous one have timed out.
func TestLeaderAnnouncesItself(t *testing.T) {
	is := is.New(t)
	d := New(Self{Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}, testLimits())
	d.Restore(startTime(), berylbook.Book{}, 0)
	c := berylbook.Claim{Epoch: 1, Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}
	r, err := c.Record()
	is.NoErr(err)
	d.ApplyRecords(startTime(), []berylstore.Record{r}, 1)
	announced := 0
	for _, e := range d.Effects() {
		if a, ok := e.(Announce); ok {
			is.Equal(a.Epoch, int64(1))
			announced++
		}
	}
	is.Equal(announced, 1)
}

// Guards against another 500 ms without a leader after a power loss because clients'
// records reached the topic just before the claim, and against another 800 ms, the
// time until the next read, because such a record was read before the claim's
// rejection arrived.
func TestClaimIsRepeatedAfterConflict(t *testing.T) {
	tests := []struct {
		name       string
		readBefore bool
	}{
		{name: "record read after the rejection"},
		{name: "record read before the rejection", readBefore: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := New(Self{Node: "entry-1", Boot: 2, Addr: "10.0.0.9:7000"}, testLimits())
			now := startTime()
			claims := func() []Claim {
				var all []Claim
				d.Step(now)
				for _, e := range d.Effects() {
					if c, ok := e.(Claim); ok {
						is.Equal(c.At, d.topicEnd)
						all = append(all, c)
					}
				}
				return all
			}
			d.Restore(now, berylbook.Book{Claim: berylbook.Claim{Epoch: 1, Node: "entry-1", Boot: 1}}, 7)
			first := claims()
			is.Equal(len(first), 1)
			if tt.readBefore {
				d.ApplyRecords(now, nil, 8)
			}
			d.ClaimConflict(first[0])
			now = now.Add(10 * time.Millisecond)
			if !tt.readBefore {
				is.Equal(len(claims()), 0)
				d.ApplyRecords(now, nil, 8)
			}
			is.Equal(len(claims()), 1)
		})
	}
}

// Guards against a job that is known only to a deposed leader, although its client
// was told that it was accepted.
func TestDeposedLeaderDropsEnqueuedRecords(t *testing.T) {
	h := newHarness(t)
	s := berylbook.Submission{Work: berylwork.Work{ID: "j1", Queue: "urgent", Steps: []berylwork.Step{step(1, 1)}}}
	r, err := s.Record()
	h.is.NoErr(err)
	h.holdAppends = true
	h.is.NoErr(h.d.EnqueueRecord(h.now, r))
	h.d.Deposed()
	h.d.Effects()
	h.is.True(h.d.EnqueueRecord(h.now, r) != nil)
	h.d.Step(h.now.Add(time.Second))
	for _, e := range h.d.Effects() {
		_, persist := e.(Persist)
		h.is.True(!persist)
	}
}

// Guards against a leader that yields although its append was answered during the
// probe, and against an entry that claims leadership while a newer leader exists.
func TestLeaderYieldsToPeer(t *testing.T) {
	h := newHarness(t)
	h.holdAppends = true
	h.submit("j1", "routine", step(1, 1))
	h.advance(_probeAfter - 100*time.Millisecond)
	h.is.True(!h.d.Yield(h.now, h.d.Epoch()))
	h.advance(time.Second)
	h.is.True(!h.d.Yield(h.now, h.d.Epoch()-1))
	epoch := h.d.Epoch()
	h.is.True(h.d.Yield(h.now, epoch))
	h.is.True(!h.d.Leading())
	h.is.True(!h.report("n1", nil).FromLeader)

	other := New(Self{Node: "entry-2", Boot: 1, Addr: "10.0.0.8:7000"}, testLimits())
	claims := func() bool {
		other.Step(h.now)
		for _, e := range other.Effects() {
			if _, ok := e.(Claim); ok {
				return true
			}
		}
		return false
	}
	other.Restore(h.now, berylbook.Book{Claim: berylbook.Claim{Epoch: epoch, Node: "entry-1", Boot: 1}}, 9)
	other.YieldReceived(epoch - 1)
	h.is.True(!claims())
	other.YieldReceived(epoch)
	h.is.True(claims())
}

// follower returns a Director that has read a claim of entry-2 and a run ordered by it,
// and when.
func follower(t *testing.T) (*Director, time.Time) {
	is := is.New(t)
	d := New(Self{Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}, testLimits())
	d.Policy = testPolicy()
	now := startTime()
	d.Restore(now, berylbook.Book{}, 0)
	claim := berylbook.Claim{Epoch: 1, Node: "entry-2", Boot: 1, Addr: "10.0.0.8:7000"}
	elected, err := claim.Record()
	is.NoErr(err)
	work := berylwork.Work{ID: "j1", Queue: "routine", Steps: []berylwork.Step{step(1, 1)}}
	submission, err := (&berylbook.Submission{Work: work}).Record()
	is.NoErr(err)
	j := berylbook.NewJob(&work)
	*j.At(0, 0, 0) = berylbook.Task{Run: 1, Phase: berylbook.Ordered, Incarnation: incarnation("n1")}
	started, _, err := j.Changes(1, &berylbook.Recorded{}, berylbook.Room{Records: 10, Bytes: 1 << 20, Limits: testLimits().Store})
	is.NoErr(err)
	// The entry has read the topic for longer than any delay of a claim.
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		d.ApplyRecords(now, nil, 0)
	}
	d.ApplyRecords(now, append([]berylstore.Record{elected, submission}, started...), 4)
	d.Effects()
	return d, now
}

// Guards against two seconds without a leader although its process is gone, and against
// a takeover from a leader that answers, or that one check did not reach.
func TestTakeoverFromUnreachableLeader(t *testing.T) {
	const latest = 1600 * time.Millisecond
	tests := []struct {
		name   string
		failed int
		want   bool
	}{
		{name: "leader answers"},
		{name: "one check failed", failed: 1},
		{name: "two checks failed", failed: 2, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, seen := follower(t)
			failed, claims := 0, 0
			for now := seen; now.Sub(seen) < latest; now = now.Add(50 * time.Millisecond) {
				d.ApplyRecords(now, nil, 4)
				d.Step(now)
				for _, e := range d.Effects() {
					switch e := e.(type) {
					case CheckLeader:
						is.True(now.Sub(seen) >= _checkAfter)
						is.Equal(e, CheckLeader{Epoch: 1, Addr: "10.0.0.8:7000"})
						if failed < tt.failed {
							failed++
							d.LeaderUnreachable(e.Epoch)
						}
					case Claim:
						is.True(now.Sub(seen) >= _earlyTakeover)
						claims++
					}
				}
			}
			is.Equal(claims > 0, tt.want)
		})
	}
}

// The earlier leader is only cut off from this entry and goes on to extend leases until
// its leader lease ends. Guards against a run that is given up while its lease, extended
// meanwhile, is still valid: its task would run twice at the same time.
func TestEarlyTakeoverCountsTheEarlierLeaderLease(t *testing.T) {
	is := is.New(t)
	d, seen := follower(t)
	now := seen.Add(_earlyTakeover)
	claim := berylbook.Claim{Epoch: 2, Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}
	r, err := claim.Record()
	is.NoErr(err)
	d.claimedAt = now
	d.ApplyRecords(now, []berylstore.Record{r}, 5)
	is.True(d.Leading())
	leaseEnd := seen.Add(testLimits().LeaderLease).Add(testLimits().LeaseExpiry)
	for now.Before(leaseEnd) {
		is.Equal(d.Book.Jobs["j1"].At(0, 0, 0).Phase.Active(), true)
		now = now.Add(50 * time.Millisecond)
		d.ApplyRecords(now, nil, 5)
		d.Step(now)
		for _, e := range d.Effects() {
			if _, ok := e.(Persist); ok {
				d.Committed(now)
			}
		}
	}
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		d.Step(now)
	}
	is.True(d.Book.Jobs["j1"].At(0, 0, 0).Run == 1 && !d.Book.Jobs["j1"].At(0, 0, 0).Phase.Active())
}

// The store was away for all entries for longer than the takeover timeout, and the leader
// is gone. Guards against a lead that goes to an entry on a small VM: the delays had all
// passed before the end of the outage, so that the first claim won.
func TestSmallEntryWaitsAfterOutage(t *testing.T) {
	is := is.New(t)
	tests := []struct {
		name  string
		cores float64
		until time.Duration
		want  bool
	}{
		{name: "large", cores: 0.8, until: _claimSlots * _claimSpacing, want: true},
		{name: "small", cores: 0.192, until: _claimSlots * _claimSpacing},
		{name: "small, nobody else claims", cores: 0.192, until: 2*_claimSlots*_claimSpacing + 100*time.Millisecond, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, seen := follower(t)
			d.Self.Cores = tt.cores
			end := seen.Add(9 * time.Second)
			claims := 0
			for now := end; now.Sub(end) < tt.until; now = now.Add(20 * time.Millisecond) {
				d.ApplyRecords(now, nil, 4)
				d.Step(now)
				for _, e := range d.Effects() {
					switch e := e.(type) {
					case CheckLeader:
						d.LeaderUnreachable(e.Epoch)
					case Claim:
						claims++
					}
				}
			}
			is.Equal(claims > 0, tt.want)
		})
	}
}

// Guards against a leader that loses its lead with each outage of the store for all: the
// others claim before its next append, and its agents have to report anew.
func TestLeaderThatAnswersKeepsTheLeadAfterOutage(t *testing.T) {
	is := is.New(t)
	d, seen := follower(t)
	end := seen.Add(9 * time.Second)
	now := end
	claims := 0
	step := func() {
		now = now.Add(20 * time.Millisecond)
		d.ApplyRecords(now, nil, 4)
		d.Step(now)
		for _, e := range d.Effects() {
			if _, ok := e.(Claim); ok {
				claims++
			}
		}
	}
	for now.Sub(end) < testLimits().Takeover-100*time.Millisecond {
		step()
	}
	is.Equal(claims, 0)
	for now.Sub(end) < testLimits().Takeover+_claimSlots*_claimSpacing+100*time.Millisecond {
		step()
	}
	is.True(claims > 0)
}

// Guards against a deposed leader that is called every 22 ms for orders which it no longer
// sends.
func TestNothingIsDeferredWithoutTheLead(t *testing.T) {
	h := newHarness(t)
	_ = h.d.Orders(h.now)
	_ = h.d.Orders(h.now)
	h.is.True(h.d.Deferred())
	h.d.Deposed()
	h.is.True(!h.d.Deferred())
}
