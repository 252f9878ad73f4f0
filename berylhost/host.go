// Package berylhost accounts for the resources that gangs reserve and use on
// one host. A [Part] is the set of resources that one attempt of a job has
// reserved or in use.
//
// A leader reserves resources with [Host.Reserve]. [Host.Commit] marks the part
// as in use. A reservation that is not committed in time expires, measured by
// the agent's clock. [Host.Release] frees a part. Commands of an earlier
// leadership term or an earlier attempt of a job are rejected. The sum of all
// parts never exceeds the host's total, except for parts that were found
// running on the worker after a restart.
package berylhost

import (
	"time"

	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylshape"
)

// _endedRetention is how long an ended attempt is remembered, so that a delayed
// command cannot start it again. It is far longer than any request timeout.
const _endedRetention = 10 * time.Minute

// Key identifies one attempt of a job.
type Key struct {
	Job     string
	Attempt int
}

// Part is the set of resources that an attempt has reserved or in use on this
// host.
type Part struct {
	Key
	Tasks int
	// Shape is the shape of each task.
	Shape berylshape.Shape
	// Expires is the end of the reservation; zero if the part is in use.
	Expires time.Time
}

// Host accounts for the resources of one host.
type Host struct {
	total berylshape.Shape
	term  int64
	parts map[Key]Part
	// ended contains the times at which attempts ended.
	ended map[Key]time.Time
}

// New returns the accounting of a host without parts.
func New(total berylshape.Shape) *Host {
	return &Host{total: total, parts: map[Key]Part{}, ended: map[Key]time.Time{}}
}

// Term returns the highest term that the host has observed.
func (h *Host) Term() int64 { return h.term }

// ObserveTerm records the term of a command and returns an error of kind
// Conflict if a higher one was observed before.
func (h *Host) ObserveTerm(term int64) error {
	if term < h.term {
		return berylerror.Conflict.Errorf("term %d has ended, current term is %d", term, h.term)
	}
	h.term = term
	return nil
}

// Free returns the resources that are neither reserved nor in use. An amount is
// negative if more was found running than the host has.
func (h *Host) Free(now time.Time) berylshape.Shape {
	free := h.total
	for _, p := range h.parts {
		if p.Expires.IsZero() || now.Before(p.Expires) {
			free = free.Sub(p.Shape.Times(p.Tasks))
		}
	}
	return free
}

// Reserve reserves resources for one attempt. It is idempotent; a repeated
// reservation lasts for the new time. An error of kind NotRun means that the
// host cannot accept the attempt.
func (h *Host) Reserve(now time.Time, r berylmessage.Reserve) error {
	if err := h.ObserveTerm(r.Term); err != nil {
		return err
	}
	if r.Tasks < 1 || r.Hold <= 0 {
		return berylerror.Invalid.Errorf("reservation of %d tasks for %s", r.Tasks, r.Hold)
	}
	if err := r.Shape.Check(); err != nil {
		return err
	}
	h.Expire(now)
	key := Key{Job: r.Job, Attempt: r.Attempt}
	if err := h.checkAttempt(key); err != nil {
		return err
	}
	h.dropOlderReservations(key)
	old := h.parts[key]
	if old.Tasks > 0 && (old.Expires.IsZero() || old.Tasks != r.Tasks || old.Shape != r.Shape) {
		return berylerror.NotRun.Errorf("attempt %d of job %s already has a different reservation or is in use", r.Attempt, r.Job)
	}
	free := h.Free(now).Add(old.Shape.Times(old.Tasks))
	if need := r.Shape.Times(r.Tasks); !need.Fits(free) {
		return berylerror.NotRun.Errorf("%v requested but only %v free", need, free)
	}
	h.parts[key] = Part{Key: key, Tasks: r.Tasks, Shape: r.Shape, Expires: now.Add(r.Hold)}
	return nil
}

// checkAttempt returns an error if the attempt or a later one has ended, a
// later one is present, or an earlier one is still in use.
func (h *Host) checkAttempt(key Key) error {
	for k := range h.ended {
		if k.Job == key.Job && k.Attempt >= key.Attempt {
			return berylerror.NotRun.Errorf("attempt %d of job %s has ended", k.Attempt, k.Job)
		}
	}
	for k, p := range h.parts {
		if k.Job != key.Job || k == key {
			continue
		}
		if k.Attempt > key.Attempt || p.Expires.IsZero() {
			return berylerror.NotRun.Errorf("attempt %d of job %s rejected: attempt %d is already on this host", key.Attempt, key.Job, k.Attempt)
		}
	}
	return nil
}

// dropOlderReservations drops the reservations of earlier attempts, which the
// leader has abandoned.
func (h *Host) dropOlderReservations(key Key) {
	for k := range h.parts {
		if k.Job == key.Job && k.Attempt < key.Attempt {
			delete(h.parts, k)
		}
	}
}

// Commit turns a reservation into a part in use. It is idempotent. An error of
// kind NotRun means that the reservation does not exist or has expired.
func (h *Host) Commit(now time.Time, term int64, key Key) (Part, error) {
	if err := h.ObserveTerm(term); err != nil {
		return Part{}, err
	}
	h.Expire(now)
	p, ok := h.parts[key]
	if !ok {
		return Part{}, berylerror.NotRun.Errorf("attempt %d of job %s has no reservation", key.Attempt, key.Job)
	}
	p.Expires = time.Time{}
	h.parts[key] = p
	return p, nil
}

// Release frees the resources of an attempt. An attempt that was in use is
// rejected afterwards. One that was only reserved may be reserved again,
// because the leader counts an attempt when it is decided.
func (h *Host) Release(now time.Time, key Key) {
	p, ok := h.parts[key]
	if ok && p.Expires.IsZero() {
		h.ended[key] = now
	}
	delete(h.parts, key)
}

// Restore adds a part that was found running on the worker.
func (h *Host) Restore(p Part) {
	p.Expires = time.Time{}
	h.parts[p.Key] = p
}

// Expire drops reservations that have expired, and ended attempts that need not
// be remembered any longer.
func (h *Host) Expire(now time.Time) {
	for key, p := range h.parts {
		if !p.Expires.IsZero() && !now.Before(p.Expires) {
			delete(h.parts, key)
		}
	}
	for key, at := range h.ended {
		if now.Sub(at) > _endedRetention {
			delete(h.ended, key)
		}
	}
}
