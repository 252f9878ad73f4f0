package beryldirector

import (
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// track follows the progress of one run, from the listings of its backend server.
type track struct {
	// first is when the run was listed first.
	first time.Time
	// moved is when the progress last grew, and progress what it was then.
	moved    time.Time
	progress float64
	// rate is the progress in percent a second over the last second or so; zero
	// while it is not known.
	rate float64
	// from and base begin the span over which rate is measured.
	from time.Time
	base float64
}

// observe takes a listed progress in.
func (t *track) observe(now time.Time, progress float64) {
	if t.first.IsZero() {
		t.first, t.from, t.moved = now, now, now
		t.base, t.progress = progress, progress
		return
	}
	if progress > t.progress {
		t.moved = now
		t.progress = progress
	}
	span := now.Sub(t.from)
	if span < _rateSpan {
		return
	}
	t.rate = (progress - t.base) / span.Seconds()
	t.from = now
	t.base = progress
}

// stalled returns for how long a run that has begun makes no progress.
func (t *track) stalled(now time.Time) time.Duration {
	if t.progress <= 0 || t.progress >= _complete {
		return 0
	}
	return now.Sub(t.moved)
}

// total returns the run time of the whole task at the present rate, or zero if it
// is not known.
func (t *track) total() time.Duration {
	if t.rate <= 0 {
		return 0
	}
	return time.Duration(_complete / t.rate * float64(time.Second))
}

// left returns the time until the end. A run that stands still is expected to
// stand as long again.
func (t *track) left(now time.Time, total time.Duration) time.Duration {
	stalled := t.stalled(now)
	if own := t.total(); own > 0 && stalled < _stallMatters {
		total = own
	}
	rest := time.Duration((_complete - t.progress) / _complete * float64(total))
	if stalled < _stallMatters {
		stalled = 0
	}
	return rest + stalled
}

// track returns what is known of a run's progress; never nil, also for a member
// that is not known.
func (m *member) track(k berylreport.Key) *track {
	if m == nil || m.tracks[k] == nil {
		return &track{}
	}
	return m.tracks[k]
}

// observe follows the progress of all listed runs.
func (m *member) observe(now time.Time, runs []berylreport.Run) {
	tracks := make(map[berylreport.Key]*track, len(runs))
	for _, r := range runs {
		t := m.track(r.Key)
		t.observe(now, r.Progress)
		tracks[r.Key] = t
	}
	m.tracks = tracks
}

// expected returns the run time of a task on a sound backend server, from the
// siblings at work or from the best rate of the task itself. It returns false if
// neither is known: declared times are off by a factor of ten at times.
func (d *Director) expected(j *berylbook.Job, ref berylwork.Ref) (time.Duration, bool) {
	var totals []time.Duration
	for i, t := range j.Tasks[ref.Occurrence][ref.Step] {
		m := d.members[t.Incarnation.Node]
		if t.Phase != berylbook.Working || m == nil {
			continue
		}
		sibling := ref
		sibling.Index = i
		tr := m.track(berylreport.Key{Task: sibling.String(), Run: t.Run})
		if total := tr.total(); total > 0 && tr.stalled(d.now) < _stallMatters {
			totals = append(totals, total)
		}
	}
	if len(totals) >= _siblings {
		slices.Sort(totals)
		return totals[(len(totals)-1)/2], true
	}
	own, ok := d.best[ref]
	return own, ok
}

// remember keeps the best rate of a task over all of its runs.
func (d *Director) remember(ref berylwork.Ref, tr *track) {
	total := tr.total()
	if total <= 0 {
		return
	}
	if old, ok := d.best[ref]; !ok || total < old {
		d.best[ref] = total
	}
}

// declared returns the declared run time, corrected by what was learned.
func (d *Director) declared(j *berylbook.Job, step int) time.Duration {
	ratio, ok := d.speed[j.Work.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(float64(j.Work.Steps[step].Estimate)*ratio) * time.Millisecond
}

// leftOf returns the time until a run ends by itself.
func (d *Director) leftOf(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) time.Duration {
	m := d.members[t.Incarnation.Node]
	if m == nil || j.Work.Steps[ref.Step].LongRunning {
		return _never
	}
	tr := m.track(berylreport.Key{Task: ref.String(), Run: t.Run})
	total, ok := d.expected(j, ref)
	if !ok {
		total = d.declared(j, ref.Step)
	}
	return tr.left(now, total)
}

// judge raises the doubt in backend servers whose runs stand still or are far
// slower than their siblings elsewhere. Work that is placed next goes to others
// first.
func (d *Director) judge(now time.Time) {
	for _, m := range d.members {
		m.slow = false
	}
	for _, s := range d.look().active {
		m := d.members[s.task.Incarnation.Node]
		if s.task.Phase != berylbook.Working || m == nil || s.job.State.Final() || s.job.Work.Steps[s.ref.Step].LongRunning {
			continue
		}
		tr := m.track(berylreport.Key{Task: s.name, Run: s.task.Run})
		if d.isSlow(now, s.job, s.ref, tr) {
			m.slow = true
		}
	}
}

func (d *Director) isSlow(now time.Time, j *berylbook.Job, ref berylwork.Ref, tr *track) bool {
	if tr.stalled(now) > _stallMatters {
		return true
	}
	d.remember(ref, tr)
	expected, ok := d.expected(j, ref)
	return ok && tr.total().Seconds() > _slowFactor*expected.Seconds()
}

// rescue restarts units that would end sooner elsewhere, if there is room for
// them: runs that stand still or crawl on a sick backend server.
func (d *Director) rescue(now time.Time) {
	if d.Policy == nil {
		return
	}
	for _, j := range d.look().live {
		q, ok := d.Policy.Queue(j.Work.Queue)
		if !ok || j.State.Final() || j.CancelledAt != 0 {
			continue
		}
		for k := range j.Tasks {
			for s := range j.Tasks[k] {
				if !j.Work.Steps[s].LongRunning {
					d.rescueStep(now, j, q.Service, k, s)
				}
			}
		}
	}
}

func (d *Director) rescueStep(now time.Time, j *berylbook.Job, service string, occurrence, s int) {
	tasks := j.Tasks[occurrence][s]
	var worst time.Duration
	for i := range tasks {
		ref := berylwork.Ref{Job: j.Work.ID, Occurrence: occurrence, Step: s, Index: i}
		m := d.members[tasks[i].Incarnation.Node]
		if tasks[i].Phase != berylbook.Working || m == nil || !m.slow {
			continue
		}
		left := d.leftOf(now, j, ref, &tasks[i])
		if j.Work.Steps[s].Gang {
			worst = max(worst, left)
			continue
		}
		d.rescueUnit(now, j, service, ref, left, 1)
	}
	if worst > 0 {
		ref := berylwork.Ref{Job: j.Work.ID, Occurrence: occurrence, Step: s}
		d.rescueUnit(now, j, service, ref, worst, len(tasks))
	}
}

// rescueUnit stops a unit whose new run would end well before the present one.
func (d *Director) rescueUnit(now time.Time, j *berylbook.Job, service string, ref berylwork.Ref, left time.Duration, count int) {
	fresh, ok := d.expected(j, ref)
	if !ok || d.rescued[ref] >= _rescues {
		return
	}
	t := j.Tasks[ref.Occurrence][ref.Step][ref.Index]
	if t.Checkpoint != "" {
		// The checkpoint has all but the last two seconds of work.
		tr := d.members[t.Incarnation.Node].track(berylreport.Key{Task: ref.String(), Run: t.Run})
		fresh = time.Duration((_complete-tr.progress)/_complete*float64(fresh)) + _checkpoint
	}
	if left < time.Duration(_rescueGain*float64(fresh))+_rescueCost {
		return
	}
	if !d.roomElsewhere(now, j, service, ref, count) {
		return
	}
	name := unitName(j, ref.Occurrence, ref.Step, ref.Index)
	d.note("rescue", "unit", name, "node", t.Incarnation.Node, "left", left.Milliseconds(), "fresh", fresh.Milliseconds(), "saved", t.Checkpoint != "")
	d.rescued[ref]++
	d.stopUnit(name)
}

// roomElsewhere reports whether sound hosts have room for the unit now.
func (d *Director) roomElsewhere(now time.Time, j *berylbook.Job, service string, ref berylwork.Ref, count int) bool {
	hosts := slices.DeleteFunc(d.hosts(now, service), func(h berylfit.Host) bool { return h.Suspicion > 0 })
	demand := demandOf(j, ref.Occurrence, ref.Step, count)
	_, ok := demand.Place(hosts)
	return ok
}

const (
	// _complete is the progress of a run that has done its work.
	_complete = 100.0
	// _rateSpan is the span over which a rate is measured; listings come twice a
	// second.
	_rateSpan = 900 * time.Millisecond
	// _stallMatters is after how long without progress a run stands still:
	// two listings may miss a step of one percent.
	_stallMatters = 1500 * time.Millisecond
	// _slowFactor is how many times slower than its siblings a run is slow. Away
	// from its data a task takes three times as long, and some backend servers
	// are a third slower than others.
	_slowFactor = 4.5
	// _siblings is how many siblings tell more than a declared time.
	_siblings = 2
	// _rescueGain and _rescueCost say how much sooner a new run must end.
	_rescueGain = 1.3
	_rescueCost = time.Second
	// _rescues bounds how often a unit is restarted: a third sick host in a row
	// is less likely than a task that is slow by itself.
	_rescues = 2
	// _never is the end of a run that ends only on order.
	_never = 24 * time.Hour
)
