package berylgateway

import (
	"context"
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
	var eg errgroup.Group
	eg.SetLimit(_announceParallel)
	for _, addr := range addrs {
		eg.Go(func() error {
			g.announceTo(ctx, addr, a.Epoch)
			return nil
		})
	}
	_ = eg.Wait()
	g.cfg.Log.Info("lead announced", "epoch", a.Epoch, "agents", len(addrs))
}

// announceTo sends the announcement and retries it once. An agent that receives
// neither finds the leader by asking the entries.
func (g *Gateway) announceTo(ctx context.Context, addr string, epoch int64) {
	lead := berylreport.Lead{Epoch: epoch, Leader: g.cfg.Self.Addr}
	var err error
	for range _announceTries {
		try, cancel := context.WithTimeout(ctx, _announceCallTimeout)
		_, err = berylrpc.Call[berylreport.Lead, berylreport.Receipt](try, g.client, addr, berylreport.MethodLead, &lead)
		cancel()
		if err == nil {
			return
		}
	}
	g.cfg.Log.Warn("agent not told of the lead", "addr", addr, "epoch", epoch, "err", err)
}

const (
	_announceTimeout = 2 * time.Second
	// _announceParallel is the maximum number of concurrent announcements, so that
	// unresponsive agents don't delay the others.
	_announceParallel    = 32
	_announceTries       = 2
	_announceCallTimeout = 300 * time.Millisecond
)
