package berylgateway

import (
	"context"
	"time"

	"berylglade/berylclock"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylreport"
	"berylglade/berylrpc"
)

// methodRelay passes the leader's orders on to an agent that the leader can't reach.
const methodRelay berylmessage.Method = "relay"

// relayedOrders are orders for the agent at Addr.
type relayedOrders struct {
	Addr   string             `cbor:"a"`
	Orders berylreport.Orders `cbor:"o"`
}

// serveReports registers the methods for reports of agents, and for the messages
// between the leader and agents that can't reach each other.
func (g *Gateway) serveReports(s *berylrpc.Server) {
	berylrpc.Handle(s, berylreport.MethodReport, func(ctx context.Context, r *berylreport.Report) (*berylreport.Answer, error) {
		received := g.cfg.Clock()
		a, err := berylcontrol.Ask(ctx, g.loop, func(reply func(berylreport.Answer)) message {
			return reportReceived{report: *r, reply: reply}
		})
		if err == nil && r.Relay && !a.FromLeader {
			a = g.relayReport(ctx, received, *r, a)
		}
		return &a, err
	})
	berylrpc.Handle(s, methodRelay, func(ctx context.Context, r *relayedOrders) (*berylreport.Receipt, error) {
		return g.relayOrders(ctx, g.cfg.Clock(), r)
	})
}

// relayReport passes a report on to the leader that the answer of this entry names. It
// returns that answer if the leader can't be reached either.
func (g *Gateway) relayReport(ctx context.Context, received time.Time, r berylreport.Report, own berylreport.Answer) berylreport.Answer {
	now := g.cfg.Clock()
	if own.Leader == "" || own.Leader == g.cfg.Self.Addr || now.UnixMilli() < g.leaderRetryAt.Load() {
		return own
	}
	if berylclock.Age(now, received) > _relayTimeout {
		// This process was suspended meanwhile.
		return own
	}
	r.Relay = false
	r.Via = g.cfg.Self.Addr
	ctx, cancel := context.WithTimeout(ctx, _relayTimeout)
	defer cancel()
	a, err := berylrpc.Call[berylreport.Report, berylreport.Answer](ctx, g.client, own.Leader, berylreport.MethodReport, &r)
	if err != nil {
		g.leaderRetryAt.Store(now.Add(_leaderRetryDelay).UnixMilli())
		g.cfg.Log.Warn("report not relayed", "node", r.Node, "leader", own.Leader, "epoch", own.Epoch, "err", err)
		return own
	}
	return *a
}

// relayOrders passes the leader's orders on to an agent. An agent refuses those of a
// deposed leader by their epoch.
func (g *Gateway) relayOrders(ctx context.Context, received time.Time, r *relayedOrders) (*berylreport.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, _relayTimeout)
	defer cancel()
	if berylclock.Age(g.cfg.Clock(), received) > _relayTimeout {
		return nil, berylerror.NotRun.Errorf("orders are too old to be relayed")
	}
	return berylrpc.Call[berylreport.Orders, berylreport.Receipt](ctx, g.client, r.Addr, berylreport.MethodOrders, &r.Orders)
}

// deliverOrders sends orders to the agent at addr, through the relay via unless it is
// empty.
func (g *Gateway) deliverOrders(ctx context.Context, addr, via string, o berylreport.Orders) (*berylreport.Receipt, error) {
	if via == "" {
		return berylrpc.Call[berylreport.Orders, berylreport.Receipt](ctx, g.client, addr, berylreport.MethodOrders, &o)
	}
	return berylrpc.Call[relayedOrders, berylreport.Receipt](ctx, g.client, via, methodRelay, &relayedOrders{Addr: addr, Orders: o})
}

// _relayTimeout is below the timeout of a report and of orders, so that the outcome
// reaches their sender.
const _relayTimeout = 500 * time.Millisecond
