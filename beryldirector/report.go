package beryldirector

import (
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// _rackPrefix is the prefix of the label that names the rack of a backend server.
const _rackPrefix = "r"

// agentState is the leader's state of one agent and its backend server.
type agentState struct {
	report berylreport.Report
	// contactAt is when this entry last answered a report while it held the leader
	// lease; such an answer extends the lease of the backend server. It starts as
	// the end of the leader lease of an earlier leader, which may have extended the
	// lease until then.
	contactAt time.Time
	// replacedAt is when the agent last named another incarnation of its backend server:
	// leases of the earlier one were not extended since.
	replacedAt time.Time
	reportedAt time.Time
	rack       string
	// leavesAt is the earliest time at which the backend server leaves, if it is
	// draining.
	leavesAt time.Time
	// handled are the starts that the agent has received, and running the runs
	// that the backend server listed.
	handled map[berylreport.Key]bool
	running map[berylreport.Key]bool
	// unknown are listed runs that are not active in the Book. They are stopped.
	unknown []berylreport.Key
	// sentAt and sentFingerprint are those of the orders that were last sent.
	sentAt          time.Time
	sentFingerprint string
	// progress is that of the listed runs.
	progress map[berylreport.Key]*runProgress
	// slow is true while a run on the backend server is stalled or slow.
	slow bool
	// refusedAt is when the backend server last refused a start.
	refusedAt time.Time
	// faultAt is when faultScore last increased.
	faultAt time.Time
	incarnationState
}

// incarnationState is the part of an agentState that begins anew with each incarnation of the
// backend server.
type incarnationState struct {
	// contactClock is the clock of the backend server in the report that was answered at
	// contactAt; zero if this leader has had no contact with the incarnation.
	contactClock   int64
	unrecordedEnds []pendingEnd
	// ackedEnd is the number up to which all ends are recorded.
	ackedEnd int64
	// faultScore increases with failed runs and with refused or unconfirmed starts,
	// and decreases with successful runs.
	faultScore float64
}

// pendingEnd is an end that was applied and whose job is not recorded yet. It is
// acknowledged to the backend server once the job is recorded.
type pendingEnd struct {
	n   int64
	job string
}

// runKey identifies a run of a task.
type runKey struct {
	ref berylwork.Ref
	run int
}

// Report applies the report of an agent and returns the answer to it.
func (d *Director) Report(now time.Time, r berylreport.Report) berylreport.Answer {
	c := d.Book.Claim
	answer := berylreport.Answer{Epoch: c.Epoch}
	if !c.Resigned && now.Sub(d.readAt) <= _maxReadAge {
		// With an older read, Claim may be that of a leader deposed meanwhile.
		answer.Leader = c.Addr
	}
	if !d.Leading() {
		return answer
	}
	a := d.agents[r.Node]
	if a == nil {
		a = &agentState{contactAt: d.earlierLeaseEnd}
		d.agents[r.Node] = a
	}
	if r.Boot < a.report.Boot || (r.Boot == a.report.Boot && r.Seq <= a.report.Seq) {
		return answer
	}
	a.reportedAt = now
	d.now = now
	d.applyReport(now, a, r)
	if d.hasLease(now) {
		answer.FromLeader = true
		a.contactAt = now
		a.contactClock = r.Clock
	}
	d.advanceAckedEnd(a)
	answer.Acked = a.ackedEnd
	return answer
}

func (d *Director) applyReport(now time.Time, a *agentState, r berylreport.Report) {
	if a.report.Incarnation != r.Incarnation {
		d.note("member", "node", r.Node, "instance", r.Incarnation.Instance, "born", r.Incarnation.StartedAt,
			"service", r.Service, "zone", r.Zone, "labels", strings.Join(r.Labels, ","), "accelerators", r.Capacity.Accelerators)
		a.incarnationState = incarnationState{}
		d.breakers.ForgetServer(r.Node)
		a.replacedAt = now
	}
	drainingChanged := a.report.Draining != r.Draining
	if drainingChanged {
		d.note("draining", "node", r.Node, "draining", r.Draining, "remaining", r.Remaining)
	}
	if a.report.Truncated != r.Truncated {
		d.note("ends truncated", "node", r.Node, "truncated", r.Truncated, "ends", len(r.Ends), "running", len(r.Runs))
	}
	a.report = r
	a.leavesAt = now.Add(time.Duration(r.Remaining) * time.Millisecond)
	a.rack = rackOf(r.Labels)
	a.handled = keySet(r.Received)
	a.running = map[berylreport.Key]bool{}
	a.unknown = a.unknown[:0]
	if r.Incarnation.Instance == "" {
		return
	}
	for _, e := range r.PastEnds.Ends {
		d.applyEnd(now, a, e)
	}
	for _, e := range r.Ends {
		d.handleEnd(now, a, e)
	}
	if r.Listed && !r.Truncated {
		d.endPreviousRuns(now, r)
	}
	for _, k := range r.Absent {
		d.handleAbsent(now, a, k)
	}
	if r.LeaseExpired {
		// The ends are applied first, so that tasks which had ended before the
		// lease expired do not run again.
		d.endAllRuns(now, r.Node, "lease expired")
		return
	}
	a.updateProgress(now, r.Runs)
	for _, run := range r.Runs {
		a.running[run.Key] = true
		d.applyRun(now, a, run)
	}
	if r.Listed && !r.Unresponsive && !r.Truncated {
		d.stopVanished(a)
	}
	if drainingChanged && r.Draining {
		d.noteRunsOnDraining(now, a)
	}
}

// noteRunsOnDraining logs the state of each run on a backend server that leaves. Its
// departure ends the runs that are left.
func (d *Director) noteRunsOnDraining(now time.Time, a *agentState) {
	r := a.report
	d.eachActiveOn(r.Node, func(s activeTask) {
		p := a.progressOf(berylreport.Key{Task: s.name, Run: s.task.Run})
		d.note("run on draining server", "task", s.name, "run", s.task.Run, "node", r.Node, "remaining", r.Remaining,
			"progress", p.progress, "rate", p.rate, "left", d.remainingTime(now, s.job, s.ref, s.task).Milliseconds())
	})
}

func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, _rackPrefix) && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

func keySet(keys []berylreport.Key) map[berylreport.Key]bool {
	set := make(map[berylreport.Key]bool, len(keys))
	for _, k := range keys {
		set[k] = true
	}
	return set
}

// endPreviousRuns ends the runs of previous incarnations of the node's backend server. The
// agent must have listed the current one: a restarted agent may know it only from a
// delayed heartbeat of a server that is gone, while another one runs tasks. A run that the
// current one lists goes on: its start call was carried out after the restart.
func (d *Director) endPreviousRuns(now time.Time, r berylreport.Report) {
	listed := map[berylreport.Key]bool{}
	for _, run := range r.Runs {
		listed[run.Key] = true
	}
	d.eachActiveOn(r.Node, func(s activeTask) {
		switch {
		case s.task.Incarnation == r.Incarnation:
		case listed[berylreport.Key{Task: s.name, Run: s.task.Run}]:
			d.note("run on next incarnation", "task", s.name, "run", s.task.Run, "node", r.Node)
			s.task.Incarnation = r.Incarnation
			d.markDirty(s.job.Work.ID)
		default:
			d.endRun(now, s.job, s.ref, s.task, "backend server restarted")
		}
	})
}

func (d *Director) endAllRuns(now time.Time, node, why string) {
	d.eachActiveOn(node, func(s activeTask) { d.endRun(now, s.job, s.ref, s.task, why) })
}

func (d *Director) applyRun(_ time.Time, a *agentState, run berylreport.Run) {
	ref, ok := berylwork.ParseRef(run.Task)
	j, t := d.Book.Task(ref)
	if t != nil && t.Run == run.Run && t.Phase == berylbook.Done && j.Work.Steps[ref.Step].Gang {
		// The gang is done since the end of another member was listed; this one
		// ends without being stopped.
		return
	}
	if !ok || t == nil || t.Run != run.Run || !t.Phase.Active() || t.Incarnation != a.report.Incarnation {
		a.unknown = append(a.unknown, run.Key)
		return
	}
	d.noteBegun(j, t)
	if t.Phase == berylbook.Ordered {
		t.Phase = berylbook.Working
		delete(d.orderedAt, runKey{ref, t.Run})
	}
	if run.Checkpoint != "" && run.Checkpoint != t.Checkpoint {
		d.saveCheckpoint(j, ref, run.Checkpoint)
		d.checkpointed[j.Work.ID] = true
	}
}

// noteBegun notes that a run of the task has started, if that is news for clients. It is
// recorded with the next renewal of the claim at the latest.
func (d *Director) noteBegun(j *berylbook.Job, t *berylbook.Task) {
	if !t.Begun && !j.Begun() {
		t.Begun = true
		d.checkpointed[j.Work.ID] = true
	}
}

// stopVanished stops runs that were listed before and no longer are. The stop
// ensures that they do not exist.
func (d *Director) stopVanished(a *agentState) {
	d.eachActiveOn(a.report.Node, func(s activeTask) {
		k := berylreport.Key{Task: s.name, Run: s.task.Run}
		if s.task.Phase == berylbook.Working && !a.running[k] {
			d.note("run vanished", "task", k.Task, "run", k.Run, "node", a.report.Node)
			s.task.Phase = berylbook.Stopping
			d.markDirty(s.job.Work.ID)
		}
	})
}

const (
	// _defaultAttempts applies while the policy does not have the queue.
	_defaultAttempts = 3
	// _resendInterval is the minimum time between two sends of the same orders.
	_resendInterval = 200 * time.Millisecond
	// Changes of a backend server's fault score. One failed run weighs as much as
	// two successful ones.
	_failurePenalty       = 1.0
	_repeatFailurePenalty = 0.25
	_refusalPenalty       = 0.5
	_successCredit        = 0.5
)
