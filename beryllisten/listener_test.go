package beryllisten

import (
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// Guards against connections above the limit, places that are lost or returned
// twice, and a listener at its limit that can't be closed.
func TestLimit(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := New(inner, 1)
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Fatal("a second connection was accepted at a limit of one")
	case <-time.After(50 * time.Millisecond):
	}
	is.NoErr(first.Close())
	_ = first.Close()
	second := <-accepted
	select {
	case <-accepted:
		t.Fatal("closing a connection twice made two places")
	case <-time.After(50 * time.Millisecond):
	}
	is.NoErr(l.Close())
	is.True(errors.Is(<-ended, net.ErrClosed))
	is.NoErr(second.Close())
}
