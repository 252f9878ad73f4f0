// Package berylentry implements the entry process: it accepts calls, jobs and
// operators' changes over HTTP and forwards them to agents and to the platform's
// log. It belongs to the system's own interface; the entry on the users' platform is
// berylgateway.
//
// One control actor owns the members, the configuration, the state of the three
// log streams and the leader. It publishes an immutable view, which the
// goroutines of calls read without a lock. The files:
//
//	settings.go  settings
//	entry.go     start, serving and graceful shutdown
//	control.go   the messages of the control actor
//	handle.go    the control actor and the view
//	stream.go    reading and appending to the log
//	call.go      calls that need no record in the log
//	keyed.go     non-idempotent calls with an idempotency key
//	keyusage.go  checks whether a key is in use at any entry
//	job.go       submission, state and cancellation of jobs
//	publish.go   publication of configuration changes
//	election.go  leadership and refresh of log records
//	effects.go   effects of the leader
//	outage.go    queries among the entries and the unanimous outage report
//	peers.go     requests to and from other berylglade processes
//	state.go     state dump
package berylentry

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"berylglade/beryladmission"
	"berylglade/berylapi"
	"berylglade/berylbudget"
	"berylglade/berylclock"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/beryllistener"
	"berylglade/beryllog"
	"berylglade/berylquota"
	"berylglade/berylrecord"
	"berylglade/berylroute"
	"berylglade/berylrpc"
	"berylglade/berylsize"
)

// Intervals and timeouts of the process.
const (
	_tick         = 200 * time.Millisecond
	_defaultDrain = 30 * time.Second
	// _headerTimeout and _readTimeout abort requests that arrive too slowly.
	_headerTimeout = 5 * time.Second
	_readTimeout   = time.Minute
	_idleTimeout   = 2 * time.Minute
)

// Limits of the listener for callers.
const (
	// _maxHeader bounds the size of a request header. The largest header that
	// the API needs holds an idempotency key and a token.
	_maxHeader = 16 << 10
	// _maxConnections bounds the connections, and with them the requests that
	// are in progress or waiting before admission.
	_maxConnections = 4096
	// _defaultMemory is the memory of the VM if the settings have none. Connections of
	// callers hold at most one part in _callerMemoryShare of it.
	_defaultMemory     = 512 * berylsize.MB
	_callerMemoryShare = 4
)

// Entry is one entry process.
type Entry struct {
	// HTTPAddr and PeerAddr are the addresses on which the entry listens.
	HTTPAddr string
	PeerAddr string

	settings Settings
	// id is the unique name of this process in claims.
	id      string
	clock   berylclock.Clock
	client  *berylrpc.Client
	loop    *berylcontrol.Loop[message]
	leader  Leader
	metrics *metrics
	streams map[string]*stream
	// workCtx ends after the calls in progress have finished. background has
	// the goroutines that use it.
	workCtx    context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	view       atomic.Pointer[view]
	router     berylroute.Router
	admission  beryladmission.Admission
	budget     berylbudget.Budget
	keysInUse  keyUsage
	httpLis    net.Listener
	peerLis    net.Listener
	// stopping is closed when a planned stop begins. It ends long waits.
	stopping chan struct{}
}

var _ berylapi.Entry = (*Entry)(nil)

// Dependencies are the collaborators of an entry.
type Dependencies struct {
	// Log is the platform's log. If nil, the entry uses an HTTP client for
	// Settings.Log.
	Log beryllog.Log
	// Leader is the control leader. If nil, the entry never claims the
	// leadership.
	Leader Leader
	// Registerer registers the metrics. It may be nil.
	Registerer prometheus.Registerer
}

// New returns an entry that listens but does not serve yet.
func New(settings Settings, clock berylclock.Clock, deps Dependencies) (*Entry, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	m, err := newMetrics(deps.Registerer)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings: settings,
		id:       settings.Name + "-" + ulid.Make().String(),
		clock:    clock,
		client:   berylrpc.NewClient(),
		leader:   deps.Leader,
		metrics:  m,
		stopping: make(chan struct{}),
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.admission.Entries = len(settings.Entries) + 1
	e.router.Latency = map[string]time.Duration{}
	for domain, d := range settings.Latency {
		e.router.Latency[domain] = d.Std()
	}
	log := deps.Log
	if log == nil {
		log = beryllog.NewClient(settings.Log, settings.Name)
	}
	e.streams = map[string]*stream{
		berylrecord.StreamConfig:  newStream(e, log, berylrecord.StreamConfig, _configPoll),
		berylrecord.StreamControl: newStream(e, log, berylrecord.StreamControl, _controlPoll),
		berylrecord.StreamCalls:   newStream(e, log, berylrecord.StreamCalls, _callsPoll),
	}
	e.workCtx, e.cancel = context.WithCancel(context.Background())
	e.loop = berylcontrol.New(clock, newControl(e, clock()).handle)
	return e, nil
}

func (e *Entry) listen() error {
	// Listener.Drain can't drain a socket of Multipath TCP, which is the default.
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	var err error
	e.httpLis, err = cfg.Listen(context.Background(), "tcp", e.settings.HTTP)
	if err != nil {
		return berylerror.Unavailable.Wrap(err, "listen for callers")
	}
	e.peerLis, err = net.Listen("tcp", e.settings.Peer)
	if err != nil {
		_ = e.httpLis.Close()
		return berylerror.Unavailable.Wrap(err, "listen for peers")
	}
	e.HTTPAddr = e.httpLis.Addr().String()
	e.PeerAddr = e.peerLis.Addr().String()
	return nil
}

// Run serves until ctx ends and then shuts down: it stops accepting
// connections, hands the leadership over, waits for the calls in progress and
// returns.
func (e *Entry) Run(ctx context.Context) error {
	srv := e.server()
	lis := e.guard(srv)
	// The background work continues after ctx has ended until the calls in
	// progress have finished, as they need the log and the heartbeats.
	defer e.cancel()
	var g errgroup.Group
	g.Go(func() error {
		defer e.cancel()
		return e.peers().Serve(e.workCtx, e.peerLis)
	})
	g.Go(func() error {
		e.loop.Every(e.workCtx, _tick, func() message { return tick{} })
		return nil
	})
	for _, s := range e.streams {
		g.Go(func() error { return s.tail.Run(e.workCtx) })
		g.Go(func() error { return s.Run(e.workCtx) })
	}
	g.Go(func() error {
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			e.cancel()
			return errors.Wrap(err, "serve callers")
		}
		return nil
	})
	klog.InfoS("entry is serving", "name", e.settings.Name, "http", e.HTTPAddr, "peer", e.PeerAddr)
	select {
	case <-ctx.Done():
	case <-e.workCtx.Done():
	}
	err := e.shutdown(srv, lis)
	e.cancel()
	err = errors.Join(err, g.Wait())
	e.loop.Stop()
	e.background.Wait()
	return errors.Join(err, e.client.Close())
}

// server returns the HTTP server for callers. It has no write timeout, as that
// would include the run time of a call; the API limits the time of each write
// itself.
func (e *Entry) server() *http.Server {
	return &http.Server{
		Handler:           e.closeWhileStopping(berylapi.New(e, e.settings.Operators)),
		ReadHeaderTimeout: _headerTimeout,
		ReadTimeout:       _readTimeout,
		IdleTimeout:       _idleTimeout,
		MaxHeaderBytes:    _maxHeader,
	}
}

// guard returns the listener for callers, which limits their connections. They may all
// come from the address of a load balancer.
func (e *Entry) guard(srv *http.Server) *beryllistener.Listener {
	memory := int64(cmp.Or(e.settings.Memory, _defaultMemory))
	limits := berylquota.NewLimits(memory/_callerMemoryShare, _maxConnections)
	limits.Address, limits.ConnsPerAddress = limits.Bytes, limits.Conns
	lis := beryllistener.New(e.httpLis, beryllistener.Config{
		Limits: limits, Clock: e.clock, Log: slog.Default(), Name: "http",
		Count: func(action, reason string) { e.metrics.limited.WithLabelValues(action, reason).Inc() },
	})
	lis.Guard(srv)
	return lis
}

// closeWhileStopping asks callers to close their connections while the entry stops.
func (e *Entry) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-e.stopping:
			w.Header().Set("Connection", "close")
		default:
		}
		next.ServeHTTP(w, r)
	})
}

// shutdown serves on until callers have closed the connections that they use, as the
// server closes idle connections at once, also if a request is on its way there. Then
// it takes no new connections, and serves those that wait for it.
func (e *Entry) shutdown(srv *http.Server, lis *beryllistener.Listener) error {
	klog.InfoS("entry stops", "name", e.settings.Name)
	close(e.stopping)
	drain := _defaultDrain
	if e.settings.Drain > 0 {
		drain = e.settings.Drain.Std()
	}
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(e.handOver)
	berylclock.Pause(ctx, min(_closeTime, drain/2))
	acceptCtx, stopAccept := context.WithTimeout(ctx, min(_acceptTime, drain/4))
	defer stopAccept()
	if err := lis.Drain(acceptCtx); err != nil {
		klog.InfoS("connections that wait to be accepted may be reset", "name", e.settings.Name, "err", err)
	}
	err := srv.Shutdown(ctx)
	wg.Wait()
	if err != nil {
		return errors.Wrap(err, "calls in progress did not finish")
	}
	return nil
}

const (
	// _closeTime is how long a stopping entry goes on to serve. Callers in steady use
	// send another request within it, whose reply closes the connection.
	_closeTime = 500 * time.Millisecond
	// _acceptTime bounds the wait for the connections that are not accepted yet.
	_acceptTime = 2 * time.Second
)
