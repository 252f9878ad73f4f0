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
	// methodReach asks a peer whether the store answers it.
	methodReach berylmessage.Method = "reach"
	// methodClaim asks a peer to claim the lead.
	methodClaim berylmessage.Method = "claim"
)

// reach is the question; its answer is an error if the store does not answer.
type reach struct{}

// handover names the epoch whose leader has given up.
type handover struct {
	Epoch int64 `cbor:"e"`
}

// done is an empty answer.
type done struct{}

func (g *Gateway) serveProbe(s *berylrpc.Server) {
	berylrpc.Handle(s, methodReach, func(ctx context.Context, _ *reach) (*done, error) {
		return &done{}, g.look(ctx)
	})
	berylrpc.Handle(s, methodClaim, func(_ context.Context, h *handover) (*done, error) {
		g.loop.Tell(yielded{epoch: h.Epoch})
		return &done{}, nil
	})
}

// look asks the store for a page after every key, which is empty.
func (g *Gateway) look(ctx context.Context) error {
	const last = "~"
	ctx, cancel := context.WithTimeout(ctx, _lookTimeout)
	defer cancel()
	if _, err := g.cfg.Store.Newest(ctx, g.cfg.TopicJobs, last); err != nil {
		return berylerror.Unavailable.Wrap(err, "look at the store")
	}
	return nil
}

// probe finds out whether the store answers a peer but not this entry.
func (g *Gateway) probe(p beryldirector.Probe) {
	ctx, cancel := context.WithTimeout(g.ctx, _probeTimeout)
	defer cancel()
	peers := g.forwardTo()
	reached := make(chan string, len(peers))
	for _, addr := range peers {
		go func() {
			if _, err := berylrpc.Call[reach, done](ctx, g.client, addr, methodReach, &reach{}); err == nil {
				reached <- addr
			}
		}()
	}
	err := g.look(ctx)
	if err == nil {
		return
	}
	select {
	case addr := <-reached:
		g.cfg.Log.Warn("store answers a peer but not this entry", "epoch", p.Epoch, "peer", addr, "err", err)
		g.loop.Tell(alone{epoch: p.Epoch, peer: addr})
	case <-ctx.Done():
	}
}

// handOver asks the peer to claim; if the message is lost, another entry claims
// when it has not read anything of the leader for a while.
func (g *Gateway) handOver(a alone) {
	ctx, cancel := context.WithTimeout(g.ctx, _orderTimeout)
	defer cancel()
	_, err := berylrpc.Call[handover, done](ctx, g.client, a.peer, methodClaim, &handover{Epoch: a.epoch})
	g.cfg.Log.Info("lead handed over", "epoch", a.epoch, "peer", a.peer, "err", err)
}

const (
	// _lookTimeout is above the answer time of a slow store, a quarter of a
	// second.
	_lookTimeout  = 450 * time.Millisecond
	_probeTimeout = 600 * time.Millisecond
)
