package berylappender

import (
	"slices"

	"berylglade/berylerror"
)

// pending is one record of one caller. The fields after done are guarded by
// Appender.mu.
type pending struct {
	id   string
	base int64
	data []byte
	// done receives the result, exactly once.
	done chan result

	state recordState
	// maybeStored is set once a request with the record got no reply. From then
	// on the record may appear in the stream at any time.
	maybeStored bool
	// resentOffset is the offset from a later request that succeeded, or zero.
	// The stream may have an earlier copy of the record.
	resentOffset int64
	// abandoned is set when the caller no longer waits.
	abandoned bool
}

// recordState is the state of a pending record.
type recordState uint8

const (
	// stateQueued means that the record waits to be sent.
	stateQueued recordState = iota
	// stateInFlight means that the record is part of the request in flight.
	stateInFlight
	// stateUnknown means that the record may be in the stream and has to be
	// searched for there.
	stateUnknown
	// stateDone means that the record has its result.
	stateDone
)

type result struct {
	offset int64
	err    error
}

func (a *Appender) enqueue(p *pending) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return berylerror.NotRun.Errorf("append: process is stopping")
	}
	if len(a.queue) >= _maxQueue {
		return berylerror.NotRun.Errorf("append: queue is full with %d records", len(a.queue))
	}
	a.queue = append(a.queue, p)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return nil
}

// abandon returns the result for a caller whose context has ended.
func (a *Appender) abandon(p *pending, cause error) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.state == stateDone {
		res := <-p.done
		return res.offset, res.err
	}
	p.abandoned = true
	if p.state != stateInFlight {
		a.remove(p)
	}
	switch {
	case p.resentOffset > 0:
		return p.resentOffset, nil
	case p.state == stateInFlight || p.maybeStored:
		return 0, berylerror.Unknown.Wrap(cause, "append was sent but not confirmed")
	default:
		return 0, berylerror.NotRun.Wrap(cause, "append was not sent")
	}
}

// complete sends a record's result and removes the record from the queue.
func (a *Appender) complete(p *pending, res result) {
	if p.state == stateDone {
		return
	}
	p.state = stateDone
	p.done <- res
	a.remove(p)
}

func (a *Appender) remove(p *pending) {
	for i, q := range a.queue {
		if q == p {
			a.queue = slices.Delete(a.queue, i, i+1)
			return
		}
	}
}

func (a *Appender) hasRecords() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue) > 0
}

// takeBatch marks the next batch as in flight and returns it.
func (a *Appender) takeBatch() []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := 0
	var batch []*pending
	for _, p := range a.queue {
		size += len(p.data)
		if len(batch) == _maxRecords || (size > _maxBytes && len(batch) > 0) {
			break
		}
		p.state = stateInFlight
		batch = append(batch, p)
	}
	return batch
}

// requeueBatch returns the records of a request that certainly had no effect to
// the queue.
func (a *Appender) requeueBatch(batch []*pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range batch {
		p.state = stateQueued
		if p.abandoned {
			a.remove(p)
		}
	}
}

// failBatch fails the records of a request that the log will never accept.
func (a *Appender) failBatch(batch []*pending, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range batch {
		kind := berylerror.NotRun
		if p.maybeStored {
			kind = berylerror.Unknown
		}
		a.complete(p, result{err: kind.Wrap(err, "append")})
	}
}

// markUnknown marks the records of a request without a reply for a read-back.
func (a *Appender) markUnknown(batch []*pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range batch {
		p.state = stateUnknown
		p.maybeStored = true
		if p.abandoned {
			a.remove(p)
		}
	}
}

// unknownRecords returns the records with an unknown outcome, by id, and the
// first offset that one of them can have.
func (a *Appender) unknownRecords() (map[string]*pending, int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := map[string]*pending{}
	from := int64(-1)
	for _, p := range a.queue {
		if p.state != stateUnknown {
			continue
		}
		wanted[p.id] = p
		if from < 0 || p.base < from {
			from = p.base
		}
	}
	return wanted, max(from, a.upto, 0) + 1
}

// anyMaybeStored reports whether a queued record may be in the stream because of
// a request without a reply.
func (a *Appender) anyMaybeStored() bool {
	for _, p := range a.queue {
		if p.maybeStored {
			return true
		}
	}
	return false
}

// requeueMissing queues the records that the read-back did not find, and
// completes those that a later request has added. All of them still have a
// caller, as abandoned records have been removed.
func (a *Appender) requeueMissing(wanted map[string]*pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range wanted {
		switch {
		case p.resentOffset > 0:
			a.complete(p, result{offset: p.resentOffset})
		case p.state == stateUnknown:
			p.state = stateQueued
		}
	}
}

// failUnknown fails every record with an unknown outcome, unless a later request
// has added it.
func (a *Appender) failUnknown(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range slices.Clone(a.queue) {
		switch {
		case p.resentOffset > 0:
			a.complete(p, result{offset: p.resentOffset})
		case p.state == stateUnknown:
			a.complete(p, result{err: err})
		}
	}
}

// stop ends every queued record and rejects new ones.
func (a *Appender) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, p := range slices.Clone(a.queue) {
		switch {
		case p.resentOffset > 0:
			a.complete(p, result{offset: p.resentOffset})
		case p.maybeStored:
			a.complete(p, result{err: berylerror.Unknown.Errorf("append: process is stopping")})
		default:
			a.complete(p, result{err: berylerror.NotRun.Errorf("append: process is stopping")})
		}
	}
}
