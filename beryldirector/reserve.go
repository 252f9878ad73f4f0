package beryldirector

import (
	"slices"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
)

// reserve reserves the capacity that is expected to be free soonest for a gang, or
// for a task that needs much of a host. Otherwise small tasks that are placed after
// it would take each accelerator as it is released, and the gang would never find
// enough at once. Nothing is reserved if no capacity is expected to come free.
func (d *Director) reserve(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) {
	if d.reservedUnits >= _maxReservations || u.waited < _reserveAfter || demand.Count*demand.Resources.Accelerators < _reserveMinAccelerators {
		return
	}
	if d.reuseReservation(now, u, hosts, demand) {
		d.reservedUnits++
		return
	}
	if d.searchedInVain(now, u) || d.searches >= _maxSearches {
		return
	}
	d.searches++
	later := slices.Clone(hosts)
	for i := range later {
		later[i].Victims = d.currentEndingRuns(now)[later[i].Node]
	}
	_, places, ok := demand.Earliest(later)
	if !ok {
		d.reservations[u.name()] = reservation{at: now, inVain: d.reservations[u.name()].inVain + 1}
		return
	}
	d.reservedUnits++
	d.addReservation(reservation{at: now}, u, hosts, places, demand)
}

// reservation is the capacity that is reserved for a unit.
type reservation struct {
	at time.Time
	// reason is why nothing was preempted for an urgent unit; empty if that was not due.
	reason string
	// nodes is empty if no capacity was found.
	nodes []string
	// inVain is the number of searches one after the other that found no capacity for a
	// unit that is not urgent.
	inVain int
}

// searchedInVain reports whether a recent search found no capacity for the unit. The time
// between such searches grows, so that units for which no capacity comes free leave the
// searches of a placement pass to others.
func (d *Director) searchedInVain(now time.Time, u *unit) bool {
	r, ok := d.reservations[u.name()]
	return ok && len(r.nodes) == 0 && now.Sub(r.at) <= _searchInterval<<min(max(r.inVain-1, 0), _maxSearchDoublings)
}

// addReservation reserves capacity at places for a unit until the next search.
func (d *Director) addReservation(r reservation, u *unit, hosts []berylfit.Host, places []int, demand *berylfit.Demand) {
	for _, i := range places {
		r.nodes = append(r.nodes, hosts[i].Node)
	}
	d.reservations[u.name()] = r
	deductResources(hosts, places, demand)
}

// reuseReservation deducts the capacity of the unit's recent reservation. It
// returns false if there is none that is still valid. A search examines every run
// and is too expensive for every placement pass: an older reservation is valid too if
// this pass has no search left.
func (d *Director) reuseReservation(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) bool {
	r, ok := d.reservations[u.name()]
	if ok && len(r.nodes) == 0 {
		return false
	}
	recent := now.Sub(r.at) <= _searchInterval || u.queue.Priority != 0 && d.searches >= _maxSearches
	if !ok || !recent || len(r.nodes) != demand.Count {
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

// findEndingRuns returns the running units that are expected to end by themselves, by node.
// The loss of each is the time until its end in seconds: that of its slowest member for a
// gang, as all members end together. A unit that runs until it is stopped, or of which
// nothing is known, is not among them.
func (d *Director) findEndingRuns(now time.Time) map[string][]berylfit.Victim {
	ending := map[string][]berylfit.Victim{}
	left := map[string]float64{}
	d.eachActive(func(s activeTask) {
		if s.task.Phase == berylbook.Stopping {
			return
		}
		node := s.task.Incarnation.Node
		unit := unitName(s.job, s.ref.Occurrence, s.ref.Step, s.ref.Index)
		ending[node] = append(ending[node], berylfit.Victim{Unit: unit, Resources: taskResources(&s.job.Work.Steps[s.ref.Step])})
		left[unit] = max(left[unit], d.remainingTime(now, s.job, s.ref, s.task).Seconds())
	})
	for node, units := range ending {
		units = slices.DeleteFunc(units, func(v berylfit.Victim) bool { return left[v.Unit] >= _never.Seconds() })
		for i := range units {
			units[i].Loss = left[units[i].Unit]
		}
		ending[node] = units
	}
	return ending
}

// currentEndingRuns returns the running units by node, as of the current placement pass.
func (d *Director) currentEndingRuns(now time.Time) map[string][]berylfit.Victim {
	if d.endingRuns == nil {
		d.endingRuns = d.findEndingRuns(now)
	}
	return d.endingRuns
}

const (
	// _reserveAfter is how long a unit waits before capacity is reserved for it,
	// and _reserveMinAccelerators is the demand from which it is: fewer accelerators
	// are often enough released at the same time.
	_reserveAfter           = time.Second
	_reserveMinAccelerators = 2
	// _maxReservations bounds the units that have a reservation at a time, because
	// reserved capacity is idle.
	_maxReservations = 3
	// _searchInterval is how long a reservation is reused before the next search. It
	// doubles with each search in vain, _maxSearchDoublings times at most.
	_searchInterval     = 300 * time.Millisecond
	_maxSearchDoublings = 4
	// _maxSearches bounds the searches for units that are not urgent in a placement pass.
	_maxSearches = 3
)
