package berylentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylanswer"
	"berylglade/berylcall"
	"berylglade/berylclock"
	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylid"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
	"berylglade/berylshape"
)

// fakeAgent is an agent that runs each call ID at most once and confirms
// tombstones, with a backend server that a test scripts.
type fakeAgent struct {
	name        string
	incarnation string
	addr        string
	// serve runs one call; nil echoes the body.
	serve func(a *fakeAgent, call berylcall.Call) (berylanswer.Answer, error)

	mu    sync.Mutex
	calls map[string]*fakeCall
	conns []net.Conn
}

type fakeCall struct {
	done      chan struct{}
	answer    berylanswer.Answer
	err       error
	tombstone bool
}

// trackingListener records its connections so that a test can close them.
type trackingListener struct {
	net.Listener
	a *fakeAgent
}

func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.a.mu.Lock()
		l.a.conns = append(l.a.conns, conn)
		l.a.mu.Unlock()
	}
	return conn, err
}

// closeConns closes every connection, so that replies in flight are lost.
func (a *fakeAgent) closeConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.conns {
		_ = conn.Close()
	}
	a.conns = nil
}

func newFakeAgent(t *testing.T, name string) *fakeAgent {
	t.Helper()
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	a := &fakeAgent{name: name, incarnation: "i1", addr: lis.Addr().String(), calls: map[string]*fakeCall{}}
	var s berylrpc.Server
	berylrpc.Handle(&s, berylmessage.MethodRun, a.run)
	berylrpc.Handle(&s, berylmessage.MethodFind, a.find)
	berylrpc.Handle(&s, berylmessage.MethodTombstone, a.tombstone)
	berylrpc.Handle(&s, berylmessage.MethodDrain, a.drain)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, trackingListener{Listener: lis, a: a})
	}()
	t.Cleanup(func() {
		cancel()
		a.closeConns()
		<-done
	})
	return a
}

func (a *fakeAgent) drain(_ context.Context, req *berylmessage.Drain) (*berylmessage.DrainReply, error) {
	if req.Incarnation != a.incarnation {
		return nil, berylerror.Missing.Errorf("another incarnation")
	}
	return &berylmessage.DrainReply{}, nil
}

func (a *fakeAgent) run(_ context.Context, req *berylmessage.Run) (*berylmessage.RunReply, error) {
	id := req.Call.ID
	parsed, err := berylid.Parse(id)
	if err != nil || parsed.Incarnation != a.incarnation {
		return nil, berylerror.NotRun.Errorf("call %s is for another incarnation", id)
	}
	a.mu.Lock()
	c, seen := a.calls[id]
	if !seen {
		c = &fakeCall{done: make(chan struct{})}
		a.calls[id] = c
	}
	a.mu.Unlock()
	if !seen {
		serve := a.serve
		if serve == nil {
			serve = echo
		}
		c.answer, c.err = serve(a, req.Call)
		c.tombstone = berylerror.Of(c.err) == berylerror.NotRun && c.err != nil
		close(c.done)
	}
	<-c.done
	if c.err != nil {
		return nil, c.err
	}
	return &berylmessage.RunReply{Answer: c.answer}, nil
}

func echo(_ *fakeAgent, call berylcall.Call) (berylanswer.Answer, error) {
	return berylanswer.New(call.ID, call.Account, http.StatusOK, append([]byte("echo "), call.Body...)), nil
}

func (a *fakeAgent) find(ctx context.Context, req *berylmessage.Find) (*berylmessage.FindReply, error) {
	a.mu.Lock()
	c, seen := a.calls[req.Call]
	a.mu.Unlock()
	if !seen {
		return nil, berylerror.Missing.Errorf("call %s is not known", req.Call)
	}
	ctx, cancel := context.WithTimeout(ctx, req.Wait)
	defer cancel()
	select {
	case <-c.done:
	case <-ctx.Done():
	}
	select {
	case <-c.done:
	default:
		return nil, berylerror.Unavailable.Errorf("call %s still runs", req.Call)
	}
	if c.err != nil {
		return nil, c.err
	}
	if c.answer.Account != req.Account {
		return nil, berylerror.Missing.Errorf("no call %s of this client account", req.Call)
	}
	return &berylmessage.FindReply{Answer: c.answer}, nil
}

func (a *fakeAgent) tombstone(_ context.Context, req *berylmessage.Tombstone) (*berylmessage.TombstoneReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, seen := a.calls[req.Call]
	if !seen {
		c = &fakeCall{done: make(chan struct{}), err: berylerror.NotRun.Errorf("call %s has a tombstone", req.Call), tombstone: true}
		close(c.done)
		a.calls[req.Call] = c
		return &berylmessage.TombstoneReply{Confirmed: true}, nil
	}
	select {
	case <-c.done:
		return &berylmessage.TombstoneReply{Confirmed: c.tombstone}, nil
	default:
		return &berylmessage.TombstoneReply{}, nil
	}
}

// ran returns the number of calls that the backend server ran.
func (a *fakeAgent) ran() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, c := range a.calls {
		if !c.tombstone {
			n++
		}
	}
	return n
}

// announce sends heartbeats to the entry until the test ends.
func (a *fakeAgent) announce(t *testing.T, e *Entry, change func(*berylmessage.Heartbeat)) {
	t.Helper()
	is := is.New(t)
	client := berylrpc.NewClient()
	sendHeartbeat := func(ctx context.Context) error {
		b := berylmessage.Heartbeat{Agent: a.name, Incarnation: a.incarnation, Addr: a.addr, Domain: "ware-east", Slots: 8, Offset: 1}
		if change != nil {
			change(&b)
		}
		_, err := berylrpc.Call[berylmessage.Heartbeat, berylmessage.HeartbeatReply](ctx, client, e.PeerAddr, berylmessage.MethodHeartbeat, &b)
		return err
	}
	is.NoErr(sendHeartbeat(context.Background()))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			_ = sendHeartbeat(ctx)
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		_ = client.Close()
	})
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// testConfig has four client accounts: quabbin with the token "qt", ribnica
// with "rt", slow with "st" and a rate limit, and small with "mt" and a quota.
func testConfig() *berylconfig.Config {
	return &berylconfig.Config{
		Offset: 1,
		Classes: map[string]berylconfig.Class{
			"read":  {Idempotent: true, Timeout: berylduration.Duration(2 * time.Second)},
			"write": {Timeout: berylduration.Duration(2 * time.Second)},
			"small": {Body: 10},
		},
		Accounts: map[string]berylconfig.ClientAccount{
			"quabbin": {Hash: tokenHash("qt")},
			"ribnica": {Hash: tokenHash("rt")},
			"slow":    {Hash: tokenHash("st"), Rate: 1, Burst: 1},
			"small":   {Hash: tokenHash("mt"), Quota: berylshape.Shape{Cores: 8}},
		},
		Domains: map[string]berylconfig.FailureDomain{"ware-east": {}},
	}
}

func testSettings(name string) Settings {
	return Settings{
		Name:      name,
		HTTP:      "127.0.0.1:0",
		Peer:      "127.0.0.1:0",
		Operators: map[string]string{"jo": tokenHash("op")},
		Retention: berylduration.Duration(time.Hour),
		Drain:     berylduration.Duration(5 * time.Second),
	}
}

// startWithoutLog runs an entry without a log until the test ends and offers it
// the test configuration as a peer would.
func startWithoutLog(t *testing.T, settings Settings) *Entry {
	t.Helper()
	settings.Log = "http://127.0.0.1:1"
	e := startEntry(t, settings, nil)
	offerConfig(t, e, testConfig())
	return e
}

// startEntry runs an entry until the test ends.
func startEntry(t *testing.T, settings Settings, leader Leader) *Entry {
	t.Helper()
	e, _ := startStoppable(t, settings, leader)
	return e
}

// startStoppable runs an entry until the returned function is called or the
// test ends.
func startStoppable(t *testing.T, settings Settings, leader Leader) (*Entry, func()) {
	t.Helper()
	is := is.New(t)
	e, err := New(settings, berylclock.System(), Dependencies{Leader: leader})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return e, stop
}

// freeAddr returns a loopback address with a port that was free when it was
// checked.
func freeAddr(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

// serveSlowly answers after a pause and closes began when the first call has
// begun.
func serveSlowly(began chan<- struct{}, pause time.Duration) func(*fakeAgent, berylcall.Call) (berylanswer.Answer, error) {
	once := sync.OnceFunc(func() { close(began) })
	return func(a *fakeAgent, call berylcall.Call) (berylanswer.Answer, error) {
		once()
		time.Sleep(pause)
		return echo(a, call)
	}
}

// encodeValues encodes the values of a change as JSON.
func encodeValues(t *testing.T, set map[string]any) map[string]json.RawMessage {
	t.Helper()
	out := map[string]json.RawMessage{}
	for key, v := range set {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		out[key] = data
	}
	return out
}

func offerConfig(t *testing.T, e *Entry, cfg *berylconfig.Config) {
	t.Helper()
	is := is.New(t)
	client := berylrpc.NewClient()
	defer func() { _ = client.Close() }()
	_, err := berylrpc.Call[berylmessage.ConfigRequest, berylmessage.ConfigReply](
		context.Background(), client, e.PeerAddr, berylmessage.MethodConfig,
		&berylmessage.ConfigRequest{Offset: cfg.Offset, Config: cfg})
	is.NoErr(err)
}
