package beryldirector

import (
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylpreemption"
	"berylglade/berylvictim"
	"berylglade/berylwork"
)

// findVictims returns the units that may be preempted for work of priority zero, by
// node: those that were not preempted too often, or only those that were.
func (d *Director) findVictims(now time.Time, protected bool) map[string][]berylfit.Victim {
	victims := map[string][]berylfit.Victim{}
	d.eachActive(func(s activeTask) {
		q, ok := d.queueOf(s.job.Work)
		if !ok || q.Priority == 0 || s.job.State.Final() || s.task.Phase == berylbook.Stopping || s.job.Work.Steps[s.ref.Step].LongRunning {
			return
		}
		if d.cooldown.Protected(unitName(s.job, s.ref.Occurrence, s.ref.Step, s.ref.Index)) != protected {
			return
		}
		node := s.task.Incarnation.Node
		victims[node] = append(victims[node], d.victimOf(now, s.job, s.ref, s.task))
	})
	return victims
}

func (d *Director) victimOf(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) berylfit.Victim {
	v := d.costOf(now, j, ref, t)
	return berylfit.Victim{
		Unit:      unitName(j, ref.Occurrence, ref.Step, ref.Index),
		Resources: taskResources(&j.Work.Steps[ref.Step]),
		Loss:      v.Loss(),
	}
}

// costOf returns what is known of the cost of preempting the unit of a task.
func (d *Director) costOf(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) berylvictim.Victim {
	step := &j.Work.Steps[ref.Step]
	cores := float64(step.Need.Millicores)/1000 + _coresPerAccelerator*float64(step.Need.Accelerators)
	if step.Gang {
		cores *= float64(step.Count)
	}
	return berylvictim.Victim{
		Cores:     cores,
		Ran:       time.Duration(now.UnixMilli()-t.OrderedAt) * time.Millisecond,
		Remaining: d.remainingTime(now, j, ref, t),
		// A run that has not begun has nothing to save.
		Checkpoints: step.Checkpoints && t.Phase == berylbook.Working,
		Restore:     d.Limits.Restore,
		Vacant:      d.Limits.preemptionTime(),
		Slack:       d.slackOf(now, j, ref),
	}
}

// slackOf returns how much later than now a task may end and its job still be on time.
func (d *Director) slackOf(now time.Time, j *berylbook.Job, ref berylwork.Ref) time.Duration {
	q, ok := d.queueOf(j.Work)
	if !ok {
		return 0
	}
	estimate := time.Duration(j.Work.Steps[ref.Step].Estimate) * time.Millisecond
	return d.latestStart(j, q, ref).Add(estimate).Sub(now)
}

// reserveOrPreempt reserves the capacity that is expected to be free soonest for an urgent
// unit, or preempts runs if that pays. It returns false if no capacity was found.
func (d *Director) reserveOrPreempt(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) bool {
	c := d.preemptionCase(u)
	due := (c.Waited >= c.Patience || c.GuaranteeDue()) && !d.justElected(now)
	decided := d.reservations[u.name()].reason != "" && !c.GuaranteeDue()
	if (!due || decided) && d.reuseReservation(now, u, hosts, demand) {
		return true
	}
	if d.searchedInVain(now, u) {
		d.lendAll(u)
		return false
	}
	r := d.reservations[u.name()]
	r.at, r.reason = now, ""
	freeIn, places, ok := d.earliest(now, u, hosts, demand, &r)
	c.FreeIn, c.Known = freeIn, ok
	c.MostlyIdle = mostlyIdle(hosts)
	r.expect(now, freeIn)
	if due {
		preempt, reason := c.Decide()
		if preempt && d.tryPreempt(now, u, hosts, demand, c, reason) {
			return true
		}
		d.noteNoPreemption(u, c, reason, preempt)
		r.reason = reason
	}
	if !ok {
		d.reservations[u.name()] = r
		d.lendAll(u)
		return false
	}
	d.addReservation(r, u, hosts, places, demand)
	return true
}

// mostlyIdle reports whether more than half of the hosts' capacity is free.
func mostlyIdle(hosts []berylfit.Host) bool {
	free, total := freeShare(hosts)
	return 2*free > total
}

// preemptionCase returns what is known of an urgent unit for the decision whether to
// preempt runs for it, except for the time at which capacity comes free.
func (d *Director) preemptionCase(u *unit) berylpreemption.Case {
	return berylpreemption.Case{
		Waited:         u.waited,
		Patience:       d.preemptAfter(u),
		Slack:          u.latestStart.Sub(d.now),
		Uncertainty:    u.uncertainty(),
		Guaranteed:     d.guaranteed(u),
		GuaranteeWait:  d.Limits.guaranteeWait(),
		PreemptionTime: d.Limits.preemptionTime(),
	}
}

// noteNoPreemption logs why nothing is preempted for an urgent unit, once for each reason.
func (d *Director) noteNoPreemption(u *unit, c berylpreemption.Case, reason string, wanted bool) {
	if wanted {
		reason = "no victims"
	}
	if d.reservations[u.name()].reason == reason {
		return
	}
	d.note("preemption refused", "unit", u.name(), "reason", reason, "waited", c.Waited.Milliseconds(), "slack", c.Slack.Milliseconds(),
		"freeIn", c.FreeIn.Milliseconds(), "known", c.Known, "guaranteed", c.Guaranteed)
}

// tryPreempt preempts the runs with the least loss that make enough capacity free for an
// urgent unit. It returns false if there are none.
func (d *Director) tryPreempt(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand, c berylpreemption.Case, reason string) bool {
	if d.victims == nil {
		d.victims = d.findVictims(now, false)
	}
	for i := range hosts {
		hosts[i].Victims = d.victims[hosts[i].Node]
	}
	units, places, ok := demand.Evict(hosts)
	if !ok && c.Guaranteed {
		protected := d.findVictims(now, true)
		reclaimable := d.findReclaimable(now, u.job.Work.Account)
		for i := range hosts {
			node := hosts[i].Node
			hosts[i].Victims = slices.Concat(hosts[i].Victims, protected[node], reclaimable[node])
		}
		units, places, ok = demand.Evict(hosts)
	}
	if !ok {
		return false
	}
	d.note("preemption granted", "unit", u.name(), "reason", reason, "victims", len(units), "waited", c.Waited.Milliseconds(),
		"slack", c.Slack.Milliseconds(), "freeIn", c.FreeIn.Milliseconds(), "known", c.Known, "guaranteed", c.Guaranteed)
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
	slack := time.Duration(float64(latest.Sub(u.startableAt))*_slackShare) - d.Limits.preemptionTime()
	if d.guaranteed(u) {
		slack = min(slack, d.Limits.guaranteeWait())
	}
	return max(slack, 0)
}

// rackWait returns how long a gang waits for one rack with enough capacity. A gang
// that is spread over racks runs longer by the spread factor, so that waiting for the
// difference pays off. Guaranteed work has to start sooner.
func (d *Director) rackWait(u *unit) time.Duration {
	if u.queue.Priority == 0 && d.guaranteed(u) {
		return _minRackWait
	}
	extra := time.Duration((d.Limits.SpreadFactor - 1) * float64(u.stepSpec().Estimate) * float64(time.Millisecond))
	return min(max(extra, _minRackWait), _maxRackWait)
}

// guaranteed reports whether all urgent jobs of the unit's client account together
// fit into its guarantee.
func (d *Director) guaranteed(u *unit) bool { return d.withinGuarantee(u.job.Work.Account) }

// withinGuarantee reports whether all urgent jobs of a client account together fit into its
// guarantee.
func (d *Director) withinGuarantee(account string) bool {
	limit := d.Policy.Guaranteed(account)
	if limit == 0 {
		return false
	}
	if d.urgentNeed == nil {
		d.urgentNeed = d.findUrgentNeed()
	}
	return d.urgentNeed[account] <= limit
}

// findUrgentNeed returns how many accelerators the urgent jobs of each client account need.
func (d *Director) findUrgentNeed() map[string]int {
	need := map[string]int{}
	for _, j := range d.liveJobs() {
		q, ok := d.queueOf(j.Work)
		if !ok || q.Priority != 0 || j.State.Final() || j.CancelledAt != 0 {
			continue
		}
		need[j.Work.Account] += j.Work.PeakAccelerators()
	}
	return need
}

// preempt stops the units and adds their resources to those being released.
func (d *Director) preempt(u *unit, hosts []berylfit.Host, units []string) {
	for _, name := range units {
		discarded := d.notePreempted(name)
		d.note("preempt", "unit", name, "for", u.name(), "waited", u.waited.Milliseconds(), "discarded", round(discarded))
		d.cooldown.Add(d.now, name)
		d.stopUnit(name)
		for i := range hosts {
			for _, v := range hosts[i].Victims {
				if v.Unit == name {
					hosts[i].Releasing = hosts[i].Releasing.Add(v.Resources)
				}
			}
			node := hosts[i].Node
			if d.victims[node] == nil {
				continue
			}
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
	for _, t := range tasks {
		t.Stop()
	}
	d.markDirty(j.Work.ID)
}
