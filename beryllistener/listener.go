// Package beryllistener limits the memory and the number of an HTTP server's
// connections, so that clients that nobody controls can't exhaust the process.
//
// A [Listener] wraps the server's listener and its connections. It reserves in a
// berylquota.Quota what the connections make the process allocate, and closes those
// that the quota selects. [Listener.Guard] connects it to the server. Handlers
// report what only they know with [SetAccount] and [Reserve].
package beryllistener

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylquota"
)

// Config configures a Listener.
type Config struct {
	Limits berylquota.Limits
	Clock  berylclock.Clock
	Log    *slog.Logger
	// Name is the name of the listener in the log.
	Name string
	// Count is called for each connection or request that was closed or refused;
	// action is "closed" or "refused".
	Count func(action, reason string)
}

// Listener is a net.Listener with a budget for its connections.
type Listener struct {
	net.Listener
	cfg Config

	// mu guards the fields below.
	mu    sync.Mutex
	quota *berylquota.Quota
	conns map[uint64]*conn
	// changed is closed and replaced when connections have given bytes back while
	// reservations wait.
	changed chan struct{}
	waiting int
	// logged is when the last line about closed connections was written, and since
	// then counts those closed or refused since then.
	logged time.Time
	since  int
}

// New wraps a listener.
func New(lis net.Listener, cfg Config) *Listener {
	return &Listener{
		Listener: lis, cfg: cfg, quota: berylquota.New(cfg.Limits),
		conns: map[uint64]*conn{}, changed: make(chan struct{}),
	}
}

// Held returns the number of open connections and the bytes reserved for them.
func (l *Listener) Held() (conns int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quota.Held()
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.open(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// open returns nil if there is no room for the connection.
func (l *Listener) open(inner net.Conn) *conn {
	address, _, _ := net.SplitHostPort(inner.RemoteAddr().String())
	c := &conn{Conn: inner, listener: l, head: true}
	if !l.await(func() (d berylquota.Decision) {
		c.id, d = l.quota.Open(l.cfg.Clock(), address)
		if d.Granted {
			l.conns[c.id] = c
		}
		return d
	}) {
		return nil
	}
	return c
}

// reserve reserves n bytes for a connection and reports whether they are granted.
func (l *Listener) reserve(id uint64, n int64) bool {
	return l.await(func() berylquota.Decision { return l.quota.Reserve(id, n) })
}

// await asks for a reservation until it is granted or refused, or _grantTimeout has
// passed. It closes the connections that the quota selects. It calls ask with mu held.
func (l *Listener) await(ask func() berylquota.Decision) bool {
	var timeout <-chan time.Time
	for {
		l.mu.Lock()
		d := ask()
		if d.Granted {
			l.mu.Unlock()
			return true
		}
		victims := l.victims(d)
		changed := l.changed
		if d.Wait {
			l.waiting++
		}
		l.mu.Unlock()
		for _, c := range victims {
			_ = c.Close()
		}
		l.report("closed", d.Reason, len(victims))
		if !d.Wait {
			l.report("refused", d.Reason, 1)
			return false
		}
		if timeout == nil {
			timer := time.NewTimer(_grantTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-timeout:
			l.report("refused", d.Reason, 1)
			return false
		}
	}
}

// victims returns the connections to close. The caller holds mu.
func (l *Listener) victims(d berylquota.Decision) []*conn {
	victims := make([]*conn, 0, len(d.Close))
	for _, id := range d.Close {
		if c := l.conns[id]; c != nil {
			victims = append(victims, c)
		}
	}
	return victims
}

// notify wakes the reservations that wait. The caller holds mu.
func (l *Listener) notify() {
	if l.waiting == 0 {
		return
	}
	l.waiting = 0
	close(l.changed)
	l.changed = make(chan struct{})
}

// report counts connections that were closed or refused, and logs one line in
// _logInterval at most.
func (l *Listener) report(action string, reason berylquota.Reason, n int) {
	if n == 0 || reason == berylquota.None {
		return
	}
	for range n {
		l.cfg.Count(action, reason.String())
	}
	now := l.cfg.Clock()
	l.mu.Lock()
	l.since += n
	sum, conns, bytes := l.since, 0, int64(0)
	write := now.Sub(l.logged) >= _logInterval
	if write {
		l.logged, l.since = now, 0
		conns, bytes = l.quota.Held()
	}
	l.mu.Unlock()
	if write {
		l.cfg.Log.Warn("client connections limited", "listener", l.cfg.Name, "action", action, "reason", reason.String(),
			"count", sum, "conns", conns, "bytes", bytes)
	}
}

// Guard connects a server to the listener. It must be called before the server serves.
func (l *Listener) Guard(srv *http.Server) {
	srv.Handler = l.handler(srv.Handler)
	srv.ConnState = l.follow
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// follow follows the states of a connection.
func (l *Listener) follow(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
	case http.StateActive:
		c.beginBody()
	case http.StateIdle:
		c.finish()
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		l.quota.End(c.id)
		delete(l.conns, c.id)
		l.notify()
		l.mu.Unlock()
	}
}

// handler returns a handler that reserves what is read of a request's body.
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		switch {
		case !ok:
		case r.Body == nil || r.Body == http.NoBody:
			c.received()
		default:
			r.Body = &body{ReadCloser: r.Body, conn: c, request: r}
		}
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

// ErrNoRoom is returned for a request that is refused because its listener, its client
// address or its client account has used up its share of the memory.
var ErrNoRoom = berylerror.NotRun.Errorf("too many requests at a time: no memory for this one")

// SetAccount sets the client account of the request, whose share its connection uses
// from now on.
func SetAccount(ctx context.Context, account string) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.SetAccount(c.id, account)
}

// Reserve reserves n bytes until the reply to the request has been sent. A request that
// needs more than the share of a connection reserves the rest of the share. It returns
// ErrNoRoom if there is no room.
func Reserve(ctx context.Context, n int64) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	l := c.listener
	l.mu.Lock()
	n = min(n, l.quota.Available(c.id))
	l.mu.Unlock()
	if n <= 0 || l.reserve(c.id, n) {
		return nil
	}
	return ErrNoRoom
}

const (
	// _grantTimeout is how long a reservation waits for connections that are being
	// closed.
	_grantTimeout = time.Second
	// _logInterval is the minimum time between two log lines.
	_logInterval = 5 * time.Second
)
