package beryldirector

import (
	"time"

	"berylglade/berylstore"
)

// Limits are the bounds that a Director works with.
type Limits struct {
	// Store are the limits of the store; zero means the default ones.
	Store berylstore.Limits
	// LeaseExpiry is the time since the last contact with a backend server after
	// which its lease must have expired, so that nothing can run on it.
	LeaseExpiry time.Duration
	// LeaderTimeout is how long after a contact an agent acts without another one: it
	// extends the lease, and sends starts that were ordered since. It is less than
	// LeaseExpiry.
	LeaderTimeout time.Duration
	// Takeover is how long the topic may have no record of the leader before
	// another entry claims leadership.
	Takeover time.Duration
	// LeaderLease is how long the leader may rely on its leadership, from the
	// start of its last successful append. It is less than Takeover.
	LeaderLease time.Duration
	// Retention is how long an ended job is kept before it is removed.
	Retention time.Duration
	// Stop is how long a run takes at most to end when it is stopped.
	Stop time.Duration
	// Reclaim is the time after its acceptance within which a job that needs no more
	// than the guarantee of its client account has to start.
	Reclaim time.Duration
	// GangTimeout is how long the members of a gang wait for each other to start.
	GangTimeout time.Duration
	// Checkpoint is how often tasks save their progress, and Restore how long a run
	// takes to load it.
	Checkpoint, Restore time.Duration
	// SpreadFactor is how many times longer a task runs away from its rack.
	SpreadFactor float64
}

// preemptionTime returns the time in which a run is stopped and another one is started
// in its place.
func (l Limits) preemptionTime() time.Duration { return l.Stop + _startTime }

// preemptionWindow returns for how long capacity that was freed by preemption is kept for
// the unit that needs it: the stop of runs and the report of it.
func (l Limits) preemptionWindow() time.Duration { return l.Stop + _stopReportTime }

// maxStopTime returns how long a stop may take before its capacity is not expected to come
// free any more: twice that of a stop and its report, as the order may be lost once.
func (l Limits) maxStopTime() time.Duration { return 2 * l.preemptionWindow() }

// guaranteeWait returns the longest wait of guaranteed work before preemption. The rest
// of the time in which such work has to start is enough for two preemptions, as a backend
// server may be lost after the first.
func (l Limits) guaranteeWait() time.Duration {
	return max(l.Reclaim-2*l.preemptionTime()-_guaranteeMargin, 0)
}

// startTimeout returns how long a start may remain unconfirmed: less than the time for
// which the members of a gang wait for each other.
func (l Limits) startTimeout() time.Duration { return min(_maxStartTimeout, l.GangTimeout/2) }

const (
	// _startTime is the time between the end of a run and the start of the next one.
	_startTime = 300 * time.Millisecond
	// _stopReportTime is how long the report of a stopped run may take.
	_stopReportTime = 600 * time.Millisecond
	// _guaranteeMargin covers the append of a submission and a placement pass.
	_guaranteeMargin = 200 * time.Millisecond
	// _maxStartTimeout covers the record of a start, its order and the next report.
	_maxStartTimeout = 1500 * time.Millisecond
)
