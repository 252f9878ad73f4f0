package berylleader

import (
	"sort"
	"time"

	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylscheduler"
)

// Timeouts and intervals of an attempt.
const (
	// _settleTime is how long a new leader collects heartbeats before it places
	// jobs: two heartbeat periods.
	_settleTime = 2 * time.Second
	// _reserveTimeout ends an attempt whose reservations are incomplete.
	_reserveTimeout = 3 * time.Second
	// _holdTime is how long agents hold a reservation. It covers the
	// reservation, the append of the decision and the start.
	_holdTime = 10 * time.Second
	// _armTimeout is how long an armed member waits for the gang to start.
	_armTimeout = 5 * time.Second
	// _startTimeout ends an attempt that has not started. It is the hold time,
	// in which a start can still succeed, plus the arm timeout that follows.
	_startTimeout = _holdTime + _armTimeout
	// _resendInterval is the time between two sends of a start or stop that has
	// not been confirmed.
	_resendInterval = time.Second
	// _lostTimeout is the silence of an agent after which no member of a gang
	// with a dead member can still be running. The property test of package
	// berylgang shows up to 35 s for gangs with killed processes.
	_lostTimeout = 40 * time.Second
	// _isolationTimeout is how long an agent must be unable to reach any entry
	// before it stops its gangs. It is longer than a network partition between
	// regions, which can last minutes.
	_isolationTimeout = 10 * time.Minute
	// _appendInterval is the delay after a failed append.
	_appendInterval = time.Second
)

// Policy decides which gang runs where. The implementation is
// berylscheduler.Scheduler.
type Policy interface {
	Handle(now time.Time, ev berylscheduler.Event)
	Decide(now time.Time) []berylscheduler.Action
}

// Leader is the control leader. The control actor owns it. Except between
// Elected and Deposed it ignores all events other than these two.
type Leader struct {
	// Term is the term that this process leads, or zero.
	Term int64
	// Counts counts outcomes since the process started.
	Counts Counts

	policy    Policy
	newPolicy func() Policy
	cfg       *berylconfig.Config
	electedAt time.Time
	gangs     map[string]*gang
	agents    map[string]*agent
	effects   []Effect
}

// Counts are the numbers of outcomes of attempts.
type Counts struct {
	Placed    int `json:"placed"`
	Refused   int `json:"refused"`
	Decided   int `json:"decided"`
	Started   int `json:"started"`
	Aborted   int `json:"aborted"`
	Preempted int `json:"preempted"`
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Late      int `json:"late"`
	Strays    int `json:"strays"`
}

// agent is the last heartbeat of an agent and when it arrived.
type agent struct {
	heartbeat     berylmessage.Heartbeat
	lastHeartbeat time.Time
	lost          bool
	// foreign is true if the policy was last told of members on this agent that belong
	// to no current attempt. It counts their resources as used.
	foreign bool
}

// New returns a leader that leads no term yet. Each term gets a new policy.
func New(newPolicy func() Policy) *Leader {
	return &Leader{newPolicy: newPolicy}
}

// Handle applies an event and returns the effects to run.
func (l *Leader) Handle(now time.Time, ev Event) []Effect {
	l.effects = nil
	switch ev := ev.(type) {
	case Elected:
		l.onElected(now, ev)
	case Deposed:
		l.onDeposed()
	default:
		if l.Term != 0 {
			l.handle(now, ev)
		}
	}
	return l.effects
}

func (l *Leader) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case JobChanged:
		l.onJobChanged(now, ev.State)
	case JobCancelled:
		l.onJobCancelled(now, ev.Job)
	case ConfigChanged:
		l.cfg = ev.Config
		l.policy.Handle(now, berylscheduler.ConfigChanged{Config: ev.Config})
	case HeartbeatReceived:
		l.onHeartbeat(now, ev.Heartbeat)
	case AgentLost:
		l.onAgentLost(now, ev)
	case Reserved:
		l.onReserved(now, ev)
	case Appended:
		l.onAppended(now, ev)
	case Started:
		l.onStarted(now, ev)
	case Tick:
		l.onTick(now)
	}
}

func (l *Leader) onElected(now time.Time, ev Elected) {
	l.Term = ev.Term
	l.cfg = ev.Config
	l.electedAt = now
	l.policy = l.newPolicy()
	l.gangs = map[string]*gang{}
	l.agents = map[string]*agent{}
	if ev.Config != nil {
		l.policy.Handle(now, berylscheduler.ConfigChanged{Config: ev.Config})
	}
	sort.Slice(ev.Jobs, func(i, j int) bool { return ev.Jobs[i].ID < ev.Jobs[j].ID })
	for i := range ev.Jobs {
		l.restore(now, ev.Jobs[i])
	}
}

// restore restores a job from the log. The members of a decided job are started
// again under the new term; a member that is already running accepts that.
func (l *Leader) restore(now time.Time, s beryljob.State) {
	switch {
	case s.Phase.Ended():
	case s.Phase == beryljob.Decided:
		g := &gang{state: s, attempt: s.Attempt, stage: starting, stageStart: now, policyAttempt: s.Attempt}
		l.gangs[s.ID] = g
		l.policy.Handle(now, berylscheduler.JobRestored{State: s})
		l.sendStarts(now, g)
	default:
		l.queue(now, s)
	}
}

func (l *Leader) onDeposed() {
	l.Term = 0
	l.policy = nil
	l.gangs = nil
	l.agents = nil
}

func (l *Leader) onTick(now time.Time) {
	for _, id := range l.sortedJobs() {
		l.checkTimeouts(now, l.gangs[id])
	}
	if now.Sub(l.electedAt) < _settleTime {
		return
	}
	for _, action := range l.policy.Decide(now) {
		l.act(now, action)
	}
}

// sortedJobs returns the IDs of all gangs in sorted order, so that the same
// events always give the same effects.
func (l *Leader) sortedJobs() []string {
	ids := make([]string, 0, len(l.gangs))
	for id := range l.gangs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (l *Leader) act(now time.Time, action berylscheduler.Action) {
	switch a := action.(type) {
	case berylscheduler.Place:
		l.onPlace(now, a)
	case berylscheduler.Preempt:
		l.onPreempt(now, a)
	case berylscheduler.Reject:
		l.onReject(now, a)
	case berylscheduler.Late:
		l.markLate(now, a)
	case berylscheduler.Probe:
		// The policy itself places the next small gang on the worker.
	}
}

func (l *Leader) emit(e Effect) { l.effects = append(l.effects, e) }
