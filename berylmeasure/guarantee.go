package berylmeasure

import (
	"sort"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylshape"
)

// _checkInterval is the virtual time between two checks of the guarantees on
// sites with more than _checkedWorkers workers, where a check takes long.
const (
	_checkInterval  = 10 * time.Minute
	_checkedWorkers = 100
)

// promise is one guarantee of an account.
type promise struct {
	account string
	berylconfig.Guarantee
}

// room is what one worker has for guarantees.
type room struct {
	name, rack, domain string
	// common is free or held by work that can be checkpointed.
	common berylshape.Shape
	// own is held by work of an account that cannot be reclaimed, which the
	// account itself may count against its guarantee.
	own map[string]berylshape.Shape
}

// promises returns all guarantees, those that are hardest to place first.
func promises(cfg *berylconfig.Config) []promise {
	var list []promise
	for account, a := range cfg.Accounts {
		for _, g := range a.Guarantees {
			list = append(list, promise{account: account, Guarantee: g})
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

// checkGuarantees counts a violation if the guarantees fit on the workers that
// are there when empty, but not beside the work that cannot be reclaimed.
func (r *Run) checkGuarantees() {
	if len(r.w.Workers) > _checkedWorkers && r.now.Sub(r.checked) < _checkInterval {
		return
	}
	r.checked = r.now
	if !r.fits(true) && r.fits(false) {
		r.result.Violations.Guarantee++
	}
}

// fits reports whether all guarantees have room, counting the work that runs or
// not.
func (r *Run) fits(withWork bool) bool {
	rooms := r.rooms(withWork)
	for _, p := range r.promises {
		if !placeUnits(rooms, p) {
			return false
		}
	}
	return true
}

func (r *Run) rooms(withWork bool) []*room {
	rooms := make([]*room, 0, len(r.w.Workers))
	for i := range r.w.Workers {
		h := r.hosts[r.w.Workers[i].Name]
		if _, out := r.outSince[h.worker.Domain]; out || h.lost {
			continue
		}
		rm := &room{
			name: h.worker.Name, rack: h.worker.Rack, domain: h.worker.Domain,
			common: h.worker.Total, own: map[string]berylshape.Shape{},
		}
		for j, tasks := range h.jobs {
			if !withWork || r.cfg.Classes[j.state.Class].Checkpoint {
				continue
			}
			held := j.state.Shape.Times(tasks)
			rm.common = rm.common.Sub(held)
			rm.own[j.state.Account] = rm.own[j.state.Account].Add(held)
		}
		rooms = append(rooms, rm)
	}
	return rooms
}

// placeUnits takes room for all units of a guarantee, in the first group of
// workers that is as close together as the guarantee asks.
func placeUnits(rooms []*room, p promise) bool {
	groups := map[string][]*room{}
	var names []string
	for _, rm := range rooms {
		name := rm.group(p.Adjacent)
		if groups[name] == nil {
			names = append(names, name)
		}
		groups[name] = append(groups[name], rm)
	}
	// The tightest group that fits leaves most to the others.
	best, bestRoom, found := "", 0, false
	for _, name := range names {
		n := 0
		for _, rm := range groups[name] {
			n += rm.units(p)
		}
		if n >= p.Count && (!found || n < bestRoom) {
			best, bestRoom, found = name, n, true
		}
	}
	if !found {
		return false
	}
	take(groups[best], p)
	return true
}

func take(group []*room, p promise) {
	group = append([]*room(nil), group...)
	sort.SliceStable(group, func(i, j int) bool { return group[i].units(p) < group[j].units(p) })
	left := p.Count
	for _, rm := range group {
		for left > 0 && rm.units(p) > 0 {
			rm.takeOne(p)
			left--
		}
	}
}

func (rm *room) units(p promise) int {
	return p.Shape.Count(rm.common.Add(rm.own[p.account]))
}

// takeOne takes one unit, first from what the account's own work holds.
func (rm *room) takeOne(p promise) {
	own := rm.own[p.account]
	used := berylshape.Shape{
		Accelerators: min(own.Accelerators, p.Shape.Accelerators),
		Cores:        min(own.Cores, p.Shape.Cores),
		Memory:       min(own.Memory, p.Shape.Memory),
	}
	rm.own[p.account] = own.Sub(used)
	rm.common = rm.common.Sub(p.Shape.Sub(used))
}

func (rm *room) group(a beryladjacency.Adjacency) string {
	switch a {
	case beryladjacency.Worker:
		return rm.name
	case beryladjacency.Rack:
		return rm.rack
	case beryladjacency.Domain:
		return rm.domain
	case beryladjacency.Anywhere:
		return ""
	default:
		return ""
	}
}
