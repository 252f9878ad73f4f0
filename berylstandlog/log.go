// Package berylstandlog is a stand-in for the platform's log: append-only
// streams in memory, served over HTTP.
//
// A [Log] is an http.Handler with the routes
//
//	POST /streams/{name}/records            append
//	GET  /streams/{name}/records?from=&wait= read, with long poll
//	GET, POST /faults                        faults to inject, see [Faults]
//	GET  /stats                              counts, see [Stats]
//
// The file stream.go keeps the records and counts, this file the HTTP side.
package berylstandlog

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"

	"berylglade/berylclock"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/beryllog"
)

const (
	// _maxWait bounds the long poll of one read.
	_maxWait = 30 * time.Second
	// _maxBody bounds the body of one append.
	_maxBody = 16 << 20
	// _stopTimeout is how long Run waits for requests in flight.
	_stopTimeout = time.Second
	// _headerTimeout ends connections that send no complete header.
	_headerTimeout = 10 * time.Second
	// _readTimeout bounds the arrival of a request, _idleTimeout the time that
	// a connection is not used; clients close theirs after a minute.
	_readTimeout = time.Minute
	_idleTimeout = 2 * time.Minute
	// _maxConnections is above three long polls of each of 1,000 processes.
	_maxConnections = 4096
)

// Settings of a Log. Zero limits mean no limit.
type Settings struct {
	// Listen is the address that Run listens on.
	Listen string `json:"listen"`
	// Retention is how long a record is kept.
	Retention berylduration.Duration `json:"retention,omitempty"`
	// MaxRecords is how many records of each stream are kept.
	MaxRecords int `json:"records,omitempty"`
	// Rate is the number of append requests accepted in any one second.
	Rate int `json:"rate,omitempty"`
	// Faults apply from the start.
	Faults Faults `json:"faults,omitzero"`
}

// Faults are the failures that the log shows. A POST to /faults replaces all of
// them.
type Faults struct {
	// Down answers 503 to each request and ends long polls.
	Down bool `json:"down,omitempty"`
	// ReadDelay delays each read.
	ReadDelay berylduration.Duration `json:"read,omitempty"`
	// AppendDelay delays each append. The append takes effect after the delay, even
	// if its sender has gone by then.
	AppendDelay berylduration.Duration `json:"append,omitempty"`
	// LoseReplies is the number of next appends that take effect and whose
	// connection is then closed without a reply.
	LoseReplies int `json:"lose,omitempty"`
	// RefuseClients are the client names that get 503.
	RefuseClients []string `json:"refuse,omitempty"`
}

// Log is the stand-in.
type Log struct {
	settings Settings
	clock    berylclock.Clock
	mux      *http.ServeMux
	// stopped is closed when Serve ends, to end delayed appends.
	stopped chan struct{}
	state   state
}

var _ http.Handler = (*Log)(nil)

// New returns a log without records.
func New(settings Settings, clock berylclock.Clock) (*Log, error) {
	if settings.MaxRecords < 0 || settings.Rate < 0 {
		return nil, berylerror.Invalid.Errorf("records and rate must not be below zero")
	}
	l := &Log{settings: settings, clock: clock, mux: http.NewServeMux(), stopped: make(chan struct{})}
	l.state.faults = settings.Faults
	l.state.streams = map[string]*stream{}
	l.state.changed = make(chan struct{})
	l.mux.HandleFunc("POST /streams/{name}/records", l.append)
	l.mux.HandleFunc("GET /streams/{name}/records", l.read)
	l.mux.HandleFunc("GET /faults", l.showFaults)
	l.mux.HandleFunc("POST /faults", l.setFaults)
	l.mux.HandleFunc("GET /stats", l.stats)
	return l, nil
}

// Run listens and serves until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", l.settings.Listen)
	if err != nil {
		return berylerror.Internal.Wrap(err, "listen")
	}
	return l.Serve(ctx, lis)
}

// Serve serves on lis until ctx ends; it is called once. Requests that do not end soon after that
// are cut off.
func (l *Log) Serve(ctx context.Context, lis net.Listener) error {
	srv := &http.Server{
		Handler:           l,
		ReadHeaderTimeout: _headerTimeout,
		ReadTimeout:       _readTimeout,
		IdleTimeout:       _idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(netutil.LimitListener(lis, _maxConnections)) }()
	select {
	case err := <-served:
		return berylerror.Internal.Wrap(err, "serve")
	case <-ctx.Done():
	}
	close(l.stopped)
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), _stopTimeout)
	defer cancel()
	if err := srv.Shutdown(stop); err != nil {
		_ = srv.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return berylerror.Internal.Wrap(err, "serve")
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var req beryllog.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, _maxBody)).Decode(&req); err != nil {
		http.Error(w, "body is not an append: "+err.Error(), bodyStatus(err))
		return
	}
	if len(req.Records) == 0 {
		http.Error(w, "append has no records", http.StatusBadRequest)
		return
	}
	f := l.state.arrive(l.clock(), r.Header.Get(beryllog.ClientHeader))
	if f.refused {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	if !l.delay(f.appendDelay) {
		http.Error(w, "log is stopping", http.StatusServiceUnavailable)
		return
	}
	res := l.state.append(l.clock(), l.settings, r.PathValue("name"), req.Records)
	switch {
	case res.limited:
		http.Error(w, "too many appends", http.StatusTooManyRequests)
	case res.lost:
		hangUp(w)
	default:
		writeJSON(w, beryllog.AppendReply{Offset: res.offset})
	}
}

// delay waits for d, whether or not the sender is still there, and reports
// whether the log still runs.
func (l *Log) delay(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.stopped:
		return false
	}
}

func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// hangUp closes the connection without a reply.
func hangUp(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "reply is lost", http.StatusGatewayTimeout)
		return
	}
	_ = conn.Close()
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, wait, err := readQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	client := r.Header.Get(beryllog.ClientHeader)
	f := l.state.startRead(client)
	if f.refused || !sleep(r.Context(), f.readDelay) {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, down := l.state.read(l.clock(), l.settings, r.PathValue("name"), from, client)
		if down {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		if len(b.Entries) > 0 || wait == 0 {
			writeJSON(w, b)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			wait = 0
		}
	}
}

func readQuery(r *http.Request) (int64, time.Duration, error) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		return 0, 0, berylerror.Invalid.Wrap(err, "from")
	}
	if r.FormValue("wait") == "" {
		return from, 0, nil
	}
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil {
		return 0, 0, berylerror.Invalid.Wrap(err, "wait")
	}
	return from, min(max(wait, 0), _maxWait), nil
}

// sleep waits for d and reports whether ctx still holds.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Log) showFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.state.showFaults()) }

func (l *Log) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(io.LimitReader(r.Body, _maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, "body is not a set of faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	writeJSON(w, f)
}

// SetFaults replaces all faults.
func (l *Log) SetFaults(f Faults) { l.state.setFaults(f) }

// Stats returns the counts so far.
func (l *Log) Stats() Stats { return l.state.showStats() }

func (l *Log) stats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Stats()) }

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
