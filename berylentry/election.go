package berylentry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"berylglade/berylcatalog"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylleader"
	"berylglade/berylrecord"
	"berylglade/beryltail"
)

// Times of the leadership.
const (
	// _handoverTimeout bounds the handover at a planned stop; the lease
	// applies after it.
	_handoverTimeout = 2 * time.Second
	// _claimTimeout bounds the append of a claim or renewal.
	_claimTimeout = 2 * time.Second
	// _repeatDelay is the wait of a new leader before it repeats what the log
	// would otherwise forget.
	_repeatDelay = 10 * time.Second
	// _repeatShare is the part of the retention after which a leader repeats
	// snapshot and live jobs.
	_repeatShare = 3
	// _repeatInterval is the time between two looks at what has to be repeated,
	// and _repeatLimit the most jobs in one: 200 records in 5 s are a small
	// part of the appends that the log accepts.
	_repeatInterval = 5 * time.Second
	_repeatLimit    = 200
)

// election is the state of this entry's part in the leadership.
type election struct {
	// term is the term that this entry leads, zero if none.
	term int64
	// busy is set while a claim or renewal is being appended.
	busy bool
	// stopping is set once a planned stop has begun; no term is claimed then.
	stopping bool
	// since is when the term was won.
	since time.Time
	// repeat is when the snapshot and the live jobs are appended again.
	repeat time.Time
	// snapshot is when this process last repeated the snapshot.
	snapshot time.Time
	// appending counts the appends of each job that have not been read back.
	// While there is one, the state in the catalog may be an old one.
	appending map[string]int
	// repeating has the jobs whose state is being repeated, deferred the
	// leader's appends that wait for that.
	repeating map[string]bool
	deferred  []berylleader.Effect
}

// elect claims or renews the leadership if it is time.
func (c *control) elect(now time.Time) {
	if c.election.busy {
		return
	}
	if c.election.term != 0 {
		if c.catalog.ShouldRenew(now, c.e.id) {
			c.appendTerm(c.catalog.Renewal())
		}
		if !now.Before(c.election.repeat) && c.stale(now) == nil {
			c.repeatRecords(now)
		}
		return
	}
	if c.e.leader == nil || c.election.stopping || !c.catalog.MayClaim(now, c.e.id) {
		return
	}
	c.appendTerm(c.catalog.Claim(c.e.id, c.e.PeerAddr))
}

// appendTerm appends a claim or renewal in the background. Whether it counts is
// read from the log.
func (c *control) appendTerm(record berylrecord.Record) {
	c.election.busy = true
	c.e.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.e.work, _claimTimeout)
		defer cancel()
		_, err := c.e.streams[berylrecord.StreamControl].Append(ctx, record)
		c.e.metrics.appends.WithLabelValues(berylrecord.StreamControl, result(err)).Inc()
		c.e.loop.Tell(claimed{})
	})
}

// onControlRead applies records of stream control.
func (c *control) onControlRead(now time.Time, ev beryltail.Read) {
	for _, change := range c.catalog.Truncate(ev.First) {
		c.onCatalog(now, change)
	}
	for _, rec := range ev.Records {
		for _, change := range c.catalog.Apply(now, rec.Offset, rec.Record) {
			c.onCatalog(now, change)
		}
	}
	c.catalog.Confirm(ev.Began, ev.Upto, ev.CaughtUp())
}

func (c *control) onCatalog(now time.Time, change berylcatalog.Event) {
	switch ev := change.(type) {
	case berylcatalog.LeaderChanged:
		c.onLeader(now)
	case berylcatalog.JobChanged:
		c.lead(now, berylleader.JobChanged{State: ev.State})
	case berylcatalog.JobDropped:
		// The leader keeps the job: its next record makes it known again.
	case berylcatalog.JobCancelRequested:
		c.lead(now, berylleader.JobCancelled{Job: ev.Job})
	}
}

// onLeader notices that this entry has begun or ceased to lead.
func (c *control) onLeader(now time.Time) {
	klog.InfoS("leader changed", "term", c.catalog.Number, "leader", c.catalog.Leader)
	leads := c.catalog.Leader == c.e.id && !c.catalog.HandedOver
	if leads && c.election.term == c.catalog.Number {
		return
	}
	if c.election.term != 0 {
		c.election.term = 0
		c.election.deferred = nil
		c.lead(now, berylleader.Deposed{})
	}
	if !leads {
		return
	}
	c.e.metrics.elections.Inc()
	c.election.term = c.catalog.Number
	c.election.since = now
	c.election.repeat = now.Add(_repeatDelay)
	c.lead(now, berylleader.Elected{Term: c.election.term, Jobs: c.catalog.All(), Config: c.merge.Config()})
	for _, job := range c.catalog.CancelRequested() {
		c.lead(now, berylleader.JobCancelled{Job: job})
	}
}

// stale returns an error if the last read of stream control is so old that
// another process may lead by now.
func (c *control) stale(now time.Time) error {
	if c.catalog.MayAct(now, c.e.id) {
		return nil
	}
	return berylerror.Unavailable.Errorf("the log was not read lately, so another process may lead")
}

// lead passes an event to the leader and carries out the effects.
func (c *control) lead(now time.Time, ev berylleader.Event) {
	if c.e.leader == nil {
		return
	}
	c.carryOut(now, c.e.leader.Handle(now, ev))
}

// onStopped ends this entry's part in the leadership.
func (c *control) onStopped() int64 {
	c.election.stopping = true
	return c.election.term
}

// handOver ends this entry's term, so that the next one need not wait for the
// lease.
func (e *Entry) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), _handoverTimeout)
	defer cancel()
	term, err := berylcontrol.Ask(ctx, e.loop, func(reply func(int64)) message { return stopped{reply: reply} })
	if err != nil || term == 0 {
		return
	}
	err = e.append(ctx, berylrecord.StreamControl, berylrecord.New(e.view.Load().upto[berylrecord.StreamControl], berylrecord.Handover{Term: term}))
	klog.InfoS("leadership handed over", "entry", e.settings.Name, "term", term, "err", err)
}

// repeatRecords appends the snapshot of the configuration and the states of all
// live jobs again, before retention drops them.
func (c *control) repeatRecords(now time.Time) {
	c.election.repeat = now.Add(_repeatInterval)
	age := c.e.settings.Retention.Std() / _repeatShare
	base := c.readers[berylrecord.StreamControl].upto
	var records []berylrecord.Record
	for _, state := range c.catalog.DueForRefresh(now, age, _repeatLimit) {
		if c.election.appending[state.ID] == 0 {
			c.election.repeating[state.ID] = true
			records = append(records, berylrecord.New(base, berylrecord.JobState{Term: c.election.term, State: state}))
		}
	}
	snapshot, ok := c.snapshot(now, age)
	if len(records) == 0 && !ok {
		return
	}
	klog.InfoS("log records repeated", "term", c.election.term, "jobs", len(records))
	c.e.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.e.work, _appendTimeout)
		defer cancel()
		var wg sync.WaitGroup
		if ok {
			wg.Go(func() { _ = c.e.append(ctx, berylrecord.StreamConfig, snapshot) })
		}
		for _, r := range records {
			wg.Go(func() { _ = c.e.append(ctx, berylrecord.StreamControl, r) })
		}
		wg.Wait()
		c.e.loop.Tell(repeated{})
	})
}

// snapshot returns the configuration to append again, if it is due. A leader
// whose log keeps no usable snapshot writes one from what the processes know.
func (c *control) snapshot(now time.Time, age time.Duration) (berylrecord.Record, bool) {
	switch {
	case now.Sub(c.election.snapshot) < age:
		return berylrecord.Record{}, false
	case !c.merge.NeedsSnapshot():
		c.election.snapshot = now
		return c.merge.Snapshot()
	case now.Sub(c.election.since) < age+_repeatDelay:
		return berylrecord.Record{}, false
	default:
		c.election.snapshot = now
		return c.merge.Rebuild()
	}
}

// onRepeated carries out the appends that waited until the repeated states had
// been read back. A repeated state must not follow a newer one.
func (c *control) onRepeated(now time.Time) {
	c.election.repeating = map[string]bool{}
	deferred := c.election.deferred
	c.election.deferred = nil
	c.carryOut(now, deferred)
}

// carryOut starts the effects of the leader.
func (c *control) carryOut(now time.Time, effects []berylleader.Effect) {
	stale := c.stale(now)
	for _, effect := range effects {
		if a, ok := effect.(berylleader.Append); ok {
			if c.election.repeating[a.Record.State.ID] {
				c.election.deferred = append(c.election.deferred, effect)
				continue
			}
			c.election.appending[a.Record.State.ID]++
		}
		c.e.carryOut(effect, stale)
	}
}

func (c *control) onSettled(job string) {
	c.election.appending[job]--
	if c.election.appending[job] <= 0 {
		delete(c.election.appending, job)
	}
}
