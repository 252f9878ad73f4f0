package berylgateway

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"berylglade/beryldirector"
	"berylglade/berylreport"
	"berylglade/berylrpc"
)

// announce tells all agents that this entry leads. Without it each would find out
// by itself that the last leader does not answer, which takes a second or two in
// which their backend servers get no work.
func (g *Gateway) announce(a beryldirector.Announce) {
	ctx, cancel := context.WithTimeout(g.ctx, _announceTimeout)
	defer cancel()
	addrs, err := g.cfg.Agents.Addresses(ctx)
	if err != nil {
		g.cfg.Log.Warn("agents not read", "epoch", a.Epoch, "err", err)
		return
	}
	var eg errgroup.Group
	eg.SetLimit(_announceWidth)
	for _, addr := range addrs {
		eg.Go(func() error {
			g.tell(ctx, addr, a.Epoch)
			return nil
		})
	}
	_ = eg.Wait()
	g.cfg.Log.Info("lead announced", "epoch", a.Epoch, "agents", len(addrs))
}

// tell repeats the message once; an agent that gets neither asks the entries.
func (g *Gateway) tell(ctx context.Context, addr string, epoch int64) {
	lead := berylreport.Lead{Epoch: epoch, Leader: g.cfg.Self.Addr}
	var err error
	for range _announceTries {
		try, cancel := context.WithTimeout(ctx, _tellTimeout)
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
	// _announceWidth is the number of agents that are told at the same time. An
	// agent that does not answer must not hold up the others.
	_announceWidth = 32
	_announceTries = 2
	_tellTimeout   = 300 * time.Millisecond
)
