package berylentry

import (
	"time"

	"berylglade/berylleader"
	"berylglade/berylrecord"
)

func (c *control) dump(now time.Time) State {
	s := State{
		Name:    c.e.settings.Name,
		Offset:  c.merge.Config().Offset,
		Term:    c.catalog.Number,
		Leader:  c.catalog.Addr,
		Leading: c.election.term != 0,
		Streams: map[string]StreamState{},
		Outage:  c.outage.unanimous,
		Jobs:    map[string]int{},
		Keys:    c.intents.Len(),
	}
	if l, ok := c.e.leader.(*berylleader.Leader); ok && s.Leading {
		state := l.State()
		s.Control = &state
	}
	if err := c.freshness.Check(now); err != nil {
		s.Starts = err.Error()
	}
	for name, r := range c.readers {
		tail := c.e.streams[name].tail
		s.Streams[name] = StreamState{
			Upto:      r.upto,
			CaughtUp:  r.caughtUp,
			Age:       now.Sub(r.lastReadSent).Milliseconds(),
			Failing:   r.failing(now),
			Malformed: tail.Malformed.Load(),
			Repeated:  tail.Repeated.Load(),
		}
	}
	for _, state := range c.catalog.All() {
		s.Jobs[state.Phase.String()]++
	}
	return s
}

// publishView makes the state visible outside the actor.
func (c *control) publishView(now time.Time) {
	v := &view{
		config:  c.merge.Config(),
		members: c.members.All(),
		failing: map[string]bool{},
		upto:    map[string]int64{},
		settled: now.Sub(c.started) >= _settleTime,
	}
	if r := c.readers[berylrecord.StreamConfig]; r != nil {
		v.configRead = r.caughtUp
	}
	for name, r := range c.readers {
		v.failing[name] = r.failing(now)
		v.upto[name] = r.upto
	}
	c.e.view.Store(v)
	c.e.router.Update(v.members, v.config)
	c.e.admission.Resize(now, c.e.router.Slots())
}
