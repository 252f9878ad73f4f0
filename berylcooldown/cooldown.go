// Package berylcooldown bounds how often a unit of work is preempted.
//
// It answers bursts of urgent jobs that come one after the other: a unit that was preempted
// starts again in the room that the first job leaves, and is preempted for the second.
package berylcooldown

import (
	"strings"
	"time"
)

// Cooldown has the preemptions of each unit that has not ended. The zero value has none.
type Cooldown struct {
	units map[string]preempted
}

type preempted struct {
	count int
	until time.Time
}

// Add notes a preemption of a unit. The unit pauses for longer after each.
func (c *Cooldown) Add(now time.Time, unit string) {
	if c.units == nil {
		c.units = map[string]preempted{}
	}
	p := c.units[unit]
	p.count++
	p.until = now.Add(min(_firstPause<<(p.count-1), _maxPause))
	c.units[unit] = p
}

// Pausing reports whether a unit should not start yet.
func (c *Cooldown) Pausing(now time.Time, unit string) bool { return now.Before(c.units[unit].until) }

// Protected reports whether a unit was preempted so often that only guaranteed work may
// preempt it again.
func (c *Cooldown) Protected(unit string) bool { return c.units[unit].count >= _maxPreemptions }

// Forget drops the units whose names have the prefix.
func (c *Cooldown) Forget(prefix string) {
	for unit := range c.units {
		if strings.HasPrefix(unit, prefix) {
			delete(c.units, unit)
		}
	}
}

const (
	// _firstPause is the pause after the first preemption of a unit; it doubles with each
	// further one up to _maxPause.
	_firstPause = 500 * time.Millisecond
	_maxPause   = 4 * time.Second
	// _maxPreemptions is the number of preemptions from which a unit is protected.
	_maxPreemptions = 3
)
