package beryllistener

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylclock"
	"berylglade/berylquota"
)

// slowSocket accepts a connection after a while, as on a busy machine.
type slowSocket struct {
	*net.TCPListener
}

func (s slowSocket) Accept() (net.Conn, error) {
	time.Sleep(20 * time.Millisecond)
	return s.TCPListener.Accept()
}

// Guards against a planned stop that resets connections which the kernel has
// established and the server has not accepted, so that their requests get no reply.
func TestDrainAcceptsEstablishedConnections(t *testing.T) {
	const clients = 20
	is := is.New(t)
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	inner, err := cfg.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	l := New(slowSocket{inner.(*net.TCPListener)}, Config{
		Limits: berylquota.NewLimits(1<<20, 2*clients), Clock: berylclock.System(),
		Log: slog.New(slog.DiscardHandler), Count: func(string, string) {},
	})
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute}
	l.Guard(srv)
	go func() { _ = srv.Serve(l) }()

	transport := &http.Transport{DisableKeepAlives: true}
	errs := make([]error, clients)
	var connected, done sync.WaitGroup
	connected.Add(clients)
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		defer connected.Done()
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	for i := range errs {
		done.Go(func() {
			resp, err := (&http.Client{Transport: transport}).Post("http://"+inner.Addr().String(), "text/plain", strings.NewReader("x"))
			if err == nil {
				_ = resp.Body.Close()
			}
			errs[i] = err
		})
	}
	connected.Wait()
	is.NoErr(l.Drain(t.Context()))
	_, err = net.DialTimeout("tcp4", inner.Addr().String(), 100*time.Millisecond)
	is.True(err != nil) // New connections are ignored.
	is.NoErr(srv.Shutdown(t.Context()))
	done.Wait()
	for _, err := range errs {
		is.NoErr(err)
	}
}
