// Package berylhost accounts for what gangs hold on one host.
//
// A leader reserves with [Host.Reserve]; the reservation expires by the agent's
// clock unless [Host.Commit] turns it into a part in use before. A part is
// freed with [Host.Release]. Commands of an older leadership term or of an older
// attempt of a job are refused. The sum of all parts never exceeds the host,
// except for parts that were found running on the worker after a restart.
package berylhost

import (
	"time"

	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylshape"
)

// _endedRetention is how long an ended attempt is remembered, so that a delayed
// command cannot bring it back. It is far above every request timeout.
const _endedRetention = 10 * time.Minute

// Key names one attempt of a job.
type Key struct {
	Job     string
	Attempt int
}

// Part is what an attempt holds on this host.
type Part struct {
	Key
	Tasks int
	// Shape of each task.
	Shape berylshape.Shape
	// Expires is the end of the reservation; zero if the part is in use.
	Expires time.Time
}

// Host is the account of one host.
type Host struct {
	total berylshape.Shape
	term  int64
	parts map[Key]Part
	// ended has the time at which attempts ended.
	ended map[Key]time.Time
}

// New returns the account of an empty host.
func New(total berylshape.Shape) *Host {
	return &Host{total: total, parts: map[Key]Part{}, ended: map[Key]time.Time{}}
}

// Term returns the highest term that the host has seen.
func (h *Host) Term() int64 { return h.term }

// ObserveTerm takes the term of a command and returns an error of kind Conflict if
// a higher one was seen.
func (h *Host) ObserveTerm(term int64) error {
	if term < h.term {
		return berylerror.Conflict.Errorf("term %d is over, the current term is %d", term, h.term)
	}
	h.term = term
	return nil
}

// Free returns what is neither reserved nor in use. An amount is below zero if
// more was found running than the host has.
func (h *Host) Free(now time.Time) berylshape.Shape {
	free := h.total
	for _, p := range h.parts {
		if p.Expires.IsZero() || now.Before(p.Expires) {
			free = free.Sub(p.Shape.Times(p.Tasks))
		}
	}
	return free
}

// Reserve holds resources for one attempt. It is idempotent: a repeated
// reservation holds for the new time. An error of kind NotRun means that the
// host cannot take the attempt.
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
		return berylerror.NotRun.Errorf("attempt %d of job %s holds resources already", r.Attempt, r.Job)
	}
	free := h.Free(now).Add(old.Shape.Times(old.Tasks))
	if need := r.Shape.Times(r.Tasks); !need.Fits(free) {
		return berylerror.NotRun.Errorf("%v asked for and %v free", need, free)
	}
	h.parts[key] = Part{Key: key, Tasks: r.Tasks, Shape: r.Shape, Expires: now.Add(r.Hold)}
	return nil
}

// checkAttempt returns an error if the attempt has ended, a newer one was seen
// or an older one is still in use.
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
			return berylerror.NotRun.Errorf("attempt %d of job %s is on this host", k.Attempt, k.Job)
		}
	}
	return nil
}

// dropOlderReservations ends the reservations of older attempts, which the leader has given
// up.
func (h *Host) dropOlderReservations(key Key) {
	for k := range h.parts {
		if k.Job == key.Job && k.Attempt < key.Attempt {
			delete(h.parts, k)
		}
	}
}

// Commit turns a reservation into a part in use. It is idempotent. An error of
// kind NotRun means that there is no reservation any more.
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

// Release frees what an attempt holds. An attempt that was in use is refused
// from now on. One that was only reserved may be reserved again, because the
// leader counts an attempt when it is decided.
func (h *Host) Release(now time.Time, key Key) {
	p, ok := h.parts[key]
	if ok && p.Expires.IsZero() {
		h.ended[key] = now
	}
	delete(h.parts, key)
}

// Restore takes over a part that was found running.
func (h *Host) Restore(p Part) {
	p.Expires = time.Time{}
	h.parts[p.Key] = p
}

// Expire frees reservations that are over.
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
