// Package beryldump serves the state, metrics and health of a process over
// HTTP: GET /dump, /metrics, /healthz and /readyz.
//
// The owner of the state provides a function that returns a snapshot of it. The
// endpoints are read-only and have no authentication, so the listener must be
// bound to the operators' network.
package beryldump

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/procfs"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/beryllistener"
	"berylglade/berylquota"
)

const (
	// _dumpTimeout limits the wait for the owner of the state.
	_dumpTimeout = 5 * time.Second
	// _headerTimeout closes connections that send no request.
	_headerTimeout = 5 * time.Second
	// _readTimeout, _writeTimeout and _idleTimeout close connections that are
	// too slow or idle. _writeTimeout includes the wait for the state.
	_readTimeout  = 10 * time.Second
	_writeTimeout = 30 * time.Second
	_idleTimeout  = 2 * time.Minute
	// _maxHeader is the maximum size of a request's header in bytes.
	_maxHeader = 16 << 10
	// _maxConnections is enough for several operators and scrapers.
	_maxConnections = 64
	// _maxMemory bounds what requests under way hold, in bytes.
	_maxMemory = 16 << 20
	// _stopTimeout limits the wait for requests in flight at shutdown.
	_stopTimeout = time.Second
)

// Listener serves the endpoints of one process. All fields must be set before
// Run.
type Listener struct {
	// Addr is the IP address and port to listen on.
	Addr string
	// Registry contains the metrics of the process.
	Registry *prometheus.Registry
	// State returns a value that /dump encodes as JSON, or an error if the owner
	// of the state does not answer.
	State func(ctx context.Context) (any, error)
	// Ready returns nil if the process can serve, and otherwise an error with
	// the reason.
	Ready func() error
}

// NewRegistry returns a registry with the metrics of the Go runtime and the
// operating system process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "berylglade_process_io_bytes_total",
			Help: "Bytes read and written by system calls of this process, on files and connections.",
		}, ioBytes),
	)
	return r
}

// ioBytes returns the bytes that the process has read and written, or zero if the
// operating system has no such counter. The network counters of the process
// collector are no substitute because they count for the whole VM.
func ioBytes() float64 {
	proc, err := procfs.Self()
	if err != nil {
		return 0
	}
	usage, err := proc.IO()
	if err != nil {
		return 0
	}
	return float64(usage.RChar) + float64(usage.WChar)
}

// Run listens on Addr and serves until ctx is done.
func (l *Listener) Run(ctx context.Context) error {
	lis, err := net.Listen("tcp", l.Addr)
	if err != nil {
		return berylerror.Unavailable.Wrap(err, "listen for dump and metrics")
	}
	return l.Serve(ctx, lis)
}

// Serve serves on lis until ctx is done, and closes it.
func (l *Listener) Serve(ctx context.Context, lis net.Listener) error {
	srv := &http.Server{
		Handler:           l.Handler(),
		ReadHeaderTimeout: _headerTimeout,
		ReadTimeout:       _readTimeout,
		WriteTimeout:      _writeTimeout,
		IdleTimeout:       _idleTimeout,
		MaxHeaderBytes:    _maxHeader,
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), _stopTimeout)
		defer cancel()
		if srv.Shutdown(end) != nil {
			_ = srv.Close()
		}
	})
	guarded := beryllistener.New(lis, beryllistener.Config{
		Limits: berylquota.NewLimits(_maxMemory, _maxConnections), Clock: berylclock.System(), Log: slog.Default(), Name: "dump",
		Count: func(string, string) {},
	})
	guarded.Guard(srv)
	err := srv.Serve(guarded)
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return berylerror.Unavailable.Wrap(err, "serve dump and metrics")
}

// Handler returns the HTTP handler of all endpoints.
func (l *Listener) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", l.dump)
	mux.Handle("GET /metrics", promhttp.HandlerFor(l.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", l.ready)
	return mux
}

func (l *Listener) dump(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), _dumpTimeout)
	defer cancel()
	state, err := l.State(ctx)
	if err != nil {
		writeError(w, err)
		return
	}
	data, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		writeError(w, berylerror.Internal.Wrap(err, "encode dump"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(data, '\n'))
}

func (l *Listener) ready(w http.ResponseWriter, _ *http.Request) {
	if err := l.Ready(); err != nil {
		writeError(w, berylerror.Unavailable.Wrap(err, "not ready"))
		return
	}
	w.Write([]byte("ready\n"))
}

// problem is the body of an error response.
type problem struct {
	Kind string `json:"kind"`
	Text string `json:"text"`
}

func writeError(w http.ResponseWriter, err error) {
	kind := berylerror.Of(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(kind.Status())
	_ = json.NewEncoder(w).Encode(problem{Kind: kind.String(), Text: err.Error()})
}
