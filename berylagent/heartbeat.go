package berylagent

import (
	"context"
	"sync"
	"time"

	"berylglade/berylconfig"
	"berylglade/berylcontrol"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
)

// sendHeartbeats sends periodic heartbeats to one entry until ctx is cancelled.
func (a *Agent) sendHeartbeats(ctx context.Context, entry string) {
	t := time.NewTicker(_heartbeatInterval)
	defer t.Stop()
	for {
		a.sendHeartbeat(ctx, entry)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeatToAll sends one heartbeat to every entry immediately.
func (a *Agent) sendHeartbeatToAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, entry := range a.settings.Entries {
		wg.Go(func() { a.sendHeartbeat(ctx, entry) })
	}
	wg.Wait()
}

// sendHeartbeat sends one heartbeat, applies the reply and exchanges
// configurations if one side has a newer one.
func (a *Agent) sendHeartbeat(ctx context.Context, entry string) {
	ctx, cancel := context.WithTimeout(ctx, _heartbeatTimeout)
	defer cancel()
	heartbeat, err := berylcontrol.Ask(ctx, a.loop, func(reply func(*berylmessage.Heartbeat)) message {
		return heartbeatQuery{reply: reply}
	})
	if err != nil {
		return
	}
	sent := a.clock()
	reply, err := berylrpc.Call[berylmessage.Heartbeat, berylmessage.HeartbeatReply](ctx, a.client, entry, berylmessage.MethodHeartbeat, heartbeat)
	a.metrics.heartbeat(err)
	if err != nil {
		return
	}
	a.loop.Tell(heartbeatAnswered{sent: sent, reply: reply})
	own := a.gate.cfg.Load()
	stale := reply.Config == nil && reply.Offset > own.Offset
	if reply.WantConfig || stale {
		a.exchangeConfig(ctx, entry, own, reply.WantConfig)
	}
}

// exchangeConfig fetches an entry's configuration if it is newer, and sends the
// agent's own if the entry asked for it.
func (a *Agent) exchangeConfig(ctx context.Context, entry string, own *berylconfig.Config, wanted bool) {
	req := &berylmessage.ConfigRequest{Offset: own.Offset}
	if wanted {
		req.Config = own
	}
	reply, err := berylrpc.Call[berylmessage.ConfigRequest, berylmessage.ConfigReply](ctx, a.client, entry, berylmessage.MethodConfig, req)
	if err == nil && reply.Config != nil {
		a.loop.Tell(configReceived{config: reply.Config})
	}
}

// serveConfig handles Config requests.
func (a *Agent) serveConfig(_ context.Context, req *berylmessage.ConfigRequest) (*berylmessage.ConfigReply, error) {
	if req.Config != nil {
		a.loop.Tell(configReceived{config: req.Config})
	}
	reply := &berylmessage.ConfigReply{}
	if own := a.gate.cfg.Load(); own.Offset > req.Offset {
		reply.Config = own
	}
	return reply, nil
}
