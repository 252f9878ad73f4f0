package berylgateway

import (
	"context"
	"time"

	"berylglade/beryldirector"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
)

const (
	// methodStoreCheck asks a peer whether it can reach the store.
	methodStoreCheck berylmessage.Method = "reach"
	// methodClaim asks a peer to claim leadership.
	methodClaim berylmessage.Method = "claim"
)

// storeCheck is the empty request of methodStoreCheck. The call fails if the peer
// can't reach the store.
type storeCheck struct{}

// handover holds the epoch in which the leader has resigned.
type handover struct {
	Epoch int64 `cbor:"e"`
}

// empty is a reply without fields.
type empty struct{}

// servePeerChecks registers the methods for store checks and handovers between
// entries.
func (g *Gateway) servePeerChecks(s *berylrpc.Server) {
	berylrpc.Handle(s, methodStoreCheck, func(ctx context.Context, _ *storeCheck) (*empty, error) {
		return &empty{}, g.checkStore(ctx)
	})
	berylrpc.Handle(s, methodClaim, func(_ context.Context, h *handover) (*empty, error) {
		g.loop.Tell(leadReleased{epoch: h.Epoch})
		return &empty{}, nil
	})
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

// probe checks whether the store answers a peer but not this entry.
func (g *Gateway) probe(p beryldirector.Probe) {
	ctx, cancel := context.WithTimeout(g.ctx, _probeTimeout)
	defer cancel()
	peers := g.forwardCandidates()
	reached := make(chan string, len(peers))
	for _, addr := range peers {
		go func() {
			if _, err := berylrpc.Call[storeCheck, empty](ctx, g.client, addr, methodStoreCheck, &storeCheck{}); err == nil {
				reached <- addr
			}
		}()
	}
	err := g.checkStore(ctx)
	if err == nil {
		return
	}
	select {
	case addr := <-reached:
		g.cfg.Log.Warn("store answers a peer but not this entry", "epoch", p.Epoch, "peer", addr, "err", err)
		g.loop.Tell(storeUnreachable{epoch: p.Epoch, peer: addr})
	case <-ctx.Done():
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
)
