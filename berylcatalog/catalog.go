// Package berylcatalog keeps the state of stream control: who leads and all
// jobs.
//
// A [Catalog] applies records in offset order and returns what changed as
// [Event] values. It embeds the leadership, whose reads it shares: for each read
// of the stream the owner calls [Catalog.Truncate], then [Catalog.Apply] for each
// record, then Confirm. The file job.go has the rules for job states, undo.go
// those for a reader that starts behind retention.
//
// The leader writes the states that [Catalog.Refresh] returns again, so that
// each job that has not ended keeps a record in the log.
package berylcatalog

import (
	"cmp"
	"slices"
	"time"

	"berylglade/beryljob"
	"berylglade/berylrecord"
	"berylglade/berylterm"
)

// _maxOrphans bounds the cancellations of jobs that are not known.
const _maxOrphans = 1 << 12

// Event is LeaderChanged, JobChanged, JobDropped or JobCancelled.
type Event interface {
	isEvent()
}

// LeaderChanged says that the term, the leader or its handover changed. By is
// empty if the leader is not known.
type LeaderChanged struct {
	Term   int64
	Leader     string
	Addr   string
	HandedOver bool
}

// JobChanged carries the new valid state of a job.
type JobChanged struct {
	State beryljob.State
}

// JobDropped says that a job is not known any more: its last state proved to be
// void, or the reader fell behind retention. If the job has not ended, the
// leader's next record of it makes it known again.
type JobDropped struct {
	Job string
}

// JobCancelRequested says that someone asked to end a job that has not ended.
type JobCancelRequested struct {
	Job string
	By  string
}

func (LeaderChanged) isEvent() {}
func (JobChanged) isEvent()    {}
func (JobDropped) isEvent()    {}
func (JobCancelRequested) isEvent()  {}

// Catalog is the state of stream control. The zero value has read nothing.
type Catalog struct {
	berylterm.Term

	jobs map[string]*job
	// keys has the job of each idempotency key.
	keys map[jobKey]string
	// ended are the jobs that have ended, in the order of their last records.
	ended []endedJob
	// orphans are cancellations of jobs that are not known, as a reader behind
	// retention may read them before the job's next record.
	orphans map[string]orphan
	// undo has, for each undecided claim, the jobs that changed after it.
	undo map[int64]map[string]*job
	// upto is the last applied offset, first the log's first kept one.
	upto  int64
	first int64
}

// job is a known job. Values are replaced and never changed, so undo can keep
// them.
type job struct {
	state beryljob.State
	// offset and term are those of the record of the state.
	offset int64
	term   int64
	// read is when the record was read.
	read time.Time
	// submitted is the state at submission if it was read.
	submitted *beryljob.State
	// unsure is set if the term was not known for sure at the record.
	unsure bool
	// loose is set if the record may be a repetition from before the first
	// kept offset.
	loose bool
	// cancelled is set if a cancellation was read.
	cancelled bool
}

type jobKey struct {
	account, key string
}

type endedJob struct {
	id     string
	offset int64
}

type orphan struct {
	by     string
	offset int64
}

func (c *Catalog) init() {
	if c.jobs != nil {
		return
	}
	c.jobs = map[string]*job{}
	c.keys = map[jobKey]string{}
	c.orphans = map[string]orphan{}
	c.undo = map[int64]map[string]*job{}
}

// Truncate tells the first offset that the log keeps, before the records of the same
// read are applied. It forgets ended jobs whose records were dropped, and all
// jobs if records were dropped that had not been read.
func (c *Catalog) Truncate(first int64) []Event {
	c.init()
	var events []Event
	behind := first > c.upto+1
	if c.Term.Truncate(first) {
		events = append(events, c.leaderChanged())
	}
	c.first = max(c.first, first)
	for len(c.ended) > 0 && c.ended[0].offset < first {
		c.forgetEnded(c.ended[0])
		c.ended = c.ended[1:]
	}
	for id, o := range c.orphans {
		if o.offset < first {
			delete(c.orphans, id)
		}
	}
	if behind {
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

// reset drops every job. What has not ended has a newer record.
func (c *Catalog) reset() []Event {
	events := make([]Event, 0, len(c.jobs))
	for _, id := range c.ids() {
		c.remove(id)
		events = append(events, JobDropped{Job: id})
	}
	c.ended = nil
	clear(c.undo)
	return events
}

func (c *Catalog) ids() []string {
	ids := make([]string, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Apply applies the record at an offset and returns what it changed. Offsets
// grow from call to call; an offset that was applied before has no effect.
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
		events = append(events, c.void(*out.VoidAfter)...)
	}
	c.pruneUndo(now)
	if out.Pending {
		c.undo[offset] = map[string]*job{}
	}
	switch body := r.Body.(type) {
	case berylrecord.JobState:
		return append(events, c.applyJob(now, offset, r.Base, body, out.Valid)...)
	case berylrecord.Cancel:
		return append(events, c.cancel(offset, body)...)
	default:
		return events
	}
}

// Confirm tells that a read has succeeded, after its records were applied; see
// [berylterm.Term.Confirm].
func (c *Catalog) Confirm(began time.Time, upto int64, caughtUp bool) {
	c.upto = max(c.upto, upto)
	c.Term.Confirm(began, upto, caughtUp)
}

func (c *Catalog) leaderChanged() Event {
	return LeaderChanged{Term: c.Number, Leader: c.Leader, Addr: c.Addr, HandedOver: c.HandedOver}
}

func (c *Catalog) cancel(offset int64, body berylrecord.Cancel) []Event {
	j := c.jobs[body.Job]
	switch {
	case j == nil:
		if len(c.orphans) < _maxOrphans {
			c.orphans[body.Job] = orphan{by: body.By, offset: offset}
		}
		return nil
	case j.state.Phase.Ended() || j.cancelled:
		return nil
	}
	next := *j
	next.cancelled = true
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

// FindKey returns the job with a client account's idempotency key.
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

// CancelRequested returns the ids of the jobs that have not ended and that someone
// asked to end, for a new leader.
func (c *Catalog) CancelRequested() []string {
	var ids []string
	for _, id := range c.ids() {
		if j := c.jobs[id]; j.cancelled && !j.state.Phase.Ended() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Refresh returns up to limit states that the leader should write again: those
// of jobs that have not ended, if their record is from an earlier term or was
// read longer than age ago, and of ended ones if their record may have been void
// in the view of readers that know more. The age is well below the log's
// retention.
func (c *Catalog) Refresh(now time.Time, age time.Duration, limit int) []beryljob.State {
	var due []*job
	for _, j := range c.jobs {
		if c.due(now, age, j) {
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

func (c *Catalog) due(now time.Time, age time.Duration, j *job) bool {
	earlier := j.term != 0 && j.term != c.Number
	if j.state.Phase.Ended() {
		return earlier && j.unsure && !j.loose
	}
	return earlier || now.Sub(j.read) >= age
}
