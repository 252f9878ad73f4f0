// Package berylreservation decides for how long capacity stays idle for work that waits for
// more of it.
//
// It answers two loads that ask for the opposite. A steady stream of small work would take
// each accelerator that comes free, so that a gang never finds enough at once: capacity has
// to be reserved for it. And a gang may wait for a run that ends late, or that passes its
// expected end: its reservation must not keep other work from running meanwhile. So reserved
// capacity is lent, and whoever lends it stops the borrowers when all the rest is free.
package berylreservation

import "time"

// Reservation is the capacity that is reserved for a unit of work.
type Reservation struct {
	// Since is when capacity was first reserved for the unit.
	Since time.Time
	// FreeAt is when all of the capacity is expected to be free. It may have passed.
	FreeAt time.Time
	// IdleSince is since when most of the service's capacity has been free and some of it
	// reserved, for this unit or for others; zero if it is not.
	IdleSince time.Time
	// NearSince is since when FreeAt has been near, see [Near]; zero if it is not.
	NearSince time.Time
}

// Near reports whether freeAt is so near that borrowers have to be stopped now for the unit
// to start then.
func Near(now, freeAt time.Time) bool { return freeAt.Sub(now) <= _near }

// Lends reports whether other work may use the capacity that is reserved. Run is how long
// the work takes at most, as far as is known; zero if nothing is known or it has no end.
func (r Reservation) Lends(now time.Time, run time.Duration) bool {
	if run > 0 && !now.Add(run+_startTime).After(r.FreeAt) {
		return true
	}
	return !now.Before(r.OpenAt()) && !r.Closing(now)
}

// Closing reports whether the capacity is about to be used, so that nothing is lent any more
// and borrowers are stopped. It is true for a short time only: an expected end that is near
// may not come.
func (r Reservation) Closing(now time.Time) bool {
	return !r.NearSince.IsZero() && now.Sub(r.NearSince) < _maxClosing
}

// OpenAt returns when the capacity is lent to any work, whenever that ends.
func (r Reservation) OpenAt() time.Time {
	at := r.Since.Add(_maxHold)
	if r.IdleSince.IsZero() {
		return at
	}
	if idle := r.IdleSince.Add(_maxIdle); idle.Before(at) {
		return idle
	}
	return at
}

const (
	// _maxHold is how long capacity is reserved for a unit before it is lent to any work.
	_maxHold = 10 * time.Second
	// _maxIdle is the same while most capacity is free: a job for which there is capacity
	// has to run within 3 s then.
	_maxIdle = 2 * time.Second
	// _near is the time to stop borrowers, and _maxClosing is for how long nothing is lent
	// because of an end that is near. With _maxIdle it is less than 3 s.
	_near       = 700 * time.Millisecond
	_maxClosing = 800 * time.Millisecond
	// _startTime is the time to start work and to report its end.
	_startTime = 500 * time.Millisecond
)
