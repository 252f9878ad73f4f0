package berylguarantee

import (
	"slices"

	"berylglade/beryladjacency"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

// begin starts an attempt that rollback can undo.
func (g *Plan) begin() { g.undo = nil }

func (g *Plan) rollback() {
	steps := g.undo
	for i := len(steps) - 1; i >= 0; i-- {
		steps[i]()
	}
	g.undo = nil
}

// trade places units where free units of other promises are, and those elsewhere.
// On false the caller rolls back.
func (g *Plan) trade(p *promise, units []int, a beryladjacency.Adjacency, avoid func(int) bool) bool {
	if p.Adjacent != beryladjacency.Anywhere && len(units) < p.Count {
		return false
	}
	free := g.freeOfOthers(p)
	if len(free) == 0 {
		return false
	}
	parts, ok := g.Placement.Find(berylplacement.Request{
		Shape: p.Shape, Tasks: len(units), Adjacent: a, Mode: berylplacement.Evict, Exclude: avoid,
		ExtraCapacity: func(w int) berylshape.Shape { return free[w] },
	})
	if !ok {
		return false
	}
	g.settleOn(p, units, parts)
	moved := map[*promise]bool{}
	for _, part := range parts {
		if g.debts[part.Worker] {
			g.clear(part.Worker, p, moved)
		}
		if g.debts[part.Worker] {
			return false
		}
	}
	return g.resettle(moved) && g.refreshBackups(p)
}

// resettle gives moved promises new places without debt.
func (g *Plan) resettle(moved map[*promise]bool) bool {
	for _, p := range g.promises {
		if !moved[p] {
			continue
		}
		g.spread(p, g.placeless(p), false)
		if len(g.placeless(p)) > 0 || !g.refreshBackups(p) {
			return false
		}
	}
	return true
}

// freeOfOthers returns the size of the free units of other promises that clear
// could move, by worker.
func (g *Plan) freeOfOthers(p *promise) map[int]berylshape.Shape {
	out := map[int]berylshape.Shape{}
	for _, q := range g.promises {
		if q == p || !q.mayMove() {
			continue
		}
		for _, u := range q.units {
			if u.tasks == 0 && u.worker != _nowhere {
				out[u.worker] = out[u.worker].Add(q.Shape)
			}
		}
	}
	return out
}

// mayMove reports whether free units may be moved for others: single units if they
// may be anywhere, else only a set that is unused.
func (p *promise) mayMove() bool {
	if p.unsettled {
		return false
	}
	return p.Adjacent == beryladjacency.Anywhere ||
		!slices.ContainsFunc(p.units, func(u unit) bool { return u.tasks > 0 })
}

// clear moves free units of promises other than keep away from a worker until it
// is out of debt.
func (g *Plan) clear(worker int, keep *promise, moved map[*promise]bool) {
	for _, p := range g.at(worker) {
		if p == keep || !p.mayMove() {
			continue
		}
		for k := range p.units {
			if !g.debts[worker] {
				return
			}
			u := &p.units[k]
			if u.tasks > 0 || u.worker == _nowhere || p.Adjacent == beryladjacency.Anywhere && u.worker != worker {
				continue
			}
			g.move(p, k, _nowhere)
			moved[p] = true
		}
	}
}

// Repack plans all free units afresh, which undoes a bad arrangement that grew over
// time. It keeps the old plan and returns false if a unit finds no place. It costs
// a search over all workers for each guarantee.
func (g *Plan) Repack() bool {
	g.begin()
	for _, p := range g.promises {
		if p.unsettled {
			continue
		}
		g.clearBackups(p)
		for k := range p.units {
			if p.mayMove() && p.units[k].tasks == 0 {
				g.move(p, k, _nowhere)
			}
		}
	}
	for _, p := range g.promises {
		if p.unsettled {
			continue
		}
		g.spread(p, g.placeless(p), false)
		if len(g.placeless(p)) > 0 || !g.refreshBackups(p) {
			g.rollback()
			return false
		}
	}
	g.undo = nil
	return true
}
