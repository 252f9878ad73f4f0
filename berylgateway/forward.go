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

// methodServe forwards a client's request to a peer.
const methodServe berylmessage.Method = "serve"

// serveForward registers the method for requests that peers forward.
func (g *Gateway) serveForward(s *berylrpc.Server) {
	berylrpc.Handle(s, methodServe, func(ctx context.Context, r *berylintake.Request) (*berylintake.Reply, error) {
		reply := g.Intake.ServeForwarded(ctx, *r)
		return &reply, nil
	})
}

// forward sends the request to one peer after the other until one does not refuse it.
func (g *Gateway) forward(ctx context.Context, r berylintake.Request) (berylintake.Reply, error) {
	var refusal *berylintake.Reply
	var failed error
	for _, addr := range g.forwardCandidates() {
		try, cancel := context.WithTimeout(ctx, _forwardTimeout)
		reply, err := berylrpc.Call[berylintake.Request, berylintake.Reply](try, g.client, addr, methodServe, &r)
		cancel()
		switch {
		case berylerror.Of(err) == berylerror.NotRun:
			// The request was not executed, as with a refused connection.
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
		return berylintake.Reply{}, berylerror.Unknown.Wrap(failed, "forward to a peer")
	case refusal != nil:
		return *refusal, nil
	default:
		return berylintake.Reply{}, berylerror.NotRun.Errorf("no peer is known")
	}
}

// forwardCandidates returns the addresses of the peers to try, the leader first.
func (g *Gateway) forwardCandidates() []string { return g.peersInTurn(_forwardTries) }

// peersInTurn returns the addresses of at most n peers: the leader, and others in turn.
func (g *Gateway) peersInTurn(n int) []string {
	var list []string
	if c := g.View.Claim(); !c.Resigned && c.Addr != "" {
		list = append(list, c.Addr)
	}
	peers := *g.peers.Load()
	at := int(g.nextPeer.Add(1))
	for i := range peers {
		list = append(list, peers[(at+i)%len(peers)])
	}
	seen := map[string]bool{g.cfg.Self.Addr: true}
	list = slices.DeleteFunc(list, func(addr string) bool {
		was := seen[addr]
		seen[addr] = true
		return was
	})
	return list[:min(len(list), n)]
}

// refreshPeers periodically reads the addresses of all entries.
func (g *Gateway) refreshPeers(ctx context.Context) {
	for berylclock.Pause(ctx, _peersInterval) {
		try, cancel := context.WithTimeout(ctx, _peersTimeout)
		addrs, err := g.cfg.Entries.Addresses(try)
		cancel()
		if err != nil {
			g.cfg.Log.Warn("peers not read; keeping the known ones", "err", err)
			continue
		}
		g.peers.Store(&addrs)
	}
}

const (
	// _forwardTries limits the peers that are tried, so that an answer arrives within
	// the client timeout of 3 s.
	_forwardTries   = 3
	_forwardTimeout = 800 * time.Millisecond
	// _peersInterval bounds the time until a new entry is used as a peer.
	_peersInterval = 5 * time.Second
	_peersTimeout  = time.Second
)
