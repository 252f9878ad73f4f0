// Package beryltail follows one stream of the platform's log. It belongs to
// the system's own interface; its counterpart on the users' platform is berylfollower.
//
// A [Tail] reads continuously with long polls and passes each result to a
// function as an [Event]. It drops records whose id it has already read and
// records that do not decode. Each event has the first offset of the log, so that
// its receiver notices when retention dropped records before they were read.
package beryltail

import (
	"context"
	"crypto/sha256"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/beryllog"
	"berylglade/berylrecord"
)

const (
	// _minBackoff and _maxBackoff bound the delay after a failed read. The
	// maximum is well below the freshness limit of 3 s, so that jobs can be started
	// again soon after an outage.
	_minBackoff = 50 * time.Millisecond
	_maxBackoff = time.Second
	// _backoffFactor is the growth factor of the delay.
	_backoffFactor = 2
	// _maxSeenIDs bounds the stored record ids. A writer repeats a record within
	// seconds; at 1000 records a second this covers about a minute, in some 6 MB.
	_maxSeenIDs = 1 << 16
)

// Event is one of Read and ReadFailed.
type Event interface {
	isEvent()
}

// Read is the result of a successful read.
type Read struct {
	// Began is the time at which the request was sent.
	Began time.Time
	// First is the first offset that the log still has.
	First int64
	// Next is the offset that the next append will get.
	Next int64
	// Upto is the last offset that has been read, including records that the tail
	// dropped. The reader has reached the end of the stream if it is Next minus one.
	Upto int64
	// Records are in order of offset, and empty if nothing was appended.
	Records []Record
}

// ReadFailed is the result of a failed read.
type ReadFailed struct {
	// Began is the time at which the request was sent.
	Began time.Time
	// Err is the reason.
	Err error
}

func (Read) isEvent()       {}
func (ReadFailed) isEvent() {}

// CaughtUp reports whether the reader has reached the end of the stream, as of the
// reply.
func (r Read) CaughtUp() bool { return r.Upto+1 >= r.Next }

// Record is a record with its offset.
type Record struct {
	Offset int64
	berylrecord.Record
}

// Tail follows a stream. Its counters may be read at any time.
type Tail struct {
	// Repeated counts records dropped because their id had already been read.
	Repeated atomic.Int64
	// Malformed counts records that did not decode.
	Malformed atomic.Int64
	// Failures counts failed reads.
	Failures atomic.Int64

	log    beryllog.Log
	stream string
	clock  berylclock.Clock
	wait   time.Duration
	// caughtUp is set once a read has reached the end of the stream.
	caughtUp bool
	handle   func(Event)

	next      int64
	seen      map[key]struct{}
	seenOrder []seenID
}

// key is the truncated hash of a record id. Operators may choose ids of any
// length.
type key [16]byte

type seenID struct {
	key    key
	offset int64
}

// New returns a tail that starts at the first record of the log. The wait is the
// long-poll timeout of each read: it bounds the age of what is known about the
// end of the stream and sets the cost of an idle stream. Run calls handle for one
// event at a time.
func New(log beryllog.Log, stream string, clock berylclock.Clock, wait time.Duration, handle func(Event)) *Tail {
	return &Tail{
		log:    log,
		stream: stream,
		clock:  clock,
		wait:   wait,
		handle: handle,
		next:   1,
		seen:   map[key]struct{}{},
	}
}

// Run reads until ctx ends.
func (t *Tail) Run(ctx context.Context) error {
	retry := &backoff.ExponentialBackOff{
		InitialInterval:     _minBackoff,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          _backoffFactor,
		MaxInterval:         _maxBackoff,
	}
	for ctx.Err() == nil {
		err := t.readOnce(ctx)
		if err == nil {
			retry.Reset()
			continue
		}
		if ctx.Err() != nil {
			break
		}
		sleep(ctx, retry.NextBackOff())
	}
	return nil
}

// readOnce reads one batch and passes on the result.
func (t *Tail) readOnce(ctx context.Context) error {
	began := t.clock()
	wait := t.wait
	if !t.caughtUp {
		// A reader that starts on an idle stream has to learn at once that there is
		// nothing to read.
		wait = 0
	}
	b, err := t.log.Read(ctx, t.stream, t.next, wait)
	if err == nil {
		err = t.checkBatch(b)
	}
	if err != nil {
		if ctx.Err() == nil {
			t.Failures.Add(1)
			t.handle(ReadFailed{Began: began, Err: err})
		}
		return err
	}
	t.forgetBelow(b.First)
	t.next = max(t.next, b.First)
	read := Read{Began: began, First: b.First, Next: b.Next}
	for _, e := range b.Entries {
		t.next = e.Offset + 1
		if r, ok := t.decode(e); ok {
			read.Records = append(read.Records, Record{Offset: e.Offset, Record: r})
		}
	}
	read.Upto = t.next - 1
	t.caughtUp = t.caughtUp || read.CaughtUp()
	t.handle(read)
	return nil
}

// checkBatch rejects batches that would make the reader skip records or read them
// twice.
func (t *Tail) checkBatch(b beryllog.Batch) error {
	want := max(t.next, b.First)
	if b.First < 1 || b.Next < want {
		return berylerror.Unavailable.Errorf("log stream %s has offsets %d to %d, expected offset %d", t.stream, b.First, b.Next-1, want)
	}
	for _, e := range b.Entries {
		if e.Offset != want || e.Offset >= b.Next {
			return berylerror.Unavailable.Errorf("log stream %s returned offset %d, expected %d", t.stream, e.Offset, want)
		}
		want++
	}
	return nil
}

func (t *Tail) decode(e beryllog.Entry) (berylrecord.Record, bool) {
	r, err := berylrecord.Decode(e.Data)
	if err != nil {
		t.Malformed.Add(1)
		return r, false
	}
	if !t.markSeen(e.Offset, r.ID) {
		t.Repeated.Add(1)
		return r, false
	}
	return r, true
}

// markSeen stores an id and reports whether it is new.
func (t *Tail) markSeen(offset int64, id string) bool {
	sum := sha256.Sum256([]byte(id))
	k := key(sum[:len(key{})])
	if _, ok := t.seen[k]; ok {
		return false
	}
	t.seen[k] = struct{}{}
	t.seenOrder = append(t.seenOrder, seenID{key: k, offset: offset})
	if len(t.seenOrder) > _maxSeenIDs {
		t.dropOldest()
	}
	return true
}

// forgetBelow deletes the ids of records that the log no longer has.
func (t *Tail) forgetBelow(first int64) {
	for len(t.seenOrder) > 0 && t.seenOrder[0].offset < first {
		t.dropOldest()
	}
}

func (t *Tail) dropOldest() {
	delete(t.seen, t.seenOrder[0].key)
	t.seenOrder = t.seenOrder[1:]
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
