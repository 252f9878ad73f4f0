package berylentry

import (
	"context"
	"slices"

	"berylglade/berylapi"
	"berylglade/berylconfig"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
)

// Config implements berylapi.Entry.
func (e *Entry) Config() *berylconfig.Config { return e.view.Load().config }

// Drain implements berylapi.Entry. It drains the agent first, so that the other
// entries learn of it from the agent's heartbeats.
func (e *Entry) Drain(ctx context.Context, agent string) error {
	for _, m := range e.view.Load().members {
		if m.Agent != agent {
			continue
		}
		_, err := berylrpc.Call[berylmessage.Drain, berylmessage.DrainReply](
			ctx, e.client, m.Addr, berylmessage.MethodDrain, &berylmessage.Drain{Incarnation: m.Incarnation})
		if err != nil {
			return berylerror.Unavailable.Wrap(err, "drain agent "+agent)
		}
		_, err = berylcontrol.Ask(ctx, e.loop, func(reply func(bool)) message { return drainAgent{agent: agent, reply: reply} })
		return err
	}
	return berylerror.Missing.Errorf("agent %q is unknown", agent)
}

// Agents implements berylapi.Entry.
func (e *Entry) Agents(_ context.Context) ([]berylapi.Agent, error) {
	ejected := e.router.Ejected(e.clock())
	members := e.view.Load().members
	agents := make([]berylapi.Agent, 0, len(members))
	for i := range members {
		m := &members[i]
		agents = append(agents, berylapi.Agent{
			Name:        m.Agent,
			Incarnation: m.Incarnation,
			Addr:        m.Addr,
			Domain:      m.Domain,
			Rack:        m.Rack,
			State:       m.State.String(),
			Draining:    m.Draining,
			Ejected:     slices.Contains(ejected, m.Agent),
			Slots:       m.Slots,
			Busy:        m.Busy,
			Total:       m.Total,
			Gangs:       len(m.Gangs),
			Offset:      m.Offset,
		})
	}
	return agents, nil
}
