package beryllistener

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"berylglade/berylquota"
)

// conn is a connection that reserves what its peer makes the process allocate.
type conn struct {
	net.Conn
	listener *Listener
	id       uint64

	// mu guards the fields below.
	mu sync.Mutex
	// head is true while the connection is idle or a header is read, inBody while the
	// body of a request has not been received completely.
	head, inBody bool
	// idle is true from a reply to the first byte of the next request.
	idle bool
	// lastRead is what was reserved for the last read of header bytes. Some of them may
	// belong to the next request.
	lastRead int64
	// bodyRead is the number of bytes read since the header, and waited how long the
	// process has waited for them.
	bodyRead int64
	waited   time.Duration
	// serverDeadline is the read deadline that the server has set. While ownDeadline is
	// true, the deadline of the connection is that of the body.
	serverDeadline time.Time
	ownDeadline    bool
	// serverWrites is true while the server has set a write deadline.
	serverWrites bool
}

// Read implements net.Conn. It returns an error if there is no room for what was read.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	head, inBody := c.head, c.inBody
	c.mu.Unlock()
	switch {
	case head:
		c.releaseBuffered()
		n, err := c.Conn.Read(p)
		if n > 0 && !c.readHead(p[:n]) {
			_ = c.Close()
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrNoRoom}
		}
		return n, err
	case inBody && len(p) > 1:
		return c.readBody(p)
	default:
		// The server reads a single byte to notice that the client has gone. It waits
		// as long as the request is served.
		return c.Conn.Read(p)
	}
}

// releaseBuffered gives back what was reserved for bytes that may have belonged to the
// next request: as an idle connection is read again, the server has used them up.
func (c *conn) releaseBuffered() {
	c.mu.Lock()
	n := c.lastRead
	if !c.idle {
		n = 0
	}
	c.lastRead -= n
	c.mu.Unlock()
	if n == 0 {
		return
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.Return(c.id, n)
	l.notify()
}

// CloseWrite closes the sending half, so that the client gets a refusal although it
// still sends.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// readHead reserves memory for bytes of a header.
func (c *conn) readHead(p []byte) bool {
	n := _headerFactor*int64(len(p)) + _lineOverhead*int64(bytes.Count(p, []byte{'\n'}))
	c.mu.Lock()
	c.lastRead = n
	idle := c.idle
	c.idle = false
	c.mu.Unlock()
	l := c.listener
	if idle {
		l.mu.Lock()
		l.quota.Enter(l.cfg.Clock(), c.id, berylquota.Reading)
		l.mu.Unlock()
	}
	return l.reserve(c.id, n)
}

// readBody reads bytes of a body and fails if the client is too slow.
func (c *conn) readBody(p []byte) (int, error) {
	began := c.listener.cfg.Clock()
	c.mu.Lock()
	left := berylquota.ReadTimeout(c.bodyRead, c.waited)
	if c.inBody && c.serverDeadline.IsZero() {
		c.ownDeadline = true
		_ = c.Conn.SetReadDeadline(began.Add(left))
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyRead += int64(n)
	c.waited += c.listener.cfg.Clock().Sub(began)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.ownDeadline {
		c.listener.cfg.Count("closed", "progress")
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline, c.ownDeadline = t, false
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverWrites = !t.IsZero()
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. Unless the server has set a deadline, it fails if the
// client does not take the reply in time.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	serverWrites := c.serverWrites
	c.mu.Unlock()
	if serverWrites {
		return c.Conn.Write(p)
	}
	_ = c.Conn.SetWriteDeadline(c.listener.cfg.Clock().Add(_writeTimeout))
	n, err := c.Conn.Write(p)
	_ = c.Conn.SetWriteDeadline(time.Time{})
	return n, err
}

// beginBody is called when the header of a request was read.
func (c *conn) beginBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.inBody, c.bodyRead, c.waited = false, true, 0, 0
}

// received is called when the request was received completely.
func (c *conn) received() {
	l := c.listener
	l.mu.Lock()
	l.quota.Enter(l.cfg.Clock(), c.id, berylquota.Serving)
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = false
	if c.ownDeadline {
		c.ownDeadline = false
		_ = c.Conn.SetReadDeadline(c.serverDeadline)
	}
}

// finish is called when the reply was sent.
func (c *conn) finish() {
	c.mu.Lock()
	c.head, c.inBody, c.idle = true, false, true
	buffered := c.lastRead
	c.mu.Unlock()
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.Finish(l.cfg.Clock(), c.id, buffered)
	l.notify()
}

// body is the body of a request. It reserves memory before it reads.
type body struct {
	io.ReadCloser
	conn    *conn
	request *http.Request
	err     error
}

// Read implements io.Reader. It returns ErrNoRoom if there is no memory for the body.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	l := b.conn.listener
	p = p[:min(len(p), _bodyStep)]
	want := _bodyFactor * int64(len(p))
	if !l.reserve(b.conn.id, want) {
		b.err = ErrNoRoom
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if unused := want - _bodyFactor*int64(n); unused > 0 {
		l.mu.Lock()
		l.quota.Return(b.conn.id, unused)
		l.notify()
		l.mu.Unlock()
	}
	if err != nil {
		b.err = err
		if errors.Is(err, io.EOF) {
			// Nothing reads trailers, whose lines are not charged.
			b.request.Trailer = nil
			b.conn.received()
		}
	}
	return n, err
}

const (
	// _headerFactor covers the parts of a header that are kept as strings, of which the
	// path is kept up to four times, and _lineOverhead what the parser allocates for a
	// line besides, in bytes: an element of a growing map, and a slice of strings.
	_headerFactor = 4
	_lineOverhead = 256
	// _bodyFactor covers the parts in which a body is read and the copy that joins
	// them; _bodyStep is how many bytes of it are read at a time.
	_bodyFactor = 2
	_bodyStep   = 8 << 10
	// _writeTimeout closes the connection of a client that does not read its reply.
	_writeTimeout = 10 * time.Second
)
