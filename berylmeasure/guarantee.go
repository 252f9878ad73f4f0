package berylmeasure

import (
	"sort"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylshape"
)

// _checkInterval is the virtual time between two checks of the guarantees on
// sites with more than _checkedWorkers workers, where a check takes long. On
// smaller sites the guarantees are checked after every decision.
const (
	_checkInterval  = 10 * time.Minute
	_checkedWorkers = 100
)

// guarantee is one guarantee of an account.
type guarantee struct {
	account string
	berylconfig.Guarantee
}

// workerCapacity is the capacity of one worker that guarantees can use.
type workerCapacity struct {
	name, rack, domain string
	// shared is free or used by work that can be checkpointed.
	shared berylshape.Shape
	// own is, by account, used by work that can't be reclaimed. It counts
	// towards the guarantees of that account only.
	own map[string]berylshape.Shape
}

// sortedGuarantees returns all guarantees. Those that are hardest to place come
// first.
func sortedGuarantees(cfg *berylconfig.Config) []guarantee {
	var list []guarantee
	for account, a := range cfg.Accounts {
		for _, g := range a.Guarantees {
			list = append(list, guarantee{account: account, Guarantee: g})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := &list[i], &list[j]
		if a.Adjacent != b.Adjacent {
			return a.Adjacent > b.Adjacent
		}
		if a.Shape.Accelerators != b.Shape.Accelerators {
			return a.Shape.Accelerators > b.Shape.Accelerators
		}
		if a.Shape.Cores != b.Shape.Cores {
			return a.Shape.Cores > b.Shape.Cores
		}
		return a.account < b.account
	})
	return list
}

// checkGuarantees counts a violation if the guarantees do not fit beside the work
// that can't be reclaimed, but would fit if the present workers were empty.
func (r *Run) checkGuarantees() {
	if len(r.workload.Workers) > _checkedWorkers && r.now.Sub(r.lastCheck) < _checkInterval {
		return
	}
	r.lastCheck = r.now
	if !r.guaranteesFit(true) && r.guaranteesFit(false) {
		r.result.Violations.Guarantee++
	}
}

// guaranteesFit reports whether all guarantees fit on the present workers, either
// beside the work that can't be reclaimed or on empty workers.
func (r *Run) guaranteesFit(withWork bool) bool {
	capacities := r.workerCapacities(withWork)
	for _, g := range r.guarantees {
		if !placeUnits(capacities, g) {
			return false
		}
	}
	return true
}

func (r *Run) workerCapacities(withWork bool) []*workerCapacity {
	capacities := make([]*workerCapacity, 0, len(r.workload.Workers))
	for i := range r.workload.Workers {
		w := r.workers[r.workload.Workers[i].Name]
		if _, out := r.outSince[w.worker.Domain]; out || w.lost {
			continue
		}
		c := &workerCapacity{
			name: w.worker.Name, rack: w.worker.Rack, domain: w.worker.Domain,
			shared: w.worker.Total, own: map[string]berylshape.Shape{},
		}
		for j, tasks := range w.jobs {
			if !withWork || r.cfg.Classes[j.state.Class].Checkpoint {
				continue
			}
			held := j.state.Shape.Times(tasks)
			c.shared = c.shared.Sub(held)
			c.own[j.state.Account] = c.own[j.state.Account].Add(held)
		}
		capacities = append(capacities, c)
	}
	return capacities
}

// placeUnits takes the capacity for all units of a guarantee. It takes it from one
// group of workers that are as close together as the guarantee requires, and
// reports whether such a group has room.
func placeUnits(capacities []*workerCapacity, g guarantee) bool {
	groups := map[string][]*workerCapacity{}
	var names []string
	for _, c := range capacities {
		name := c.groupName(g.Adjacent)
		if groups[name] == nil {
			names = append(names, name)
		}
		groups[name] = append(groups[name], c)
	}
	// Best fit: the group with the least room leaves the most for other
	// guarantees.
	best, bestUnits, found := "", 0, false
	for _, name := range names {
		n := 0
		for _, c := range groups[name] {
			n += c.countUnits(g)
		}
		if n >= g.Count && (!found || n < bestUnits) {
			best, bestUnits, found = name, n, true
		}
	}
	if !found {
		return false
	}
	takeUnits(groups[best], g)
	return true
}

func takeUnits(group []*workerCapacity, g guarantee) {
	group = append([]*workerCapacity(nil), group...)
	sort.SliceStable(group, func(i, j int) bool { return group[i].countUnits(g) < group[j].countUnits(g) })
	remaining := g.Count
	for _, c := range group {
		for remaining > 0 && c.countUnits(g) > 0 {
			c.takeUnit(g)
			remaining--
		}
	}
}

func (c *workerCapacity) countUnits(g guarantee) int {
	return g.Shape.Count(c.shared.Add(c.own[g.account]))
}

// takeUnit takes one unit, first from the capacity that the account's own work
// uses.
func (c *workerCapacity) takeUnit(g guarantee) {
	own := c.own[g.account]
	used := berylshape.Shape{
		Accelerators: min(own.Accelerators, g.Shape.Accelerators),
		Cores:        min(own.Cores, g.Shape.Cores),
		Memory:       min(own.Memory, g.Shape.Memory),
	}
	c.own[g.account] = own.Sub(used)
	c.shared = c.shared.Sub(g.Shape.Sub(used))
}

func (c *workerCapacity) groupName(a beryladjacency.Adjacency) string {
	switch a {
	case beryladjacency.Worker:
		return c.name
	case beryladjacency.Rack:
		return c.rack
	case beryladjacency.Domain:
		return c.domain
	case beryladjacency.Anywhere:
		return ""
	default:
		return ""
	}
}
