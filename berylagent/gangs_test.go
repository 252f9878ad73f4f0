package berylagent

import (
	"context"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylclock"
	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylgang"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
	"berylglade/berylshape"
	"berylglade/berylstandworker"
	"berylglade/berylworker"
)

// gangBench is a number of agents with workers, and one entry. The test is the
// leader.
type gangBench struct {
	t       *testing.T
	entry   *testEntry
	client  *berylrpc.Client
	workers []*berylstandworker.Server
	agents  []*testAgent
	urls    []string
	drain   time.Duration
}

func newGangBench(t *testing.T, n int, drain time.Duration) *gangBench {
	t.Helper()
	b := &gangBench{t: t, entry: newTestEntry(t), client: berylrpc.NewClient(), drain: drain}
	t.Cleanup(func() { _ = b.client.Close() })
	total := berylshape.Shape{Accelerators: 8}
	for i := range n {
		w := berylstandworker.New(berylstandworker.Settings{Total: total}, berylclock.System())
		srv := httptest.NewServer(w)
		t.Cleanup(srv.Close)
		b.workers = append(b.workers, w)
		b.urls = append(b.urls, srv.URL)
		b.agents = append(b.agents, nil)
		b.startAgent(i)
	}
	return b
}

// startAgent starts the agent of a worker, or a successor of the one before.
func (b *gangBench) startAgent(i int) {
	b.t.Helper()
	b.agents[i] = startAgent(b.t, Settings{
		Name: "a" + strconv.Itoa(i), Domain: "d", Rack: "r", Entries: []string{b.entry.addr},
		Worker: b.urls[i], Total: berylshape.Shape{Accelerators: 8}, Drain: berylduration.Duration(b.drain),
	})
	eventually(b.t, "agent can start work", func() bool {
		s, err := b.agents[i].State(context.Background())
		return err == nil && s.Worker && s.Refusal == ""
	})
}

func (b *gangBench) members() []beryljob.Member {
	var members []beryljob.Member
	for _, a := range b.agents {
		members = append(members, beryljob.Member{Agent: a.settings.Name, Incarnation: a.Incarnation, Addr: a.Addr, Tasks: 2})
	}
	return members
}

func (b *gangBench) reserve(i, attempt int) error {
	_, err := berylrpc.Call[berylmessage.Reserve, berylmessage.ReserveReply](context.Background(), b.client, b.agents[i].Addr,
		berylmessage.MethodReserve, &berylmessage.Reserve{
			Term: 1, Job: "j", Attempt: attempt, Tasks: 2, Shape: berylshape.Shape{Accelerators: 4}, Hold: 10 * time.Second,
		})
	return err
}

func (b *gangBench) start(i, attempt int, payload string) error {
	_, err := berylrpc.Call[berylmessage.Start, berylmessage.StartReply](context.Background(), b.client, b.agents[i].Addr,
		berylmessage.MethodStart, &berylmessage.Start{
			Term: 1, Attempt: attempt, Members: b.members(), Index: i, ArmTimeout: 2 * time.Second,
			Job: beryljob.Job{ID: "j", Account: "x", Class: "c", Payload: payload},
		})
	return err
}

func (b *gangBench) stop(i, attempt int, checkpoint bool) error {
	_, err := berylrpc.Call[berylmessage.Stop, berylmessage.StopReply](context.Background(), b.client, b.agents[i].Addr,
		berylmessage.MethodStop, &berylmessage.Stop{Term: 1, Job: "j", Attempt: attempt, Checkpoint: checkpoint, Reason: "cancelled"})
	return err
}

// run starts a gang on all agents.
func (b *gangBench) run(payload string) {
	b.t.Helper()
	is := is.New(b.t)
	for i := range b.agents {
		is.NoErr(b.reserve(i, 1))
	}
	for i := range b.agents {
		is.NoErr(b.start(i, 1, payload))
	}
}

// count returns the number of tasks of all workers in a state.
func (b *gangBench) count(state berylworker.State) int {
	n := 0
	for _, w := range b.workers {
		for _, r := range w.Ledger() {
			if r.State == state {
				n++
			}
		}
	}
	return n
}

// report returns the anchor's report of the gang in its last heartbeat.
func (b *gangBench) report(attempt int) berylmessage.GangReport {
	b.entry.mu.Lock()
	defer b.entry.mu.Unlock()
	for i := len(b.entry.beats) - 1; i >= 0; i-- {
		if beat := b.entry.beats[i]; beat.Agent == "a0" {
			for _, g := range beat.Gangs {
				if g.Job == "j" && g.Attempt == attempt {
					return g
				}
			}
			return berylmessage.GangReport{}
		}
	}
	return berylmessage.GangReport{}
}

// free reports whether no agent holds resources.
func (b *gangBench) free() bool {
	for _, a := range b.agents {
		s, err := a.State(context.Background())
		if err != nil || s.Free != s.Total {
			return false
		}
	}
	return true
}

// Guards against a gang that does not reach its end or does not report it until
// it is told to forget, and against resources that stay in use.
func TestGangDone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newGangBench(t, 3, 0)
	b.run("run=3s")
	eventually(t, "all tasks run", func() bool { return b.count(berylworker.Running) == 6 })
	eventually(t, "whole gang is reported as running", func() bool {
		g := b.report(1)
		return g.Phase == berylmessage.GangRunning && g.Whole
	})
	is.NoErr(b.start(0, 1, "run=3s")) // sent again by a successor of the leader
	eventually(t, "whole gang is reported as done", func() bool {
		g := b.report(1)
		return g.Phase == berylmessage.GangDone && g.Whole
	})
	is.Equal(b.count(berylworker.Done), 6)
	is.True(b.free())
	is.Equal(berylerror.Of(b.reserve(0, 1)), berylerror.NotRun)

	b.entry.set(func(r *berylmessage.BeatReply) { r.Forget = []string{"j/1"} })
	eventually(t, "gang is forgotten", func() bool {
		for _, a := range b.agents {
			if s, err := a.State(context.Background()); err != nil || len(s.Gangs) > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against parts that go on after another one has failed, was stopped or
// was never started.
func TestGangFails(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		faults berylstandworker.Faults
		// skip is the member that is not started.
		skip   int
		during func(b *gangBench) error
		reason string
		blamed string
		state  berylworker.State
		saved  bool
	}{
		{name: "member not started", skip: 1, reason: "not all members were armed in time"},
		{
			name: "worker fails every task", skip: -1, faults: berylstandworker.Faults{Fail: true},
			reason: "task on a1 failed: task failed", blamed: "a1", state: berylworker.Stopped,
		},
		{
			name: "stopped at one member", skip: -1, reason: "cancelled", state: berylworker.Stopped,
			during: func(b *gangBench) error { return b.stop(1, 1, true) }, saved: true,
		},
		{
			name: "worker does not answer", skip: -1, reason: "worker of a1 did not renew the leases", state: berylworker.Stopped,
			during: func(b *gangBench) error {
				b.workers[1].SetFaults(berylstandworker.Faults{Down: true})
				return nil
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newGangBench(t, 2, 0)
			b.workers[1].SetFaults(tt.faults)
			for i := range b.agents {
				is.NoErr(b.reserve(i, 1))
			}
			for i := range b.agents {
				if i != tt.skip {
					is.NoErr(b.start(i, 1, "run=1h"))
				}
			}
			if tt.during != nil {
				eventually(t, "all tasks run", func() bool { return b.count(berylworker.Running) == 4 })
				is.NoErr(tt.during(b))
			}
			eventually(t, "whole gang is reported as failed", func() bool {
				g := b.report(1)
				return g.Phase == berylmessage.GangFailed && g.Whole
			})
			g := b.report(1)
			is.Equal(g.Reason, tt.reason)
			is.Equal(g.Blamed, tt.blamed)
			is.Equal(b.count(berylworker.Running), 0)
			for _, r := range b.workers[0].Ledger() {
				is.Equal(r.State, tt.state)
				is.Equal(r.Checkpoints > 0, tt.saved) // the whole gang is saved
			}
			if tt.skip < 0 {
				is.Equal(len(b.workers[0].Ledger()), 2)
				eventually(t, "resources are free", b.free)
				return
			}
			is.Equal(len(b.workers[0].Ledger()), 0) // nothing was started
		})
	}
}

// Guards against a gang that ends because one of its agents was replaced within
// the lease, and against a member that runs on when its anchor is gone.
func TestGangSurvivesAgentRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newGangBench(t, 2, 0)
	b.run("run=1h")
	eventually(t, "all tasks run", func() bool { return b.count(berylworker.Running) == 4 })
	b.kill(1)
	b.startAgent(1)
	time.Sleep(berylgang.Lease + time.Second) // without renewal the leases would be over
	is.Equal(b.count(berylworker.Running), 4)
	is.True(b.report(1).Whole)

	b.kill(0)
	eventually(t, "member stops without its anchor", func() bool {
		return b.workers[1].Ledger()[0].State == berylworker.Stopped
	})
	eventually(t, "tasks of the lost agent expire", func() bool { return b.count(berylworker.Running) == 0 })
	is.Equal(b.workers[0].Ledger()[0].State, berylworker.Expired)
}

// kill ends an agent as a crash does: nothing is announced or stopped.
func (b *gangBench) kill(i int) {
	a := b.agents[i]
	a.Agent.stop()
	a.stop()
}

// Guards against starts without reservation, by a deposed leader, for another
// process or another size, on a worker that does not answer, and while draining.
func TestGangRefusals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newGangBench(t, 1, 0)
	start := func(change func(s *berylmessage.Start)) berylerror.Kind {
		s := &berylmessage.Start{
			Term: 1, Attempt: 1, Members: b.members(), ArmTimeout: time.Second,
			Job: beryljob.Job{ID: "j", Account: "x", Class: "c", Payload: "run=1h"},
		}
		change(s)
		_, err := berylrpc.Call[berylmessage.Start, berylmessage.StartReply](
			context.Background(), b.client, b.agents[0].Addr, berylmessage.MethodStart, s)
		return berylerror.Of(err)
	}
	is.Equal(start(func(*berylmessage.Start) {}), berylerror.NotRun) // no reservation
	is.NoErr(b.reserve(0, 1))
	is.Equal(start(func(s *berylmessage.Start) { s.Attempt = 2 }), berylerror.NotRun)
	is.Equal(start(func(s *berylmessage.Start) { s.Members[0].Incarnation = "old" }), berylerror.NotRun)
	is.Equal(start(func(s *berylmessage.Start) { s.Members[0].Tasks = 1 }), berylerror.Invalid)
	is.Equal(start(func(s *berylmessage.Start) { s.Index = 1 }), berylerror.Invalid)
	b.agents[0].Drain(true)
	is.Equal(start(func(*berylmessage.Start) {}), berylerror.NotRun)
	is.Equal(berylerror.Of(b.reserve(0, 1)), berylerror.NotRun)
	b.agents[0].Drain(false)

	eventually(t, "worker is seen", func() bool { return !b.entry.last().Total.Empty() })
	b.workers[0].SetFaults(berylstandworker.Faults{Down: true})
	eventually(t, "worker is seen as down", func() bool { return b.entry.last().Total.Empty() })
	is.Equal(berylerror.Of(b.reserve(0, 1)), berylerror.NotRun)
	b.workers[0].SetFaults(berylstandworker.Faults{})
	eventually(t, "worker is seen again", func() bool { return !b.entry.last().Total.Empty() })
	is.NoErr(b.reserve(0, 1))

	b.entry.set(func(r *berylmessage.BeatReply) { r.Term = 2 })
	eventually(t, "newer term is seen", func() bool { return b.entry.last().Term == 2 })
	is.Equal(start(func(*berylmessage.Start) {}), berylerror.Conflict)
	is.Equal(berylerror.Of(b.reserve(0, 2)), berylerror.Conflict)
	is.Equal(berylerror.Of(b.stop(0, 1, false)), berylerror.Conflict)
	is.Equal(len(b.workers[0].Ledger()), 0)
}

// Guards against tasks that start although the configuration was changed, or
// stopped being confirmed, after the gang was armed.
func TestNoStartAfterDomainWentOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newGangBench(t, 2, 0)
	is.NoErr(b.reserve(0, 1))
	is.NoErr(b.reserve(1, 1))
	is.NoErr(b.start(0, 1, "run=1h"))
	b.agents[0].loop.Tell(configLearned{config: &berylconfig.Config{
		Offset: 3, Domains: map[string]berylconfig.FailureDomain{"d": {Out: true}},
	}})
	is.NoErr(b.start(1, 1, "run=1h"))
	eventually(t, "gang has failed", func() bool {
		g := b.report(1)
		return g.Phase == berylmessage.GangFailed && g.Whole
	})
	is.Equal(len(b.workers[0].Ledger()), 0)
	is.Equal(b.report(1).Blamed, "")
	is.Equal(berylerror.Of(b.reserve(0, 2)), berylerror.NotRun)
}

// Guards against a shutdown that kills gangs which could have ended in time, and
// against one that never ends because of gangs that cannot.
func TestShutdownWithGangs(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		payload string
		state   berylworker.State
		phase   berylmessage.GangPhase
		saved   bool
	}{
		{name: "gang ends", payload: "run=2s", state: berylworker.Done, phase: berylmessage.GangDone},
		{name: "drain time passes", payload: "run=1h", state: berylworker.Stopped, phase: berylmessage.GangFailed, saved: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newGangBench(t, 2, 4*time.Second)
			b.run(tt.payload)
			eventually(t, "all tasks run", func() bool { return b.count(berylworker.Running) == 4 })
			b.agents[0].stop()
			is.Equal(b.count(tt.state), 4)
			is.Equal(b.report(1).Phase, tt.phase)
			is.True(b.report(1).Whole)
			for _, w := range b.workers {
				for _, r := range w.Ledger() {
					is.Equal(r.Checkpoints > 0, tt.saved)
				}
			}
		})
	}
}

// isolated makes the agent find that no entry has answered for a time.
type isolated struct {
	silence time.Duration
}

func (m isolated) apply(now time.Time, c *control) {
	c.contact = now.Add(-m.silence)
	c.stopIsolated(now)
}

// Guards against a second run beside a gang that is cut off from every entry,
// and against stopping gangs while regions lose each other for minutes.
func TestIsolatedGang(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newGangBench(t, 2, 0)
	b.run("run=1m")
	eventually(t, "all tasks run", func() bool { return b.count(berylworker.Running) == 4 })
	b.agents[0].loop.Tell(isolated{silence: 9 * time.Minute})
	is.Equal(b.count(berylworker.Running), 4)
	b.agents[0].loop.Tell(isolated{silence: 10 * time.Minute})
	eventually(t, "the whole gang is stopped", func() bool { return b.count(berylworker.Running) == 0 })
}
