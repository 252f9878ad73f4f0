// Package berylgang decides what one part of a gang does: the member state
// machine, and that of the anchor, which is the first member and decides for
// the whole gang.
//
// The owner passes events to [Part.Handle] and carries out the returned
// effects. Members send heartbeats to the anchor. The anchor says go once all
// are armed, and stop once one has failed or was not heard for Bound. A member
// stops when it was not told go for Bound. Timeouts are looked at before each
// event, so a process that was paused stops before it acts on anything else.
//
// If one part ends without success, every other part has stopped 2*Bound later.
// A part whose process is paused or dead, or whose worker does not answer, ends
// with its leases. [TerminationTime] is the time after which the anchor relies on that.
//
// The file part.go has the state and the order in which an event is handled,
// member.go what every part does, and anchor.go what only the anchor does.
package berylgang

import (
	"time"

	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylshape"
)

const (
	// HeartbeatTimeout is the longest silence between a member and its anchor.
	HeartbeatTimeout = 5 * time.Second
	// TaskLease is the lease of a task.
	TaskLease = 10 * time.Second
	// RequestTimeout is the longest time that a request to the worker takes.
	RequestTimeout = 2 * time.Second
	// TerminationTime is the time from a member's last heartbeat until none of its
	// tasks runs: it takes over go for at most Bound, starts tasks for at most
	// Bound, and the last request for a lease of the tasks may be under way.
	TerminationTime = 2*HeartbeatTimeout + RequestTimeout + TaskLease

	// _armedHeartbeatInterval is short because a gang starts one such interval after its
	// last member is armed.
	_armedHeartbeatInterval   = 200 * time.Millisecond
	_runningHeartbeatInterval = time.Second
	// _endedHeartbeatInterval repeats the end for an anchor that was restarted.
	_endedHeartbeatInterval = 2 * time.Second
	// _endedHeartbeatTime is when an ended part stops looking for its anchor.
	_endedHeartbeatTime = 10 * time.Minute
	_renewInterval      = TaskLease / 3
	_haltInterval       = time.Second
)

// Phase is how far the part has come.
type Phase uint8

const (
	// Reserved parts hold resources and wait for the leader.
	Reserved Phase = iota + 1
	// Armed parts wait for the anchor.
	Armed
	// Running parts have tasks, or start them.
	Running
	// Ending parts have to stop their tasks.
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
	// Members is set from phase Armed on.
	Members []beryljob.Member
	Index   int
	Phase   Phase
	// OK is set in phase Ended if every task of this part ended with success.
	OK bool
	// Reason says why the part or the gang did not succeed; empty if it did.
	Reason string
	// Blamed is the agent on which the first failure was seen.
	Blamed string
	// Checkpoint is set if progress is saved before the tasks are stopped.
	Checkpoint bool
	// Acknowledged is set when the anchor has answered a heartbeat of the ended part.
	Acknowledged bool
	// Closed is set when the anchor needs no more heartbeats of this part.
	Closed bool

	// deadline is the end of phase Reserved or Armed.
	deadline time.Time
	// lastGo is when the last heartbeat that was answered with go was sent.
	lastGo time.Time
	// gangConfirmed is false after a restart until the gang was heard. Leases are
	// not renewed before, since the gang may have ended meanwhile.
	gangConfirmed bool
	launching     bool
	// lastRenewal is when the last renewal that succeeded was sent.
	lastRenewal time.Time
	// endedAt is when the part ended.
	endedAt time.Time
	// leaseExpiry is the time after which no lease can hold.
	leaseExpiry time.Time

	nextHeartbeat time.Time
	nextRenew     time.Time
	nextHalt      time.Time

	// verdict of the anchor: zero, then go or stop, and stop for ever.
	verdict     berylmessage.Verdict
	memberViews []memberView

	effects []Effect
}

// memberView is what the anchor knows of a member.
type memberView struct {
	phase         berylmessage.GangPhase
	lastHeartbeat time.Time
	// goSent is set when the member was goSent to go, so that it may have tasks.
	goSent bool
	// reported is set once the member was heard by this process.
	reported bool
}

// New returns a part that was reserved for a time.
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

// Settled reports whether the part needs its agent no more: it has ended, and
// the anchor knows, or at the anchor the whole gang has ended. An anchor that
// did not answer for Bound has stopped the gang.
func (p *Part) Settled(now time.Time) bool {
	switch {
	case p.Phase != Ended:
		return false
	case p.isAnchor():
		return p.Report(now).Whole
	default:
		return p.Acknowledged || p.Closed || now.Sub(p.endedAt) > HeartbeatTimeout
	}
}

// Extend makes a reservation last for a time from now.
func (p *Part) Extend(now time.Time, hold time.Duration) {
	if p.Phase == Reserved {
		p.deadline = now.Add(hold)
	}
}

// Handle takes an event and returns what has to be done, in order.
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

// applyTimeouts applies the timeouts.
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
			p.fail(now, "anchor "+p.Members[0].Agent+" was not heard", "")
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
