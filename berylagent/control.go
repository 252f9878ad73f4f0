package berylagent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"berylglade/berylconfig"
	"berylglade/berylhost"
	"berylglade/berylmessage"
	"berylglade/berylshape"
)

// control is the state of the control actor.
type control struct {
	agent *Agent
	// effectCtx is cancelled when the process stops carrying out side effects.
	effectCtx context.Context
	host      *berylhost.Host
	parts     map[berylhost.Key]*gangPart
	// tasksKnown is set once the worker's tasks have been listed after the
	// start, or if there is no worker.
	tasksKnown bool
	// workerAnswered is when the worker last answered.
	workerAnswered time.Time
	usage          berylshape.Shape
	leaving        bool
	// entryAnswered is when an entry last replied to a heartbeat.
	entryAnswered time.Time
}

// message is handled by the control actor. Its variants are the types of this
// package with an apply method.
type message interface {
	apply(now time.Time, c *control)
}

func newControl(effectCtx context.Context, a *Agent) *control {
	return &control{
		agent:      a,
		effectCtx:  effectCtx,
		host:       berylhost.New(a.settings.Total),
		parts:      map[berylhost.Key]*gangPart{},
		tasksKnown: a.worker == nil,
	}
}

func (c *control) handle(now time.Time, msg message) { msg.apply(now, c) }

// heartbeatQuery asks for the content of the next heartbeat.
type heartbeatQuery struct {
	reply func(*berylmessage.Heartbeat)
}

func (m heartbeatQuery) apply(now time.Time, c *control) { m.reply(c.heartbeat(now)) }

func (c *control) heartbeat(now time.Time) *berylmessage.Heartbeat {
	a := c.agent
	b := &berylmessage.Heartbeat{
		Agent:       a.settings.Name,
		Incarnation: a.Incarnation,
		Addr:        a.Addr,
		Epoch:       a.calls.epoch(),
		Domain:      a.settings.Domain,
		Rack:        a.settings.Rack,
		Term:        c.host.Term(),
		Draining:    a.gate.draining.Load(),
		Leaving:     c.leaving,
		Slots:       a.settings.Slots,
		Busy:        len(a.calls.slots),
		Offset:      a.gate.cfg.Load().Offset,
	}
	if a.worker != nil && c.checkWorker(now) == nil {
		b.Total = a.settings.Total
		b.Usage = c.usage
	}
	for _, p := range c.parts {
		b.Gangs = append(b.Gangs, p.Report(now))
	}
	return b
}

// heartbeatAnswered is an entry's reply to a heartbeat that was sent at the
// given time.
type heartbeatAnswered struct {
	sent  time.Time
	reply *berylmessage.HeartbeatReply
}

func (m heartbeatAnswered) apply(now time.Time, c *control) {
	c.entryAnswered = now
	// An entry with stale information reports a lower term, which has no
	// effect.
	_ = c.host.ObserveTerm(m.reply.Term)
	c.forgetRecorded(m.reply.Forget)
	c.adoptConfig(m.reply.Config)
	c.agent.gate.confirm(now, m.sent, m.reply.Confirmation)
}

// configReceived is a configuration received from another process.
type configReceived struct {
	config *berylconfig.Config
}

func (m configReceived) apply(_ time.Time, c *control) { c.adoptConfig(m.config) }

// adoptConfig replaces the current configuration if the given one is newer.
func (c *control) adoptConfig(cfg *berylconfig.Config) {
	g := c.agent.gate
	own := g.cfg.Load()
	if cfg == nil || cfg.Offset <= own.Offset {
		return
	}
	g.cfg.Store(cfg)
	if wasOut, isOut := own.Domains[g.domain].Out, cfg.Domains[g.domain].Out; wasOut != isOut {
		klog.InfoS("failure domain changed", "domain", g.domain, "out", isOut, "offset", cfg.Offset)
	}
}

// announceLeaving marks all further heartbeats as those of an agent that
// leaves.
type announceLeaving struct{}

func (announceLeaving) apply(_ time.Time, c *control) { c.leaving = true }
