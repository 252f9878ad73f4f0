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
	// _away is how long a worker that was never seen, or was lost, may still
	// come back, so that no job is rejected because of it.
	_missingWorkerTimeout = 5 * time.Minute
	// _refused is how long a worker that refused a job is avoided for it.
	_avoidAfterRefusal = 5 * time.Second
	// _blamed is how long a worker on which a job failed is avoided for it. It is
	// not avoided for ever, as a rack may have no other worker.
	_avoidAfterFailure = 2 * time.Minute
	// _protected is the number of guaranteed shapes that placement protects;
	// each costs time for each worker looked at.
	_maxProtectedShapes = 6
)

// Options configure a Scheduler. The switches turn single decisions off so that
// a measurement can show what each is worth.
type Options struct {
	// MissingWorkerTimeout is how long workers may be missing after a start before a job that
	// does not fit is rejected; zero means 5 minutes.
	MissingWorkerTimeout time.Duration
	// NoGuarantee ignores guarantees.
	NoGuarantee bool
	// NoReservation keeps no capacity for a waiting large gang.
	NoReservation bool
	// NoEstimator uses declared run times.
	NoEstimator bool
	// NoFragmentation takes the first workers that fit.
	NoFragmentation bool
	// NoCompaction moves no running gang for a guarantee.
	NoCompaction bool
	// NoQuarantine blames neither workers nor jobs.
	NoQuarantine bool
	// NoAgeing lets best-effort work wait for as long as other work arrives.
	NoAgeing bool
}

// Scheduler decides which gang runs where. It is not safe for concurrent use.
type Scheduler struct {
	opts      Options
	startedAt time.Time
	now       time.Time
	cfg       *berylconfig.Config

	placement  *berylplacement.Placement
	guarantees *berylguarantee.Guarantee
	queue      berylqueue.Queue
	estimator  berylestimator.Estimator
	quarantine berylquarantine.Quarantine

	jobs    map[string]*job
	workers []worker
	domains map[string]*domain
	// used is what each account holds.
	accountUsage map[string]berylshape.Shape
	// booked are jobs that wait for the end of preempted gangs, in order.
	assigned []*job
	// stopping are preempted gangs that have not ended, in order.
	stopping []*job
	// restore are running gangs whose guarantee changed.
	unclassified []*job
	lateChecks   lateHeap
	reservation  *reservation
	// held is the time of the last search for a reservation.
	lastReservationSearch time.Time
	pendingRejects        []Reject
	failedSearches        failedSearches
	// moving are gangs stopped in domains that are out.
	evacuating []*job
	// nextCompact is the earliest time of the next compaction.
	nextCompaction time.Time
	// repacked is the time of the last attempt to plan guarantees afresh.
	lastRepack time.Time
	// bookings counts the gangs that were given workers.
	assignments int
	// cursor is where the last walk over the queue ran out of time.
	resumeAt string
	// grown counts changes that may let a waiting job fit.
	capacityVersion int
	// never has why jobs of a kind can't fit even on an empty cluster; empty if
	// they can.
	infeasible map[requestKind]string
	// empty is the cluster without work, made when it is needed.
	emptyCluster *emptyCluster
	// lost are workers that may still come back.
	lostSince map[int]time.Time
	// probing are quarantined workers that may run one small gang.
	probing map[int]bool
	counts  Counts
}

// kind says what a gang's resources are charged to.
type allocKind uint8

const (
	// firm work can't be reclaimed.
	_nonPreemptible allocKind = iota + 1
	// borrowed work can be checkpointed and stopped at any time.
	_borrowed
	// granted work uses units of its account's guarantee.
	_guaranteed
)

// step is how far a job has come here.
type stage uint8

const (
	// idle jobs wait for an event: they ended an attempt or were rejected.
	_idle stage = iota
	// waiting jobs are in the queue.
	_waiting
	// booked jobs have workers that others still have to leave.
	_assigned
	// placed jobs were handed to the owner.
	_placed
	// running jobs have started.
	_running
)

// job is a job that has not ended.
type job struct {
	beryljob.State
	stage stage
	kind  allocKind
	// deadline is the target's, or the zero time.
	deadline time.Time
	attempt  int
	parts    []berylplacement.Part
	grant    *berylguarantee.Grant
	// started is the time of the placement, then of the start.
	started time.Time
	// number counts bookings; backfill has a higher one than the reservation. It
	// does not count starts, as a gang that waits for others to end was chosen
	// before the reservation and is no backfill.
	assignment int
	// waits is the number of gangs that have to end before a booked job starts.
	pendingStops int
	// waiters are the booked jobs that wait for this one to end.
	waiters []*job
	// stopped is when the gang was preempted; zero if it was not.
	preemptedAt time.Time
	killed      bool
	// moved is set from an evacuation until the next placement.
	evacuated bool
	// again is set if the job was queued before its last attempt ended here.
	requeue bool
	ended   bool
	late    bool
	// rejected jobs are never queued again.
	rejected bool
	// tried is the value of grown at the last attempt to place.
	triedVersion int
	// looked is the time of the last attempt to place.
	lastTried time.Time
	// searched is the time of the last search for gangs to stop.
	lastVictimSearch time.Time
	// displaced is the time of the last search for guaranteed units to move.
	lastDisplacement time.Time
	// compacted is set if the gang was stopped for a guarantee's sake.
	compacted  bool
	avoidUntil map[int]time.Time
}

// worker is what the scheduler knows beyond the placement index. The index in
// Scheduler.workers is the number in the placement index.
type worker struct {
	Worker
	present bool
	// gangs have parts on the worker.
	gangs []*job
	// excess and last are unexplained usage: the part that is counted and the
	// part of the last report.
	excess     berylshape.Shape
	lastExcess berylshape.Shape
	// foreign is the size of reported gangs that the scheduler does not know.
	foreign berylshape.Shape
	// held back until the failure domain's capacity has come back that far.
	ramped bool
}

// New returns a scheduler that knows nothing.
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
		estimator:    berylestimator.Estimator{Off: o.NoEstimator},
		jobs:         map[string]*job{},
		domains:      map[string]*domain{},
		accountUsage: map[string]berylshape.Shape{},
		lostSince:    map[int]time.Time{},
		probing:      map[int]bool{},
		infeasible:   map[requestKind]string{},
	}
}

// Handle takes a change into account. Times must not go back.
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

// class returns a job's class; an unknown class is best effort and firm.
func (s *Scheduler) class(j *job) berylconfig.Class { return s.cfg.Classes[j.Class] }

// run returns the expected run time of a job.
func (s *Scheduler) expectedRun(j *job) time.Duration {
	return s.estimator.Run(j.Class, j.Account, j.Declared.Std())
}

// item returns the queue item of a job.
func (s *Scheduler) queueItem(j *job) berylqueue.Item {
	it := berylqueue.Item{ID: j.ID, Since: j.Accepted, Deadline: j.deadline}
	if !j.deadline.IsZero() && s.class(j).Target.Start == 0 {
		it.Run = s.expectedRun(j)
	}
	return it
}

// aim computes the deadline of a job, which is slow for a time of day.
func (s *Scheduler) setDeadline(j *job) {
	j.deadline, _ = s.class(j).Target.Deadline(j.Accepted)
}

// slack is the time that a job may still wait, and false for best effort.
func (s *Scheduler) slack(j *job) (time.Duration, bool) {
	it := s.queueItem(j)
	return it.Slack(s.now), !it.Deadline.IsZero()
}
