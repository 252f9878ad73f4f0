// Package berylstandlog is a stand-in for the platform's log. It stores
// append-only streams in memory and serves them over HTTP.
//
// A [Log] is an http.Handler with the routes
//
//	POST /streams/{name}/records             append records
//	GET  /streams/{name}/records?from=&wait= read records, with long polling
//	GET, POST /faults                        get or replace the injected [Faults]
//	GET  /stats                              get the [Stats]
//
// The file stream.go has the streams and counters, this file the HTTP handlers.
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
	// _maxWait is the longest time that a read waits for records.
	_maxWait = 30 * time.Second
	// _maxBody is the largest body of an append in bytes.
	_maxBody = 16 << 20
	// _stopTimeout is how long a stopping log waits for requests in flight.
	_stopTimeout = time.Second
	// _headerTimeout closes connections that send no complete header.
	_headerTimeout = 10 * time.Second
	// _readTimeout bounds the time to receive a request. _idleTimeout closes
	// unused connections; clients close theirs earlier, after a minute.
	_readTimeout = time.Minute
	_idleTimeout = 2 * time.Minute
	// _maxConnections allows three long polls from each of 1,000 processes.
	_maxConnections = 4096
)

// Settings of a Log. A limit of zero means no limit.
type Settings struct {
	// Listen is the address that Run listens on.
	Listen string `json:"listen"`
	// Retention is how long a record is stored.
	Retention berylduration.Duration `json:"retention,omitempty"`
	// MaxRecords is the number of newest records stored for each stream.
	MaxRecords int `json:"records,omitempty"`
	// Rate is the largest number of append requests accepted within one second.
	Rate int `json:"rate,omitempty"`
	// Faults are the injected faults at the start.
	Faults Faults `json:"faults,omitzero"`
}

// Faults are the injected faults. A POST to /faults replaces all of them.
type Faults struct {
	// Down makes every request, including long polls in progress, fail with
	// status 503.
	Down bool `json:"down,omitempty"`
	// ReadDelay is the delay before each read.
	ReadDelay berylduration.Duration `json:"read,omitempty"`
	// AppendDelay is the delay before each append takes effect. An append takes
	// effect even if its sender has disconnected by then.
	AppendDelay berylduration.Duration `json:"append,omitempty"`
	// LoseReplies is the number of further appends that take effect but whose
	// connection is then closed without a reply.
	LoseReplies int `json:"lose,omitempty"`
	// RefuseClients are the names of clients whose requests fail with status
	// 503.
	RefuseClients []string `json:"refuse,omitempty"`
}

// Log is the stand-in for the platform's log.
type Log struct {
	settings Settings
	clock    berylclock.Clock
	mux      *http.ServeMux
	// stopped is closed when Serve stops, to abort delayed appends.
	stopped chan struct{}
	state   state
}

var _ http.Handler = (*Log)(nil)

// New returns a log without records.
func New(settings Settings, clock berylclock.Clock) (*Log, error) {
	if settings.MaxRecords < 0 || settings.Rate < 0 {
		return nil, berylerror.Invalid.Errorf("records and rate must not be negative")
	}
	l := &Log{settings: settings, clock: clock, mux: http.NewServeMux(), stopped: make(chan struct{})}
	l.state.faults = settings.Faults
	l.state.streams = map[string]*stream{}
	l.state.changed = make(chan struct{})
	l.mux.HandleFunc("POST /streams/{name}/records", l.append)
	l.mux.HandleFunc("GET /streams/{name}/records", l.read)
	l.mux.HandleFunc("GET /faults", l.getFaults)
	l.mux.HandleFunc("POST /faults", l.postFaults)
	l.mux.HandleFunc("GET /stats", l.getStats)
	return l, nil
}

// Run listens and serves until ctx is cancelled.
func (l *Log) Run(ctx context.Context) error {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", l.settings.Listen)
	if err != nil {
		return berylerror.Internal.Wrap(err, "listen")
	}
	return l.Serve(ctx, lis)
}

// Serve serves on lis until ctx is cancelled; it must be called only once.
// Requests that do not end within _stopTimeout are aborted.
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
		http.Error(w, "decode append request: "+err.Error(), bodyErrorStatus(err))
		return
	}
	if len(req.Records) == 0 {
		http.Error(w, "append request has no records", http.StatusBadRequest)
		return
	}
	f := l.state.countAppend(l.clock(), r.Header.Get(beryllog.ClientHeader))
	if f.unavailable {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	if !l.waitForDelay(f.appendDelay) {
		http.Error(w, "log is stopping", http.StatusServiceUnavailable)
		return
	}
	res := l.state.append(l.clock(), l.settings, r.PathValue("name"), req.Records)
	switch {
	case res.rateLimited:
		http.Error(w, "append rate limit exceeded", http.StatusTooManyRequests)
	case res.replyLost:
		closeWithoutReply(w)
	default:
		writeJSON(w, beryllog.AppendReply{Offset: res.offset})
	}
}

// waitForDelay waits for d, even if the sender disconnects. It returns false if
// the log stops in this time.
func (l *Log) waitForDelay(d time.Duration) bool {
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

func bodyErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// closeWithoutReply closes the connection without a reply.
func closeWithoutReply(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "reply is dropped by an injected fault", http.StatusGatewayTimeout)
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
	f := l.state.countRead(client)
	if f.unavailable || !sleep(r.Context(), f.readDelay) {
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

// sleep waits for d. It returns false if ctx is cancelled in this time.
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

func (l *Log) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.state.getFaults()) }

func (l *Log) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(io.LimitReader(r.Body, _maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, "decode faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	writeJSON(w, f)
}

// SetFaults replaces all injected faults.
func (l *Log) SetFaults(f Faults) { l.state.setFaults(f) }

// Stats returns the counts since the start.
func (l *Log) Stats() Stats { return l.state.getStats() }

func (l *Log) getStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Stats()) }

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
