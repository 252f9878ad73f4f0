package beryldirector

import (
	"time"

	"berylglade/berylbook"
	"berylglade/berylerror"
	"berylglade/berylstore"
)

// ApplyRecords applies records that were read from the topic. End is the offset up to
// which it has been read. It is called after an empty read too, which confirms that
// nothing has changed.
func (d *Director) ApplyRecords(now time.Time, records []berylstore.Record, end int64) {
	d.noteRead(now)
	d.ApplyBacklog(now, records, end)
}

// ApplyBacklog applies records of a read that has not reached the end of the topic. It
// does not confirm that this entry knows the topic: a later record may be a claim.
func (d *Director) ApplyBacklog(now time.Time, records []berylstore.Record, end int64) {
	d.topicEnd = end
	if len(records) > 0 {
		defer d.resetIndex()
	}
	for _, r := range records {
		if d.Leading() && berylbook.IsProgress(r) {
			// Only the leader writes progress: its own is applied already, and
			// that of an earlier leader is older than the Book.
			continue
		}
		before := d.Book.Claim
		id := d.Book.Apply(r)
		if d.Book.Claim != before || d.writtenByLeader(r) {
			d.noteLeader(now)
		}
		if d.Book.Claim != before {
			d.claimChanged(now)
		}
		if id != "" {
			d.jobChanged(now, id)
		}
	}
}

// noteRead notes a read that has reached the end of the topic.
func (d *Director) noteRead(now time.Time) {
	if now.Sub(d.readAt) > _maxReadAge {
		d.readSince = now
	}
	d.readAt = now
}

// noteLeader notes a record of the leader, which may be this entry.
func (d *Director) noteLeader(now time.Time) {
	d.leaderSeenAt = now
	d.failedChecks = 0
	if !d.leads(d.Book.Claim) {
		d.earlierLeaderSeenAt = now
	}
}

// EnqueueRecord applies a client's record and includes it in one of the next appends,
// together with the decisions that follow from it. A slow store handles one append at a
// time, so that separate appends of the record and of the start would wait twice. It
// changes nothing and returns an error of kind NotRun if this entry holds no leader lease,
// so that the caller has to append the record itself, one of kind Oversize if the store
// does not take the record, and one of kind Exhausted if the load allows no such job.
func (d *Director) EnqueueRecord(now time.Time, r berylstore.Record) error {
	if !d.hasLease(now) {
		return berylerror.NotRun.Errorf("this entry is not the leader")
	}
	records, err := berylbook.Split(r, d.Limits.Store)
	if err != nil {
		return err
	}
	if !d.recordLimits().AcceptsCall(records) {
		return berylerror.NotRun.Errorf("leader's appends are too small for the record")
	}
	if w := d.Book.Submitted(r); w != nil {
		if l := d.Book.Load(w.Account); !l.Allows(w.Load()) {
			d.note("job exceeds the load", "job", w.ID, "account", w.Account, "load", w.Load(), "own", l.Account, "others", l.Others)
			return berylerror.Exhausted.Errorf("too many tasks of accepted jobs: %d of the client account, %d of others", l.Account, l.Others)
		}
	}
	d.enqueued = append(d.enqueued, records)
	if id := berylbook.JobOf(r); id != "" {
		d.unrecorded[id] = true
	}
	d.resetIndex()
	if id := d.Book.Apply(r); id != "" {
		d.jobChanged(now, id)
	}
	return nil
}

// recordLimits returns the limits of one client's records in an append, which has room for
// a renewal of the claim beside them.
func (d *Director) recordLimits() berylstore.Limits {
	return berylstore.Limits{Record: d.Limits.Store.Record, Call: d.maxAppend - _claimRoom}
}

// _claimRoom is the room in an append for a renewal of the claim, in bytes.
const _claimRoom = 4 << 10

// jobChanged handles a change of a job by a record.
func (d *Director) jobChanged(now time.Time, id string) {
	j := d.Book.Jobs[id]
	if j == nil {
		delete(d.dirty, id)
		delete(d.checkpointed, id)
		delete(d.recorded, id)
		return
	}
	if d.Leading() && j.CancelledAt != 0 && !j.State.Final() {
		d.stopJob(j, "cancelled")
		d.updateState(now, j)
	}
}

// Restore replaces the Book with one that was read from the topic. End is the end
// of the topic as of that read.
func (d *Director) Restore(now time.Time, book berylbook.Book, end int64) {
	d.Book = book
	d.index = nil
	d.stale = false
	d.topicEnd = end
	d.noteRead(now)
	d.leaderSeenAt = now
	d.earlierLeaderSeenAt = now
}

// resetIndex notes that the Book has other jobs. A leader skips the records that
// replace tasks.
func (d *Director) resetIndex() {
	if !d.Leading() || d.index == nil {
		d.index = nil
		return
	}
	d.index.live = nil
}
