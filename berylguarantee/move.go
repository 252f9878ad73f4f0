package berylguarantee

import (
	"slices"

	"berylglade/beryladjacency"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

// begin starts an attempt that rollback undoes.
func (p *Plan) begin() { p.undo = nil }

func (p *Plan) rollback() {
	steps := p.undo
	for i := len(steps) - 1; i >= 0; i-- {
		steps[i]()
	}
	p.undo = nil
}

// placeByMovingOthers places units on workers that free units of other guarantees
// occupy, and places those elsewhere. If it returns false, the caller rolls back.
func (p *Plan) placeByMovingOthers(g *guarantee, units []int, a beryladjacency.Adjacency, exclude func(int) bool) bool {
	if g.Adjacent != beryladjacency.Anywhere && len(units) < g.Count {
		return false
	}
	free := p.movableOfOthers(g)
	if len(free) == 0 {
		return false
	}
	parts, ok := p.Placement.Find(berylplacement.Request{
		Shape: g.Shape, Tasks: len(units), Adjacent: a, Mode: berylplacement.Evict, Exclude: exclude,
		ExtraCapacity: func(w int) berylshape.Shape { return free[w] },
	})
	if !ok {
		return false
	}
	p.assignUnits(g, units, parts)
	moved := map[*guarantee]bool{}
	for _, part := range parts {
		if p.overcommitted[part.Worker] {
			p.moveUnitsOff(part.Worker, g, moved)
		}
		if p.overcommitted[part.Worker] {
			return false
		}
	}
	return p.placeMoved(moved) && p.refreshBackups(g)
}

// placeMoved places the unplaced units of the moved guarantees without overcommitting
// workers, and reports whether all units and their backups were placed.
func (p *Plan) placeMoved(moved map[*guarantee]bool) bool {
	for _, g := range p.guarantees {
		if !moved[g] {
			continue
		}
		p.placeUnits(g, p.unplaced(g), false)
		if len(p.unplaced(g)) > 0 || !p.refreshBackups(g) {
			return false
		}
	}
	return true
}

// movableOfOthers returns, by worker, the total size of the free units of other
// guarantees that moveUnitsOff could move.
func (p *Plan) movableOfOthers(g *guarantee) map[int]berylshape.Shape {
	out := map[int]berylshape.Shape{}
	for _, q := range p.guarantees {
		if q == g || !q.movable() {
			continue
		}
		for _, u := range q.units {
			if u.tasks == 0 && u.worker != _unplaced {
				out[u.worker] = out[u.worker].Add(q.Shape)
			}
		}
	}
	return out
}

// movable reports whether free units may be moved in favour of other work. Units that
// have to be adjacent move only as a whole set that is not in use.
func (g *guarantee) movable() bool {
	if g.needsReconcile {
		return false
	}
	return g.Adjacent == beryladjacency.Anywhere ||
		!slices.ContainsFunc(g.units, func(u unit) bool { return u.tasks > 0 })
}

// moveUnitsOff withdraws free units of guarantees other than keep from a worker until it
// is no longer overcommitted, and adds the guarantees to moved.
func (p *Plan) moveUnitsOff(worker int, keep *guarantee, moved map[*guarantee]bool) {
	for _, g := range p.guaranteesOn(worker) {
		if g == keep || !g.movable() {
			continue
		}
		for k := range g.units {
			if !p.overcommitted[worker] {
				return
			}
			u := &g.units[k]
			if u.tasks > 0 || u.worker == _unplaced || g.Adjacent == beryladjacency.Anywhere && u.worker != worker {
				continue
			}
			p.assignUnit(g, k, _unplaced)
			moved[g] = true
		}
	}
}

// Repack assigns all free units anew, which reverses fragmentation of the plan over
// time. If a unit or backup does not fit, it restores the previous plan and returns
// false. It searches all workers for each guarantee.
func (p *Plan) Repack() bool {
	p.begin()
	for _, g := range p.guarantees {
		if g.needsReconcile {
			continue
		}
		p.clearBackups(g)
		for k := range g.units {
			if g.movable() && g.units[k].tasks == 0 {
				p.assignUnit(g, k, _unplaced)
			}
		}
	}
	for _, g := range p.guarantees {
		if g.needsReconcile {
			continue
		}
		p.placeUnits(g, p.unplaced(g), false)
		if len(p.unplaced(g)) > 0 || !p.refreshBackups(g) {
			p.rollback()
			return false
		}
	}
	p.undo = nil
	return true
}
