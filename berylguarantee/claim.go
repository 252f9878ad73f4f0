package berylguarantee

import (
	"slices"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

// Grant records which guaranteed units a gang uses.
type Grant struct {
	// Parts are the workers of the units, with the tasks on each.
	Parts []berylplacement.Part

	guarantee *guarantee
	shape     berylshape.Shape
	pieces    []piece
}

// piece is the part of a gang that uses one unit.
type piece struct {
	unit  int
	tasks int
}

// Gang describes a gang that claims guaranteed units.
type Gang struct {
	Account  string
	Shape    berylshape.Shape
	Tasks    int
	Adjacent beryladjacency.Adjacency
	// Exclude reports whether a worker must not be used; nil excludes none.
	Exclude func(worker int) bool
}

// Claim assigns units of one of the account's guarantees to a whole gang. It prefers
// units where nothing has to be preempted, and moves free units to achieve that. With
// evict it also uses capacity that preemptible work occupies; the caller preempts that
// work. It returns nil if no guarantee can provide the units.
func (p *Plan) Claim(gang Gang, evict bool) *Grant {
	for _, g := range p.guarantees {
		if g.account != gang.Account || !g.covers(gang) {
			continue
		}
		grant := p.claim(g, gang, evict)
		if grant != nil {
			return grant
		}
	}
	return nil
}

// covers reports whether the units have enough unused capacity for the gang.
func (g *guarantee) covers(gang Gang) bool {
	have := 0
	for _, u := range g.units {
		have += gang.Shape.Count(g.Shape.Sub(u.used))
		if have >= gang.Tasks {
			return true
		}
	}
	return false
}

func (p *Plan) claim(g *guarantee, gang Gang, evict bool) *Grant {
	if grant := p.claimInPlace(g, gang, false); grant != nil {
		return grant
	}
	if grant := p.claimByMoving(g, gang, berylplacement.NonPreemptible); grant != nil || !evict {
		return grant
	}
	if grant := p.claimInPlace(g, gang, true); grant != nil {
		return grant
	}
	return p.claimByMoving(g, gang, berylplacement.Evict)
}

// claimInPlace claims units on the workers to which they are assigned.
func (p *Plan) claimInPlace(g *guarantee, gang Gang, evict bool) *Grant {
	free := map[int]berylshape.Shape{}
	sums := map[string]int{}
	pieces := make([]piece, 0, len(g.units))
	for _, k := range g.usedFirst() {
		if w := g.units[k].worker; w == _unplaced || gang.Exclude != nil && gang.Exclude(w) {
			continue
		}
		n := p.tasksThatFit(g, k, gang.Shape, evict, free)
		if n == 0 {
			continue
		}
		pieces = append(pieces, piece{unit: k, tasks: n})
		at := p.groupOf(g.units[k].worker, gang.Adjacent)
		sums[at] += n
		if sums[at] >= gang.Tasks {
			pieces = slices.DeleteFunc(pieces, func(q piece) bool {
				return p.groupOf(g.units[q.unit].worker, gang.Adjacent) != at
			})
			return p.grant(g, gang, pieces)
		}
	}
	return nil
}

// usedFirst returns all units, those in use first, so that partly used units are
// filled up.
func (g *guarantee) usedFirst() []int {
	out := make([]int, 0, len(g.units))
	for k := range g.units {
		if g.units[k].tasks > 0 {
			out = append(out, k)
		}
	}
	for k := range g.units {
		if g.units[k].tasks == 0 {
			out = append(out, k)
		}
	}
	return out
}

// tasksThatFit returns how many tasks fit into a unit. free has the capacity that
// earlier units of the same claim leave on each worker, and is updated.
func (p *Plan) tasksThatFit(g *guarantee, k int, s berylshape.Shape, evict bool, free map[int]berylshape.Shape) int {
	u := &g.units[k]
	w := p.Placement.Worker(u.worker)
	if !w.Usable {
		return 0
	}
	n := s.Count(g.Shape.Sub(u.used))
	if n == 0 {
		return 0
	}
	left, ok := free[u.worker]
	if !ok {
		left = w.Total.Sub(w.Allocated)
		if evict {
			left = w.Total.Sub(p.nonPreemptible[u.worker]).Sub(p.inUse[u.worker])
		}
	}
	if evict {
		if u.tasks > 0 {
			return n
		}
		if !g.Shape.Fits(left) {
			return 0
		}
		free[u.worker] = left.Sub(g.Shape)
		return n
	}
	n = min(n, s.Count(left))
	free[u.worker] = left.Sub(s.Times(n))
	return n
}

// claimByMoving reassigns free units to workers that suit the gang and claims them.
func (p *Plan) claimByMoving(g *guarantee, gang Gang, m berylplacement.Mode) *Grant {
	per := gang.Shape.Count(g.Shape)
	if per == 0 {
		return nil
	}
	need := (gang.Tasks + per - 1) / per
	var free []int
	for k := range g.units {
		if g.units[k].tasks == 0 {
			free = append(free, k)
		}
	}
	if g.Adjacent != beryladjacency.Anywhere {
		if len(free) < g.Count {
			return nil
		}
		need = g.Count
	}
	if len(free) < need {
		return nil
	}
	free = free[len(free)-need:]
	p.begin()
	for _, k := range free {
		p.assignUnit(g, k, _unplaced)
	}
	parts, ok := p.Placement.Find(berylplacement.Request{
		Shape:    g.Shape,
		Tasks:    need,
		Adjacent: max(g.Adjacent, gang.Adjacent),
		Mode:     m,
		Exclude:  gang.Exclude,
	})
	if ok {
		p.assignUnits(g, free, parts)
		ok = p.refreshBackups(g) || g.needsReconcile
	} else if m == berylplacement.Evict {
		ok = p.placeByMovingOthers(g, free, max(g.Adjacent, gang.Adjacent), gang.Exclude)
	}
	if !ok {
		p.rollback()
		return nil
	}
	p.undo = nil
	pieces := make([]piece, 0, len(free))
	for _, k := range free {
		pieces = append(pieces, piece{unit: k, tasks: per})
	}
	return p.grant(g, gang, pieces)
}

// grant marks units as used, in the order of the pieces, until all tasks of the gang
// have one.
func (p *Plan) grant(g *guarantee, gang Gang, pieces []piece) *Grant {
	out := &Grant{guarantee: g, shape: gang.Shape}
	need := gang.Tasks
	for _, q := range pieces {
		q.tasks = min(q.tasks, need)
		if q.tasks == 0 {
			break
		}
		need -= q.tasks
		u := &g.units[q.unit]
		if u.tasks == 0 {
			p.addInUse(u.worker, g.Shape, 1)
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

// Release ends a grant. It does nothing if the guarantee has been replaced since.
func (p *Plan) Release(o *Grant) {
	g := o.guarantee
	if !slices.Contains(p.guarantees, g) {
		return
	}
	for _, q := range o.pieces {
		u := &g.units[q.unit]
		u.tasks -= q.tasks
		u.used = u.used.Sub(o.shape.Times(q.tasks))
		if u.tasks > 0 {
			continue
		}
		p.addInUse(u.worker, g.Shape, -1)
		if !p.healthy(u.worker) {
			g.needsReconcile = true
			g.retryAt = time.Time{}
		}
	}
}

// Restore grants units to a gang that is already running, on the workers where it
// runs. It returns nil if no guarantee of its account can provide the units there.
func (p *Plan) Restore(gang Gang, parts []berylplacement.Part) *Grant {
	for _, g := range p.guarantees {
		if g.account != gang.Account || !g.covers(gang) {
			continue
		}
		p.begin()
		pieces, ok := p.restore(g, gang.Shape, parts)
		if ok && p.isAdjacent(g) {
			p.undo = nil
			g.needsReconcile = true
			return p.grant(g, gang, pieces)
		}
		p.rollback()
	}
	return nil
}

func (p *Plan) restore(g *guarantee, s berylshape.Shape, parts []berylplacement.Part) ([]piece, bool) {
	if g.Adjacent != beryladjacency.Anywhere && len(p.freeUnits(g)) == g.Count {
		for k := range g.units {
			p.assignUnit(g, k, _unplaced)
		}
	}
	taken := map[int]bool{}
	var pieces []piece
	for _, part := range parts {
		got, ok := p.restorePart(g, s, part, taken)
		if !ok {
			return nil, false
		}
		pieces = append(pieces, got...)
	}
	if rest := p.unplaced(g); g.Adjacent != beryladjacency.Anywhere && len(rest) > 0 {
		p.placeUnits(g, rest, true)
	}
	return pieces, true
}

func (p *Plan) restorePart(g *guarantee, s berylshape.Shape, part berylplacement.Part, taken map[int]bool) ([]piece, bool) {
	var out []piece
	need := part.Tasks
	use := func(k int) {
		n := min(s.Count(g.Shape.Sub(g.units[k].used)), need)
		if n > 0 {
			taken[k] = true
			need -= n
			out = append(out, piece{unit: k, tasks: n})
		}
	}
	for k := range g.units {
		if g.units[k].worker == part.Worker && !taken[k] {
			use(k)
		}
	}
	for _, k := range p.freeUnits(g) {
		if need == 0 {
			break
		}
		w := p.Placement.Worker(part.Worker)
		if taken[k] || g.units[k].worker == part.Worker || !g.Shape.Fits(w.Total.Sub(w.Committed)) {
			continue
		}
		p.assignUnit(g, k, part.Worker)
		use(k)
	}
	return out, need == 0
}

func (p *Plan) freeUnits(g *guarantee) []int {
	var out []int
	for k := range g.units {
		if g.units[k].tasks == 0 {
			out = append(out, k)
		}
	}
	return out
}

// isAdjacent reports whether the placed units satisfy the guarantee's adjacency.
func (p *Plan) isAdjacent(g *guarantee) bool {
	at := ""
	for _, u := range g.units {
		if u.worker == _unplaced {
			continue
		}
		here := p.groupOf(u.worker, g.Adjacent)
		if at != "" && here != at {
			return false
		}
		at = here
	}
	return true
}

// DisplaceUnitsFor adds non-preemptible work on the given workers and moves free units
// off these workers as needed. It changes nothing and returns false if a unit or
// backup could not be placed elsewhere.
func (p *Plan) DisplaceUnitsFor(s berylshape.Shape, parts []berylplacement.Part) bool {
	p.begin()
	ok := true
	moved := map[*guarantee]bool{}
	for _, part := range parts {
		p.AddNonPreemptible(part.Worker, s, part.Tasks)
	}
	for _, part := range parts {
		if p.overcommitted[part.Worker] {
			p.moveUnitsOff(part.Worker, nil, moved)
		}
		ok = ok && !p.overcommitted[part.Worker]
	}
	ok = ok && p.placeMoved(moved)
	if ok {
		p.undo = nil
		return true
	}
	p.rollback()
	for _, part := range parts {
		p.AddNonPreemptible(part.Worker, s, -part.Tasks)
	}
	return false
}
