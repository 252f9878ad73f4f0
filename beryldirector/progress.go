package beryldirector

import (
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// runProgress tracks the progress of one run, in percent, from the listings of its
// backend server.
type runProgress struct {
	// firstListed is when the run was first listed, with firstProgress, and lastListed
	// when it last was.
	firstListed, lastListed time.Time
	firstProgress           float64
	// advancedAt is when the progress last increased, to progress.
	advancedAt time.Time
	progress   float64
	// rate is the progress in percent per second, measured over spans of about a
	// second; zero while unknown.
	rate float64
	// rateFrom and rateBase are the time and progress at the start of the span
	// over which rate is measured.
	rateFrom time.Time
	rateBase float64
}

// update applies the progress of a listing.
func (t *runProgress) update(now time.Time, progress float64) {
	t.lastListed = now
	if t.firstListed.IsZero() {
		t.firstListed, t.rateFrom, t.advancedAt = now, now, now
		t.rateBase, t.progress, t.firstProgress = progress, progress, progress
		return
	}
	if progress > t.progress {
		t.advancedAt = now
		t.progress = progress
	}
	span := now.Sub(t.rateFrom)
	if span < _rateWindow {
		return
	}
	t.rate = (progress - t.rateBase) / span.Seconds()
	t.rateFrom = now
	t.rateBase = progress
}

// advanced reports whether the run has made progress since it was first listed.
func (t *runProgress) advanced() bool { return t.progress > t.firstProgress }

// stalledFor returns for how long the run has made no progress; zero before it
// makes any and when its work is complete.
func (t *runProgress) stalledFor(now time.Time) time.Duration {
	if t.progress <= 0 || t.progress >= _complete {
		return 0
	}
	return now.Sub(t.advancedAt)
}

// listedAge returns the time since the run was last listed; zero if it never was.
func (t *runProgress) listedAge(now time.Time) time.Duration {
	if t.lastListed.IsZero() {
		return 0
	}
	return now.Sub(t.lastListed)
}

// runTime returns the run time of the whole task at the present rate, or zero if
// the rate is unknown.
func (t *runProgress) runTime() time.Duration {
	if t.rate <= 0 {
		return 0
	}
	return time.Duration(_complete / t.rate * float64(time.Second))
}

// workTime returns the time of the whole work at the mean rate of all listings, without
// the times to start the run and to list its end. It is zero if too little of the work was
// listed.
func (t *runProgress) workTime() time.Duration {
	done := t.progress - t.firstProgress
	if done < _minListedWork {
		return 0
	}
	return time.Duration(float64(t.lastListed.Sub(t.firstListed)) * _complete / done)
}

// remaining returns the expected time until the end of the run. Total is the run
// time to assume if the rate is unknown or the run is stalled. A stalled run is
// expected to remain stalled for as long as it has been.
func (t *runProgress) remaining(now time.Time, total time.Duration) time.Duration {
	stalled := t.stalledFor(now)
	if measured := t.runTime(); measured > 0 && stalled < _stallTimeout {
		total = measured
	}
	rest := time.Duration((_complete - t.progress) / _complete * float64(total))
	if stalled < _stallTimeout {
		stalled = 0
	}
	return rest + stalled
}

// progressOf returns the progress of a run. It is never nil; it is zero for an
// unknown run or a nil receiver.
func (a *agentState) progressOf(k berylreport.Key) *runProgress {
	if a == nil || a.progress[k] == nil {
		return &runProgress{}
	}
	return a.progress[k]
}

// updateProgress applies the progress of all listed runs, and drops that of other
// runs.
func (a *agentState) updateProgress(now time.Time, runs []berylreport.Run) {
	progress := make(map[berylreport.Key]*runProgress, len(runs))
	for _, r := range runs {
		t := a.progressOf(r.Key)
		t.update(now, r.Progress)
		progress[r.Key] = t
	}
	a.progress = progress
}

// expectedRunTime returns the run time of a task on a healthy backend server of the usual
// speed: the median of its running siblings, or the best of the task itself. It returns false
// if neither is known. Declared times can be wrong by a factor of ten.
func (d *Director) expectedRunTime(j *berylbook.Job, ref berylwork.Ref) (time.Duration, bool) {
	step := stepKey{j, ref.Occurrence, ref.Step}
	median, ok := d.medianRunTimes[step]
	if !ok {
		median = d.medianRunTime(j, ref)
		d.medianRunTimes[step] = median
	}
	if median > 0 {
		return median, true
	}
	own, ok := d.bestRunTime[ref]
	return own, ok
}

// medianRunTime returns the median run time of the running tasks of a step; zero if
// there are too few.
func (d *Director) medianRunTime(j *berylbook.Job, ref berylwork.Ref) time.Duration {
	var totals []time.Duration
	j.Step(ref.Occurrence, ref.Step).Each(func(i int, t *berylbook.Task) bool {
		a := d.agents[t.Incarnation.Node]
		if t.Phase != berylbook.Working || a == nil {
			return true
		}
		sibling := ref
		sibling.Index = i
		p := a.progressOf(berylreport.Key{Task: sibling.String(), Run: t.Run})
		if total := p.runTime(); total > 0 && p.stalledFor(d.now) < _stallTimeout {
			totals = append(totals, atUsualSpeed(total, d.speeds.Speed(d.now, t.Incarnation.Node)))
		}
		return true
	})
	if len(totals) < _minSiblings {
		return 0
	}
	slices.Sort(totals)
	return totals[(len(totals)-1)/2]
}

// updateBestRunTime updates the shortest projected run time of a task over all of
// its runs, on a backend server of the usual speed. Speed is that of the present run.
func (d *Director) updateBestRunTime(ref berylwork.Ref, p *runProgress, speed float64) {
	total := atUsualSpeed(p.runTime(), speed)
	if total <= 0 {
		return
	}
	if old, ok := d.bestRunTime[ref]; !ok || total < old {
		d.bestRunTime[ref] = total
	}
}

// remainingTime returns the expected time until a run ends without being stopped. The
// members of a gang end with the last of them.
func (d *Director) remainingTime(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) time.Duration {
	if !j.Work.Steps[ref.Step].Gang {
		return d.remainingWork(now, j, ref, t)
	}
	var longest time.Duration
	j.Step(ref.Occurrence, ref.Step).Each(func(i int, member *berylbook.Task) bool {
		ref.Index = i
		if member.Phase.Active() {
			longest = max(longest, d.remainingWork(now, j, ref, member))
		}
		return true
	})
	return longest
}

// remainingWork returns the expected time until a task's own work is done, at least _never if
// no end is expected.
func (d *Director) remainingWork(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) time.Duration {
	a := d.agents[t.Incarnation.Node]
	if a == nil || j.Work.Steps[ref.Step].LongRunning {
		return _never
	}
	p := a.progressOf(berylreport.Key{Task: ref.String(), Run: t.Run})
	total, ok := d.expectedRunTime(j, ref)
	if !ok {
		total = d.declaredRunTime(j, ref.Step)
	}
	return p.remaining(now, atSpeed(total, d.speeds.Speed(now, t.Incarnation.Node)))
}

// markSlowServers marks the backend servers that have a run which is stalled or far
// slower than its siblings. Placement then prefers other backend servers.
func (d *Director) markSlowServers(now time.Time) {
	for _, a := range d.agents {
		a.slow = false
	}
	d.eachActive(func(s activeTask) {
		a := d.agents[s.task.Incarnation.Node]
		if s.task.Phase != berylbook.Working || a == nil || s.job.State.Final() || s.job.Work.Steps[s.ref.Step].LongRunning {
			return
		}
		p := a.progressOf(berylreport.Key{Task: s.name, Run: s.task.Run})
		if d.isSlow(now, a, s.job, s.ref, p) {
			a.slow = true
		}
	})
}

func (d *Director) isSlow(now time.Time, a *agentState, j *berylbook.Job, ref berylwork.Ref, p *runProgress) bool {
	if p.stalledFor(now) > _stallTimeout {
		return true
	}
	speed := d.speeds.Speed(now, a.report.Node)
	d.updateBestRunTime(ref, p, speed)
	expected, ok := d.expectedRunTime(j, ref)
	return ok && p.runTime().Seconds() > _slowFactor*atSpeed(expected, speed).Seconds()
}

// restartSlowUnits restarts units on slow backend servers that would end sooner
// elsewhere, if there is capacity for them.
func (d *Director) restartSlowUnits(now time.Time) {
	if d.Policy == nil {
		return
	}
	if !d.anySlow() {
		return
	}
	sound := map[string][]berylfit.Host{}
	for _, j := range d.liveJobs() {
		q, ok := d.queueOf(j.Work)
		if !ok || j.State.Final() || j.CancelledAt != 0 {
			continue
		}
		if _, ok := sound[q.Service]; !ok {
			sound[q.Service] = d.soundHosts(now, q.Service)
		}
		for k := j.FirstIncomplete(); k < j.Work.Occurrences(); k++ {
			if j.Work.Due(k).After(now) {
				break
			}
			for s := range j.Work.Steps {
				if !j.Work.Steps[s].LongRunning {
					d.restartSlowTasks(now, j, sound[q.Service], k, s)
				}
			}
		}
	}
}

// anySlow reports whether a backend server is slow.
func (d *Director) anySlow() bool {
	for _, a := range d.agents {
		if a.slow {
			return true
		}
	}
	return false
}

// restartSlowTasks restarts the units of a step that are on slow backend servers. Sound
// are the hosts with a fault score of zero.
func (d *Director) restartSlowTasks(now time.Time, j *berylbook.Job, sound []berylfit.Host, occurrence, s int) {
	tasks := j.Step(occurrence, s)
	var worst time.Duration
	tasks.Each(func(i int, t *berylbook.Task) bool {
		ref := berylwork.Ref{Job: j.Work.ID, Occurrence: occurrence, Step: s, Index: i}
		a := d.agents[t.Incarnation.Node]
		if t.Phase != berylbook.Working || a == nil || !a.slow {
			return true
		}
		left := d.remainingTime(now, j, ref, t)
		if j.Work.Steps[s].Gang {
			worst = max(worst, left)
			return true
		}
		d.restartIfFaster(j, sound, ref, left, 1)
		return true
	})
	if worst > 0 {
		ref := berylwork.Ref{Job: j.Work.ID, Occurrence: occurrence, Step: s}
		d.restartIfFaster(j, sound, ref, worst, tasks.Len())
	}
}

// restartIfFaster stops a unit, so that it is placed again, if a new run of it on
// another backend server would end well before the present one. Left is the
// remaining time of the present run, and count the number of tasks of the unit.
func (d *Director) restartIfFaster(j *berylbook.Job, sound []berylfit.Host, ref berylwork.Ref, left time.Duration, count int) {
	newRun, ok := d.expectedRunTime(j, ref)
	if !ok || d.restarts[ref] >= _maxRestarts {
		return
	}
	t := j.Step(ref.Occurrence, ref.Step).Get(ref.Index)
	if t.Checkpoint != "" {
		// The checkpoint has all work but that of the last interval.
		p := d.agents[t.Incarnation.Node].progressOf(berylreport.Key{Task: ref.String(), Run: t.Run})
		newRun = time.Duration((_complete-p.progress)/_complete*float64(newRun)) + d.Limits.Checkpoint
	}
	demand := demandOf(j, ref.Occurrence, ref.Step, count)
	demand.Prefer = berylfit.PreferFast
	places, ok := demand.Place(sound)
	if !ok {
		return
	}
	newRun = atSpeed(newRun, placesSpeed(sound, places))
	if left < time.Duration(_restartGain*float64(newRun))+_restartCost {
		return
	}
	deductResources(sound, places, &demand)
	name := unitName(j, ref.Occurrence, ref.Step, ref.Index)
	d.note("rescue", "unit", name, "node", t.Incarnation.Node, "left", left.Milliseconds(), "fresh", newRun.Milliseconds(), "saved", t.Checkpoint != "")
	d.restarts[ref]++
	d.stopUnit(name)
}

// soundHosts returns the hosts of a service with a fault score of zero.
func (d *Director) soundHosts(now time.Time, service string) []berylfit.Host {
	return slices.DeleteFunc(d.hosts(now, service), func(h berylfit.Host) bool { return h.FaultScore > 0 })
}

const (
	// _complete is the progress, in percent, of a run whose work is complete.
	_complete = 100.0
	// _minListedWork is the progress between two listings, in percent, from which it
	// tells the time of the whole work.
	_minListedWork = 25.0
	// _rateWindow is the minimum span over which a rate is measured; runs are
	// listed twice a second.
	_rateWindow = 900 * time.Millisecond
	// _stallTimeout is the time without progress after which a run is stalled. It
	// spans more than two listings, which may both miss a step of one percent.
	_stallTimeout = 1500 * time.Millisecond
	// _slowFactor is the ratio of a run's time to that of its siblings from which
	// it is slow. Away from its data a task takes three times as long, and some
	// backend servers are a third slower than others.
	_slowFactor = 4.5
	// _minSiblings is the number of siblings from which their median is a better
	// estimate than a declared time.
	_minSiblings = 2
	// _restartGain and _restartCost are how much sooner a new run must end, as a
	// factor of its run time plus a fixed time.
	_restartGain = 1.3
	_restartCost = time.Second
	// _maxRestarts bounds how often a unit is restarted: that the task is slow
	// itself is more likely than a third faulty host in a row.
	_maxRestarts = 2
	// _never is the remaining time of a run that ends only when it is stopped, or of which
	// nothing is known.
	_never = 24 * time.Hour
)
