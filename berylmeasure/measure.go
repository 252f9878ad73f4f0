// Package berylmeasure runs a workload against a scheduling policy in virtual
// time and reports completion time, fragmentation, work done while a failure
// domain is out, and violations of the invariants.
//
// It plays the part of the leader and the agents with fixed delays; it knows no
// network and no real clock except to time the policy's decisions.
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

// Delays of the processes that a run stands for.
const (
	// _startDelay is the time from a placement to running tasks: reservation,
	// append, start and the anchor's decision.
	_startDelay = 300 * time.Millisecond
	// _stopDelay is the time to stop a gang without a checkpoint.
	_stopDelay = time.Second
	// _lostDelay is the time until a silent agent counts as dead.
	_lostDelay = 4 * time.Second
	// _failDelay is the time after which tasks on a failing worker fail.
	_failDelay = 5 * time.Second
	// _outBound is the time after which nothing may start in a failure domain
	// that was taken out.
	_outBound = 3 * time.Second
	// _tickInterval is the longest time between two decisions.
	_tickInterval = 5 * time.Second
)

// Policy is what is measured.
type Policy interface {
	Handle(now time.Time, ev berylscheduler.Event)
	Decide(now time.Time) []berylscheduler.Action
}

// Run is one run of a workload against a policy.
type Run struct {
	w      *berylworkload.Workload
	policy Policy
	clock  berylclock.Clock

	now      time.Time
	deadline time.Time
	seq      int
	queue    eventHeap
	cfg      *berylconfig.Config
	hosts    map[string]*host
	jobs     map[string]*jobRun
	outSince map[string]time.Time
	free     freeAccelerators
	// promises are the guarantees in the order of the check; checked is the
	// time of the last one.
	promises []promise
	checked  time.Time
	demand   int
	capacity int
	inUse    int
	result   Result
	trace    []Point
}

// host is the truth about one worker.
type host struct {
	worker  berylscheduler.Worker
	used    int
	cores   int
	memory  int64
	lost    bool
	failing bool
	// jobs run here.
	jobs map[*jobRun]int
}

// jobPhase is the truth about a job.
type jobPhase uint8

const (
	waiting jobPhase = iota + 1
	starting
	running
	stopping
	ended
)

// jobRun is the truth about one job.
type jobRun struct {
	arrival *berylworkload.Arrival
	state   beryljob.State
	phase   jobPhase
	left    time.Duration
	attempt int
	members []beryljob.Member
	// version makes events of earlier attempts void.
	version  int
	since    time.Time
	started  time.Time
	finished time.Time
	runs     int
	final    beryljob.Phase
	late     bool
	segments []segment
}

// segment is a span in which a job held accelerators.
type segment struct {
	from, to time.Time
	n        int
	useful   bool
}

// New prepares a run. The clock only times the decisions.
func New(w *berylworkload.Workload, policy Policy, clock berylclock.Clock) *Run {
	r := &Run{
		w: w, policy: policy, clock: clock, promises: promises(w.Config),
		now: w.Start, cfg: w.Config.Clone(),
		hosts: map[string]*host{}, jobs: map[string]*jobRun{}, outSince: map[string]time.Time{},
	}
	r.free.unit = largestGuarantee(w.Config)
	r.result = Result{Workload: w.Name, Seed: w.Seed}
	return r
}

// Run plays the whole workload. After the last arrival it goes on until every
// job has ended, for at most the same span again.
func (r *Run) Run() Result {
	r.deadline = r.w.End.Add(r.w.End.Sub(r.w.Start))
	r.policy.Handle(r.now, berylscheduler.ConfigChanged{Config: r.cfg})
	for i := range r.w.Workers {
		r.addWorker(r.w.Workers[i])
	}
	for i := range r.w.Jobs {
		r.at(r.w.Jobs[i].Job.Accepted, arrive{arrival: &r.w.Jobs[i]})
	}
	for _, f := range r.w.Faults {
		r.at(f.Time(), fault{fault: f})
	}
	r.at(r.now, tick{})
	for r.queue.Len() > 0 && !r.now.After(r.deadline) {
		r.step()
	}
	return r.finish()
}

// step handles all events of one instant and then asks for decisions.
func (r *Run) step() {
	next := r.queue.items[0].at
	r.account(next)
	r.now = next
	for r.queue.Len() > 0 && !r.queue.items[0].at.After(r.now) {
		item, _ := heap.Pop(&r.queue).(queued)
		r.handle(item.ev)
	}
	r.decide()
}

// decide asks until the policy has no more actions, as a preemption can allow a
// placement at once.
func (r *Run) decide() {
	const most = 8
	for range most {
		began := r.clock()
		actions := r.policy.Decide(r.now)
		r.result.recordDecision(r.clock().Sub(began))
		for _, a := range actions {
			r.act(a)
		}
		if len(actions) == 0 {
			break
		}
	}
	r.checkGuarantees()
}

func (r *Run) act(action berylscheduler.Action) {
	switch a := action.(type) {
	case berylscheduler.Place:
		r.place(a)
	case berylscheduler.Preempt:
		r.preempt(a)
	case berylscheduler.Reject:
		if j := r.jobs[a.Job]; j != nil && j.phase == waiting {
			r.end(j, beryljob.Failed)
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

type arrive struct{ arrival *berylworkload.Arrival }

type cancel struct{ job *jobRun }

type fault struct{ fault berylworkload.Fault }

// begin, complete, fail and stopped belong to one version of a job.
type begin struct {
	job     *jobRun
	version int
}

type complete struct {
	job     *jobRun
	version int
}

type fail struct {
	job     *jobRun
	version int
	blamed  string
}

type stopped struct {
	job     *jobRun
	version int
	blamed  string
	useful  bool
	cancel  bool
}

type workersGone struct{ workers []string }

type workersBack struct{ workers []string }

type domainGone struct{ domain string }

type heal struct{ worker string }

type tick struct{}

func (arrive) isEvent()      {}
func (cancel) isEvent()      {}
func (fault) isEvent()       {}
func (begin) isEvent()       {}
func (complete) isEvent()    {}
func (fail) isEvent()        {}
func (stopped) isEvent()     {}
func (workersGone) isEvent() {}
func (workersBack) isEvent() {}
func (domainGone) isEvent()  {}
func (heal) isEvent()        {}
func (tick) isEvent()        {}

type queued struct {
	at  time.Time
	seq int
	ev  event
}

type eventHeap struct{ items []queued }

func (h *eventHeap) Len() int { return len(h.items) }

func (h *eventHeap) Less(i, j int) bool {
	if !h.items[i].at.Equal(h.items[j].at) {
		return h.items[i].at.Before(h.items[j].at)
	}
	return h.items[i].seq < h.items[j].seq
}

func (h *eventHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

func (h *eventHeap) Push(x any) {
	if item, ok := x.(queued); ok {
		h.items = append(h.items, item)
	}
}

func (h *eventHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

func (r *Run) at(t time.Time, ev event) {
	r.seq++
	heap.Push(&r.queue, queued{at: t, seq: r.seq, ev: ev})
}
