// Package berylview has the state from which an entry on the users' platform
// (berylgateway) answers clients: the jobs and the desired state, each with the time at
// which it was confirmed.
package berylview

import (
	"context"
	"sync"
	"time"

	"berylglade/berylbook"
	"berylglade/berylload"
	"berylglade/berylpolicy"
	"berylglade/berylstore"
)

// View is safe for concurrent use. The zero value is empty.
type View struct {
	mu sync.Mutex
	// book has no tasks, as clients don't ask for them.
	book     berylbook.Book
	bookAt   time.Time
	policy   *berylpolicy.Policy
	policyAt time.Time
	// lastRead is the time of the last successful read of the jobs' topic.
	// firstFailure is the time of the first failed read since then; zero if there
	// is none.
	lastRead, firstFailure time.Time
	// confirmed is closed when bookAt changes; nil while nobody waits for it.
	confirmed chan struct{}
}

// Job is the known state of one job.
type Job struct {
	Known   bool
	State   berylbook.State
	Account string
	Queue   string
	// At is when the jobs were last confirmed to be current.
	At time.Time
}

// Replace replaces all jobs with those of the given records. asOf is the time at
// which the records were confirmed to be current.
func (v *View) Replace(records []berylstore.Record, asOf time.Time) {
	book := berylbook.Book{Summary: true}
	for _, r := range records {
		book.Apply(r)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book = book
	v.confirm(asOf)
}

// Apply applies records that were appended since the last Replace or Apply. asOf is
// the time at which no newer record was known to exist.
func (v *View) Apply(records []berylstore.Record, asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book.Summary = true
	for _, r := range records {
		v.book.Apply(r)
	}
	v.confirm(asOf)
}

// confirm sets the time at which the jobs were confirmed. The caller holds mu.
func (v *View) confirm(asOf time.Time) {
	v.bookAt = asOf
	if v.confirmed != nil {
		close(v.confirmed)
		v.confirmed = nil
	}
}

// Await waits until the jobs are confirmed to be current as of a time after t. It
// returns false if ctx ends before.
func (v *View) Await(ctx context.Context, t time.Time) bool {
	for {
		changed := v.nextConfirm(t)
		if changed == nil {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// nextConfirm returns nil if the jobs are current as of a time after t, and otherwise a
// channel that is closed when they are confirmed again.
func (v *View) nextConfirm(t time.Time) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.bookAt.After(t) {
		return nil
	}
	if v.confirmed == nil {
		v.confirmed = make(chan struct{})
	}
	return v.confirmed
}

// RecordRead records whether a read of the jobs' topic succeeded.
func (v *View) RecordRead(now time.Time, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case ok:
		v.lastRead, v.firstFailure = now, time.Time{}
	case v.firstFailure.IsZero():
		v.firstFailure = now
	}
}

// ReadsFailing returns for how long reads of the jobs' topic have failed; zero
// while they succeed.
func (v *View) ReadsFailing(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !v.firstFailure.IsZero():
		return now.Sub(v.firstFailure)
	case now.Sub(v.lastRead) > _maxReadGap:
		return now.Sub(v.lastRead)
	default:
		return 0
	}
}

// _maxReadGap is above the time for which a read waits for a record, 0.8 s,
// plus that of a slow store, a quarter of a second.
const _maxReadGap = 1200 * time.Millisecond

// SetPolicy replaces the desired state, which was confirmed at asOf. A nil
// policy only confirms the current one. A lower version than the current one
// changes nothing, as it may come from the store after a peer's higher one.
func (v *View) SetPolicy(p *berylpolicy.Policy, asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p != nil && v.policy != nil && p.Version < v.policy.Version {
		return
	}
	if asOf.After(v.policyAt) {
		v.policyAt = asOf
	}
	if p != nil {
		v.policy = p
	}
}

// Policy returns the desired state, or nil if there is none, and when it was
// confirmed.
func (v *View) Policy() (*berylpolicy.Policy, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.policy, v.policyAt
}

// Job returns the known state of a job.
func (v *View) Job(id string) Job {
	v.mu.Lock()
	defer v.mu.Unlock()
	j := v.book.Jobs[id]
	if j == nil {
		return Job{At: v.bookAt}
	}
	return Job{Known: true, State: j.ClientState(), Account: j.Work.Account, Queue: j.Work.Queue, At: v.bookAt}
}

// Waiting returns how many jobs of a queue have not started, and when the jobs
// were confirmed.
func (v *View) Waiting(queue string) (int, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Waiting(queue), v.bookAt
}

// Load returns the load of the jobs that have not ended, as seen by one client account.
func (v *View) Load(account string) berylload.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Load(account)
}

// Claim returns the newest claim to leadership.
func (v *View) Claim() berylbook.Claim {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Claim
}
