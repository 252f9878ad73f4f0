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
// enough at once.
func (d *Director) reserve(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) {
	if d.reservedUnits >= _maxReservations || u.waited < _reserveAfter || demand.Count*demand.Resources.Accelerators < _reserveMinAccelerators {
		return
	}
	d.reservedUnits++
	if d.reuseReservation(now, u, hosts, demand) || d.searchedInVain(now, u) {
		return
	}
	later := slices.Clone(hosts)
	for i := range later {
		later[i].Victims = d.currentEndingRuns(now)[later[i].Node]
	}
	_, places, ok := demand.Earliest(later)
	if !ok {
		d.reservations[u.name()] = reservation{at: now}
		return
	}
	d.addReservation(reservation{at: now}, u, hosts, places, demand)
}

// reservation is the capacity that is reserved for a unit.
type reservation struct {
	at time.Time
	// reason is why nothing was preempted for an urgent unit; empty if that was not due.
	reason string
	// nodes is empty if no capacity was found.
	nodes []string
}

// searchedInVain reports whether a recent search found no capacity for the unit.
func (d *Director) searchedInVain(now time.Time, u *unit) bool {
	r, ok := d.reservations[u.name()]
	return ok && len(r.nodes) == 0 && now.Sub(r.at) <= _searchInterval
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

// findEndingRuns returns all running units by node. The loss of each is the time until its
// end in seconds: that of its slowest member for a gang, as all members end together.
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
	for _, units := range ending {
		for i := range units {
			units[i].Loss = left[units[i].Unit]
		}
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
