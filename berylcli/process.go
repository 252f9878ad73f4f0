package berylcli

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"berylglade/berylagent"
	"berylglade/berylclock"
	"berylglade/beryldump"
	"berylglade/berylentry"
	"berylglade/berylerror"
	"berylglade/berylfreshness"
	"berylglade/berylleader"
	"berylglade/berylscheduler"
	"berylglade/berylsettings"
	"berylglade/berylstandlog"
	"berylglade/berylstandrunner"
	"berylglade/berylstandworker"
	"berylglade/berylworker"
)

const (
	_headerTimeout = 5 * time.Second
	// _stateTimeout bounds the wait for the state of an agent in a readiness
	// check.
	_stateTimeout = 2 * time.Second
	// _standinStopTimeout is how long a stopping stand-in waits for requests in
	// progress.
	_standinStopTimeout = 10 * time.Second
)

// process is a daemon or stand-in together with its listener for dump, metrics
// and readiness.
type process struct {
	role     berylsettings.Role
	dump     netip.AddrPort
	registry *prometheus.Registry
	// run serves until its context is cancelled and then shuts down gracefully.
	run func(ctx context.Context) error
	// state returns the state that the dump shows.
	state func(ctx context.Context) (any, error)
	// ready returns an error with the reason if the process can't serve.
	ready func() error
}

// newProcess builds the process that the settings describe.
func newProcess(s *berylsettings.Settings) (*process, error) {
	p := &process{role: s.Role, dump: s.Dump, registry: beryldump.NewRegistry()}
	var err error
	switch s.Role {
	case berylsettings.RoleEntry:
		err = p.entry(s.Entry)
	case berylsettings.RoleAgent:
		err = p.agent(s.Agent)
	case berylsettings.RoleLog:
		err = p.log(s.Log)
	case berylsettings.RoleWorker:
		p.worker(s.Worker)
	case berylsettings.RoleRunner:
		p.runner(s.Runner)
	default:
		err = berylerror.Internal.Errorf("role %d has no process", s.Role)
	}
	if err != nil {
		return nil, err
	}
	return p, nil
}

// serve runs the process until ctx is cancelled. The dump listener serves until
// the graceful shutdown has ended, since operators inspect processes that are
// shutting down.
func (p *process) serve(ctx context.Context) error {
	lis, err := net.Listen("tcp", p.dump.String())
	if err != nil {
		return berylerror.Unavailable.Wrap(err, "listen for dump and metrics")
	}
	ready := func() error {
		if ctx.Err() != nil {
			return berylerror.Unavailable.Errorf("process is stopping")
		}
		return p.ready()
	}
	l := &beryldump.Listener{Registry: p.registry, State: p.state, Ready: ready}
	dumpCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		return l.Serve(dumpCtx, lis)
	})
	g.Go(func() error {
		defer stop()
		return p.run(runCtx)
	})
	err = g.Wait()
	if err != nil && berylerror.Of(err) == berylerror.Internal {
		return berylerror.Internal.Wrap(err, "run "+p.role.String())
	}
	return err
}

func baseURL(addr netip.AddrPort) string { return "http://" + addr.String() }

// addrStrings returns the addresses other than except as strings.
func addrStrings(addrs []netip.AddrPort, except netip.AddrPort) []string {
	list := make([]string, 0, len(addrs))
	for _, a := range addrs {
		if a != except {
			list = append(list, a.String())
		}
	}
	return list
}

func (p *process) entry(s *berylsettings.Entry) error {
	e, err := berylentry.New(berylentry.Settings{
		Name:      s.Name,
		Domain:    s.Domain,
		HTTP:      s.HTTP.String(),
		Peer:      s.Bind.String(),
		Entries:   addrStrings(s.Entries, s.Bind),
		Log:       baseURL(s.Log),
		Operators: s.Operators,
		Retention: s.Retention,
		Drain:     s.Drain,
		Memory:    s.Memory,
		Latency:   s.Latency,
	}, berylclock.System(), berylentry.Dependencies{
		Leader:     berylleader.New(func() berylleader.Policy { return berylscheduler.New(berylscheduler.Options{}) }),
		Registerer: p.registry,
	})
	if err != nil {
		return err
	}
	p.run = e.Run
	p.state = e.State
	p.ready = e.Ready
	return nil
}

func (p *process) agent(s *berylsettings.Agent) error {
	settings := berylagent.Settings{
		Name:    s.Name,
		Domain:  s.Domain,
		Rack:    s.Rack,
		Listen:  s.Bind.String(),
		Entries: addrStrings(s.Entries, netip.AddrPort{}),
		Drain:   s.Drain,
	}
	if s.Runner != nil {
		settings.Runner = baseURL(s.Runner.Addr)
		settings.Slots = s.Runner.Slots
	}
	if s.Worker != nil {
		settings.Worker = baseURL(s.Worker.Addr)
		settings.Total = s.Worker.Shape
	}
	a, err := berylagent.New(settings, berylclock.System(), new(berylfreshness.Freshness), p.registry)
	if err != nil {
		return err
	}
	p.run = a.Run
	p.state = func(ctx context.Context) (any, error) { return a.State(ctx) }
	p.ready = func() error { return agentReady(a) }
	return nil
}

// agentReady returns an error with the reason if the agent starts no work at
// present.
func agentReady(a *berylagent.Agent) error {
	ctx, cancel := context.WithTimeout(context.Background(), _stateTimeout)
	defer cancel()
	state, err := a.State(ctx)
	if err != nil {
		return err
	}
	if state.Refusal != "" {
		return berylerror.Unavailable.Errorf("%s", state.Refusal)
	}
	return nil
}

func (p *process) log(s *berylsettings.Log) error {
	l, err := berylstandlog.New(berylstandlog.Settings{
		Listen:    s.Bind.String(),
		Retention: s.Retention,
		Rate:      s.Rate,
	}, berylclock.System())
	if err != nil {
		return err
	}
	p.standin(s.Bind, l.Serve)
	return nil
}

func (p *process) runner(s *berylsettings.Runner) {
	server := berylstandrunner.New(berylstandrunner.Settings{Slots: s.Slots, ServiceTime: s.Delay})
	p.standin(s.Bind, serveHandler(server))
	p.state = func(context.Context) (any, error) { return server.Ledger(), nil }
}

// standin sets up the process to serve on an address. A stand-in is always ready
// while it runs.
func (p *process) standin(addr netip.AddrPort, serve func(ctx context.Context, lis net.Listener) error) {
	p.ready = func() error { return nil }
	p.state = func(context.Context) (any, error) { return struct{}{}, nil }
	p.run = func(ctx context.Context) error {
		lis, err := net.Listen("tcp", addr.String())
		if err != nil {
			return berylerror.Unavailable.Wrap(err, "listen")
		}
		klog.InfoS("stand-in serves", "role", p.role, "addr", addr)
		defer klog.InfoS("stand-in stopped", "role", p.role, "addr", addr)
		return serve(ctx, lis)
	}
}

// serveHandler returns a function that serves an HTTP handler until its context
// is cancelled.
func serveHandler(h http.Handler) func(ctx context.Context, lis net.Listener) error {
	return func(ctx context.Context, lis net.Listener) error {
		srv := &http.Server{Handler: h, ReadHeaderTimeout: _headerTimeout}
		stopped := make(chan error, 1)
		stop := context.AfterFunc(ctx, func() {
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _standinStopTimeout)
			defer cancel()
			stopped <- srv.Shutdown(stopCtx)
		})
		err := srv.Serve(lis)
		if stop() || !errors.Is(err, http.ErrServerClosed) {
			return berylerror.Internal.Wrap(err, "serve")
		}
		if err := <-stopped; err != nil {
			return berylerror.Unavailable.Wrap(err, "requests in progress did not end before the shutdown timeout")
		}
		return nil
	}
}

// workerState is the dump of a worker stand-in.
type workerState struct {
	// Running is the number of running tasks.
	Running int `json:"running"`
	// Tasks are all tasks since the start of the process.
	Tasks []berylstandworker.Record `json:"tasks"`
}

func (p *process) worker(s *berylsettings.Worker) {
	server := berylstandworker.New(berylstandworker.Settings{Total: s.Shape}, berylclock.System())
	p.standin(s.Bind, serveHandler(server))
	p.state = func(context.Context) (any, error) {
		state := workerState{Tasks: server.Ledger()}
		for _, t := range state.Tasks {
			if t.State == berylworker.Running {
				state.Running++
			}
		}
		return state, nil
	}
}
