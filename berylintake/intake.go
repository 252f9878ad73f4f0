// Package berylintake decides how a client's request is answered.
//
// [Decide] uses the desired state and the known jobs. It returns the final
// answer, or that a record must be stored first, or that another entry should
// answer. [Intake] carries out the decision.
package berylintake

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"berylglade/berylbook"
	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/beryloutlook"
	"berylglade/berylpolicy"
	"berylglade/berylproducer"
	"berylglade/berylstore"
	"berylglade/berylview"
	"berylglade/berylwork"
)

// Verb is the operation that a client requests.
type Verb uint8

const (
	// Submit submits a job.
	Submit Verb = iota + 1
	// State returns the state of a job.
	State
	// Cancel cancels a job.
	Cancel
	// Count returns the number of waiting jobs of a queue.
	Count
)

// String returns the name in logs and metrics.
func (v Verb) String() string {
	return [...]string{"none", "submit", "state", "cancel", "count"}[min(v, Count)]
}

// Request is a client's request. Its queue is already determined.
type Request struct {
	Verb Verb `cbor:"verb"`
	// ID is the job's id; empty for Count.
	ID    string            `cbor:"id"`
	Queue berylpolicy.Queue `cbor:"queue"`
	// Account is the client account of the key; empty on a public queue.
	Account string `cbor:"account"`
	// Work is the submitted job.
	Work *berylwork.Work `cbor:"work"`
}

// Reply is the answer. The zero Kind means success.
type Reply struct {
	Kind berylerror.Kind `cbor:"kind"`
	// Reason is a short explanation for logs and the client.
	Reason string `cbor:"why"`
	// State is the state of the job, for the verb State.
	State berylbook.State `cbor:"state"`
	// Waiting is the number of waiting jobs, for the verb Count.
	Waiting int `cbor:"waiting"`
	// RetryAfter is the time after which a rejected client should retry.
	RetryAfter time.Duration `cbor:"retry"`
}

// Decision is the result of Decide: an Answer, a Record or a Forward.
type Decision interface{ decision() }

// Answer is the final answer.
type Answer struct{ Reply }

// Record means that a record must be stored before the request succeeds.
type Record struct{}

// Forward means that the request is forwarded to another entry, which may reach
// the store.
type Forward struct{}

func (Answer) decision()  {}
func (Record) decision()  {}
func (Forward) decision() {}

// Facts are the input of a decision.
type Facts struct {
	Job berylview.Job
	// Confirmed is true if Job is as of a time after the arrival of the request.
	Confirmed bool
	// Waiting is the number of waiting jobs of the queue.
	Waiting int
	// Rejection is set if the load makes a submitted job useless, and the job is
	// confirmed not to be known. RetryAfter is when its client should return.
	Rejection  *beryloutlook.Rejection
	RetryAfter time.Duration
	// AppendsFailing is for how long appends to the store have failed, and
	// ReadsFailing for how long reads have.
	AppendsFailing, ReadsFailing time.Duration
	// CanForward is true if the request may be forwarded to another entry, and
	// Forwarded if another entry has forwarded it to this one.
	CanForward, Forwarded bool
}

// Decide decides on one request.
//
// An entry denies that a job exists only if it read the jobs after the request arrived:
// another entry may have accepted the job just before. Otherwise it forwards or rejects
// the request. While appends to the store fail, a request that needs
// one is rejected immediately, so that the client can try another entry. Since
// the store may be unreachable for this entry only, another entry is tried
// first.
func Decide(now time.Time, r Request, f Facts) Decision {
	if storeUnreachable(f) && !hasEnded(r, f) {
		switch {
		case f.Forwarded:
			// Two entries don't reach the store, so that the client would use up its
			// retries if it came back each second.
			a := reject("this entry cannot reach the store either")
			a.RetryAfter = retryAfter(max(f.ReadsFailing, f.AppendsFailing))
			return a
		case f.CanForward:
			return Forward{}
		}
	}
	fresh := berylclock.Age(now, f.Job.At) < _maxJobsAge
	owned := owns(r, f.Job)
	switch {
	case r.Verb == Count && !fresh:
		return reject("this entry has no current state of the jobs")
	case r.Verb == Count:
		return Answer{Reply{Waiting: f.Waiting}}
	case r.Verb == State && owned:
		return Answer{Reply{State: f.Job.State}}
	case r.Verb == Submit && !owned && r.Queue.Advised:
		// Starts on such a queue require tickets, which the system does not request;
		// the job would never start.
		return reject("queue requires advice tickets, which are not supported")
	case r.Verb == Submit && owned:
		return Answer{Reply{Reason: "job is already known"}}
	case r.Verb == Submit && f.Job.Known:
		return Answer{Reply{Kind: berylerror.Conflict, Reason: "another client account uses this job id"}}
	case r.Verb == Cancel && owned && f.Job.State.Final():
		return Answer{Reply{Reason: "job has already ended"}}
	case r.Verb != Submit && !owned && (f.Job.Known || f.Confirmed):
		return Answer{Reply{Kind: berylerror.Expired, Reason: "no such job"}}
	case r.Verb != Submit && !owned && f.CanForward:
		return Forward{}
	case r.Verb != Submit && !owned:
		return reject("this entry has no current state of the jobs")
	case f.AppendsFailing > _rejectAfter:
		return Answer{Reply{Kind: berylerror.NotRun, Reason: "store does not accept records", RetryAfter: retryAfter(f.AppendsFailing)}}
	case f.Rejection != nil:
		return Answer{Reply{Kind: berylerror.NotRun, Reason: f.Rejection.Reason, RetryAfter: f.RetryAfter}}
	default:
		return Record{}
	}
}

// storeUnreachable reports whether this entry seems not to reach the store.
func storeUnreachable(f Facts) bool {
	return f.ReadsFailing > _forwardAfterReads || f.AppendsFailing > _forwardAfterAppends
}

// hasEnded reports whether the request is about a job in a final state, so that
// stale jobs are sufficient to answer it.
func hasEnded(r Request, f Facts) bool {
	return f.Job.State.Final() && owns(r, f.Job)
}

// owns reports whether the client may see and cancel the job.
func owns(r Request, j berylview.Job) bool {
	job := berylwork.Owner{Account: j.Account, Queue: j.Queue}
	return j.Known && job.Matches(berylwork.Owner{Account: r.Account, Queue: r.Queue.Name})
}

func reject(reason string) Answer {
	return Answer{Reply{Kind: berylerror.NotRun, Reason: reason, RetryAfter: _retryAfter}}
}

// retryAfter returns when a client should retry during an outage of the store.
// It assumes that an outage lasts as long again as it has lasted, so that
// clients with few retries do not use them up.
func retryAfter(failing time.Duration) time.Duration {
	return min(max(failing, _retryAfter), _maxRetryAfter)
}

// Intake answers requests.
type Intake struct {
	View     *berylview.View
	Producer *berylproducer.Producer
	Clock    berylclock.Clock
	Log      *slog.Logger
	// Refresh requests a read of the jobs' topic, which ends in View.
	Refresh func()
	// Append appends a record to the jobs' topic. An error of kind NotRun means
	// that the record is not and will not be appended.
	Append func(ctx context.Context, r berylstore.Record) error
	// Forward forwards a request to another entry; nil if there is none. An error
	// of kind NotRun means that no entry has recorded anything.
	Forward func(ctx context.Context, r Request) (Reply, error)
	// Outlook returns the leader's newest summary of the load and its age; nil if there is
	// none.
	Outlook func(now time.Time) (*beryloutlook.Outlook, time.Duration)
	// Entries returns the number of entries.
	Entries func() int
	// CountDecision increments the counter of the decision with the given log message.
	CountDecision func(decision string)

	mu        sync.Mutex
	admission admission
}

// Serve answers one request, through another entry if this one does not reach
// the store. It returns when ctx ends at the latest.
func (i *Intake) Serve(ctx context.Context, r Request) Reply {
	now := i.Clock()
	if r.Work != nil {
		r.Work.Accepted = now.UnixMilli()
	}
	facts := i.facts(ctx, now, r)
	facts.CanForward = i.Forward != nil
	decision := Decide(now, r, facts)
	if _, ok := decision.(Forward); !ok {
		return i.execute(ctx, now, r, facts, decision)
	}
	reply, err := i.Forward(ctx, r)
	if err == nil {
		i.log(now, r, facts, reply, "peer")
		return reply
	}
	facts.CanForward = false
	reply = i.execute(ctx, now, r, facts, Decide(now, r, facts))
	if reply.Kind == berylerror.NotRun && berylerror.Of(err) != berylerror.NotRun {
		reply = Reply{Kind: berylerror.Unknown, Reason: "another entry did not answer: " + err.Error()}
	}
	i.noteOutcome(now, r, reply.Kind == berylerror.Unknown)
	return reply
}

// ServeForwarded answers a request that another entry has forwarded.
func (i *Intake) ServeForwarded(ctx context.Context, r Request) Reply {
	now := i.Clock()
	facts := i.facts(ctx, now, r)
	facts.Forwarded = true
	return i.execute(ctx, now, r, facts, Decide(now, r, facts))
}

func (i *Intake) execute(ctx context.Context, now time.Time, r Request, facts Facts, decision Decision) Reply {
	var reply Reply
	switch s := decision.(type) {
	case Answer:
		reply = s.Reply
	case Record:
		reply = i.record(ctx, now, r)
		i.noteOutcome(now, r, reply.Kind == berylerror.Unknown)
	}
	i.log(now, r, facts, reply, "here")
	return reply
}

// facts returns the input of the decision on a request that arrived at now. For a job
// that is not known it reads the topic first, unless the store seems not to answer this
// entry.
func (i *Intake) facts(ctx context.Context, now time.Time, r Request) Facts {
	f := Facts{Job: i.View.Job(r.ID), AppendsFailing: i.Producer.StalledFor(now), ReadsFailing: i.View.ReadsFailing(now)}
	if (r.Verb == State || r.Verb == Cancel) && !f.Job.Known && !storeUnreachable(f) {
		f.Confirmed = i.confirm(ctx, now)
		f.Job = i.View.Job(r.ID)
	}
	if r.Verb == Count {
		f.Waiting, f.Job.At = i.View.Waiting(r.Queue.Name)
	}
	if r.Verb == Submit {
		if f.Rejection = i.checkLoad(ctx, now, r, &f); f.Rejection != nil {
			f.RetryAfter = i.returnAfter(now, f.Rejection)
		}
	}
	return f
}

// confirm reads the jobs' topic until View is as of a time after now. It returns false
// if the store does not answer in time.
func (i *Intake) confirm(ctx context.Context, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, _confirmTimeout)
	defer cancel()
	i.Refresh()
	return i.View.Await(ctx, now)
}

// log logs each request that changes something or fails.
func (i *Intake) log(now time.Time, r Request, f Facts, reply Reply, by string) {
	if reply.Kind == 0 && (r.Verb == State || r.Verb == Count) {
		return
	}
	outcome := "ok"
	if reply.Kind != 0 {
		outcome = reply.Kind.String()
	}
	i.Log.Info("request", "shape", shape(r.Work), "verb", r.Verb.String(), "job", r.ID, "queue", r.Queue.Name, "account", r.Account,
		"outcome", outcome, "by", by, "why", reply.Reason, "known", f.Job.Known, "state", f.Job.State.String(),
		"age", now.Sub(f.Job.At).Milliseconds(), "ms", i.Clock().Sub(now).Milliseconds())
}

func (i *Intake) record(ctx context.Context, now time.Time, r Request) Reply {
	if r.Verb == Cancel {
		c := berylbook.Cancel{At: now.UnixMilli()}
		rec, err := c.Record(r.ID)
		if err != nil {
			return i.appendReply(err)
		}
		return i.appendReply(i.Append(ctx, rec))
	}
	r.Work.ID = r.ID
	r.Work.Queue = r.Queue.Name
	r.Work.Account = r.Account
	r.Work.Terms = berylwork.Terms{
		Service: r.Queue.Service, Priority: r.Queue.Priority, Attempts: r.Queue.Attempts,
		Stretch: r.Queue.Stretch, Target: r.Queue.Target.Milliseconds(),
	}
	if i.exhausted(ctx, now, r) {
		return Reply{Kind: berylerror.Exhausted, Reason: "too many tasks of accepted jobs", RetryAfter: _maxRetryAfter}
	}
	s := berylbook.Submission{Work: *r.Work}
	rec, err := s.Record()
	if err != nil {
		return i.appendReply(err)
	}
	err = i.Append(ctx, rec)
	if err != nil && berylerror.Of(err) != berylerror.Unknown {
		i.forget(r.ID)
	}
	return i.appendReply(err)
}

func (i *Intake) appendReply(err error) Reply {
	if err == nil {
		return Reply{}
	}
	reply := Reply{Kind: berylerror.Of(err), Reason: err.Error(), RetryAfter: retryAfter(i.Producer.FailingFor(i.Clock()))}
	if reply.Kind == berylerror.Exhausted {
		reply.RetryAfter = _maxRetryAfter
	}
	return reply
}

const (
	// _maxJobsAge is the maximum age of the last read at which an entry may answer how
	// many jobs wait.
	_maxJobsAge = 2500 * time.Millisecond
	// _confirmTimeout covers two reads of a slow store, a quarter of a second each, and
	// leaves time to ask another entry.
	_confirmTimeout = 700 * time.Millisecond
	// _forwardAfterReads allows for a second attempt of a read.
	_forwardAfterReads = 200 * time.Millisecond
	// _forwardAfterAppends is above the time that a slow store takes for an
	// append, a quarter of a second.
	_forwardAfterAppends = 400 * time.Millisecond
	// _rejectAfter is how long appends may fail before requests are rejected
	// immediately.
	_rejectAfter = 1200 * time.Millisecond
	// _retryAfter is the time within which another entry can usually be reached.
	_retryAfter    = time.Second
	_maxRetryAfter = 4 * time.Second
)
