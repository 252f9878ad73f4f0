// Package berylcatalog holds the state of the control stream: the leader and
// all jobs.
//
// A [Catalog] applies records in offset order and returns the changes as
// [Event] values. It embeds [berylterm.Term], which determines the leader from
// the same records and is updated by the methods of Catalog: for each read of
// the stream the owner calls [Catalog.Truncate], then [Catalog.Apply] for each
// record, then [Catalog.Confirm]. The file job.go has the rules for job states.
//
// A reader that does not know yet that the claim of a new leader is valid still
// applies records that an earlier leader wrote after that claim. The file
// undo.go reverts the changes by such records once the reader learns of the new
// term.
//
// The leader appends again the states that [Catalog.DueForRefresh] returns, so
// that the log always contains a record of each job that has not ended.
package berylcatalog

import (
	"cmp"
	"slices"
	"time"

	"berylglade/beryljob"
	"berylglade/berylrecord"
	"berylglade/berylterm"
)

// _maxOrphanCancels bounds the stored cancellations of unknown jobs.
const _maxOrphanCancels = 1 << 12

// Event is one of LeaderChanged, JobChanged, JobDropped and JobCancelRequested.
type Event interface {
	isEvent()
}

// LeaderChanged reports a new term, a new leader or a handover. Leader is empty
// if the leader is not known.
type LeaderChanged struct {
	Term       int64
	Leader     string
	Addr       string
	HandedOver bool
}

// JobChanged reports the new valid state of a job.
type JobChanged struct {
	State beryljob.State
}

// JobDropped reports that a job is no longer known, because its last state proved
// invalid or the log dropped records that had not been read. If the job has not
// ended, the leader's next record of it makes it known again.
type JobDropped struct {
	Job string
}

// JobCancelRequested reports a request to cancel a job that has not ended.
type JobCancelRequested struct {
	Job string
	By  string
}

func (LeaderChanged) isEvent()      {}
func (JobChanged) isEvent()         {}
func (JobDropped) isEvent()         {}
func (JobCancelRequested) isEvent() {}

// Catalog is the state of the control stream. The zero value has read nothing.
type Catalog struct {
	berylterm.Term

	jobs map[string]*job
	// keys maps each idempotency key to its job id.
	keys map[jobKey]string
	// ended lists the jobs that have ended, in the order of their last records.
	ended []endedJob
	// orphanCancels has the cancellations of unknown jobs by job id. If the log
	// dropped the earlier records of a job, its cancellation may be read before
	// its next state.
	orphanCancels map[string]orphanCancel
	// undo has, by the offset of each pending claim, the states of the jobs that
	// changed after it, as they were before the first change.
	undo map[int64]map[string]*job
	// upto is the last applied offset, first the first offset that the log has.
	upto  int64
	first int64
}

// job is a known job. Values are immutable and replaced as a whole, so undo can
// share them.
type job struct {
	state beryljob.State
	// offset and term are those of the record with the state.
	offset int64
	term   int64
	// readAt is the time at which the record was read.
	readAt time.Time
	// submitted is the state at submission, or nil if it was not read.
	submitted *beryljob.State
	// uncertain is set if the claim of the term had not been read at the record.
	uncertain bool
	// maybeRepeated is set if the record may be a duplicate of one that the log
	// has dropped.
	maybeRepeated bool
	// cancelRequested is set if a cancellation has been read.
	cancelRequested bool
}

type jobKey struct {
	account, key string
}

type endedJob struct {
	id     string
	offset int64
}

type orphanCancel struct {
	by     string
	offset int64
}

func (c *Catalog) init() {
	if c.jobs != nil {
		return
	}
	c.jobs = map[string]*job{}
	c.keys = map[jobKey]string{}
	c.orphanCancels = map[string]orphanCancel{}
	c.undo = map[int64]map[string]*job{}
}

// Truncate applies the log's retention, before the records of the same read are
// applied; first is the first offset that the log still has. It forgets ended
// jobs whose records were dropped, and all jobs if records were dropped that had
// not been read.
func (c *Catalog) Truncate(first int64) []Event {
	c.init()
	var events []Event
	unreadDropped := first > c.upto+1
	if c.Term.Truncate(first) {
		events = append(events, c.leaderChanged())
	}
	c.first = max(c.first, first)
	for len(c.ended) > 0 && c.ended[0].offset < first {
		c.forgetEnded(c.ended[0])
		c.ended = c.ended[1:]
	}
	for id, o := range c.orphanCancels {
		if o.offset < first {
			delete(c.orphanCancels, id)
		}
	}
	if unreadDropped {
		c.upto = first - 1
		events = append(events, c.reset()...)
	}
	return events
}

func (c *Catalog) forgetEnded(e endedJob) {
	if j := c.jobs[e.id]; j != nil && j.offset == e.offset && j.state.Phase.Ended() {
		c.remove(e.id)
	}
}

// reset drops every job. Jobs that have not ended have a later record in the
// log.
func (c *Catalog) reset() []Event {
	events := make([]Event, 0, len(c.jobs))
	for _, id := range c.sortedIDs() {
		c.remove(id)
		events = append(events, JobDropped{Job: id})
	}
	c.ended = nil
	clear(c.undo)
	return events
}

func (c *Catalog) sortedIDs() []string {
	ids := make([]string, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Apply applies the record at an offset and returns the changes. Offsets
// increase from call to call; an offset that was already read has no effect.
func (c *Catalog) Apply(now time.Time, offset int64, r berylrecord.Record) []Event {
	c.init()
	if offset <= c.upto {
		return nil
	}
	c.upto = offset
	out := c.Term.Apply(now, offset, r)
	var events []Event
	if out.Changed {
		events = append(events, c.leaderChanged())
	}
	if out.VoidAfter != nil {
		events = append(events, c.revertVoid(*out.VoidAfter)...)
	}
	c.pruneUndo(now)
	if out.Pending {
		c.undo[offset] = map[string]*job{}
	}
	switch body := r.Body.(type) {
	case berylrecord.JobState:
		return append(events, c.applyJob(now, offset, r.Base, body, out.Valid)...)
	case berylrecord.Cancel:
		return append(events, c.applyCancel(offset, body)...)
	default:
		return events
	}
}

// Confirm records that a read has succeeded, after its records were applied; see
// [berylterm.Term.Confirm].
func (c *Catalog) Confirm(began time.Time, upto int64, caughtUp bool) {
	c.upto = max(c.upto, upto)
	c.Term.Confirm(began, upto, caughtUp)
}

func (c *Catalog) leaderChanged() Event {
	return LeaderChanged{Term: c.Number, Leader: c.Leader, Addr: c.Addr, HandedOver: c.HandedOver}
}

func (c *Catalog) applyCancel(offset int64, body berylrecord.Cancel) []Event {
	j := c.jobs[body.Job]
	switch {
	case j == nil:
		if len(c.orphanCancels) < _maxOrphanCancels {
			c.orphanCancels[body.Job] = orphanCancel{by: body.By, offset: offset}
		}
		return nil
	case j.state.Phase.Ended() || j.cancelRequested:
		return nil
	}
	next := *j
	next.cancelRequested = true
	c.put(body.Job, &next)
	return []Event{JobCancelRequested(body)}
}

// Find returns the state of a job.
func (c *Catalog) Find(id string) (beryljob.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return beryljob.State{}, false
	}
	return j.state, true
}

// FindKey returns the state of the job with an idempotency key of a client
// account.
func (c *Catalog) FindKey(account, key string) (beryljob.State, bool) {
	id, ok := c.keys[jobKey{account: account, key: key}]
	if !ok || key == "" {
		return beryljob.State{}, false
	}
	return c.Find(id)
}

// All returns the states of all jobs, ordered by id.
func (c *Catalog) All() []beryljob.State {
	states := make([]beryljob.State, 0, len(c.jobs))
	for _, j := range c.jobs {
		states = append(states, j.state)
	}
	slices.SortFunc(states, func(a, b beryljob.State) int { return cmp.Compare(a.ID, b.ID) })
	return states
}

// CancelRequested returns the ids of the jobs that have not ended and whose
// cancellation was requested. A new leader cancels them.
func (c *Catalog) CancelRequested() []string {
	var ids []string
	for _, id := range c.sortedIDs() {
		if j := c.jobs[id]; j.cancelRequested && !j.state.Phase.Ended() {
			ids = append(ids, id)
		}
	}
	return ids
}

// DueForRefresh returns up to limit states that the leader should append again. It
// returns jobs that have not ended if their record is from an earlier term or
// was read at least age ago, and ended jobs if readers that had read more of the
// log may have rejected their record. The age is well below the log's retention.
func (c *Catalog) DueForRefresh(now time.Time, age time.Duration, limit int) []beryljob.State {
	var due []*job
	for _, j := range c.jobs {
		if c.needsRefresh(now, age, j) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int { return cmp.Compare(a.offset, b.offset) })
	states := make([]beryljob.State, 0, min(limit, len(due)))
	for _, j := range due[:min(limit, len(due))] {
		states = append(states, j.state)
	}
	return states
}

func (c *Catalog) needsRefresh(now time.Time, age time.Duration, j *job) bool {
	earlier := j.term != 0 && j.term != c.Number
	if j.state.Phase.Ended() {
		return earlier && j.uncertain && !j.maybeRepeated
	}
	return earlier || now.Sub(j.readAt) >= age
}
