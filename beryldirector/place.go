package beryldirector

import (
	"cmp"
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylwork"
)

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
	known := map[string][]berylfit.Host{}
	full := map[stepOf]bool{}
	d.reserved = 0
	d.victim, d.ending = nil, nil
	for i := range units {
		u := &units[i]
		step := stepOf{u.job, u.occurrence, u.step}
		if full[step] {
			continue
		}
		service := u.queue.Service
		if _, ok := hosts[service]; !ok {
			hosts[service] = d.hosts(now, service)
			known[service] = d.known(now, service)
		}
		full[step] = !d.placeUnit(now, u, hosts[service], known[service])
	}
}

// stepOf names a step. When one of its tasks does not fit, neither do the others.
type stepOf struct {
	job              *berylbook.Job
	occurrence, step int
}

// hosts returns the backend servers of a service that may get work.
func (d *Director) hosts(now time.Time, service string) []berylfit.Host {
	held, coming := d.used()
	var hosts []berylfit.Host
	for node, m := range d.members {
		r := m.last
		if r.Service != service || r.Incarnation.Instance == "" || r.Draining || r.Unresponsive || r.LeaseExpired || !r.Listed {
			continue
		}
		if d.Policy.OutOfService[r.Zone] || now.Sub(m.heard) > _quiet || len(m.unknown) > 0 || now.Sub(m.refused) < _afterRefusal {
			continue
		}
		hosts = append(hosts, berylfit.Host{
			Node: node, Zone: r.Zone, Rack: m.rack, Labels: r.Labels, Total: r.Capacity,
			Free:      r.Capacity.Sub(held[node]),
			Releasing: coming[node],
			Suspicion: d.doubt(now, m),
		})
	}
	slices.SortFunc(hosts, func(a, b berylfit.Host) int { return cmp.Compare(a.Node, b.Node) })
	return hosts
}

// known returns the backend servers of a service that take work now or are likely
// to take some again soon, with their whole room.
func (d *Director) known(now time.Time, service string) []berylfit.Host {
	var hosts []berylfit.Host
	for node, m := range d.members {
		r := m.last
		if r.Service != service || r.Draining || d.Policy.OutOfService[r.Zone] || now.Sub(m.heard) > _rackPatienceMost {
			continue
		}
		hosts = append(hosts, berylfit.Host{Node: node, Rack: m.rack, Labels: r.Labels, Total: r.Capacity})
	}
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

// placeUnit starts a unit, or keeps room for it. It returns false if there is no
// room to be had.
func (d *Director) placeUnit(now time.Time, u *unit, hosts, known []berylfit.Host) bool {
	demand := demandOf(u.job, u.occurrence, u.step, len(u.tasks))
	demand.Avoid = d.blamed[u.name()]
	demand.Spread = u.waiting > d.rackPatience(u) || (!d.settling(now) && !demand.FitsOneRack(known))
	if places, ok := demand.Place(hosts); ok {
		d.start(now, u, hosts, places)
		return true
	}
	if places, ok := demand.PlaceAfterStops(hosts); ok {
		take(hosts, places, &demand)
		return true
	}
	if u.queue.Priority != 0 {
		d.reserve(now, u, hosts, &demand)
		return false
	}
	return d.makeRoom(now, u, hosts, &demand)
}

// settling reports whether the lead is so new that agents may not have reported
// yet. What they have room for is not known, so nothing is stopped to make room
// and no gang is spread for want of a rack.
func (d *Director) settling(now time.Time) bool { return now.Sub(d.leadAt) < _settle }

// take keeps room that a unit waits for from the units after it.
func take(hosts []berylfit.Host, places []int, demand *berylfit.Demand) {
	for _, i := range places {
		hosts[i].Free = hosts[i].Free.Sub(demand.Resources)
	}
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
	room := u.spec().Resources()
	for n, i := range u.tasks {
		h := &hosts[places[n]]
		t := &tasks[i]
		t.Run = run
		t.Phase = berylbook.Ordered
		t.Incarnation = d.members[h.Node].last.Incarnation
		t.OrderedAt = now.UnixMilli()
		h.Free = h.Free.Sub(room)
		d.ordered[orderKey{berylwork.Ref{Job: u.job.Work.ID, Occurrence: u.occurrence, Step: u.step, Index: i}, run}] = now
		nodes = append(nodes, h.Node)
	}
	d.mark(u.job.Work.ID)
	d.note("start", "unit", u.name(), "run", run, "queue", u.queue.Name, "priority", u.queue.Priority,
		"waited", u.waiting.Milliseconds(), "nodes", nodes, "saved", tasks[u.tasks[0]].Checkpoint != "", "policy", d.Policy.Version)
}

const (
	// _quiet is how long an agent may be silent and still get work.
	_quiet = 1500 * time.Millisecond
	// _settle is how long the agents take to report to a new leader that has
	// announced itself.
	_settle = 500 * time.Millisecond
	// _reserveAfter is how long a unit waits before room is kept for it, and
	// _reserveFrom how many accelerators it must need: fewer come free at once
	// often enough.
	_reserveAfter = time.Second
	_reserveFrom  = 2
	// _promise covers the stop of runs, 400 ms at most, and the report of it.
	_promise = time.Second
	// _reservations bounds the units for which room is kept at a time; what they
	// hold back stands idle.
	_reservations = 3
	// _searchEvery is how long chosen room is kept before it is searched again.
	_searchEvery = 300 * time.Millisecond
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
	// _slackTrust is the share of a job's slack by its declared times that is
	// counted on: those are up to half too long.
	_slackTrust = 0.7
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
	// _doubtMatters is one failed run of work that has not failed elsewhere.
	_doubtMatters = 1.0
	// _doubtSlow comes with a run that stands still or crawls.
	_doubtSlow = 2.0
	// _doubtFades is after how long a host in doubt is tried again.
	_doubtFades = 8 * time.Second
)
