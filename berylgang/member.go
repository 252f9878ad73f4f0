package berylgang

import (
	"time"

	"berylglade/berylmessage"
)

func (p *Part) arm(now time.Time, e Arm) {
	if p.Phase != Reserved {
		return
	}
	timeout := e.ArmTimeout
	if timeout <= 0 {
		timeout = HeartbeatTimeout
	}
	p.Phase = Armed
	p.Members = e.Members
	p.Index = e.Index
	p.deadline = now.Add(timeout)
	p.nextHeartbeat = now
	if p.isAnchor() {
		p.memberViews = make([]memberView, len(p.Members))
	}
}

func (p *Part) launch(now time.Time) {
	p.Phase = Running
	p.lastGo = now
	p.launching = true
	p.nextRenew = now.Add(_renewInterval)
	p.nextHeartbeat = now
	p.emit(Launch{})
}

// handleReply applies the anchor's reply to a heartbeat. A go that took longer
// than HeartbeatTimeout is ignored, because the gang may have stopped since.
func (p *Part) handleReply(now time.Time, e HeartbeatAnswered) {
	if p.Phase < Armed || p.Index == 0 {
		return
	}
	if e.Verdict == berylmessage.VerdictGo && now.Sub(e.Sent) > HeartbeatTimeout {
		return
	}
	p.Acknowledged = p.Acknowledged || (p.Phase == Ended && !e.Sent.Before(p.endedAt))
	switch {
	case e.Verdict == berylmessage.VerdictStop && p.Phase == Ended:
		p.Closed = p.Acknowledged
	case e.Verdict == berylmessage.VerdictStop:
		p.Checkpoint = p.Checkpoint || e.Checkpoint
		p.fail(now, e.Reason, "")
	case e.Verdict == berylmessage.VerdictGo && p.Phase == Armed:
		p.launch(now)
		p.lastGo = e.Sent
	case e.Verdict == berylmessage.VerdictGo && p.Phase == Running:
		p.gangConfirmed = true
		if e.Sent.After(p.lastGo) {
			p.lastGo = e.Sent
		}
	}
}

func (p *Part) launched(now time.Time, e Launched) {
	p.launching = false
	p.leaseExpiry = now.Add(RequestTimeout + TaskLease)
	p.lastRenewal = now
	if e.OK {
		return
	}
	p.fail(now, e.Reason, p.blamedAgent(e.Blame))
}

func (p *Part) finished(now time.Time, e Finished) {
	if p.Phase != Running || p.launching {
		return
	}
	if e.OK {
		p.end(now, true)
		return
	}
	p.fail(now, e.Reason, p.blamedAgent(e.Blame))
}

func (p *Part) blamedAgent(blame bool) string {
	if blame {
		return p.Agent
	}
	return ""
}

// fail ends the part without success. At the anchor it ends the whole gang,
// even if the anchor's own tasks have succeeded.
func (p *Part) fail(now time.Time, reason, blamed string) {
	if p.isAnchor() && p.verdict != berylmessage.VerdictStop {
		p.verdict = berylmessage.VerdictStop
		p.setReason(reason, blamed)
	}
	switch p.Phase {
	case Reserved, Armed:
		p.setReason(reason, blamed)
		p.end(now, false)
	case Running:
		p.setReason(reason, blamed)
		p.Phase = Ending
		p.nextHalt = now
		p.nextHeartbeat = now
	case Ending, Ended:
	}
}

// setReason stores the first reason and ignores later ones.
func (p *Part) setReason(reason, blamed string) {
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
	p.nextHeartbeat = now
	// A part that was never armed has no anchor to report to.
	p.Closed = len(p.Members) == 0
	p.emit(Free{})
}

// emitPeriodic emits the periodic effects that are due.
func (p *Part) emitPeriodic(now time.Time) {
	if p.Phase == Running && p.gangConfirmed && !p.launching && due(now, &p.nextRenew, _renewInterval) {
		p.leaseExpiry = now.Add(RequestTimeout + TaskLease)
		p.emit(Renew{})
	}
	if p.Phase == Ending && !p.launching && due(now, &p.nextHalt, _haltInterval) {
		p.emit(Halt{Checkpoint: p.Checkpoint})
	}
	if p.Phase > Reserved && p.Index != 0 && !p.Closed && due(now, &p.nextHeartbeat, p.heartbeatInterval()) {
		p.emit(SendHeartbeat{Gang: berylmessage.Gang{
			Job:        p.Job,
			Attempt:    p.Attempt,
			Index:      p.Index,
			Phase:      p.messagePhase(),
			Reason:     p.Reason,
			Blamed:     p.Blamed,
			Checkpoint: p.Checkpoint,
		}})
	}
}

// due reports whether a time has been reached, and if so advances it to one
// interval from now.
func due(now time.Time, next *time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(interval)
	return true
}

func (p *Part) heartbeatInterval() time.Duration {
	switch p.Phase {
	case Armed:
		return _armedHeartbeatInterval
	case Ended:
		return _endedHeartbeatInterval
	default:
		return _runningHeartbeatInterval
	}
}

// messagePhase returns the phase as it is reported to other processes. A part
// in phase Ending still has tasks and is reported as running with a reason.
func (p *Part) messagePhase() berylmessage.GangPhase {
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
