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

// model is the owner of a scheduler. It carries out each action at once and then
// checks that the invariants hold.
type model struct {
	t fataler
	s *berylscheduler.Scheduler
	// replica receives the same events and has to make the same decisions.
	replica *berylscheduler.Scheduler
	now     time.Time
	cfg     *berylconfig.Config
	workers map[string]*berylscheduler.Worker
	lost    map[string]bool
	jobs    map[string]*modelJob
	actions []string
	late    map[string]int
}

type fataler interface {
	Fatalf(format string, args ...any)
}

// modelJob is one job in the model.
type modelJob struct {
	beryljob.State
	members    []beryljob.Member
	preemption *berylscheduler.Preempt
	rejected   string
	ended      bool
	starts     int
}

func (r *modelJob) placed() bool { return len(r.members) > 0 }

func newModel(t fataler, o berylscheduler.Options) *model {
	return &model{
		t:       t,
		s:       berylscheduler.New(o),
		replica: berylscheduler.New(o),
		now:     time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC),
		cfg:     &berylconfig.Config{Offset: 1, Classes: classes(), Accounts: map[string]berylconfig.ClientAccount{}, Domains: map[string]berylconfig.FailureDomain{}},
		workers: map[string]*berylscheduler.Worker{},
		lost:    map[string]bool{},
		jobs:    map[string]*modelJob{},
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

// gpus returns the shape of a task with a number of accelerators and a share of the
// cores and memory.
func gpus(n int) berylshape.Shape {
	return berylshape.Shape{Accelerators: n, Cores: 8 * n, Memory: berylsize.Size(n) * 16 * berylsize.GB}
}

func (m *model) handle(ev berylscheduler.Event) {
	m.s.Handle(m.now, ev)
	m.replica.Handle(m.now, ev)
}

// addWorkers adds workers to each of a number of failure domains, three to a rack.
func (m *model) addWorkers(domains, each int) {
	for d := range domains {
		for i := range each {
			m.addWorker(fmt.Sprintf("w%d-%02d", d, i), fmt.Sprintf("d%d", d), fmt.Sprintf("r%d-%d", d, i/3))
		}
	}
}

func (m *model) addWorker(name, domain, rack string) {
	w := berylscheduler.Worker{Name: name, Incarnation: "1", Addr: name + ":1", Domain: domain, Rack: rack, Total: gpus(8)}
	m.workers[name] = &w
	delete(m.lost, name)
	m.handle(berylscheduler.WorkerSeen{Worker: w})
}

func (m *model) changeConfig(f func(*berylconfig.Config)) {
	m.cfg = m.cfg.Clone()
	m.cfg.Offset++
	if f != nil {
		f(m.cfg)
	}
	m.handle(berylscheduler.ConfigChanged{Config: m.cfg})
}

func (m *model) setGuarantees(account string, g ...berylconfig.Guarantee) {
	m.changeConfig(func(c *berylconfig.Config) {
		a := c.Accounts[account]
		a.Guarantees = g
		c.Accounts[account] = a
	})
}

func (m *model) submit(id, account, class string, tasks int, s berylshape.Shape, a beryladjacency.Adjacency) {
	r := &modelJob{State: beryljob.State{Job: beryljob.Job{
		ID: id, Account: account, Class: class, Tasks: tasks, Shape: s, Adjacent: a, Accepted: m.now,
		Declared: berylduration.Duration(time.Hour),
	}, Phase: beryljob.Queued}}
	m.jobs[id] = r
	m.handle(berylscheduler.JobQueued{State: r.State})
}

// decide carries out the scheduler's decisions until it returns no more placements.
func (m *model) decide() []berylscheduler.Action {
	var all []berylscheduler.Action
	for range 100 {
		acts := m.s.Decide(m.now)
		if other := m.replica.Decide(m.now); !reflect.DeepEqual(acts, other) {
			m.t.Fatalf("the same events led to different actions: %+v and %+v", acts, other)
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
	m.t.Fatalf("Decide still returns placements after 100 calls")
	return nil
}

func (m *model) apply(a berylscheduler.Action) {
	m.actions = append(m.actions, fmt.Sprintf("%s %T %+v", m.now.Format("15:04:05"), a, a))
	switch a := a.(type) {
	case berylscheduler.Place:
		m.place(a)
	case berylscheduler.Preempt:
		r := m.jobs[a.Job]
		if !r.placed() || r.Attempt != a.Attempt {
			m.t.Fatalf("Preempt of %s attempt %d, which is not placed", a.Job, a.Attempt)
		}
		r.preemption = &a
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
		m.t.Fatalf("Place of %s, which is not waiting", a.Job)
	}
	if a.Attempt <= r.Attempt {
		m.t.Fatalf("Place of %s has attempt %d after attempt %d", a.Job, a.Attempt, r.Attempt)
	}
	r.Attempt, r.members = a.Attempt, a.Members
	r.starts++
	m.checkGang(r)
	m.checkCapacity()
}

// checkGang guards against partial placement, wrong adjacency and placement on
// workers that must not get work.
func (m *model) checkGang(r *modelJob) {
	n := 0
	groups := map[string]bool{}
	for _, p := range r.members {
		n += p.Tasks
		w, ok := m.workers[p.Agent]
		switch {
		case !ok || m.lost[p.Agent]:
			m.t.Fatalf("%s is placed on %s, which is unknown or lost", r.ID, p.Agent)
		case w.Draining:
			m.t.Fatalf("%s is placed on %s, which is draining", r.ID, p.Agent)
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

// usage returns the resources that gangs hold on each worker.
func (m *model) usage() map[string]berylshape.Shape {
	use := map[string]berylshape.Shape{}
	for _, r := range m.jobs {
		for _, p := range r.members {
			use[p.Agent] = use[p.Agent].Add(r.Shape.Times(p.Tasks))
		}
	}
	return use
}

// checkCapacity guards against workers that are overcommitted.
func (m *model) checkCapacity() {
	for name, u := range m.usage() {
		if w := m.workers[name]; w != nil && !u.Fits(w.Total) {
			m.t.Fatalf("worker %s is overcommitted: gangs hold %v of %v", name, u, w.Total)
		}
	}
}

// startGangs reports every placed gang as started.
func (m *model) startGangs() {
	for _, id := range m.ids() {
		if r := m.jobs[id]; r.placed() {
			m.handle(berylscheduler.GangStarted{Job: r.ID, Attempt: r.Attempt})
		}
	}
}

// endGang ends a gang, and its job if the gang succeeded.
func (m *model) endGang(id string, ok bool, blamed string) {
	r := m.jobs[id]
	r.members, r.preemption = nil, nil
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

// stopPreempted ends the gangs that were preempted.
func (m *model) stopPreempted() {
	for _, id := range m.ids() {
		if r := m.jobs[id]; r.preemption != nil {
			m.endGang(id, false, "")
		}
	}
}
