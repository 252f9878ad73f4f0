package beryldirector

import (
	"slices"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylroom"
	"berylglade/berylwork"
)

// _rackPrefix starts the label that names the rack of a backend server.
const _rackPrefix = "r"

// member is what the leader knows of one agent and its backend server.
type member struct {
	last berylreport.Report
	// contact is when the last answer that counts as contact was given.
	contact time.Time
	heard   time.Time
	rack    string
	handled map[berylreport.Key]bool
	running map[berylreport.Key]bool
	// unknown are runs that the book does not have.
	unknown []berylreport.Key
	ends    []endOf
	noted   int64
	sent    time.Time
	told    string
	// tracks has the progress of the listed runs.
	tracks map[berylreport.Key]*track
	// slow is true while a run here stands still or crawls.
	slow bool
	// refused is when a start was refused here last.
	refused time.Time
	// doubt grows with failed and late runs and shrinks with good ones.
	doubt   float64
	doubted time.Time
}

// endOf is an end that was applied and waits until its job is recorded.
type endOf struct {
	n   int64
	job string
}

type orderKey struct {
	ref berylwork.Ref
	run int
}

// Report takes a report in and returns the answer to the agent.
func (d *Director) Report(now time.Time, r berylreport.Report) berylreport.Answer {
	c := d.Book.Claim
	a := berylreport.Answer{Epoch: c.Epoch}
	if !c.Resigned {
		a.Leader = c.Addr
	}
	if !d.Leading() {
		return a
	}
	m := d.members[r.Node]
	if m == nil {
		m = &member{contact: d.leadAt}
		d.members[r.Node] = m
	}
	if r.Boot < m.last.Boot || (r.Boot == m.last.Boot && r.Seq <= m.last.Seq) {
		return a
	}
	m.heard = now
	d.now = now
	d.takeReport(now, m, r)
	if d.sure(now) {
		a.Led = true
		m.contact = now
	}
	d.moveNoted(m)
	a.Noted = m.noted
	return a
}

func (d *Director) takeReport(now time.Time, m *member, r berylreport.Report) {
	if m.last.Place != r.Place {
		d.note("member", "node", r.Node, "instance", r.Place.Instance, "born", r.Place.Born,
			"service", r.Service, "zone", r.Zone, "labels", strings.Join(r.Labels, ","), "accelerators", r.Room.Accelerators)
		m.ends, m.noted, m.doubt = nil, 0, 0
	}
	if m.last.Draining != r.Draining {
		d.note("draining", "node", r.Node, "draining", r.Draining, "remaining", r.Remaining)
	}
	m.last = r
	m.rack = rackOf(r.Labels)
	m.handled = keySet(r.Handled)
	m.running = map[berylreport.Key]bool{}
	m.unknown = m.unknown[:0]
	if r.Place.Instance == "" {
		return
	}
	d.loseOthers(now, r)
	if r.Lapsed {
		d.loseAll(now, r.Node, "lease ran out")
		return
	}
	for _, e := range r.Ends {
		d.takeEnd(now, m, e)
	}
	for _, k := range r.Absent {
		d.takeAbsent(now, m, k)
	}
	m.observe(now, r.Runs)
	for _, run := range r.Runs {
		m.running[run.Key] = true
		d.takeRun(now, m, run)
	}
	if r.Looked && !r.Silent {
		d.findVanished(m)
	}
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

// eachOn calls f for each task whose newest run may exist on the node.
func (d *Director) eachOn(node string, f func(j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task)) {
	for _, j := range d.Book.Sorted() {
		j.Each(func(ref berylwork.Ref, t *berylbook.Task) {
			if t.Phase.Active() && t.Place.Node == node {
				f(j, ref, t)
			}
		})
	}
}

// loseOthers ends the runs of earlier lives of the node's backend server.
func (d *Director) loseOthers(now time.Time, r berylreport.Report) {
	d.eachOn(r.Node, func(j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
		if t.Place != r.Place {
			d.over(now, j, ref, t, "backend server was born again")
		}
	})
}

func (d *Director) loseAll(now time.Time, node, why string) {
	d.eachOn(node, func(j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
		d.over(now, j, ref, t, why)
	})
}

// over frees a task whose newest run is known to be over without an end that
// counts.
func (d *Director) over(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task, why string) {
	d.note("run over", "task", ref.String(), "run", t.Run, "node", t.Place.Node, "why", why)
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
		if t.Run == run && (t.Phase == berylbook.Ordered || t.Phase == berylbook.Working) {
			t.Phase = berylbook.Stopping
		}
	}
	d.mark(j.Work.ID)
}

func (d *Director) takeEnd(now time.Time, m *member, e berylreport.End) {
	if e.N <= m.noted || slices.ContainsFunc(m.ends, func(o endOf) bool { return o.n == e.N }) {
		return
	}
	ref, ok := berylwork.ParseRef(e.Task)
	m.ends = append(m.ends, endOf{n: e.N, job: ref.Job})
	if !ok {
		return
	}
	j, t := d.Book.Task(ref)
	if t == nil || t.Run != e.Run || !t.Phase.Active() || t.Place != m.last.Place {
		return
	}
	d.note("end", "task", e.Task, "run", e.Run, "how", e.How.String(), "node", m.last.Node, "n", e.N,
		"ms", now.UnixMilli()-t.Since)
	if e.Saved != "" {
		d.save(j, ref, e.Saved)
	}
	switch e.How {
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
		tasks[ref.Index].Saved = saved
		return
	}
	for i := range tasks {
		tasks[i].Saved = saved
	}
}

func (d *Director) done(now time.Time, m *member, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	if j.Work.Steps[ref.Step].Lasting {
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
	if estimate <= 0 || t.Saved != "" {
		return
	}
	ratio := float64(now.UnixMilli()-t.Since) / float64(estimate)
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
	m.doubt += _doubtFailed
	m.doubted = now
	d.breakGang(j, ref, run)
	if step.Lasting {
		return
	}
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	if !step.Gang {
		tasks = tasks[ref.Index : ref.Index+1]
	}
	if tasks[0].Faulted == run {
		return
	}
	for i := range tasks {
		tasks[i].Faulted = run
		tasks[i].Failures++
	}
	if t.Failures >= d.attempts(j) {
		d.note("job failed", "job", j.Work.ID, "task", ref.String(), "failures", t.Failures)
		j.State = berylbook.Failed
		j.Ended = now.UnixMilli()
		d.stopJob(j, "failed")
	}
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
	if t == nil || t.Run != k.Run || !t.Phase.Active() || t.Place != m.last.Place {
		return
	}
	if t.Phase == berylbook.Ordered {
		m.doubt += _doubtRefused
		m.doubted = now
		m.refused = now
	}
	d.over(now, j, ref, t, "never ran or gone")
}

func (d *Director) takeRun(_ time.Time, m *member, run berylreport.Run) {
	ref, ok := berylwork.ParseRef(run.Task)
	j, t := d.Book.Task(ref)
	if t != nil && t.Run == run.Run && t.Phase == berylbook.Done && j.Work.Steps[ref.Step].Gang {
		// Another member was listed as done first; this one ends by itself.
		return
	}
	if !ok || t == nil || t.Run != run.Run || !t.Phase.Active() || t.Place != m.last.Place {
		m.unknown = append(m.unknown, run.Key)
		return
	}
	if t.Phase == berylbook.Ordered {
		t.Phase = berylbook.Working
		delete(d.ordered, orderKey{ref, t.Run})
	}
	if run.Saved != "" && run.Saved != t.Saved {
		d.save(j, ref, run.Saved)
		d.mark(j.Work.ID)
	}
}

// findVanished looks for runs that were listed before and are not any more. They
// are stopped, which makes sure that they do not exist.
func (d *Director) findVanished(m *member) {
	d.eachOn(m.last.Node, func(j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
		k := berylreport.Key{Task: ref.String(), Run: t.Run}
		if t.Phase == berylbook.Working && !m.running[k] {
			d.note("run vanished", "task", k.Task, "run", k.Run, "node", m.last.Node)
			t.Phase = berylbook.Stopping
			d.mark(j.Work.ID)
		}
	})
}

// moveNoted moves the number up to which ends are recorded.
func (d *Director) moveNoted(m *member) {
	slices.SortFunc(m.ends, func(a, b endOf) int { return int(a.n - b.n) })
	for len(m.ends) > 0 && (m.ends[0].job == "" || d.clean(m.ends[0].job)) {
		m.noted = m.ends[0].n
		m.ends = m.ends[1:]
	}
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
	case j.Cancelled != 0 && !j.Active():
		j.State = berylbook.Cancelled
	default:
		return
	}
	j.Ended = now.UnixMilli()
	d.note("job ended", "job", j.Work.ID, "state", j.State.String(), "ms", now.UnixMilli()-j.Work.Accepted)
}

// stopJob stops all runs of a job.
func (d *Director) stopJob(j *berylbook.Job, why string) {
	j.Each(func(_ berylwork.Ref, t *berylbook.Task) {
		if t.Phase == berylbook.Ordered || t.Phase == berylbook.Working {
			t.Phase = berylbook.Stopping
		}
	})
	d.note("stop job", "job", j.Work.ID, "why", why)
	d.mark(j.Work.ID)
}

// expire gives up starts that were not carried out in time and runs on backend
// servers whose lease must have run out.
func (d *Director) expire(now time.Time) {
	for _, j := range d.Book.Sorted() {
		j.Each(func(ref berylwork.Ref, t *berylbook.Task) {
			if !t.Phase.Active() {
				return
			}
			d.expireRun(now, j, ref, t)
		})
	}
}

func (d *Director) expireRun(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	m := d.members[t.Place.Node]
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
		d.note("start not confirmed", "task", ref.String(), "run", t.Run, "node", t.Place.Node, "ms", now.Sub(since).Milliseconds())
		t.Phase = berylbook.Stopping
		if m != nil {
			m.doubt += _doubtRefused
			m.doubted = now
		}
		d.breakGang(j, ref, t.Run)
		d.mark(j.Work.ID)
	}
}

// Orders returns what to send to the agent of each node.
func (d *Director) Orders(now time.Time) map[string]berylreport.Orders {
	if !d.Leading() {
		return nil
	}
	orders := map[string]berylreport.Orders{}
	for node, m := range d.members {
		if m.last.Place.Instance == "" {
			continue
		}
		d.moveNoted(m)
		orders[node] = berylreport.Orders{Epoch: d.epoch, Place: m.last.Place, Noted: m.noted, Stop: slices.Clone(m.unknown)}
	}
	for _, j := range d.Book.Sorted() {
		clean := d.clean(j.Work.ID)
		j.Each(func(ref berylwork.Ref, t *berylbook.Task) { d.order(orders, j, ref, t, clean) })
	}
	return d.pending(now, orders)
}

func (d *Director) order(orders map[string]berylreport.Orders, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task, clean bool) {
	o, ok := orders[t.Place.Node]
	if !ok || o.Place != t.Place || !t.Phase.Active() {
		return
	}
	k := berylreport.Key{Task: ref.String(), Run: t.Run}
	switch {
	case t.Phase == berylbook.Stopping:
		o.Stop = append(o.Stop, k)
	case t.Phase == berylbook.Ordered && clean && !d.members[t.Place.Node].handled[k]:
		o.Start = append(o.Start, berylreport.Start{Key: k, Spec: j.Work.Spec, Saved: t.Saved})
	default:
		return
	}
	orders[t.Place.Node] = o
}

// pending drops orders that the agent has heard already.
func (d *Director) pending(now time.Time, orders map[string]berylreport.Orders) map[string]berylreport.Orders {
	for node, o := range orders {
		m := d.members[node]
		told := fingerprint(o)
		same := told == m.told
		idle := len(o.Start) == 0 && len(o.Stop) == 0
		if same && (idle || now.Sub(m.sent) < _resend) {
			delete(orders, node)
			continue
		}
		m.told = told
		m.sent = now
	}
	return orders
}

func fingerprint(o berylreport.Orders) string {
	var b strings.Builder
	keys := make([]string, 0, len(o.Start)+len(o.Stop))
	for _, s := range o.Start {
		keys = append(keys, "s"+s.Task+"#"+itoa(s.Run))
	}
	for _, s := range o.Stop {
		keys = append(keys, "x"+s.Task+"#"+itoa(s.Run))
	}
	slices.Sort(keys)
	for _, k := range keys {
		b.WriteString(k)
		b.WriteByte(' ')
	}
	b.WriteString(itoa(int(o.Noted)))
	return b.String()
}

// Addr returns the address of the agent of a node.
func (d *Director) Addr(node string) string {
	m := d.members[node]
	if m == nil {
		return ""
	}
	return m.last.Addr
}

// used returns what the runs known to the book hold on each node.
func (d *Director) used() (held, coming map[string]berylroom.Room) {
	held = map[string]berylroom.Room{}
	coming = map[string]berylroom.Room{}
	for _, j := range d.Book.Sorted() {
		j.Each(func(ref berylwork.Ref, t *berylbook.Task) {
			if !t.Phase.Active() {
				return
			}
			room := j.Work.Steps[ref.Step].Room()
			held[t.Place.Node] = held[t.Place.Node].Add(room)
			if t.Phase == berylbook.Stopping {
				coming[t.Place.Node] = coming[t.Place.Node].Add(room)
			}
		})
	}
	return held, coming
}

const (
	// _attempts applies while the policy does not name the queue.
	_attempts = 3
	// _startPatience is how long a start may stay unconfirmed; it is below the
	// time for which a gang's members wait for each other.
	_startPatience = 1500 * time.Millisecond
	// _resend is the pause between repeats of an order.
	_resend = 200 * time.Millisecond
	// _learning is the weight of the newest run time.
	_learning = 0.2
	// The doubt in a backend server: one failed run outweighs two good ones.
	_doubtFailed  = 1.0
	_doubtRefused = 0.5
	_doubtDone    = 0.5
)
