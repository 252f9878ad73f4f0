// Package berylintake decides how a client's request is answered.
//
// [Decide] looks at the desired state and the known jobs and returns either the
// final answer, what has to be recorded before one can be given, or that a peer
// should answer. [Intake] carries that out.
package berylintake

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylpolicy"
	"berylglade/berylproducer"
	"berylglade/berylstore"
	"berylglade/berylview"
	"berylglade/berylwork"
)

// Verb is what a client asks for.
type Verb uint8

const (
	// Submit hands a job in.
	Submit Verb = iota + 1
	// State asks for the state of a job.
	State
	// Cancel cancels a job.
	Cancel
	// Count asks how many jobs of a queue wait.
	Count
)

// String returns the name in logs and metrics.
func (v Verb) String() string {
	return [...]string{"none", "submit", "state", "cancel", "count"}[min(v, Count)]
}

// Request is a client's request. The queue is known already.
type Request struct {
	Verb Verb `cbor:"verb"`
	// ID is the job's id; empty for Count.
	ID    string            `cbor:"id"`
	Queue berylpolicy.Queue `cbor:"queue"`
	// Account is the client account of the key; empty on a public queue.
	Account string `cbor:"account"`
	// Work is the job that is submitted.
	Work *berylwork.Work `cbor:"work"`
}

// Reply is the answer. The zero Kind means success.
type Reply struct {
	Kind berylerror.Kind `cbor:"kind"`
	// Reason is a short reason for logs and the client.
	Reason string `cbor:"why"`
	// State is the state of the job, after State.
	State berylbook.State `cbor:"state"`
	// Waiting is the number of jobs, after Count.
	Waiting int `cbor:"waiting"`
	// RetryAfter is when a refused client should come back.
	RetryAfter time.Duration `cbor:"retry"`
}

// Decision is what Decide returns: an Answer, a Record or a Forward.
type Decision interface{ step() }

// Answer is final.
type Answer struct{ Reply }

// Record has to be in the store before the request succeeds.
type Record struct{}

// Forward passes the request on to an entry that reaches the store.
type Forward struct{}

func (Answer) step()  {}
func (Record) step()  {}
func (Forward) step() {}

// Facts is what a decision is made from.
type Facts struct {
	Job berylview.Job
	// Waiting is the number of waiting jobs of the queue.
	Waiting int
	// AppendsFailing is for how long the store has not taken appends, ReadsFailing for how
	// long it has not answered reads.
	AppendsFailing, ReadsFailing time.Duration
	// CanForward is true if the request may be passed on to another entry, Forwarded if
	// another entry has passed it on to this one.
	CanForward, Forwarded bool
}

// Decide decides on one request.
//
// An entry whose reads are old refuses what it can't know instead of denying
// that a job exists. While the store takes no appends, a job that needs one is
// refused at once, so that its client can turn to another entry. As the store may
// turn just this entry away, a peer is asked before.
func Decide(now time.Time, r Request, k Facts) Decision {
	if cutOff(k) && !ended(r, k) {
		switch {
		case k.Forwarded:
			return refuse("this entry does not reach the store either")
		case k.CanForward:
			return Forward{}
		}
	}
	fresh := berylclock.Age(now, k.Job.At) < _freshJobs
	mine := k.Job.Known && (r.Account == "" || k.Job.Account == r.Account)
	switch {
	case r.Verb == Count && !fresh:
		return refuse("jobs are not known here now")
	case r.Verb == Count:
		return Answer{Reply{Waiting: k.Waiting}}
	case r.Verb == State && mine:
		return Answer{Reply{State: k.Job.State}}
	case r.Verb == Submit && !mine && r.Queue.Advised:
		// Starts on such a queue need tickets, which the system does not ask
		// for; the job would wait for ever.
		return refuse("queue needs advice, which is not supported")
	case r.Verb == Submit && mine:
		return Answer{Reply{Reason: "known already"}}
	case r.Verb == Cancel && mine && k.Job.State.Final():
		return Answer{Reply{Reason: "ended already"}}
	case r.Verb != Submit && !mine && fresh:
		return Answer{Reply{Kind: berylerror.Expired, Reason: "no such job"}}
	case r.Verb != Submit && !mine:
		return refuse("jobs are not known here now")
	case k.AppendsFailing > _failing:
		return Answer{Reply{Kind: berylerror.NotRun, Reason: "store takes no records", RetryAfter: comeBack(k.AppendsFailing)}}
	default:
		return Record{}
	}
}

// cutOff reports whether the store seems not to serve this entry.
func cutOff(k Facts) bool { return k.ReadsFailing > _unread || k.AppendsFailing > _failingHere }

// ended reports whether the request is about a job whose state does not change
// any more, so that an old state answers it.
func ended(r Request, k Facts) bool {
	return k.Job.Known && k.Job.State.Final() && (r.Account == "" || k.Job.Account == r.Account)
}

func refuse(why string) Answer {
	return Answer{Reply{Kind: berylerror.NotRun, Reason: why, RetryAfter: _retryAfter}}
}

// comeBack returns when a client should try again while the store is away. An
// outage that has lasted for some time is taken to last as long again, so that
// clients with few retries do not use them up.
func comeBack(failing time.Duration) time.Duration {
	return min(max(failing, _retryAfter), _retryMost)
}

// Intake answers requests.
type Intake struct {
	View     *berylview.View
	Producer *berylproducer.Producer
	Clock    berylclock.Clock
	Log      *slog.Logger
	// Append takes a record to the topic of the jobs. An error of kind NotRun
	// means that it never gets there.
	Append func(ctx context.Context, r berylstore.Record) error
	// Forward passes a request on to a peer; nil if there is none. An error of
	// kind NotRun means that no peer has recorded anything.
	Forward func(ctx context.Context, r Request) (Reply, error)
}

// Serve answers one request, by a peer if this entry does not reach the store. It
// returns when ctx ends at the latest.
func (i *Intake) Serve(ctx context.Context, r Request) Reply {
	now := i.Clock()
	if r.Work != nil {
		r.Work.Accepted = now.UnixMilli()
	}
	known := i.known(now, r)
	known.CanForward = i.Forward != nil
	step := Decide(now, r, known)
	if _, ok := step.(Forward); !ok {
		return i.carryOut(ctx, now, r, known, step)
	}
	reply, err := i.Forward(ctx, r)
	if err == nil {
		i.log(now, r, known, reply, "peer")
		return reply
	}
	known.CanForward = false
	reply = i.carryOut(ctx, now, r, known, Decide(now, r, known))
	if reply.Kind == berylerror.NotRun && berylerror.Of(err) != berylerror.NotRun {
		reply = Reply{Kind: berylerror.Unknown, Reason: "a peer did not answer: " + err.Error()}
	}
	return reply
}

// ServeForwarded answers a request that a peer has passed on.
func (i *Intake) ServeForwarded(ctx context.Context, r Request) Reply {
	now := i.Clock()
	known := i.known(now, r)
	known.Forwarded = true
	return i.carryOut(ctx, now, r, known, Decide(now, r, known))
}

func (i *Intake) carryOut(ctx context.Context, now time.Time, r Request, known Facts, step Decision) Reply {
	var reply Reply
	switch s := step.(type) {
	case Answer:
		reply = s.Reply
	case Record:
		reply = i.record(ctx, now, r)
	}
	i.log(now, r, known, reply, "here")
	return reply
}

func (i *Intake) known(now time.Time, r Request) Facts {
	k := Facts{Job: i.View.Job(r.ID), AppendsFailing: i.Producer.Failing(now), ReadsFailing: i.View.ReadsFailing(now)}
	if r.Verb == Count {
		k.Waiting, k.Job.At = i.View.Waiting(r.Queue.Name)
	}
	return k
}

// log writes one line for each request that changes something or fails.
func (i *Intake) log(now time.Time, r Request, k Facts, reply Reply, by string) {
	if reply.Kind == 0 && (r.Verb == State || r.Verb == Count) {
		return
	}
	outcome := "ok"
	if reply.Kind != 0 {
		outcome = reply.Kind.String()
	}
	i.Log.Info("request", "shape", shape(r.Work), "verb", r.Verb.String(), "job", r.ID, "queue", r.Queue.Name, "account", r.Account,
		"outcome", outcome, "by", by, "why", reply.Reason, "known", k.Job.Known, "state", k.Job.State.String(),
		"age", now.Sub(k.Job.At).Milliseconds(), "ms", i.Clock().Sub(now).Milliseconds())
}

// shape returns a short text of what a job asks for, for the log.
func shape(w *berylwork.Work) string {
	if w == nil {
		return ""
	}
	var b strings.Builder
	if w.Times > 0 {
		fmt.Fprintf(&b, "%d times ", w.Times)
	}
	for _, s := range w.Steps {
		fmt.Fprintf(&b, "%dx%d", s.Count, s.Need.Accelerators)
		flags := []struct {
			set  bool
			mark string
		}{
			{s.Gang, " gang"},
			{s.OneRack, " rack"},
			{s.LongRunning, " lasting"},
			{s.BestEffortCPU, " fills"},
			{s.MayOverlap, " copies"},
			{s.Checkpoints, " saves"},
			{s.MaxPerHost > 0, " apart"},
			{s.Label != "", " label"},
			{s.MaxUnavailable > 0, " away"},
		}
		for _, f := range flags {
			if f.set {
				b.WriteString(f.mark)
			}
		}
		b.WriteString("; ")
	}
	return b.String()
}

func (i *Intake) record(ctx context.Context, now time.Time, r Request) Reply {
	if r.Verb == Cancel {
		c := berylbook.Cancel{At: now.UnixMilli()}
		rec, err := c.Record(r.ID)
		if err != nil {
			return i.failure(err)
		}
		return i.failure(i.Append(ctx, rec))
	}
	r.Work.ID = r.ID
	r.Work.Queue = r.Queue.Name
	r.Work.Account = r.Account
	s := berylbook.Submission{Work: *r.Work}
	rec, err := s.Record()
	if err != nil {
		return i.failure(err)
	}
	return i.failure(i.Append(ctx, rec))
}

func (i *Intake) failure(err error) Reply {
	if err == nil {
		return Reply{}
	}
	return Reply{Kind: berylerror.Of(err), Reason: err.Error(), RetryAfter: comeBack(i.Producer.Trouble(i.Clock()))}
}

const (
	// _freshJobs is how old the last read may be to tell that a job is not known.
	_freshJobs = 2500 * time.Millisecond
	// _unread leaves time for a second try of a read.
	_unread = 200 * time.Millisecond
	// _failingHere is above the time that a slow store takes for an append, a
	// quarter of a second.
	_failingHere = 400 * time.Millisecond
	// _failing is how long appends may fail before requests are refused at once.
	_failing = 1200 * time.Millisecond
	// _retryAfter is the time in which another entry is usually in reach.
	_retryAfter = time.Second
	_retryMost  = 4 * time.Second
)
