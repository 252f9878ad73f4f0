package berylguarantee

import (
	"slices"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

// Grant is the use of guaranteed units by one gang.
type Grant struct {
	// Parts are the workers of the units.
	Parts []berylplacement.Part

	promise *promise
	shape   berylshape.Shape
	pieces  []piece
}

// piece is the part of a gang that runs in one unit.
type piece struct {
	unit  int
	tasks int
}

// Gang is what a claim is for.
type Gang struct {
	Account  string
	Shape    berylshape.Shape
	Tasks    int
	Adjacent beryladjacency.Adjacency
	// Exclude excludes workers; nil excludes none.
	Exclude func(worker int) bool
}

// Claim takes units of the account's guarantees for a whole gang. It prefers
// units where nothing has to be stopped and moves free units to reach that. With
// evict it also takes units on capacity that reclaimable work holds; the caller
// stops that work. It returns nil if no guarantee covers the gang.
func (g *Plan) Claim(gang Gang, evict bool) *Grant {
	for _, p := range g.promises {
		if p.account != gang.Account || !p.covers(gang) {
			continue
		}
		grant := g.claim(p, gang, evict)
		if grant != nil {
			return grant
		}
	}
	return nil
}

func (p *promise) covers(gang Gang) bool {
	have := 0
	for _, u := range p.units {
		have += gang.Shape.Count(p.Shape.Sub(u.used))
		if have >= gang.Tasks {
			return true
		}
	}
	return false
}

func (g *Plan) claim(p *promise, gang Gang, evict bool) *Grant {
	if grant := g.claimInPlace(p, gang, false); grant != nil {
		return grant
	}
	if grant := g.claimMoved(p, gang, berylplacement.NonPreemptible); grant != nil || !evict {
		return grant
	}
	if grant := g.claimInPlace(p, gang, true); grant != nil {
		return grant
	}
	return g.claimMoved(p, gang, berylplacement.Evict)
}

// claimInPlace uses units where they are.
func (g *Plan) claimInPlace(p *promise, gang Gang, evict bool) *Grant {
	free := map[int]berylshape.Shape{}
	sums := map[string]int{}
	pieces := make([]piece, 0, len(p.units))
	for _, k := range p.usedFirst() {
		if w := p.units[k].worker; w == _nowhere || gang.Exclude != nil && gang.Exclude(w) {
			continue
		}
		n := g.fitting(p, k, gang.Shape, evict, free)
		if n == 0 {
			continue
		}
		pieces = append(pieces, piece{unit: k, tasks: n})
		at := g.group(p.units[k].worker, gang.Adjacent)
		sums[at] += n
		if sums[at] >= gang.Tasks {
			pieces = slices.DeleteFunc(pieces, func(q piece) bool {
				return g.group(p.units[q.unit].worker, gang.Adjacent) != at
			})
			return g.grant(p, gang, pieces)
		}
	}
	return nil
}

// usedFirst orders units so that partly used ones are filled up first.
func (p *promise) usedFirst() []int {
	out := make([]int, 0, len(p.units))
	for k := range p.units {
		if p.units[k].tasks > 0 {
			out = append(out, k)
		}
	}
	for k := range p.units {
		if p.units[k].tasks == 0 {
			out = append(out, k)
		}
	}
	return out
}

// fitting returns how many tasks a unit can take. free has what is left on the
// workers so far.
func (g *Plan) fitting(p *promise, k int, s berylshape.Shape, evict bool, free map[int]berylshape.Shape) int {
	u := &p.units[k]
	w := g.Placement.Worker(u.worker)
	if !w.Usable {
		return 0
	}
	n := s.Count(p.Shape.Sub(u.used))
	if n == 0 {
		return 0
	}
	left, ok := free[u.worker]
	if !ok {
		left = w.Total.Sub(w.Allocated)
		if evict {
			left = w.Total.Sub(g.firm[u.worker]).Sub(g.busy[u.worker])
		}
	}
	if evict {
		if u.tasks > 0 {
			return n
		}
		if !p.Shape.Fits(left) {
			return 0
		}
		free[u.worker] = left.Sub(p.Shape)
		return n
	}
	n = min(n, s.Count(left))
	free[u.worker] = left.Sub(s.Times(n))
	return n
}

// claimMoved moves free units to workers that suit the gang.
func (g *Plan) claimMoved(p *promise, gang Gang, m berylplacement.Mode) *Grant {
	per := gang.Shape.Count(p.Shape)
	if per == 0 {
		return nil
	}
	need := (gang.Tasks + per - 1) / per
	var free []int
	for k := range p.units {
		if p.units[k].tasks == 0 {
			free = append(free, k)
		}
	}
	if p.Adjacent != beryladjacency.Anywhere {
		if len(free) < p.Count {
			return nil
		}
		need = p.Count
	}
	if len(free) < need {
		return nil
	}
	free = free[len(free)-need:]
	g.begin()
	for _, k := range free {
		g.move(p, k, _nowhere)
	}
	parts, ok := g.Placement.Find(berylplacement.Request{
		Shape:    p.Shape,
		Tasks:    need,
		Adjacent: max(p.Adjacent, gang.Adjacent),
		Mode:     m,
		Exclude:    gang.Exclude,
	})
	if ok {
		g.settleOn(p, free, parts)
		ok = g.refreshBackups(p) || p.unsettled
	} else if m == berylplacement.Evict {
		ok = g.trade(p, free, max(p.Adjacent, gang.Adjacent), gang.Exclude)
	}
	if !ok {
		g.rollback()
		return nil
	}
	g.undo = nil
	pieces := make([]piece, 0, len(free))
	for _, k := range free {
		pieces = append(pieces, piece{unit: k, tasks: per})
	}
	return g.grant(p, gang, pieces)
}

// grant marks the pieces, in order, as used until the gang is complete.
func (g *Plan) grant(p *promise, gang Gang, pieces []piece) *Grant {
	out := &Grant{promise: p, shape: gang.Shape}
	need := gang.Tasks
	for _, q := range pieces {
		q.tasks = min(q.tasks, need)
		if q.tasks == 0 {
			break
		}
		need -= q.tasks
		u := &p.units[q.unit]
		if u.tasks == 0 {
			g.addBusy(u.worker, p.Shape, 1)
		}
		u.tasks += q.tasks
		u.used = u.used.Add(gang.Shape.Times(q.tasks))
		out.pieces = append(out.pieces, q)
		out.addPart(u.worker, q.tasks)
	}
	return out
}

func (o *Grant) addPart(worker, tasks int) {
	for i := range o.Parts {
		if o.Parts[i].Worker == worker {
			o.Parts[i].Tasks += tasks
			return
		}
	}
	o.Parts = append(o.Parts, berylplacement.Part{Worker: worker, Tasks: tasks})
}

// Release ends a grant. It does nothing if the guarantee was changed meanwhile.
func (g *Plan) Release(o *Grant) {
	p := o.promise
	if !slices.Contains(g.promises, p) {
		return
	}
	for _, q := range o.pieces {
		u := &p.units[q.unit]
		u.tasks -= q.tasks
		u.used = u.used.Sub(o.shape.Times(q.tasks))
		if u.tasks > 0 {
			continue
		}
		g.addBusy(u.worker, p.Shape, -1)
		if !g.good(u.worker) {
			p.unsettled = true
			p.due = time.Time{}
		}
	}
}

// Restore charges a gang that already runs to a guarantee of its account, with
// units on the workers where it runs. It returns nil if no guarantee covers it
// there.
func (g *Plan) Restore(gang Gang, parts []berylplacement.Part) *Grant {
	for _, p := range g.promises {
		if p.account != gang.Account || !p.covers(gang) {
			continue
		}
		g.begin()
		pieces, ok := g.restore(p, gang.Shape, parts)
		if ok && g.together(p) {
			g.undo = nil
			p.unsettled = true
			return g.grant(p, gang, pieces)
		}
		g.rollback()
	}
	return nil
}

func (g *Plan) restore(p *promise, s berylshape.Shape, parts []berylplacement.Part) ([]piece, bool) {
	if p.Adjacent != beryladjacency.Anywhere && len(g.freeUnits(p)) == p.Count {
		for k := range p.units {
			g.move(p, k, _nowhere)
		}
	}
	taken := map[int]bool{}
	var pieces []piece
	for _, part := range parts {
		got, ok := g.restorePart(p, s, part, taken)
		if !ok {
			return nil, false
		}
		pieces = append(pieces, got...)
	}
	if rest := g.placeless(p); p.Adjacent != beryladjacency.Anywhere && len(rest) > 0 {
		g.spread(p, rest, true)
	}
	return pieces, true
}

func (g *Plan) restorePart(p *promise, s berylshape.Shape, part berylplacement.Part, taken map[int]bool) ([]piece, bool) {
	var out []piece
	need := part.Tasks
	use := func(k int) {
		n := min(s.Count(p.Shape.Sub(p.units[k].used)), need)
		if n > 0 {
			taken[k] = true
			need -= n
			out = append(out, piece{unit: k, tasks: n})
		}
	}
	for k := range p.units {
		if p.units[k].worker == part.Worker && !taken[k] {
			use(k)
		}
	}
	for _, k := range g.freeUnits(p) {
		if need == 0 {
			break
		}
		w := g.Placement.Worker(part.Worker)
		if taken[k] || p.units[k].worker == part.Worker || !p.Shape.Fits(w.Total.Sub(w.Committed)) {
			continue
		}
		g.move(p, k, part.Worker)
		use(k)
	}
	return out, need == 0
}

func (g *Plan) freeUnits(p *promise) []int {
	var out []int
	for k := range p.units {
		if p.units[k].tasks == 0 {
			out = append(out, k)
		}
	}
	return out
}

// together reports whether all placed units are close enough.
func (g *Plan) together(p *promise) bool {
	at := ""
	for _, u := range p.units {
		if u.worker == _nowhere {
			continue
		}
		here := g.group(u.worker, p.Adjacent)
		if at != "" && here != at {
			return false
		}
		at = here
	}
	return true
}

// DisplaceUnitsFor makes room for firm work on the given workers by moving free units
// elsewhere, and adds the firm work. It changes nothing and returns false if a
// guarantee would no longer hold.
func (g *Plan) DisplaceUnitsFor(s berylshape.Shape, parts []berylplacement.Part) bool {
	g.begin()
	ok := true
	moved := map[*promise]bool{}
	for _, part := range parts {
		g.AddNonPreemptible(part.Worker, s, part.Tasks)
	}
	for _, part := range parts {
		if g.debts[part.Worker] {
			g.clear(part.Worker, nil, moved)
		}
		ok = ok && !g.debts[part.Worker]
	}
	ok = ok && g.resettle(moved)
	if ok {
		g.undo = nil
		return true
	}
	g.rollback()
	for _, part := range parts {
		g.AddNonPreemptible(part.Worker, s, -part.Tasks)
	}
	return false
}
