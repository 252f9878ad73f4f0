package beryldirector

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylpolicy"
	"berylglade/berylwork"
)

func itoa(n int) string { return strconv.Itoa(n) }

// unit is what is placed together: a task, or all tasks of a gang.
type unit struct {
	job        *berylbook.Job
	queue      berylpolicy.Queue
	occurrence int
	step       int
	tasks      []int
	// due is when the job should be complete, for the order among equals.
	due time.Time
	// from is when the job could have started at the earliest.
	from time.Time
	// chain is the declared time of the job's longest chain in milliseconds.
	chain   int64
	waiting time.Duration
}

func (u *unit) spec() *berylwork.Step { return &u.job.Work.Steps[u.step] }

func (u *unit) name() string { return unitName(u.job, u.occurrence, u.step, u.tasks[0]) }

// shun returns the hosts on which the last run of the unit's tasks failed.
func (u *unit) shun() map[string]bool {
	hosts := map[string]bool{}
	for _, i := range u.tasks {
		t := &u.job.Tasks[u.occurrence][u.step][i]
		if t.Failures > 0 && t.Faulted == t.Run {
			hosts[t.Place.Node] = true
		}
	}
	return hosts
}

func unitName(j *berylbook.Job, occurrence, step, index int) string {
	if j.Work.Steps[step].Gang {
		index = 0
	}
	return berylwork.Ref{Job: j.Work.ID, Occurrence: occurrence, Step: step, Index: index}.String()
}

// place starts what is ready, the most urgent first.
func (d *Director) place(now time.Time) {
	if d.Policy == nil || (d.flying && now.Sub(d.flewAt) > _storePatience) {
		return
	}
	units := d.waitingUnits(now)
	if len(units) == 0 {
		return
	}
	hosts := map[string][]berylfit.Host{}
	for i := range units {
		u := &units[i]
		service := u.queue.Service
		if _, ok := hosts[service]; !ok {
			hosts[service] = d.hosts(now, service)
		}
		d.placeUnit(now, u, hosts[service])
	}
}

// waitingUnits returns what may start now in the order of its claim to room.
func (d *Director) waitingUnits(now time.Time) []unit {
	var units []unit
	seen := map[string]bool{}
	for _, j := range d.Book.Sorted() {
		if j.State.Final() || j.Cancelled != 0 {
			continue
		}
		q, ok := d.Policy.Queue(j.Work.Queue)
		if !ok {
			continue
		}
		units = d.jobUnits(now, j, q, units)
	}
	for i := range units {
		name := units[i].name()
		seen[name] = true
		since, ok := d.ready[name]
		if !ok {
			since = now
			d.ready[name] = now
		}
		units[i].waiting = now.Sub(since)
	}
	for name := range d.ready {
		if !seen[name] {
			delete(d.ready, name)
		}
	}
	slices.SortFunc(units, func(a, b unit) int {
		return cmp.Or(
			cmp.Compare(a.queue.Priority, b.queue.Priority),
			a.due.Compare(b.due),
			cmp.Compare(a.job.Work.ID, b.job.Work.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step),
		)
	})
	return units
}

func (d *Director) jobUnits(now time.Time, j *berylbook.Job, q berylpolicy.Queue, units []unit) []unit {
	capacity := d.capacity(q.Service)
	for k := range j.Tasks {
		if j.Work.Due(k).After(now) {
			break
		}
		proto := unit{job: j, queue: q, occurrence: k}
		d.times(&proto, capacity)
		for s := range j.Tasks[k] {
			if !unblocked(j, k, s) {
				continue
			}
			base := proto
			base.step = s
			units = appendUnits(units, base, j.Tasks[k][s])
		}
	}
	return units
}

// unblocked reports whether all steps before s have ended.
func unblocked(j *berylbook.Job, occurrence, s int) bool {
	for _, before := range j.Work.Steps[s].After {
		if !j.Finished(occurrence, before) {
			return false
		}
	}
	return true
}

func appendUnits(units []unit, base unit, tasks []berylbook.Task) []unit {
	if base.spec().Gang {
		for i := range tasks {
			if tasks[i].Phase != berylbook.Idle {
				return units
			}
			base.tasks = append(base.tasks, i)
		}
		return append(units, base)
	}
	for i := range tasks {
		if tasks[i].Phase == berylbook.Idle {
			u := base
			u.tasks = []int{i}
			units = append(units, u)
		}
	}
	return units
}

// times sets when the unit's occurrence could start and should be complete.
func (d *Director) times(u *unit, capacity int) {
	w := u.job.Work
	u.from = time.UnixMilli(w.Accepted)
	if w.Times > 0 {
		u.from = w.Due(u.occurrence)
	}
	u.chain = chainOf(w, capacity)
	allowed := time.Duration(float64(u.chain)*u.queue.Stretch) * time.Millisecond
	u.due = u.from.Add(allowed + u.queue.Target)
}

// chainOf returns the declared time of the longest chain of steps, in
// milliseconds. A step that is wider than a quarter of the capacity in
// accelerators runs in waves.
func chainOf(w *berylwork.Work, capacity int) int64 {
	longest := int64(0)
	ends := make([]int64, len(w.Steps))
	for s := range w.Steps {
		step := &w.Steps[s]
		for _, before := range step.After {
			if before < s {
				ends[s] = max(ends[s], ends[before])
			}
		}
		ends[s] += step.Estimate * waves(step, capacity)
		longest = max(longest, ends[s])
	}
	return longest
}

func waves(step *berylwork.Step, capacity int) int64 {
	wave := capacity / _waveShare
	width := step.Count * step.Need.Accelerators
	if step.Gang || wave <= 0 || width <= wave {
		return 1
	}
	return int64((width + wave - 1) / wave)
}

// capacity returns the accelerators of a service.
func (d *Director) capacity(service string) int {
	n := 0
	for _, m := range d.members {
		if m.last.Service == service {
			n += m.last.Room.Accelerators
		}
	}
	return n
}

// hosts returns the backend servers of a service that may get work.
func (d *Director) hosts(now time.Time, service string) []berylfit.Host {
	held, coming := d.used()
	victims := d.victims(now)
	var hosts []berylfit.Host
	for node, m := range d.members {
		r := m.last
		if r.Service != service || r.Place.Instance == "" || r.Draining || r.Silent || r.Lapsed || !r.Looked {
			continue
		}
		if d.Policy.Out[r.Zone] || now.Sub(m.heard) > _quiet || len(m.unknown) > 0 || now.Sub(m.refused) < _afterRefusal {
			continue
		}
		hosts = append(hosts, berylfit.Host{
			Node: node, Zone: r.Zone, Rack: m.rack, Labels: r.Labels, Total: r.Room,
			Free:    r.Room.Sub(held[node]),
			Coming:  coming[node],
			Victims: victims[node],
			Doubt:   d.doubt(now, m),
		})
	}
	slices.SortFunc(hosts, func(a, b berylfit.Host) int { return cmp.Compare(a.Node, b.Node) })
	return hosts
}

// doubt fades with time, so that a host that has recovered is tried again.
func (d *Director) doubt(now time.Time, m *member) float64 {
	if m.slow {
		return _doubtSlow + m.doubt
	}
	if m.doubt < _doubtMatters || now.Sub(m.doubted) > _doubtFades {
		return 0
	}
	return m.doubt
}

// victims returns the units of work that priority zero may stop, by node.
func (d *Director) victims(now time.Time) map[string][]berylfit.Victim {
	victims := map[string][]berylfit.Victim{}
	for _, j := range d.Book.Sorted() {
		q, ok := d.Policy.Queue(j.Work.Queue)
		if !ok || q.Priority == 0 || j.State.Final() {
			continue
		}
		j.Each(func(ref berylwork.Ref, t *berylbook.Task) {
			if t.Phase != berylbook.Ordered && t.Phase != berylbook.Working {
				return
			}
			victims[t.Place.Node] = append(victims[t.Place.Node], d.victim(now, j, ref, t))
		})
	}
	return victims
}

func (d *Director) victim(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) berylfit.Victim {
	step := &j.Work.Steps[ref.Step]
	lost := float64(now.UnixMilli()-t.Since) / 1000
	if step.Saves {
		lost = min(lost, _checkpoint.Seconds())
	}
	weight := float64(step.Need.Millicores)/1000 + _coresPerAccelerator*float64(step.Need.Accelerators)
	if step.Gang {
		weight *= float64(step.Count)
	}
	return berylfit.Victim{
		Unit: unitName(j, ref.Occurrence, ref.Step, ref.Index),
		Room: step.Room(),
		Loss: lost * weight,
	}
}

func (d *Director) placeUnit(now time.Time, u *unit, hosts []berylfit.Host) {
	demand := demandOf(u.job, u.occurrence, u.step, len(u.tasks))
	demand.Shun = u.shun()
	demand.Spread = u.waiting > d.rackPatience(u) || !demand.InRack(hosts)
	if places, ok := demand.Place(hosts); ok {
		d.start(now, u, hosts, places)
		return
	}
	if places, ok := demand.Awaited(hosts); ok {
		take(hosts, places, &demand)
		return
	}
	if u.queue.Priority != 0 {
		d.reserve(now, u, hosts, &demand)
		return
	}
	d.makeRoom(u, hosts, &demand)
}

// reserve keeps the room that comes free soonest for a gang, or for a task that
// needs much of a host. Small tasks that are placed after it would otherwise take
// each accelerator as it comes free, and the gang would never find enough at once.
func (d *Director) reserve(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) {
	if u.waiting < _reserveAfter || demand.Count*demand.Room.Accelerators < _reserveFrom {
		return
	}
	ending := d.endings(now)
	later := slices.Clone(hosts)
	for i := range later {
		later[i].Victims = ending[later[i].Node]
	}
	if _, places, ok := demand.Evict(later); ok {
		take(hosts, places, demand)
	}
}

// endings returns all runs by node, each with the time until its end as its loss.
func (d *Director) endings(now time.Time) map[string][]berylfit.Victim {
	ending := map[string][]berylfit.Victim{}
	for _, j := range d.Book.Sorted() {
		j.Each(func(ref berylwork.Ref, t *berylbook.Task) {
			if t.Phase != berylbook.Ordered && t.Phase != berylbook.Working {
				return
			}
			room := j.Work.Steps[ref.Step].Room()
			ending[t.Place.Node] = append(ending[t.Place.Node], berylfit.Victim{
				Unit: ref.String(), Room: room,
				Loss: d.leftOf(now, j, ref, t).Seconds() * float64(max(room.Accelerators, 1)),
			})
		})
	}
	return ending
}

// makeRoom keeps the room that an urgent unit will need and stops what holds it
// once the unit can wait no longer.
func (d *Director) makeRoom(u *unit, hosts []berylfit.Host, demand *berylfit.Demand) {
	units, places, ok := demand.Evict(hosts)
	if !ok {
		return
	}
	if u.waiting >= d.preemptAfter(u) {
		d.evict(u, hosts, units)
	}
	take(hosts, places, demand)
}

// preemptAfter returns how long an urgent unit waits for room that comes free by
// itself. Stopped work is lost, so a unit waits as long as its job can still be
// in time. Work within the account's guarantee waits for a bounded time.
func (d *Director) preemptAfter(u *unit) time.Duration {
	latest := u.due.Add(-time.Duration(u.chain) * time.Millisecond)
	slack := latest.Sub(u.from) - _stopAndStart
	if d.guaranteed(u) {
		slack = min(slack, _guaranteePatience)
	}
	return max(slack, 0)
}

// rackPatience returns how long a gang waits for one rack with enough room. Over
// several racks it takes three times as long, so it may wait for twice its run
// time; guaranteed work has to begin sooner.
func (d *Director) rackPatience(u *unit) time.Duration {
	if u.queue.Priority == 0 && d.guaranteed(u) {
		return _rackPatience
	}
	extra := 2 * time.Duration(u.spec().Estimate) * time.Millisecond
	return min(max(extra, _rackPatience), _rackPatienceMost)
}

// guaranteed reports whether all urgent jobs of the unit's account fit into its
// guarantee.
func (d *Director) guaranteed(u *unit) bool {
	limit := d.Policy.Guaranteed(u.job.Work.Account)
	if limit == 0 {
		return false
	}
	need := 0
	for _, j := range d.Book.Sorted() {
		q, ok := d.Policy.Queue(j.Work.Queue)
		if !ok || q.Priority != 0 || j.State.Final() || j.Cancelled != 0 || j.Work.Account != u.job.Work.Account {
			continue
		}
		need += widest(j.Work)
	}
	return need <= limit
}

// widest returns the accelerators of the job's largest step.
func widest(w *berylwork.Work) int {
	n := 0
	for _, s := range w.Steps {
		n = max(n, s.Count*s.Need.Accelerators)
	}
	return n
}

// demandOf returns what the placement of count tasks of a step asks for.
func demandOf(j *berylbook.Job, occurrence, step, count int) berylfit.Demand {
	spec := &j.Work.Steps[step]
	return berylfit.Demand{
		Count: count, Room: spec.Room(), Label: spec.Label, Rack: spec.Rack,
		OneRack: spec.OneRack, Apart: spec.Apart, Present: present(j.Tasks[occurrence][step]),
	}
}

// present counts the tasks that are on each node.
func present(tasks []berylbook.Task) map[string]int {
	n := map[string]int{}
	for i := range tasks {
		if tasks[i].Phase.Active() {
			n[tasks[i].Place.Node]++
		}
	}
	return n
}

// take keeps room that a unit waits for from the units after it.
func take(hosts []berylfit.Host, places []int, demand *berylfit.Demand) {
	for _, i := range places {
		hosts[i].Free = hosts[i].Free.Sub(demand.Room)
	}
}

// evict stops the units and counts their room as coming.
func (d *Director) evict(u *unit, hosts []berylfit.Host, units []string) {
	for _, name := range units {
		d.note("preempt", "unit", name, "for", u.name(), "waited", u.waiting.Milliseconds())
		d.stopUnit(name)
		for i := range hosts {
			for _, v := range hosts[i].Victims {
				if v.Unit == name {
					hosts[i].Coming = hosts[i].Coming.Add(v.Room)
				}
			}
			hosts[i].Victims = slices.DeleteFunc(slices.Clone(hosts[i].Victims), func(v berylfit.Victim) bool { return v.Unit == name })
		}
	}
}

func (d *Director) stopUnit(name string) {
	ref, ok := berylwork.ParseRef(name)
	if !ok {
		return
	}
	j, t := d.Book.Task(ref)
	if t == nil {
		return
	}
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	if !j.Work.Steps[ref.Step].Gang {
		tasks = tasks[ref.Index : ref.Index+1]
	}
	for i := range tasks {
		if tasks[i].Phase == berylbook.Ordered || tasks[i].Phase == berylbook.Working {
			tasks[i].Phase = berylbook.Stopping
		}
	}
	d.mark(j.Work.ID)
}

// start records a new run of each task of the unit.
func (d *Director) start(now time.Time, u *unit, hosts []berylfit.Host, places []int) {
	tasks := u.job.Tasks[u.occurrence][u.step]
	run := 0
	for _, i := range u.tasks {
		run = max(run, tasks[i].Run)
	}
	run++
	nodes := make([]string, 0, len(places))
	room := u.spec().Room()
	for n, i := range u.tasks {
		h := &hosts[places[n]]
		t := &tasks[i]
		t.Run = run
		t.Phase = berylbook.Ordered
		t.Place = d.members[h.Node].last.Place
		t.Since = now.UnixMilli()
		h.Free = h.Free.Sub(room)
		d.ordered[orderKey{berylwork.Ref{Job: u.job.Work.ID, Occurrence: u.occurrence, Step: u.step, Index: i}, run}] = now
		nodes = append(nodes, h.Node)
	}
	d.mark(u.job.Work.ID)
	d.note("start", "unit", u.name(), "run", run, "queue", u.queue.Name, "priority", u.queue.Priority,
		"waited", u.waiting.Milliseconds(), "nodes", nodes, "saved", tasks[u.tasks[0]].Saved != "", "policy", d.Policy.Version)
}

const (
	// _quiet is how long an agent may be silent and still get work.
	_quiet = 1500 * time.Millisecond
	// _reserveAfter is how long a unit waits before room is kept for it, and
	// _reserveFrom how many accelerators it must need: fewer come free at once
	// often enough.
	_reserveAfter = time.Second
	_reserveFrom  = 2
	// _afterRefusal is how long a backend server that refused a start gets none:
	// it is fuller than it is taken for.
	_afterRefusal = 400 * time.Millisecond
	// _storePatience is how long an append may take before nothing more is
	// placed: what is chosen now would be stale when it can be ordered.
	_storePatience = 700 * time.Millisecond
	// _rackPatience and _rackPatienceMost bound how long a gang waits for one
	// rack with enough room.
	_rackPatience     = 2 * time.Second
	_rackPatienceMost = 8 * time.Second
	// _stopAndStart covers the stop of a run, 400 ms at most, and the start of
	// another one.
	_stopAndStart = 700 * time.Millisecond
	// _guaranteePatience leaves time to stop and start within the 2.9 s in which
	// guaranteed work has to begin.
	_guaranteePatience = 1300 * time.Millisecond
	// _waveShare is the part of the capacity, one in so many, that one wave of a
	// step takes.
	_waveShare = 4
	// _checkpoint is how often tasks save their progress.
	_checkpoint = 2 * time.Second
	// _coresPerAccelerator is the users' price of an accelerator.
	_coresPerAccelerator = 8.0
	// _doubtMatters is two failed runs without good ones between them.
	_doubtMatters = 2.0
	// _doubtSlow comes with a run that stands still or crawls.
	_doubtSlow = 2.0
	// _doubtFades is after how long a host in doubt is tried again.
	_doubtFades = 8 * time.Second
)
