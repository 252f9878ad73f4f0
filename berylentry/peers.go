package berylentry

import (
	"context"
	"sync"
	"time"

	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
)

// Intervals and timeouts of the queries among entries.
const (
	// _peerQueryInterval is the time between two rounds of queries while the
	// log can be read. It bounds how long an entry can lag behind the others.
	_peerQueryInterval = 2 * time.Second
	// _outageQueryInterval is the time between two rounds while this entry
	// cannot read the log. The rounds then confirm the configuration, which
	// must happen at least every 3 s.
	_outageQueryInterval = 500 * time.Millisecond
	_peerQueryTimeout    = time.Second
)

// peers returns the RPC server for other berylglade processes.
func (e *Entry) peers() *berylrpc.Server {
	s := &berylrpc.Server{}
	berylrpc.Handle(s, berylmessage.MethodHeartbeat, e.onHeartbeat)
	berylrpc.Handle(s, berylmessage.MethodConfig, e.onConfig)
	berylrpc.Handle(s, berylmessage.MethodPeerStatus, e.onPeerStatus)
	berylrpc.Handle(s, berylmessage.MethodKey, e.onKey)
	return s
}

func (e *Entry) onHeartbeat(ctx context.Context, req *berylmessage.Heartbeat) (*berylmessage.HeartbeatReply, error) {
	if req.Agent == "" || req.Incarnation == "" || req.Addr == "" {
		return nil, berylerror.Invalid.Errorf("heartbeat without agent, incarnation or address")
	}
	return berylcontrol.Ask(ctx, e.loop, func(reply func(*berylmessage.HeartbeatReply)) message {
		return heartbeat{heartbeat: *req, reply: reply}
	})
}

func (e *Entry) onConfig(ctx context.Context, req *berylmessage.ConfigRequest) (*berylmessage.ConfigReply, error) {
	return berylcontrol.Ask(ctx, e.loop, func(reply func(*berylmessage.ConfigReply)) message {
		return configExchange{request: *req, reply: reply}
	})
}

func (e *Entry) onPeerStatus(ctx context.Context, _ *berylmessage.PeerStatus) (*berylmessage.PeerStatusReply, error) {
	reply, err := berylcontrol.Ask(ctx, e.loop, func(reply func(berylmessage.PeerStatusReply)) message {
		return peerQuery{reply: reply}
	})
	return &reply, err
}

// runPeerQuery queries the view of the log of every other entry.
func (e *Entry) runPeerQuery(ctx context.Context, ownOffset int64) {
	round := peerReplies{sentAt: e.clock(), replies: map[string]berylmessage.PeerStatusReply{}}
	ctx, cancel := context.WithTimeout(ctx, _peerQueryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, addr := range e.settings.Entries {
		wg.Go(func() {
			reply, err := berylrpc.Call[berylmessage.PeerStatus, berylmessage.PeerStatusReply](
				ctx, e.client, addr, berylmessage.MethodPeerStatus, &berylmessage.PeerStatus{From: e.settings.Name})
			if err != nil {
				return
			}
			if reply.Offset > ownOffset {
				e.adoptPeerConfig(ctx, addr)
			}
			mu.Lock()
			defer mu.Unlock()
			round.replies[addr] = *reply
		})
	}
	wg.Wait()
	e.loop.Tell(round)
}

// adoptPeerConfig fetches a peer's configuration and adopts it if it is newer.
func (e *Entry) adoptPeerConfig(ctx context.Context, addr string) {
	reply, err := e.fetchConfig(ctx, addr)
	if err == nil && reply.Config != nil {
		_, _ = berylcontrol.Ask(ctx, e.loop, func(done func(struct{})) message {
			return adoptConfig{config: reply.Config, reply: func() { done(struct{}{}) }}
		})
	}
}

func (e *Entry) fetchConfig(ctx context.Context, addr string) (*berylmessage.ConfigReply, error) {
	req := &berylmessage.ConfigRequest{Offset: e.view.Load().config.Offset}
	return berylrpc.Call[berylmessage.ConfigRequest, berylmessage.ConfigReply](ctx, e.client, addr, berylmessage.MethodConfig, req)
}
