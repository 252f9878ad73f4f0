// Package berylheadroom learns how much capacity urgent work is about to need.
//
// It answers bursts of urgent jobs on a full cluster: routine work that starts in room
// which the next urgent job takes is stopped again, and the urgent job waits for the stop.
// By Little's law the capacity that urgent work uses on average is its rate of arrival
// times its size times its run time. What of that isn't in use is about to be needed.
package berylheadroom

import (
	"math"
	"time"
)

// Headroom is the learned demand of the urgent work of one service. Its amounts are in
// hosts: a unit that needs half of the scarcest resource of a host counts as 0.5. The zero
// value has seen no arrivals.
type Headroom struct {
	// work is the sum of host-seconds that have arrived, decayed with the time constant
	// _memory as of at.
	work float64
	at   time.Time
}

// Arrive adds an urgent unit that has become ready.
func (h *Headroom) Arrive(now time.Time, hosts float64, run time.Duration) {
	h.work = h.decayed(now) + hosts*run.Seconds()
	h.at = now
}

// Load returns how many hosts urgent work uses on average at its present rate.
func (h *Headroom) Load(now time.Time) float64 { return h.decayed(now) / _memory.Seconds() }

// Keep returns how many whole hosts are to be kept free for urgent work, of which inUse run it
// or are claimed by units that wait, if the service has total.
func (h *Headroom) Keep(now time.Time, inUse, total float64) float64 {
	return math.Round(min(max(h.Load(now)-inUse, 0), total*_maxShare))
}

func (h *Headroom) decayed(now time.Time) float64 {
	if h.work == 0 {
		return 0
	}
	return h.work * math.Exp(-now.Sub(h.at).Seconds()/_memory.Seconds())
}

const (
	// _memory is the time constant of the average: bursts last for seconds, and single
	// arrivals must not count as one.
	_memory = 5 * time.Second
	// _maxShare bounds the headroom as a share of all hosts, as it is idle.
	_maxShare = 0.25
)
