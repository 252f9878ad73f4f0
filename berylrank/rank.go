// Package berylrank orders waiting work by what its callers still get from it.
//
// It answers an overload in which not all jobs can be on time. With the earliest deadline
// first, jobs that are late already go before all others and make them late too. Here a job
// that can still be on time goes first.
package berylrank

import (
	"cmp"
	"time"
)

// Rank is the place of a unit in the order of placement.
type Rank struct {
	// Priority is that of its queue; zero is the most urgent.
	Priority int
	// LatestStart is when the unit has to start for its job to be on time, and
	// LastUsefulStart the same for the time after which the result is of no use.
	LatestStart, LastUsefulStart time.Time
	// Exact means that the run time is known well enough to tell that a job is late.
	Exact bool
	// Uncertainty is by how much an exact LatestStart may be too early.
	Uncertainty time.Duration
	// ClaimedStart is when the unit has to start within the guarantee of its client
	// account, whether its job is late or not; zero if it is in none.
	ClaimedStart time.Time
}

// Compare returns a negative number if r is placed before o at the present time, and a
// positive one if it is placed after it.
func (r Rank) Compare(now time.Time, o Rank) int {
	rClass, rStart := r.class(now)
	oClass, oStart := o.class(now)
	return cmp.Or(cmp.Compare(r.Priority, o.Priority), cmp.Compare(rClass, oClass), rStart.Compare(oStart))
}

// class returns the class of the unit, the lowest first, and the time by which units of a
// class are ordered.
func (r Rank) class(now time.Time) (int, time.Time) {
	switch {
	case !r.ClaimedStart.IsZero():
		return _onTime, earlier(r.LatestStart, r.ClaimedStart)
	case !r.Exact || !now.After(r.LatestStart.Add(r.Uncertainty)):
		return _onTime, r.LatestStart
	case !now.Before(r.LastUsefulStart.Add(-_rescueTime)):
		// The wait of late units is bounded: they are placed before they are of no use.
		return _onTime, r.LastUsefulStart.Add(-_rescueTime)
	default:
		return _late, r.LatestStart
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

const (
	_onTime = iota
	_late
)

// _rescueTime is how long before its last useful start a late unit ranks with those that
// can be on time.
const _rescueTime = time.Second
