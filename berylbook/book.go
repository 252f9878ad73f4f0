// Package berylbook is the state of all jobs, folded from the records of one
// keyed topic of the platform's store.
//
// Entries append [Submission] and [Cancel] records. The one leader appends
// [Progress] records, each with the whole progress of a job, and [Claim]
// records. Every entry folds the same records with [Book.Apply] and so comes to
// the same state. A process that starts reads the newest record of each key
// first, which has the same outcome as reading all of them.
package berylbook

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"berylglade/berylstore"
	"berylglade/berylwork"
)

// Prefixes of the keys of the topic.
const (
	_submission = "j/"
	_cancel     = "c/"
	_progress   = "s/"
	_leader     = "leader"
)

// Book is the state of all jobs. The zero value is empty.
type Book struct {
	Jobs map[string]*Job
	// Claim is the newest claim to lead.
	Claim Claim
	// Undecodable counts records that could not be decoded.
	Undecodable int

	// order has the jobs sorted; moved is true when it has to be made again.
	order []*Job
	moved bool
	// early holds progress and cancels whose submission is not known yet; pages
	// of the newest records come in the order of keys.
	early map[string]*pending
}

type pending struct {
	cancel   int64
	progress *Progress
}

// Apply folds one record in. It returns the id of the job that changed, if any.
func (b *Book) Apply(r berylstore.Record) string {
	if b.Jobs == nil {
		b.Jobs = map[string]*Job{}
		b.early = map[string]*pending{}
	}
	switch {
	case r.Key == _leader:
		b.applyClaim(r)
	case strings.HasPrefix(r.Key, _submission):
		return b.applySubmission(r)
	case strings.HasPrefix(r.Key, _cancel):
		return b.applyCancel(r)
	case strings.HasPrefix(r.Key, _progress):
		return b.applyProgress(r)
	}
	return ""
}

func (b *Book) decode(r berylstore.Record, v any) bool {
	if err := cbor.Unmarshal(r.Value, v); err != nil {
		b.Undecodable++
		return false
	}
	return true
}

func (b *Book) applyClaim(r berylstore.Record) {
	var c Claim
	if len(r.Value) == 0 || !b.decode(r, &c) || c.Epoch < b.Claim.Epoch {
		return
	}
	b.Claim = c
}

func (b *Book) applySubmission(r berylstore.Record) string {
	id := strings.TrimPrefix(r.Key, _submission)
	if len(r.Value) == 0 {
		delete(b.Jobs, id)
		b.moved = true
		delete(b.early, id)
		return id
	}
	if b.Jobs[id] != nil {
		return ""
	}
	var s Submission
	if !b.decode(r, &s) {
		return ""
	}
	j := NewJob(&s.Work)
	b.Jobs[id] = j
	b.moved = true
	if e := b.early[id]; e != nil {
		delete(b.early, id)
		j.cancel(e.cancel)
		j.adopt(e.progress)
	}
	return id
}

func (b *Book) waitFor(id string) *pending {
	e := b.early[id]
	if e == nil {
		e = &pending{}
		b.early[id] = e
	}
	return e
}

func (b *Book) applyCancel(r berylstore.Record) string {
	id := strings.TrimPrefix(r.Key, _cancel)
	var c Cancel
	if len(r.Value) == 0 || !b.decode(r, &c) {
		return ""
	}
	j := b.Jobs[id]
	if j == nil {
		b.waitFor(id).cancel = c.At
		return ""
	}
	if j.CancelledAt != 0 {
		return ""
	}
	j.cancel(c.At)
	return id
}

func (b *Book) applyProgress(r berylstore.Record) string {
	id := strings.TrimPrefix(r.Key, _progress)
	var p Progress
	if len(r.Value) == 0 || !b.decode(r, &p) {
		return ""
	}
	j := b.Jobs[id]
	if j == nil {
		b.waitFor(id).progress = &p
		return ""
	}
	j.adopt(&p)
	return id
}

// Task returns a task by its name, or nil.
func (b *Book) Task(ref berylwork.Ref) (*Job, *Task) {
	j := b.Jobs[ref.Job]
	if j == nil || ref.Occurrence >= len(j.Tasks) || ref.Step >= len(j.Tasks[ref.Occurrence]) {
		return j, nil
	}
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	if ref.Index >= len(tasks) {
		return j, nil
	}
	return j, &tasks[ref.Index]
}

// Sorted returns the jobs in the order of their ids, so that decisions do not
// depend on the order of a map.
func (b *Book) Sorted() []*Job {
	if len(b.order) == len(b.Jobs) && !b.moved {
		return b.order
	}
	b.order = b.order[:0:0]
	for _, j := range b.Jobs {
		b.order = append(b.order, j)
	}
	slices.SortFunc(b.order, func(x, y *Job) int { return strings.Compare(x.Work.ID, y.Work.ID) })
	b.moved = false
	return b.order
}

// Waiting returns how many jobs of a queue, not counting scheduled ones, have
// not begun.
func (b *Book) Waiting(queue string) int {
	n := 0
	for _, j := range b.Jobs {
		if j.Work.Queue == queue && j.Work.Times == 0 && j.ClientState() == Pending {
			n++
		}
	}
	return n
}
