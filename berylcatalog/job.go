package berylcatalog

import (
	"time"

	"berylglade/beryljob"
	"berylglade/berylrecord"
)

// applyJob applies a job state. Valid says whether it is of the current term.
// A state that has not ended does not make a job known if its writer had not
// read up to the first kept record: it may be a late repetition, and the record
// that ended the job may have been dropped. If the job is alive, the leader
// writes it again. An end that is read this way is kept, but does not bind the
// job's key, which may have been forgotten and used again.
func (c *Catalog) applyJob(now time.Time, offset, base int64, body berylrecord.JobState, valid bool) []Event {
	if !wellFormed(body) {
		return nil
	}
	id := body.State.ID
	old := c.jobs[id]
	next := &job{state: body.State, offset: offset, term: body.Term, read: now, unsure: c.Uncertain()}
	next.loose = old == nil && base < c.first-1
	switch {
	case next.loose && !body.State.Phase.Ended():
		return nil
	case body.Term == 0:
		if old != nil || c.bound(base, body.State) {
			return nil
		}
		next.submitted = &body.State
		delete(c.keys, keyOf(body.State))
	case !valid:
		return nil
	case old != nil:
		if !follows(old, next) {
			return nil
		}
		next.submitted = old.submitted
		next.cancelled = old.cancelled
	}
	var events []Event
	if body.Term != 0 && !body.State.Phase.Ended() {
		events = c.unbind(body.State)
	}
	c.put(id, next)
	events = append(events, JobChanged{State: body.State})
	return append(events, c.adoptOrphan(id)...)
}

// adoptOrphan applies a cancellation that was read before the job.
func (c *Catalog) adoptOrphan(id string) []Event {
	o, ok := c.orphans[id]
	if !ok {
		return nil
	}
	delete(c.orphans, id)
	return c.cancel(o.offset, berylrecord.Cancel{Job: id, By: o.by})
}

// wellFormed reports whether a writer that follows the rules can have written
// the state.
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

// follows reports whether next may replace old. Within a term a record may be
// repeated late, so states only move forward: to a higher attempt, or within an
// attempt from decided to queued to a final phase. A state that was read while
// the term was not known for sure may have been void, so a record of a higher
// term replaces it in any case.
func follows(old, next *job) bool {
	if old.unsure && next.term > old.term {
		return true
	}
	if old.state.Phase.Ended() {
		return false
	}
	if next.state.Attempt != old.state.Attempt {
		return next.state.Attempt > old.state.Attempt
	}
	return rank(next.state.Phase) >= rank(old.state.Phase)
}

// rank orders the phases of one attempt: it is decided first, and queued again
// when it was given up.
func rank(p beryljob.Phase) int {
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

// bound reports whether the key of a submission belongs to another job. A
// submitter does not submit for the key of a job that it knows. So if it had
// read the end of that job, it has forgotten it, as retention dropped the
// record; what this reader has is a late repetition.
func (c *Catalog) bound(base int64, s beryljob.State) bool {
	id, ok := c.keys[keyOf(s)]
	if !ok || s.Key == "" {
		return false
	}
	j := c.jobs[id]
	return !j.state.Phase.Ended() || j.offset > base
}

// unbind drops a submission whose key belongs to another job that the leader
// knows and that has not ended.
func (c *Catalog) unbind(s beryljob.State) []Event {
	if s.Key == "" {
		return nil
	}
	id, bound := c.keys[keyOf(s)]
	if !bound || id == s.ID || c.jobs[id].term != 0 {
		return nil
	}
	c.save(id)
	c.remove(id)
	return []Event{JobDropped{Job: id}}
}

// put replaces a job and keeps the indexes.
func (c *Catalog) put(id string, j *job) {
	c.save(id)
	c.jobs[id] = j
	if _, bound := c.keys[keyOf(j.state)]; !bound && j.state.Key != "" && !j.loose {
		c.keys[keyOf(j.state)] = id
	}
	if j.state.Phase.Ended() {
		c.ended = append(c.ended, endedJob{id: id, offset: j.offset})
	}
}

// remove drops a job and its key.
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
