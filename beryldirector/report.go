package beryldirector

import (
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
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
	if !c.Resigned && now.Sub(d.readAt) <= _fresh {
		// An entry that can't read the topic may name a leader that is deposed.
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
		a.FromLeader = true
		m.contact = now
	}
	d.moveNoted(m)
	a.Acked = m.noted
	return a
}

func (d *Director) takeReport(now time.Time, m *member, r berylreport.Report) {
	if m.last.Incarnation != r.Incarnation {
		d.note("member", "node", r.Node, "instance", r.Incarnation.Instance, "born", r.Incarnation.StartedAt,
			"service", r.Service, "zone", r.Zone, "labels", strings.Join(r.Labels, ","), "accelerators", r.Capacity.Accelerators)
		m.ends, m.noted, m.doubt = nil, 0, 0
	}
	if m.last.Draining != r.Draining {
		d.note("draining", "node", r.Node, "draining", r.Draining, "remaining", r.Remaining)
	}
	m.last = r
	m.rack = rackOf(r.Labels)
	m.handled = keySet(r.Received)
	m.running = map[berylreport.Key]bool{}
	m.unknown = m.unknown[:0]
	if r.Incarnation.Instance == "" {
		return
	}
	for _, e := range r.PastEnds.Ends {
		d.applyEnd(now, m, r.PastEnds.Incarnation, e)
	}
	d.loseOthers(now, r)
	for _, e := range r.Ends {
		d.takeEnd(now, m, e)
	}
	for _, k := range r.Absent {
		d.takeAbsent(now, m, k)
	}
	if r.LeaseExpired {
		// What had ended before is not over without an end.
		d.loseAll(now, r.Node, "lease ran out")
		return
	}
	m.observe(now, r.Runs)
	for _, run := range r.Runs {
		m.running[run.Key] = true
		d.takeRun(now, m, run)
	}
	if r.Listed && !r.Unresponsive {
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
func (d *Director) eachOn(node string, f func(s slot)) {
	for _, s := range d.look().byNode[node] {
		if s.task.Phase.Active() {
			f(s)
		}
	}
}

// loseOthers ends the runs of earlier lives of the node's backend server.
func (d *Director) loseOthers(now time.Time, r berylreport.Report) {
	d.eachOn(r.Node, func(s slot) {
		if s.task.Incarnation != r.Incarnation {
			d.over(now, s.job, s.ref, s.task, "backend server was born again")
		}
	})
}

func (d *Director) loseAll(now time.Time, node, why string) {
	d.eachOn(node, func(s slot) { d.over(now, s.job, s.ref, s.task, why) })
}

func (d *Director) takeRun(_ time.Time, m *member, run berylreport.Run) {
	ref, ok := berylwork.ParseRef(run.Task)
	j, t := d.Book.Task(ref)
	if t != nil && t.Run == run.Run && t.Phase == berylbook.Done && j.Work.Steps[ref.Step].Gang {
		// Another member was listed as done first; this one ends by itself.
		return
	}
	if !ok || t == nil || t.Run != run.Run || !t.Phase.Active() || t.Incarnation != m.last.Incarnation {
		m.unknown = append(m.unknown, run.Key)
		return
	}
	if t.Phase == berylbook.Ordered {
		t.Phase = berylbook.Working
		d.version++
		delete(d.ordered, orderKey{ref, t.Run})
	}
	if run.Checkpoint != "" && run.Checkpoint != t.Checkpoint {
		d.save(j, ref, run.Checkpoint)
		d.mark(j.Work.ID)
	}
}

// findVanished looks for runs that were listed before and are not any more. They
// are stopped, which makes sure that they do not exist.
func (d *Director) findVanished(m *member) {
	d.eachOn(m.last.Node, func(s slot) {
		k := berylreport.Key{Task: s.name, Run: s.task.Run}
		if s.task.Phase == berylbook.Working && !m.running[k] {
			d.note("run vanished", "task", k.Task, "run", k.Run, "node", m.last.Node)
			s.task.Phase = berylbook.Stopping
			d.mark(s.job.Work.ID)
		}
	})
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
	_doubtAgain   = 0.25
	_doubtRefused = 0.5
	_doubtDone    = 0.5
)
