package berylleader

import (
	"time"

	"berylglade/berylerror"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylrecord"
	"berylglade/berylscheduler"
)

// stage is the progress of the leader with one job.
type stage uint8

const (
	// queued means that the job is in the policy's queue.
	queued stage = iota + 1
	// reserving means that reservation requests are in flight.
	reserving
	// deciding means that the append of the decision is in flight.
	deciding
	// starting means that the decision was read back and the members are being
	// started.
	starting
	// running means that the anchor has reported the whole gang as running.
	running
	// stopping means that the attempt has ended and its members are being
	// stopped.
	stopping
)

// gang is a job that has not ended, or whose members still hold resources.
type gang struct {
	// state is the newest valid state in the log.
	state beryljob.State
	stage stage
	// stageStart is when the current stage began.
	stageStart time.Time
	// attempt is the number in reservations and decisions. It never repeats
	// within a term.
	attempt int
	// policyAttempt is the policy's own number of the attempt.
	policyAttempt int
	members       []beryljob.Member
	// granted and armed have one element per member: whether its reservation
	// was granted, and whether its start was confirmed.
	granted []bool
	armed   []bool
	// lastSend is when start or stop requests were last sent.
	lastSend time.Time
	// appending is set while the append of a record of this job is in flight.
	appending bool
	// lastAppendFailure is when an append last failed. The next append waits
	// for _appendInterval, so that an outage of the log does not cause a burst
	// of appends.
	lastAppendFailure time.Time
	// unconfirmed is set when it is unknown whether the decision is in the log.
	unconfirmed bool
	// cancelRequested is set when the job must be cancelled as soon as
	// possible.
	cancelRequested bool
	// succeeded and blamed describe the end of the attempt to the policy.
	succeeded bool
	blamed    string
}

func (g *gang) enterStage(now time.Time, s stage) {
	g.stage = s
	g.stageStart = now
}

// mayAppend reports whether a record of the job may be appended now.
func (g *gang) mayAppend(now time.Time) bool {
	return !g.appending && now.Sub(g.lastAppendFailure) >= _appendInterval
}

func (l *Leader) queue(now time.Time, s beryljob.State) {
	g := l.gangs[s.ID]
	if g == nil {
		g = &gang{attempt: s.Attempt}
		l.gangs[s.ID] = g
	}
	g.state = s
	g.members = nil
	g.enterStage(now, queued)
	l.policy.Handle(now, berylscheduler.JobQueued{State: s})
}

func (l *Leader) onPlace(now time.Time, a berylscheduler.Place) {
	g := l.gangs[a.Job]
	if g == nil || g.stage != queued || !g.mayAppend(now) || g.cancelRequested {
		l.policy.Handle(now, berylscheduler.PlacementRefused{Job: a.Job, Attempt: a.Attempt})
		return
	}
	l.Counts.Placed++
	g.attempt = max(g.attempt, g.state.Attempt) + 1
	g.policyAttempt = a.Attempt
	g.members = append([]beryljob.Member(nil), a.Members...)
	g.granted = make([]bool, len(g.members))
	g.armed = make([]bool, len(g.members))
	g.enterStage(now, reserving)
	for i, m := range g.members {
		l.emit(SendReserve{Addr: m.Addr, Index: i, Reserve: berylmessage.Reserve{
			Term:    l.Term,
			Job:     g.state.ID,
			Attempt: g.attempt,
			Tasks:   m.Tasks,
			Shape:   g.state.Shape,
			Hold:    _holdTime,
		}})
	}
}

func (l *Leader) onReserved(now time.Time, ev Reserved) {
	g := l.gangs[ev.Job]
	if g == nil || g.stage != reserving || g.attempt != ev.Attempt {
		return
	}
	m := &g.members[ev.Index]
	if ev.Err != nil || (m.Incarnation != "" && m.Incarnation != ev.Incarnation) {
		l.abandonAttempt(now, g, m.Agent)
		return
	}
	m.Incarnation = ev.Incarnation
	g.granted[ev.Index] = true
	if allTrue(g.granted) {
		l.appendDecision(now, g)
	}
}

// abandonAttempt abandons an attempt that has not been decided: it releases the
// reservations and returns the job to the policy.
func (l *Leader) abandonAttempt(now time.Time, g *gang, worker string) {
	l.Counts.Refused++
	l.sendStops(now, g, false, "placement refused")
	g.members = nil
	g.enterStage(now, queued)
	l.policy.Handle(now, berylscheduler.PlacementRefused{
		Job: g.state.ID, Attempt: g.policyAttempt, Worker: worker,
	})
	if g.cancelRequested {
		l.appendEnd(now, g, beryljob.Cancelled, "")
	}
}

func (l *Leader) appendDecision(now time.Time, g *gang) {
	if g.cancelRequested {
		l.abandonAttempt(now, g, "")
		return
	}
	g.enterStage(now, deciding)
	g.unconfirmed = false
	s := g.state
	s.Phase = beryljob.Decided
	s.Attempt = g.attempt
	s.Members = g.members
	s.Reason = ""
	l.append(g, s)
}

// append appends a state of the job. At most one append per job is in flight.
func (l *Leader) append(g *gang, s beryljob.State) {
	g.appending = true
	l.emit(Append{Record: berylrecord.JobState{Term: l.Term, State: s}})
}

// appendEnd appends a final phase.
func (l *Leader) appendEnd(now time.Time, g *gang, phase beryljob.Phase, reason string) {
	if !g.mayAppend(now) {
		return
	}
	s := g.state
	s.Phase = phase
	s.Members = nil
	s.Reason = reason
	l.append(g, s)
}

// appendQueued ends the attempt in the log and queues the job to run again.
func (l *Leader) appendQueued(now time.Time, g *gang, reason, blamed string) {
	if !g.mayAppend(now) {
		return
	}
	s := g.state
	s.Phase = beryljob.Queued
	s.Attempt = g.attempt
	s.Members = nil
	s.Reason = reason
	if blamed != "" {
		s.Blamed = append(append([]string(nil), s.Blamed...), blamed)
	}
	l.append(g, s)
}

func (l *Leader) onAppended(now time.Time, ev Appended) {
	g := l.gangs[ev.State.ID]
	if g == nil {
		return
	}
	g.appending = false
	if ev.Err == nil {
		return
	}
	g.lastAppendFailure = now
	switch {
	case g.stage == deciding && berylerror.Of(ev.Err) == berylerror.NotRun:
		l.abandonAttempt(now, g, "")
	case g.stage == deciding:
		// The decision may be in the log. checkTimeouts appends a record that
		// ends the attempt, which makes the outcome certain.
		g.unconfirmed = true
	}
	// Other records are appended again by checkTimeouts or at the next
	// heartbeat that requires them.
}

func (l *Leader) onJobChanged(now time.Time, s beryljob.State) {
	g := l.gangs[s.ID]
	if g == nil {
		if !s.Phase.Ended() {
			l.queue(now, s)
		}
		return
	}
	before := g.state
	g.state = s
	switch {
	case s.Phase.Ended():
		l.onEnded(now, g, s)
	case s.Phase == beryljob.Decided:
		l.onDecided(now, g)
	case before.Phase == beryljob.Decided || g.stage == deciding:
		// The log has ended the attempt.
		l.stopMembers(now, g)
	}
}

func (l *Leader) onDecided(now time.Time, g *gang) {
	if g.stage != deciding || g.state.Attempt != g.attempt {
		return
	}
	l.Counts.Decided++
	g.enterStage(now, starting)
	l.sendStarts(now, g)
}

func (l *Leader) onEnded(now time.Time, g *gang, s beryljob.State) {
	if s.Phase == beryljob.Done {
		l.Counts.Done++
		g.succeeded = true
	} else {
		l.Counts.Failed++
	}
	l.stopMembers(now, g)
}

// stopMembers stops every member of the attempt. The gang stays in stage
// stopping until finish is called, when no member can still hold resources.
func (l *Leader) stopMembers(now time.Time, g *gang) {
	if g.stage == stopping {
		return
	}
	hadMembers := len(g.members) > 0
	g.enterStage(now, stopping)
	if !hadMembers {
		l.finish(now, g)
		return
	}
	if g.succeeded {
		// The anchor has reported that every member has ended.
		l.finish(now, g)
		return
	}
	l.sendStops(now, g, l.shouldCheckpoint(g), g.state.Reason)
}

// finish tells the policy that the attempt no longer holds resources, and
// queues the job again or removes it.
func (l *Leader) finish(now time.Time, g *gang) {
	id := g.state.ID
	if len(g.members) > 0 {
		l.policy.Handle(now, berylscheduler.GangEnded{
			Job: id, Attempt: g.policyAttempt, OK: g.succeeded, Blamed: g.blamed,
		})
	}
	g.blamed = ""
	g.succeeded = false
	if g.state.Phase.Ended() {
		delete(l.gangs, id)
		l.policy.Handle(now, berylscheduler.JobEnded{Job: id, Phase: g.state.Phase})
		return
	}
	l.queue(now, g.state)
	if g.cancelRequested {
		l.appendEnd(now, g, beryljob.Cancelled, "")
	}
}

func (l *Leader) onJobCancelled(now time.Time, id string) {
	g := l.gangs[id]
	if g == nil {
		return
	}
	g.cancelRequested = true
	if g.stage == reserving {
		l.abandonAttempt(now, g, "")
		return
	}
	l.appendEnd(now, g, beryljob.Cancelled, "")
}

func (l *Leader) onPreempt(now time.Time, a berylscheduler.Preempt) {
	g := l.gangs[a.Job]
	if g == nil || g.policyAttempt != a.Attempt {
		return
	}
	switch g.stage {
	case reserving:
		l.abandonAttempt(now, g, "")
	case starting, running:
		if g.mayAppend(now) {
			l.Counts.Preempted++
			l.appendQueued(now, g, a.Reason, "")
		}
	case queued, deciding, stopping:
		// The policy repeats the preemption if it still needs the resources.
	}
}

func (l *Leader) onReject(now time.Time, a berylscheduler.Reject) {
	if g := l.gangs[a.Job]; g != nil && g.stage == queued {
		l.appendEnd(now, g, beryljob.Failed, a.Reason)
	}
}

func (l *Leader) markLate(now time.Time, a berylscheduler.Late) {
	l.Counts.Late++
	g := l.gangs[a.Job]
	if g == nil || !g.mayAppend(now) || g.stage != queued {
		return
	}
	s := g.state
	s.Late = true
	l.append(g, s)
}

// mayRunAgain reports whether the job may run again after an attempt that may
// have started. The next attempt waits until every member of the previous one
// has ended.
func (l *Leader) mayRunAgain(g *gang) bool {
	class := l.class(g)
	return class.Idempotent || class.Checkpoint
}

func (l *Leader) shouldCheckpoint(g *gang) bool {
	return l.class(g).Checkpoint && !g.state.Phase.Ended()
}

func allTrue(flags []bool) bool {
	for _, f := range flags {
		if !f {
			return false
		}
	}
	return true
}
