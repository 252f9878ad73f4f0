// Package berylfollower follows a keyed topic in the store of the users' platform.
//
// A [Follower] loads the newest record of each key, then reads every appended record.
// If the store has deleted records that were not read yet, it loads the newest ones
// again.
package berylfollower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"berylglade/berylclock"
	"berylglade/berylstore"
)

// Event is one of Loaded, Read and Failed.
type Event interface{ event() }

// Loaded carries the newest record of every key. It replaces the state built from
// earlier events.
type Loaded struct {
	Records []berylstore.Record
	// AsOf is when the first page was requested. Every record that was appended
	// before is included.
	AsOf time.Time
	// End is the end of the topic at the first page.
	End int64
}

// Read carries newly appended records in the order of the topic; it may be empty.
type Read struct {
	Records []berylstore.Record
	// AsOf is the latest time up to which no other record is known to have been
	// appended: when the read was sent or, if it returned no records, when its wait
	// ended. A read that does not reach the end of the topic leaves it unchanged.
	AsOf time.Time
	// End is the offset up to which the topic has been read.
	End int64
	// Behind is true if the topic has further records.
	Behind bool
}

// Failed means that a call to the store has failed.
type Failed struct {
	Err error
}

func (Loaded) event() {}
func (Read) event()   {}
func (Failed) event() {}

// Follower follows one topic.
type Follower struct {
	Store berylstore.Store
	Clock berylclock.Clock
	Topic string
	// Wait is how long a read waits for a new record.
	Wait time.Duration
	// Interval returns the minimum time between two reads that return records; nil means
	// none. The leader appends many times a second, and each entry reads each append.
	Interval func() time.Duration
	// Handle is called for each event, one at a time.
	Handle func(e Event)

	reload atomic.Bool
	// failing is true if the last read failed.
	failing bool
	// asOf is that of the last event.
	asOf time.Time

	mu sync.Mutex
	// refresh makes the next read return without waiting for a record.
	refresh bool
	// cancelWait ends the read or the pause in progress that waits; nil if there is
	// none.
	cancelWait context.CancelFunc
}

// Reload makes the follower load the newest records again.
func (f *Follower) Reload() { f.reload.Store(true) }

// Refresh makes the follower read the topic at once, after a read in flight that does
// not wait. A read that waits may miss a record that is appended while it arrives at
// the store.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh = true
	if f.cancelWait != nil {
		f.cancelWait()
	}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		from, err := f.load(ctx)
		if err == nil {
			f.follow(ctx, from)
		}
		if ctx.Err() == nil && err != nil {
			f.Handle(Failed{Err: err})
			berylclock.Pause(ctx, _retryDelay)
		}
	}
}

// load reads the newest records and returns the offset to follow from.
func (f *Follower) load(ctx context.Context) (int64, error) {
	f.reload.Store(false)
	asOf := f.Clock()
	records, end, err := berylstore.ReadNewest(ctx, f.Store, f.Topic, _pageTimeout)
	if err != nil {
		return 0, err
	}
	f.asOf = asOf
	f.Handle(Loaded{Records: records, AsOf: asOf, End: end})
	return end, nil
}

// follow reads appended records until the topic has to be loaded again.
func (f *Follower) follow(ctx context.Context, from int64) {
	for ctx.Err() == nil && !f.reload.Load() {
		asOf := f.Clock()
		r, wait, err := f.read(ctx, from)
		switch {
		case errors.Is(err, berylstore.ErrGone):
			return
		case err != nil && ctx.Err() != nil:
			return
		case errors.Is(err, context.Canceled):
			// Refresh has ended the read.
			continue
		case err != nil:
			f.Handle(Failed{Err: err})
			berylclock.Pause(ctx, _retryDelay)
			continue
		}
		from = max(from, r.Next)
		behind := from < r.End
		switch {
		case behind:
			asOf = f.asOf
		case len(r.Records) == 0:
			asOf = earlier(asOf.Add(wait), f.Clock())
		}
		f.asOf = asOf
		f.Handle(Read{Records: r.Records, AsOf: asOf, End: from, Behind: behind})
		if len(r.Records) > 0 && !behind {
			f.pause(ctx)
		}
	}
}

// pause waits for Interval. Refresh ends it.
func (f *Follower) pause(ctx context.Context) {
	if f.Interval == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.setWait(cancel) {
		berylclock.Pause(ctx, f.Interval())
		f.clearWait()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// read reads records and returns for how long it would have waited for the first one.
// After a failure it doesn't wait, so that the recovery of the store is noticed early:
// a read that hangs would notice it late.
func (f *Follower) read(ctx context.Context, from int64) (berylstore.Read, time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait, timeout := f.Wait, f.Wait+_readTimeout
	if f.failing || !f.setWait(cancel) {
		wait, timeout = 0, _probeTimeout
		f.clearRefresh()
	}
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	r, err := f.Store.Read(ctx, f.Topic, from, wait)
	f.clearWait()
	f.failing = err != nil && !errors.Is(err, berylstore.ErrGone) && !errors.Is(err, context.Canceled)
	return r, wait, err
}

// setWait makes cancel end the wait that follows. It returns false if a refresh was
// requested, so that nothing may wait.
func (f *Follower) setWait(cancel context.CancelFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refresh {
		return false
	}
	f.cancelWait = cancel
	return true
}

func (f *Follower) clearWait() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWait = nil
}

// clearRefresh notes that the read that follows is the one that was requested.
func (f *Follower) clearRefresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh = false
}

const (
	_retryDelay  = 150 * time.Millisecond
	_pageTimeout = time.Second
	// _readTimeout bounds a read, in addition to the time that it waits for a record.
	_readTimeout = 600 * time.Millisecond
	// _probeTimeout bounds a read after a failure. It is above the response time of a
	// slow store, 250 ms.
	_probeTimeout = 500 * time.Millisecond
)
