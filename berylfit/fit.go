// Package berylfit chooses backend servers for the tasks of a step.
//
// [Demand.Place] finds room that is free now. [Demand.Evict] finds work of less
// urgent queues whose stop makes room; it answers the load pattern of urgent
// gangs that arrive while routine work holds every accelerator.
package berylfit

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"berylglade/berylroom"
)

// Host is a backend server as a place for tasks.
type Host struct {
	Node   string
	Zone   string
	Rack   string
	Labels []string
	Total  berylroom.Resources
	// Free is what nobody holds and nobody waits for.
	Free berylroom.Resources
	// Releasing is room of runs that are being stopped.
	Releasing berylroom.Resources
	// Victims are the runs that may be stopped for more urgent work.
	Victims []Victim
	// Suspicion is higher the less the host is trusted: it is slow or failed tasks.
	Suspicion float64
}

// Victim is a unit of work that can be stopped: a task, or one gang's tasks on
// this host.
type Victim struct {
	// Unit is the same on all hosts that hold tasks of the unit.
	Unit string
	Resources berylroom.Resources
	// Loss is the work of the whole unit that is thrown away, in core-seconds.
	Loss float64
}

// Demand asks for places of Count tasks.
type Demand struct {
	Count int
	Resources  berylroom.Resources
	// Label must be among the host's labels; empty for any.
	Label string
	// Rack is where the tasks run fastest; empty for any.
	Rack string
	// OneRack asks for places in one rack.
	OneRack bool
	// Spread permits several racks although OneRack is set.
	Spread bool
	// MaxPerHost is the most tasks of the step on one host; zero for no limit.
	MaxPerHost int
	// Present counts the tasks of the step that are on a host already.
	Present map[string]int
	// Avoid has hosts that are tried last: a run of these tasks failed there.
	Avoid map[string]bool
}

// Eligible reports whether the host is a place for these tasks at all.
func (d *Demand) Eligible(h *Host) bool {
	return d.Label == "" || slices.Contains(h.Labels, d.Label)
}

// count returns how many of the tasks fit into room on h.
func (d *Demand) count(h *Host, room berylroom.Resources) int {
	if !d.Eligible(h) {
		return 0
	}
	limit := d.Count
	if d.MaxPerHost > 0 {
		limit = min(limit, d.MaxPerHost-d.Present[h.Node])
	}
	return d.Resources.Count(room, limit)
}

// Place returns the index of a host for each task, or false if they do not fit
// now.
func (d *Demand) Place(hosts []Host) ([]int, bool) {
	return d.search(hosts, func(h *Host) berylroom.Resources { return h.Free })
}

// PlaceAfterStops is like Place, with the room of runs that are being stopped.
func (d *Demand) PlaceAfterStops(hosts []Host) ([]int, bool) {
	return d.search(hosts, func(h *Host) berylroom.Resources { return h.Free.Add(h.Releasing) })
}

// FitsOneRack reports whether the tasks would fit into one rack if nothing else ran.
func (d *Demand) FitsOneRack(hosts []Host) bool {
	one := *d
	one.Spread = false
	_, ok := one.search(hosts, func(h *Host) berylroom.Resources { return h.Total })
	return ok
}

type roomOf func(h *Host) berylroom.Resources

// search prefers hosts that are trusted: a gang that fails with one of its members
// would fail again in the same rack while another rack has room.
func (d *Demand) search(hosts []Host, room roomOf) ([]int, bool) {
	if d.OneRack && d.Count > 1 {
		trusted := d.trusted(hosts)
		places, ok := d.inOneRack(hosts, trusted, room)
		if !ok && len(trusted) < len(hosts) {
			places, ok = d.inOneRack(hosts, all(hosts), room)
		}
		if ok {
			return places, true
		}
		if !d.Spread {
			return nil, false
		}
	}
	return d.fill(hosts, all(hosts), room)
}

func all(hosts []Host) []int {
	list := make([]int, len(hosts))
	for i := range hosts {
		list[i] = i
	}
	return list
}

// trusted returns the hosts without doubt on which these tasks have not failed.
func (d *Demand) trusted(hosts []Host) []int {
	var list []int
	for i := range hosts {
		if hosts[i].Suspicion == 0 && !d.Avoid[hosts[i].Node] {
			list = append(list, i)
		}
	}
	return list
}

// inOneRack tries the rack of the data first, then the racks that keep the least
// room, so that whole racks stay free for larger gangs.
func (d *Demand) inOneRack(hosts []Host, among []int, room roomOf) ([]int, bool) {
	racks := map[string][]int{}
	left := map[string]int{}
	for _, i := range among {
		racks[hosts[i].Rack] = append(racks[hosts[i].Rack], i)
		left[hosts[i].Rack] += room(&hosts[i]).Accelerators
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			-cmp.Compare(b2i(a == d.Rack && d.Rack != ""), b2i(b == d.Rack && d.Rack != "")),
			cmp.Compare(left[a], left[b]),
			cmp.Compare(a, b),
		)
	})
	for _, name := range names {
		if places, ok := d.fill(hosts, racks[name], room); ok {
			return places, true
		}
	}
	return nil, false
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fill puts the tasks on as full hosts as possible, those in the rack of the
// data first and those in doubt last.
func (d *Demand) fill(hosts []Host, among []int, room roomOf) ([]int, bool) {
	order := slices.Clone(among)
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &hosts[a], &hosts[b]
		return cmp.Or(
			cmp.Compare(x.Suspicion, y.Suspicion),
			cmp.Compare(b2i(d.Avoid[x.Node]), b2i(d.Avoid[y.Node])),
			-cmp.Compare(b2i(x.Rack == d.Rack), b2i(y.Rack == d.Rack)),
			cmp.Compare(room(x).Accelerators, room(y).Accelerators),
			cmp.Compare(x.Node, y.Node),
		)
	})
	places := make([]int, 0, d.Count)
	for _, i := range order {
		n := min(d.count(&hosts[i], room(&hosts[i])), d.Count-len(places))
		for range n {
			places = append(places, i)
		}
		if len(places) == d.Count {
			return places, true
		}
	}
	return nil, false
}

// Evict returns the units to stop so that the tasks fit, those whose stop throws
// the least work away, and the places that they leave. It returns false if no
// choice makes enough room.
func (d *Demand) Evict(hosts []Host) (units []string, places []int, ok bool) {
	best := math.Inf(1)
	for _, among := range d.groups(hosts) {
		chosen, lost, fits := d.evictAmong(hosts, among)
		if fits && lost < best {
			units, best, ok = chosen, lost, true
		}
	}
	if !ok {
		return nil, nil, false
	}
	places, ok = d.without(hosts, units)
	return units, places, ok
}

// groups returns the sets of hosts that can take all tasks: each host for a
// single task, each rack for tasks that want one rack, otherwise all hosts.
func (d *Demand) groups(hosts []Host) [][]int {
	if d.Count == 1 {
		single := make([][]int, len(hosts))
		for i := range hosts {
			single[i] = []int{i}
		}
		return single
	}
	if !d.OneRack || d.Spread {
		return [][]int{all(hosts)}
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

// evictAmong finds units on the given hosts only.
func (d *Demand) evictAmong(hosts []Host, among []int) (units []string, lost float64, ok bool) {
	loss := map[string]float64{}
	part := make([]Host, 0, len(among))
	for _, i := range among {
		part = append(part, hosts[i])
		if !d.Eligible(&hosts[i]) {
			continue
		}
		for _, v := range hosts[i].Victims {
			loss[v.Unit] = v.Loss
		}
	}
	order := make([]string, 0, len(loss))
	for u := range loss {
		order = append(order, u)
	}
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(loss[a], loss[b]), cmp.Compare(a, b))
	})
	// More room never makes the tasks fit less, so the shortest list that is
	// enough is found by halving.
	n := sort.Search(len(order), func(i int) bool {
		_, fits := d.without(part, order[:i+1])
		return fits
	})
	if n == len(order) {
		return nil, 0, false
	}
	units = d.prune(part, order[:n+1])
	for _, u := range units {
		lost += loss[u]
	}
	return units, lost, true
}

// without places the tasks as if the units had been stopped.
func (d *Demand) without(hosts []Host, units []string) ([]int, bool) {
	gone := make(map[string]bool, len(units))
	for _, u := range units {
		gone[u] = true
	}
	trial := slices.Clone(hosts)
	for i := range trial {
		trial[i].Free = trial[i].Free.Add(trial[i].Releasing)
		for _, v := range trial[i].Victims {
			if gone[v.Unit] {
				trial[i].Free = trial[i].Free.Add(v.Resources)
			}
		}
	}
	return d.Place(trial)
}

// prune drops the units that are not needed, the most costly first.
func (d *Demand) prune(hosts []Host, chosen []string) []string {
	for i := len(chosen) - 1; i >= 0; i-- {
		fewer := slices.Delete(slices.Clone(chosen), i, i+1)
		if _, ok := d.without(hosts, fewer); ok {
			chosen = fewer
		}
	}
	return chosen
}
