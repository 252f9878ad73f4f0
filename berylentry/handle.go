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

// _settleTime is how long a new entry collects heartbeats before it treats
// agents without one as absent: two heartbeat periods and one for the start.
const _settleTime = 3 * time.Second

// view is the immutable state that goroutines outside the control actor read.
// The actor replaces it as a whole.
type view struct {
	config  *berylconfig.Config
	members []berylmember.Member
	// failing has the streams that are unreachable, upto the last offset that
	// was read of each stream.
	failing map[string]bool
	upto    map[string]int64
	// settled is false for the first seconds, in which few agents are known.
	settled bool
	// configRead is set once stream config has been read to its end.
	configRead bool
}

// control is the state that the control actor owns.
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
	// viewStale is set when the view must be replaced.
	viewStale bool
	// replies are sent once the view has been replaced, as whoever gets one reads
	// the view next.
	replies []func()
	// configConfirmed is set once this process has read stream config to its
	// end and has a complete configuration.
	configConfirmed bool
}

func newControl(e *Entry, now time.Time) *control {
	c := &control{
		e:        e,
		started:  now,
		readers:  map[string]*reader{},
		watchers: map[string]watchChange{},
		election: election{pendingAppends: map[string]int{}, refreshing: map[string]bool{}},
	}
	for name := range e.streams {
		c.readers[name] = &reader{}
	}
	c.publishView(now)
	return c
}

func (c *control) handle(now time.Time, msg message) {
	switch msg := msg.(type) {
	case heartbeat:
		msg.reply(c.onHeartbeat(now, msg.heartbeat))
	case configExchange:
		msg.reply(c.onConfigExchange(now, msg.request))
	case adoptConfig:
		c.adoptConfig(now, msg.config)
		c.replyLater(msg.reply)
	case peerQuery:
		msg.reply(c.onPeerQuery(now))
	case peerReplies:
		c.onPeerReplies(now, msg)
	case tick:
		c.onTick(now)
	case tailEvent:
		c.onTailEvent(now, msg)
	case drainAgent:
		c.onDrain(now, msg)
	case leaderEvent:
		c.notifyLeader(now, msg.event)
	case appendFinished:
		c.onAppendFinished(msg.job)
	case refreshFinished:
		c.onRefreshFinished(now)
	case termAppendFinished:
		c.election.appendingTerm = false
	case stopLeading:
		msg.reply(c.onStopLeading())
	default:
		c.handleQuery(now, msg)
	}
	if c.viewStale {
		c.viewStale = false
		c.publishView(now)
	}
	replies := c.replies
	c.replies = nil
	for _, reply := range replies {
		reply()
	}
}

// replyLater sends a reply after the view has been replaced.
func (c *control) replyLater(reply func()) { c.replies = append(c.replies, reply) }

// handleQuery handles the messages that do not change the state, except for
// registering waiters.
func (c *control) handleQuery(now time.Time, msg message) {
	switch msg := msg.(type) {
	case awaitOffset:
		r := c.readers[msg.stream]
		r.waiters = append(r.waiters, msg)
		r.releaseWaiters(c.replyLater)
	case watchChange:
		c.watchers[msg.id] = msg
	case findIntent:
		r := c.readers[berylrecord.StreamCalls]
		found, ok := c.intents.Find(msg.account, msg.key)
		msg.reply(intentResult{Binding: found, ok: ok, caughtUp: r.caughtUp})
	case buildIntent:
		msg.reply(c.buildIntent(msg))
	case findJob:
		r := c.readers[berylrecord.StreamControl]
		state, ok := c.catalog.Find(msg.id)
		msg.reply(jobResult{state: state, ok: ok, upto: r.upto, fresh: c.catalog.Fresh(now)})
	case listJobs:
		msg.reply(c.jobsOf(msg.account))
	case dumpState:
		msg.reply(c.dump(now))
	}
}

func (c *control) onTick(now time.Time) {
	c.onMemberEvents(now, c.members.Tick(now))
	for _, r := range c.readers {
		r.releaseWaiters(c.replyLater)
	}
	for id, w := range c.watchers {
		if isClosed(w.done) {
			delete(c.watchers, id)
		}
	}
	c.queryPeers(now)
	c.claimOrRenew(now)
	c.notifyLeader(now, berylleader.Tick{})
	c.viewStale = true
}

func (c *control) onHeartbeat(now time.Time, b berylmessage.Heartbeat) *berylmessage.HeartbeatReply {
	c.e.metrics.heartbeats.Inc()
	events := c.members.Heartbeat(now, b)
	c.onMemberEvents(now, events)
	c.notifyLeader(now, berylleader.HeartbeatReceived{Heartbeat: b})
	// Load reports reach the view at the next tick. Copying all members at each
	// heartbeat would cost time that grows with the square of their number.
	c.viewStale = c.viewStale || len(events) > 0
	cfg := c.merge.Config()
	reply := &berylmessage.HeartbeatReply{
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

// forgettable returns the ended gangs in a heartbeat that the agent may forget,
// as the log has recorded their end: the job has ended, or its state is that of
// a later step.
func (c *control) forgettable(now time.Time, gangs []berylmessage.GangReport) []string {
	var forget []string
	for _, g := range gangs {
		if g.Phase != berylmessage.GangDone && g.Phase != berylmessage.GangFailed {
			continue
		}
		state, ok := c.catalog.Find(g.Job)
		recorded := ok && (state.Phase.Ended() || state.Attempt > g.Attempt ||
			state.Phase == beryljob.Queued && state.Attempt == g.Attempt)
		// The leader knows all jobs that have not ended, as their records are
		// refreshed in the log.
		unknown := !ok && c.election.term != 0 && now.Sub(c.election.electedAt) >= _settleTime
		if recorded || unknown {
			forget = append(forget, g.Job+"/"+strconv.Itoa(g.Attempt))
		}
	}
	return forget
}

func (c *control) onConfigExchange(now time.Time, r berylmessage.ConfigRequest) *berylmessage.ConfigReply {
	if r.Config != nil {
		c.adoptConfig(now, r.Config)
	}
	reply := &berylmessage.ConfigReply{}
	if cfg := c.merge.Config(); cfg.Offset > r.Offset {
		reply.Config = cfg
	}
	return reply
}

// adoptConfig adopts another process's configuration if it is newer.
func (c *control) adoptConfig(now time.Time, cfg *berylconfig.Config) {
	if c.merge.Adopt(cfg) {
		c.onConfigChanged(now)
	}
}

func (c *control) onConfigChanged(now time.Time) {
	c.viewStale = true
	c.notifyLeader(now, berylleader.ConfigChanged{Config: c.merge.Config()})
}

func (c *control) onMemberEvents(now time.Time, events []berylmember.Event) {
	for _, ev := range events {
		switch ev := ev.(type) {
		case berylmember.Joined:
			klog.InfoS("agent joined", "agent", ev.Member.Agent, "incarnation", ev.Member.Incarnation)
		case berylmember.Changed:
			klog.InfoS("agent changed", "agent", ev.Member.Agent, "state", ev.Member.State, "draining", ev.Member.Draining)
		case berylmember.Lost:
			klog.InfoS("agent lost", "agent", ev.Agent, "incarnation", ev.Incarnation, "reason", ev.Reason)
			c.notifyLeader(now, berylleader.AgentLost{Agent: ev.Agent, Incarnation: ev.Incarnation})
		}
	}
	c.viewStale = c.viewStale || len(events) > 0
}

func (c *control) onDrain(now time.Time, msg drainAgent) {
	events, ok := c.members.Drain(msg.agent)
	c.onMemberEvents(now, events)
	msg.reply(ok)
}

// onTailEvent applies the result of a read of the log.
func (c *control) onTailEvent(now time.Time, msg tailEvent) {
	r := c.readers[msg.stream]
	c.viewStale = true
	switch ev := msg.event.(type) {
	case beryltail.ReadFailed:
		c.e.metrics.reads.WithLabelValues(msg.stream, "failed").Inc()
		if msg.stream == berylrecord.StreamControl {
			c.catalog.ReadFailed()
		}
		if r.failingSince.IsZero() {
			r.failingSince = ev.Began
			klog.InfoS("log read failed", "stream", msg.stream, "err", ev.Err)
		}
	case beryltail.Read:
		c.e.metrics.reads.WithLabelValues(msg.stream, "ok").Inc()
		if !r.failingSince.IsZero() {
			klog.InfoS("log read recovered", "stream", msg.stream, "after", now.Sub(r.failingSince))
		}
		c.onRead(now, msg.stream, ev)
		r.failingSince = time.Time{}
		r.success = true
		r.lastReadSent = ev.Began
		r.upto = ev.Upto
		r.caughtUp = r.caughtUp || ev.CaughtUp()
		r.releaseWaiters(c.replyLater)
	}
}

func (c *control) onRead(now time.Time, name string, ev beryltail.Read) {
	switch name {
	case berylrecord.StreamConfig:
		c.onConfigRead(now, ev)
	case berylrecord.StreamControl:
		c.onControlRead(now, ev)
	case berylrecord.StreamCalls:
		c.intents.Truncate(ev.First)
		for _, rec := range ev.Records {
			c.intents.Apply(rec.Offset, rec.Record)
		}
		c.intents.Confirm(ev.Upto)
	}
}

func (c *control) onConfigRead(now time.Time, ev beryltail.Read) {
	before := c.merge.Config().Offset
	c.merge.Truncate(ev.First)
	for _, rec := range ev.Records {
		outcome := c.merge.Apply(rec.Offset, rec.Record)
		if w, ok := c.watchers[rec.ID]; ok {
			delete(c.watchers, rec.ID)
			result := newChangeResult(rec.Offset, outcome)
			c.replyLater(func() { w.reply(result) })
		}
	}
	c.merge.Confirm(ev.Upto)
	if c.merge.Config().Offset > before {
		c.onConfigChanged(now)
	}
	if ev.CaughtUp() && !c.merge.NeedsSnapshot() {
		c.configConfirmed = true
		ownOffset := c.merge.Config().Offset
		c.freshness.Confirm(now, ev.Began, berylmessage.Confirmation{Offset: ownOffset, Valid: true}, ownOffset)
	}
}

// buildIntent returns a record that binds a key to a new call. It returns none
// if the key is bound to a call other than the one whose tombstone was
// confirmed.
func (c *control) buildIntent(msg buildIntent) buildIntentResult {
	if found, _ := c.intents.Find(msg.account, msg.key); found.Call != msg.prev || found.Uncertain {
		return buildIntentResult{}
	}
	return buildIntentResult{record: c.intents.NewIntent(msg.account, msg.key, msg.sum, msg.callID), ok: true}
}

// newChangeResult returns the result for the operator whose change was read
// back.
func newChangeResult(offset int64, o berylmerge.Outcome) changeResult {
	switch o.Verdict {
	case berylmerge.Accepted:
		return changeResult{offset: offset}
	case berylmerge.Conflict:
		return changeResult{err: berylerror.Conflict.Errorf("key %s was changed at offset %d, after the base of this change", o.Key, o.Winner)}
	case berylmerge.Pending:
		return changeResult{err: berylerror.Unknown.Errorf("outcome of change at offset %d is unknown until a configuration snapshot has been read", offset)}
	default:
		return changeResult{err: berylerror.Invalid.Errorf("change at offset %d has no effect: %v", offset, o.Err)}
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
