package berylguarantee

import (
	"maps"
	"slices"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

// Reconcile assigns workers to units that are unplaced or on unusable or overcommitted
// workers. It is cheap if there are none.
func (p *Plan) Reconcile(now time.Time) {
	for _, worker := range slices.Sorted(maps.Keys(p.overcommitted)) {
		for _, g := range p.guaranteesOn(worker) {
			g.needsReconcile = true
		}
	}
	for _, g := range p.guarantees {
		if g.needsReconcile && !now.Before(g.retryAt) {
			p.reconcile(now, g)
		}
	}
	p.undo = nil
}

// RetryNow makes the next Reconcile retry every unplaced unit without waiting for the
// retry interval.
func (p *Plan) RetryNow() {
	for _, g := range p.guarantees {
		g.retryAt = time.Time{}
	}
}

func (p *Plan) reconcile(now time.Time, g *guarantee) {
	g.needsReconcile = false
	g.retryAt = now.Add(_retryInterval)
	p.unassignUnhealthy(g)
	if units := p.unplaced(g); len(units) > 0 {
		p.placeUnits(g, units, false)
		if units = p.unplaced(g); len(units) > 0 {
			p.begin()
			if !p.placeByMovingOthers(g, units, g.Adjacent, nil) {
				p.rollback()
			}
		}
		p.placeUnits(g, p.unplaced(g), true)
	}
	ok := p.refreshBackups(g)
	g.needsReconcile = !ok || len(p.unplaced(g)) > 0
}

// unassignUnhealthy withdraws free units from workers that are unusable or
// overcommitted. A set of units that has to be adjacent is withdrawn as a whole, and
// only if none of it is in use.
func (p *Plan) unassignUnhealthy(g *guarantee) {
	misplaced, inUse := false, false
	for k := range g.units {
		u := &g.units[k]
		inUse = inUse || u.tasks > 0
		if u.worker == _unplaced || u.tasks > 0 || p.healthy(u.worker) {
			continue
		}
		misplaced = true
		if g.Adjacent == beryladjacency.Anywhere {
			p.assignUnit(g, k, _unplaced)
		}
	}
	if !misplaced || inUse || g.Adjacent == beryladjacency.Anywhere {
		return
	}
	for k := range g.units {
		p.assignUnit(g, k, _unplaced)
	}
}

// healthy reports whether a worker is usable and not overcommitted.
func (p *Plan) healthy(worker int) bool {
	return p.Placement.Worker(worker).Usable && !p.overcommitted[worker]
}

// unplaced returns the units that are not assigned to a worker.
func (p *Plan) unplaced(g *guarantee) []int {
	var out []int
	for k := range g.units {
		if g.units[k].worker == _unplaced {
			out = append(out, k)
		}
	}
	return out
}

// placeUnits assigns workers to as many of the given units as fit. With overcommit it
// may choose workers that non-preemptible work occupies now.
func (p *Plan) placeUnits(g *guarantee, units []int, overcommit bool) {
	r := berylplacement.Request{Shape: g.Shape, Adjacent: g.Adjacent, Mode: berylplacement.Evict}
	if overcommit {
		r.ExtraCapacity = func(w int) berylshape.Shape { return p.nonPreemptible[w] }
	}
	if g.Spare && g.Adjacent == beryladjacency.Anywhere {
		units = p.placeBalanced(g, units, r)
	}
	if g.Adjacent != beryladjacency.Anywhere && len(units) < g.Count {
		r.Exclude = p.excludeOutside(g)
	}
	p.placeAsManyAsFit(g, units, r)
}

// excludeOutside returns a function that excludes workers that are not adjacent to the
// placed units, or nil if there are none.
func (p *Plan) excludeOutside(g *guarantee) func(int) bool {
	for _, u := range g.units {
		if u.worker != _unplaced {
			at := p.groupOf(u.worker, g.Adjacent)
			return func(w int) bool { return p.groupOf(w, g.Adjacent) != at }
		}
	}
	return nil
}

// groupOf returns a name for the worker, rack or failure domain, depending on a, that
// a worker belongs to.
func (p *Plan) groupOf(worker int, a beryladjacency.Adjacency) string {
	w := p.Placement.Worker(worker)
	switch a {
	case beryladjacency.Worker:
		return w.Name
	case beryladjacency.Rack:
		return w.Domain + "/" + w.Rack
	case beryladjacency.Domain:
		return w.Domain
	default:
		return ""
	}
}

// assignUnits assigns units to the workers of parts and returns the units that are
// left.
func (p *Plan) assignUnits(g *guarantee, units []int, parts []berylplacement.Part) []int {
	for _, part := range parts {
		for range part.Tasks {
			p.assignUnit(g, units[0], part.Worker)
			units = units[1:]
		}
	}
	return units
}
