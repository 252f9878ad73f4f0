package beryllistener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"berylglade/berylclock"
	"berylglade/berylquota"
)

// fakeConn records deadlines.
type fakeConn struct {
	net.Conn
	reads []time.Time
	err   error
}

func (c *fakeConn) Read([]byte) (int, error)           { return 0, c.err }
func (c *fakeConn) SetReadDeadline(t time.Time) error  { c.reads = append(c.reads, t); return nil }
func (c *fakeConn) SetWriteDeadline(_ time.Time) error { return nil }

// Guards against a body that may stop for ever, and against a deadline of the body that
// is left behind, or replaces one of the server, and so cuts a request off while it is
// served.
func TestBodyDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	closed := 0
	l := New(nil, Config{
		Limits: berylquota.NewLimits(1<<20, 4), Clock: func() time.Time { return now },
		Count: func(string, string) { closed++ },
	})
	inner := &fakeConn{err: os.ErrDeadlineExceeded}
	c := &conn{Conn: inner, listener: l}
	c.beginBody()
	_, err := c.Read(make([]byte, 100))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.Equal(closed, 1)
	is.Equal(inner.reads, []time.Time{now.Add(5 * time.Second)})
	_, _ = c.Read(make([]byte, 1)) // The server watches the connection.
	c.received()
	is.Equal(inner.reads[1:], []time.Time{{}})

	c.beginBody()
	past := time.Unix(1, 0)
	is.NoErr(c.SetReadDeadline(past))
	_, _ = c.Read(make([]byte, 100))
	c.received()
	is.Equal(inner.reads[2:], []time.Time{past})
}

// serveGuarded serves h on a loopback address behind a listener with a budget of bytes.
func serveGuarded(t *testing.T, budget int64, h http.HandlerFunc) (addr string, l *Listener) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := berylquota.NewLimits(budget, 8)
	limits.Connection = budget / 4
	l = New(inner, Config{
		Limits: limits, Clock: berylclock.System(), Log: slog.New(slog.DiscardHandler), Count: func(string, string) {},
	})
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	l.Guard(srv)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return inner.Addr().String(), l
}

// Guards against bodies beyond the memory, against reservations that are not given
// back, and against a connection that is closed after a request that was served.
func TestBodyIsReserved(t *testing.T) {
	is := is.New(t)
	var refused atomic.Int32
	addr, l := serveGuarded(t, 400<<10, func(w http.ResponseWriter, r *http.Request) {
		SetAccount(r.Context(), "a")
		_, err := io.ReadAll(r.Body)
		if errors.Is(err, ErrNoRoom) {
			refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for _, size := range []int{0, 100, 30 << 10, 100, 60 << 10} {
		awaitHeld(t, l, 1, 16<<10)
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		is.NoErr(err)
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		_ = resp.Body.Close()
		// The share of a connection is 100 KiB, and a body takes twice its size.
		is.Equal(resp.StatusCode == http.StatusServiceUnavailable, size == 60<<10)
	}
	is.Equal(refused.Load(), int32(1))
	_ = conn.Close()
	awaitHeld(t, l, 0, 0)
}

// awaitHeld waits until the connections hold an amount. Connections change their state
// shortly after the reply.
func awaitHeld(t *testing.T, l *Listener, conns int, bytes int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for gotConns, gotBytes := l.Held(); gotConns != conns || gotBytes != bytes; gotConns, gotBytes = l.Held() {
		if ctx.Err() != nil {
			t.Fatalf("%d connections hold %d bytes, not %d hold %d", gotConns, gotBytes, conns, bytes)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against the lines of a trailer, which are not charged, that a request keeps
// while it is served.
func TestTrailerIsDropped(t *testing.T) {
	is := is.New(t)
	lines := make(chan int, 1)
	addr, _ := serveGuarded(t, 400<<10, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		lines <- len(r.Trailer)
	})
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: 1\r\nB: 2\r\n\r\n")
	is.NoErr(err)
	is.Equal(<-lines, 0)
}

// Guards against headers of many lines beyond the memory, and against idle connections
// that keep new ones out.
func TestOldestConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	addr, l := serveGuarded(t, 400<<10, func(http.ResponseWriter, *http.Request) {})
	for range 20 {
		conn, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 250))
	}
	resp, err := http.Get("http://" + addr)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	conns, bytes := l.Held()
	is.True(conns <= 8)
	is.True(bytes <= 400<<10)
	http.DefaultClient.CloseIdleConnections()
}
