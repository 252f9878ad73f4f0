package berylentry

import (
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"berylglade/berylcatalog"
	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/berylfreshness"
	"berylglade/berylintent"
	"berylglade/beryljob"
	"berylglade/berylleader"
	"berylglade/berylmember"
	"berylglade/berylmerge"
	"berylglade/berylmessage"
	"berylglade/berylrecord"
	"berylglade/beryltail"
)

// _settleTime is how long a new entry waits for heartbeats before it draws
// conclusions from the agents that it does not know: two heartbeat periods and
// one for the start.
const _settleTime = 3 * time.Second

// view is what goroutines outside the control actor see. It is replaced, never
// changed.
type view struct {
	config  *berylconfig.Config
	members []berylmember.Member
	// failing has the streams that are out of reach, upto the last offset that
	// was read of each stream.
	failing map[string]bool
	upto    map[string]int64
	// settled is false in the first seconds, when few agents are known.
	settled bool
	// configRead is set once stream config was read to its end.
	configRead bool
}

// control is the state owned by the control actor.
type control struct {
	e         *Entry
	started   time.Time
	members   berylmember.Members
	merge     berylmerge.Merge
	catalog   berylcatalog.Catalog
	intents   berylintent.Index
	freshness berylfreshness.Freshness
	readers   map[string]*reader
	watchers  map[string]watchChange
	election  election
	outage    outage
	// changed is set when the view has to be replaced.
	changed bool
	// confirmed is set once this process has read the end of stream config.
	confirmed bool
}

func newControl(e *Entry, now time.Time) *control {
	c := &control{
		e:        e,
		started:  now,
		readers:  map[string]*reader{},
		watchers: map[string]watchChange{},
		election: election{appending: map[string]int{}, repeating: map[string]bool{}},
	}
	for name := range e.streams {
		c.readers[name] = &reader{}
	}
	c.publish(now)
	return c
}

func (c *control) handle(now time.Time, msg message) {
	switch msg := msg.(type) {
	case beat:
		msg.reply(c.onBeat(now, msg.beat))
	case exchange:
		msg.reply(c.onExchange(now, msg.request))
	case adopt:
		c.adopt(now, msg.config)
		msg.reply()
	case peek:
		msg.reply(c.onPeek(now))
	case peeked:
		c.onPeeked(now, msg)
	case tick:
		c.onTick(now)
	case tailed:
		c.onTailed(now, msg)
	case drain:
		c.onDrain(now, msg)
	case leaderEvent:
		c.lead(now, msg.event)
	case settled:
		c.onSettled(msg.job)
	case repeated:
		c.onRepeated(now)
	case claimed:
		c.election.busy = false
	case stopped:
		msg.reply(c.onStopped())
	default:
		c.answer(now, msg)
	}
	if c.changed {
		c.changed = false
		c.publish(now)
	}
}

// answer handles the messages that only ask.
func (c *control) answer(now time.Time, msg message) {
	switch msg := msg.(type) {
	case awaitOffset:
		r := c.readers[msg.stream]
		r.waiters = append(r.waiters, msg)
		r.release()
	case watchChange:
		c.watchers[msg.id] = msg
	case lookUp:
		r := c.readers[berylrecord.StreamCalls]
		found, ok := c.intents.Find(msg.account, msg.key)
		msg.reply(intentFound{Found: found, ok: ok, caughtUp: r.caughtUp})
	case makeIntent:
		msg.reply(c.intent(msg))
	case findJob:
		r := c.readers[berylrecord.StreamControl]
		state, ok := c.catalog.Find(msg.id)
		msg.reply(jobFound{state: state, ok: ok, upto: r.upto, fresh: c.catalog.Fresh(now)})
	case listJobs:
		msg.reply(c.jobsOf(msg.account))
	case dumpState:
		msg.reply(c.dump(now))
	}
}

func (c *control) onTick(now time.Time) {
	c.onMembers(now, c.members.Tick(now))
	for _, r := range c.readers {
		r.release()
	}
	for id, w := range c.watchers {
		if ended(w.done) {
			delete(c.watchers, id)
		}
	}
	c.peekPeers(now)
	c.elect(now)
	c.lead(now, berylleader.Tick{})
	c.changed = true
}

func (c *control) onBeat(now time.Time, b berylmessage.Beat) *berylmessage.BeatReply {
	c.e.metrics.beats.Inc()
	events := c.members.Beat(now, b)
	c.onMembers(now, events)
	c.lead(now, berylleader.BeatSeen{Beat: b})
	// Load reports reach the view with the next tick: a copy of all members for
	// each heartbeat costs time that grows with the square of their number.
	c.changed = c.changed || len(events) > 0
	cfg := c.merge.Config()
	reply := &berylmessage.BeatReply{
		Confirmation: c.freshness.Confirmation(now),
		Term:         c.catalog.Number,
		Leader:       c.catalog.Addr,
		WantConfig:   b.Offset > cfg.Offset,
		Forget:       c.forgettable(now, b.Gangs),
	}
	if b.Offset < cfg.Offset {
		reply.Config = cfg
	}
	return reply
}

// forgettable returns the ended gangs of a heartbeat that the log has recorded:
// the job has ended, or its state is that of a later step.
func (c *control) forgettable(now time.Time, gangs []berylmessage.GangReport) []string {
	var forget []string
	for _, g := range gangs {
		if g.Phase != berylmessage.GangDone && g.Phase != berylmessage.GangFailed {
			continue
		}
		state, ok := c.catalog.Find(g.Job)
		recorded := ok && (state.Phase.Ended() || state.Attempt > g.Attempt ||
			state.Phase == beryljob.Queued && state.Attempt == g.Attempt)
		// The leader knows all jobs that have not ended, as their states are
		// repeated in the log.
		unknown := !ok && c.election.term != 0 && now.Sub(c.election.since) >= _settleTime
		if recorded || unknown {
			forget = append(forget, g.Job+"/"+strconv.Itoa(g.Attempt))
		}
	}
	return forget
}

func (c *control) onExchange(now time.Time, r berylmessage.ConfigRequest) *berylmessage.ConfigReply {
	if r.Config != nil {
		c.adopt(now, r.Config)
	}
	reply := &berylmessage.ConfigReply{}
	if cfg := c.merge.Config(); cfg.Offset > r.Offset {
		reply.Config = cfg
	}
	return reply
}

// adopt takes over a newer configuration of another process.
func (c *control) adopt(now time.Time, cfg *berylconfig.Config) {
	if c.merge.Adopt(cfg) {
		c.onConfig(now)
	}
}

func (c *control) onConfig(now time.Time) {
	c.changed = true
	c.lead(now, berylleader.ConfigChanged{Config: c.merge.Config()})
}

func (c *control) onMembers(now time.Time, events []berylmember.Event) {
	for _, ev := range events {
		switch ev := ev.(type) {
		case berylmember.Joined:
			klog.InfoS("agent joined", "agent", ev.Member.Agent, "incarnation", ev.Member.Incarnation)
		case berylmember.Changed:
			klog.InfoS("agent changed", "agent", ev.Member.Agent, "state", ev.Member.State, "draining", ev.Member.Draining)
		case berylmember.Lost:
			klog.InfoS("agent lost", "agent", ev.Agent, "incarnation", ev.Incarnation, "reason", ev.Reason)
			c.lead(now, berylleader.AgentLost{Agent: ev.Agent, Incarnation: ev.Incarnation})
		}
	}
	c.changed = c.changed || len(events) > 0
}

func (c *control) onDrain(now time.Time, msg drain) {
	events, ok := c.members.Drain(msg.agent)
	c.onMembers(now, events)
	msg.reply(ok)
}

// onTailed applies what was read of the log.
func (c *control) onTailed(now time.Time, msg tailed) {
	r := c.readers[msg.stream]
	c.changed = true
	switch ev := msg.event.(type) {
	case beryltail.Failed:
		c.e.metrics.reads.WithLabelValues(msg.stream, "failed").Inc()
		if msg.stream == berylrecord.StreamControl {
			c.catalog.Missed()
		}
		if r.failed.IsZero() {
			r.failed = ev.Began
			klog.InfoS("log read failed", "stream", msg.stream, "err", ev.Err)
		}
	case beryltail.Read:
		c.e.metrics.reads.WithLabelValues(msg.stream, "ok").Inc()
		if !r.failed.IsZero() {
			klog.InfoS("log read again", "stream", msg.stream, "after", now.Sub(r.failed))
		}
		c.onRead(now, msg.stream, ev)
		r.failed = time.Time{}
		r.success = true
		r.began = ev.Began
		r.upto = ev.Upto
		r.caughtUp = r.caughtUp || ev.CaughtUp()
		r.release()
	}
}

func (c *control) onRead(now time.Time, name string, ev beryltail.Read) {
	switch name {
	case berylrecord.StreamConfig:
		c.onConfigRead(now, ev)
	case berylrecord.StreamControl:
		c.onControlRead(now, ev)
	case berylrecord.StreamCalls:
		c.intents.Gap(ev.First)
		for _, rec := range ev.Records {
			c.intents.Apply(rec.Offset, rec.Record)
		}
		c.intents.Confirm(ev.Upto)
	}
}

func (c *control) onConfigRead(now time.Time, ev beryltail.Read) {
	before := c.merge.Config().Offset
	c.merge.Gap(ev.First)
	for _, rec := range ev.Records {
		outcome := c.merge.Apply(rec.Offset, rec.Record)
		if w, ok := c.watchers[rec.ID]; ok {
			delete(c.watchers, rec.ID)
			w.reply(settle(rec.Offset, outcome))
		}
	}
	c.merge.Confirm(ev.Upto)
	if c.merge.Config().Offset > before {
		c.onConfig(now)
	}
	if ev.CaughtUp() && !c.merge.Waiting() {
		c.confirmed = true
		own := c.merge.Config().Offset
		c.freshness.Confirm(now, ev.Began, berylmessage.Confirmation{Offset: own, Valid: true}, own)
	}
}

// intent returns the record for a new call of a key, unless the key was bound to
// another call than the one whose tombstone was confirmed.
func (c *control) intent(msg makeIntent) madeIntent {
	if found, _ := c.intents.Find(msg.account, msg.key); found.Call != msg.prev || found.Uncertain {
		return madeIntent{}
	}
	return madeIntent{record: c.intents.Intent(msg.account, msg.key, msg.sum, msg.call), ok: true}
}

// settle returns the answer to the operator whose change was read.
func settle(offset int64, o berylmerge.Outcome) settledChange {
	switch o.Verdict {
	case berylmerge.Accepted:
		return settledChange{offset: offset}
	case berylmerge.Conflict:
		return settledChange{err: berylerror.Conflict.Errorf("key %s was changed at offset %d, after the base of this change", o.Key, o.Winner)}
	case berylmerge.Pending:
		return settledChange{err: berylerror.Unknown.Errorf("change at offset %d waits for a snapshot of the configuration", offset)}
	default:
		return settledChange{err: berylerror.Invalid.Errorf("change at offset %d has no effect: %v", offset, o.Err)}
	}
}

func (c *control) jobsOf(account string) []beryljob.State {
	var states []beryljob.State
	for _, state := range c.catalog.All() {
		if state.Account == account {
			states = append(states, state)
		}
	}
	return states
}

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
			Age:       now.Sub(r.began).Milliseconds(),
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

// publish makes the state visible outside the actor.
func (c *control) publish(now time.Time) {
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
