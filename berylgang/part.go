// Package berylgang decides what one agent does for a gang. A gang is the set
// of tasks of one attempt of a job, which run on one or more agents and start
// and stop together. Each of these agents is a member of the gang, and a [Part]
// is the state of one member. The first member is the anchor, which decides for
// the whole gang.
//
// The owner passes events to [Part.Handle] and carries out the returned
// effects. A part at first only holds reserved resources. The leader's start
// command arms it: it then waits for the decision of the anchor. The other
// members send heartbeats to the anchor. The anchor replies with go (run the
// tasks) once all members are armed, and with stop (end the tasks) once one has
// failed or has sent no heartbeat for [HeartbeatTimeout]. A member stops when
// it has received no go for HeartbeatTimeout. Timeouts are checked before each
// event is handled, so a process that was paused stops before it acts on
// anything else.
//
// If one part ends without success, all other parts have stopped within
// 2*HeartbeatTimeout. A part whose process is paused or dead, or whose worker
// does not answer, ends when the leases of its tasks expire. [TerminationTime]
// is the time after which the anchor relies on that.
//
// The file part.go contains the state and the order in which an event is
// handled, member.go the behaviour of every part, and anchor.go the additional
// behaviour of the anchor.
package berylgang

import (
	"time"

	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylshape"
)

const (
	// HeartbeatTimeout is the longest time without contact between a member and
	// its anchor. It also limits a launch.
	HeartbeatTimeout = 5 * time.Second
	// TaskLease is the duration of a task's lease.
	TaskLease = 10 * time.Second
	// RequestTimeout limits a request to the worker.
	RequestTimeout = 2 * time.Second
	// TerminationTime is the time from a member's last heartbeat until
	// certainly none of its tasks runs: the member accepts a go for at most
	// HeartbeatTimeout and starts tasks for at most HeartbeatTimeout, and the
	// last request to renew the tasks' leases may still be in flight.
	TerminationTime = 2*HeartbeatTimeout + RequestTimeout + TaskLease

	// _armedHeartbeatInterval is short because it delays the start of the gang
	// after the last member is armed.
	_armedHeartbeatInterval   = 200 * time.Millisecond
	_runningHeartbeatInterval = time.Second
	// _endedHeartbeatInterval is for repeating the end to an anchor that was
	// restarted.
	_endedHeartbeatInterval = 2 * time.Second
	// _endedHeartbeatTime is how long an ended part sends heartbeats to an
	// anchor that does not answer.
	_endedHeartbeatTime = 10 * time.Minute
	_renewInterval      = TaskLease / 3
	_haltInterval       = time.Second
)

// Phase is the phase in the lifecycle of a part.
type Phase uint8

const (
	// Reserved parts hold resources and wait for the leader's start command.
	Reserved Phase = iota + 1
	// Armed parts wait for the anchor to reply with go.
	Armed
	// Running parts have tasks or are starting them.
	Running
	// Ending parts are stopping their tasks.
	Ending
	// Ended parts have no tasks and hold no resources.
	Ended
)

// Part is one agent's part of one attempt of a job.
type Part struct {
	Job     string
	Attempt int
	// Agent is the name of this agent.
	Agent string
	Tasks int
	Shape berylshape.Shape
	// Members is set when the part is armed.
	Members []beryljob.Member
	Index   int
	Phase   Phase
	// OK is set in phase Ended if every task of this part succeeded.
	OK bool
	// Reason says why the part or the gang failed; it is empty if there was no
	// failure.
	Reason string
	// Blamed is the agent on which the first failure occurred, if its worker
	// may be the cause.
	Blamed string
	// Checkpoint is set if a checkpoint is taken before the tasks are stopped.
	Checkpoint bool
	// Acknowledged is set when the anchor has answered a heartbeat that was
	// sent after the part had ended.
	Acknowledged bool
	// Closed is set when the part sends no more heartbeats to the anchor.
	Closed bool

	// deadline ends phase Reserved or Armed.
	deadline time.Time
	// lastGo is when the last heartbeat that was answered with go was sent.
	lastGo time.Time
	// gangConfirmed is false after a restart until the gang is known to still
	// run. Leases are not renewed before that, since the gang may have ended in
	// the meantime.
	gangConfirmed bool
	launching     bool
	// lastRenewal is when the last successful renewal was sent.
	lastRenewal time.Time
	endedAt     time.Time
	// leaseExpiry is the time after which no lease can be valid.
	leaseExpiry time.Time

	nextHeartbeat time.Time
	nextRenew     time.Time
	nextHalt      time.Time

	// verdict is the anchor's decision: first zero, then go or stop. Stop is
	// final.
	verdict     berylmessage.Verdict
	memberViews []memberView

	effects []Effect
}

// memberView is what the anchor knows about a member.
type memberView struct {
	phase         berylmessage.GangPhase
	lastHeartbeat time.Time
	// goSent is set once the member was sent a go, so that it may have tasks.
	goSent bool
	// reported is set once this process has received a heartbeat from the
	// member.
	reported bool
}

// New returns a part that is reserved for the requested time.
func New(now time.Time, agent string, r berylmessage.Reserve) *Part {
	return &Part{
		Job:           r.Job,
		Attempt:       r.Attempt,
		Agent:         agent,
		Tasks:         r.Tasks,
		Shape:         r.Shape,
		Phase:         Reserved,
		gangConfirmed: true,
		deadline:      now.Add(r.Hold),
	}
}

// Restore returns a part whose tasks were found on the worker after a restart
// of the agent.
func Restore(now time.Time, p Part) *Part {
	p.Phase = Running
	p.lastGo = now
	p.lastRenewal = now
	p.gangConfirmed = len(p.Members) == 1
	p.leaseExpiry = now.Add(RequestTimeout + TaskLease)
	if p.Index == 0 {
		p.verdict = berylmessage.VerdictGo
		p.memberViews = make([]memberView, len(p.Members))
		for i := range p.memberViews {
			p.memberViews[i] = memberView{phase: berylmessage.GangRunning, lastHeartbeat: now, goSent: true}
		}
	}
	return &p
}

// Settled reports whether the part no longer needs its agent. A member's part
// has ended and the anchor knows it, or the anchor has not answered for
// HeartbeatTimeout and has therefore stopped the gang. At the anchor, the whole
// gang has ended.
func (p *Part) Settled(now time.Time) bool {
	switch {
	case p.Phase != Ended:
		return false
	case p.isAnchor():
		return p.Report(now).AllMembers
	default:
		return p.Acknowledged || p.Closed || now.Sub(p.endedAt) > HeartbeatTimeout
	}
}

// Extend makes a reservation last for the given time from now.
func (p *Part) Extend(now time.Time, hold time.Duration) {
	if p.Phase == Reserved {
		p.deadline = now.Add(hold)
	}
}

// Handle applies an event and returns the effects to carry out, in order.
func (p *Part) Handle(now time.Time, e Event) []Effect {
	p.effects = nil
	p.applyTimeouts(now)
	switch e := e.(type) {
	case Tick:
	case Arm:
		p.arm(now, e)
	case HeartbeatReceived:
		p.handleHeartbeat(now, e.Gang)
	case HeartbeatAnswered:
		p.handleReply(now, e)
	case Launched:
		p.launched(now, e)
	case Renewed:
		p.lastRenewal = e.Sent
	case Finished:
		p.finished(now, e)
	case Halted:
		if p.Phase == Ending && !p.launching {
			p.end(now, false)
		}
	case Stop:
		p.Checkpoint = p.Checkpoint || e.Checkpoint
		p.fail(now, e.Reason, "")
	}
	p.decideGo(now)
	p.emitPeriodic(now)
	if e, ok := e.(HeartbeatReceived); ok {
		p.replyToMember(e.Gang)
	}
	return p.effects
}

func (p *Part) emit(e Effect) { p.effects = append(p.effects, e) }

// applyTimeouts applies the timeouts that have passed.
func (p *Part) applyTimeouts(now time.Time) {
	switch p.Phase {
	case Reserved:
		if !now.Before(p.deadline) {
			p.fail(now, "reservation expired", "")
		}
	case Armed:
		if !now.Before(p.deadline) {
			p.fail(now, "not all members were armed in time", "")
		}
	case Running:
		if p.Index != 0 && now.Sub(p.lastGo) > HeartbeatTimeout {
			p.fail(now, "no go from anchor "+p.Members[0].Agent+" for more than "+HeartbeatTimeout.String(), "")
		}
		if !p.launching && now.Sub(p.lastRenewal) > RequestTimeout+TaskLease {
			p.fail(now, "worker of "+p.Agent+" did not renew the leases", "")
		}
	case Ending:
		if !p.launching && now.After(p.leaseExpiry) {
			p.end(now, false)
		}
	case Ended:
		p.Closed = p.Closed || (p.Index != 0 && now.Sub(p.endedAt) > _endedHeartbeatTime)
	}
	if p.verdict == berylmessage.VerdictGo {
		p.checkMembers(now)
	}
}
