package beryldirector

import (
	"time"

	"berylglade/berylbook"
	"berylglade/berylbreaker"
	"berylglade/berylfit"
	"berylglade/berylheadroom"
	"berylglade/berylroom"
)

// noteArrival notes an urgent unit that has become ready for the first time.
func (d *Director) noteArrival(now time.Time, u *unit) {
	step := u.stepSpec()
	if u.queue.Priority != 0 || step.LongRunning || u.job.Step(u.occurrence, u.step).Get(u.tasks[0]).Run > 0 {
		return
	}
	service := u.queue.Service
	if d.headrooms[service] == nil {
		d.headrooms[service] = &berylheadroom.Headroom{}
	}
	d.headrooms[service].Arrive(now, u.share(d.hostSize(service)), d.declaredRunTime(u.job, u.step))
}

// share returns how many hosts of the given size the unit fills.
func (u *unit) share(size berylroom.Resources) float64 {
	return float64(len(u.tasks)) * u.stepSpec().Resources().MaxShare(size)
}

// hostSize returns the capacity of the largest backend server of a service.
func (d *Director) hostSize(service string) berylroom.Resources {
	var size berylroom.Resources
	for _, a := range d.agents {
		if a.report.Service == service && a.report.Capacity.Accelerators > size.Accelerators {
			size = a.report.Capacity
		}
	}
	return size
}

// postpones reports whether a unit that fits is not started yet, because urgent work is
// about to need the capacity and the unit's job can be on time later.
func (d *Director) postpones(now time.Time, u *unit, hosts []berylfit.Host) bool {
	if u.queue.Priority == 0 {
		return false
	}
	service := u.queue.Service
	if d.headrooms[service] == nil {
		return false
	}
	size := d.hostSize(service)
	if _, ok := d.spare[service]; !ok {
		// What is reserved for less urgent units is free for urgent work.
		free := d.withReserved(hosts, func(_ *berylfit.Host, r hold) bool { return !r.urgent })
		d.spare[service] = d.findSpare(now, service, size, free)
	}
	need := u.share(size)
	if need > d.spare[service] && d.mayPostpone(u) {
		d.notePostponed(now, u, need)
		return true
	}
	d.spare[service] -= need
	return false
}

// findSpare returns how many hosts of a service are free beyond what urgent work is about
// to need.
func (d *Director) findSpare(now time.Time, service string, size berylroom.Resources, hosts []berylfit.Host) float64 {
	inUse := d.pendingUrgent[service]
	free, total := freeShare(hosts)
	d.eachActive(func(s activeTask) {
		q, ok := d.queueOf(s.job.Work)
		if ok && q.Priority == 0 && q.Service == service && s.task.Phase != berylbook.Stopping {
			inUse += s.job.Work.Steps[s.ref.Step].Resources().MaxShare(size)
		}
	})
	return free - d.headrooms[service].Keep(now, inUse, total)
}

// freeShare returns how many hosts' worth of capacity is free, and on how many hosts. Urgent
// work can't count on those whose breaker is not closed.
func freeShare(hosts []berylfit.Host) (free, total float64) {
	for i := range hosts {
		if hosts[i].Breaker != berylbreaker.Closed {
			continue
		}
		free += hosts[i].Free.MinShare(hosts[i].Total)
		total++
	}
	return free, total
}

// notePostponed logs that a unit is postponed, once.
func (d *Director) notePostponed(now time.Time, u *unit, need float64) {
	w := d.waiting[u.ref()]
	if w.postponed {
		return
	}
	w.postponed = true
	d.waiting[u.ref()] = w
	service := u.queue.Service
	d.note("postpone", "unit", u.name(), "need", need, "spare", d.spare[service], "load", d.headrooms[service].Load(now),
		"slack", u.latestStart.Sub(now).Milliseconds(), "waited", u.waited.Milliseconds())
}
