// Package berylproducer appends records to a topic in the store of the users'
// platform idempotently, so that a lost reply does not lead to duplicates.
//
// A [Producer] has at most one append in flight. It retries an append of unknown
// outcome with the same sequence number until the store answers; the store applies
// each sequence number once. Records that arrive meanwhile are batched into the next
// append.
package berylproducer

import (
	"context"
	"slices"
	"sync"
	"time"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylstore"
)

// Producer is an idempotent producer for one topic. Records are sent only while Run is
// running.
type Producer struct {
	store berylstore.Store
	clock berylclock.Clock
	topic string
	name  string

	mu      sync.Mutex
	epoch   int64
	seq     int64
	waiting []*request
	wake    chan struct{}
	// failingSince is when the first append after the last success was sent; zero if
	// the last append has succeeded.
	failingSince time.Time
	// busy is true while an append is in flight.
	busy bool
}

type request struct {
	records []berylstore.Record
	done    chan error
	sent    bool
}

// New returns a producer. Its name must be unique among all processes and restarts.
func New(store berylstore.Store, clock berylclock.Clock, topic, name string) *Producer {
	return &Producer{store: store, clock: clock, topic: topic, name: name, epoch: 1, wake: make(chan struct{}, 1)}
}

// StalledFor returns the time since the first append after the last success was sent,
// while one is in flight. It is zero if none is in flight, so that the next request
// tries the store again.
func (p *Producer) StalledFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.busy {
		return 0
	}
	return now.Sub(p.failingSince)
}

// FailingFor returns the time since the first append after the last success was sent;
// zero if the last append has succeeded.
func (p *Producer) FailingFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failingSince.IsZero() {
		return 0
	}
	return now.Sub(p.failingSince)
}

// Append appends the records in one append and waits until they are in the topic. An
// error of kind NotRun means that they will never be, and one of kind Oversize that the
// store never takes them; one of kind Unknown means that ctx ended or the process stopped
// before the outcome was known.
func (p *Producer) Append(ctx context.Context, records ...berylstore.Record) error {
	if !p.store.Limits().AcceptsCall(records) {
		return berylerror.Oversize.Errorf("%d records exceed the limits of the store", len(records))
	}
	r := &request{records: records, done: make(chan error, 1)}
	p.mu.Lock()
	p.waiting = append(p.waiting, r)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return p.withdraw(r)
	}
}

// withdraw removes a request that has not been sent yet, and returns the error for
// its caller.
func (p *Producer) withdraw(r *request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.sent {
		return berylerror.Unknown.Errorf("append has no answer yet")
	}
	for i, w := range p.waiting {
		if w == r {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
	return berylerror.NotRun.Errorf("append was not sent")
}

// Run sends the appends until ctx ends.
func (p *Producer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for p.appendBatch(ctx) {
		}
	}
}

// appendBatch appends the waiting requests in one batch. It reports whether to
// continue with another batch.
func (p *Producer) appendBatch(ctx context.Context) bool {
	batch, records := p.nextBatch()
	if len(batch) == 0 {
		return false
	}
	err := p.appendUntilKnown(ctx, records)
	if berylerror.Of(err) == berylerror.Oversize && len(batch) > 1 {
		// Which of the requests the store refuses is not known.
		p.appendEach(ctx, batch)
		return ctx.Err() == nil
	}
	for _, r := range batch {
		r.done <- err
	}
	return ctx.Err() == nil
}

// appendEach appends requests one by one.
func (p *Producer) appendEach(ctx context.Context, batch []*request) {
	for _, r := range batch {
		r.done <- p.appendUntilKnown(ctx, r.records)
	}
}

func (p *Producer) nextBatch() ([]*request, []berylstore.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var records []berylstore.Record
	limits := p.store.Limits()
	n := 0
	for _, r := range p.waiting {
		joined := slices.Concat(records, r.records)
		if n > 0 && (len(joined) > _maxRecords || !limits.AcceptsCall(joined)) {
			break
		}
		r.sent = true
		records = joined
		n++
	}
	batch := p.waiting[:n:n]
	p.waiting = p.waiting[n:]
	return batch, records
}

// appendUntilKnown retries one append until its outcome is known.
func (p *Producer) appendUntilKnown(ctx context.Context, records []berylstore.Record) error {
	p.seq++
	unknown := false
	timeout := _firstTimeout
	p.markOutstanding()
	for {
		err := p.attempt(ctx, records, timeout)
		outcome := berylstore.OutcomeOf(err)
		switch {
		case outcome == berylstore.Appended:
			p.markAnswered()
			return nil
		case ctx.Err() != nil:
			return berylerror.Unknown.Wrap(err, "process is stopping")
		case outcome == berylstore.Refused:
			// An earlier attempt had the same content.
			p.seq--
			p.markAnswered()
			return berylerror.Oversize.Wrap(err, "append")
		case outcome == berylstore.Rejected && !unknown:
			p.seq--
			p.markRefused()
			return berylerror.NotRun.Wrap(err, "append")
		case outcome == berylstore.Superseded:
			// The store's state of this producer differs, so start a new epoch. The
			// records may be appended twice, which their readers ignore.
			p.epoch++
			p.seq = 1
		case outcome == berylstore.Unanswered:
			unknown = true
			timeout = _retryTimeout
		}
		p.rejectWaiting(err)
		if !berylclock.Pause(ctx, _retryDelay) {
			return berylerror.Unknown.Wrap(err, "process is stopping")
		}
	}
}

func (p *Producer) attempt(ctx context.Context, records []berylstore.Record, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := p.store.Append(ctx, berylstore.Append{
		Topic: p.topic, Records: records, Producer: p.name, Epoch: p.epoch, Seq: p.seq, ExpectedEnd: -1,
	})
	return err
}

func (p *Producer) markOutstanding() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = true
	if p.failingSince.IsZero() {
		p.failingSince = p.clock()
	}
}

// markRefused notes that the store has refused the append without effect. The next
// request is sent to the store again.
func (p *Producer) markRefused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// rejectWaiting fails the requests that were not sent. The store does not answer, and
// the callers can try another entry.
func (p *Producer) rejectWaiting(err error) {
	p.mu.Lock()
	waiting := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	for _, r := range waiting {
		r.done <- berylerror.NotRun.Wrap(err, "append was not sent")
	}
}

// markAnswered notes that the store has answered the append for good.
func (p *Producer) markAnswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
	p.failingSince = time.Time{}
}

const (
	// _maxRecords is the maximum number of records in a batch of several requests;
	// the record of a job has a few kilobytes.
	_maxRecords = 200
	// _firstTimeout bounds the first attempt, _retryTimeout further ones. A slow
	// store answers within 250 ms, and an attempt that hangs during an outage must
	// not outlast it by much.
	_firstTimeout = 900 * time.Millisecond
	_retryTimeout = 500 * time.Millisecond
	// _retryDelay is the delay between two attempts.
	_retryDelay = 100 * time.Millisecond
)
