package beryldirector

import (
	"maps"
	"slices"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylreservation"
)

// reserved is what a leader knows of capacity that is reserved and lent.
type reserved struct {
	// reservations has the capacity that is reserved for each unit.
	reservations map[string]reservation
	// reservedUnits counts the units that are not urgent and have a reservation in the
	// current placement pass, and searches the searches for such units.
	reservedUnits, searches int
	// holds is what is reserved on each node, and holding has the services with such
	// nodes, both as of the current placement pass.
	holds   map[string][]hold
	holding map[string]bool
	// blockedUnits has, by service, the units that can't start because of work of which no
	// end is expected, as of the current placement pass.
	blockedUnits map[string][]string
	// idleSince is since when most of a service's capacity has been free in each placement
	// pass and some of it reserved.
	idleSince map[string]time.Time
	// endingRuns has all running units by node. They are found at most once in a placement
	// pass, on first use.
	endingRuns map[string][]berylfit.Victim
	// borrowed has, by unit, the runs on capacity that others wait for.
	borrowed map[string]borrowedRun
	// stops has the runs that are being stopped.
	stops map[*berylbook.Task]stop
	// longRunning is the number of long-running tasks that are not being stopped, as of the
	// last placement pass, and longRunningEndedAt when there was last one less.
	longRunning        int
	longRunningEndedAt time.Time
}

func newReserved() reserved {
	return reserved{
		reservations: map[string]reservation{},
		holds:        map[string][]hold{},
		holding:      map[string]bool{},
		blockedUnits: map[string][]string{},
		idleSince:    map[string]time.Time{},
		borrowed:     map[string]borrowedRun{},
		stops:        map[*berylbook.Task]stop{},
	}
}

// beginPass forgets what was reserved in the last placement pass.
func (r *reserved) beginPass() {
	r.reservedUnits, r.searches = 0, 0
	r.endingRuns = nil
	clear(r.holds)
	clear(r.holding)
	clear(r.blockedUnits)
	maps.DeleteFunc(r.borrowed, func(_ string, b borrowedRun) bool { return b.over() })
}

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
		d.lendAll(u)
		return
	}
	d.searches++
	r := d.reservations[u.name()]
	r.at = now
	freeIn, places, ok := d.earliest(now, u, hosts, demand, &r)
	if !ok {
		r.inVain++
		d.reservations[u.name()] = r
		d.lendAll(u)
		return
	}
	d.reservedUnits++
	r.inVain = 0
	r.expect(now, freeIn)
	d.addReservation(r, u, hosts, places, demand)
}

// earliest searches for the places that are expected to be free soonest for a unit, and
// notes the outcome in r. It returns false if there are none, or if work is in their way of
// which no end is expected.
func (d *Director) earliest(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand, r *reservation) (time.Duration, []int, bool) {
	after, places, ok := demand.Earliest(d.withEndingRuns(now, u, hosts))
	r.nodes = nil
	r.blocked = ok && after >= _never.Seconds()
	if r.blocked && !r.noted {
		r.noted = true
		d.noteBlocked(now, u, hosts)
	}
	return seconds(after), places, ok && !r.blocked
}

// withEndingRuns returns the hosts with the runs that are expected to end as victims. Those
// that have borrowed capacity of the unit end as soon as it needs the capacity.
func (d *Director) withEndingRuns(now time.Time, u *unit, hosts []berylfit.Host) []berylfit.Host {
	later := slices.Clone(hosts)
	ending, borrowers := d.currentEndingRuns(now), d.borrowersOf(now, u)
	for i := range later {
		node := later[i].Node
		later[i].Victims = ending[node]
		if len(borrowers) == 0 {
			continue
		}
		later[i].Victims = slices.DeleteFunc(slices.Clone(ending[node]), func(v berylfit.Victim) bool { return d.borrows(v.Unit, u) })
		for _, v := range borrowers[node] {
			v.Loss = d.Limits.preemptionTime().Seconds()
			later[i].Victims = append(later[i].Victims, v)
		}
	}
	return later
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// reservation is the capacity that is reserved for a unit that waits.
type reservation struct {
	// at is the time of the last search; zero if the next one is due.
	at time.Time
	// since is when capacity was first reserved for the unit, and freeAt when all of it is
	// expected to be free.
	since, freeAt time.Time
	// nearSince is since when freeAt has been near; zero if it is not.
	nearSince time.Time
	// reason is why nothing was preempted for an urgent unit; empty if that was not due.
	reason string
	// nodes is empty if no capacity was found.
	nodes []string
	// blocked is true if the unit would have capacity but for work of which no end is
	// expected.
	blocked bool
	// noted is true once it was logged that the unit is blocked.
	noted bool
	// reclaimAt is the time of the last attempt to stop borrowers.
	reclaimAt time.Time
	// inVain is the number of searches one after the other that found no capacity for a
	// unit that is not urgent.
	inVain int
}

// expect notes that the capacity is expected to be free in freeIn. Once it was near, it is
// near again only after it has been far off.
func (r *reservation) expect(now time.Time, freeIn time.Duration) {
	r.freeAt = now.Add(freeIn)
	switch {
	case freeIn >= _farOff:
		r.nearSince = time.Time{}
	case r.nearSince.IsZero() && berylreservation.Near(now, r.freeAt):
		r.nearSince = now
	}
}

// searchedInVain reports whether a recent search found no capacity for the unit. The time
// between such searches grows until a long-running task ends, so that units for which no
// capacity comes free leave the searches of a placement pass to others.
func (d *Director) searchedInVain(now time.Time, u *unit) bool {
	r, ok := d.reservations[u.name()]
	return ok && len(r.nodes) == 0 && !r.at.Before(d.longRunningEndedAt) && now.Sub(r.at) <= _searchInterval<<min(max(r.inVain-1, 0), _maxSearchDoublings)
}

// addReservation reserves capacity at places for a unit until the next search.
func (d *Director) addReservation(r reservation, u *unit, hosts []berylfit.Host, places []int, demand *berylfit.Demand) {
	r.nodes = make([]string, 0, len(places))
	for _, i := range places {
		r.nodes = append(r.nodes, hosts[i].Node)
	}
	if r.since.IsZero() {
		r.since = d.now
		d.noteReserved(d.now, u, &r, len(places)*demand.Resources.Accelerators)
	}
	d.reservations[u.name()] = r
	d.hold(r, u, hosts, places, demand)
}

// reuseReservation reserves the capacity of the unit's recent reservation again. It
// returns false if there is none that is still valid. A search examines every run
// and is too expensive for every placement pass: an older reservation is valid too if
// this pass has no search left.
func (d *Director) reuseReservation(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) bool {
	r, ok := d.reservations[u.name()]
	if !ok || len(r.nodes) == 0 {
		return false
	}
	recent := now.Sub(r.at) <= _searchInterval || u.queue.Priority != 0 && d.searches >= _maxSearches
	if !recent || len(r.nodes) != demand.Count {
		d.expireReservation(u)
		return false
	}
	places := make([]int, 0, len(r.nodes))
	for _, node := range r.nodes {
		i, found := slices.BinarySearchFunc(hosts, node, func(h berylfit.Host, n string) int { return strings.Compare(h.Node, n) })
		if !found {
			d.expireReservation(u)
			return false
		}
		places = append(places, i)
	}
	d.hold(r, u, hosts, places, demand)
	return true
}

// expireReservation makes the next search for the unit due.
func (d *Director) expireReservation(u *unit) {
	r := d.reservations[u.name()]
	r.at, r.nodes = time.Time{}, nil
	d.reservations[u.name()] = r
}

// findEndingRuns returns all running units by node, and those whose stop is overdue. The loss
// of each is the time until its end in seconds: that of its slowest member for a gang, as all
// members end together. It is at least _never if no end is expected.
func (d *Director) findEndingRuns(now time.Time) map[string][]berylfit.Victim {
	ending := map[string][]berylfit.Victim{}
	left := map[string]float64{}
	d.eachActive(func(s activeTask) {
		if s.task.Phase == berylbook.Stopping && !d.stopOverdue(now, s) {
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
	// _farOff is the time until an expected end from which it counts as a new one when it
	// comes near.
	_farOff = 3 * time.Second
	// _maxSearches bounds the searches for units that are not urgent in a placement pass.
	_maxSearches = 3
)
