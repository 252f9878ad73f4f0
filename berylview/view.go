// Package berylview has what an entry knows when it answers a client: the jobs
// and the desired state, each with the time at which it was confirmed.
package berylview

import (
	"sync"
	"time"

	"berylglade/berylbook"
	"berylglade/berylpolicy"
	"berylglade/berylstore"
)

// View is safe for concurrent use. The zero value knows nothing.
type View struct {
	mu       sync.Mutex
	book     berylbook.Book
	bookAt   time.Time
	policy   *berylpolicy.Policy
	policyAt time.Time
	// reached is when the topic of the jobs was read last, missed when a read
	// failed first since then; zero if none did.
	reached, missed time.Time
}

// Job is what is known of one job.
type Job struct {
	Known   bool
	State   berylbook.State
	Account string
	Queue   string
	// At is when it was last confirmed that nothing newer exists.
	At time.Time
}

// Load replaces the jobs.
func (v *View) Load(records []berylstore.Record, sent time.Time) {
	var book berylbook.Book
	for _, r := range records {
		book.Apply(r)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book = book
	v.bookAt = sent
}

// Apply folds records in.
func (v *View) Apply(records []berylstore.Record, sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		v.book.Apply(r)
	}
	v.bookAt = sent
}

// RecordRead tells whether a read of the topic of the jobs has succeeded now.
func (v *View) RecordRead(now time.Time, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case ok:
		v.reached, v.missed = now, time.Time{}
	case v.missed.IsZero():
		v.missed = now
	}
}

// ReadsFailing returns for how long the topic of the jobs could not be read; zero while
// reads succeed.
func (v *View) ReadsFailing(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !v.missed.IsZero():
		return now.Sub(v.missed)
	case now.Sub(v.reached) > _readDue:
		return now.Sub(v.reached)
	default:
		return 0
	}
}

// _readDue is above the time for which a read waits for a record, 0.8 s, and that
// of a slow store, a quarter of a second.
const _readDue = 1200 * time.Millisecond

// SetPolicy replaces the desired state, which was confirmed at sent.
func (v *View) SetPolicy(p *berylpolicy.Policy, sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.policyAt = sent
	if p != nil {
		v.policy = p
	}
}

// Policy returns the desired state, nil if there is none, and when it was
// confirmed.
func (v *View) Policy() (*berylpolicy.Policy, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.policy, v.policyAt
}

// Job returns what is known of a job.
func (v *View) Job(id string) Job {
	v.mu.Lock()
	defer v.mu.Unlock()
	j := v.book.Jobs[id]
	if j == nil {
		return Job{At: v.bookAt}
	}
	return Job{Known: true, State: j.ClientState(), Account: j.Work.Account, Queue: j.Work.Queue, At: v.bookAt}
}

// Waiting returns how many jobs of a queue have not begun.
func (v *View) Waiting(queue string) (int, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Waiting(queue), v.bookAt
}

// Claim returns the newest claim to lead.
func (v *View) Claim() berylbook.Claim {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Claim
}
