package berylgateway

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylclock"
	"berylglade/beryldirector"
	"berylglade/berylregistry"
	"berylglade/berylreport"
	"berylglade/berylrpc"
	"berylglade/berylstore"
)

// addressStore is a store whose topics have the given addresses.
type addressStore struct {
	berylstore.Store
	addrs []string
}

func (s *addressStore) Newest(context.Context, string, string) (berylstore.Page, error) {
	var p berylstore.Page
	for i, addr := range s.addrs {
		p.Records = append(p.Records, berylstore.Record{Key: strconv.Itoa(i), Value: []byte(addr)})
	}
	return p, nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return lis
}

// A third of 240 agents is cut off. Guards against an announcement that reaches the
// others only after the timeouts of these: their backend servers get no work until then.
func TestAnnouncementIsNotDelayedByUnresponsiveAgents(t *testing.T) {
	const unresponsive, responsive = 80, 160
	is := is.New(t)
	store := &addressStore{}
	for range unresponsive {
		store.addrs = append(store.addrs, listen(t).Addr().String())
	}
	var told atomic.Int32
	var s berylrpc.Server
	berylrpc.Handle(&s, berylreport.MethodLead, func(context.Context, *berylreport.Lead) (*berylreport.Receipt, error) {
		told.Add(1)
		return &berylreport.Receipt{}, nil
	})
	for range responsive {
		lis := listen(t)
		go func() { _ = s.Serve(t.Context(), lis) }()
		store.addrs = append(store.addrs, lis.Addr().String())
	}
	g := New(Config{
		Store: store, Clock: berylclock.System(), Log: slog.New(slog.DiscardHandler),
		Agents: &berylregistry.Registry{Store: store}, CountDecision: func(string) {},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.announce(beryldirector.Announce{Epoch: 1})
	}()
	await(t, _announceCallTimeout+200*time.Millisecond, "all responsive agents told", func() bool { return told.Load() == responsive })
	<-done
	is.Equal(told.Load(), int32(responsive))
}
