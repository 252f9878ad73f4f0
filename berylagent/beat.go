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

// beatEvery sends heartbeats to one entry until ctx ends.
func (a *Agent) beatEvery(ctx context.Context, entry string) {
	t := time.NewTicker(_beatInterval)
	defer t.Stop()
	for {
		a.beat(ctx, entry)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// beatAll sends one heartbeat to every entry now.
func (a *Agent) beatAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, entry := range a.settings.Entries {
		wg.Go(func() { a.beat(ctx, entry) })
	}
	wg.Wait()
}

// beat sends one heartbeat and takes over what the entry knows better.
func (a *Agent) beat(ctx context.Context, entry string) {
	ctx, cancel := context.WithTimeout(ctx, _beatTimeout)
	defer cancel()
	beat, err := berylcontrol.Ask(ctx, a.loop, func(reply func(*berylmessage.Beat)) message {
		return beatWanted{reply: reply}
	})
	if err != nil {
		return
	}
	sent := a.clock()
	reply, err := berylrpc.Call[berylmessage.Beat, berylmessage.BeatReply](ctx, a.client, entry, berylmessage.MethodBeat, beat)
	a.metrics.beat(err)
	if err != nil {
		return
	}
	a.loop.Tell(beatAnswered{sent: sent, reply: reply})
	own := a.gate.cfg.Load()
	behind := reply.Config == nil && reply.Offset > own.Offset
	if reply.WantConfig || behind {
		a.exchangeConfig(ctx, entry, own, reply.WantConfig)
	}
}

// exchangeConfig fetches an entry's configuration if it is newer, and sends the
// own one if the entry wants it.
func (a *Agent) exchangeConfig(ctx context.Context, entry string, own *berylconfig.Config, wanted bool) {
	req := &berylmessage.ConfigRequest{Offset: own.Offset}
	if wanted {
		req.Config = own
	}
	reply, err := berylrpc.Call[berylmessage.ConfigRequest, berylmessage.ConfigReply](ctx, a.client, entry, berylmessage.MethodConfig, req)
	if err == nil && reply.Config != nil {
		a.loop.Tell(configLearned{config: reply.Config})
	}
}

// serveConfig serves Config.
func (a *Agent) serveConfig(_ context.Context, req *berylmessage.ConfigRequest) (*berylmessage.ConfigReply, error) {
	if req.Config != nil {
		a.loop.Tell(configLearned{config: req.Config})
	}
	reply := &berylmessage.ConfigReply{}
	if own := a.gate.cfg.Load(); own.Offset > req.Offset {
		reply.Config = own
	}
	return reply, nil
}
