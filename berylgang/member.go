package berylgang

import (
	"time"

	"berylglade/berylmessage"
)

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

func (p *Part) launch(now time.Time) {
	p.Phase = Running
	p.contact = now
	p.launching = true
	p.nextRenew = now.Add(_renewEvery)
	p.nextBeat = now
	p.emit(Launch{})
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
