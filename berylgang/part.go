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
// with its leases. [Certain] is the time after which the anchor relies on that.
package berylgang

import (
	"time"

	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylshape"
)

const (
	// Bound is the longest silence between a member and its anchor.
	Bound = 5 * time.Second
	// Lease is the lease of a task.
	Lease = 10 * time.Second
	// RequestTime is the longest time that a request to the worker takes.
	RequestTime = 2 * time.Second
	// Certain is the time from a member's last heartbeat until none of its
	// tasks runs: it takes over go for at most Bound, starts tasks for at most
	// Bound, and the last request for a lease of the tasks may be under way.
	Certain = 2*Bound + RequestTime + Lease

	// _armedBeat is short because a gang starts one such interval after its
	// last member is armed.
	_armedBeat   = 200 * time.Millisecond
	_runningBeat = time.Second
	// _endedBeat repeats the end for an anchor that was restarted.
	_endedBeat = 2 * time.Second
	// _giveUp is when an ended part stops looking for its anchor.
	_giveUp     = 10 * time.Minute
	_renewEvery = Lease / 3
	_haltEvery  = time.Second
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
	// Told is set when the anchor has answered a heartbeat of the ended part.
	Told bool
	// Closed is set when the anchor needs no more heartbeats of this part.
	Closed bool

	// until is the end of phase Reserved or Armed.
	until time.Time
	// contact is when the last heartbeat that was answered with go was sent.
	contact time.Time
	// confirmed is false after a restart until the gang was heard. Leases are
	// not renewed before, since the gang may have ended meanwhile.
	confirmed bool
	launching bool
	// renewed is when the last renewal that succeeded was sent.
	renewed time.Time
	// endedAt is when the part ended.
	endedAt time.Time
	// leased is the time after which no lease can hold.
	leased time.Time

	nextBeat  time.Time
	nextRenew time.Time
	nextHalt  time.Time

	// verdict of the anchor: zero, then go or stop, and stop for ever.
	verdict berylmessage.Verdict
	views   []view

	out []Effect
}

// view is what the anchor knows of a member.
type view struct {
	phase berylmessage.GangPhase
	heard time.Time
	// told is set when the member was told to go, so that it may have tasks.
	told bool
	// since is set once the member was heard by this process.
	since bool
}

// New returns a part that was reserved for a time.
func New(now time.Time, agent string, r berylmessage.Reserve) *Part {
	return &Part{
		Job:       r.Job,
		Attempt:   r.Attempt,
		Agent:     agent,
		Tasks:     r.Tasks,
		Shape:     r.Shape,
		Phase:     Reserved,
		confirmed: true,
		until:     now.Add(r.Hold),
	}
}

// Restore returns a part whose tasks were found on the worker after a restart
// of the agent.
func Restore(now time.Time, p Part) *Part {
	p.Phase = Running
	p.contact = now
	p.renewed = now
	p.confirmed = len(p.Members) == 1
	p.leased = now.Add(RequestTime + Lease)
	if p.Index == 0 {
		p.verdict = berylmessage.VerdictGo
		p.views = make([]view, len(p.Members))
		for i := range p.views {
			p.views[i] = view{phase: berylmessage.GangRunning, heard: now, told: true}
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
	case p.anchor():
		return p.Report(now).Whole
	default:
		return p.Told || p.Closed || now.Sub(p.endedAt) > Bound
	}
}

// Extend makes a reservation last for a time from now.
func (p *Part) Extend(now time.Time, hold time.Duration) {
	if p.Phase == Reserved {
		p.until = now.Add(hold)
	}
}

// Handle takes an event and returns what has to be done, in order.
func (p *Part) Handle(now time.Time, e Event) []Effect {
	p.out = nil
	p.expire(now)
	switch e := e.(type) {
	case Tick:
	case Arm:
		p.arm(now, e)
	case Heard:
		p.hear(now, e.Gang)
	case Answered:
		p.answered(now, e)
	case Launched:
		p.launched(now, e)
	case Renewed:
		p.renewed = e.Sent
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
	p.decide(now)
	p.periodic(now)
	if e, ok := e.(Heard); ok {
		p.reply(e.Gang)
	}
	return p.out
}

func (p *Part) emit(e Effect) { p.out = append(p.out, e) }

// anchor reports whether this is the anchor's part. A part that was never armed
// has no members and is none.
func (p *Part) anchor() bool { return len(p.Members) > 0 && p.Index == 0 }

// expire applies the timeouts.
func (p *Part) expire(now time.Time) {
	switch p.Phase {
	case Reserved:
		if !now.Before(p.until) {
			p.fail(now, "reservation expired", "")
		}
	case Armed:
		if !now.Before(p.until) {
			p.fail(now, "not all members were armed in time", "")
		}
	case Running:
		if p.Index != 0 && now.Sub(p.contact) > Bound {
			p.fail(now, "anchor "+p.Members[0].Agent+" was not heard", "")
		}
		if !p.launching && now.Sub(p.renewed) > RequestTime+Lease {
			p.fail(now, "worker of "+p.Agent+" did not renew the leases", "")
		}
	case Ending:
		if !p.launching && now.After(p.leased) {
			p.end(now, false)
		}
	case Ended:
		p.Closed = p.Closed || (p.Index != 0 && now.Sub(p.endedAt) > _giveUp)
	}
	if p.verdict == berylmessage.VerdictGo {
		p.missMembers(now)
	}
}

// missMembers stops the gang if a member was not heard for too long.
func (p *Part) missMembers(now time.Time) {
	for i := 1; i < len(p.views); i++ {
		v := &p.views[i]
		if v.phase != berylmessage.GangDone && now.Sub(v.heard) > Bound {
			p.fail(now, "member "+p.Members[i].Agent+" was not heard", "")
			return
		}
	}
}

func (p *Part) arm(now time.Time, e Arm) {
	if p.Phase != Reserved {
		return
	}
	lead := e.Lead
	if lead <= 0 {
		lead = Bound
	}
	p.Phase = Armed
	p.Members = e.Members
	p.Index = e.Index
	p.until = now.Add(lead)
	p.nextBeat = now
	if p.anchor() {
		p.views = make([]view, len(p.Members))
	}
}

// hear takes a member's heartbeat.
func (p *Part) hear(now time.Time, g berylmessage.Gang) {
	if !p.anchor() || g.Index <= 0 || g.Index >= len(p.views) {
		return
	}
	v := &p.views[g.Index]
	// A heartbeat that was overtaken by a later one must not undo an end.
	if !ended(v.phase) {
		v.phase = g.Phase
	}
	v.heard = now
	v.since = true
	p.confirmed = p.confirmed || p.allHeard()
	if g.Phase == berylmessage.GangFailed || g.Reason != "" {
		p.Checkpoint = p.Checkpoint || g.Checkpoint
		p.fail(now, g.Reason, g.Blamed)
	}
}

func ended(phase berylmessage.GangPhase) bool {
	return phase == berylmessage.GangDone || phase == berylmessage.GangFailed
}

func (p *Part) allHeard() bool {
	for i := 1; i < len(p.views); i++ {
		if !p.views[i].since {
			return false
		}
	}
	return true
}

// decide says go once every member is armed and was heard recently.
func (p *Part) decide(now time.Time) {
	if !p.anchor() || p.Phase != Armed || p.verdict != 0 {
		return
	}
	for i := 1; i < len(p.views); i++ {
		v := &p.views[i]
		if v.phase != berylmessage.GangArmed || now.Sub(v.heard) > Bound/2 {
			return
		}
	}
	p.verdict = berylmessage.VerdictGo
	p.launch(now)
}

func (p *Part) launch(now time.Time) {
	p.Phase = Running
	p.contact = now
	p.launching = true
	p.nextRenew = now.Add(_renewEvery)
	p.nextBeat = now
	p.emit(Launch{})
}

// reply answers a member's heartbeat.
func (p *Part) reply(g berylmessage.Gang) {
	r := berylmessage.GangReply{Verdict: berylmessage.VerdictWait}
	if p.Phase == Ended && !p.anchor() {
		r = Unknown(g)
	}
	if p.anchor() && p.verdict != 0 {
		r = berylmessage.GangReply{Verdict: p.verdict, Reason: p.Reason, Checkpoint: p.Checkpoint}
		if r.Verdict == berylmessage.VerdictGo && g.Index > 0 && g.Index < len(p.views) {
			p.views[g.Index].told = true
		}
	}
	p.emit(Reply{GangReply: r})
}

// Unknown answers a heartbeat for a gang that this agent does not know. An armed
// member may be earlier than the leader's command to its anchor. A member that
// has tasks or had some belonged to a gang that is over.
func Unknown(g berylmessage.Gang) berylmessage.GangReply {
	if g.Phase == berylmessage.GangArmed {
		return berylmessage.GangReply{Verdict: berylmessage.VerdictWait}
	}
	return berylmessage.GangReply{Verdict: berylmessage.VerdictStop, Reason: "anchor does not know the gang"}
}

// answered takes the anchor's answer. A go that took longer than Bound says
// nothing about now.
func (p *Part) answered(now time.Time, e Answered) {
	if p.Phase < Armed || p.Index == 0 {
		return
	}
	if e.Verdict == berylmessage.VerdictGo && now.Sub(e.Sent) > Bound {
		return
	}
	p.Told = p.Told || (p.Phase == Ended && !e.Sent.Before(p.endedAt))
	switch {
	case e.Verdict == berylmessage.VerdictStop && p.Phase == Ended:
		p.Closed = p.Told
	case e.Verdict == berylmessage.VerdictStop:
		p.Checkpoint = p.Checkpoint || e.Checkpoint
		p.fail(now, e.Reason, "")
	case e.Verdict == berylmessage.VerdictGo && p.Phase == Armed:
		p.launch(now)
		p.contact = e.Sent
	case e.Verdict == berylmessage.VerdictGo && p.Phase == Running:
		p.confirmed = true
		if e.Sent.After(p.contact) {
			p.contact = e.Sent
		}
	}
}

func (p *Part) launched(now time.Time, e Launched) {
	p.launching = false
	p.leased = now.Add(RequestTime + Lease)
	p.renewed = now
	if e.OK {
		return
	}
	p.fail(now, e.Reason, p.blame(e.Blame))
}

func (p *Part) finished(now time.Time, e Finished) {
	if p.Phase != Running || p.launching {
		return
	}
	if e.OK {
		p.end(now, true)
		return
	}
	p.fail(now, e.Reason, p.blame(e.Blame))
}

func (p *Part) blame(own bool) string {
	if own {
		return p.Agent
	}
	return ""
}

// fail ends the part without success. At the anchor it ends the whole gang,
// also if the anchor's own tasks are done.
func (p *Part) fail(now time.Time, reason, blamed string) {
	if p.anchor() && p.verdict != berylmessage.VerdictStop {
		p.verdict = berylmessage.VerdictStop
		p.note(reason, blamed)
	}
	switch p.Phase {
	case Reserved, Armed:
		p.note(reason, blamed)
		p.end(now, false)
	case Running:
		p.note(reason, blamed)
		p.Phase = Ending
		p.nextHalt = now
		p.nextBeat = now
	case Ending, Ended:
	}
}

// note keeps the first reason.
func (p *Part) note(reason, blamed string) {
	if p.Reason != "" {
		return
	}
	if reason == "" {
		reason = "stopped"
	}
	p.Reason = reason
	p.Blamed = blamed
}

func (p *Part) end(now time.Time, ok bool) {
	p.Phase = Ended
	p.OK = ok
	p.endedAt = now
	p.nextBeat = now
	// A part that was never armed has no anchor to report to.
	p.Closed = len(p.Members) == 0
	p.emit(Free{})
}

// periodic emits what is repeated.
func (p *Part) periodic(now time.Time) {
	if p.Phase == Running && p.confirmed && !p.launching && due(now, &p.nextRenew, _renewEvery) {
		p.leased = now.Add(RequestTime + Lease)
		p.emit(Renew{})
	}
	if p.Phase == Ending && !p.launching && due(now, &p.nextHalt, _haltEvery) {
		p.emit(Halt{Checkpoint: p.Checkpoint})
	}
	if p.Phase > Reserved && p.Index != 0 && !p.Closed && due(now, &p.nextBeat, p.beatEvery()) {
		p.emit(Send{Gang: berylmessage.Gang{
			Job:        p.Job,
			Attempt:    p.Attempt,
			Index:      p.Index,
			Phase:      p.phase(),
			Reason:     p.Reason,
			Blamed:     p.Blamed,
			Checkpoint: p.Checkpoint,
		}})
	}
}

// due reports whether a time has come, and sets it to one interval from now.
func due(now time.Time, next *time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(interval)
	return true
}

func (p *Part) beatEvery() time.Duration {
	switch p.Phase {
	case Armed:
		return _armedBeat
	case Ended:
		return _endedBeat
	default:
		return _runningBeat
	}
}

// phase returns the public form of the part's own phase. A part that ends still
// has tasks; its reason tells that it stops them.
func (p *Part) phase() berylmessage.GangPhase {
	switch {
	case p.Phase == Reserved:
		return berylmessage.GangReserved
	case p.Phase == Armed:
		return berylmessage.GangArmed
	case p.Phase == Running, p.Phase == Ending:
		return berylmessage.GangRunning
	case p.OK:
		return berylmessage.GangDone
	default:
		return berylmessage.GangFailed
	}
}

// Report returns the part for the agent's heartbeat. The anchor's report has
// the phase of the whole gang as soon as all parts have ended.
func (p *Part) Report(now time.Time) berylmessage.GangReport {
	r := berylmessage.GangReport{
		Job:     p.Job,
		Attempt: p.Attempt,
		Phase:   p.phase(),
		Tasks:   p.Tasks,
		Anchor:  p.anchor(),
		Shape:   p.Shape,
		Reason:  p.Reason,
		Blamed:  p.Blamed,
	}
	if !r.Anchor {
		return r
	}
	if r.Phase == berylmessage.GangDone && p.verdict == berylmessage.VerdictStop {
		r.Phase = berylmessage.GangFailed
	}
	r.Whole = p.whole(now, r.Phase)
	return r
}

// whole reports whether the phase holds for every member.
func (p *Part) whole(now time.Time, phase berylmessage.GangPhase) bool {
	for i := 1; i < len(p.views); i++ {
		v := &p.views[i]
		var holds bool
		switch phase {
		case berylmessage.GangRunning:
			holds = v.phase == berylmessage.GangRunning || v.phase == berylmessage.GangDone
		case berylmessage.GangDone:
			holds = v.phase == berylmessage.GangDone
		case berylmessage.GangFailed:
			holds = !v.told || ended(v.phase) || now.Sub(v.heard) > Certain
		default:
			holds = false
		}
		if !holds {
			return false
		}
	}
	return p.Phase == Running || p.Phase == Ended
}
