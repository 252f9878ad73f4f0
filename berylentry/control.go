package berylentry

import (
	"time"

	"berylglade/berylconfig"
	"berylglade/berylmember"
	"berylglade/berylmessage"
)

// message is what the control actor handles.
type message interface {
	isMessage()
}

// beat is an agent's heartbeat.
type beat struct {
	beat  berylmessage.Beat
	reply func(*berylmessage.BeatReply)
}

// exchange is another process's offer of and request for a configuration.
type exchange struct {
	request berylmessage.ConfigRequest
	reply   func(*berylmessage.ConfigReply)
}

// tick arrives several times a second.
type tick struct{}

func (beat) isMessage()     {}
func (exchange) isMessage() {}
func (tick) isMessage()     {}

// view is what goroutines outside the control actor see. It is replaced, never
// changed.
type view struct {
	config  *berylconfig.Config
	members []berylmember.Member
}

// control is the state owned by the control actor.
type control struct {
	e       *Entry
	members berylmember.Members
	config  *berylconfig.Config
}

func newControl(e *Entry) *control {
	c := &control{e: e, config: (&berylconfig.Config{}).Clone()}
	e.view.Store(&view{config: c.config})
	return c
}

func (c *control) handle(now time.Time, msg message) {
	switch msg := msg.(type) {
	case beat:
		msg.reply(c.onBeat(now, msg.beat))
	case exchange:
		msg.reply(c.onExchange(now, msg.request))
	case tick:
		c.onMembers(now, c.members.Tick(now))
	}
	c.publish(now)
}

func (c *control) onBeat(now time.Time, b berylmessage.Beat) *berylmessage.BeatReply {
	c.onMembers(now, c.members.Beat(now, b))
	reply := &berylmessage.BeatReply{}
	switch {
	case b.Offset < c.config.Offset:
		reply.Config = c.config
	case b.Offset > c.config.Offset:
		reply.Want = true
	}
	return reply
}

func (c *control) onExchange(_ time.Time, r berylmessage.ConfigRequest) *berylmessage.ConfigReply {
	if r.Config != nil && r.Config.Offset > c.config.Offset {
		c.config = r.Config.Clone()
	}
	reply := &berylmessage.ConfigReply{}
	if c.config.Offset > r.Offset {
		reply.Config = c.config
	}
	return reply
}

func (c *control) onMembers(_ time.Time, _ []berylmember.Event) {}

// publish makes the state visible outside the actor.
func (c *control) publish(now time.Time) {
	members := c.members.All()
	c.e.view.Store(&view{config: c.config, members: members})
	c.e.router.Update(members, c.config)
	c.e.admission.Resize(now, c.e.router.Slots())
}
