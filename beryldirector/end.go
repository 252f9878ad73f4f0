package beryldirector

import (
	"maps"
	"slices"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// endRun makes a task idle whose newest run is known not to exist any more, although
// no end of it was listed.
func (d *Director) endRun(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task, why string) {
	p := d.agents[t.Incarnation.Node].progressOf(berylreport.Key{Task: ref.String(), Run: t.Run})
	d.note("run over", "task", ref.String(), "run", t.Run, "node", t.Incarnation.Node, "why", why,
		"progress", p.progress, "rate", p.rate, "listed", p.listedAge(now).Milliseconds())
	d.observeCut(now, j, ref, t)
	t.Phase = berylbook.Idle
	delete(d.orderedAt, runKey{ref, t.Run})
	d.stopGang(j, ref, t.Run)
	d.updateState(now, j)
}

// stopGang stops the other members of a gang's run. It does nothing for a step that
// is not a gang.
func (d *Director) stopGang(j *berylbook.Job, ref berylwork.Ref, run int) {
	if !j.Work.Steps[ref.Step].Gang {
		return
	}
	j.Step(ref.Occurrence, ref.Step).Each(func(_ int, t *berylbook.Task) bool {
		if t.Run == run {
			t.Stop()
		}
		return true
	})
	d.markDirty(j.Work.ID)
}

// handleEnd applies a listed end unless it was applied before.
func (d *Director) handleEnd(now time.Time, a *agentState, e berylreport.End) {
	if e.Seq <= a.ackedEnd || slices.ContainsFunc(a.unrecordedEnds, func(o pendingEnd) bool { return o.n == e.Seq }) {
		return
	}
	ref, _ := berylwork.ParseRef(e.Task)
	a.unrecordedEnds = append(a.unrecordedEnds, pendingEnd{n: e.Seq, job: ref.Job})
	d.applyEnd(now, a, e)
}

// applyEnd applies an end if it is that of the newest run of its task, on the node of the
// agent. The incarnation may be later than the one for which the run was ordered, if the
// start call was carried out after a restart: the end is acknowledged, so it has to count.
func (d *Director) applyEnd(now time.Time, a *agentState, e berylreport.End) {
	ref, ok := berylwork.ParseRef(e.Task)
	if !ok {
		return
	}
	j, t := d.Book.Task(ref)
	if t == nil || t.Run != e.Run || !t.Phase.Active() || t.Incarnation.Node != a.report.Node {
		return
	}
	d.note("end", "task", e.Task, "run", e.Run, "how", e.Reason.String(), "node", a.report.Node, "n", e.Seq,
		"ms", now.UnixMilli()-t.OrderedAt)
	d.noteBegun(j, t)
	if e.Checkpoint != "" {
		d.saveCheckpoint(j, ref, e.Checkpoint)
	}
	switch e.Reason {
	case berylreport.Done:
		d.completeTask(now, a, j, ref, t)
	case berylreport.Failed:
		d.observeCut(now, j, ref, t)
		d.failTask(now, a, j, ref, t)
	default:
		d.observeCut(now, j, ref, t)
		t.Phase = berylbook.Idle
		d.stopGang(j, ref, e.Run)
	}
	d.markDirty(j.Work.ID)
	d.updateState(now, j)
}

// saveCheckpoint stores a checkpoint of a task. That of any member is valid for the
// whole gang.
func (d *Director) saveCheckpoint(j *berylbook.Job, ref berylwork.Ref, checkpoint string) {
	tasks := j.Step(ref.Occurrence, ref.Step)
	if !j.Work.Steps[ref.Step].Gang {
		tasks.At(ref.Index).Checkpoint = checkpoint
		return
	}
	for i := range tasks.Len() {
		tasks.At(i).Checkpoint = checkpoint
	}
}

func (d *Director) completeTask(now time.Time, a *agentState, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	if j.Work.Steps[ref.Step].LongRunning {
		t.Phase = berylbook.Idle
		return
	}
	a.faultScore = max(a.faultScore-_successCredit, 0)
	d.observeEnd(now, j, ref, t)
	t.Phase = berylbook.Done
	if !j.Work.Steps[ref.Step].Gang {
		return
	}
	run := t.Run
	j.Step(ref.Occurrence, ref.Step).Each(func(_ int, t *berylbook.Task) bool {
		if t.Run == run {
			t.Phase = berylbook.Done
		}
		return true
	})
}

func (d *Director) failTask(now time.Time, a *agentState, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	step := j.Work.Steps[ref.Step]
	run := t.Run
	t.Phase = berylbook.Idle
	d.recordFailure(now, a, unitName(j, ref.Occurrence, ref.Step, ref.Index))
	d.openBreaker(now, a, j, ref, t)
	d.stopGang(j, ref, run)
	if step.LongRunning {
		return
	}
	_, tasks := unitTasks(j, ref)
	if tasks[0].LastFailedRun == run {
		return
	}
	for _, t := range tasks {
		t.LastFailedRun = run
		t.Failures++
	}
	if t.Failures >= d.maxAttempts(j) && !j.State.Final() {
		d.note("job failed", "job", j.Work.ID, "task", ref.String(), "failures", t.Failures,
			"nodes", slices.Sorted(maps.Keys(d.failedOn[unitName(j, ref.Occurrence, ref.Step, ref.Index)])))
		j.State = berylbook.Failed
		j.EndedAt = now.UnixMilli()
		d.forgetJob(now, j)
		d.stopJob(j, "failed")
	}
}

// recordFailure makes the unit avoid the host on which it failed, and raises the
// host's fault score. The score rises less if the unit has failed on other hosts,
// because the fault is likely in the unit then.
func (d *Director) recordFailure(now time.Time, a *agentState, unit string) {
	if d.failedOn[unit] == nil {
		d.failedOn[unit] = map[string]bool{}
	}
	a.faultAt = now
	if len(d.failedOn[unit]) == 0 || d.failedOn[unit][a.report.Node] {
		a.faultScore += _failurePenalty
	} else {
		a.faultScore += _repeatFailurePenalty
	}
	d.failedOn[unit][a.report.Node] = true
}

// forgetJob deletes the hosts on which runs of a job that has ended failed, and its
// preemptions, which it tells the entry about.
func (d *Director) forgetJob(now time.Time, j *berylbook.Job) {
	p := d.preempted[j.Work.ID]
	d.note("job ended", "job", j.Work.ID, "state", j.State.String(), "ms", now.UnixMilli()-j.Work.Accepted,
		"preemptions", p.units, "discarded", round(p.discarded))
	d.effects = append(d.effects, JobEnded{Queue: j.Work.Queue, Discarded: p.discarded})
	delete(d.preempted, j.Work.ID)
	d.cooldown.Forget(j.Work.ID + ".")
	d.breakers.ForgetJob(j.Work.ID + ".")
	maps.DeleteFunc(d.failedOn, func(unit string, _ map[string]bool) bool {
		return strings.HasPrefix(unit, j.Work.ID+".")
	})
}

func (d *Director) maxAttempts(j *berylbook.Job) int {
	if d.Policy == nil {
		return _defaultAttempts
	}
	q, ok := d.queueOf(j.Work)
	if !ok || q.Attempts <= 0 {
		return _defaultAttempts
	}
	return q.Attempts
}

func (d *Director) handleAbsent(now time.Time, a *agentState, k berylreport.Key) {
	ref, ok := berylwork.ParseRef(k.Task)
	if !ok {
		return
	}
	j, t := d.Book.Task(ref)
	if t == nil || t.Run != k.Run || !t.Phase.Active() || t.Incarnation != a.report.Incarnation {
		return
	}
	if t.Phase == berylbook.Ordered {
		a.faultScore += _refusalPenalty
		a.faultAt = now
		a.refusedAt = now
	}
	d.endRun(now, j, ref, t, "run does not exist")
}

// updateState marks the job as changed, and sets its final state if it is complete,
// or cancelled and without active runs.
func (d *Director) updateState(now time.Time, j *berylbook.Job) {
	d.markDirty(j.Work.ID)
	if j.State.Final() {
		return
	}
	switch {
	case j.Complete():
		j.State = berylbook.Completed
	case j.CancelledAt != 0 && !j.Active():
		j.State = berylbook.Cancelled
	default:
		return
	}
	j.EndedAt = now.UnixMilli()
	d.forgetJob(now, j)
}

// stopJob stops all runs of a job.
func (d *Director) stopJob(j *berylbook.Job, why string) {
	j.Each(func(_ berylwork.Ref, t *berylbook.Task) { t.Stop() })
	d.note("stop job", "job", j.Work.ID, "why", why)
	d.markDirty(j.Work.ID)
}

// expireRuns stops runs whose start was not confirmed in time, and ends runs on
// backend servers whose lease must have expired.
func (d *Director) expireRuns(now time.Time) {
	d.currentIndex().compact()
	longRunning := 0
	d.eachActive(func(s activeTask) {
		d.expireRun(now, s.job, s.ref, s.task)
		if s.job.Work.Steps[s.ref.Step].LongRunning && s.task.Phase != berylbook.Stopping {
			longRunning++
		}
	})
	if longRunning < d.longRunning {
		d.longRunningEndedAt = now
	}
	d.longRunning = longRunning
}

func (d *Director) expireRun(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	a := d.agents[t.Incarnation.Node]
	if now.Sub(d.lastContact(a, t.Incarnation)) > d.Limits.LeaseExpiry {
		d.endRun(now, j, ref, t, "lease must have expired")
		return
	}
	if t.Phase != berylbook.Ordered {
		return
	}
	k := runKey{ref, t.Run}
	since, ok := d.orderedAt[k]
	if !ok || !d.isRecorded(j.Work.ID) {
		// A start is not sent before it is recorded, so its timeout begins then.
		d.orderedAt[k] = now
		return
	}
	if a != nil && a.report.Truncated && a.handled[berylreport.Key{Task: ref.String(), Run: t.Run}] {
		// The run was started, and its end may follow those that are listed.
		return
	}
	if now.Sub(since) > d.Limits.startTimeout() {
		d.note("start not confirmed", "task", ref.String(), "run", t.Run, "node", t.Incarnation.Node, "ms", now.Sub(since).Milliseconds())
		t.Phase = berylbook.Stopping
		if a != nil {
			a.faultScore += _refusalPenalty
			a.faultAt = now
		}
		d.stopGang(j, ref, t.Run)
		d.markDirty(j.Work.ID)
	}
}

// lastContact returns the latest time at which the lease of an incarnation of the agent's
// backend server may have been extended. The agent is nil if it has not reported to this
// leader.
func (d *Director) lastContact(a *agentState, incarnation berylbook.Incarnation) time.Time {
	switch {
	case a == nil:
		return d.earlierLeaseEnd
	case a.report.Incarnation != incarnation:
		return later(d.earlierLeaseEnd, a.replacedAt)
	default:
		return a.contactAt
	}
}
