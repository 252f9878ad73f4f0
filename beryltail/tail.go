// Package beryltail follows one stream of the platform's log.
//
// A [Tail] reads for ever with long polls and hands each result to a function
// as an [Event]. It drops records whose id it has read before and records that
// do not decode. The readers of the events are told where the log's kept part
// begins, so that they notice when they fell behind retention.
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
	// _minBackoff and _maxBackoff bound the pause after a failed read. The
	// longest pause is well below the freshness limit of 3 s, so starts are
	// possible again soon after an outage.
	_minBackoff = 50 * time.Millisecond
	_maxBackoff = time.Second
	// _backoffFactor is the growth of the pause.
	_backoffFactor = 2
	// _maxIDs bounds the remembered record ids. A writer repeats a record
	// within seconds; at 1000 records a second this is about a minute, in
	// some 6 MB.
	_maxIDs = 1 << 16
)

// Event is Read or Failed.
type Event interface {
	isEvent()
}

// Read is the result of a successful read.
type Read struct {
	// Began is the time at which the request was sent.
	Began time.Time
	// First is the first offset that the log still keeps.
	First int64
	// Next is the offset that the next append will get.
	Next int64
	// Upto is the last offset that has been read, counting records that were
	// dropped. The reader has seen the whole stream if it is Next minus one.
	Upto int64
	// Records are in order of offset. It is empty if nothing was appended.
	Records []Record
}

// ReadFailed is a read without a result.
type ReadFailed struct {
	// Began is the time at which the request was sent.
	Began time.Time
	// Err is the reason.
	Err error
}

func (Read) isEvent()   {}
func (ReadFailed) isEvent() {}

// CaughtUp reports whether the reader has seen the whole stream as it was when
// the read was answered.
func (r Read) CaughtUp() bool { return r.Upto+1 >= r.Next }

// Record is a record with its offset.
type Record struct {
	Offset int64
	berylrecord.Record
}

// Tail follows a stream. Its counters may be read at any time.
type Tail struct {
	// Repeated counts records dropped because their id was known.
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

	next  int64
	known map[key]struct{}
	order []known
}

// key is the shortened hash of a record id, since operators may choose ids of
// any length.
type key [16]byte

type known struct {
	key    key
	offset int64
}

// New returns a tail that starts at the first record that the log keeps. The
// wait is the long poll of each read: it bounds the age of what is known of the
// stream's end and sets the cost of an idle stream. The handler is called from
// Run, one event at a time.
func New(log beryllog.Log, stream string, clock berylclock.Clock, wait time.Duration, handle func(Event)) *Tail {
	return &Tail{
		log:    log,
		stream: stream,
		clock:  clock,
		wait:   wait,
		handle: handle,
		next:   1,
		known:  map[key]struct{}{},
	}
}

// Run reads until ctx ends.
func (t *Tail) Run(ctx context.Context) error {
	pause := &backoff.ExponentialBackOff{
		InitialInterval:     _minBackoff,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          _backoffFactor,
		MaxInterval:         _maxBackoff,
	}
	for ctx.Err() == nil {
		err := t.readOnce(ctx)
		if err == nil {
			pause.Reset()
			continue
		}
		if ctx.Err() != nil {
			break
		}
		sleep(ctx, pause.NextBackOff())
	}
	return nil
}

// readOnce reads one batch and hands on the result.
func (t *Tail) readOnce(ctx context.Context) error {
	began := t.clock()
	wait := t.wait
	if !t.caughtUp {
		// A reader that starts on an idle stream has to know soon that there is
		// nothing to read.
		wait = 0
	}
	b, err := t.log.Read(ctx, t.stream, t.next, wait)
	if err == nil {
		err = t.check(b)
	}
	if err != nil {
		if ctx.Err() == nil {
			t.Failures.Add(1)
			t.handle(ReadFailed{Began: began, Err: err})
		}
		return err
	}
	t.forget(b.First)
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

// check refuses batches that would make the reader skip records or read them
// twice.
func (t *Tail) check(b beryllog.Batch) error {
	want := max(t.next, b.First)
	if b.First < 1 || b.Next < want {
		return berylerror.Unavailable.Errorf("log stream %s keeps offsets %d to %d, expected offset %d", t.stream, b.First, b.Next-1, want)
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
	if !t.remember(e.Offset, r.ID) {
		t.Repeated.Add(1)
		return r, false
	}
	return r, true
}

// remember reports whether the id is new.
func (t *Tail) remember(offset int64, id string) bool {
	sum := sha256.Sum256([]byte(id))
	k := key(sum[:len(key{})])
	if _, ok := t.known[k]; ok {
		return false
	}
	t.known[k] = struct{}{}
	t.order = append(t.order, known{key: k, offset: offset})
	if len(t.order) > _maxIDs {
		t.dropOldest()
	}
	return true
}

// forget drops the ids of records that the log no longer keeps.
func (t *Tail) forget(first int64) {
	for len(t.order) > 0 && t.order[0].offset < first {
		t.dropOldest()
	}
}

func (t *Tail) dropOldest() {
	delete(t.known, t.order[0].key)
	t.order = t.order[1:]
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
