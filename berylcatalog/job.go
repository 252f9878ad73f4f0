package berylcatalog

import (
	"time"

	"berylglade/beryljob"
	"berylglade/berylrecord"
)

// applyJob applies a job state; valid reports whether it is of the current term.
//
// A record of an unknown job whose base lies before the first offset of the log
// may be a late duplicate. If its state has not ended, it is ignored, as the
// record that ended the job may have been dropped; if the job still exists, the
// leader appends its state again. If its state has ended, it is applied, but the
// idempotency key is not bound to the job, as it may have expired and been used
// by another job.
func (c *Catalog) applyJob(now time.Time, offset, base int64, body berylrecord.JobState, valid bool) []Event {
	if !wellFormed(body) {
		return nil
	}
	id := body.State.ID
	old := c.jobs[id]
	next := &job{state: body.State, offset: offset, term: body.Term, readAt: now, uncertain: c.Uncertain()}
	next.maybeRepeated = old == nil && base < c.first-1
	switch {
	case next.maybeRepeated && !body.State.Phase.Ended():
		return nil
	case body.Term == 0:
		if old != nil || c.keyTaken(base, body.State) {
			return nil
		}
		next.submitted = &body.State
		delete(c.keys, keyOf(body.State))
	case !valid:
		return nil
	case old != nil:
		if !supersedes(old, next) {
			return nil
		}
		next.submitted = old.submitted
		next.cancelRequested = old.cancelRequested
	}
	var events []Event
	if body.Term != 0 && !body.State.Phase.Ended() {
		events = c.dropKeyConflict(body.State)
	}
	c.put(id, next)
	events = append(events, JobChanged{State: body.State})
	return append(events, c.applyOrphanCancel(id)...)
}

// applyOrphanCancel applies a cancellation that was read before the job's state.
func (c *Catalog) applyOrphanCancel(id string) []Event {
	o, ok := c.orphanCancels[id]
	if !ok {
		return nil
	}
	delete(c.orphanCancels, id)
	return c.applyCancel(o.offset, berylrecord.Cancel{Job: id, By: o.by})
}

// wellFormed reports whether a correct writer can have written the state.
func wellFormed(body berylrecord.JobState) bool {
	s := body.State
	switch {
	case s.ID == "" || s.Phase < beryljob.Queued || s.Phase > beryljob.Cancelled || s.Attempt < 0:
		return false
	case (s.Phase == beryljob.Decided) != (len(s.Members) > 0):
		return false
	case body.Term == 0:
		return s.Phase == beryljob.Queued && s.Attempt == 0
	default:
		return body.Term > 0
	}
}

// supersedes reports whether next may replace old. Duplicates of a record may
// arrive late, so states only move forward: to a higher attempt, or within an
// attempt from decided to queued to a final phase. A state that was read while
// the term was uncertain may be invalid, so a record of a higher term always
// replaces it.
func supersedes(old, next *job) bool {
	if old.uncertain && next.term > old.term {
		return true
	}
	if old.state.Phase.Ended() {
		return false
	}
	if next.state.Attempt != old.state.Attempt {
		return next.state.Attempt > old.state.Attempt
	}
	return phaseRank(next.state.Phase) >= phaseRank(old.state.Phase)
}

// phaseRank orders the phases of one attempt: it is decided first, and queued
// again when the decision is abandoned.
func phaseRank(p beryljob.Phase) int {
	switch p {
	case beryljob.Decided:
		return 0
	case beryljob.Queued:
		return 1
	default:
		return 2
	}
}

func keyOf(s beryljob.State) jobKey { return jobKey{account: s.Account, key: s.Key} }

// keyTaken reports whether the key of a submission belongs to another job. An
// ended job that lies at or below the submission's base does not count: a writer
// submits no job for the key of a job that it knows, so it had already forgotten
// the ended job because retention dropped its record, and the record that this
// reader has is a late duplicate.
func (c *Catalog) keyTaken(base int64, s beryljob.State) bool {
	id, ok := c.keys[keyOf(s)]
	if !ok || s.Key == "" {
		return false
	}
	j := c.jobs[id]
	return !j.state.Phase.Ended() || j.offset > base
}

// dropKeyConflict drops a submission whose key belongs to another job that has
// not ended and of which the leader has written a state.
func (c *Catalog) dropKeyConflict(s beryljob.State) []Event {
	if s.Key == "" {
		return nil
	}
	id, taken := c.keys[keyOf(s)]
	if !taken || id == s.ID || c.jobs[id].term != 0 {
		return nil
	}
	c.saveUndo(id)
	c.remove(id)
	return []Event{JobDropped{Job: id}}
}

// put stores a job and updates the indexes.
func (c *Catalog) put(id string, j *job) {
	c.saveUndo(id)
	c.jobs[id] = j
	if _, taken := c.keys[keyOf(j.state)]; !taken && j.state.Key != "" && !j.maybeRepeated {
		c.keys[keyOf(j.state)] = id
	}
	if j.state.Phase.Ended() {
		c.ended = append(c.ended, endedJob{id: id, offset: j.offset})
	}
}

// remove deletes a job and its key.
func (c *Catalog) remove(id string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	if c.keys[keyOf(j.state)] == id {
		delete(c.keys, keyOf(j.state))
	}
	delete(c.jobs, id)
}
