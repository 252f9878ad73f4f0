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

// State is what a client sees of a job.
type State uint8

const (
	// Pending means that no task has started.
	Pending State = iota
	// Running means that a task has started.
	Running
	// Completed means that every task has ended as done.
	Completed
	// Failed means that a task has failed too often.
	Failed
	// Cancelled means that the client cancelled the job before its end.
	Cancelled
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Completed }

// String returns the state as logs show it.
func (s State) String() string {
	return [...]string{"pending", "running", "completed", "failed", "cancelled"}[min(s, Cancelled)]
}

// Phase is what is known of the newest run of a task.
type Phase uint8

const (
	// Idle means that no run exists anywhere.
	Idle Phase = iota
	// Ordered means that a start was recorded and may have been carried out.
	Ordered
	// Working means that the backend server has listed the run.
	Working
	// Stopping means that the run is to be stopped and may still exist.
	Stopping
	// Done means that the task has ended as done.
	Done
)

// Active reports whether a run may exist.
func (p Phase) Active() bool { return p == Ordered || p == Working || p == Stopping }

// Place names one life of a backend server.
type Place struct {
	// Node is the VM's name; empty if there is none.
	Node string `cbor:"n,omitempty"`
	// Instance is the name that the backend server gave itself.
	Instance string `cbor:"i,omitempty"`
	// Born tells lives with the same name apart.
	Born int64 `cbor:"b,omitempty"`
}

// Task is the progress of one task.
type Task struct {
	// Run is the number of the newest run; zero before the first one. It never
	// falls.
	Run   int   `cbor:"r,omitempty"`
	Phase Phase `cbor:"p,omitempty"`
	// Place is where the newest run was ordered; kept after its end.
	Place Place `cbor:"w,omitempty"`
	// Failures counts the runs that ended as failed.
	Failures int `cbor:"f,omitempty"`
	// Faulted is the newest run that was counted in Failures. The members of a
	// gang fail together and are counted once for each run.
	Faulted int `cbor:"d,omitempty"`
	// Saved is the newest checkpoint; empty if there is none.
	Saved string `cbor:"c,omitempty"`
	// Since is when the newest run was ordered, in Unix milliseconds.
	Since int64 `cbor:"t,omitempty"`
}

// Job is a job and its progress.
type Job struct {
	Work *berylwork.Work
	// State is never final while a task may still be given a new run.
	State State
	// Cancelled is when the cancel was taken, in Unix milliseconds; zero if it
	// was not.
	Cancelled int64
	// Ended is when State became final, in Unix milliseconds.
	Ended int64
	// Tasks is indexed by occurrence, step and index.
	Tasks [][][]Task

	// quiet is true once the job is final and none of its runs may exist.
	quiet bool
}

// Book is the state of all jobs. The zero value is empty.
type Book struct {
	Jobs map[string]*Job
	// Claim is the newest claim to lead.
	Claim Claim
	// Broken counts records that could not be decoded.
	Broken int

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

// Submission records an accepted job.
type Submission struct {
	Work berylwork.Work `cbor:"w"`
}

// Cancel records that a client cancelled a job.
type Cancel struct {
	At int64 `cbor:"a"`
}

// Progress records the whole progress of one job.
type Progress struct {
	// Epoch is that of the leader that wrote it.
	Epoch int64      `cbor:"e"`
	State State      `cbor:"s,omitempty"`
	Ended int64      `cbor:"n,omitempty"`
	Tasks [][][]Task `cbor:"t,omitempty"`
}

// Claim records who leads. A higher epoch replaces a lower one.
type Claim struct {
	Epoch int64  `cbor:"e"`
	Node  string `cbor:"n"`
	// Boot tells processes on the same VM apart.
	Boot int64 `cbor:"b"`
	// Addr takes messages of our own processes.
	Addr string `cbor:"a"`
	// Resigned means that the leader has stopped leading.
	Resigned bool `cbor:"x,omitempty"`
}

// Record returns the record of a submission.
func (s *Submission) Record() (berylstore.Record, error) { return record(_submission+s.Work.ID, s) }

// Record returns the record of a cancel of the given job.
func (c *Cancel) Record(id string) (berylstore.Record, error) { return record(_cancel+id, c) }

// Record returns the record of the claim.
func (c *Claim) Record() (berylstore.Record, error) { return record(_leader, c) }

// Record returns the record of the job's progress, written under epoch.
func (j *Job) Record(epoch int64) (berylstore.Record, error) {
	p := Progress{Epoch: epoch, State: j.State, Ended: j.Ended}
	if !j.State.Final() || j.Active() {
		p.Tasks = j.Tasks
	}
	return record(_progress+j.Work.ID, &p)
}

// Removal returns the records that remove a job.
func Removal(id string) []berylstore.Record {
	return []berylstore.Record{{Key: _submission + id}, {Key: _cancel + id}, {Key: _progress + id}}
}

func record(key string, v any) (berylstore.Record, error) {
	value, err := cbor.Marshal(v)
	return berylstore.Record{Key: key, Value: value}, err
}

// IsProgress reports whether r is a record of a job's progress.
func IsProgress(r berylstore.Record) bool { return strings.HasPrefix(r.Key, _progress) }

// IsClaim reports whether r is a record of a claim.
func IsClaim(r berylstore.Record) bool { return r.Key == _leader }

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
		b.Broken++
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

// NewJob returns a job without progress.
func NewJob(w *berylwork.Work) *Job {
	j := &Job{Work: w, Tasks: make([][][]Task, w.Occurrences())}
	for k := range j.Tasks {
		j.Tasks[k] = make([][]Task, len(w.Steps))
		for s := range w.Steps {
			j.Tasks[k][s] = make([]Task, w.Steps[s].Count)
		}
	}
	return j
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
	if j.Cancelled != 0 {
		return ""
	}
	j.cancel(c.At)
	return id
}

func (j *Job) cancel(at int64) {
	if at == 0 || j.Cancelled != 0 || j.State.Final() {
		return
	}
	j.Cancelled = at
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

func (j *Job) adopt(p *Progress) {
	if p == nil {
		return
	}
	j.State = p.State
	j.Ended = p.Ended
	if p.Tasks != nil {
		j.Tasks = p.Tasks
	}
	if p.Tasks == nil && p.State.Final() {
		j.settle()
	}
}

// settle marks that no run of a final job is left.
func (j *Job) settle() {
	j.Each(func(_ berylwork.Ref, t *Task) {
		if t.Phase.Active() {
			t.Phase = Idle
		}
	})
}

// Each calls f for every task.
func (j *Job) Each(f func(ref berylwork.Ref, t *Task)) {
	for k := range j.Tasks {
		for s := range j.Tasks[k] {
			for i := range j.Tasks[k][s] {
				f(berylwork.Ref{Job: j.Work.ID, Occurrence: k, Step: s, Index: i}, &j.Tasks[k][s][i])
			}
		}
	}
}

// Active reports whether a run of the job may exist.
func (j *Job) Active() bool {
	for _, steps := range j.Tasks {
		for _, tasks := range steps {
			for i := range tasks {
				if tasks[i].Phase.Active() {
					return true
				}
			}
		}
	}
	return false
}

// Quiet reports whether nothing about the job changes any more.
func (j *Job) Quiet() bool {
	if !j.quiet {
		j.quiet = j.State.Final() && !j.Active()
	}
	return j.quiet
}

// Begun reports whether a task of the job was ever ordered.
func (j *Job) Begun() bool {
	for _, steps := range j.Tasks {
		for _, tasks := range steps {
			for i := range tasks {
				if tasks[i].Run > 0 {
					return true
				}
			}
		}
	}
	return false
}

// Shown returns the state as a client sees it.
func (j *Job) Shown() State {
	if j.State.Final() {
		return j.State
	}
	if j.Cancelled != 0 {
		return Cancelled
	}
	if j.Begun() {
		return Running
	}
	return Pending
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

// Finished reports whether all tasks of a step have ended as done.
func (j *Job) Finished(occurrence, step int) bool {
	for i := range j.Tasks[occurrence][step] {
		if j.Tasks[occurrence][step][i].Phase != Done {
			return false
		}
	}
	return true
}

// Complete reports whether every task has ended as done.
func (j *Job) Complete() bool {
	for k := range j.Tasks {
		for s := range j.Tasks[k] {
			if !j.Finished(k, s) {
				return false
			}
		}
	}
	return true
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
		if j.Work.Queue == queue && j.Work.Times == 0 && j.Shown() == Pending {
			n++
		}
	}
	return n
}
