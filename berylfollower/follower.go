// Package berylfollower follows a keyed topic of the platform's store.
//
// A [Follower] reads the newest record of each key, then every record that is
// appended. When the store has dropped records that were not read yet, it starts
// over with the newest ones.
package berylfollower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"berylglade/berylclock"
	"berylglade/berylstore"
)

// Event is one of Loaded, Read and Failed.
type Event interface{ event() }

// Loaded has the newest record of every key; it replaces all that came before.
type Loaded struct {
	Records []berylstore.Record
	AsOf    time.Time
	End     int64
}

// Read has records in the order of the topic; none if nothing was appended.
type Read struct {
	Records []berylstore.Record
	// AsOf is the latest time at which the topic is known to have ended at End:
	// when the read was sent, or, if it waited in vain, when its wait was over.
	AsOf time.Time
	End  int64
}

// Failed tells that the store did not answer.
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
	// Wait is how long a read waits for a record.
	Wait time.Duration
	// Handle gets each event, one at a time.
	Handle func(e Event)

	reload atomic.Bool
	// failing is true while the last read had no answer.
	failing bool
}

// Reload makes the follower start over with the newest records.
func (f *Follower) Reload() { f.reload.Store(true) }

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		from, err := f.load(ctx)
		if err == nil {
			f.follow(ctx, from)
		}
		if ctx.Err() == nil && err != nil {
			f.Handle(Failed{Err: err})
			berylclock.Pause(ctx, _pause)
		}
	}
}

// load reads the newest records and returns the offset to follow from: the end
// at the first page, as the pages are not a snapshot.
func (f *Follower) load(ctx context.Context) (int64, error) {
	f.reload.Store(false)
	l := Loaded{AsOf: f.Clock()}
	after := ""
	for {
		page, err := f.page(ctx, after)
		if err != nil {
			return 0, err
		}
		if after == "" {
			l.End = page.End
		}
		l.Records = append(l.Records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	f.Handle(l)
	return l.End, nil
}

func (f *Follower) page(ctx context.Context, after string) (berylstore.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, _pageTimeout)
	defer cancel()
	return f.Store.Newest(ctx, f.Topic, after)
}

// follow returns when the topic has to be loaded again.
func (f *Follower) follow(ctx context.Context, from int64) {
	for ctx.Err() == nil && !f.reload.Load() {
		sent := f.Clock()
		waited := f.Wait
		if f.failing {
			waited = 0
		}
		r, err := f.read(ctx, from)
		switch {
		case errors.Is(err, berylstore.ErrGone):
			return
		case err != nil && ctx.Err() != nil:
			return
		case err != nil:
			f.Handle(Failed{Err: err})
			berylclock.Pause(ctx, _pause)
			continue
		}
		from = max(from, r.Next)
		if len(r.Records) == 0 {
			sent = earlier(sent.Add(waited), f.Clock())
		}
		f.Handle(Read{Records: r.Records, AsOf: sent, End: r.End})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// read waits for records, unless the store is in trouble: then it only asks
// whether the store is back, which a read that hangs would notice late.
func (f *Follower) read(ctx context.Context, from int64) (berylstore.Read, error) {
	wait, timeout := f.Wait, f.Wait+_readTimeout
	if f.failing {
		wait, timeout = 0, _probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := f.Store.Read(ctx, f.Topic, from, wait)
	f.failing = err != nil && !errors.Is(err, berylstore.ErrGone)
	return r, err
}

const (
	_pause       = 150 * time.Millisecond
	_pageTimeout = time.Second
	// _readTimeout is added to the time for which a read waits for a record.
	_readTimeout = 600 * time.Millisecond
	// _probeTimeout is above the answer time of a slow store, 250 ms.
	_probeTimeout = 500 * time.Millisecond
)
