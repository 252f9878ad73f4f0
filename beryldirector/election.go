package beryldirector

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylglade/berylbook"
	"berylglade/berylclock"
	"berylglade/berylstore"
)

const (
	// _maxReadAge is how old the last read of the topic may be for a claim. An
	// entry that can't read the topic can't know whether the leader still writes.
	_maxReadAge = time.Second
	// _claimRetryDelay is the delay after a claim whose outcome is unknown.
	_claimRetryDelay = 500 * time.Millisecond
	// _probeAfter exceeds the time of two appends to a slow store, 250 ms each.
	_probeAfter    = 550 * time.Millisecond
	_probeInterval = 400 * time.Millisecond
	// _claimSpacing is the unit of the delay that keeps entries from claiming at
	// the same time.
	_claimSpacing = 120 * time.Millisecond
	// _smallCores is less CPU than the peak load of a leader of some dozens of
	// agents.
	_smallCores = 0.3
	// _claimSlots is the number of different delays.
	_claimSlots = 5
	// _checkAfter is the silence of the leader from which it is checked, every
	// _checkInterval. An idle leader writes every 0.6 s.
	_checkAfter    = 650 * time.Millisecond
	_checkInterval = 150 * time.Millisecond
	// _earlyTakeover is how long a leader may be silent that does not answer this entry
	// either, after _checksBeforeTakeover checks. The store may take 250 ms for its
	// append and for the read of it.
	_earlyTakeover        = time.Second
	_checksBeforeTakeover = 2
)

// writtenByLeader reports whether r is a claim or a job's progress. Only the leader
// writes these, or an entry that becomes the leader by the claim.
func (d *Director) writtenByLeader(r berylstore.Record) bool {
	return berylbook.IsClaim(r) || berylbook.IsProgress(r)
}

// claimChanged handles a new claim in the topic.
func (d *Director) claimChanged(now time.Time) {
	c := d.Book.Claim
	mine := d.leads(c)
	switch {
	case mine && d.stale:
		// The claim was sent before the Book had to be read again. This entry claims the
		// next epoch when it has read it.
	case mine && !c.Resigned && c.Epoch > d.epoch:
		d.epoch = c.Epoch
		d.index = nil
		d.electedAt = now
		d.earlierLeaseEnd = later(now, d.earlierLeaderSeenAt.Add(d.Limits.LeaderLease))
		d.leaseFrom = d.claimedAt
		d.appendedAt = now
		d.appending = false
		d.note("leading", "epoch", d.epoch, "jobs", len(d.Book.Jobs))
		d.effects = append(d.effects, Announce{Epoch: d.epoch})
		d.noteRecorded()
		d.restoreRunTimes(now)
		d.resumeJobs(now)
	case !mine && d.Leading() && c.Epoch > d.epoch:
		d.Deposed()
	}
}

// leads reports whether the claim is that of this process.
func (d *Director) leads(c berylbook.Claim) bool {
	return c.Node == d.Self.Node && c.Boot == d.Self.Boot
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteRecorded notes the progress of the jobs that may still change, which is that of
// the topic up to the claim.
func (d *Director) noteRecorded() {
	clear(d.recorded)
	for _, j := range d.Book.Sorted() {
		if !j.Quiescent() {
			d.recorded[j.Work.ID] = j.Recorded()
		}
	}
}

// resumeJobs updates the jobs that changed while there was no leader.
func (d *Director) resumeJobs(now time.Time) {
	for _, j := range d.Book.Sorted() {
		if j.State.Final() {
			continue
		}
		if j.CancelledAt != 0 {
			d.stopJob(j, "cancelled")
		}
		d.updateState(now, j)
	}
}

// campaign claims leadership if there is no leader, or if the leader has resigned,
// has yielded to this entry or has written no record for Limits.Takeover.
func (d *Director) campaign(now time.Time) {
	if d.shuttingDown || d.stale || now.Sub(d.readAt) > _maxReadAge || now.Sub(d.claimedAt) < _claimRetryDelay {
		return
	}
	if d.topicEnd < d.minClaimEnd {
		return
	}
	c := d.Book.Claim
	if now.Before(d.claimTime(now, c)) {
		return
	}
	d.claimedAt = now
	d.note("claim", "epoch", c.Epoch+1, "previous", c.Node, "silence", now.Sub(d.leaderSeenAt).Milliseconds(), "end", d.topicEnd)
	d.effects = append(d.effects, Claim{At: d.topicEnd, Claim: berylbook.Claim{
		Epoch: c.Epoch + 1, Node: d.Self.Node, Boot: d.Self.Boot, Addr: d.Self.Addr,
	}})
}

// claimTime returns when this entry claims leadership after the leader of claim c. After
// an outage of the store the leader has been silent for all entries, and only delays as
// of its end order them.
func (d *Director) claimTime(now time.Time, c berylbook.Claim) time.Time {
	delay := d.claimDelay(c.Epoch)
	silentSince := later(d.leaderSeenAt, d.readSince)
	switch {
	case c.Epoch > 0 && c.Epoch == d.yieldedEpoch:
		return now
	case c.Node == d.Self.Node && c.Boot != d.Self.Boot && !d.small():
		// An earlier process of this entry led. The new epoch fences its orders, as it
		// would those of another entry.
		return now
	case c.Epoch == 0 || c.Resigned || c.Node == d.Self.Node:
		return silentSince.Add(delay)
	}
	d.checkLeader(now, c)
	if d.failedChecks < _checksBeforeTakeover {
		// A leader that is alive needs some time for its next append after an outage.
		return silentSince.Add(d.Limits.Takeover + delay)
	}
	// A leader whose process is gone need not be waited for: a claim fences one that is
	// alive, and its successor takes the leases that it may have extended into account.
	wait := min(_earlyTakeover, d.Limits.Takeover)
	return later(d.leaderSeenAt.Add(wait), d.readSince).Add(delay)
}

// small reports whether the VM has less CPU than the leader of many agents needs.
func (d *Director) small() bool { return d.Self.Cores > 0 && d.Self.Cores < _smallCores }

// checkLeader requests a check of the leader that has been silent for some time.
func (d *Director) checkLeader(now time.Time, c berylbook.Claim) {
	if now.Sub(d.leaderSeenAt) < _checkAfter || now.Sub(d.checkedAt) < _checkInterval {
		return
	}
	d.checkedAt = now
	d.effects = append(d.effects, CheckLeader{Epoch: c.Epoch, Addr: c.Addr})
}

// LeaderUnreachable handles the failure of a check of the leader of epoch.
func (d *Director) LeaderUnreachable(epoch int64) {
	if d.Book.Claim.Epoch == epoch {
		d.failedChecks++
	}
}

// probe requests a Probe when an append has had no answer for some time.
func (d *Director) probe(now time.Time) {
	if !d.appending || now.Sub(d.appendedAt) < _probeAfter || now.Sub(d.probedAt) < _probeInterval {
		return
	}
	d.probedAt = now
	d.effects = append(d.effects, Probe{Epoch: d.epoch})
}

// Yield gives up leadership under epoch because the store answers a peer but not
// this entry. It returns false if the append has been answered meanwhile or the
// epoch has changed. After it returns true, this entry renews no leases and sends
// no orders under the epoch.
func (d *Director) Yield(now time.Time, epoch int64) bool {
	if d.epoch != epoch || !d.appending || now.Sub(d.appendedAt) < _probeAfter {
		return false
	}
	d.note("yield", "epoch", epoch, "unanswered", now.Sub(d.appendedAt).Milliseconds())
	d.Deposed()
	return true
}

// YieldReceived records that the leader under epoch has asked this entry to claim
// leadership in its place.
func (d *Director) YieldReceived(epoch int64) { d.yieldedEpoch = max(d.yieldedEpoch, epoch) }

// ClaimConflict handles the rejection of a claim because the topic did not end at
// Claim.At. The claim is repeated as soon as newer records are read, or at once if
// they were read in the meantime.
func (d *Director) ClaimConflict(c Claim) {
	d.minClaimEnd = c.At + 1
	d.claimedAt = time.Time{}
}

// claimDelay returns a delay that keeps entries from claiming at the same time. It
// depends on the epoch, so that the order of the entries changes. Entries on small
// VMs come last, because the leader handles the reports of all agents.
func (d *Director) claimDelay(epoch int64) time.Duration {
	h := xxhash.Sum64String(d.Self.Node + "/" + strconv.FormatInt(epoch, 10))
	delay := time.Duration(h%_claimSlots) * _claimSpacing
	if d.small() {
		delay += _claimSlots * _claimSpacing
	}
	return delay
}

func (d *Director) renewalRecords() []berylstore.Record {
	c := d.Book.Claim
	r, err := c.Record()
	if err != nil {
		d.note("claim can't be encoded", "err", err)
		return nil
	}
	return []berylstore.Record{r}
}

// Resign ends the leadership of this entry before its process stops. If this entry
// leads, it returns the record of the resignation, which the caller appends after
// the append in flight.
func (d *Director) Resign() (Persist, bool) {
	d.shuttingDown = true
	if !d.Leading() {
		return Persist{}, false
	}
	c := d.Book.Claim
	c.Resigned = true
	r, err := c.Record()
	if err != nil {
		return Persist{}, false
	}
	epoch := d.epoch
	records := []berylstore.Record{r}
	if d.unsavedRuns > 0 {
		records = append(records, d.saveRunTimes(d.now)...)
	}
	d.note("resigned", "epoch", epoch)
	d.Deposed()
	return Persist{Epoch: epoch, Records: records}, true
}

// hasLease reports whether the leader lease is still valid, so that no other entry
// can lead yet.
func (d *Director) hasLease(now time.Time) bool {
	return d.Leading() && berylclock.Age(now, d.leaseFrom) < d.Limits.LeaderLease
}

// Epoch returns the epoch under which this entry leads, or zero.
func (d *Director) Epoch() int64 { return d.epoch }
