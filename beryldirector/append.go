package beryldirector

import (
	"maps"
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylstore"
)

// batch collects the records of one append.
type batch struct {
	records []berylstore.Record
	// left is the room that is left, in bytes of the call.
	left int
}

// add adds records for which there is room. It returns false, and adds none, otherwise.
func (b *batch) add(records ...berylstore.Record) bool {
	size := 0
	for _, r := range records {
		size += r.CallSize()
	}
	if size > b.left {
		return false
	}
	b.left -= size
	b.records = append(b.records, records...)
	return true
}

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
	b := &batch{left: d.maxAppend - _claimRoom}
	enqueued := d.appendEnqueued(b)
	b.left += _claimRoom
	if renew {
		b.add(d.renewalRecords()...)
	}
	b.left = min(b.left, _maxChangesSize)
	d.appendChanges(b, d.dirty)
	if renew || len(b.records) > 0 {
		d.appendChanges(b, d.checkpointed)
	}
	if renew {
		d.appendRemovals(now, b)
	}
	if len(b.records) == 0 {
		return
	}
	if b.left >= _runTimesRoom {
		b.add(d.runTimeRecords(now)...)
	}
	d.appending = true
	d.appendedAt = now
	d.effects = append(d.effects, Persist{Epoch: d.epoch, Records: b.records, Enqueued: enqueued})
}

// appendEnqueued adds the oldest enqueued records of clients, and returns of how many
// clients. It adds no further ones once half of the room is taken, as jobs have to be
// recorded too.
func (d *Director) appendEnqueued(b *batch) int {
	half := b.left / 2
	n := 0
	for _, records := range d.enqueued {
		if n > 0 && b.left < half || !b.add(records...) {
			break
		}
		n++
	}
	d.enqueued = d.enqueued[n:]
	d.unrecorded = map[string]bool{}
	for _, records := range d.enqueued {
		if id := berylbook.JobOf(records[0]); id != "" {
			d.unrecorded[id] = true
		}
	}
	return n
}

// appendChanges adds the records of the changed jobs and removes these jobs from
// changed. What exceeds the size of an append remains there, and so do jobs whose
// submission is not in the topic yet.
func (d *Director) appendChanges(b *batch, changed map[string]bool) {
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if b.left < _minJobRoom {
			return
		}
		j := d.Book.Jobs[id]
		if j == nil {
			delete(changed, id)
			continue
		}
		if d.unrecorded[id] {
			continue
		}
		if d.recorded[id] == nil {
			d.recorded[id] = &berylbook.Recorded{}
		}
		room := berylbook.Room{Records: _maxJobRecords, Bytes: b.left - _stateSize, Limits: d.Limits.Store}
		changes, more, err := j.Changes(d.epoch, d.recorded[id], room)
		if !more {
			delete(changed, id)
		}
		if !more && err == nil && j.Quiescent() {
			j.Release()
		}
		if err != nil {
			d.note("progress can't be encoded", "job", id, "err", err)
			continue
		}
		if len(changes) == 0 {
			continue
		}
		b.add(changes...)
		d.inFlight[id] = true
	}
}

// appendRemovals adds records that remove the jobs whose retention has ended.
func (d *Director) appendRemovals(now time.Time, b *batch) {
	limit := now.Add(-d.Limits.Retention).UnixMilli()
	removals := 0
	for _, j := range d.Book.Sorted() {
		if !j.State.Final() || j.EndedAt >= limit || j.Active() {
			continue
		}
		if d.recorded[j.Work.ID] == nil {
			tasks, more := j.TaskTombstones(min(_maxRemovals-removals, b.left/_tombstoneSize))
			b.add(tasks...)
			removals += len(tasks)
			if more {
				return
			}
		}
		tombstones := j.Tombstones()
		if removals += len(tombstones); removals > _maxRemovals || !b.add(tombstones...) {
			return
		}
	}
}

const (
	// _renewInterval is how often an idle leader renews its claim. Limits.Takeover
	// is several times as long.
	_renewInterval = 600 * time.Millisecond
	// _maxRemovals bounds the records by which one append removes ended jobs.
	_maxRemovals = 300
	// _tombstoneSize is above the size of a record that removes a task, in bytes.
	_tombstoneSize = 128
	// _maxChangesSize is the size of the changed jobs in one append, in bytes. Each entry
	// reads them.
	_maxChangesSize = 1 << 20
	// _minJobRoom is the room that an append needs for the changes of a further job, and
	// _stateSize the part of it for the record of the job's state, in bytes.
	_minJobRoom = 4 << 10
	_stateSize  = 1 << 10
	// _runTimesRoom has room for the record of learned run times, in bytes.
	_runTimesRoom = _maxRunTimesSize + 1<<10
	// _maxJobRecords bounds the records of one job in one append, some 130 bytes each.
	_maxJobRecords = 4000
	// _minAppend is the size, in bytes, to which appends are reduced at least when the
	// store refuses one because of its content.
	_minAppend = 32 << 10
)
