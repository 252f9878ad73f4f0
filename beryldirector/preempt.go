package beryldirector

import (
	"slices"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylwork"
)

// findVictims returns the units that may be preempted for work of priority zero, by
// node.
func (d *Director) findVictims(now time.Time) map[string][]berylfit.Victim {
	victims := map[string][]berylfit.Victim{}
	d.eachActive(func(s activeTask) {
		q, ok := d.queueOf(s.job.Work)
		if !ok || q.Priority == 0 || s.job.State.Final() || s.task.Phase == berylbook.Stopping || s.job.Work.Steps[s.ref.Step].LongRunning {
			return
		}
		node := s.task.Incarnation.Node
		victims[node] = append(victims[node], d.victimOf(now, s.job, s.ref, s.task))
	})
	return victims
}

func (d *Director) victimOf(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) berylfit.Victim {
	step := &j.Work.Steps[ref.Step]
	lostSeconds := float64(now.UnixMilli()-t.OrderedAt) / 1000
	if step.Checkpoints {
		lostSeconds = min(lostSeconds, _checkpointInterval.Seconds())
	}
	weight := float64(step.Need.Millicores)/1000 + _coresPerAccelerator*float64(step.Need.Accelerators)
	if step.Gang {
		weight *= float64(step.Count)
	}
	return berylfit.Victim{
		Unit:      unitName(j, ref.Occurrence, ref.Step, ref.Index),
		Resources: step.Resources(),
		Loss:      lostSeconds * weight,
	}
}

// reserve reserves the capacity that is expected to be free soonest for a gang, or
// for a task that needs much of a host. Otherwise small tasks that are placed after
// it would take each accelerator as it is released, and the gang would never find
// enough at once.
func (d *Director) reserve(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) {
	if d.reservedUnits >= _maxReservations || u.waited < _reserveAfter || demand.Count*demand.Resources.Accelerators < _reserveMinAccelerators {
		return
	}
	d.reservedUnits++
	if d.reuseReservation(now, u, hosts, demand) || d.searchedInVain(now, u) {
		return
	}
	if d.endingRuns == nil {
		d.endingRuns = d.findEndingRuns(now)
	}
	later := slices.Clone(hosts)
	for i := range later {
		later[i].Victims = d.endingRuns[later[i].Node]
	}
	_, places, ok := demand.Evict(later)
	if !ok {
		d.reservations[u.name()] = reservation{at: now}
		return
	}
	d.addReservation(now, u, hosts, places, demand)
}

// reservation is the capacity that is reserved for a unit.
type reservation struct {
	at time.Time
	// nodes is empty if no capacity was found.
	nodes []string
}

// searchedInVain reports whether a recent search found no capacity for the unit.
func (d *Director) searchedInVain(now time.Time, u *unit) bool {
	r, ok := d.reservations[u.name()]
	return ok && len(r.nodes) == 0 && now.Sub(r.at) <= _searchInterval
}

// addReservation reserves capacity at places for a unit until the next search.
func (d *Director) addReservation(now time.Time, u *unit, hosts []berylfit.Host, places []int, demand *berylfit.Demand) {
	r := reservation{at: now}
	for _, i := range places {
		r.nodes = append(r.nodes, hosts[i].Node)
	}
	d.reservations[u.name()] = r
	deductResources(hosts, places, demand)
}

// reuseReservation deducts the capacity of the unit's recent reservation. It
// returns false if there is none that is still valid. A search examines every run
// and is too expensive for every placement pass.
func (d *Director) reuseReservation(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) bool {
	r, ok := d.reservations[u.name()]
	if ok && len(r.nodes) == 0 {
		return false
	}
	if !ok || now.Sub(r.at) > _searchInterval || len(r.nodes) != demand.Count {
		delete(d.reservations, u.name())
		return false
	}
	places := make([]int, 0, len(r.nodes))
	for _, node := range r.nodes {
		i, found := slices.BinarySearchFunc(hosts, node, func(h berylfit.Host, n string) int { return strings.Compare(h.Node, n) })
		if !found {
			delete(d.reservations, u.name())
			return false
		}
		places = append(places, i)
	}
	deductResources(hosts, places, demand)
	return true
}

// findEndingRuns returns all runs by node. The loss of each is the time until its
// end, multiplied by its accelerators.
func (d *Director) findEndingRuns(now time.Time) map[string][]berylfit.Victim {
	ending := map[string][]berylfit.Victim{}
	d.eachActive(func(s activeTask) {
		if s.task.Phase == berylbook.Stopping {
			return
		}
		resources := s.job.Work.Steps[s.ref.Step].Resources()
		node := s.task.Incarnation.Node
		ending[node] = append(ending[node], berylfit.Victim{
			Unit: s.name, Resources: resources,
			Loss: d.remainingTime(now, s.job, s.ref, s.task).Seconds() * float64(max(resources.Accelerators, 1)),
		})
	})
	return ending
}

// reserveOrPreempt reserves the capacity that an urgent unit needs, and preempts the
// runs that hold it once the unit can't wait any longer. It returns false if
// preemption can't free enough capacity.
func (d *Director) reserveOrPreempt(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) bool {
	preempt := u.waited >= d.preemptAfter(u) && !d.justElected(now)
	if !preempt && d.reuseReservation(now, u, hosts, demand) {
		return true
	}
	if d.searchedInVain(now, u) {
		return false
	}
	if d.victims == nil {
		d.victims = d.findVictims(now)
	}
	for i := range hosts {
		hosts[i].Victims = d.victims[hosts[i].Node]
	}
	units, places, ok := evictInTime(now, u, hosts, demand)
	if !ok && d.guaranteed(u) {
		reclaimable := d.findReclaimable(now, u.job.Work.Account)
		for i := range hosts {
			hosts[i].Victims = slices.Concat(hosts[i].Victims, reclaimable[hosts[i].Node])
		}
		units, places, ok = evictInTime(now, u, hosts, demand)
	}
	if !ok {
		d.reservations[u.name()] = reservation{at: now}
		return false
	}
	if !preempt {
		d.addReservation(now, u, hosts, places, demand)
		return true
	}
	d.preempt(u, hosts, units)
	if !u.preemptedAt.Before(now) {
		d.preemptedFor[u.name()] = now
	}
	deductResources(hosts, places, demand)
	return true
}

// preemptAfter returns how long an urgent unit waits for capacity that is released
// without preemption. Preempted work is lost, so the unit waits as long as its job
// can still meet its due time. Work within the client account's guarantee waits for
// a bounded time.
func (d *Director) preemptAfter(u *unit) time.Duration {
	latest := u.due.Add(-time.Duration(u.criticalPath) * time.Millisecond)
	slack := time.Duration(float64(latest.Sub(u.startableAt))*_slackShare) - _preemptionTime
	if d.guaranteed(u) {
		slack = min(slack, _guaranteeWait)
	}
	return max(slack, 0)
}

// rackWait returns how long a gang waits for one rack with enough capacity. A gang
// that is spread over racks runs three times as long, so that waiting for up to twice
// its run time pays off. Guaranteed work has to start sooner.
func (d *Director) rackWait(u *unit) time.Duration {
	if u.queue.Priority == 0 && d.guaranteed(u) {
		return _minRackWait
	}
	extra := 2 * time.Duration(u.stepSpec().Estimate) * time.Millisecond
	return min(max(extra, _minRackWait), _maxRackWait)
}

// guaranteed reports whether all urgent jobs of the unit's client account together
// fit into its guarantee.
func (d *Director) guaranteed(u *unit) bool {
	limit := d.Policy.Guaranteed(u.job.Work.Account)
	if limit == 0 {
		return false
	}
	need := 0
	for _, j := range d.liveJobs() {
		q, ok := d.queueOf(j.Work)
		if !ok || q.Priority != 0 || j.State.Final() || j.CancelledAt != 0 || j.Work.Account != u.job.Work.Account {
			continue
		}
		need += peakAccelerators(j.Work)
	}
	return need <= limit
}

// peakAccelerators returns the accelerators of the job's largest step.
func peakAccelerators(w *berylwork.Work) int {
	n := 0
	for _, s := range w.Steps {
		n = max(n, s.Count*s.Need.Accelerators)
	}
	return n
}

// preempt stops the units and adds their resources to those being released.
func (d *Director) preempt(u *unit, hosts []berylfit.Host, units []string) {
	for _, name := range units {
		d.note("preempt", "unit", name, "for", u.name(), "waited", u.waited.Milliseconds())
		d.stopUnit(name)
		for i := range hosts {
			for _, v := range hosts[i].Victims {
				if v.Unit == name {
					hosts[i].Releasing = hosts[i].Releasing.Add(v.Resources)
				}
			}
			node := hosts[i].Node
			d.victims[node] = slices.DeleteFunc(slices.Clone(d.victims[node]), func(v berylfit.Victim) bool { return v.Unit == name })
		}
	}
}

// stopUnit stops the task of the given name, or its whole gang.
func (d *Director) stopUnit(name string) {
	ref, ok := berylwork.ParseRef(name)
	if !ok {
		return
	}
	j, t := d.Book.Task(ref)
	if t == nil {
		return
	}
	_, tasks := unitTasks(j, ref)
	for i := range tasks {
		tasks[i].Stop()
	}
	d.markDirty(j.Work.ID)
}
