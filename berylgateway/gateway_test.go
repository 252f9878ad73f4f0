package berylgateway

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylclock"
	"berylglade/beryldirector"
	"berylglade/berylerror"
	"berylglade/berylintake"
	"berylglade/berylpolicy"
	"berylglade/berylregistry"
	"berylglade/berylroom"
	"berylglade/berylrpc"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// emptyPolicy is a PolicyDecoder with a desired state of version 1.
type emptyPolicy struct{}

func (emptyPolicy) Replace([]berylstore.Record) error { return nil }
func (emptyPolicy) Apply([]berylstore.Record) error   { return nil }
func (emptyPolicy) Current() *berylpolicy.Policy      { return &berylpolicy.Policy{Version: 1} }

// testEntry is an entry whose access to the store can be cut off.
type testEntry struct {
	*Gateway
	// refused is true while the store refuses the calls of this entry.
	refused atomic.Bool
}

// startEntries starts n entries with a shared store, and waits until one leads and
// all have read the topic.
func startEntries(t *testing.T, m *memory, n int) []*testEntry {
	var listeners []net.Listener
	var addrs []string
	for range n {
		var cfg net.ListenConfig
		lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, lis)
		addrs = append(addrs, lis.Addr().String())
	}
	var entries []*testEntry
	for i := range n {
		e := &testEntry{}
		store := &storeView{memory: m, refused: e.refused.Load}
		registry := &berylregistry.Registry{Store: store, Clock: berylclock.System(), Topic: "addresses", Log: slog.New(slog.DiscardHandler)}
		e.Gateway = New(Config{
			Self: beryldirector.Self{Node: string(rune('a' + i)), Boot: 1, Addr: addrs[i]},
			Limits: beryldirector.Limits{
				LeaseExpiry: 9 * time.Second, Takeover: 2 * time.Second, LeaderLease: 1800 * time.Millisecond, Retention: time.Minute,
				Stop: 400 * time.Millisecond, Reclaim: 2900 * time.Millisecond, GangTimeout: 3 * time.Second, Checkpoint: 2 * time.Second, SpreadFactor: 3,
			},
			Store: store, Clock: berylclock.System(), Log: slog.New(slog.DiscardHandler), Policy: emptyPolicy{},
			TopicJobs: "jobs", TopicOperator: "op", Seeds: addrs, Entries: registry, Agents: registry,
			CountDecision: func(string) {}, ProducerName: addrs[i],
		})
		e.Start()
		var s berylrpc.Server
		e.Register(&s)
		go func() { _ = s.Serve(t.Context(), listeners[i]) }()
		go e.Run(t.Context())
		t.Cleanup(e.Close)
		entries = append(entries, e)
	}
	await(t, 3*time.Second, "a leader", func() bool { return leader(entries) != nil })
	for _, e := range entries {
		await(t, 3*time.Second, "a read", func() bool { return e.View.ReadsFailing(time.Now()) == 0 })
	}
	return entries
}

func leader(entries []*testEntry) *testEntry {
	for _, e := range entries {
		if e.Leading() {
			return e
		}
	}
	return nil
}

func await(t *testing.T, limit time.Duration, what string, ok func() bool) {
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func submit(id string) berylintake.Request {
	return berylintake.Request{
		Verb: berylintake.Submit, ID: id, Queue: berylpolicy.Queue{Name: "q"},
		Work: &berylwork.Work{Steps: []berylwork.Step{{Count: 1, Need: berylroom.Resources{Millicores: 1}}}},
	}
}

// Guards against refusals and stale replies at an entry that can't reach the store
// while its peers can.
func TestForwardsRequestsWithoutStoreAccess(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	entries := startEntries(t, m, 3)
	var isolated *testEntry
	for _, e := range entries {
		if !e.Leading() {
			isolated = e
		}
	}
	isolated.refused.Store(true)
	await(t, 2*time.Second, "failing reads", func() bool { return isolated.View.ReadsFailing(time.Now()) > 500*time.Millisecond })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	reply := isolated.Intake.Serve(ctx, submit("j1"))
	is.Equal(reply, berylintake.Reply{})
	is.True(m.has("/j1"))
	is.True(!isolated.View.Job("j1").Known)
	await(t, time.Second, "state from a peer", func() bool {
		reply = isolated.Intake.Serve(ctx, berylintake.Request{Verb: berylintake.State, ID: "j1"})
		return reply.Kind == 0 && reply.State == berylbook.Pending
	})
}

// Guards against an entry that denies a job which another entry has just accepted: its
// last read is older than the job.
func TestAcceptedJobIsKnownEverywhere(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	m.missAppends = true
	entries := startEntries(t, m, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for n, id := range []string{"j1", "j2", "j3", "j4"} {
		is.Equal(entries[n%len(entries)].Intake.Serve(ctx, submit(id)), berylintake.Reply{})
		for _, e := range entries {
			reply := e.Intake.Serve(ctx, berylintake.Request{Verb: berylintake.State, ID: id})
			is.Equal(reply.Kind, berylerror.Kind(0))
		}
	}
	reply := entries[0].Intake.Serve(ctx, berylintake.Request{Verb: berylintake.State, ID: "unknown"})
	is.Equal(reply.Kind, berylerror.Expired)
}

// Guards against a request that waits for a read of the store although the store does not
// answer this entry: its client, or the peer that forwarded it, tries another one.
func TestUnknownJobIsRefusedAtOnceWithoutStore(t *testing.T) {
	is := is.New(t)
	entries := startEntries(t, newMemory(), 2)
	isolated := entries[0]
	isolated.refused.Store(true)
	await(t, 2*time.Second, "failing reads", func() bool { return isolated.View.ReadsFailing(time.Now()) > 500*time.Millisecond })
	began := time.Now()
	reply := isolated.Intake.ServeForwarded(t.Context(), berylintake.Request{Verb: berylintake.State, ID: "unknown"})
	is.Equal(reply.Kind, berylerror.NotRun)
	is.True(time.Since(began) < 200*time.Millisecond)
}

// Guards against an entry that refuses every request with an API key because the store
// answers only its peers, and against one that takes an old state of a peer for fresh.
func TestPolicyIsConfirmedByPeers(t *testing.T) {
	tests := []struct {
		name    string
		all     bool
		version int64
		fresh   bool
	}{
		{name: "peers reach the store", version: 1, fresh: true},
		{name: "peers have a newer version", version: 2, fresh: true},
		{name: "no entry reaches the store", all: true, version: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			entries := startEntries(t, newMemory(), 2)
			isolated := entries[0]
			isolated.refused.Store(true)
			entries[1].refused.Store(tt.all)
			entries[1].View.SetPolicy(&berylpolicy.Policy{Version: tt.version}, time.Now())
			time.Sleep(4 * time.Second)
			p, confirmed := isolated.View.Policy()
			is.Equal(berylclock.Age(time.Now(), confirmed) < 2500*time.Millisecond, tt.fresh)
			is.Equal(p.Version, tt.version)
		})
	}
}

// Guards against requests that are forwarded from entry to entry during an outage of
// the store, and against a reply that leaves open whether the job was recorded.
func TestRefusesAsNotRunDuringOutage(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	entries := startEntries(t, m, 3)
	for _, e := range entries {
		e.refused.Store(true)
	}
	time.Sleep(1300 * time.Millisecond)
	go entries[0].Intake.Serve(t.Context(), submit("j0"))
	time.Sleep(1300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	began := time.Now()
	reply := entries[0].Intake.Serve(ctx, submit("j1"))
	is.Equal(reply.Kind, berylerror.NotRun)
	is.True(time.Since(began) < 200*time.Millisecond)
	is.True(!m.has("/j1"))
}

// Guards against a job that is recorded by a follower although the leader could do
// so, which delays it by a read, and against a lost job if the leader does not answer.
func TestLeaderRecordsJobs(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	entries := startEntries(t, m, 2)
	lead := leader(entries)
	for i, e := range entries {
		id := "j" + string(rune('0'+i))
		is.Equal(e.Intake.Serve(t.Context(), submit(id)), berylintake.Reply{})
		is.True(m.has("/" + id))
	}
	is.Equal(m.producers()["leader"], 2)
	lead.refused.Store(true)
	for _, e := range entries {
		if e != lead {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			is.Equal(e.Intake.Serve(ctx, submit("j9")), berylintake.Reply{})
		}
	}
	is.True(m.has("/j9"))
}

// Lets two entries claim the same epoch at the same moment; the store acknowledges both
// claims. Guards against two leaders, which start tasks twice and lose jobs.
func TestOneOfTwoAcknowledgedClaimsLeads(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	m.claimants = 2
	m.missAppends = true
	entries := startEntries(t, m, 2)
	for range 50 {
		is.True(!entries[0].Leading() || !entries[1].Leading())
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against an event that ends the process of the leader, and then those of its
// successors, and against a director that decides with partly changed state.
func TestPanicEndsOnlyTheLead(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	entries := startEntries(t, m, 2)
	lead := leader(entries)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.Equal(lead.Intake.Serve(ctx, submit("j1")), berylintake.Reply{})
	lead.loop.Tell(leadAsked{reply: func(int64) { panic("malformed") }})
	await(t, time.Second, "the end of the lead", func() bool { return !lead.Leading() })
	await(t, 4*time.Second, "a leader", func() bool { return leader(entries) != nil })
	is.Equal(lead.Intake.Serve(ctx, submit("j2")), berylintake.Reply{})
	for _, e := range entries {
		for _, id := range []string{"j1", "j2"} {
			reply := e.Intake.Serve(ctx, berylintake.Request{Verb: berylintake.State, ID: id})
			is.Equal(reply.Kind, berylerror.Kind(0))
		}
	}
}

// Guards against waiting for the takeover timeout of two seconds when only the leader
// can't reach the store, and against a leader that resigns when no entry can.
func TestLeaderYieldsWithoutStoreAccess(t *testing.T) {
	tests := []struct {
		name   string
		all    bool
		yields bool
	}{
		{name: "leader only", yields: true},
		{name: "all entries", all: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			entries := startEntries(t, newMemory(), 3)
			lead := leader(entries)
			for _, e := range entries {
				e.refused.Store(tt.all || e == lead)
			}
			if tt.yields {
				await(t, 1700*time.Millisecond, "another leader", func() bool {
					l := leader(entries)
					return l != nil && l != lead
				})
				return
			}
			time.Sleep(1700 * time.Millisecond)
			is.True(lead.Leading())
		})
	}
}
