package berylgateway

import (
	"context"
	"time"

	"berylglade/berylcontrol"
	"berylglade/beryldirector"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
)

const (
	// methodStoreCheck asks a peer whether it can reach the store.
	methodStoreCheck berylmessage.Method = "reach"
	// methodLeads asks a peer under which epoch it leads.
	methodLeads berylmessage.Method = "leads"
	// methodClaim asks a peer to claim leadership.
	methodClaim berylmessage.Method = "claim"
)

// storeCheck is the empty request of methodStoreCheck. The call fails if the peer
// can't reach the store.
type storeCheck struct{}

// storeAnswer is the answer of a peer that reaches the store.
type storeAnswer struct {
	// Cores is the number of CPU cores of its VM; zero if unknown.
	Cores float64 `cbor:"c,omitempty"`
}

// handover holds the epoch in which the leader has resigned.
type handover struct {
	Epoch int64 `cbor:"e"`
}

// leadQuestion is the empty request of methodLeads.
type leadQuestion struct{}

// leadAnswer has the epoch under which the answering entry leads, or zero.
type leadAnswer struct {
	Epoch int64 `cbor:"e"`
}

// empty is a reply without fields.
type empty struct{}

// servePeerChecks registers the methods for store checks and handovers between
// entries.
func (g *Gateway) servePeerChecks(s *berylrpc.Server) {
	berylrpc.Handle(s, methodStoreCheck, func(ctx context.Context, _ *storeCheck) (*storeAnswer, error) {
		return &storeAnswer{Cores: g.cfg.Self.Cores}, g.checkStore(ctx)
	})
	berylrpc.Handle(s, methodLeads, func(ctx context.Context, _ *leadQuestion) (*leadAnswer, error) {
		epoch, err := berylcontrol.Ask(ctx, g.loop, func(reply func(int64)) message { return leadAsked{reply: reply} })
		return &leadAnswer{Epoch: epoch}, err
	})
	berylrpc.Handle(s, methodClaim, func(_ context.Context, h *handover) (*empty, error) {
		g.loop.Tell(leadReleased{epoch: h.Epoch})
		return &empty{}, nil
	})
}

// checkLeader asks the leader whether it still leads.
func (g *Gateway) checkLeader(c beryldirector.CheckLeader) {
	ctx, cancel := context.WithTimeout(g.ctx, _leaderCheckTimeout)
	defer cancel()
	a, err := berylrpc.Call[leadQuestion, leadAnswer](ctx, g.client, c.Addr, methodLeads, &leadQuestion{})
	if err == nil && a.Epoch == c.Epoch {
		return
	}
	g.cfg.Log.Info("silent leader does not answer", "epoch", c.Epoch, "leader", c.Addr, "err", err)
	g.loop.Tell(leaderUnreachable{epoch: c.Epoch})
}

// checkStore checks that the store answers. It requests the page after the highest
// possible key, which is empty.
func (g *Gateway) checkStore(ctx context.Context) error {
	const last = "~"
	ctx, cancel := context.WithTimeout(ctx, _storeCheckTimeout)
	defer cancel()
	if _, err := g.cfg.Store.Newest(ctx, g.cfg.TopicJobs, last); err != nil {
		return berylerror.Unavailable.Wrap(err, "check the store")
	}
	return nil
}

// successor is a peer that may lead in place of this entry.
type successor struct {
	addr string
	storeAnswer
}

// probe checks whether the store answers a peer but not this entry.
func (g *Gateway) probe(p beryldirector.Probe) {
	ctx, cancel := context.WithTimeout(g.ctx, _probeTimeout)
	defer cancel()
	peers := g.peersInTurn(_probedPeers)
	reached := make(chan successor, len(peers))
	for _, addr := range peers {
		go func() {
			if a, err := berylrpc.Call[storeCheck, storeAnswer](ctx, g.client, addr, methodStoreCheck, &storeCheck{}); err == nil {
				reached <- successor{addr: addr, storeAnswer: *a}
			}
		}()
	}
	err := g.checkStore(ctx)
	if err == nil {
		return
	}
	if s, ok := largest(ctx, reached); ok {
		g.cfg.Log.Warn("store answers a peer but not this entry", "epoch", p.Epoch, "peer", s.addr, "cores", s.Cores, "err", err)
		g.loop.Tell(storeUnreachable{epoch: p.Epoch, peer: s.addr})
	}
}

// largest returns the peer with the most cores, as the leader handles the reports of all
// agents. It waits for the first answer, and for others that follow soon.
func largest(ctx context.Context, reached <-chan successor) (successor, bool) {
	var best successor
	for {
		select {
		case s := <-reached:
			if best.addr == "" {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, _probeGrace)
				defer cancel()
			}
			if best.addr == "" || s.Cores > best.Cores {
				best = s
			}
		case <-ctx.Done():
			return best, best.addr != ""
		}
	}
}

// handOver asks the peer to claim leadership. If the message is lost, another entry
// claims it after the takeover timeout.
func (g *Gateway) handOver(a storeUnreachable) {
	ctx, cancel := context.WithTimeout(g.ctx, _orderTimeout)
	defer cancel()
	_, err := berylrpc.Call[handover, empty](ctx, g.client, a.peer, methodClaim, &handover{Epoch: a.epoch})
	g.cfg.Log.Info("lead handed over", "epoch", a.epoch, "peer", a.peer, "err", err)
}

const (
	// _storeCheckTimeout is above the response time of a slow store, 250 ms.
	_storeCheckTimeout = 450 * time.Millisecond
	_probeTimeout      = 600 * time.Millisecond
	// _leaderCheckTimeout exceeds the time for which a busy leader's control actor is
	// occupied.
	_leaderCheckTimeout = 250 * time.Millisecond
	// _probeGrace is how long answers of larger peers are awaited after the first one.
	_probeGrace = 50 * time.Millisecond
	// _probedPeers is the number of peers that are asked. If a quarter of the entries
	// are large, one of them is among these in 97 of 100 cases.
	_probedPeers = 12
)
