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
	// effectCtx ends when the process stops carrying out effects.
	effectCtx context.Context
	host      *berylhost.Host
	parts     map[berylhost.Key]*gangPart
	// tasksKnown is set once the tasks of the worker are known.
	tasksKnown bool
	// workerAnswered is when the worker last workerAnswered.
	workerAnswered time.Time
	usage          berylshape.Shape
	leaving        bool
	// entryAnswered is when an entry last answered a heartbeat.
	entryAnswered time.Time
}

// message is what the control actor handles. The variants are the types of this
// package with an apply method.
type message interface {
	apply(now time.Time, c *control)
}

func newControl(live context.Context, a *Agent) *control {
	return &control{
		agent:      a,
		effectCtx:  live,
		host:       berylhost.New(a.settings.Total),
		parts:      map[berylhost.Key]*gangPart{},
		tasksKnown: a.worker == nil,
	}
}

func (c *control) handle(now time.Time, msg message) { msg.apply(now, c) }

// heartbeatQuery asks for the next heartbeat.
type heartbeatQuery struct {
	reply func(*berylmessage.Beat)
}

func (m heartbeatQuery) apply(now time.Time, c *control) { m.reply(c.heartbeat(now)) }

func (c *control) heartbeat(now time.Time) *berylmessage.Beat {
	a := c.agent
	b := &berylmessage.Beat{
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

// heartbeatAnswered is an entry's reply to a heartbeat that was sent at a time.
type heartbeatAnswered struct {
	sent  time.Time
	reply *berylmessage.BeatReply
}

func (m heartbeatAnswered) apply(now time.Time, c *control) {
	c.entryAnswered = now
	// An entry that is behind reports a lower term, which changes nothing.
	_ = c.host.ObserveTerm(m.reply.Term)
	c.forgetRecorded(m.reply.Forget)
	c.adoptConfig(m.reply.Config)
	c.agent.gate.confirm(now, m.sent, m.reply.Confirmation)
}

// configReceived is a configuration of another process.
type configReceived struct {
	config *berylconfig.Config
}

func (m configReceived) apply(_ time.Time, c *control) { c.adoptConfig(m.config) }

// adoptConfig takes over a configuration if it is newer than the own one.
func (c *control) adoptConfig(cfg *berylconfig.Config) {
	g := c.agent.gate
	own := g.cfg.Load()
	if cfg == nil || cfg.Offset <= own.Offset {
		return
	}
	g.cfg.Store(cfg)
	if was, is := own.Domains[g.domain].Out, cfg.Domains[g.domain].Out; was != is {
		klog.InfoS("failure domain changed", "domain", g.domain, "out", is, "offset", cfg.Offset)
	}
}

// announceLeaving marks the following heartbeats as the last ones.
type announceLeaving struct{}

func (announceLeaving) apply(_ time.Time, c *control) { c.leaving = true }
