package berylgang

import (
	"time"

	"berylglade/berylmessage"
)

// isAnchor reports whether this is the anchor's part. A part that was never
// armed has no members and is not an anchor.
func (p *Part) isAnchor() bool { return len(p.Members) > 0 && p.Index == 0 }

// checkMembers stops the gang if a member has sent no heartbeat for too long.
func (p *Part) checkMembers(now time.Time) {
	for i := 1; i < len(p.memberViews); i++ {
		v := &p.memberViews[i]
		if v.phase != berylmessage.GangDone && now.Sub(v.lastHeartbeat) > HeartbeatTimeout {
			p.fail(now, "no heartbeat from member "+p.Members[i].Agent+" for more than "+HeartbeatTimeout.String(), "")
			return
		}
	}
}

// handleHeartbeat applies a member's heartbeat.
func (p *Part) handleHeartbeat(now time.Time, g berylmessage.Gang) {
	if !p.isAnchor() || g.Index <= 0 || g.Index >= len(p.memberViews) {
		return
	}
	v := &p.memberViews[g.Index]
	// A delayed heartbeat that arrives after a later one must not undo an end.
	if !ended(v.phase) {
		v.phase = g.Phase
	}
	v.lastHeartbeat = now
	v.reported = true
	p.gangConfirmed = p.gangConfirmed || p.allReported()
	if g.Phase == berylmessage.GangFailed || g.Reason != "" {
		p.Checkpoint = p.Checkpoint || g.Checkpoint
		p.fail(now, g.Reason, g.Blamed)
	}
}

func ended(phase berylmessage.GangPhase) bool {
	return phase == berylmessage.GangDone || phase == berylmessage.GangFailed
}

func (p *Part) allReported() bool {
	for i := 1; i < len(p.memberViews); i++ {
		if !p.memberViews[i].reported {
			return false
		}
	}
	return true
}

// decideGo sets the verdict to go once every member is armed and has sent a
// heartbeat recently.
func (p *Part) decideGo(now time.Time) {
	if !p.isAnchor() || p.Phase != Armed || p.verdict != 0 {
		return
	}
	for i := 1; i < len(p.memberViews); i++ {
		v := &p.memberViews[i]
		if v.phase != berylmessage.GangArmed || now.Sub(v.lastHeartbeat) > HeartbeatTimeout/2 {
			return
		}
	}
	p.verdict = berylmessage.VerdictGo
	p.launch(now)
}

// replyToMember emits the reply to a member's heartbeat.
func (p *Part) replyToMember(g berylmessage.Gang) {
	r := berylmessage.GangReply{Verdict: berylmessage.VerdictWait}
	if p.Phase == Ended && !p.isAnchor() {
		r = UnknownGangReply(g)
	}
	if p.isAnchor() && p.verdict != 0 {
		r = berylmessage.GangReply{Verdict: p.verdict, Reason: p.Reason, Checkpoint: p.Checkpoint}
		if r.Verdict == berylmessage.VerdictGo && g.Index > 0 && g.Index < len(p.memberViews) {
			p.memberViews[g.Index].goSent = true
		}
	}
	p.emit(Reply{GangReply: r})
}

// UnknownGangReply returns the reply to a heartbeat for a gang that this agent
// does not know. The heartbeat of an armed member may arrive before the
// leader's command to the anchor. A member that has or had tasks belongs to a
// gang that has ended.
func UnknownGangReply(g berylmessage.Gang) berylmessage.GangReply {
	if g.Phase == berylmessage.GangArmed {
		return berylmessage.GangReply{Verdict: berylmessage.VerdictWait}
	}
	return berylmessage.GangReply{Verdict: berylmessage.VerdictStop, Reason: "anchor does not know the gang"}
}

// Report returns the report about the part for the agent's heartbeat. The
// anchor sets AllMembers once the phase holds for all members, and reports its
// part as failed if the gang was stopped after the part had succeeded.
func (p *Part) Report(now time.Time) berylmessage.GangReport {
	r := berylmessage.GangReport{
		Job:     p.Job,
		Attempt: p.Attempt,
		Phase:   p.messagePhase(),
		Tasks:   p.Tasks,
		Anchor:  p.isAnchor(),
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
	r.AllMembers = p.phaseHolds(now, r.Phase)
	return r
}

// phaseHolds reports whether the phase holds for every member.
func (p *Part) phaseHolds(now time.Time, phase berylmessage.GangPhase) bool {
	for i := 1; i < len(p.memberViews); i++ {
		v := &p.memberViews[i]
		var holds bool
		switch phase {
		case berylmessage.GangRunning:
			holds = v.phase == berylmessage.GangRunning || v.phase == berylmessage.GangDone
		case berylmessage.GangDone:
			holds = v.phase == berylmessage.GangDone
		case berylmessage.GangFailed:
			holds = !v.goSent || ended(v.phase) || now.Sub(v.lastHeartbeat) > TerminationTime
		default:
			holds = false
		}
		if !holds {
			return false
		}
	}
	return p.Phase == Running || p.Phase == Ended
}
