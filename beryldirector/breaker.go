package beryldirector

import (
	"time"

	"berylglade/berylbook"
	"berylglade/berylbreaker"
	"berylglade/berylfit"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// openBreaker opens the breaker of the agent's backend server if a run has failed there
// at once.
func (d *Director) openBreaker(now time.Time, a *agentState, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	p := a.progressOf(berylreport.Key{Task: ref.String(), Run: t.Run})
	if !d.failedAtOnce(now, p, t) {
		return
	}
	f := berylbreaker.Failure{
		Server: a.report.Node, Servers: d.servers(a.report.Service),
		Step: stepName(ref), Works: d.works(j, ref),
	}
	if d.breakers.Fail(now, f) {
		d.note("breaker opened", "node", f.Server, "task", ref.String(), "run", t.Run, "works", f.Works)
	}
}

// failedAtOnce reports whether a run that fails now has made no progress. A new leader, which
// has not seen its start, takes a run that is too old for one that has.
func (d *Director) failedAtOnce(now time.Time, p *runProgress, t *berylbook.Task) bool {
	if p.advanced() || p.progress > 0 && t.Checkpoint == "" {
		return false
	}
	return now.Sub(time.UnixMilli(t.OrderedAt)) <= d.Limits.startTimeout()+d.Limits.Restore+_failureReportTime
}

// closeBreakers closes the breakers of the backend servers on which a run that was started
// since the last failure has made progress.
func (d *Director) closeBreakers() {
	if d.breakers.AllClosed() {
		return
	}
	d.eachActive(func(s activeTask) {
		a := d.agents[s.task.Incarnation.Node]
		if !a.progressOf(berylreport.Key{Task: s.name, Run: s.task.Run}).advanced() {
			return
		}
		if d.breakers.Advance(a.report.Node, time.UnixMilli(s.task.OrderedAt)) {
			d.note("breaker closed", "node", a.report.Node, "task", s.name, "run", s.task.Run)
		}
	})
}

// stepName identifies the step of a task, with the job's id as prefix.
func stepName(ref berylwork.Ref) string {
	ref.Index = 0
	return ref.String()
}

// servers returns the number of backend servers of a service.
func (d *Director) servers(service string) int {
	n := 0
	for _, a := range d.agents {
		if a.report.Service == service {
			n++
		}
	}
	return n
}

// works reports whether a run of the task's step has made progress.
func (d *Director) works(j *berylbook.Job, ref berylwork.Ref) bool {
	return !j.Step(ref.Occurrence, ref.Step).Each(func(i int, t *berylbook.Task) bool {
		sibling := ref
		sibling.Index = i
		k := berylreport.Key{Task: sibling.String(), Run: t.Run}
		return t.Phase != berylbook.Done && !d.agents[t.Incarnation.Node].progressOf(k).advanced()
	})
}

// hasNoChoice reports whether the unit would not fit on the servers whose breakers are closed
// although nothing else ran there. The units of a step are alike.
func (d *Director) hasNoChoice(u *unit, demand *berylfit.Demand, known []berylfit.Host) bool {
	if d.breakers.AllClosed() {
		return false
	}
	step := stepKey{u.job, u.occurrence, u.step}
	none, ok := d.noChoice[step]
	if !ok {
		none = !demand.FitsOneRack(known)
		d.noChoice[step] = none
	}
	return none
}

// mayProbe reports whether a unit may be started on a backend server whose breaker is half
// open: a task that can fail and be tried again, or a unit that has waited for long. One
// that has failed already is not risked.
func (d *Director) mayProbe(u *unit) bool {
	if len(d.failedOn[u.name()]) > 0 {
		return false
	}
	single := len(u.tasks) == 1 && u.queue.Priority != 0 && d.maxAttempts(u.job) > 1
	return single || u.waited >= _maxProbeWait
}

const (
	// _maxProbeWait is how long urgent work and gangs wait before they may be a probe. A
	// gang that fails as one fails as a whole.
	_maxProbeWait = 2 * time.Second
	// _failureReportTime is how long the report of a failure takes at most, unless the
	// agent is cut off.
	_failureReportTime = 500 * time.Millisecond
)
