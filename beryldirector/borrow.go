package beryldirector

import (
	"maps"
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylreservation"
	"berylglade/berylroom"
	"berylglade/berylwork"
)

// hold is what is reserved on one host for a unit.
type hold struct {
	unit string
	// urgent is true if the unit is of priority zero.
	urgent    bool
	resources berylroom.Resources
	berylreservation.Reservation
}

// borrowedRun is a run on capacity that others wait for.
type borrowedRun struct {
	job *berylbook.Job
	// ref and task are the first task of the unit, and run is that of the unit.
	ref  berylwork.Ref
	task *berylbook.Task
	run  int
	// lenders are the units that wait. Each may stop the run when all else that it needs is
	// free.
	lenders []string
}

// over reports whether the run has ended.
func (b *borrowedRun) over() bool { return b.task.Run != b.run || !b.task.Phase.Active() }

// lendAll lets later units in the placement pass borrow any capacity of a unit that is
// blocked. Nothing is reserved for it, as nobody knows when the capacity comes free, and it
// still does not wait for what was started later.
func (d *Director) lendAll(u *unit) {
	service := u.queue.Service
	if d.reservations[u.name()].blocked && len(d.blockedUnits[service]) < _maxReservations {
		d.blockedUnits[service] = append(d.blockedUnits[service], u.name())
	}
}

// hold deducts the capacity of a reservation from that of the hosts, so that later units in
// the placement pass get it only if it is lent.
func (d *Director) hold(r reservation, u *unit, hosts []berylfit.Host, places []int, demand *berylfit.Demand) {
	deductResources(hosts, places, demand)
	service := u.queue.Service
	d.holding[service] = true
	for _, i := range places {
		node := hosts[i].Node
		d.holds[node] = append(d.holds[node], hold{
			unit: u.name(), urgent: u.queue.Priority == 0, resources: demand.Resources,
			Reservation: r.withIdle(d.idleSince[service]),
		})
	}
}

// withIdle returns the reservation as of the current placement pass.
func (r *reservation) withIdle(since time.Time) berylreservation.Reservation {
	return berylreservation.Reservation{Since: r.since, FreeAt: r.freeAt, IdleSince: since, NearSince: r.nearSince}
}

// borrow finds places for a unit that include capacity which is reserved for others and lent
// to it. Lenders are the units for which it is reserved.
func (d *Director) borrow(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) (places []int, lenders []string, ok bool) {
	if !d.holding[u.queue.Service] {
		return nil, nil, false
	}
	run := d.highRunTime(u)
	lent := map[string][]string{}
	trial := d.withReserved(hosts, func(h *berylfit.Host, r hold) bool {
		if !r.lends(now, run, h) {
			return false
		}
		lent[h.Node] = append(lent[h.Node], r.unit)
		return true
	})
	if len(lent) == 0 {
		return nil, nil, false
	}
	places, ok = demand.Place(trial)
	for _, i := range places {
		for _, unit := range lent[trial[i].Node] {
			if !slices.Contains(lenders, unit) {
				lenders = append(lenders, unit)
			}
		}
	}
	return places, lenders, ok
}

// lends reports whether a unit may use what is reserved on a host. Run is its run time at the
// usual speed; zero if nothing is known.
func (r *hold) lends(now time.Time, run time.Duration, h *berylfit.Host) bool {
	if h.Speed > 0 {
		run = atSpeed(run, h.Speed)
	}
	return r.Lends(now, run)
}

// withReserved returns the hosts with those reservations of the current placement pass as
// free capacity for which include returns true.
func (d *Director) withReserved(hosts []berylfit.Host, include func(h *berylfit.Host, r hold) bool) []berylfit.Host {
	trial := slices.Clone(hosts)
	for i := range trial {
		for _, r := range d.holds[trial[i].Node] {
			if include(&trial[i], r) {
				trial[i].Free = trial[i].Free.Add(r.resources)
			}
		}
	}
	return trial
}

// highRunTime returns a time that few runs of the unit exceed at the usual speed; zero if
// nothing is known, or if it runs until it is stopped.
func (d *Director) highRunTime(u *unit) time.Duration {
	if u.stepSpec().LongRunning {
		return 0
	}
	return d.expect(u.job.Work, u.step).High
}

// postponesBorrowing is like postpones, for a unit that fits only into capacity that is lent
// to it.
func (d *Director) postponesBorrowing(now time.Time, u *unit, hosts []berylfit.Host) bool {
	service := u.queue.Service
	if u.queue.Priority == 0 || d.headrooms[service] == nil || !d.mayPostpone(u) {
		return false
	}
	size, run := d.hostSize(service), d.highRunTime(u)
	free := d.withReserved(hosts, func(h *berylfit.Host, r hold) bool { return !r.urgent || r.lends(now, run, h) })
	return u.share(size) > d.findSpare(now, service, size, free)
}

// startBorrowing starts a unit on capacity that is reserved for the lenders.
func (d *Director) startBorrowing(now time.Time, u *unit, hosts []berylfit.Host, places []int, lenders []string) {
	d.start(now, u, hosts, places)
	d.noteBorrowed(u, lenders)
	d.note("borrow", "unit", u.name(), "run", d.borrowed[u.name()].run, "from", lenders)
}

// noteBorrowed notes that a unit was started on capacity that the lenders and the blocked
// units of its service wait for.
func (d *Director) noteBorrowed(u *unit, lenders []string) {
	lenders = slices.Concat(lenders, d.blockedUnits[u.queue.Service])
	if len(lenders) == 0 {
		return
	}
	task := u.job.Step(u.occurrence, u.step).At(u.tasks[0])
	d.borrowed[u.name()] = borrowedRun{job: u.job, ref: u.ref(), task: task, run: task.Run, lenders: lenders}
}

// borrows reports whether a run of the named unit has borrowed capacity of the unit u.
func (d *Director) borrows(name string, u *unit) bool {
	return slices.Contains(d.borrowed[name].lenders, u.name())
}

// borrowersOf returns, by node, the runs that have borrowed capacity of a unit and may be
// stopped for it: not those within a guarantee, and of long-running tasks only as many as
// may be unavailable.
func (d *Director) borrowersOf(now time.Time, u *unit) map[string][]berylfit.Victim {
	victims := map[string][]berylfit.Victim{}
	budget := map[stepKey]int{}
	var names []string
	for name := range d.borrowed {
		if d.borrows(name, u) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		for _, s := range d.borrowed[name].activeTasks() {
			if d.mayReclaim(budget, s) {
				node := s.task.Incarnation.Node
				victims[node] = append(victims[node], d.victimOf(now, s.job, s.ref, s.task))
			}
		}
	}
	return victims
}

// mayReclaim reports whether a run on borrowed capacity may be stopped. Budget is that of
// takeAvailability.
func (d *Director) mayReclaim(budget map[stepKey]int, s activeTask) bool {
	q, ok := d.queueOf(s.job.Work)
	switch {
	case !ok || s.job.State.Final() || s.task.Phase == berylbook.Stopping:
		return false
	case s.job.Work.Steps[s.ref.Step].LongRunning:
		return d.takeAvailability(budget, s)
	default:
		return q.Priority != 0 || !d.withinGuarantee(s.job.Work.Account)
	}
}

// activeTasks returns the tasks of the unit whose newest run may exist.
func (b borrowedRun) activeTasks() []activeTask {
	_, tasks := unitTasks(b.job, b.ref)
	var active []activeTask
	for i, t := range tasks {
		if t.Phase.Active() {
			ref := b.ref
			ref.Index += i
			active = append(active, activeTask{job: b.job, ref: ref, task: t, name: ref.String()})
		}
	}
	return active
}

// reclaim stops the runs on borrowed capacity of a unit if the unit fits without them, now or
// when runs that are about to end have ended. It returns false if other capacity is missing
// too: the borrowers go on then.
func (d *Director) reclaim(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) bool {
	r := d.reservations[u.name()]
	if now.Sub(r.reclaimAt) < _reclaimInterval {
		return false
	}
	borrowers := d.borrowersOf(now, u)
	if len(borrowers) == 0 {
		return false
	}
	r.reclaimAt = now
	d.reservations[u.name()] = r
	for i := range hosts {
		hosts[i].Victims = borrowers[hosts[i].Node]
	}
	units, places, ok := demand.Evict(hosts)
	early := !ok && r.withIdle(time.Time{}).Closing(now)
	if early {
		units, places, ok = demand.Evict(d.afterNearEnds(now, hosts))
	}
	if !ok || len(units) == 0 {
		return false
	}
	d.note("reclaim", "unit", u.name(), "borrowers", len(units), "waited", u.waited.Milliseconds(), "early", early)
	d.preempt(u, hosts, units)
	if !u.preemptedAt.Before(now) {
		d.preemptedFor[u.name()] = now
	}
	deductResources(hosts, places, demand)
	return true
}

// afterNearEnds returns the hosts with the capacity of runs that are about to end as one that
// is being released.
func (d *Director) afterNearEnds(now time.Time, hosts []berylfit.Host) []berylfit.Host {
	later := slices.Clone(hosts)
	ending := d.currentEndingRuns(now)
	for i := range later {
		for _, v := range ending[later[i].Node] {
			_, borrowed := d.borrowed[v.Unit]
			if !borrowed && berylreservation.Near(now, now.Add(seconds(v.Loss))) {
				later[i].Releasing = later[i].Releasing.Add(v.Resources)
			}
		}
	}
	return later
}

// noteIdle notes which services have kept capacity reserved in this placement pass while
// most of theirs was free. Idle has the services of which most was free before it.
func (d *Director) noteIdle(now time.Time, idle map[string]bool) {
	maps.DeleteFunc(d.idleSince, func(service string, _ time.Time) bool { return !idle[service] || !d.holding[service] })
	for service := range d.holding {
		if idle[service] && d.idleSince[service].IsZero() {
			d.idleSince[service] = now
		}
	}
}

// _reclaimInterval is the minimum time between two attempts to stop the borrowers of a unit,
// as each examines all of them.
const _reclaimInterval = 100 * time.Millisecond
