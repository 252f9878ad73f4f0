package beryldirector

import (
	"maps"
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylstore"
)

// flush starts an append of the enqueued records and the changed jobs, or of a
// renewal of the claim, unless an append is in flight.
func (d *Director) flush(now time.Time) {
	if !d.Leading() || d.appending {
		return
	}
	renew := now.Sub(d.appendedAt) > _renewInterval
	if len(d.dirty) == 0 && len(d.enqueued) == 0 && !renew {
		return
	}
	records := d.enqueued
	d.enqueued = nil
	records = d.appendChanges(records, d.dirty)
	if renew || len(records) > 0 {
		records = d.appendChanges(records, d.checkpointed)
	}
	if renew {
		records = append(records, d.renewalRecords()...)
		records = append(records, d.expiredJobs(now)...)
	}
	if len(records) == 0 {
		return
	}
	records = append(records, d.runTimeRecords(now)...)
	d.appending = true
	d.appendedAt = now
	d.effects = append(d.effects, Persist{Epoch: d.epoch, Records: records})
}

// appendChanges appends the records of the changed jobs and removes these jobs from
// changed. What exceeds the size of an append remains there.
func (d *Director) appendChanges(records []berylstore.Record, changed map[string]bool) []berylstore.Record {
	size := recordsSize(records)
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if size > _maxAppendSize {
			break
		}
		j := d.Book.Jobs[id]
		if j == nil {
			delete(changed, id)
			continue
		}
		if d.recorded[id] == nil {
			d.recorded[id] = &berylbook.Recorded{}
		}
		changes, more, err := j.Changes(d.epoch, d.recorded[id], _maxJobRecords)
		if !more {
			delete(changed, id)
		}
		if err != nil {
			d.note("progress can't be encoded", "job", id, "err", err)
			continue
		}
		if len(changes) == 0 {
			continue
		}
		size += recordsSize(changes)
		records = append(records, changes...)
		d.inFlight[id] = true
	}
	return records
}

// recordsSize returns the size of the records in bytes, without their headers.
func recordsSize(records []berylstore.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// expiredJobs returns records that remove the jobs whose retention has ended.
func (d *Director) expiredJobs(now time.Time) []berylstore.Record {
	var records []berylstore.Record
	limit := now.Add(-d.Limits.Retention).UnixMilli()
	for _, j := range d.Book.Sorted() {
		id := j.Work.ID
		if j.State.Final() && j.EndedAt < limit && !j.Active() {
			records = append(records, berylbook.Tombstones(id)...)
			if d.recorded[id] == nil {
				records = append(records, j.TaskTombstones()...)
			}
		}
		if len(records) > _maxRemovals {
			break
		}
	}
	return records
}

const (
	// _renewInterval is how often an idle leader renews its claim. Limits.Takeover
	// is several times as long.
	_renewInterval = 600 * time.Millisecond
	// _maxRemovals bounds the records by which one append removes ended jobs. Those
	// of the last job may exceed it.
	_maxRemovals = 300
	// _maxAppendSize is the size of an append, in bytes, from which further jobs wait
	// for the next one. The store accepts 2 MiB.
	_maxAppendSize = 512 << 10
	// _maxJobRecords bounds the records of one job in one append, some 130 bytes each.
	_maxJobRecords = 4000
)
