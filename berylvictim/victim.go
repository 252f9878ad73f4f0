// Package berylvictim estimates what is lost when running work is preempted.
//
// It serves the choice among running units when an urgent job needs their capacity:
// units that save their progress lose little, others all that they have done.
package berylvictim

import "time"

// Victim is a running unit of placement that may be preempted: a task or a whole gang.
type Victim struct {
	// Cores is what the whole unit occupies, with accelerators as cores.
	Cores float64
	// Ran is for how long the unit has run, and Remaining its expected time until its
	// end.
	Ran, Remaining time.Duration
	// Checkpoints means that the unit saves its progress when it is stopped. A new run
	// loads it in Restore.
	Checkpoints bool
	Restore     time.Duration
	// Vacant is for how long the capacity of a stopped run is used by nobody: its stop
	// and the next start.
	Vacant time.Duration
	// Slack is how much later than now the unit may end and its job still be on time.
	// It is negative if the job is late already.
	Slack time.Duration
}

// Loss returns the cost of stopping the unit now, in core-seconds.
func (v Victim) Loss() float64 {
	repeated := v.repeated()
	loss := v.Cores * (v.Vacant + repeated).Seconds()
	if v.madeLate(repeated) {
		// A job that is late is worth less than one that is on time, which costs as
		// much as all of the unit's work.
		loss += v.Cores * (v.Ran + v.Remaining).Seconds()
	}
	return loss
}

// Discarded returns the work that a new run repeats, in core-seconds.
func (v Victim) Discarded() float64 { return v.Cores * v.repeated().Seconds() }

// repeated returns the time for which a new run repeats work.
func (v Victim) repeated() time.Duration {
	if !v.Checkpoints || v.Remaining <= v.Vacant {
		// A unit that ends before its capacity could be used again is no cheap
		// victim, although its progress is saved.
		return v.Ran
	}
	return min(v.Ran, v.Restore)
}

// madeLate reports whether the unit is on time without the stop and late with it.
func (v Victim) madeLate(repeated time.Duration) bool {
	return v.Remaining <= v.Slack && v.Remaining+repeated+v.Vacant > v.Slack
}
