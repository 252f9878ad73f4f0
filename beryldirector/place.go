package beryldirector

import (
	"cmp"
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylbreaker"
	"berylglade/berylfit"
	"berylglade/berylreport"
	"berylglade/berylroom"
	"berylglade/berylwork"
)

// place starts the units that are ready and for which there is capacity, the most
// urgent first.
func (d *Director) place(now time.Time) {
	if d.Policy == nil || (d.appending && now.Sub(d.appendedAt) > _maxAppendTime) {
		return
	}
	d.urgentNeed = nil
	d.beginPass()
	groups := d.pendingUnits(now)
	if len(groups) == 0 {
		clear(d.idleSince)
		return
	}
	hosts := map[string][]berylfit.Host{}
	known := map[string][]berylfit.Host{}
	idle := map[string]bool{}
	full := map[stepKey]bool{}
	d.victims = nil
	clear(d.spare)
	clear(d.noChoice)
	clear(d.pendingUrgent)
	open := d.openJobs()
	for _, units := range groups {
		for i := range units {
			u := &units[i]
			step := stepKey{u.job, u.occurrence, u.step}
			if full[step] || !open.allows(u.job) {
				break
			}
			service := u.queue.Service
			if _, ok := hosts[service]; !ok {
				hosts[service] = d.hosts(now, service)
				known[service] = d.knownHosts(now, service)
				idle[service] = mostlyIdle(hosts[service])
			}
			full[step] = !d.placeUnit(now, u, hosts[service], known[service])
			open.note(u.job)
		}
	}
	d.noteIdle(now, idle)
}

// stepKey identifies a step. When one of its tasks does not fit, neither do the
// others.
type stepKey struct {
	job              *berylbook.Job
	occurrence, step int
}

// hosts returns the backend servers of a service on which tasks may be started,
// ordered by node.
func (d *Director) hosts(now time.Time, service string) []berylfit.Host {
	used, releasing := d.usedResources(now)
	var hosts []berylfit.Host
	for node, a := range d.agents {
		r := a.report
		if r.Service != service || r.Incarnation.Instance == "" || r.Draining || r.Unresponsive || r.LeaseExpired || !r.Listed {
			continue
		}
		if d.Policy.OutOfService[r.Zone] || now.Sub(a.reportedAt) > _maxReportAge || len(a.unknown) > 0 || now.Sub(a.refusedAt) < _refusalBackoff {
			continue
		}
		if now.Sub(a.contactAt) > d.Limits.LeaderTimeout {
			// The agent reports, but without the leader lease an answer is no contact.
			continue
		}
		total := hostCapacity(r)
		hosts = append(hosts, berylfit.Host{
			Node: node, Zone: r.Zone, Rack: a.rack, Labels: r.Labels, Total: total,
			Free:       total.Sub(used[node]),
			Releasing:  releasing[node],
			FaultScore: d.faultScore(now, a),
			Speed:      d.speeds.Speed(now, node),
			Breaker:    d.breakers.State(now, node),
		})
	}
	slices.SortFunc(hosts, func(a, b berylfit.Host) int { return cmp.Compare(a.Node, b.Node) })
	return hosts
}

// hostCapacity returns the capacity of a backend server, with the number of its tasks.
func hostCapacity(r berylreport.Report) berylroom.Resources {
	total := r.Capacity
	total.Tasks = _maxHostTasks
	return total
}

// taskResources returns what a task of the step takes of the capacity of a backend server.
func taskResources(step *berylwork.Step) berylroom.Resources {
	r := step.Resources()
	r.Tasks = 1
	return r
}

// knownHosts returns the backend servers of a service that accept tasks or are
// likely to accept them again soon, with their total capacity.
func (d *Director) knownHosts(now time.Time, service string) []berylfit.Host {
	var hosts []berylfit.Host
	for node, a := range d.agents {
		r := a.report
		if r.Service != service || r.Draining || d.Policy.OutOfService[r.Zone] || now.Sub(a.reportedAt) > _maxRackWait {
			continue
		}
		h := berylfit.Host{Node: node, Rack: a.rack, Labels: r.Labels, Total: hostCapacity(r)}
		if d.breakers.State(now, node) != berylbreaker.Closed {
			h.Breaker = berylbreaker.Open
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// faultScore returns how unreliable a backend server is, from zero. The score
// expires, so that a host that has recovered is tried again.
func (d *Director) faultScore(now time.Time, a *agentState) float64 {
	if a.slow {
		return _slowPenalty + a.faultScore
	}
	if a.faultScore < _minFaultScore || now.Sub(a.faultAt) > _faultTTL {
		return 0
	}
	return a.faultScore
}

// placeUnit starts a unit, or reserves capacity for it. It returns false if no
// further tasks of the unit's step need be tried in this pass.
func (d *Director) placeUnit(now time.Time, u *unit, hosts, known []berylfit.Host) bool {
	if d.mayPostpone(u) && d.cooldown.Pausing(now, u.name()) {
		return true
	}
	demand := demandOf(u.job, u.occurrence, u.step, len(u.tasks))
	demand.Prefer = preferredSpeed(now, u, hosts)
	demand.MayProbe = d.mayProbe(u)
	demand.NoChoice = d.hasNoChoice(u, &demand, known)
	demand.Avoid = d.failedOn[u.name()]
	demand.Exclude = len(demand.Avoid) > 0 && u.waited < _maxAvoidWait
	if demand.Exclude && !demand.FitsOneRack(known) {
		demand.Exclude = false
	}
	if demand.OneRack && demand.Count > 1 {
		demand.Spread = u.waited > d.rackWait(u) || (!d.justElected(now) && !demand.FitsOneRack(known))
	}
	if places, ok := demand.Place(hosts); ok {
		if d.postpones(now, u, hosts) {
			return false
		}
		d.start(now, u, hosts, places)
		d.noteBorrowed(u, nil)
		return true
	}
	if u.queue.Priority == 0 {
		d.pendingUrgent[u.queue.Service] += u.share(d.hostSize(u.queue.Service))
	}
	if places, ok := demand.PlaceAfterStops(hosts); ok {
		deductResources(hosts, places, &demand)
		return true
	}
	if d.reclaim(now, u, hosts, &demand) {
		return true
	}
	if places, lenders, ok := d.borrow(now, u, hosts, &demand); ok {
		if d.postponesBorrowing(now, u, hosts) {
			return false
		}
		d.startBorrowing(now, u, hosts, places, lenders)
		return true
	}
	// The other tasks of the step may run on the hosts that are excluded for this one.
	others := demand.Exclude || !demand.MayProbe && !d.breakers.AllClosed()
	if u.queue.Priority != 0 {
		d.reserve(now, u, hosts, &demand)
		return others
	}
	return d.reserveOrPreempt(now, u, hosts, &demand) || others
}

// mayPostpone reports whether the unit can still be on time if it starts as much later as
// it runs. It may then leave capacity to urgent work.
func (d *Director) mayPostpone(u *unit) bool {
	if u.queue.Priority == 0 || u.stepSpec().LongRunning {
		return false
	}
	return u.latestStart.Sub(d.now) > d.declaredRunTime(u.job, u.step)
}

// justElected reports whether agents may not have reported to this leader yet.
// Their free capacity is unknown, so nothing is preempted and no gang is spread over
// racks for lack of capacity in one rack.
func (d *Director) justElected(now time.Time) bool { return now.Sub(d.electedAt) < _reportWindow }

// deductResources reduces the free capacity of the hosts at places, so that later
// units in the placement pass do not get it.
func deductResources(hosts []berylfit.Host, places []int, demand *berylfit.Demand) {
	for _, i := range places {
		hosts[i].Free = hosts[i].Free.Sub(demand.Resources)
	}
}

// start records a new run of each task of the unit.
func (d *Director) start(now time.Time, u *unit, hosts []berylfit.Host, places []int) {
	tasks := u.job.Step(u.occurrence, u.step)
	run := 0
	for _, i := range u.tasks {
		run = max(run, tasks.Get(i).Run)
	}
	run++
	nodes := make([]string, 0, len(places))
	resources := taskResources(u.stepSpec())
	for n, i := range u.tasks {
		h := &hosts[places[n]]
		ref := berylwork.Ref{Job: u.job.Work.ID, Occurrence: u.occurrence, Step: u.step, Index: i}
		t := tasks.At(i)
		t.Run = run
		t.Phase = berylbook.Ordered
		t.Incarnation = d.agents[h.Node].report.Incarnation
		t.OrderedAt = now.UnixMilli()
		h.Free = h.Free.Sub(resources)
		if h.Breaker == berylbreaker.HalfOpen {
			h.Free = berylroom.Resources{}
			d.breakers.Probe(now, h.Node)
			d.note("probe", "task", ref.String(), "run", run, "node", h.Node)
		}
		d.orderedAt[runKey{ref, run}] = now
		d.currentIndex().add(u.job, ref, t)
		nodes = append(nodes, h.Node)
	}
	d.markDirty(u.job.Work.ID)
	x := d.expect(u.job.Work, u.step)
	d.note("start", "unit", u.name(), "run", run, "queue", u.queue.Name, "priority", u.queue.Priority,
		"waited", u.waited.Milliseconds(), "slack", u.latestStart.Sub(now).Milliseconds(), "nodes", nodes,
		"speed", round(placesSpeed(hosts, places)), "saved", tasks.Get(u.tasks[0]).Checkpoint != "", "policy", d.Policy.Version,
		"expect", x.Median.Milliseconds(), "from", x.From, "declared", u.stepSpec().Estimate)
}

const (
	// _maxHostTasks is the number of tasks that one backend server runs at most. Its agent
	// lists them several times a second, on a quarter of a core.
	_maxHostTasks = 2048
	// _maxReportAge is the age of an agent's last report above which no task is
	// started on its backend server.
	_maxReportAge = 1500 * time.Millisecond
	// _reportWindow is how long the agents take to report to a new leader after
	// its announcement.
	_reportWindow = 500 * time.Millisecond
	// _maxAvoidWait is how long a unit waits for a host on which it has not failed. A
	// host that fails all its runs at once always has capacity, and would use up all
	// attempts of a job within a second.
	_maxAvoidWait = 6 * time.Second
	// _refusalBackoff is how long no task is started on a backend server after it
	// refused a start, because it has less capacity than the Book shows.
	_refusalBackoff = 400 * time.Millisecond
	// _maxAppendTime is how long an append may take before placement stops: a
	// decision would be stale by the time its start can be sent.
	_maxAppendTime = 700 * time.Millisecond
	// _minRackWait and _maxRackWait bound how long a gang waits for one rack with
	// enough capacity.
	_minRackWait = 2 * time.Second
	_maxRackWait = 8 * time.Second
	// _slackShare is the share of a job's slack by its declared times for which an urgent
	// unit waits for capacity: its tasks may take a third longer than declared, and as
	// much longer again on a slow backend server.
	_slackShare = 0.35
	// _pathUncertainty is the share of a job's longest chain by which its slack may be
	// too small: the due time grows with the chain, and declared times of urgent work
	// are some 20 % off.
	_pathUncertainty = 0.1
	// _lateFactor is the time, as a multiple of the time until a job is due, after which
	// its result is of no use to the client.
	_lateFactor = 3
	// _waveDivisor is the capacity divided by the width of one wave of a step.
	_waveDivisor = 4
	// _coresPerAccelerator is the users' price of an accelerator in CPU cores.
	_coresPerAccelerator = 8.0
	// _minFaultScore is the score from which a host is avoided: one failed run of
	// a unit that has not failed elsewhere.
	_minFaultScore = 1.0
	// _slowPenalty is added to the score while a run on the host is stalled or
	// slow.
	_slowPenalty = 2.0
	// _faultTTL is how long a fault score is in effect after its last increase.
	_faultTTL = 8 * time.Second
)
