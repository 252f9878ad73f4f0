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

// over frees a task whose newest run is known to be over without an end that
// counts.
func (d *Director) over(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task, why string) {
	d.note("run over", "task", ref.String(), "run", t.Run, "node", t.Incarnation.Node, "why", why)
	t.Phase = berylbook.Idle
	delete(d.ordered, orderKey{ref, t.Run})
	d.breakGang(j, ref, t.Run)
	d.settle(now, j)
}

// breakGang stops the other members of a gang's run.
func (d *Director) breakGang(j *berylbook.Job, ref berylwork.Ref, run int) {
	if !j.Work.Steps[ref.Step].Gang {
		return
	}
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	for i := range tasks {
		t := &tasks[i]
		if t.Run == run {
			t.Stop()
		}
	}
	d.mark(j.Work.ID)
}

func (d *Director) takeEnd(now time.Time, m *member, e berylreport.End) {
	if e.Seq <= m.noted || slices.ContainsFunc(m.ends, func(o endOf) bool { return o.n == e.Seq }) {
		return
	}
	ref, _ := berylwork.ParseRef(e.Task)
	m.ends = append(m.ends, endOf{n: e.Seq, job: ref.Job})
	d.applyEnd(now, m, m.last.Incarnation, e)
}

// applyEnd ends the run if it is the newest one of its task and was at place.
func (d *Director) applyEnd(now time.Time, m *member, place berylbook.Incarnation, e berylreport.End) {
	ref, ok := berylwork.ParseRef(e.Task)
	if !ok {
		return
	}
	j, t := d.Book.Task(ref)
	if t == nil || t.Run != e.Run || !t.Phase.Active() || t.Incarnation != place {
		return
	}
	d.note("end", "task", e.Task, "run", e.Run, "how", e.Reason.String(), "node", m.last.Node, "n", e.Seq,
		"ms", now.UnixMilli()-t.OrderedAt)
	if e.Checkpoint != "" {
		d.save(j, ref, e.Checkpoint)
	}
	switch e.Reason {
	case berylreport.Done:
		d.done(now, m, j, ref, t)
	case berylreport.Failed:
		d.failed(now, m, j, ref, t)
	default:
		t.Phase = berylbook.Idle
		d.breakGang(j, ref, e.Run)
	}
	d.mark(j.Work.ID)
	d.settle(now, j)
}

// save keeps a checkpoint; one of any member is valid for the whole gang.
func (d *Director) save(j *berylbook.Job, ref berylwork.Ref, saved string) {
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	if !j.Work.Steps[ref.Step].Gang {
		tasks[ref.Index].Checkpoint = saved
		return
	}
	for i := range tasks {
		tasks[i].Checkpoint = saved
	}
}

func (d *Director) done(now time.Time, m *member, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	if j.Work.Steps[ref.Step].LongRunning {
		t.Phase = berylbook.Idle
		return
	}
	m.doubt = max(m.doubt-_doubtDone, 0)
	d.learn(now, j, ref, t)
	t.Phase = berylbook.Done
	if !j.Work.Steps[ref.Step].Gang {
		return
	}
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	for i := range tasks {
		if tasks[i].Run == t.Run {
			tasks[i].Phase = berylbook.Done
		}
	}
}

// learn keeps the ratio of real to declared run times of a queue.
func (d *Director) learn(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	estimate := j.Work.Steps[ref.Step].Estimate
	if estimate <= 0 || t.Checkpoint != "" {
		return
	}
	ratio := float64(now.UnixMilli()-t.OrderedAt) / float64(estimate)
	old, ok := d.speed[j.Work.Queue]
	if !ok {
		old = ratio
	}
	d.speed[j.Work.Queue] = old + (ratio-old)*_learning
}

func (d *Director) failed(now time.Time, m *member, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	step := j.Work.Steps[ref.Step]
	run := t.Run
	t.Phase = berylbook.Idle
	d.blame(now, m, unitName(j, ref.Occurrence, ref.Step, ref.Index))
	d.breakGang(j, ref, run)
	if step.LongRunning {
		return
	}
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	if !step.Gang {
		tasks = tasks[ref.Index : ref.Index+1]
	}
	if tasks[0].LastFailedRun == run {
		return
	}
	for i := range tasks {
		tasks[i].LastFailedRun = run
		tasks[i].Failures++
	}
	if t.Failures >= d.attempts(j) {
		d.note("job failed", "job", j.Work.ID, "task", ref.String(), "failures", t.Failures)
		j.State = berylbook.Failed
		j.EndedAt = now.UnixMilli()
		d.forgive(j)
		d.stopJob(j, "failed")
	}
}

// blame keeps the unit from the host on which it failed, and raises the doubt in
// the host. A unit that has failed elsewhere before is likely at fault itself.
func (d *Director) blame(now time.Time, m *member, unit string) {
	if d.blamed[unit] == nil {
		d.blamed[unit] = map[string]bool{}
	}
	m.doubted = now
	if len(d.blamed[unit]) == 0 || d.blamed[unit][m.last.Node] {
		m.doubt += _doubtFailed
	} else {
		m.doubt += _doubtAgain
	}
	d.blamed[unit][m.last.Node] = true
}

// forgive forgets where the runs of a job failed.
func (d *Director) forgive(j *berylbook.Job) {
	maps.DeleteFunc(d.blamed, func(unit string, _ map[string]bool) bool {
		return strings.HasPrefix(unit, j.Work.ID+".")
	})
}

func (d *Director) attempts(j *berylbook.Job) int {
	if d.Policy == nil {
		return _attempts
	}
	q, ok := d.Policy.Queue(j.Work.Queue)
	if !ok || q.Attempts <= 0 {
		return _attempts
	}
	return q.Attempts
}

func (d *Director) takeAbsent(now time.Time, m *member, k berylreport.Key) {
	ref, ok := berylwork.ParseRef(k.Task)
	if !ok {
		return
	}
	j, t := d.Book.Task(ref)
	if t == nil || t.Run != k.Run || !t.Phase.Active() || t.Incarnation != m.last.Incarnation {
		return
	}
	if t.Phase == berylbook.Ordered {
		m.doubt += _doubtRefused
		m.doubted = now
		m.refused = now
	}
	d.over(now, j, ref, t, "never ran or gone")
}

// settle moves a job to its final state if it has come to one.
func (d *Director) settle(now time.Time, j *berylbook.Job) {
	d.mark(j.Work.ID)
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
	d.forgive(j)
	d.note("job ended", "job", j.Work.ID, "state", j.State.String(), "ms", now.UnixMilli()-j.Work.Accepted)
}

// stopJob stops all runs of a job.
func (d *Director) stopJob(j *berylbook.Job, why string) {
	j.Each(func(_ berylwork.Ref, t *berylbook.Task) { t.Stop() })
	d.note("stop job", "job", j.Work.ID, "why", why)
	d.mark(j.Work.ID)
}

// expire gives up starts that were not carried out in time and runs on backend
// servers whose lease must have run out.
func (d *Director) expire(now time.Time) {
	for _, s := range d.look().active {
		if s.task.Phase.Active() {
			d.expireRun(now, s.job, s.ref, s.task)
		}
	}
}

func (d *Director) expireRun(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	m := d.members[t.Incarnation.Node]
	contact := d.leadAt
	if m != nil {
		contact = m.contact
	}
	if now.Sub(contact) > d.Limits.Lost {
		d.over(now, j, ref, t, "lease must have run out")
		return
	}
	if t.Phase != berylbook.Ordered {
		return
	}
	k := orderKey{ref, t.Run}
	since, ok := d.ordered[k]
	if !ok || !d.clean(j.Work.ID) {
		// A start is not sent before it is recorded.
		d.ordered[k] = now
		return
	}
	if now.Sub(since) > _startPatience {
		d.note("start not confirmed", "task", ref.String(), "run", t.Run, "node", t.Incarnation.Node, "ms", now.Sub(since).Milliseconds())
		t.Phase = berylbook.Stopping
		if m != nil {
			m.doubt += _doubtRefused
			m.doubted = now
		}
		d.breakGang(j, ref, t.Run)
		d.mark(j.Work.ID)
	}
}
