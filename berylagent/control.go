package berylagent

import (
	"time"

	"k8s.io/klog/v2"

	"berylglade/berylconfig"
	"berylglade/berylmessage"
)

// control is the state of the control actor.
type control struct {
	agent   *Agent
	term    int64
	leaving bool
}

// message is what the control actor handles. The variants are the types of this
// package with an apply method.
type message interface {
	apply(now time.Time, c *control)
}

func newControl(a *Agent) *control {
	return &control{agent: a}
}

func (c *control) handle(now time.Time, msg message) { msg.apply(now, c) }

// beatWanted asks for the next heartbeat.
type beatWanted struct {
	reply func(*berylmessage.Beat)
}

func (m beatWanted) apply(_ time.Time, c *control) { m.reply(c.beat()) }

func (c *control) beat() *berylmessage.Beat {
	a := c.agent
	return &berylmessage.Beat{
		Agent:       a.settings.Name,
		Incarnation: a.Incarnation,
		Addr:        a.Addr,
		Epoch:       a.calls.epoch(),
		Domain:      a.settings.Domain,
		Rack:        a.settings.Rack,
		Term:        c.term,
		Draining:    a.gate.draining.Load(),
		Leaving:     c.leaving,
		Slots:       a.settings.Slots,
		Busy:        len(a.calls.slots),
		Total:       a.settings.Total,
		Offset:      a.gate.cfg.Load().Offset,
	}
}

// beatAnswered is an entry's reply to a heartbeat that was sent at a time.
type beatAnswered struct {
	sent  time.Time
	reply *berylmessage.BeatReply
}

func (m beatAnswered) apply(now time.Time, c *control) {
	c.term = max(c.term, m.reply.Term)
	c.adopt(m.reply.Config)
	c.agent.gate.confirm(now, m.sent, m.reply.Confirmation)
}

// configLearned is a configuration of another process.
type configLearned struct {
	config *berylconfig.Config
}

func (m configLearned) apply(_ time.Time, c *control) { c.adopt(m.config) }

// adopt takes over a configuration if it is newer than the own one.
func (c *control) adopt(cfg *berylconfig.Config) {
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

// drainSet starts or ends draining.
type drainSet struct {
	on bool
}

func (m drainSet) apply(_ time.Time, c *control) { c.agent.gate.draining.Store(m.on) }

// leave marks the following heartbeats as the last ones.
type leave struct{}

func (leave) apply(_ time.Time, c *control) { c.leaving = true }
