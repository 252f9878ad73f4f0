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

// gangFixture is a number of agents with workers, and a fake entry. The test
// acts as the leader.
type gangFixture struct {
	t       *testing.T
	entry   *testEntry
	client  *berylrpc.Client
	workers []*berylstandworker.Server
	agents  []*testAgent
	urls    []string
	drain   time.Duration
}

func newGangFixture(t *testing.T, n int, drain time.Duration) *gangFixture {
	t.Helper()
	b := &gangFixture{t: t, entry: newTestEntry(t), client: berylrpc.NewClient(), drain: drain}
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

// startAgent starts the agent of a worker, or a successor of the previous one.
func (b *gangFixture) startAgent(i int) {
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

func (b *gangFixture) members() []beryljob.Member {
	var members []beryljob.Member
	for _, a := range b.agents {
		members = append(members, beryljob.Member{Agent: a.settings.Name, Incarnation: a.Incarnation, Addr: a.Addr, Tasks: 2})
	}
	return members
}

func (b *gangFixture) reserve(i, attempt int) error {
	_, err := berylrpc.Call[berylmessage.Reserve, berylmessage.ReserveReply](context.Background(), b.client, b.agents[i].Addr,
		berylmessage.MethodReserve, &berylmessage.Reserve{
			Term: 1, Job: "j", Attempt: attempt, Tasks: 2, Shape: berylshape.Shape{Accelerators: 4}, Hold: 10 * time.Second,
		})
	return err
}

func (b *gangFixture) start(i, attempt int, payload string) error {
	_, err := berylrpc.Call[berylmessage.Start, berylmessage.StartReply](context.Background(), b.client, b.agents[i].Addr,
		berylmessage.MethodStart, &berylmessage.Start{
			Term: 1, Attempt: attempt, Members: b.members(), Index: i, ArmTimeout: 2 * time.Second,
			Job: beryljob.Job{ID: "j", Account: "x", Class: "c", Payload: payload},
		})
	return err
}

func (b *gangFixture) stop(i, attempt int, checkpoint bool) error {
	_, err := berylrpc.Call[berylmessage.Stop, berylmessage.StopReply](context.Background(), b.client, b.agents[i].Addr,
		berylmessage.MethodStop, &berylmessage.Stop{Term: 1, Job: "j", Attempt: attempt, Checkpoint: checkpoint, Reason: "cancelled"})
	return err
}

// run reserves and starts a gang on all agents.
func (b *gangFixture) run(payload string) {
	b.t.Helper()
	is := is.New(b.t)
	for i := range b.agents {
		is.NoErr(b.reserve(i, 1))
	}
	for i := range b.agents {
		is.NoErr(b.start(i, 1, payload))
	}
}

// count returns the number of tasks in the given state on all workers.
func (b *gangFixture) count(state berylworker.State) int {
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

// report returns the anchor's report about the gang in its last heartbeat.
func (b *gangFixture) report(attempt int) berylmessage.GangReport {
	b.entry.mu.Lock()
	defer b.entry.mu.Unlock()
	for i := len(b.entry.heartbeats) - 1; i >= 0; i-- {
		if heartbeat := b.entry.heartbeats[i]; heartbeat.Agent == "a0" {
			for _, g := range heartbeat.Gangs {
				if g.Job == "j" && g.Attempt == attempt {
					return g
				}
			}
			return berylmessage.GangReport{}
		}
	}
	return berylmessage.GangReport{}
}

// free reports whether no agent has resources reserved or in use.
func (b *gangFixture) free() bool {
	for _, a := range b.agents {
		s, err := a.State(context.Background())
		if err != nil || s.Free != s.Total {
			return false
		}
	}
	return true
}

// Guards against a gang that does not complete or is not reported until the
// agent is told to forget it, and against resources that are not released.
func TestGangDone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newGangFixture(t, 3, 0)
	b.run("run=3s")
	eventually(t, "all tasks run", func() bool { return b.count(berylworker.Running) == 6 })
	eventually(t, "whole gang is reported as running", func() bool {
		g := b.report(1)
		return g.Phase == berylmessage.GangRunning && g.AllMembers
	})
	is.NoErr(b.start(0, 1, "run=3s")) // repeated by the next leader
	eventually(t, "whole gang is reported as done", func() bool {
		g := b.report(1)
		return g.Phase == berylmessage.GangDone && g.AllMembers
	})
	is.Equal(b.count(berylworker.Done), 6)
	is.True(b.free())
	is.Equal(berylerror.Of(b.reserve(0, 1)), berylerror.NotRun)

	b.entry.set(func(r *berylmessage.HeartbeatReply) { r.Forget = []string{"j/1"} })
	eventually(t, "gang is forgotten", func() bool {
		for _, a := range b.agents {
			if s, err := a.State(context.Background()); err != nil || len(s.Gangs) > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against parts that continue after another part has failed, was stopped
// or was never started.
func TestGangFails(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		faults berylstandworker.Faults
		// skip is the index of the member that is not started; -1 means none.
		skip   int
		during func(b *gangFixture) error
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
			during: func(b *gangFixture) error { return b.stop(1, 1, true) }, saved: true,
		},
		{
			name: "worker does not answer", skip: -1, reason: "worker of a1 did not renew the leases", state: berylworker.Stopped,
			during: func(b *gangFixture) error {
				b.workers[1].SetFaults(berylstandworker.Faults{Down: true})
				return nil
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newGangFixture(t, 2, 0)
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
				return g.Phase == berylmessage.GangFailed && g.AllMembers
			})
			g := b.report(1)
			is.Equal(g.Reason, tt.reason)
			is.Equal(g.Blamed, tt.blamed)
			is.Equal(b.count(berylworker.Running), 0)
			for _, r := range b.workers[0].Ledger() {
				is.Equal(r.State, tt.state)
				is.Equal(r.Checkpoints > 0, tt.saved) // every member is checkpointed
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
// the lease, and against a member that continues after its anchor has failed.
func TestGangSurvivesAgentRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newGangFixture(t, 2, 0)
	b.run("run=1h")
	eventually(t, "all tasks run", func() bool { return b.count(berylworker.Running) == 4 })
	b.kill(1)
	b.startAgent(1)
	time.Sleep(berylgang.TaskLease + time.Second) // without renewal the leases would have expired
	is.Equal(b.count(berylworker.Running), 4)
	is.True(b.report(1).AllMembers)

	b.kill(0)
	eventually(t, "member stops without its anchor", func() bool {
		return b.workers[1].Ledger()[0].State == berylworker.Stopped
	})
	eventually(t, "tasks of the killed agent expire", func() bool { return b.count(berylworker.Running) == 0 })
	is.Equal(b.workers[0].Ledger()[0].State, berylworker.Expired)
}

// kill ends an agent as a crash does, without announcing or stopping anything.
func (b *gangFixture) kill(i int) {
	a := b.agents[i]
	a.Agent.stop()
	a.stop()
}

// Guards against starts without a reservation, by a deposed leader, for another
// process or another size, on a worker that does not answer, and while
// draining.
func TestGangCommandsRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newGangFixture(t, 1, 0)
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

	eventually(t, "worker is reported", func() bool { return !b.entry.last().Total.Empty() })
	b.workers[0].SetFaults(berylstandworker.Faults{Down: true})
	eventually(t, "worker is reported as down", func() bool { return b.entry.last().Total.Empty() })
	is.Equal(berylerror.Of(b.reserve(0, 1)), berylerror.NotRun)
	b.workers[0].SetFaults(berylstandworker.Faults{})
	eventually(t, "worker is reported again", func() bool { return !b.entry.last().Total.Empty() })
	is.NoErr(b.reserve(0, 1))

	b.entry.set(func(r *berylmessage.HeartbeatReply) { r.Term = 2 })
	eventually(t, "newer term is reported", func() bool { return b.entry.last().Term == 2 })
	is.Equal(start(func(*berylmessage.Start) {}), berylerror.Conflict)
	is.Equal(berylerror.Of(b.reserve(0, 2)), berylerror.Conflict)
	is.Equal(berylerror.Of(b.stop(0, 1, false)), berylerror.Conflict)
	is.Equal(len(b.workers[0].Ledger()), 0)
}

// Guards against tasks that start although the configuration has taken the
// failure domain out, or is no longer confirmed, since the gang was armed.
func TestNoStartAfterDomainOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newGangFixture(t, 2, 0)
	is.NoErr(b.reserve(0, 1))
	is.NoErr(b.reserve(1, 1))
	is.NoErr(b.start(0, 1, "run=1h"))
	b.agents[0].loop.Tell(configReceived{config: &berylconfig.Config{
		Offset: 3, Domains: map[string]berylconfig.FailureDomain{"d": {Out: true}},
	}})
	is.NoErr(b.start(1, 1, "run=1h"))
	eventually(t, "gang has failed", func() bool {
		g := b.report(1)
		return g.Phase == berylmessage.GangFailed && g.AllMembers
	})
	is.Equal(len(b.workers[0].Ledger()), 0)
	is.Equal(b.report(1).Blamed, "")
	is.Equal(berylerror.Of(b.reserve(0, 2)), berylerror.NotRun)
}

// Guards against a shutdown that stops gangs which could have ended in time,
// and against one that waits forever for gangs that do not end.
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
			b := newGangFixture(t, 2, 4*time.Second)
			b.run(tt.payload)
			eventually(t, "all tasks run", func() bool { return b.count(berylworker.Running) == 4 })
			b.agents[0].stop()
			is.Equal(b.count(tt.state), 4)
			is.Equal(b.report(1).Phase, tt.phase)
			is.True(b.report(1).AllMembers)
			for _, w := range b.workers {
				for _, r := range w.Ledger() {
					is.Equal(r.Checkpoints > 0, tt.saved)
				}
			}
		})
	}
}

// isolated makes the agent act as if no entry had replied for the given time.
type isolated struct {
	age time.Duration
}

func (m isolated) apply(now time.Time, c *control) {
	c.entryAnswered = now.Add(-m.age)
	c.stopIsolated(now)
}

// Guards against a second run concurrent with a gang that is isolated from all
// entries, and against stopping gangs during a partition between regions that
// lasts minutes.
func TestIsolatedGangIsStopped(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newGangFixture(t, 2, 0)
	b.run("run=1m")
	eventually(t, "all tasks run", func() bool { return b.count(berylworker.Running) == 4 })
	b.agents[0].loop.Tell(isolated{age: 9 * time.Minute})
	is.Equal(b.count(berylworker.Running), 4)
	b.agents[0].loop.Tell(isolated{age: 10 * time.Minute})
	eventually(t, "the whole gang is stopped", func() bool { return b.count(berylworker.Running) == 0 })
}
