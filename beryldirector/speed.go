package beryldirector

import (
	"math"
	"slices"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylreport"
	"berylglade/berylspeed"
	"berylglade/berylwork"
)

// learnSpeeds compares the rates of the running tasks of each step, once in _learnInterval.
func (d *Director) learnSpeeds(now time.Time) {
	if now.Sub(d.learnedAt) < _learnInterval {
		return
	}
	d.learnedAt = now
	var steps []stepKey
	samples := map[stepKey][]berylspeed.Sample{}
	d.eachActive(func(s activeTask) {
		a := d.agents[s.task.Incarnation.Node]
		step := &s.job.Work.Steps[s.ref.Step]
		if a == nil || s.task.Phase != berylbook.Working || step.LongRunning || (step.Rack != "" && step.Rack != a.rack) {
			// A task away from its data is slow for another reason.
			return
		}
		p := a.progressOf(berylreport.Key{Task: s.name, Run: s.task.Run})
		rate, ok := p.steadyRate()
		if !ok {
			return
		}
		key := stepKey{s.job, s.ref.Occurrence, s.ref.Step}
		if samples[key] == nil {
			steps = append(steps, key)
		}
		samples[key] = append(samples[key], berylspeed.Sample{Node: a.report.Node, Kind: a.kind(), Run: s.name, Rate: rate})
	})
	for _, key := range steps {
		d.speeds.Observe(now, samples[key])
	}
	d.noteSpeeds(now)
}

// noteSpeeds logs the speeds that differ by a class from those that were last logged.
func (d *Director) noteSpeeds(now time.Time) {
	noted := make(map[string]float64, len(d.notedSpeeds))
	for _, node := range d.speeds.Nodes() {
		was, known := d.notedSpeeds[node]
		if !known {
			was = berylspeed.Usual
		}
		speed := d.speeds.Speed(now, node)
		noted[node] = was
		if berylfit.SpeedClass(speed/was) != 0 {
			noted[node] = speed
			d.note("speed", "node", node, "speed", round(speed), "was", round(was), "runs", d.speeds.Looks(node))
		}
	}
	d.notedSpeeds = noted
}

// round rounds to hundredths, for logs.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// kind returns the labels of the backend server but for that of its rack.
func (a *agentState) kind() string {
	kinds := slices.DeleteFunc(slices.Clone(a.report.Labels), func(l string) bool { return l == a.rack })
	return strings.Join(kinds, ",")
}

// steadyRate returns the rate over the whole run, in percent per second. It returns false
// if the run is too short, or was faster or slower for a time.
func (t *runProgress) steadyRate() (float64, bool) {
	span := t.lastListed.Sub(t.firstListed)
	if span < _minRateSpan || t.rate <= 0 || t.progress >= _complete {
		return 0, false
	}
	rate := (t.progress - t.firstProgress) / span.Seconds()
	return rate, rate > 0 && max(rate/t.rate, t.rate/rate) < _steadyFactor
}

// unitSpeed returns the speed at which a run of a task advances: that of its backend
// server, or of the slowest one of its gang.
func (d *Director) unitSpeed(now time.Time, j *berylbook.Job, ref berylwork.Ref) float64 {
	_, tasks := unitTasks(j, ref)
	speed := math.Inf(1)
	for i := range tasks {
		if tasks[i].Phase.Active() {
			speed = min(speed, d.speeds.Speed(now, tasks[i].Incarnation.Node))
		}
	}
	if math.IsInf(speed, 1) {
		return berylspeed.Usual
	}
	return speed
}

// placesSpeed returns the speed of the slowest host at places.
func placesSpeed(hosts []berylfit.Host, places []int) float64 {
	speed := math.Inf(1)
	for _, i := range places {
		speed = min(speed, hosts[i].Speed)
	}
	return speed
}

// atUsualSpeed returns the run time on a backend server of the usual speed.
func atUsualSpeed(runTime time.Duration, speed float64) time.Duration {
	return time.Duration(float64(runTime) * speed)
}

// atSpeed returns how long a run takes that takes runTime on a backend server of the usual
// speed.
func atSpeed(runTime time.Duration, speed float64) time.Duration {
	return time.Duration(float64(runTime) / speed)
}

// preferredSpeed returns which backend servers a unit should get: fast ones if it is urgent,
// or in time only there; otherwise slow ones, which leaves the fast ones to others.
func preferredSpeed(now time.Time, u *unit, hosts []berylfit.Host) berylfit.SpeedPreference {
	if u.queue.Priority == 0 {
		return berylfit.PreferFast
	}
	slowest, fastest := math.Inf(1), 0.0
	for i := range hosts {
		slowest, fastest = min(slowest, hosts[i].Speed), max(fastest, hosts[i].Speed)
	}
	path := u.due.Sub(u.latestStart).Seconds()
	left := u.due.Sub(now).Seconds()
	if left <= 0 || path <= slowest*left || path > fastest*left {
		return berylfit.PreferSlow
	}
	return berylfit.PreferFast
}

const (
	// _learnInterval is the time between two comparisons. Runs are listed twice a second.
	_learnInterval = 500 * time.Millisecond
	// _minRateSpan is the span from which a rate is compared with others: progress is
	// listed in whole percents.
	_minRateSpan = 1200 * time.Millisecond
	// _steadyFactor is how much the newest rate of a run may differ from its mean rate.
	_steadyFactor = 1.5
)
