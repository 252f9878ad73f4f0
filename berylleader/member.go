package berylleader

import (
	"slices"
	"time"

	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylscheduler"
)

// class returns the class of the job. If the class was removed from the
// configuration, it returns one that allows no second run.
func (l *Leader) class(g *gang) berylconfig.Class {
	if l.cfg == nil {
		return berylconfig.Class{}
	}
	return l.cfg.Classes[g.state.Class]
}

func (l *Leader) sendStarts(now time.Time, g *gang) {
	if len(g.members) == 0 {
		g.members = append([]beryljob.Member(nil), g.state.Members...)
		g.granted = make([]bool, len(g.members))
		g.armed = make([]bool, len(g.members))
	}
	g.lastSend = now
	for i, m := range g.members {
		if g.armed[i] {
			continue
		}
		l.emit(SendStart{Addr: m.Addr, Start: berylmessage.Start{
			Term:       l.Term,
			Job:        g.state.Job,
			Attempt:    g.attempt,
			Members:    g.members,
			Index:      i,
			ArmTimeout: _armTimeout,
		}})
	}
}

func (l *Leader) sendStops(now time.Time, g *gang, checkpoint bool, reason string) {
	g.lastSend = now
	for _, m := range g.members {
		l.emit(SendStop{Addr: m.Addr, Stop: berylmessage.Stop{
			Term:       l.Term,
			Job:        g.state.ID,
			Attempt:    g.attempt,
			Checkpoint: checkpoint,
			Reason:     reason,
		}})
	}
}

func (l *Leader) onStarted(_ time.Time, ev Started) {
	g := l.gangs[ev.Job]
	if g == nil || g.attempt != ev.Attempt || g.stage != starting {
		return
	}
	if ev.Err == nil {
		g.armed[ev.Index] = true
	}
}

// checkTimeouts advances a gang whose stage has lasted too long.
func (l *Leader) checkTimeouts(now time.Time, g *gang) {
	elapsed := now.Sub(g.stageStart)
	switch g.stage {
	case queued:
		if g.cancelRequested {
			l.appendEnd(now, g, beryljob.Cancelled, "")
		}
	case reserving:
		if elapsed > _reserveTimeout {
			l.abandonAttempt(now, g, "")
		}
	case deciding:
		if g.unconfirmed || elapsed > _holdTime {
			l.appendQueued(now, g, "decision not confirmed", "")
		}
	case starting:
		l.checkStarting(now, g)
	case running:
		l.checkRunning(now, g)
	case stopping:
		l.checkStopping(now, g)
	}
}

func (l *Leader) checkStarting(now time.Time, g *gang) {
	switch {
	case g.cancelRequested:
		l.appendEnd(now, g, beryljob.Cancelled, "")
	case now.Sub(g.stageStart) > _startTimeout:
		l.Counts.Aborted++
		l.endAttempt(now, g, "gang did not start", "")
	case now.Sub(g.lastSend) >= _resendInterval && !allTrue(g.armed):
		l.sendStarts(now, g)
	}
}

func (l *Leader) checkRunning(now time.Time, g *gang) {
	if g.cancelRequested {
		l.appendEnd(now, g, beryljob.Cancelled, "")
		return
	}
	for _, m := range g.members {
		if l.silence(now, m) > _lostTimeout {
			l.Counts.Aborted++
			l.endAttempt(now, g, "agent "+m.Agent+" was lost", "")
			return
		}
	}
}

// endAttempt appends the end of an attempt that may have started: the job is
// queued again if its class allows another run, otherwise it fails.
func (l *Leader) endAttempt(now time.Time, g *gang, reason, blamed string) {
	if g.cancelRequested {
		l.appendEnd(now, g, beryljob.Cancelled, reason)
		return
	}
	g.blamed = blamed
	if l.mayRunAgain(g) {
		l.appendQueued(now, g, reason, blamed)
		return
	}
	l.appendEnd(now, g, beryljob.Failed, reason+"; the class does not allow another run")
}

func (l *Leader) checkStopping(now time.Time, g *gang) {
	for _, m := range g.members {
		if !l.memberStopped(now, g, m) {
			if now.Sub(g.lastSend) >= _resendInterval {
				l.sendStops(now, g, l.shouldCheckpoint(g), g.state.Reason)
			}
			return
		}
	}
	l.finish(now, g)
}

// memberStopped reports whether a member no longer holds resources of the
// attempt: its agent has left, or it is unknown or lost and the fencing timeout
// has passed since its last heartbeat, or a heartbeat that arrived more than
// _resendInterval after the stage began does not report the attempt as active.
func (l *Leader) memberStopped(now time.Time, g *gang, m beryljob.Member) bool {
	a := l.agents[m.Agent]
	if a == nil || a.lost {
		left := a != nil && a.heartbeat.Leaving
		return left || l.silence(now, m) > l.fencingTimeout(g)
	}
	if !a.lastHeartbeat.After(g.stageStart.Add(_resendInterval)) {
		return false
	}
	for _, r := range a.heartbeat.Gangs {
		if r.Job == g.state.ID && r.Attempt == g.attempt && holdsResources(r.Phase) {
			return false
		}
	}
	return true
}

// silence returns the time since the last heartbeat of a member's agent.
func (l *Leader) silence(now time.Time, m beryljob.Member) time.Duration {
	if a := l.agents[m.Agent]; a != nil {
		return now.Sub(a.lastHeartbeat)
	}
	return now.Sub(l.electedAt)
}

// fencingTimeout returns the time since the last heartbeat of a lost agent after
// which another attempt may run. A whole gang that is partitioned from every
// entry keeps running, so the next run of a non-idempotent job waits until the
// isolated agents have stopped it.
func (l *Leader) fencingTimeout(g *gang) time.Duration {
	if l.class(g).Idempotent {
		return _lostTimeout
	}
	return _isolationTimeout + _lostTimeout
}

func holdsResources(p berylmessage.GangPhase) bool {
	switch p {
	case berylmessage.GangReserved, berylmessage.GangArmed, berylmessage.GangRunning:
		return true
	case berylmessage.GangDone, berylmessage.GangFailed:
		return false
	default:
		return false
	}
}

func (l *Leader) onHeartbeat(now time.Time, b berylmessage.Heartbeat) {
	before := l.agents[b.Agent]
	if b.Leaving {
		l.onAgentLost(now, AgentLost{Agent: b.Agent, Incarnation: b.Incarnation})
		if before != nil {
			before.heartbeat.Leaving = true
		}
		return
	}
	a := &agent{heartbeat: b, lastHeartbeat: now}
	l.agents[b.Agent] = a
	if before == nil || before.lost || before.foreign || workerChanged(&before.heartbeat, &b) {
		l.reportWorker(now, &b)
		a.foreign = slices.ContainsFunc(b.Gangs, l.foreign)
	}
	for i := range b.Gangs {
		l.onGangReport(now, &b, &b.Gangs[i])
	}
}

// foreign reports whether a gang member that holds resources belongs to no current attempt,
// such as one that a previous leader has reserved. It is stopped.
func (l *Leader) foreign(r berylmessage.GangReport) bool {
	g := l.gangs[r.Job]
	return holdsResources(r.Phase) && (g == nil || r.Attempt != g.attempt || len(g.members) == 0)
}

func workerChanged(a, b *berylmessage.Heartbeat) bool {
	return a.Incarnation != b.Incarnation || a.Addr != b.Addr || a.Domain != b.Domain ||
		a.Rack != b.Rack || a.Total != b.Total || a.Draining != b.Draining
}

func (l *Leader) reportWorker(now time.Time, b *berylmessage.Heartbeat) {
	if b.Total.Empty() {
		return
	}
	l.policy.Handle(now, berylscheduler.WorkerSeen{Worker: berylscheduler.Worker{
		Name:        b.Agent,
		Incarnation: b.Incarnation,
		Addr:        b.Addr,
		Domain:      b.Domain,
		Rack:        b.Rack,
		Total:       b.Total,
		Draining:    b.Draining,
		Gangs:       b.Gangs,
	}})
}

func (l *Leader) onAgentLost(now time.Time, ev AgentLost) {
	a := l.agents[ev.Agent]
	if a == nil || a.lost || a.heartbeat.Incarnation != ev.Incarnation {
		return
	}
	a.lost = true
	l.policy.Handle(now, berylscheduler.WorkerLost{Worker: ev.Agent})
}

// onGangReport handles the report of one gang in a heartbeat.
func (l *Leader) onGangReport(now time.Time, b *berylmessage.Heartbeat, r *berylmessage.GangReport) {
	g := l.gangs[r.Job]
	if g == nil || r.Attempt != g.attempt || len(g.members) == 0 {
		l.stopStray(now, b, r)
		return
	}
	if !r.Anchor || !r.AllMembers || (g.stage != starting && g.stage != running) {
		return
	}
	switch r.Phase {
	case berylmessage.GangRunning:
		l.onRunning(now, g)
	case berylmessage.GangDone:
		l.onRunning(now, g)
		l.appendEnd(now, g, beryljob.Done, "")
	case berylmessage.GangFailed:
		l.endAttempt(now, g, r.Reason, r.Blamed)
	case berylmessage.GangReserved, berylmessage.GangArmed:
	}
}

func (l *Leader) onRunning(now time.Time, g *gang) {
	if g.stage != starting {
		return
	}
	l.Counts.Started++
	g.enterStage(now, running)
	l.policy.Handle(now, berylscheduler.GangStarted{Job: g.state.ID, Attempt: g.policyAttempt})
}

// stopStray stops a gang member that does not belong to the job's current
// attempt. A new leader first waits for the log and for the other members'
// heartbeats.
func (l *Leader) stopStray(now time.Time, b *berylmessage.Heartbeat, r *berylmessage.GangReport) {
	if !holdsResources(r.Phase) || now.Sub(l.electedAt) < _settleTime {
		return
	}
	l.Counts.Strays++
	l.emit(SendStop{Addr: b.Addr, Stop: berylmessage.Stop{
		Term:    l.Term,
		Job:     r.Job,
		Attempt: r.Attempt,
		Reason:  "not the current attempt",
	}})
}
