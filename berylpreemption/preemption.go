// Package berylpreemption decides whether running work is stopped for an urgent unit that
// finds no free capacity.
//
// It answers bursts of urgent jobs on a cluster that routine work fills. A preemption pays
// only if the urgent job is on time with it and late without. A guarantee of capacity has
// to be kept at any cost.
package berylpreemption

import "time"

// Case is an urgent unit that waits for capacity, with what is known at the time of the
// decision.
type Case struct {
	// Waited is for how long the unit has been ready to start, and Patience how long it
	// waits at least before anything is stopped for it.
	Waited, Patience time.Duration
	// Slack is how much later than now the unit may start and its job still be on time.
	// It is negative if the job is late anyway.
	Slack time.Duration
	// Uncertainty is by how much Slack may be too small.
	Uncertainty time.Duration
	// Guaranteed means that the unit is within the guarantee of its client account. It
	// waits GuaranteeWait at most.
	Guaranteed    bool
	GuaranteeWait time.Duration
	// FreeIn is the expected time until the unit has capacity without a preemption.
	// Known is false if there is no such time.
	FreeIn time.Duration
	Known  bool
	// MostlyIdle means that most of the capacity is free, and kept so for the unit. A unit
	// that is late anyway does not keep it for long.
	MostlyIdle bool
	// PreemptionTime is the time from a preemption until the unit starts.
	PreemptionTime time.Duration
}

// Decide reports whether running work is to be stopped for the unit now, and why.
func (c Case) Decide() (preempt bool, reason string) {
	switch {
	case c.GuaranteeDue():
		return true, "guarantee"
	case c.Waited < c.Patience:
		return false, "not due"
	case c.Slack+c.Uncertainty < c.PreemptionTime && c.MostlyIdle && c.FreeIn > c.PreemptionTime:
		return true, "capacity idle"
	case c.Slack+c.Uncertainty < c.PreemptionTime:
		return false, "late anyway"
	case c.Known && c.freeInTime():
		return false, "capacity in time"
	default:
		return true, "late without"
	}
}

// GuaranteeDue reports whether the unit can't wait any longer within its guarantee.
func (c Case) GuaranteeDue() bool { return c.Guaranteed && c.Waited >= c.GuaranteeWait }

// freeInTime reports whether the unit has capacity in time without a preemption.
func (c Case) freeInTime() bool {
	expected := time.Duration(float64(c.FreeIn) * _endTolerance)
	if c.Guaranteed && c.Waited+expected > c.GuaranteeWait {
		return false
	}
	return expected+_startTime <= c.Slack
}

const (
	// _endTolerance covers runs that end later than expected: measured rates of progress
	// are exact to some 5 %, declared run times to some 20 %.
	_endTolerance = 1.2
	// _startTime is the time between the end of a run and the start of the next one.
	_startTime = 300 * time.Millisecond
)
