package berylgang

import (
	"time"

	"berylglade/berylmessage"
)

// anchor reports whether this is the anchor's part. A part that was never armed
// has no members and is none.
func (p *Part) anchor() bool { return len(p.Members) > 0 && p.Index == 0 }

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
