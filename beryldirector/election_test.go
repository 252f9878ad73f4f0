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

// Guards against progress that an earlier leader wrote undoing what this one
// knows, when the topic is read again from its newest records.
func TestReloadKeepsTheLeadersBook(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(1, 1))
	old, err := b.d.Book.Jobs["j1"].Record(0)
	b.is.NoErr(err)
	b.hold = true
	b.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	b.d.Read(b.now, []berylstore.Record{old}, b.end)
	b.is.Equal(b.phase("j1", 0), berylbook.Done)
}

// Guards against a claim by an entry whose book may hold what was never
// recorded.
func TestNoClaimBeforeTheBookIsReadAgain(t *testing.T) {
	b := newBench(t)
	b.d.Deposed()
	claims := b.claims
	b.pass(5 * time.Second)
	b.is.Equal(b.claims, claims)
	b.d.Restore(b.now, b.d.Book, b.end)
	b.pass(5 * time.Second)
	b.is.True(b.claims > claims)
}

// Guards against an answer that extends leases after another entry may lead.
func TestAnswerCountsOnlyWhileSure(t *testing.T) {
	b := newBench(t)
	b.is.True(b.report("n1", nil).FromLeader)
	b.hold = true
	b.pass(3 * time.Second)
	b.is.True(!b.report("n1", nil).FromLeader)
}

// Guards against the lead on a VM that is too small for the reports of all agents
// while larger ones are there.
func TestSmallEntriesClaimLast(t *testing.T) {
	is := is.New(t)
	for epoch := range int64(20) {
		small := New(Self{Node: "small", Cores: 0.192}, testLimits())
		large := New(Self{Node: "large", Cores: 0.8}, testLimits())
		is.True(small.delay(epoch) > large.delay(epoch))
	}
}

// Guards against a backend server without work for seconds after an election: an
// agent that finds the last leader silent asks entries, and one that can't read
// the topic still names the leader that was deposed.
func TestStaleEntryNamesNoLeader(t *testing.T) {
	b := newBench(t)
	other := New(Self{Node: "entry-2", Boot: 1, Addr: "10.0.0.8:7000"}, testLimits())
	r, err := b.d.Book.Claim.Record()
	b.is.NoErr(err)
	other.Read(b.now, []berylstore.Record{r}, 1)
	b.is.Equal(other.Report(b.now, berylreport.Report{Node: "a"}).Leader, b.d.Self.Addr)
	later := b.now.Add(_fresh + time.Millisecond)
	b.is.Equal(other.Report(later, berylreport.Report{Node: "a"}).Leader, "")
}

// Guards against agents that find a new leader only when the last one has not
// answered for a while.
func TestLeaderAnnouncesItself(t *testing.T) {
	is := is.New(t)
	d := New(Self{Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}, testLimits())
	d.Restore(begin(), berylbook.Book{}, 0)
	c := berylbook.Claim{Epoch: 1, Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}
	r, err := c.Record()
	is.NoErr(err)
	d.Read(begin(), []berylstore.Record{r}, 1)
	announced := 0
	for _, e := range d.Effects() {
		if a, ok := e.(Announce); ok {
			is.Equal(a.Epoch, int64(1))
			announced++
		}
	}
	is.Equal(announced, 1)
}

// Guards against a system without a leader for another half second after a power
// loss, because clients' records reached the topic just before the claim.
func TestClaimIsRepeatedWhenTheTopicHasMoved(t *testing.T) {
	is := is.New(t)
	d := New(Self{Node: "entry-1", Boot: 2, Addr: "10.0.0.9:7000"}, testLimits())
	now := begin()
	claims := func() int {
		n := 0
		d.Step(now)
		for _, e := range d.Effects() {
			if c, ok := e.(Claim); ok {
				n++
				is.Equal(c.At, d.end)
			}
		}
		return n
	}
	d.Restore(now, berylbook.Book{Claim: berylbook.Claim{Epoch: 1, Node: "entry-1", Boot: 1}}, 7)
	is.Equal(claims(), 1)
	d.ClaimMoved(now)
	now = now.Add(10 * time.Millisecond)
	is.Equal(claims(), 0)
	d.Read(now, nil, 8)
	is.Equal(claims(), 1)
}

// Guards against a job that only an entry knows which does not lead any more: its
// client would be told that it was accepted.
func TestDeposedLeaderForgetsWhatItWasHanded(t *testing.T) {
	b := newBench(t)
	s := berylbook.Submission{Work: berylwork.Work{ID: "j1", Queue: "urgent", Steps: []berylwork.Step{step(1, 1)}}}
	r, err := s.Record()
	b.is.NoErr(err)
	b.hold = true
	b.is.True(b.d.Enter(b.now, r))
	b.d.Deposed()
	b.d.Effects()
	b.is.True(!b.d.Enter(b.now, r))
	b.d.Step(b.now.Add(time.Second))
	for _, e := range b.d.Effects() {
		_, persist := e.(Persist)
		b.is.True(!persist)
	}
}

// Guards against a leader that gives up although its append was answered while a
// peer was asked, and against an entry that claims against a newer leader.
func TestYield(t *testing.T) {
	b := newBench(t)
	b.hold = true
	b.submit("j1", "routine", step(1, 1))
	b.pass(_probeAfter - 100*time.Millisecond)
	b.is.True(!b.d.Yield(b.now, b.d.Epoch()))
	b.pass(time.Second)
	b.is.True(!b.d.Yield(b.now, b.d.Epoch()-1))
	epoch := b.d.Epoch()
	b.is.True(b.d.Yield(b.now, epoch))
	b.is.True(!b.d.Leading())
	b.is.True(!b.report("n1", nil).FromLeader)

	other := New(Self{Node: "entry-2", Boot: 1, Addr: "10.0.0.8:7000"}, testLimits())
	claims := func() bool {
		other.Step(b.now)
		for _, e := range other.Effects() {
			if _, ok := e.(Claim); ok {
				return true
			}
		}
		return false
	}
	other.Restore(b.now, berylbook.Book{Claim: berylbook.Claim{Epoch: epoch, Node: "entry-1", Boot: 1}}, 9)
	other.Yielded(epoch - 1)
	b.is.True(!claims())
	other.Yielded(epoch)
	b.is.True(claims())
}
