// Package berylsite is the command line of the processes on the users' platform.
//
// It connects the adapter in package platform to an entry (berylgateway) or an agent
// (berylsidecar), opens the listeners, and handles signals.
package berylsite

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/beryllistener"
	"berylglade/berylregistry"
	"berylglade/berylrpc"
	"berylglade/berylsink"
	"berylglade/berylstore"
	"berylglade/platform"
)

// grammar defines the commands for kong.
type grammar struct {
	Entry entryCmd `cmd:"" help:"Run an entry, which serves clients and may be the leader."`
	Agent agentCmd `cmd:"" help:"Run an agent beside a backend server."`
	Check checkCmd `cmd:"" help:"Check the settings file, or a desired state, and print what was read."`

	RunTimes     runTimesCmd     `cmd:"" help:"Print what the leader has learned about run times."`
	Reservations reservationsCmd `cmd:"" help:"Print the capacity that waits for units, and for how long."`
}

const _description = `Scheduler for multi-accelerator jobs on the users' platform.

The settings file is named by the environment variable ` + platform.EnvSettings + `.
Exit codes: 0 success, 1 internal, 2 invalid arguments or settings.`

// Main runs the command given by args and returns the exit code.
func Main(args []string) int {
	var g grammar
	exited := false
	parser, err := kong.New(&g, kong.Name("berylsite"), kong.Description(_description),
		kong.Exit(func(int) { exited = true }))
	if err != nil {
		return fail(err)
	}
	parsed, err := parser.Parse(args)
	if exited {
		return 0
	}
	if err != nil {
		return fail(berylerror.Invalid.Wrap(err, "arguments"))
	}
	err = parsed.Run()
	if errors.Is(err, errWarnings) {
		return _warningsExit
	}
	if err != nil {
		return fail(err)
	}
	return 0
}

func fail(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "berylsite:", err)
	return berylerror.Of(err).Exit()
}

// process is the common part of an entry and an agent process.
type process struct {
	settings platform.Settings
	sink     *berylsink.Sink
	log      *slog.Logger
	// boot is the start time of the process in Unix milliseconds; it tells restarts
	// of a process apart.
	boot     int64
	registry *prometheus.Registry
	budgets  budgets
	// limited counts connections and requests that were closed or refused because of
	// a budget.
	limited *prometheus.CounterVec
	// internal serves the operators, on the port of the metrics.
	internal *http.ServeMux
	// ctx ends on SIGTERM, SIGINT or a call to stop.
	ctx  context.Context
	stop context.CancelFunc
}

func newProcess(role string) (*process, error) {
	s, err := platform.Load(os.Getenv(platform.EnvSettings))
	if err != nil {
		return nil, err
	}
	p := &process{settings: s, sink: berylsink.New(os.Stdout), boot: berylclock.System()().UnixMilli(), registry: prometheus.NewRegistry(), internal: http.NewServeMux()}
	p.budgets = newBudgets(s)
	debug.SetMemoryLimit(p.budgets.heap)
	p.limited = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "berylglade_connections_limited_total", Help: "Connections and requests that were closed or refused because of a limit.",
	}, []string{"listener", "action", "reason"})
	p.log = p.sink.Logger("vm", s.Node, "role", role)
	p.ctx, p.stop = signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	p.registry.MustRegister(p.limited, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "berylglade_log_lines_dropped",
		Help: "Log lines that were dropped since the last line was written.",
	}, func() float64 { return float64(p.sink.Dropped()) }))
	p.log.Info("start", "boot", p.boot, "zone", s.Zone, "own", s.InternalAddr(), "store", s.Store, "seeds", s.Seeds)
	go p.handleReloads()
	return p, nil
}

// addressRegistry returns the registry of the processes of one role.
func (p *process) addressRegistry(store berylstore.Store, topic string) *berylregistry.Registry {
	return &berylregistry.Registry{Store: store, Clock: berylclock.System(), Topic: topic, Log: p.log}
}

// producerName returns the name under which this process appends to the store. It is
// unique among VMs and restarts.
func (p *process) producerName() string {
	return p.settings.Node + "/" + strconv.FormatInt(p.boot, 10)
}

// handleReloads validates and logs the settings on SIGHUP. It does not apply them:
// the running process keeps its addresses and names until the next start.
func (p *process) handleReloads() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for range hup {
		s, err := platform.Load(os.Getenv(platform.EnvSettings))
		if err != nil {
			p.log.Error("settings not reloaded", "err", err)
			continue
		}
		p.log.Info("reload", "node", s.Node, "seeds", s.Seeds)
	}
}

// serveInternal starts the listeners for calls of entries and agents and for metrics.
func (p *process) serveInternal(ctx context.Context, s *berylrpc.Server) error {
	lis, err := listen(ctx, p.settings.InternalAddr())
	if err != nil {
		return err
	}
	s.MaxConnections = p.budgets.internalConns
	go func() {
		if err := s.Serve(ctx, lis); err != nil && ctx.Err() == nil {
			p.log.Error("internal listener ended", "err", err)
			p.stop()
		}
	}()
	p.internal.Handle("GET /metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	addr := p.settings.IP + ":" + strconv.Itoa(p.settings.FirstPort+_metricsPortOffset)
	_, err = p.serve(ctx, "metrics", addr, p.internal)
	return err
}

// serve starts an HTTP server on addr; name is the name of the listener in logs and
// metrics. If it fails later, the process stops.
func (p *process) serve(ctx context.Context, name, addr string, h http.Handler) (*http.Server, error) {
	inner, err := listen(ctx, addr)
	if err != nil {
		return nil, err
	}
	lis := beryllistener.New(inner, beryllistener.Config{
		Limits: p.budgets.of(name), Clock: berylclock.System(), Log: p.log, Name: name,
		Count: func(action, reason string) { p.limited.WithLabelValues(name, action, reason).Inc() },
	})
	p.registerUsage(name, lis)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: _headerTimeout, IdleTimeout: _idleTimeout, MaxHeaderBytes: _maxHeader}
	lis.Guard(srv)
	go func() {
		if err := srv.Serve(lis); err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("listener ended", "addr", addr, "err", err)
			p.stop()
		}
	}()
	return srv, nil
}

func listen(ctx context.Context, addr string) (net.Listener, error) {
	var cfg net.ListenConfig
	lis, err := cfg.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, berylerror.Internal.Wrap(err, "listen on "+addr)
	}
	return lis, nil
}

const (
	// _metricsPortOffset is the offset of the metrics port in the port range.
	_metricsPortOffset = 1
	_headerTimeout     = 3 * time.Second
	_idleTimeout       = 15 * time.Second
	_maxHeader         = 16 << 10
)
