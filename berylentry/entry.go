// Package berylentry is the entry process: it takes calls, jobs and operators'
// changes from HTTP and passes them to agents and to the platform's log.
//
// One control actor owns the members, the configuration, the state of the three
// log streams and the leader. It publishes an immutable view, which the
// goroutines of calls read without a lock. The files by what they hold:
//
//	settings.go  settings
//	entry.go     start, serving and graceful shutdown
//	control.go   the control actor, its messages and the view
//	call.go      the path of a call without the log
package berylentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"berylglade/beryladmission"
	"berylglade/berylapi"
	"berylglade/berylbudget"
	"berylglade/berylclock"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylroute"
	"berylglade/berylrpc"
)

// Times of the process.
const (
	_tick         = 200 * time.Millisecond
	_defaultDrain = 30 * time.Second
	// _headerTimeout and _readTimeout end requests that arrive too slowly.
	_headerTimeout = 5 * time.Second
	_readTimeout   = time.Minute
	_idleTimeout   = 2 * time.Minute
)

// Entry is one entry process.
type Entry struct {
	// HTTPAddr and PeerAddr are the addresses on which the entry listens.
	HTTPAddr string
	PeerAddr string

	settings  Settings
	clock     berylclock.Clock
	client    *berylrpc.Client
	loop      *berylcontrol.Loop[message]
	view      atomic.Pointer[view]
	router    berylroute.Router
	admission beryladmission.Admission
	budget    berylbudget.Budget
	httpLis   net.Listener
	peerLis   net.Listener
	// stopping is closed when a planned stop begins; it ends long waits.
	stopping chan struct{}
	once     sync.Once
}

var _ berylapi.Entry = (*Entry)(nil)

// New returns an entry that listens but does not serve yet.
func New(settings Settings, clock berylclock.Clock) (*Entry, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	e := &Entry{
		settings: settings,
		clock:    clock,
		client:   berylrpc.NewClient(),
		stopping: make(chan struct{}),
	}
	e.admission.Entries = len(settings.Entries) + 1
	e.router.Latency = map[string]time.Duration{}
	for domain, d := range settings.Latency {
		e.router.Latency[domain] = d.Std()
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	c := newControl(e)
	e.loop = berylcontrol.New(clock, c.handle)
	return e, nil
}

func (e *Entry) listen() error {
	var err error
	e.httpLis, err = net.Listen("tcp", e.settings.HTTP)
	if err != nil {
		return berylerror.Invalid.Wrap(err, "listen for callers")
	}
	e.peerLis, err = net.Listen("tcp", e.settings.Peer)
	if err != nil {
		_ = e.httpLis.Close()
		return berylerror.Invalid.Wrap(err, "listen for our processes")
	}
	e.HTTPAddr = e.httpLis.Addr().String()
	e.PeerAddr = e.peerLis.Addr().String()
	return nil
}

// Run serves until ctx ends and then shuts down: it stops accepting, finishes
// the calls in progress and returns.
func (e *Entry) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           berylapi.New(e, e.settings.Operator),
		ReadHeaderTimeout: _headerTimeout,
		ReadTimeout:       _readTimeout,
		IdleTimeout:       _idleTimeout,
	}
	// Background work outlives ctx until the calls in progress are finished.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		return e.peers().Serve(work, e.peerLis)
	})
	g.Go(func() error {
		e.loop.Every(work, _tick, func() message { return tick{} })
		return nil
	})
	g.Go(func() error {
		if err := srv.Serve(e.httpLis); !errors.Is(err, http.ErrServerClosed) {
			cancel()
			return errors.Wrap(err, "serve callers")
		}
		return nil
	})
	klog.InfoS("entry serves", "name", e.settings.Name, "http", e.HTTPAddr, "peer", e.PeerAddr)
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	err := e.shutdown(srv)
	cancel()
	err = errors.Join(err, g.Wait())
	e.loop.Stop()
	return errors.Join(err, e.client.Close())
}

func (e *Entry) shutdown(srv *http.Server) error {
	e.once.Do(func() { close(e.stopping) })
	drain := _defaultDrain
	if e.settings.Drain > 0 {
		drain = e.settings.Drain.Std()
	}
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	klog.InfoS("entry stops", "name", e.settings.Name)
	if err := srv.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "calls in progress did not finish")
	}
	return nil
}

// peers returns the server for our own processes.
func (e *Entry) peers() *berylrpc.Server {
	s := &berylrpc.Server{}
	berylrpc.Handle(s, berylmessage.MethodBeat, e.onBeat)
	berylrpc.Handle(s, berylmessage.MethodConfig, e.onConfig)
	return s
}

func (e *Entry) onBeat(ctx context.Context, req *berylmessage.Beat) (*berylmessage.BeatReply, error) {
	if req.Agent == "" || req.Incarnation == "" || req.Addr == "" {
		return nil, berylerror.Invalid.Errorf("heartbeat without agent, incarnation or address")
	}
	return berylcontrol.Ask(ctx, e.loop, func(reply func(*berylmessage.BeatReply)) message {
		return beat{beat: *req, reply: reply}
	})
}

func (e *Entry) onConfig(ctx context.Context, req *berylmessage.ConfigRequest) (*berylmessage.ConfigReply, error) {
	return berylcontrol.Ask(ctx, e.loop, func(reply func(*berylmessage.ConfigReply)) message {
		return exchange{request: *req, reply: reply}
	})
}
