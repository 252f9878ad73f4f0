package berylintake

import (
	"context"
	"time"

	"berylglade/berylload"
	"berylglade/beryloutlook"
)

// admission is what an entry remembers of the submissions that it has answered. It is not
// safe for concurrent use.
type admission struct {
	// unknown has the jobs with a submission of unknown outcome, and since when.
	unknown map[string]time.Time
	// returnsAt is when the room is free for the next client that is told to return.
	returnsAt time.Time
	// submitted has the jobs that this entry has sent to the store and may not have read
	// yet.
	submitted map[string]submission
}

// submission is what counts of a job that was sent to the store.
type submission struct {
	account string
	load    int
	at      time.Time
}

// reserve notes that a job is sent to the store, unless the load doesn't allow it. The load
// is that of the jobs that were read; known reports whether a job is among them.
func (a *admission) reserve(now time.Time, id string, s submission, read berylload.Load, known func(id string) bool) bool {
	for other, t := range a.submitted {
		switch {
		case known(other) || now.Sub(t.at) > _unknownTTL:
			delete(a.submitted, other)
		case other == id:
		case t.account == s.account:
			read.Account += t.load
		default:
			read.Others += t.load
		}
	}
	if !read.Allows(s.load) {
		return false
	}
	if a.submitted == nil {
		a.submitted = map[string]submission{}
	}
	s.at = now
	a.submitted[id] = s
	return true
}

// noteUnknown notes that the submission of a job may have been recorded.
func (a *admission) noteUnknown(now time.Time, job string) {
	if a.unknown == nil {
		a.unknown = map[string]time.Time{}
	}
	for id, at := range a.unknown {
		if now.Sub(at) > _unknownTTL {
			delete(a.unknown, id)
		}
	}
	a.unknown[job] = now
}

// mayReject reports whether a submission of the job can be called not run: no earlier one
// may have been recorded unnoticed.
func (a *admission) mayReject(now time.Time, job string) bool {
	at, ok := a.unknown[job]
	return len(a.unknown) < _maxUnknown && (!ok || now.Sub(at) > _unknownTTL)
}

// returnAfter returns when the client of a rejected job should return. Each of them gets the
// time in which the entry's share of the room is free for its job, so that they return one
// after the other.
func (a *admission) returnAfter(now time.Time, r *beryloutlook.Rejection, entries int) time.Duration {
	at := now.Add(max(r.Wait, _retryAfter))
	if a.returnsAt.After(at) {
		at = a.returnsAt
	}
	a.returnsAt = at.Add(min(r.Room*time.Duration(max(entries, 1)), _maxSpread))
	if limit := now.Add(_maxSpread); a.returnsAt.After(limit) {
		a.returnsAt = limit
	}
	return at.Sub(now)
}

// checkLoad returns a rejection if the load makes the submitted job useless, as far as the
// leader's summary tells, and no submission of it has been or may have been recorded. It
// reads the jobs' topic first, so that a job that another entry has accepted is known.
func (i *Intake) checkLoad(ctx context.Context, now time.Time, r Request, f *Facts) *beryloutlook.Rejection {
	if i.Outlook == nil || f.Job.Known || storeUnreachable(*f) || f.AppendsFailing > 0 {
		return nil
	}
	o, age := i.Outlook(now)
	policy, _ := i.View.Policy()
	if o == nil || policy == nil {
		return nil
	}
	rejection := o.Check(age, beryloutlook.Request{Work: r.Work, Queue: r.Queue, Account: r.Account, Guaranteed: policy.Guaranteed(r.Account)})
	if rejection == nil || !i.rejectable(now, r.ID) {
		return nil
	}
	confirmed := i.confirm(ctx, now)
	f.Job = i.View.Job(r.ID)
	if !confirmed || f.Job.Known {
		return nil
	}
	i.Log.Info("reject", "job", r.ID, "queue", r.Queue.Name, "priority", r.Queue.Priority, "account", r.Account,
		"why", rejection.Reason, "wait", rejection.Wait.Milliseconds(), "room", rejection.Room.Milliseconds(),
		"epoch", o.Epoch, "age", age.Milliseconds())
	if i.CountDecision != nil {
		i.CountDecision("reject")
	}
	return rejection
}

// exhausted reports whether the load doesn't allow the submitted job, and no submission of
// it has been or may have been recorded. Otherwise it notes that the job is sent to the store.
func (i *Intake) exhausted(ctx context.Context, now time.Time, r Request) bool {
	s := submission{account: r.Account, load: r.Work.Load()}
	i.mu.Lock()
	ok := i.admission.reserve(now, r.ID, s, i.View.Load(r.Account), func(id string) bool { return i.View.Job(id).Known })
	i.mu.Unlock()
	if ok || !i.rejectable(now, r.ID) || !i.confirm(ctx, now) || i.View.Job(r.ID).Known {
		return false
	}
	i.Log.Info("reject", "job", r.ID, "queue", r.Queue.Name, "account", r.Account, "why", "load", "load", s.load)
	if i.CountDecision != nil {
		i.CountDecision("reject")
	}
	return true
}

// forget notes that a job was not recorded.
func (i *Intake) forget(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.admission.submitted, id)
}

func (i *Intake) rejectable(now time.Time, job string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.admission.mayReject(now, job)
}

// returnAfter returns when the client of a rejected job should return.
func (i *Intake) returnAfter(now time.Time, r *beryloutlook.Rejection) time.Duration {
	entries := 1
	if i.Entries != nil {
		entries = i.Entries()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.admission.returnAfter(now, r, entries)
}

// noteOutcome notes a submission that may have been recorded.
func (i *Intake) noteOutcome(now time.Time, r Request, unknown bool) {
	if r.Verb != Submit || !unknown {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.admission.noteUnknown(now, r.ID)
}

const (
	// _unknownTTL is how long a job whose submission had no outcome is not rejected:
	// longer than clients retry, and than the store may carry out an append late.
	_unknownTTL = time.Minute
	// _maxUnknown is the number of such jobs from which nothing is rejected.
	_maxUnknown = 4096
	// _maxSpread bounds the time over which rejected clients return.
	_maxSpread = time.Minute
)
