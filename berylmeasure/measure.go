// Package berylmeasure simulates a workload under a scheduling policy in virtual
// time and reports completion times, fragmentation, work done while a failure
// domain is out, and violations of the invariants.
//
// The simulation replaces the leader and the agents by fixed delays. It uses no
// network, and a real clock only to measure how long the policy's decisions take.
package berylmeasure

import (
	"container/heap"
	"time"

	"berylglade/berylclock"
	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylscheduler"
	"berylglade/berylworkload"
)

// Delays of the simulated processes.
const (
	// _startDelay is the time from a placement to running tasks. It covers the
	// reservation, the append to the log, the start and the anchor's decision.
	_startDelay = 300 * time.Millisecond
	// _stopDelay is the time to stop a gang without a checkpoint.
	_stopDelay = time.Second
	// _lostDelay is the time without heartbeats until an agent counts as lost.
	_lostDelay = 4 * time.Second
	// _failDelay is the time from the start of tasks on a failing worker until
	// they fail.
	_failDelay = 5 * time.Second
	// _outBound is the time after a failure domain was taken out from which
	// nothing may be placed in it.
	_outBound = 3 * time.Second
	// _tickInterval is the longest time between two decisions.
	_tickInterval = 5 * time.Second
)

// Policy is the scheduling policy under measurement.
type Policy interface {
	Handle(now time.Time, ev berylscheduler.Event)
	Decide(now time.Time) []berylscheduler.Action
}

// Run is one simulation of a workload under a policy.
type Run struct {
	workload *berylworkload.Workload
	policy   Policy
	clock    berylclock.Clock

	now      time.Time
	deadline time.Time
	seq      int
	queue    eventHeap
	cfg      *berylconfig.Config
	workers  map[string]*simWorker
	jobs     map[string]*simJob
	outSince map[string]time.Time
	free     freeAccelerators
	// guarantees are in the order in which they are checked; lastCheck is the
	// time of the last check.
	guarantees []guarantee
	lastCheck  time.Time
	demand     int
	capacity   int
	inUse      int
	result     Result
	trace      []Point
}

// simWorker is the simulated state of one worker. The accelerators, cores and
// memory are those in use.
type simWorker struct {
	worker       berylscheduler.Worker
	accelerators int
	cores        int
	memory       int64
	lost         bool
	failing      bool
	// jobs is the number of tasks on this worker by job.
	jobs map[*simJob]int
}

// jobPhase is the simulated phase of a job.
type jobPhase uint8

const (
	waiting jobPhase = iota + 1
	starting
	running
	stopping
	ended
)

// simJob is the simulated state of one job.
type simJob struct {
	arrival   *berylworkload.Arrival
	state     beryljob.State
	phase     jobPhase
	remaining time.Duration
	attempt   int
	members   []beryljob.Member
	// version increases with each placement, stop and end of the job. Events of
	// earlier versions are ignored.
	version int
	// since is the time of the placement, or of the start once the tasks run.
	since      time.Time
	started    time.Time
	finished   time.Time
	starts     int
	finalPhase beryljob.Phase
	late       bool
	segments   []segment
}

// segment is a span of time in which a job used n accelerators. Its work is useful
// if the progress was not lost.
type segment struct {
	from, to time.Time
	n        int
	useful   bool
}

// New returns a run. The clock is used only to measure how long decisions take.
func New(w *berylworkload.Workload, policy Policy, clock berylclock.Clock) *Run {
	r := &Run{
		workload: w, policy: policy, clock: clock, guarantees: sortedGuarantees(w.Config),
		now: w.Start, cfg: w.Config.Clone(),
		workers: map[string]*simWorker{}, jobs: map[string]*simJob{}, outSince: map[string]time.Time{},
	}
	r.free.unit = largestGuarantee(w.Config)
	r.result = Result{Workload: w.Name, Seed: w.Seed}
	return r
}

// Run simulates the whole workload. After the end of the workload it continues
// until every job has ended, but for no longer than the span of the workload.
func (r *Run) Run() Result {
	r.deadline = r.workload.End.Add(r.workload.End.Sub(r.workload.Start))
	r.policy.Handle(r.now, berylscheduler.ConfigChanged{Config: r.cfg})
	for i := range r.workload.Workers {
		r.addWorker(r.workload.Workers[i])
	}
	for i := range r.workload.Jobs {
		r.schedule(r.workload.Jobs[i].Job.Accepted, jobArrival{arrival: &r.workload.Jobs[i]})
	}
	for _, f := range r.workload.Faults {
		r.schedule(f.Time(), faultStart{fault: f})
	}
	r.schedule(r.now, tick{})
	for r.queue.Len() > 0 && !r.now.After(r.deadline) {
		r.step()
	}
	return r.summarize()
}

// step handles all events of the next instant and then asks the policy for
// decisions.
func (r *Run) step() {
	next := r.queue.items[0].at
	r.integrate(next)
	r.now = next
	for r.queue.Len() > 0 && !r.queue.items[0].at.After(r.now) {
		item, _ := heap.Pop(&r.queue).(queuedEvent)
		r.handle(item.ev)
	}
	r.decide()
}

// decide asks the policy for actions until there are none, but at most a fixed
// number of times. A preemption can allow a placement at the same instant.
func (r *Run) decide() {
	const maxRounds = 8
	for range maxRounds {
		began := r.clock()
		actions := r.policy.Decide(r.now)
		r.result.recordDecision(r.clock().Sub(began))
		for _, a := range actions {
			r.apply(a)
		}
		if len(actions) == 0 {
			break
		}
	}
	r.checkGuarantees()
}

func (r *Run) apply(action berylscheduler.Action) {
	switch a := action.(type) {
	case berylscheduler.Place:
		r.placeGang(a)
	case berylscheduler.Preempt:
		r.preemptGang(a)
	case berylscheduler.Reject:
		if j := r.jobs[a.Job]; j != nil && j.phase == waiting {
			r.endJob(j, beryljob.Failed)
		}
	case berylscheduler.Late:
		if j := r.jobs[a.Job]; j != nil {
			j.late = true
		}
	case berylscheduler.Probe:
	}
}

// Event queue.

type event interface{ isEvent() }

type jobArrival struct{ arrival *berylworkload.Arrival }

type jobCancellation struct{ job *simJob }

type faultStart struct{ fault berylworkload.Fault }

// gangStart, gangCompletion, gangFailure and gangStopped apply to one version of a
// job.
type gangStart struct {
	job     *simJob
	version int
}

type gangCompletion struct {
	job     *simJob
	version int
}

type gangFailure struct {
	job     *simJob
	version int
	blamed  string
}

type gangStopped struct {
	job     *simJob
	version int
	blamed  string
	useful  bool
	cancel  bool
}

type workersTimeout struct{ workers []string }

type workersReturn struct{ workers []string }

type graceEnd struct{ domain string }

type workerRepair struct{ worker string }

type tick struct{}

func (jobArrival) isEvent()      {}
func (jobCancellation) isEvent() {}
func (faultStart) isEvent()      {}
func (gangStart) isEvent()       {}
func (gangCompletion) isEvent()  {}
func (gangFailure) isEvent()     {}
func (gangStopped) isEvent()     {}
func (workersTimeout) isEvent()  {}
func (workersReturn) isEvent()   {}
func (graceEnd) isEvent()        {}
func (workerRepair) isEvent()    {}
func (tick) isEvent()            {}

type queuedEvent struct {
	at  time.Time
	seq int
	ev  event
}

type eventHeap struct{ items []queuedEvent }

func (h *eventHeap) Len() int { return len(h.items) }

func (h *eventHeap) Less(i, j int) bool {
	if !h.items[i].at.Equal(h.items[j].at) {
		return h.items[i].at.Before(h.items[j].at)
	}
	return h.items[i].seq < h.items[j].seq
}

func (h *eventHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

func (h *eventHeap) Push(x any) {
	if item, ok := x.(queuedEvent); ok {
		h.items = append(h.items, item)
	}
}

func (h *eventHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

func (r *Run) schedule(t time.Time, ev event) {
	r.seq++
	heap.Push(&r.queue, queuedEvent{at: t, seq: r.seq, ev: ev})
}
