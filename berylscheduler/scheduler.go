package berylscheduler

import (
	"time"

	"berylglade/berylconfig"
	"berylglade/berylestimator"
	"berylglade/berylguarantee"
	"berylglade/beryljob"
	"berylglade/berylplacement"
	"berylglade/berylquarantine"
	"berylglade/berylqueue"
	"berylglade/berylshape"
)

const (
	// _missingWorkerTimeout is how long a worker that has not registered since the
	// start, or was lost, may still return. Until then no job is rejected because
	// it fits only there.
	_missingWorkerTimeout = 5 * time.Minute
	// _avoidAfterRefusal is how long a job avoids a worker that refused it.
	_avoidAfterRefusal = 5 * time.Second
	// _avoidAfterFailure is how long a job avoids a worker on which it failed. The
	// time is limited because a rack may have no other worker.
	_avoidAfterFailure = 2 * time.Minute
	// _maxProtectedShapes is the number of guaranteed shapes that placement
	// protects. Each of them adds to the cost of every worker that is examined.
	_maxProtectedShapes = 6
)

// Options configures a Scheduler. Each switch disables one decision, so that a
// measurement can show the effect of that decision.
type Options struct {
	// MissingWorkerTimeout is how long workers may be missing, after the start or
	// after their loss, before a job that fits only on them is rejected; zero means
	// 5 minutes.
	MissingWorkerTimeout time.Duration
	// NoGuarantee ignores guarantees.
	NoGuarantee bool
	// NoReservation reserves no capacity for a waiting large gang.
	NoReservation bool
	// NoEstimator uses declared run times instead of estimates.
	NoEstimator bool
	// NoFragmentation ignores fragmentation: placement takes the first workers
	// that fit.
	NoFragmentation bool
	// NoCompaction moves no running gang to make room for a guarantee.
	NoCompaction bool
	// NoQuarantine ignores failures of workers and jobs.
	NoQuarantine bool
	// NoAgeing orders best-effort work after all work with a target, however long
	// it has waited.
	NoAgeing bool
}

// Scheduler decides which gang runs where. It is not safe for concurrent use.
type Scheduler struct {
	opts      Options
	startedAt time.Time
	now       time.Time
	cfg       *berylconfig.Config

	placement  *berylplacement.Placement
	guarantees *berylguarantee.Plan
	queue      berylqueue.Queue
	estimator  berylestimator.Estimator
	quarantine berylquarantine.Quarantine

	jobs    map[string]*job
	workers []worker
	domains map[string]*domain
	// accountUsage is the capacity that each account's gangs hold.
	accountUsage map[string]berylshape.Shape
	// assigned are jobs with assigned workers that wait for the end of preempted
	// gangs, in the order of assignment.
	assigned []*job
	// stopping are preempted gangs that have not ended, in the order of preemption.
	stopping []*job
	// unclassified are gangs whose allocKind has to be determined again, after a
	// restart or a change of their account's guarantees.
	unclassified          []*job
	lateChecks            lateHeap
	reservation           *reservation
	lastReservationSearch time.Time
	pendingRejects        []Reject
	failedSearches        failedSearches
	// evacuating are gangs that were stopped in failure domains that are out and
	// have not been placed again.
	evacuating     []*job
	nextCompaction time.Time
	// lastRepack is the time of the last attempt to replan all guarantees.
	lastRepack time.Time
	// assignments counts the assignments of workers to gangs.
	assignments int
	// resumeAt is the job at which the last pass over the queue reached its limit
	// of work; empty if the pass was complete.
	resumeAt string
	// capacityVersion counts changes that may let a waiting job fit.
	capacityVersion int
	// infeasible caches why a request does not fit even on an empty cluster; the
	// reason is empty if the request fits.
	infeasible map[requestKind]string
	// emptyCluster is a model of the cluster without work, created on demand.
	emptyCluster *emptyCluster
	// lostSince has the workers that are lost but may still return.
	lostSince map[int]time.Time
	// probing are quarantined workers that may run one gang of one task as a test.
	probing map[int]bool
	counts  Counts
}

// allocKind says whose capacity a gang uses and whether it can be preempted.
type allocKind uint8

const (
	// _nonPreemptible work is not stopped for other work.
	_nonPreemptible allocKind = iota + 1
	// _borrowed work can be checkpointed and preempted at any time.
	_borrowed
	// _guaranteed work uses units of its account's guarantee. It is not stopped for
	// other work either, but compaction may move it.
	_guaranteed
)

// stage is the position of a job in the scheduler's life cycle. The order of the
// values is significant.
type stage uint8

const (
	// _idle jobs wait for an event: their last attempt ended or they were rejected.
	_idle stage = iota
	// _waiting jobs are in the queue.
	_waiting
	// _assigned jobs have workers, on which preempted gangs still have to end.
	_assigned
	// _placed jobs were passed to the owner in a Place action.
	_placed
	// _running jobs have been reported as started.
	_running
)

// job is a job that has not ended.
type job struct {
	beryljob.State
	stage stage
	kind  allocKind
	// deadline follows from the class's target; the zero time means best effort.
	deadline time.Time
	attempt  int
	parts    []berylplacement.Part
	grant    *berylguarantee.Grant
	// started is the time of the placement and, once the gang runs, of its start.
	started time.Time
	// assignment is the sequence number of the job's assignment. A gang with a
	// higher number than the reservation is backfill. Assignments are counted
	// instead of starts because a gang that waits for others to end was chosen
	// before the reservation and is no backfill.
	assignment int
	// pendingStops is the number of gangs that have to end before an assigned job
	// starts.
	pendingStops int
	// waiters are the assigned jobs that wait for this one to end.
	waiters []*job
	// preemptedAt is when the gang was told to stop; zero if it was not.
	preemptedAt time.Time
	// killed is set if the gang was told to stop without a checkpoint.
	killed bool
	// evacuated is set from an evacuation until the next placement.
	evacuated bool
	// requeue is set if JobQueued arrived before the GangEnded of the last attempt.
	requeue bool
	// ended is set by JobEnded; members may still hold resources.
	ended bool
	// late is set once the missed target was reported.
	late bool
	// rejected jobs are never queued again.
	rejected bool
	// triedVersion is the capacityVersion of the last attempt to place the job.
	triedVersion int
	// lastTried is the time of the last attempt to place the job.
	lastTried time.Time
	// lastVictimSearch is the time of the last search for gangs to preempt.
	lastVictimSearch time.Time
	// lastDisplacement is the time of the last search for guaranteed units to move.
	lastDisplacement time.Time
	// compacted is set if the gang was preempted by compaction.
	compacted bool
	// avoidUntil has the workers that the job avoids, each until a time.
	avoidUntil map[int]time.Time
}

// worker is the state of a worker beyond the placement index. Its index in
// Scheduler.workers is its number in the placement index.
type worker struct {
	Worker
	// present is set while the worker is registered and not lost.
	present bool
	// gangs have tasks assigned to the worker.
	gangs []*job
	// excess is the reported usage above the reserved amount that is counted, and
	// lastExcess is that of the last report.
	excess     berylshape.Shape
	lastExcess berylshape.Shape
	// foreign is the size of the reported gangs that the scheduler does not know.
	foreign berylshape.Shape
	// ramped is false while the worker gets no work because the capacity of its
	// failure domain returns in steps.
	ramped bool
}

// New returns a scheduler without jobs, workers and configuration.
func New(o Options) *Scheduler {
	if o.MissingWorkerTimeout == 0 {
		o.MissingWorkerTimeout = _missingWorkerTimeout
	}
	p := &berylplacement.Placement{FirstFit: o.NoFragmentation}
	return &Scheduler{
		opts:         o,
		cfg:          &berylconfig.Config{},
		placement:    p,
		guarantees:   berylguarantee.New(p),
		queue:        berylqueue.Queue{NoAgeing: o.NoAgeing},
		estimator:    berylestimator.Estimator{Disabled: o.NoEstimator},
		jobs:         map[string]*job{},
		domains:      map[string]*domain{},
		accountUsage: map[string]berylshape.Shape{},
		lostSince:    map[int]time.Time{},
		probing:      map[int]bool{},
		infeasible:   map[requestKind]string{},
	}
}

// Handle applies a change. The times passed to Handle and Decide must not
// decrease.
func (s *Scheduler) Handle(now time.Time, ev Event) {
	s.tick(now)
	switch ev := ev.(type) {
	case JobQueued:
		s.jobQueued(ev.State)
	case JobRestored:
		s.jobRestored(ev.State)
	case JobEnded:
		s.jobEnded(ev.Job)
	case GangStarted:
		s.gangStarted(ev)
	case GangEnded:
		s.gangEnded(ev)
	case PlacementRefused:
		s.placementRefused(ev)
	case WorkerSeen:
		s.workerSeen(ev.Worker)
	case WorkerLost:
		s.workerLost(ev.Worker)
	case UsageReported:
		s.usageReported(ev)
	case ConfigChanged:
		s.configChanged(ev.Config)
	}
}

func (s *Scheduler) tick(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	if now.After(s.now) {
		s.now = now
	}
}

// class returns a job's class; an unknown class is best effort and can't be
// preempted.
func (s *Scheduler) class(j *job) berylconfig.Class { return s.cfg.Classes[j.Class] }

func (s *Scheduler) expectedRun(j *job) time.Duration {
	return s.estimator.RunTime(j.Class, j.Account, j.Declared.Std())
}

func (s *Scheduler) queueItem(j *job) berylqueue.Item {
	it := berylqueue.Item{ID: j.ID, WaitingSince: j.Accepted, Deadline: j.deadline}
	if !j.deadline.IsZero() && s.class(j).Target.Start == 0 {
		it.RunTime = s.expectedRun(j)
	}
	return it
}

// setDeadline computes the deadline of a job. The result is stored because the
// computation is slow for a target by time of day.
func (s *Scheduler) setDeadline(j *job) {
	j.deadline, _ = s.class(j).Target.Deadline(j.Accepted)
}

// slack returns the time that a job may still wait, and false for best effort.
func (s *Scheduler) slack(j *job) (time.Duration, bool) {
	it := s.queueItem(j)
	return it.Slack(s.now), !it.Deadline.IsZero()
}
