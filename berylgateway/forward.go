package berylgateway

import (
	"context"
	"slices"
	"time"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylintake"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
)

// methodServe carries a client's request to a peer.
const methodServe berylmessage.Method = "serve"

// serveForward answers requests that peers pass on.
func (g *Gateway) serveForward(s *berylrpc.Server) {
	berylrpc.Handle(s, methodServe, func(ctx context.Context, r *berylintake.Request) (*berylintake.Reply, error) {
		reply := g.Intake.ServeForwarded(ctx, *r)
		return &reply, nil
	})
}

// forward asks peers one after the other until one does not refuse.
func (g *Gateway) forward(ctx context.Context, r berylintake.Request) (berylintake.Reply, error) {
	var refusal *berylintake.Reply
	var failed error
	for _, addr := range g.forwardTo() {
		try, cancel := context.WithTimeout(ctx, _forwardTimeout)
		reply, err := berylrpc.Call[berylintake.Request, berylintake.Reply](try, g.client, addr, methodServe, &r)
		cancel()
		switch {
		case berylerror.Of(err) == berylerror.NotRun:
			// Nobody listens there.
		case err != nil:
			g.cfg.Log.Warn("request not passed on", "job", r.ID, "verb", r.Verb.String(), "peer", addr, "err", err)
			failed = err
		case reply.Kind == berylerror.NotRun:
			refusal = reply
		default:
			return *reply, nil
		}
	}
	switch {
	case failed != nil:
		return berylintake.Reply{}, berylerror.Unknown.Wrap(failed, "pass on")
	case refusal != nil:
		return *refusal, nil
	default:
		return berylintake.Reply{}, berylerror.NotRun.Errorf("no peer is known")
	}
}

// forwardTo returns the peers to try, the leader first.
func (g *Gateway) forwardTo() []string {
	var list []string
	if c := g.View.Claim(); !c.Resigned && c.Addr != "" {
		list = append(list, c.Addr)
	}
	peers := *g.peers.Load()
	at := int(g.turn.Add(1))
	for i := range peers {
		list = append(list, peers[(at+i)%len(peers)])
	}
	seen := map[string]bool{g.cfg.Self.Addr: true}
	list = slices.DeleteFunc(list, func(addr string) bool {
		was := seen[addr]
		seen[addr] = true
		return was
	})
	return list[:min(len(list), _forwardTries)]
}

// findPeers reads the addresses of all entries now and then.
func (g *Gateway) findPeers(ctx context.Context) {
	for berylclock.Pause(ctx, _peersEvery) {
		try, cancel := context.WithTimeout(ctx, _peersTimeout)
		addrs, err := g.cfg.Entries.Addresses(try)
		cancel()
		if err != nil {
			g.cfg.Log.Warn("peers not read; the known ones stay", "err", err)
			continue
		}
		g.peers.Store(&addrs)
	}
}

const (
	// _forwardTries leaves time for an answer within a client's 3 s.
	_forwardTries   = 3
	_forwardTimeout = 800 * time.Millisecond
	// _peersEvery bounds how long a new entry gets no requests from others.
	_peersEvery   = 5 * time.Second
	_peersTimeout = time.Second
)
