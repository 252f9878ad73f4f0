package berylgateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"berylglade/beryldirector"
	"berylglade/berylreport"
	"berylglade/berylrpc"
)

// announce tells all agents that this entry is the leader. Otherwise each agent would
// have to detect that the previous leader does not answer, and its backend server
// would get no work for one or two seconds.
func (g *Gateway) announce(a beryldirector.Announce) {
	ctx, cancel := context.WithTimeout(g.ctx, _announceTimeout)
	defer cancel()
	addrs, err := g.cfg.Agents.Addresses(ctx)
	if err != nil {
		g.cfg.Log.Warn("agents not read", "epoch", a.Epoch, "err", err)
		return
	}
	total := len(addrs)
	for range _announceTries {
		addrs = g.announceTo(ctx, addrs, a.Epoch)
	}
	g.cfg.Log.Info("lead announced", "epoch", a.Epoch, "agents", total, "unreached", len(addrs), "first", first(addrs))
}

// announceTo sends the announcement to the agents at addrs and returns the addresses of
// those that it did not reach. These find the leader by asking the entries.
func (g *Gateway) announceTo(ctx context.Context, addrs []string, epoch int64) []string {
	lead := berylreport.Lead{Epoch: epoch, Leader: g.cfg.Self.Addr}
	var mu sync.Mutex
	var unreached []string
	var eg errgroup.Group
	eg.SetLimit(_announceParallel)
	for _, addr := range addrs {
		eg.Go(func() error {
			try, cancel := context.WithTimeout(ctx, _announceCallTimeout)
			defer cancel()
			_, err := berylrpc.Call[berylreport.Lead, berylreport.Receipt](try, g.client, addr, berylreport.MethodLead, &lead)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				unreached = append(unreached, addr)
			}
			return nil
		})
	}
	_ = eg.Wait()
	return unreached
}

// first returns the first address, or an empty string.
func first(addrs []string) string {
	if len(addrs) == 0 {
		return ""
	}
	return addrs[0]
}

const (
	_announceTimeout = 2 * time.Second
	// _announceParallel is the maximum number of concurrent announcements. A third of
	// some hundred agents may be unresponsive, and must not delay the others.
	_announceParallel    = 128
	_announceTries       = 2
	_announceCallTimeout = 300 * time.Millisecond
)
