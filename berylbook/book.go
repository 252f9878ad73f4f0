// Package berylbook is the replicated state of all jobs, built from the records
// of one keyed topic in the platform's store.
//
// Entries append [Submission] and [Cancel] records, a large submission as several
// [Part] records. The leader appends [Progress] records, each with the state of one
// job, a record of each [Task] that changes, [Claim] records, and now and then a
// [RunTimes] record. Every entry applies the same records with [Book.Apply] and
// therefore reaches the same state. A process that starts first reads the newest
// record of each key, which gives the same result as reading the whole log.
package berylbook

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"berylglade/berylload"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// Key prefixes of the topic, and the key of the claim.
const (
	_submissionPrefix = "j/"
	_partPrefix       = "p/"
	_cancelPrefix     = "c/"
	_progressPrefix   = "s/"
	_taskPrefix       = "t/"
	_leaderKey        = "leader"
	_runTimesKey      = "e/run-times"
)

// Book is the state of all jobs. The zero value is empty.
type Book struct {
	// Summary makes the Book keep of each job only what a client may ask for: it has
	// neither steps nor tasks. It must not change.
	Summary bool
	Jobs    map[string]*Job
	// Claim is the newest claim to leadership.
	Claim Claim
	// RunTimes is the newest record of what a leader has learned about run times.
	RunTimes RunTimes
	// Undecodable counts records that could not be decoded.
	Undecodable int

	// sorted caches the jobs in the order of their ids; it is rebuilt if unsorted
	// is true.
	sorted   []*Job
	unsorted bool
	// deferred holds progress and cancels whose submission has not been read yet:
	// a page of newest records is in the order of keys, so they may arrive first.
	deferred map[string]*deferredUpdate
	// names has the names of VMs and instances in the tasks, which thousands share.
	names map[string]string
}

type deferredUpdate struct {
	cancel   int64
	progress *Progress
	tasks    map[berylwork.Ref]Task
	// parts are the parts of the submission so far, by index.
	parts map[int]Part
}

// Apply applies one record. It returns the id of the job that changed, or an
// empty string.
func (b *Book) Apply(r berylstore.Record) string {
	if b.Jobs == nil {
		b.Jobs = map[string]*Job{}
		b.deferred = map[string]*deferredUpdate{}
		b.names = map[string]string{}
	}
	switch {
	case r.Key == _leaderKey:
		b.applyClaim(r)
	case r.Key == _runTimesKey:
		b.applyRunTimes(r)
	case strings.HasPrefix(r.Key, _submissionPrefix):
		return b.applySubmission(r)
	case strings.HasPrefix(r.Key, _partPrefix):
		return b.applyPart(r)
	case strings.HasPrefix(r.Key, _cancelPrefix):
		return b.applyCancel(r)
	case strings.HasPrefix(r.Key, _progressPrefix):
		return b.applyProgress(r)
	case strings.HasPrefix(r.Key, _taskPrefix):
		return b.applyTask(r)
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

// applyRunTimes applies a record of learned run times. One that can't be decoded is as
// good as none.
func (b *Book) applyRunTimes(r berylstore.Record) {
	var t RunTimes
	if len(r.Value) > 0 && !b.decode(r, &t) {
		t = RunTimes{}
	}
	b.RunTimes = t
}

func (b *Book) applySubmission(r berylstore.Record) string {
	id := strings.TrimPrefix(r.Key, _submissionPrefix)
	if len(r.Value) == 0 {
		delete(b.Jobs, id)
		b.unsorted = true
		delete(b.deferred, id)
		return id
	}
	if b.Jobs[id] != nil {
		return ""
	}
	var s Submission
	if !b.decode(r, &s) {
		return ""
	}
	if s.Work.ID != id || s.Work.Validate() != nil {
		b.Undecodable++
		return ""
	}
	j := NewJob(&s.Work)
	j.Load, j.EndedLoad = s.Work.Load(), s.Work.EndedLoad()
	if b.Summary {
		j.summarize()
	}
	b.Jobs[id] = j
	b.unsorted = true
	if e := b.deferred[id]; e != nil {
		delete(b.deferred, id)
		j.cancel(e.cancel)
		for ref, t := range e.tasks {
			b.setTask(ref, t)
		}
		j.applyProgress(e.progress)
	}
	return id
}

// Conflicts reports whether r is the submission of a job whose id another client account
// uses. Such a record replaces that of the other job when the topic is read anew.
func (b *Book) Conflicts(r berylstore.Record) bool {
	id, ok := strings.CutPrefix(r.Key, _submissionPrefix)
	if !ok || b.Jobs[id] == nil {
		return false
	}
	var s Submission
	return b.decode(r, &s) && !b.Jobs[id].Work.Owner().Matches(s.Work.Owner())
}

func (b *Book) deferUpdate(id string) *deferredUpdate {
	e := b.deferred[id]
	if e == nil {
		e = &deferredUpdate{}
		b.deferred[id] = e
	}
	return e
}

func (b *Book) applyCancel(r berylstore.Record) string {
	id := strings.TrimPrefix(r.Key, _cancelPrefix)
	var c Cancel
	if len(r.Value) == 0 || !b.decode(r, &c) {
		return ""
	}
	j := b.Jobs[id]
	if j == nil {
		b.deferUpdate(id).cancel = c.At
		return ""
	}
	if j.CancelledAt != 0 {
		return ""
	}
	j.cancel(c.At)
	return id
}

func (b *Book) applyProgress(r berylstore.Record) string {
	id := strings.TrimPrefix(r.Key, _progressPrefix)
	var p Progress
	if len(r.Value) == 0 || !b.decode(r, &p) {
		return ""
	}
	j := b.Jobs[id]
	if j == nil {
		b.deferUpdate(id).progress = &p
		return ""
	}
	j.applyProgress(&p)
	return id
}

// applyTask applies the record of a task.
func (b *Book) applyTask(r berylstore.Record) string {
	ref, ok := berylwork.ParseRef(strings.TrimPrefix(r.Key, _taskPrefix))
	if ok && len(r.Value) == 0 {
		b.deleteTask(ref)
		return ""
	}
	var t Task
	if !ok || !b.decode(r, &t) {
		return ""
	}
	if b.Jobs[ref.Job] == nil {
		e := b.deferUpdate(ref.Job)
		if e.tasks == nil {
			e.tasks = map[berylwork.Ref]Task{}
		}
		e.tasks[ref] = t
		return ""
	}
	b.setTask(ref, t)
	return ref.Job
}

// deleteTask applies the deletion of a task's record. The Progress of its job, which
// precedes it, says that no run exists.
func (b *Book) deleteTask(ref berylwork.Ref) {
	if j := b.Jobs[ref.Job]; j != nil && !b.Summary && j.has(ref) && j.Quiescent() {
		j.Step(ref.Occurrence, ref.Step).clear(ref.Index)
	}
}

func (b *Book) setTask(ref berylwork.Ref, t Task) {
	j := b.Jobs[ref.Job]
	if b.Summary {
		j.started = j.started || t.started()
		return
	}
	if !j.has(ref) {
		b.Undecodable++
		return
	}
	t.Incarnation.Node = b.shared(t.Incarnation.Node)
	t.Incarnation.Instance = b.shared(t.Incarnation.Instance)
	*j.At(ref.Occurrence, ref.Step, ref.Index) = t
	j.quiescent = false
}

// shared returns the one copy of a name.
func (b *Book) shared(name string) string {
	if s, ok := b.names[name]; ok {
		return s
	}
	b.names[name] = name
	return name
}

// Task returns the task that ref names, which may be changed, and its job. Either is nil
// if it does not exist.
func (b *Book) Task(ref berylwork.Ref) (*Job, *Task) {
	j := b.Jobs[ref.Job]
	if j == nil || !j.has(ref) {
		return j, nil
	}
	return j, j.At(ref.Occurrence, ref.Step, ref.Index)
}

// Sorted returns the jobs ordered by id, so that decisions do not depend on the
// iteration order of a map.
func (b *Book) Sorted() []*Job {
	if len(b.sorted) == len(b.Jobs) && !b.unsorted {
		return b.sorted
	}
	b.sorted = b.sorted[:0:0]
	for _, j := range b.Jobs {
		b.sorted = append(b.sorted, j)
	}
	slices.SortFunc(b.sorted, func(x, y *Job) int { return strings.Compare(x.Work.ID, y.Work.ID) })
	b.unsorted = false
	return b.sorted
}

// Load returns the load of all jobs, as seen by one client account. A job that has ended is
// kept until it is removed, and a reader of the topic decodes its steps before it knows that
// the job has ended.
func (b *Book) Load(account string) berylload.Load {
	var l berylload.Load
	for _, j := range b.Jobs {
		n := j.Load
		if j.State.Final() {
			n = j.EndedLoad
		}
		if j.Work.Account == account {
			l.Account += n
		} else {
			l.Others += n
		}
	}
	return l
}

// Submitted returns the job that r submits; nil if it is known, or r is another record.
func (b *Book) Submitted(r berylstore.Record) *berylwork.Work {
	id, ok := strings.CutPrefix(r.Key, _submissionPrefix)
	var s Submission
	if !ok || b.Jobs[id] != nil || !b.decode(r, &s) {
		return nil
	}
	return &s.Work
}

// Waiting returns the number of jobs of a queue that have not started, not
// counting scheduled jobs.
func (b *Book) Waiting(queue string) int {
	n := 0
	for _, j := range b.Jobs {
		if j.Work.Queue == queue && j.Work.Times == 0 && j.ClientState() == Pending {
			n++
		}
	}
	return n
}
