package berylgateway

import (
	"context"
	"time"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylpolicy"
	"berylglade/berylrpc"
)

// methodPolicy asks a peer for its desired state.
const methodPolicy berylmessage.Method = "policy"

// policyRequest has the version that the asking entry knows; zero if it knows none.
type policyRequest struct {
	Version int64 `cbor:"v"`
}

// policyReply is the desired state of a peer.
type policyReply struct {
	Version int64 `cbor:"v"`
	// Age is the time since the peer's state was confirmed.
	Age time.Duration `cbor:"a"`
	// Policy is nil if the asking entry knows this version.
	Policy *berylpolicy.Policy `cbor:"p,omitempty"`
}

func (g *Gateway) servePolicy(s *berylrpc.Server) {
	berylrpc.Handle(s, methodPolicy, func(_ context.Context, r *policyRequest) (*policyReply, error) {
		p, confirmed := g.View.Policy()
		if p == nil {
			return nil, berylerror.NotRun.Errorf("this entry has not read the desired state yet")
		}
		reply := &policyReply{Version: p.Version, Age: berylclock.Age(g.cfg.Clock(), confirmed)}
		if p.Version != r.Version {
			reply.Policy = p
		}
		return reply, nil
	})
}

// refreshPolicyFromPeers keeps the desired state of this entry current while the
// store answers peers but not this entry. API keys can't be checked with an old one.
func (g *Gateway) refreshPolicyFromPeers(ctx context.Context) {
	for berylclock.Pause(ctx, _peerPolicyInterval) {
		_, confirmed := g.View.Policy()
		if berylclock.Age(g.cfg.Clock(), confirmed) <= _maxOwnPolicyAge {
			continue
		}
		for _, addr := range g.forwardCandidates() {
			if g.adoptPolicyOf(ctx, addr) {
				break
			}
		}
	}
}

// adoptPolicyOf replaces or confirms the desired state with that of a peer. It
// returns false if the peer has none that is more current.
func (g *Gateway) adoptPolicyOf(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, _peerPolicyTimeout)
	defer cancel()
	known, confirmed := g.View.Policy()
	var request policyRequest
	if known != nil {
		request.Version = known.Version
	}
	sent := g.cfg.Clock()
	reply, err := berylrpc.Call[policyRequest, policyReply](ctx, g.client, addr, methodPolicy, &request)
	if err != nil {
		g.cfg.Log.Warn("desired state not read from a peer", "peer", addr, "err", err)
		return false
	}
	// The age is added to the time of the call, not of the reply, so that the state
	// is not taken for fresher than it is.
	asOf := sent.Add(-reply.Age)
	if reply.Version < request.Version || !asOf.After(confirmed.Add(_minPolicyGain)) {
		return false
	}
	g.View.SetPolicy(reply.Policy, asOf)
	g.cfg.Log.Info("desired state from a peer", "peer", addr, "version", reply.Version, "before", request.Version,
		"age", reply.Age.Milliseconds())
	return true
}

const (
	// _maxOwnPolicyAge is the age of the desired state from which peers are asked.
	// The store's answers confirm it every 0.8 s.
	_maxOwnPolicyAge    = 1500 * time.Millisecond
	_peerPolicyInterval = 250 * time.Millisecond
	_peerPolicyTimeout  = 300 * time.Millisecond
	// _minPolicyGain is how much more current the state of a peer must be. In an
	// outage for all entries, that of some peer is always a little newer.
	_minPolicyGain = 250 * time.Millisecond
)
