// Package berylfit chooses backend servers for the tasks of a step. A step is a part of
// a job: a number of equal tasks, which can be a gang.
//
// [Demand.Place] uses capacity that is free now. [Demand.Evict] chooses running work to
// preempt among the victims that the caller lists for each host. For urgent gangs that
// arrive while routine work occupies every accelerator, these are runs of queues with a
// less urgent priority.
package berylfit

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"berylglade/berylbreaker"
	"berylglade/berylroom"
)

// Host is a backend server as a candidate for tasks.
type Host struct {
	Node   string
	Zone   string
	Rack   string
	Labels []string
	Total  berylroom.Resources
	// Free is capacity that is neither in use nor reserved for pending tasks.
	Free berylroom.Resources
	// Releasing is capacity of runs that are being stopped.
	Releasing berylroom.Resources
	// Victims are the runs that may be preempted.
	Victims []Victim
	// FaultScore is higher for hosts that are slow or where tasks have failed; zero
	// for a healthy host.
	FaultScore float64
	// Speed is the speed of the host relative to the usual one; zero if it is unknown.
	Speed float64
	// Breaker is the state of its circuit breaker.
	Breaker berylbreaker.State
}

// Victim is the part on one host of a unit that can be preempted: a task, or
// the tasks of one gang.
type Victim struct {
	// Unit is the same on all hosts that run tasks of the unit.
	Unit      string
	Resources berylroom.Resources
	// Loss is the cost of stopping the whole unit: the work that preemption
	// discards, in core-seconds. [Demand.Earliest] takes the time until the unit
	// ends, in seconds, instead.
	Loss float64
}

// Demand describes Count tasks to be placed.
type Demand struct {
	Count     int
	Resources berylroom.Resources
	// Label must be among the host's labels; empty for any.
	Label string
	// Rack is where the tasks run fastest; empty for any.
	Rack string
	// OneRack requests that all tasks run in one rack.
	OneRack bool
	// Spread permits several racks although OneRack is set.
	Spread bool
	// MaxPerHost limits the tasks of the step on one host; zero means no limit.
	MaxPerHost int
	// Present is the number of tasks of the step that a host already runs.
	Present map[string]int
	// Avoid contains hosts that are tried last, because a run of these tasks
	// failed there.
	Avoid map[string]bool
	// Exclude means that the hosts to avoid are not tried at all.
	Exclude bool
	// MayProbe permits a task on a host whose breaker is half open, and NoChoice any number
	// on each host whatever its breaker.
	MayProbe, NoChoice bool
	// Prefer chooses among hosts of different speeds.
	Prefer SpeedPreference
	// Together means that the tasks end with the slowest of them.
	Together bool
}

// Eligible reports whether the host has the required label and is not excluded.
func (d *Demand) Eligible(h *Host) bool {
	if d.Exclude && d.Avoid[h.Node] || !d.admitted(h) {
		return false
	}
	return d.Label == "" || slices.Contains(h.Labels, d.Label)
}

// admitted reports whether the breaker of the host permits a task.
func (d *Demand) admitted(h *Host) bool {
	return h.Breaker == berylbreaker.Closed || d.NoChoice || d.MayProbe && h.Breaker == berylbreaker.HalfOpen
}

// count returns how many of the tasks fit on h, given its available capacity.
func (d *Demand) count(h *Host, capacity berylroom.Resources) int {
	if !d.Eligible(h) {
		return 0
	}
	limit := d.Count
	if h.Breaker == berylbreaker.HalfOpen && !d.NoChoice {
		limit = 1
	}
	if d.MaxPerHost > 0 {
		limit = min(limit, d.MaxPerHost-d.Present[h.Node])
	}
	return d.Resources.Count(capacity, limit)
}

// Place returns the index of a host for each task. It returns false if the
// tasks do not fit into the free capacity.
func (d *Demand) Place(hosts []Host) ([]int, bool) {
	return d.search(hosts, func(h *Host) berylroom.Resources { return h.Free })
}

// PlaceAfterStops is like Place, but also uses the capacity of runs that are
// being stopped.
func (d *Demand) PlaceAfterStops(hosts []Host) ([]int, bool) {
	return d.search(hosts, func(h *Host) berylroom.Resources { return h.Free.Add(h.Releasing) })
}

// FitsOneRack reports whether the tasks would fit if nothing else ran: into one rack, if
// they need one.
func (d *Demand) FitsOneRack(hosts []Host) bool {
	one := *d
	one.Spread = false
	_, ok := one.search(hosts, func(h *Host) berylroom.Resources { return h.Total })
	return ok
}

type resourcesFunc func(h *Host) berylroom.Resources

// search tries healthy hosts first when the tasks need one rack: otherwise a
// gang that failed because of one host could return to the same rack while
// another rack has free capacity.
func (d *Demand) search(hosts []Host, capacity resourcesFunc) ([]int, bool) {
	if places, ok := d.searchEqual(hosts, capacity); ok {
		return places, true
	}
	if d.OneRack && d.Count > 1 {
		trusted := d.trusted(hosts)
		places, ok := d.inOneRack(hosts, trusted, capacity)
		if !ok && len(trusted) < len(hosts) {
			places, ok = d.inOneRack(hosts, allIndexes(hosts), capacity)
		}
		if ok {
			return places, true
		}
		if !d.Spread {
			return nil, false
		}
	}
	return d.pack(hosts, allIndexes(hosts), capacity)
}

func allIndexes(hosts []Host) []int {
	list := make([]int, len(hosts))
	for i := range hosts {
		list[i] = i
	}
	return list
}

// trusted returns the hosts with a fault score of zero on which these tasks have
// not failed.
func (d *Demand) trusted(hosts []Host) []int {
	var list []int
	for i := range hosts {
		if hosts[i].FaultScore == 0 && !d.Avoid[hosts[i].Node] {
			list = append(list, i)
		}
	}
	return list
}

// inOneRack tries the rack of the data first, then the racks with the least
// available capacity, so that whole racks stay free for larger gangs.
func (d *Demand) inOneRack(hosts []Host, among []int, capacity resourcesFunc) ([]int, bool) {
	racks := map[string][]int{}
	for _, i := range among {
		racks[hosts[i].Rack] = append(racks[hosts[i].Rack], i)
	}
	available := rackShares(hosts, among, capacity)
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			-cmp.Compare(boolToInt(a == d.Rack && d.Rack != ""), boolToInt(b == d.Rack && d.Rack != "")),
			cmp.Compare(available[a], available[b]),
			cmp.Compare(a, b),
		)
	})
	for _, name := range names {
		if places, ok := d.pack(hosts, racks[name], capacity); ok {
			return places, true
		}
	}
	return nil, false
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Evict returns the units to preempt so that the tasks fit, with the least loss
// found, and a host for each task. It returns false if no choice of units frees
// enough capacity.
func (d *Demand) Evict(hosts []Host) (units []string, places []int, ok bool) {
	best := math.Inf(1)
	for _, among := range d.groups(hosts) {
		chosen, totalLoss, fits := d.evictAmong(hosts, among)
		if fits && totalLoss < best {
			units, best, ok = chosen, totalLoss, true
		}
	}
	if !ok {
		return nil, nil, false
	}
	places, ok = d.placeWithout(hosts, units)
	return units, places, ok
}

// Earliest returns the time in seconds after which the tasks are expected to fit, and a
// host for each task then. The Loss of each victim is the time until it ends. It returns
// false if they don't fit when all victims have ended.
func (d *Demand) Earliest(hosts []Host) (after float64, places []int, ok bool) {
	after = math.Inf(1)
	var ended []string
	for _, among := range d.groups(hosts) {
		subset, ends, order := d.unitsByLoss(hosts, among)
		n := d.shortestPrefix(subset, order)
		if n < len(order) && ends[order[n]] < after {
			after, ended, ok = ends[order[n]], order[:n+1], true
		}
	}
	if !ok {
		return 0, nil, false
	}
	places, ok = d.placeWithout(hosts, ended)
	return after, places, ok
}

// groups returns the sets of hosts that may take all tasks: each host for a
// single task, each rack for tasks that need one rack, otherwise all hosts.
func (d *Demand) groups(hosts []Host) [][]int {
	if d.Count == 1 {
		single := make([][]int, len(hosts))
		for i := range hosts {
			single[i] = []int{i}
		}
		return single
	}
	if !d.OneRack || d.Spread {
		return [][]int{allIndexes(hosts)}
	}
	racks := map[string][]int{}
	var names []string
	for i := range hosts {
		if racks[hosts[i].Rack] == nil {
			names = append(names, hosts[i].Rack)
		}
		racks[hosts[i].Rack] = append(racks[hosts[i].Rack], i)
	}
	list := make([][]int, 0, len(names))
	for _, name := range names {
		list = append(list, racks[name])
	}
	return list
}

// evictAmong chooses units on the given hosts only.
func (d *Demand) evictAmong(hosts []Host, among []int) (units []string, totalLoss float64, ok bool) {
	subset, loss, order := d.unitsByLoss(hosts, among)
	n := d.shortestPrefix(subset, order)
	if n == len(order) {
		return nil, 0, false
	}
	units = d.prune(subset, order[:n+1])
	for _, u := range units {
		totalLoss += loss[u]
	}
	return units, totalLoss, true
}

// unitsByLoss returns the given hosts, and the units that may be preempted there with
// their losses, the least first.
func (d *Demand) unitsByLoss(hosts []Host, among []int) (subset []Host, loss map[string]float64, order []string) {
	loss = map[string]float64{}
	subset = make([]Host, 0, len(among))
	for _, i := range among {
		subset = append(subset, hosts[i])
		if !d.Eligible(&hosts[i]) {
			continue
		}
		for _, v := range hosts[i].Victims {
			loss[v.Unit] = max(loss[v.Unit], v.Loss)
		}
	}
	order = make([]string, 0, len(loss))
	for u := range loss {
		order = append(order, u)
	}
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(loss[a], loss[b]), cmp.Compare(a, b))
	})
	return subset, loss, order
}

// shortestPrefix returns the index of the last unit of the shortest prefix of order without
// which the tasks fit; len(order) if they don't fit without all. More capacity never makes
// the tasks fit worse, so that a binary search finds it.
func (d *Demand) shortestPrefix(hosts []Host, order []string) int {
	return sort.Search(len(order), func(i int) bool {
		_, fits := d.placeWithout(hosts, order[:i+1])
		return fits
	})
}

// placeWithout places the tasks as if the units and the runs that are being stopped
// had ended.
func (d *Demand) placeWithout(hosts []Host, units []string) ([]int, bool) {
	stopped := make(map[string]bool, len(units))
	for _, u := range units {
		stopped[u] = true
	}
	trial := slices.Clone(hosts)
	for i := range trial {
		trial[i].Free = trial[i].Free.Add(trial[i].Releasing)
		for _, v := range trial[i].Victims {
			if stopped[v.Unit] {
				trial[i].Free = trial[i].Free.Add(v.Resources)
			}
		}
	}
	return d.Place(trial)
}

// prune removes units that are not needed, those with the highest loss first.
func (d *Demand) prune(hosts []Host, chosen []string) []string {
	for i := len(chosen) - 1; i >= 0; i-- {
		fewer := slices.Delete(slices.Clone(chosen), i, i+1)
		if _, ok := d.placeWithout(hosts, fewer); ok {
			chosen = fewer
		}
	}
	return chosen
}
