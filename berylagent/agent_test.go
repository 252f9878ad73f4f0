package berylagent

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"berylglade/berylcall"
	"berylglade/berylclock"
	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/berylid"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
	"berylglade/berylstandrunner"
)

// testFreshness allows starts for three seconds after the time of a
// confirmation.
type testFreshness struct {
	until time.Time
}

func (f *testFreshness) Check(now time.Time) error {
	if now.After(f.until) {
		return berylerror.NotRun.Errorf("configuration is not confirmed")
	}
	return nil
}

func (f *testFreshness) Confirm(_, sent time.Time, c berylmessage.Confirmation, own int64) {
	until := sent.Add(3*time.Second - c.Age)
	if c.Valid && own >= c.Offset && until.After(f.until) {
		f.until = until
	}
}

// testEntry is a fake entry that records heartbeats and answers them.
type testEntry struct {
	addr string

	mu         sync.Mutex
	heartbeats []*berylmessage.Heartbeat
	reply      berylmessage.HeartbeatReply
	// config is the configuration that an agent has sent, and newer is the one
	// that the entry returns.
	config, newer *berylconfig.Config
}

func newTestEntry(t *testing.T) *testEntry {
	t.Helper()
	is := is.New(t)
	e := &testEntry{reply: berylmessage.HeartbeatReply{Confirmation: berylmessage.Confirmation{Valid: true}, Term: 1}}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	e.addr = lis.Addr().String()
	var s berylrpc.Server
	berylrpc.Handle(&s, berylmessage.MethodHeartbeat, e.heartbeat)
	berylrpc.Handle(&s, berylmessage.MethodConfig, e.takeConfig)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, lis)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

func (e *testEntry) heartbeat(_ context.Context, b *berylmessage.Heartbeat) (*berylmessage.HeartbeatReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heartbeats = append(e.heartbeats, b)
	reply := e.reply
	if reply.Config != nil && b.Offset >= reply.Config.Offset {
		reply.Config = nil
	}
	return &reply, nil
}

func (e *testEntry) takeConfig(_ context.Context, req *berylmessage.ConfigRequest) (*berylmessage.ConfigReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config = req.Config
	return &berylmessage.ConfigReply{Config: e.newer}, nil
}

func (e *testEntry) set(f func(r *berylmessage.HeartbeatReply)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.reply)
}

func (e *testEntry) last() *berylmessage.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.heartbeats) == 0 {
		return &berylmessage.Heartbeat{}
	}
	return e.heartbeats[len(e.heartbeats)-1]
}

// _eventuallyTimeout is longer than the time after which all leases of a gang
// have expired.
const _eventuallyTimeout = time.Minute

// eventually waits until the condition holds and fails the test on timeout.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(_eventuallyTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("condition does not hold after %s: %s", _eventuallyTimeout, what)
}

// testAgent is an agent that runs until stop is called.
type testAgent struct {
	*Agent
	stop func()
}

func startAgent(t *testing.T, settings Settings) *testAgent {
	t.Helper()
	is := is.New(t)
	settings.Listen = "127.0.0.1:0"
	a, err := New(settings, berylclock.System(), &testFreshness{}, prometheus.NewRegistry())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := a.Run(ctx); err != nil {
			t.Errorf("Run failed: %v", err)
		}
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(stop)
	return &testAgent{Agent: a, stop: stop}
}

// callFixture is one agent with a backend server and a fake entry.
type callFixture struct {
	entry  *testEntry
	runner *berylstandrunner.Server
	agent  *testAgent
	client *berylrpc.Client
}

func newCallFixture(t *testing.T, slots int) *callFixture {
	t.Helper()
	b := &callFixture{
		entry:  newTestEntry(t),
		runner: berylstandrunner.New(berylstandrunner.Settings{Slots: slots}),
		client: berylrpc.NewClient(),
	}
	t.Cleanup(func() { _ = b.client.Close() })
	srv := httptest.NewServer(b.runner)
	t.Cleanup(srv.Close)
	b.agent = startAgent(t, Settings{
		Name: "a", Domain: "d", Rack: "r", Entries: []string{b.entry.addr}, Runner: srv.URL, Slots: slots,
	})
	eventually(t, "agent has a confirmed configuration", func() bool { return b.agent.gate.permit(time.Now()) == nil })
	return b
}

func (b *callFixture) id() berylid.ID {
	return berylid.New("a", b.agent.Incarnation, b.agent.calls.epoch())
}

func (b *callFixture) run(id berylid.ID, body string, budget time.Duration) (*berylmessage.RunReply, error) {
	return berylrpc.Call[berylmessage.Run, berylmessage.RunReply](context.Background(), b.client, b.agent.Addr,
		berylmessage.MethodRun, &berylmessage.Run{Call: berylcall.Call{
			ID: id.String(), Account: "x", Class: "c", Budget: budget, Body: []byte(body),
		}})
}

func (b *callFixture) find(id berylid.ID, account string, wait time.Duration) (*berylmessage.FindReply, error) {
	return berylrpc.Call[berylmessage.Find, berylmessage.FindReply](context.Background(), b.client, b.agent.Addr,
		berylmessage.MethodFind, &berylmessage.Find{Call: id.String(), Account: account, Wait: wait})
}

// Guards against a second run when an id is sent again, concurrently with the
// first run or after it, and against returning the answer of another call.
func TestRunOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newCallFixture(t, 4)
	id := b.id()
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() {
			reply, err := b.run(id, "run=50ms x", 5*time.Second)
			if err != nil {
				t.Error(err)
				return
			}
			if err := reply.Answer.Check(id.String(), "x"); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	reply, err := b.run(id, "run=50ms x", 5*time.Second)
	is.NoErr(err)
	is.Equal(reply.Answer.Body, berylstandrunner.Answer(id.String(), []byte("run=50ms x")))
	is.Equal(b.runner.Ledger().Counts[id.String()], 1)

	found, err := b.find(id, "x", 0)
	is.NoErr(err)
	is.NoErr(found.Answer.Check(id.String(), "x"))
	_, err = b.find(id, "y", 0)
	is.Equal(berylerror.Of(err), berylerror.Missing)
}

// Guards against losing the answer of a call whose caller has timed out, and
// against running the call again.
func TestFindAfterBudgetExpired(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newCallFixture(t, 1)
	id := b.id()
	_, err := b.run(id, "run=300ms", 50*time.Millisecond)
	is.Equal(berylerror.Of(err), berylerror.Unknown)
	_, err = b.find(id, "x", 0)
	is.Equal(berylerror.Of(err), berylerror.Unknown)
	found, err := b.find(id, "x", 5*time.Second)
	is.NoErr(err)
	is.NoErr(found.Answer.Check(id.String(), "x"))
	is.Equal(b.runner.Ledger().Counts[id.String()], 1)
}

// Guards against running a call that was reported as not run, and against more
// concurrent calls at the backend server than it has slots.
func TestQueueAndTombstones(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newCallFixture(t, 1)
	var wg sync.WaitGroup
	first := b.id()
	wg.Go(func() { _, _ = b.run(first, "run=400ms", 5*time.Second) })
	eventually(t, "the slot is taken", func() bool { return b.runner.Ledger().Running == 1 })

	late, tombstoned := b.id(), b.id()
	_, err := b.run(late, "", 50*time.Millisecond)
	is.Equal(berylerror.Of(err), berylerror.NotRun)

	wg.Go(func() {
		_, err := b.run(tombstoned, "", 5*time.Second)
		if berylerror.Of(err) != berylerror.NotRun {
			t.Errorf("tombstoned call ended with %v", err)
		}
	})
	eventually(t, "the call waits", func() bool { return b.agent.calls.queued.Load() == 1 })
	reply, err := berylrpc.Call[berylmessage.Tombstone, berylmessage.TombstoneReply](context.Background(), b.client, b.agent.Addr,
		berylmessage.MethodTombstone, &berylmessage.Tombstone{Call: tombstoned.String(), Account: "x"})
	is.NoErr(err)
	is.True(reply.Confirmed)

	kinds := make(chan berylerror.Kind, 3*_queuePerSlot)
	for range cap(kinds) {
		wg.Go(func() {
			if _, err := b.run(b.id(), "", 5*time.Second); err != nil {
				kinds <- berylerror.Of(err)
			}
		})
	}
	wg.Wait()
	close(kinds)
	is.True(len(kinds) > 0) // the queue is bounded
	for kind := range kinds {
		is.Equal(kind, berylerror.NotRun)
	}
	for _, id := range []berylid.ID{late, tombstoned} {
		_, err = b.run(id, "", 5*time.Second)
		is.Equal(berylerror.Of(err), berylerror.NotRun)
		is.Equal(b.runner.Ledger().Counts[id.String()], 0)
	}
	is.Equal(b.runner.Ledger().Peak, 1)
}

// Guards against reporting "not run" for a call that may have run.
func TestRunOutcomes(t *testing.T) {
	t.Parallel()
	b := newCallFixture(t, 2)
	epoch := b.agent.calls.epoch()
	tests := []struct {
		name   string
		id     berylid.ID
		first  bool
		faults berylstandrunner.Faults
		want   berylerror.Kind
		runs   int
	}{
		{name: "closed", id: b.id(), faults: berylstandrunner.Faults{Close: true}, want: berylerror.Unknown, runs: 1},
		{name: "truncated", id: b.id(), faults: berylstandrunner.Faults{Truncate: true}, want: berylerror.Unknown, runs: 1},
		{name: "other incarnation", id: berylid.New("a", "old", epoch), want: berylerror.Unknown},
		{name: "other incarnation, first dispatch", id: berylid.New("a", "old", epoch), first: true, want: berylerror.NotRun},
		{name: "epoch in the future", id: berylid.New("a", b.agent.Incarnation, epoch+1), first: true, want: berylerror.Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b.runner.SetFaults(tt.faults)
			defer b.runner.SetFaults(berylstandrunner.Faults{})
			run := &berylmessage.Run{First: tt.first, Call: berylcall.Call{ID: tt.id.String(), Account: "x", Budget: time.Second}}
			for range 2 {
				_, err := berylrpc.Call[berylmessage.Run, berylmessage.RunReply](
					context.Background(), b.client, b.agent.Addr, berylmessage.MethodRun, run)
				is.Equal(berylerror.Of(err), tt.want)
			}
			is.Equal(b.runner.Ledger().Counts[tt.id.String()], tt.runs)
		})
	}
}

// Guards against starting calls with a stale configuration or in a failure
// domain that is out, and against replacing a configuration by an older one.
func TestConfigAndFreshness(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newCallFixture(t, 1)
	b.entry.set(func(r *berylmessage.HeartbeatReply) {
		r.Offset = 7
		r.Config = &berylconfig.Config{Offset: 7, Domains: map[string]berylconfig.FailureDomain{"d": {Out: true}}}
	})
	eventually(t, "configuration is adopted", func() bool { return b.entry.last().Offset == 7 })
	_, err := b.run(b.id(), "", time.Second)
	is.Equal(berylerror.Of(err), berylerror.NotRun)

	b.entry.set(func(r *berylmessage.HeartbeatReply) {
		r.Config = nil
		r.Offset = 6
		r.WantConfig = true
	})
	eventually(t, "configuration is relayed", func() bool {
		b.entry.mu.Lock()
		defer b.entry.mu.Unlock()
		return b.entry.config != nil && b.entry.config.Offset == 7
	})
	_, err = berylrpc.Call[berylmessage.ConfigRequest, berylmessage.ConfigReply](context.Background(), b.client, b.agent.Addr,
		berylmessage.MethodConfig, &berylmessage.ConfigRequest{Offset: 5, Config: &berylconfig.Config{Offset: 5}})
	is.NoErr(err)
	// The entry does not include the newer configuration in its reply, so the
	// agent has to request it.
	b.entry.set(func(r *berylmessage.HeartbeatReply) {
		b.entry.newer = &berylconfig.Config{Offset: 8}
		r.Offset = 8
		r.WantConfig = false
	})
	eventually(t, "newer configuration is adopted", func() bool { return b.entry.last().Offset == 8 })
	_, err = b.run(b.id(), "", time.Second)
	is.NoErr(err)

	b.entry.set(func(r *berylmessage.HeartbeatReply) { r.Valid = false })
	eventually(t, "confirmation is too old", func() bool { return b.agent.gate.permit(time.Now()) != nil })
	_, err = b.run(b.id(), "", time.Second)
	is.Equal(berylerror.Of(err), berylerror.NotRun)
}

// Guards against a shutdown that interrupts a call in progress or accepts new
// calls, and against an agent that leaves without announcing it.
func TestShutdownFinishesCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newCallFixture(t, 2)
	running := b.id()
	var wg sync.WaitGroup
	wg.Go(func() {
		reply, err := b.run(running, "run=1s", 5*time.Second)
		if err != nil {
			t.Error(err)
			return
		}
		if err := reply.Answer.Check(running.String(), "x"); err != nil {
			t.Error(err)
		}
	})
	eventually(t, "the call runs", func() bool { return b.runner.Ledger().Running == 1 })
	wg.Go(b.agent.stop)
	eventually(t, "draining is announced", func() bool { return b.entry.last().Draining })
	_, err := b.run(b.id(), "", time.Second)
	is.Equal(berylerror.Of(err), berylerror.NotRun)
	wg.Wait()
	is.True(b.entry.last().Leaving)
	is.Equal(len(b.runner.Ledger().Counts), 1)
}

// Guards against a draining backend server that gets new work, and against a
// drain request for an earlier process that drains its successor.
func TestDrain(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name        string
		incarnation func(b *callFixture) string
		want        berylerror.Kind
		drained     bool
	}{
		{name: "current process", incarnation: func(b *callFixture) string { return b.agent.Incarnation }, drained: true},
		{name: "earlier process", incarnation: func(*callFixture) string { return "old" }, want: berylerror.Conflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newCallFixture(t, 1)
			_, err := berylrpc.Call[berylmessage.Drain, berylmessage.DrainReply](context.Background(), b.client, b.agent.Addr,
				berylmessage.MethodDrain, &berylmessage.Drain{Incarnation: tt.incarnation(b)})
			is.Equal(err == nil, tt.want == 0)
			if tt.want != 0 {
				is.Equal(berylerror.Of(err), tt.want)
			}
			_, err = b.run(b.id(), "x", time.Second)
			is.Equal(err != nil, tt.drained)
			if tt.drained {
				is.Equal(berylerror.Of(err), berylerror.NotRun)
			}
		})
	}
}

// Guards against an agent that has left when a call arrives whose key was bound
// to it before its drain was known. The outcome of such a call would stay
// unknown.
func TestShutdownRejectsLateCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newCallFixture(t, 2)
	id := b.id()
	var wg sync.WaitGroup
	wg.Go(b.agent.stop)
	eventually(t, "draining is announced", func() bool { return b.entry.last().Draining })
	announced := time.Now()
	for time.Since(announced) < time.Second {
		is.True(!b.entry.last().Leaving)
		time.Sleep(_idlePollInterval)
	}
	_, err := b.run(id, "", time.Second)
	is.True(berylrpc.Remote(err))
	is.Equal(berylerror.Of(err), berylerror.NotRun)
	wg.Wait()
	is.True(b.entry.last().Leaving)
}
