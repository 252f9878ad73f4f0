// Package berylappender appends records to one stream of the platform's log.
// It belongs to the system's own interface; its counterpart on the users' platform is
// berylproducer.
//
// An [Appender] collects the records of concurrent callers and sends them in
// batches, one request at a time. The records of a rejected request are sent
// again later. If a request gets no reply, its records are searched for in the
// stream before they are sent again. The file queue.go has the state of each
// record.
package berylappender

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/beryllog"
	"berylglade/berylrecord"
)

const (
	// _interval is the minimum time between two append requests. 40 requests a
	// second from each of the three streams of three entries stay below 400 a
	// second, under the several hundred that the platform accepts.
	_interval = 25 * time.Millisecond
	// _minBackoff and _maxBackoff bound the delay after a failed request.
	_minBackoff = 50 * time.Millisecond
	_maxBackoff = 2 * time.Second
	// _backoffFactor is the growth factor of the delay.
	_backoffFactor = 2
	// _maxRecords and _maxBytes bound the size of one request.
	_maxRecords = 512
	_maxBytes   = 1 << 20
	// _maxQueue bounds the queued records, so that callers are rejected in a
	// long outage instead of filling the memory.
	_maxQueue = 1 << 14
)

// Appender appends records to a stream. Its counters may be read at any time.
type Appender struct {
	// Requests counts append requests, Failures those that did not succeed.
	Requests atomic.Int64
	Failures atomic.Int64
	// FoundByReadBack counts records that a read-back found in the stream.
	FoundByReadBack atomic.Int64

	log    beryllog.Log
	stream string
	clock  berylclock.Clock
	wake   chan struct{}
	// upto is a lower bound of offsets: every record sent from now on gets a
	// higher one. Only Run uses it.
	upto int64

	mu      sync.Mutex
	queue   []*pending
	stopped bool
}

// New returns an appender, which sends records while Run is running.
func New(log beryllog.Log, stream string, clock berylclock.Clock) *Appender {
	return &Appender{log: log, stream: stream, clock: clock, wake: make(chan struct{}, 1)}
}

// Append adds a record to the stream and returns its offset. If the record was
// added more than once, this is the first offset. An error has kind notrun if
// the record is certainly not in the stream and never will be, and unknown
// otherwise. A record whose ctx ends before it is sent is not sent.
func (a *Appender) Append(ctx context.Context, r berylrecord.Record) (int64, error) {
	data, err := berylrecord.Encode(r)
	if err != nil {
		return 0, berylerror.NotRun.Wrap(err, "append")
	}
	if len(data) > _maxBytes {
		return 0, berylerror.NotRun.Wrap(berylerror.Oversize.Errorf("record has %d bytes, limit is %d", len(data), _maxBytes), "append")
	}
	if err := ctx.Err(); err != nil {
		return 0, berylerror.NotRun.Wrap(err, "append")
	}
	p := &pending{id: r.ID, base: r.Base, data: data, done: make(chan result, 1)}
	if err := a.enqueue(p); err != nil {
		return 0, err
	}
	select {
	case res := <-p.done:
		return res.offset, res.err
	case <-ctx.Done():
		return a.abandon(p, ctx.Err())
	}
}

// Run sends the records of callers until ctx ends.
func (a *Appender) Run(ctx context.Context) error {
	defer a.stop()
	retry := &backoff.ExponentialBackOff{
		InitialInterval:     _minBackoff,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          _backoffFactor,
		MaxInterval:         _maxBackoff,
	}
	var last time.Time
	for {
		if !a.waitForWork(ctx) || !sleep(ctx, _interval-a.clock().Sub(last)) {
			return nil
		}
		last = a.clock()
		if err := a.step(ctx); err == nil {
			retry.Reset()
			continue
		}
		if !sleep(ctx, retry.NextBackOff()) {
			return nil
		}
	}
}

// waitForWork waits until the queue has a record. It returns false if ctx has
// ended.
func (a *Appender) waitForWork(ctx context.Context) bool {
	for !a.hasRecords() {
		select {
		case <-a.wake:
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

// step resolves the records with an unknown outcome and sends one batch.
func (a *Appender) step(ctx context.Context) error {
	if err := a.readBack(ctx); err != nil {
		return err
	}
	batch := a.takeBatch()
	if len(batch) == 0 {
		return nil
	}
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.data)
	}
	a.Requests.Add(1)
	offset, err := a.log.Append(ctx, a.stream, records...)
	if err == nil {
		a.completeBatch(batch, offset)
		return nil
	}
	a.Failures.Add(1)
	switch berylerror.Of(err) {
	case berylerror.NotRun:
		a.requeueBatch(batch)
	case berylerror.Invalid, berylerror.Denied, berylerror.Oversize:
		a.failBatch(batch, err)
	default:
		a.markUnknown(batch)
	}
	return err
}

// completeBatch completes the records of a request that succeeded. A record that
// was sent before may have an earlier copy in the stream, which the next
// read-back finds.
func (a *Appender) completeBatch(batch []*pending, offset int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, p := range batch {
		if p.maybeStored && !p.abandoned {
			p.state = stateUnknown
			p.resentOffset = offset + int64(i)
			continue
		}
		a.complete(p, result{offset: offset + int64(i)})
	}
	if !a.anyMaybeStored() {
		a.upto = max(a.upto, offset+int64(len(batch))-1)
	}
}

// readBack searches the stream for the records with an unknown outcome. Those
// that it does not find are sent again.
func (a *Appender) readBack(ctx context.Context) error {
	wanted, from := a.unknownRecords()
	for len(wanted) > 0 {
		b, err := a.log.Read(ctx, a.stream, from, 0)
		if err != nil {
			return err
		}
		if b.First > from {
			// Retention may have dropped the records.
			a.failUnknown(berylerror.Unknown.Errorf("the log dropped records before the appended ones could be read back"))
			return nil
		}
		for _, e := range b.Entries {
			a.matchEntry(wanted, e)
			from = e.Offset + 1
		}
		if len(b.Entries) == 0 || from >= b.Next {
			break
		}
	}
	a.requeueMissing(wanted)
	return nil
}

// matchEntry completes the wanted record that a log entry contains, if any.
func (a *Appender) matchEntry(wanted map[string]*pending, e beryllog.Entry) {
	r, err := berylrecord.Decode(e.Data)
	if err != nil {
		return
	}
	p, ok := wanted[r.ID]
	if !ok {
		return
	}
	delete(wanted, r.ID)
	a.FoundByReadBack.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.complete(p, result{offset: e.Offset})
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
