package berylscheduler_test

import (
	"fmt"
	"reflect"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/beryljob"
	"berylglade/berylscheduler"
	"berylglade/berylshape"
	"berylglade/berylsize"
)

// model is an owner of a scheduler: it carries actions out at once and checks
// after each one that the invariants hold.
type model struct {
	t fataler
	s *berylscheduler.Scheduler
	// twin gets the same events and has to decide the same.
	twin    *berylscheduler.Scheduler
	now     time.Time
	cfg     *berylconfig.Config
	workers map[string]*berylscheduler.Worker
	gone    map[string]bool
	jobs    map[string]*run
	log     []string
	late    map[string]int
}

type fataler interface {
	Fatalf(format string, args ...any)
}

// run is one job in the model.
type run struct {
	beryljob.State
	members  []beryljob.Member
	preempt  *berylscheduler.Preempt
	rejected string
	ended    bool
	starts   int
}

func (r *run) placed() bool { return len(r.members) > 0 }

func newModel(t fataler, o berylscheduler.Options) *model {
	return &model{
		t:       t,
		s:       berylscheduler.New(o),
		twin:    berylscheduler.New(o),
		now:     time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC),
		cfg:     &berylconfig.Config{Offset: 1, Classes: classes(), Accounts: map[string]berylconfig.ClientAccount{}, Domains: map[string]berylconfig.FailureDomain{}},
		workers: map[string]*berylscheduler.Worker{},
		gone:    map[string]bool{},
		jobs:    map[string]*run{},
		late:    map[string]int{},
	}
}

func classes() map[string]berylconfig.Class {
	return map[string]berylconfig.Class{
		"urgent":  {Target: berylconfig.Target{Start: berylduration.Duration(1600 * time.Millisecond)}},
		"mapping": {Target: berylconfig.Target{By: "05:30"}},
		"batch":   {Checkpoint: true, Stop: berylduration.Duration(30 * time.Second)},
		"quick":   {Checkpoint: true, Stop: berylduration.Duration(time.Second)},
		"routine": {},
		"soon":    {Target: berylconfig.Target{Within: berylduration.Duration(time.Hour)}, Checkpoint: true, Stop: berylduration.Duration(10 * time.Second)},
	}
}

// gpus is a task with a number of accelerators and the cores and memory that go
// with them.
func gpus(n int) berylshape.Shape {
	return berylshape.Shape{Accelerators: n, Cores: 8 * n, Memory: berylsize.Size(n) * 16 * berylsize.GB}
}

func (m *model) handle(ev berylscheduler.Event) {
	m.s.Handle(m.now, ev)
	m.twin.Handle(m.now, ev)
}

// site adds workers, three to a rack, spread over failure domains.
func (m *model) site(domains, each int) {
	for d := range domains {
		for i := range each {
			m.worker(fmt.Sprintf("w%d-%02d", d, i), fmt.Sprintf("d%d", d), fmt.Sprintf("r%d-%d", d, i/3))
		}
	}
}

func (m *model) worker(name, domain, rack string) {
	w := berylscheduler.Worker{Name: name, Incarnation: "1", Addr: name + ":1", Domain: domain, Rack: rack, Total: gpus(8)}
	m.workers[name] = &w
	delete(m.gone, name)
	m.handle(berylscheduler.WorkerSeen{Worker: w})
}

func (m *model) config(f func(*berylconfig.Config)) {
	m.cfg = m.cfg.Clone()
	m.cfg.Offset++
	if f != nil {
		f(m.cfg)
	}
	m.handle(berylscheduler.ConfigChanged{Config: m.cfg})
}

func (m *model) guarantee(account string, g ...berylconfig.Guarantee) {
	m.config(func(c *berylconfig.Config) {
		a := c.Accounts[account]
		a.Guarantees = g
		c.Accounts[account] = a
	})
}

func (m *model) submit(id, account, class string, tasks int, s berylshape.Shape, a beryladjacency.Adjacency) {
	r := &run{State: beryljob.State{Job: beryljob.Job{
		ID: id, Account: account, Class: class, Tasks: tasks, Shape: s, Adjacent: a, Accepted: m.now,
		Declared: berylduration.Duration(time.Hour),
	}, Phase: beryljob.Queued}}
	m.jobs[id] = r
	m.handle(berylscheduler.JobQueued{State: r.State})
}

// decide carries out what the scheduler decides until it has nothing more to do.
func (m *model) decide() []berylscheduler.Action {
	var all []berylscheduler.Action
	for range 100 {
		acts := m.s.Decide(m.now)
		if same := m.twin.Decide(m.now); !reflect.DeepEqual(acts, same) {
			m.t.Fatalf("the same events led to %+v and %+v", acts, same)
		}
		placed := false
		for _, a := range acts {
			m.apply(a)
			_, isPlace := a.(berylscheduler.Place)
			placed = placed || isPlace
		}
		all = append(all, acts...)
		if !placed {
			return all
		}
	}
	m.t.Fatalf("decide does not come to an end")
	return nil
}

func (m *model) apply(a berylscheduler.Action) {
	m.log = append(m.log, fmt.Sprintf("%s %T %+v", m.now.Format("15:04:05"), a, a))
	switch a := a.(type) {
	case berylscheduler.Place:
		m.place(a)
	case berylscheduler.Preempt:
		r := m.jobs[a.Job]
		if !r.placed() || r.Attempt != a.Attempt {
			m.t.Fatalf("preempt of %s attempt %d, which is not placed", a.Job, a.Attempt)
		}
		r.preempt = &a
	case berylscheduler.Reject:
		m.jobs[a.Job].rejected = a.Reason
	case berylscheduler.Late:
		m.late[a.Job]++
	case berylscheduler.Probe:
	}
}

func (m *model) place(a berylscheduler.Place) {
	r := m.jobs[a.Job]
	if r.placed() || r.ended || r.rejected != "" {
		m.t.Fatalf("place of %s, which is not waiting", a.Job)
	}
	if a.Attempt <= r.Attempt {
		m.t.Fatalf("place of %s has attempt %d after %d", a.Job, a.Attempt, r.Attempt)
	}
	r.Attempt, r.members = a.Attempt, a.Members
	r.starts++
	m.checkGang(r)
	m.checkCapacity()
}

// checkGang guards against partial placement, wrong adjacency and starts where
// nothing may start.
func (m *model) checkGang(r *run) {
	n := 0
	groups := map[string]bool{}
	for _, p := range r.members {
		n += p.Tasks
		w, ok := m.workers[p.Agent]
		switch {
		case !ok || m.gone[p.Agent]:
			m.t.Fatalf("%s is placed on %s, which is not there", r.ID, p.Agent)
		case w.Draining:
			m.t.Fatalf("%s is placed on %s, which drains", r.ID, p.Agent)
		case m.cfg.Domains[w.Domain].Out:
			m.t.Fatalf("%s is placed in failure domain %s, which is out", r.ID, w.Domain)
		}
		groups[map[beryladjacency.Adjacency]string{
			beryladjacency.Worker: w.Name, beryladjacency.Rack: w.Rack, beryladjacency.Domain: w.Domain,
		}[r.Adjacent]] = true
	}
	if n != r.Tasks {
		m.t.Fatalf("%s has %d of %d tasks placed", r.ID, n, r.Tasks)
	}
	if len(groups) > 1 {
		m.t.Fatalf("%s with adjacency %v is placed in %v", r.ID, r.Adjacent, groups)
	}
}

// use is what runs on each worker.
func (m *model) use() map[string]berylshape.Shape {
	use := map[string]berylshape.Shape{}
	for _, r := range m.jobs {
		for _, p := range r.members {
			use[p.Agent] = use[p.Agent].Add(r.Shape.Times(p.Tasks))
		}
	}
	return use
}

// checkCapacity guards against a worker that holds more than it has.
func (m *model) checkCapacity() {
	for name, u := range m.use() {
		if w := m.workers[name]; w != nil && !u.Fits(w.Total) {
			m.t.Fatalf("worker %s holds %v of %v", name, u, w.Total)
		}
	}
}

// begin starts every placed gang.
func (m *model) begin() {
	for _, id := range m.ids() {
		if r := m.jobs[id]; r.placed() {
			m.handle(berylscheduler.GangStarted{Job: r.ID, Attempt: r.Attempt})
		}
	}
}

// end ends a gang, and the job too if it ended well.
func (m *model) end(id string, ok bool, blamed string) {
	r := m.jobs[id]
	r.members, r.preempt = nil, nil
	m.handle(berylscheduler.GangEnded{Job: id, Attempt: r.Attempt, OK: ok, Blamed: blamed})
	switch {
	case r.ended:
	case ok:
		r.ended = true
		m.handle(berylscheduler.JobEnded{Job: id, Phase: beryljob.Done})
	default:
		m.handle(berylscheduler.JobQueued{State: r.State})
	}
}

// stop ends the gangs that were preempted.
func (m *model) stop() {
	for _, id := range m.ids() {
		if r := m.jobs[id]; r.preempt != nil {
			m.end(id, false, "")
		}
	}
}
