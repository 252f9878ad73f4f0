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

// Timeouts and intervals of the leadership.
const (
	// _handoverTimeout bounds the handover at a planned stop. If it fails, the
	// next leader waits for the lease to expire.
	_handoverTimeout = 2 * time.Second
	// _claimTimeout bounds the append of a claim or renewal.
	_claimTimeout = 2 * time.Second
	// _refreshDelay is how long a new leader waits before it first appends
	// again the records that retention would otherwise drop.
	_refreshDelay = 10 * time.Second
	// _refreshDivisor sets the age at which a leader appends the snapshot and
	// the live jobs again: the retention divided by it.
	_refreshDivisor = 3
	// _refreshInterval is the time between two refreshes, and _refreshLimit the
	// maximum number of jobs in one. 200 records in 5 s are a small fraction of
	// the appends that the log accepts.
	_refreshInterval = 5 * time.Second
	_refreshLimit    = 200
)

// election is the leadership state of this entry.
type election struct {
	// term is the term that this entry leads, or zero.
	term int64
	// appendingTerm is set while the append of a claim or renewal is in flight.
	appendingTerm bool
	// stopping is set once a planned stop has begun. The entry then claims no
	// term.
	stopping bool
	// electedAt is when this entry became the leader.
	electedAt time.Time
	// nextRefresh is when records are next checked for a refresh.
	nextRefresh time.Time
	// lastSnapshot is when this process last appended the snapshot again.
	lastSnapshot time.Time
	// pendingAppends counts the appends of each job that have not been read
	// back. While there is one, the state in the catalog may be stale.
	pendingAppends map[string]int
	// refreshing has the jobs whose state is being appended again. deferred has
	// the leader's appends that wait until that has finished.
	refreshing map[string]bool
	deferred   []berylleader.Effect
}

// claimOrRenew appends a claim or a renewal of the leadership when it is due.
func (c *control) claimOrRenew(now time.Time) {
	if c.election.appendingTerm {
		return
	}
	if c.election.term != 0 {
		if c.catalog.ShouldRenew(now, c.e.id) {
			c.appendTerm(c.catalog.Renewal())
		}
		if !now.Before(c.election.nextRefresh) && c.checkLease(now) == nil {
			c.refreshRecords(now)
		}
		return
	}
	if c.e.leader == nil || c.election.stopping || !c.catalog.MayClaim(now, c.e.id) {
		return
	}
	c.appendTerm(c.catalog.Claim(c.e.id, c.e.PeerAddr))
}

// appendTerm appends a claim or renewal in the background. Whether it is valid
// is determined when it is read back from the log.
func (c *control) appendTerm(record berylrecord.Record) {
	c.election.appendingTerm = true
	c.e.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.e.workCtx, _claimTimeout)
		defer cancel()
		_, err := c.e.streams[berylrecord.StreamControl].Append(ctx, record)
		c.e.metrics.appends.WithLabelValues(berylrecord.StreamControl, result(err)).Inc()
		c.e.loop.Tell(termAppendFinished{})
	})
}

// onControlRead applies records of stream control.
func (c *control) onControlRead(now time.Time, ev beryltail.Read) {
	for _, change := range c.catalog.Truncate(ev.First) {
		c.onCatalogEvent(now, change)
	}
	for _, rec := range ev.Records {
		for _, change := range c.catalog.Apply(now, rec.Offset, rec.Record) {
			c.onCatalogEvent(now, change)
		}
	}
	c.catalog.Confirm(ev.Began, ev.Upto, ev.CaughtUp())
}

func (c *control) onCatalogEvent(now time.Time, change berylcatalog.Event) {
	switch ev := change.(type) {
	case berylcatalog.LeaderChanged:
		c.onLeaderChanged(now)
	case berylcatalog.JobChanged:
		c.notifyLeader(now, berylleader.JobChanged{State: ev.State})
	case berylcatalog.JobDropped:
		// The leader keeps the job in memory; the next record of the job
		// restores it in the catalog.
	case berylcatalog.JobCancelRequested:
		c.notifyLeader(now, berylleader.JobCancelled{Job: ev.Job})
	}
}

// onLeaderChanged starts or ends this entry's leadership after a change in the
// log.
func (c *control) onLeaderChanged(now time.Time) {
	klog.InfoS("leader changed", "term", c.catalog.Number, "leader", c.catalog.Leader)
	leads := c.catalog.Leader == c.e.id && !c.catalog.HandedOver
	if leads && c.election.term == c.catalog.Number {
		return
	}
	if c.election.term != 0 {
		c.election.term = 0
		c.election.deferred = nil
		c.notifyLeader(now, berylleader.Deposed{})
	}
	if !leads {
		return
	}
	c.e.metrics.elections.Inc()
	c.election.term = c.catalog.Number
	c.election.electedAt = now
	c.election.nextRefresh = now.Add(_refreshDelay)
	c.notifyLeader(now, berylleader.Elected{Term: c.election.term, Jobs: c.catalog.All(), Config: c.merge.Config()})
	for _, job := range c.catalog.CancelRequested() {
		c.notifyLeader(now, berylleader.JobCancelled{Job: job})
	}
}

// checkLease returns an error if the last read of stream control is so old that
// another process may lead.
func (c *control) checkLease(now time.Time) error {
	if c.catalog.MayAct(now, c.e.id) {
		return nil
	}
	return berylerror.Unavailable.Errorf("last read of the log is too old, so another process may lead")
}

// notifyLeader passes an event to the leader and runs the returned effects.
func (c *control) notifyLeader(now time.Time, ev berylleader.Event) {
	if c.e.leader == nil {
		return
	}
	c.startEffects(now, c.e.leader.Handle(now, ev))
}

// onStopLeading prevents further claims and returns the term that this entry
// leads.
func (c *control) onStopLeading() int64 {
	c.election.stopping = true
	return c.election.term
}

// handOver ends this entry's term in the log, so that the next leader does not
// have to wait for the lease to expire.
func (e *Entry) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), _handoverTimeout)
	defer cancel()
	term, err := berylcontrol.Ask(ctx, e.loop, func(reply func(int64)) message { return stopLeading{reply: reply} })
	if err != nil || term == 0 {
		return
	}
	err = e.append(ctx, berylrecord.StreamControl, berylrecord.New(e.view.Load().upto[berylrecord.StreamControl], berylrecord.Handover{Term: term}))
	klog.InfoS("leadership handed over", "entry", e.settings.Name, "term", term, "err", err)
}

// refreshRecords appends the configuration snapshot and the states of live jobs
// again before retention drops them.
func (c *control) refreshRecords(now time.Time) {
	c.election.nextRefresh = now.Add(_refreshInterval)
	age := c.e.settings.Retention.Std() / _refreshDivisor
	base := c.readers[berylrecord.StreamControl].upto
	var records []berylrecord.Record
	for _, state := range c.catalog.DueForRefresh(now, age, _refreshLimit) {
		if c.election.pendingAppends[state.ID] == 0 {
			c.election.refreshing[state.ID] = true
			records = append(records, berylrecord.New(base, berylrecord.JobState{Term: c.election.term, State: state}))
		}
	}
	snapshot, ok := c.dueSnapshot(now, age)
	if len(records) == 0 && !ok {
		return
	}
	klog.InfoS("refreshing log records", "term", c.election.term, "jobs", len(records))
	c.e.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.e.workCtx, _appendTimeout)
		defer cancel()
		var wg sync.WaitGroup
		if ok {
			wg.Go(func() { _ = c.e.append(ctx, berylrecord.StreamConfig, snapshot) })
		}
		for _, r := range records {
			wg.Go(func() { _ = c.e.append(ctx, berylrecord.StreamControl, r) })
		}
		wg.Wait()
		c.e.loop.Tell(refreshFinished{})
	})
}

// dueSnapshot returns the configuration snapshot to append, if one is due. If
// the log has no usable snapshot, the leader rebuilds one from the
// configuration that the processes know.
func (c *control) dueSnapshot(now time.Time, age time.Duration) (berylrecord.Record, bool) {
	switch {
	case now.Sub(c.election.lastSnapshot) < age:
		return berylrecord.Record{}, false
	case !c.merge.NeedsSnapshot():
		c.election.lastSnapshot = now
		return c.merge.Snapshot()
	case now.Sub(c.election.electedAt) < age+_refreshDelay:
		return berylrecord.Record{}, false
	default:
		c.election.lastSnapshot = now
		return c.merge.Rebuild()
	}
}

// onRefreshFinished runs the appends that were deferred during the refresh. A
// refreshed state must not follow a newer one in the log.
func (c *control) onRefreshFinished(now time.Time) {
	c.election.refreshing = map[string]bool{}
	deferred := c.election.deferred
	c.election.deferred = nil
	c.startEffects(now, deferred)
}

// startEffects starts the effects of the leader. It defers appends of jobs that
// are being refreshed.
func (c *control) startEffects(now time.Time, effects []berylleader.Effect) {
	leaseErr := c.checkLease(now)
	for _, effect := range effects {
		if a, ok := effect.(berylleader.Append); ok {
			if c.election.refreshing[a.Record.State.ID] {
				c.election.deferred = append(c.election.deferred, effect)
				continue
			}
			c.election.pendingAppends[a.Record.State.ID]++
		}
		c.e.startEffect(effect, leaseErr)
	}
}

func (c *control) onAppendFinished(job string) {
	c.election.pendingAppends[job]--
	if c.election.pendingAppends[job] <= 0 {
		delete(c.election.pendingAppends, job)
	}
}
