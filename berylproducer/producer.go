// Package berylproducer appends records to a topic of the platform's store
// exactly once, although replies get lost.
//
// A [Producer] has at most one append outstanding. It repeats an append without
// a known outcome under the same sequence number until the store answers; the
// store carries a number out once. Records that wait meanwhile go into one
// append together.
package berylproducer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylstore"
)

// Producer appends under one name. Run must be running for Append to return.
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
	// since is when the first append after the last success was sent; zero if
	// the last one succeeded.
	since time.Time
	// busy is true while an append is outstanding.
	busy bool
}

type request struct {
	records []berylstore.Record
	done    chan error
	sent    bool
}

// New returns a producer. The name must be unique to this process.
func New(store berylstore.Store, clock berylclock.Clock, topic, name string) *Producer {
	return &Producer{store: store, clock: clock, topic: topic, name: name, epoch: 1, wake: make(chan struct{}, 1)}
}

// Failing returns for how long the outstanding append has had no answer; zero if
// none is outstanding, so that the next request tries the store.
func (p *Producer) Failing(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.busy {
		return 0
	}
	return now.Sub(p.since)
}

// Trouble returns for how long no append has succeeded although some were sent.
func (p *Producer) Trouble(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since.IsZero() {
		return 0
	}
	return now.Sub(p.since)
}

// Append waits until the records are in the topic. An error of kind NotRun means
// that they never will be; one of kind Unknown, that ctx ended first.
func (p *Producer) Append(ctx context.Context, records ...berylstore.Record) error {
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
		return p.abandon(r)
	}
}

// abandon takes a request back that was not sent yet.
func (p *Producer) abandon(r *request) error {
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

// Run appends until ctx ends.
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

// appendBatch appends what waits and reports whether there was anything.
func (p *Producer) appendBatch(ctx context.Context) bool {
	batch, records := p.take()
	if len(batch) == 0 {
		return false
	}
	err := p.deliver(ctx, records)
	for _, r := range batch {
		r.done <- err
	}
	return ctx.Err() == nil
}

func (p *Producer) take() ([]*request, []berylstore.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var records []berylstore.Record
	n := 0
	for _, r := range p.waiting {
		if n > 0 && len(records)+len(r.records) > _maxRecords {
			break
		}
		r.sent = true
		records = append(records, r.records...)
		n++
	}
	batch := p.waiting[:n:n]
	p.waiting = p.waiting[n:]
	return batch, records
}

// deliver repeats one append until its outcome is known.
func (p *Producer) deliver(ctx context.Context, records []berylstore.Record) error {
	p.seq++
	unknown := false
	timeout := _firstTimeout
	p.outstanding()
	for {
		err := p.try(ctx, records, timeout)
		switch {
		case err == nil:
			p.settled()
			return nil
		case ctx.Err() != nil:
			return berylerror.Unknown.Wrap(err, "process is stopping")
		case errors.Is(err, berylstore.ErrRejected) && !unknown:
			p.seq--
			p.refused()
			return berylerror.NotRun.Wrap(err, "append")
		case errors.Is(err, berylstore.ErrSequence), errors.Is(err, berylstore.ErrFenced):
			// The store's memory of this producer differs. The records may be
			// appended twice, which their readers ignore.
			p.epoch++
			p.seq = 1
		case !errors.Is(err, berylstore.ErrRejected):
			unknown = true
			timeout = _repeatTimeout
		}
		p.refuseWaiting(err)
		if !berylclock.Pause(ctx, _pause) {
			return berylerror.Unknown.Wrap(err, "process is stopping")
		}
	}
}

func (p *Producer) try(ctx context.Context, records []berylstore.Record, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := p.store.Append(ctx, berylstore.Append{
		Topic: p.topic, Records: records, Producer: p.name, Epoch: p.epoch, Seq: p.seq, ExpectedEnd: -1,
	})
	return err
}

func (p *Producer) outstanding() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = true
	if p.since.IsZero() {
		p.since = p.clock()
	}
}

// refused notes that the store did nothing. The next append is tried anew.
func (p *Producer) refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// refuseWaiting answers the requests that were not sent: the store does not
// answer, and their callers can turn elsewhere.
func (p *Producer) refuseWaiting(err error) {
	p.mu.Lock()
	waiting := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	for _, r := range waiting {
		r.done <- berylerror.NotRun.Wrap(err, "append was not sent")
	}
}

func (p *Producer) settled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
	p.since = time.Time{}
}

const (
	// _maxRecords bounds one append; records of jobs are a few kilobytes.
	_maxRecords = 200
	// _firstTimeout bounds the first try, _repeatTimeout the others. A slow store
	// answers within a quarter of a second, and a try that hangs in an outage
	// must not outlast it by much.
	_firstTimeout  = 900 * time.Millisecond
	_repeatTimeout = 500 * time.Millisecond
	// _pause is the time between two tries.
	_pause = 100 * time.Millisecond
)
