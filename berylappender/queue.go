package berylappender

import (
	"slices"

	"berylglade/berylerror"
)

// pending is one record of one caller. Its fields after done are guarded by
// Appender.mu.
type pending struct {
	id   string
	base int64
	data []byte
	// done gets the one result.
	done chan result

	state recordState
	// repeated is set once a request with the record got no reply. From then
	// on the record may be in the stream at any time.
	repeated bool
	// copied is the offset of a repeated request that succeeded, or zero. An
	// earlier copy may be in the stream.
	copied int64
	// abandoned is set when the caller does not wait any more.
	abandoned bool
}

// recordState is where a record is.
type recordState uint8

const (
	// stateQueued waits to be sent.
	stateQueued recordState = iota
	// stateSending is in the request that is in flight.
	stateSending
	// stateSuspect has to be looked for in the stream.
	stateSuspect
	// stateSettled has its result.
	stateSettled
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
		return berylerror.NotRun.Errorf("append: %d records wait already", len(a.queue))
	}
	a.queue = append(a.queue, p)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return nil
}

// abandon ends the wait of a caller whose context has ended.
func (a *Appender) abandon(p *pending, cause error) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.state == stateSettled {
		res := <-p.done
		return res.offset, res.err
	}
	p.abandoned = true
	if p.state != stateSending {
		a.remove(p)
	}
	switch {
	case p.copied > 0:
		return p.copied, nil
	case p.state == stateSending || p.repeated:
		return 0, berylerror.Unknown.Wrap(cause, "append was sent but not confirmed")
	default:
		return 0, berylerror.NotRun.Wrap(cause, "append was not sent")
	}
}

// settle gives a record its result and takes it out of the queue.
func (a *Appender) settle(p *pending, res result) {
	if p.state == stateSettled {
		return
	}
	p.state = stateSettled
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

func (a *Appender) busy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue) > 0
}

// take marks the next batch as being sent and returns it.
func (a *Appender) take() []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := 0
	var batch []*pending
	for _, p := range a.queue {
		size += len(p.data)
		if len(batch) == _maxRecords || (size > _maxBytes && len(batch) > 0) {
			break
		}
		p.state = stateSending
		batch = append(batch, p)
	}
	return batch
}

// refused puts back the records of a request that certainly had no effect.
func (a *Appender) refused(batch []*pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range batch {
		p.state = stateQueued
		if p.abandoned {
			a.remove(p)
		}
	}
}

// rejected ends the records of a request that the log will never accept.
func (a *Appender) rejected(batch []*pending, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range batch {
		kind := berylerror.NotRun
		if p.repeated {
			kind = berylerror.Unknown
		}
		a.settle(p, result{err: kind.Wrap(err, "append")})
	}
}

// lost keeps the records of a request without a reply, to look for them.
func (a *Appender) lost(batch []*pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range batch {
		p.state = stateSuspect
		p.repeated = true
		if p.abandoned {
			a.remove(p)
		}
	}
}

// suspects returns the records to look for, by id, and the first offset at
// which one of them can be.
func (a *Appender) suspects() (map[string]*pending, int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := map[string]*pending{}
	from := int64(-1)
	for _, p := range a.queue {
		if p.state != stateSuspect {
			continue
		}
		wanted[p.id] = p
		if from < 0 || p.base < from {
			from = p.base
		}
	}
	return wanted, max(from, a.upto, 0) + 1
}

// suspicious reports whether a record has to be looked for.
func (a *Appender) suspicious() bool {
	for _, p := range a.queue {
		if p.repeated {
			return true
		}
	}
	return false
}

// sendAgain queues the records that were not found, but for those that were
// added since. Their callers still wait, as those that gave up are removed.
func (a *Appender) sendAgain(wanted map[string]*pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range wanted {
		switch {
		case p.copied > 0:
			a.settle(p, result{offset: p.copied})
		case p.state == stateSuspect:
			p.state = stateQueued
		}
	}
}

// unsettled ends every record that had to be looked for.
func (a *Appender) unsettled(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range slices.Clone(a.queue) {
		switch {
		case p.copied > 0:
			a.settle(p, result{offset: p.copied})
		case p.state == stateSuspect:
			a.settle(p, result{err: err})
		}
	}
}

// stop ends every record that waits.
func (a *Appender) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, p := range slices.Clone(a.queue) {
		switch {
		case p.copied > 0:
			a.settle(p, result{offset: p.copied})
		case p.repeated:
			a.settle(p, result{err: berylerror.Unknown.Errorf("append: process is stopping")})
		default:
			a.settle(p, result{err: berylerror.NotRun.Errorf("append: process is stopping")})
		}
	}
}
