// Package beryllisten bounds the connections of a listener, so that a burst of
// them waits in the operating system instead of filling the memory.
package beryllisten

import (
	"net"
	"sync"
)

// Listener accepts a connection only while fewer than its limit are open.
type Listener struct {
	net.Listener
	// slots has one element for each open connection.
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*Listener)(nil)

// New returns a listener that takes its connections from lis.
func New(lis net.Listener, limit int) *Listener {
	return &Listener{Listener: lis, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener. It waits while the limit is reached.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &conn{Conn: c, slots: l.slots}, nil
}

// Close implements net.Listener. Open connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn returns its place when it is closed for the first time.
type conn struct {
	net.Conn
	slots <-chan struct{}
	once  sync.Once
}

func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.slots })
	return err
}
