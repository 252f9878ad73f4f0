package berylguarantee

import (
	"maps"
	"slices"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

// Reconcile gives a place to units that have none, lie on unusable workers or are
// in debt. It returns quickly when there are none.
func (g *Plan) Reconcile(now time.Time) {
	for _, worker := range slices.Sorted(maps.Keys(g.debts)) {
		for _, p := range g.at(worker) {
			p.unsettled = true
		}
	}
	for _, p := range g.promises {
		if p.unsettled && !now.Before(p.due) {
			g.settle(now, p)
		}
	}
	g.undo = nil
}

// RetryNow makes the next Settle try again for every unit without a place.
func (g *Plan) RetryNow() {
	for _, p := range g.promises {
		p.due = time.Time{}
	}
}

func (g *Plan) settle(now time.Time, p *promise) {
	p.unsettled = false
	p.due = now.Add(_retry)
	g.lift(p)
	if lifted := g.placeless(p); len(lifted) > 0 {
		g.spread(p, lifted, false)
		if lifted = g.placeless(p); len(lifted) > 0 {
			g.begin()
			if !g.trade(p, lifted, p.Adjacent, nil) {
				g.rollback()
			}
		}
		g.spread(p, g.placeless(p), true)
	}
	ok := g.refreshBackups(p)
	p.unsettled = !ok || len(g.placeless(p)) > 0
}

// lift takes free units off workers that are unusable or in debt. A set that has
// to stay together is lifted as a whole if none of it is in use.
func (g *Plan) lift(p *promise) {
	bad, used := false, false
	for k := range p.units {
		u := &p.units[k]
		used = used || u.tasks > 0
		if u.worker == _nowhere || u.tasks > 0 || g.good(u.worker) {
			continue
		}
		bad = true
		if p.Adjacent == beryladjacency.Anywhere {
			g.move(p, k, _nowhere)
		}
	}
	if !bad || used || p.Adjacent == beryladjacency.Anywhere {
		return
	}
	for k := range p.units {
		g.move(p, k, _nowhere)
	}
}

func (g *Plan) good(worker int) bool {
	return g.Placement.Worker(worker).Usable && !g.debts[worker]
}

func (g *Plan) placeless(p *promise) []int {
	var out []int
	for k := range p.units {
		if p.units[k].worker == _nowhere {
			out = append(out, k)
		}
	}
	return out
}

// spread finds places for the given units. With debt it may choose workers that
// firm work occupies now.
func (g *Plan) spread(p *promise, units []int, debt bool) {
	r := berylplacement.Request{Shape: p.Shape, Adjacent: p.Adjacent, Mode: berylplacement.Evict}
	if debt {
		r.ExtraCapacity = func(w int) berylshape.Shape { return g.firm[w] }
	}
	if p.Spare && p.Adjacent == beryladjacency.Anywhere {
		units = g.balance(p, units, r)
	}
	if p.Adjacent != beryladjacency.Anywhere && len(units) < p.Count {
		r.Exclude = g.outside(p)
	}
	g.fill(p, units, r)
}

// outside excludes workers that are not close enough to the units that have a
// place.
func (g *Plan) outside(p *promise) func(int) bool {
	for _, u := range p.units {
		if u.worker != _nowhere {
			at := g.group(u.worker, p.Adjacent)
			return func(w int) bool { return g.group(w, p.Adjacent) != at }
		}
	}
	return nil
}

// group names the unit of adjacency that a worker is in.
func (g *Plan) group(worker int, a beryladjacency.Adjacency) string {
	w := g.Placement.Worker(worker)
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

// settleOn moves units to parts and returns the units that are left.
func (g *Plan) settleOn(p *promise, units []int, parts []berylplacement.Part) []int {
	for _, part := range parts {
		for range part.Tasks {
			g.move(p, units[0], part.Worker)
			units = units[1:]
		}
	}
	return units
}
