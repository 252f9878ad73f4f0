// Package berylguarantee ensures that the guaranteed capacity of client accounts can
// be made available at any time.
//
// A guarantee is a number of units of one shape; each unit has to fit on one worker. A
// [Plan] maintains this invariant: every unit is assigned to a worker, and the capacity
// that the unit needs there is free or used only by preemptible work or by the
// account's own work. Units and non-preemptible work are committed on the workers
// of a [berylplacement.Placement], so a search for non-preemptible work sees only
// capacity that the plan does not need, and checking a placement costs time in
// proportion to the workers that it uses.
//
// A unit that is in use by a gang of its account stays on its worker until the gang
// ends; free units are reassigned when that helps. A guarantee whose Spare
// setting is true must hold even while one failure domain is out. For each of its units
// the plan also assigns a backup worker, for an outage of the unit's failure domain.
// Backups for different domains share capacity, since the plan covers an outage of
// one domain at a time.
//
// If a change of workers or configuration leaves no such worker for a unit, the unit
// is assigned to a worker that non-preemptible work occupies. That worker is then
// overcommitted and accepts no further non-preemptible work. If there is no such
// worker either, the unit is unplaced until capacity returns.
package berylguarantee

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

// Plan assigns the units of all guarantees to workers.
type Plan struct {
	// Placement is the index of workers. The plan changes only the committed
	// capacity in it.
	Placement *berylplacement.Placement

	guarantees []*guarantee
	// nonPreemptible is the non-preemptible work on each worker that no guarantee
	// covers.
	nonPreemptible map[int]berylshape.Shape
	// inUse is the total size of the units in use on each worker.
	inUse map[int]berylshape.Shape
	// reserved is committed for a waiting gang. It does not make a worker
	// overcommitted, as the gang starts only once the capacity is free.
	reserved map[int]berylshape.Shape
	// placed counts the units and backups of each guarantee on each worker.
	placed map[int]map[*guarantee]int
	// backups is the backup capacity on each worker by the domain whose outage it
	// covers.
	backups map[int]map[string]berylshape.Shape
	// overcommitted has the workers with more committed than their total, without
	// reservations.
	overcommitted map[int]bool
	// domains are the failure domains whose outage guarantees with spare have to
	// survive; empty while one is out.
	domains []string
	// undo has the steps that roll back the current attempt, oldest first.
	undo []func()
}

// guarantee is one guarantee of an account and the state of its units.
type guarantee struct {
	berylconfig.Guarantee
	account string
	// index is the position in the account's list.
	index int
	units []unit
	// backup has the backup workers by the failure domain whose outage they cover.
	backup map[string][]int
	// needsReconcile is set while a unit or backup may be unplaced.
	needsReconcile bool
	// retryAt is the earliest time of the next attempt to reconcile.
	retryAt time.Time
}

// _retryInterval is the time between attempts to reconcile a guarantee with unplaced
// units; an attempt with 11,000 workers takes several milliseconds.
const _retryInterval = time.Second

// _unplaced is the worker of a unit that is not assigned to any.
const _unplaced = -1

// unit is one unit of a guarantee.
type unit struct {
	worker int
	// tasks is the number of tasks that use the unit; zero means that it is free.
	tasks int
	// used is the capacity that these tasks use.
	used berylshape.Shape
}

// Unmet is a guarantee that can't be provided now.
type Unmet struct {
	Account string `json:"account"`
	// Index is the position in the account's list.
	Index int `json:"index"`
	// Units is the number of units that are unplaced or without a backup.
	Units int `json:"units"`
	// Reason says what is missing.
	Reason string `json:"reason"`
}

// New returns a plan without guarantees.
func New(placement *berylplacement.Placement) *Plan {
	return &Plan{
		Placement:      placement,
		nonPreemptible: map[int]berylshape.Shape{},
		inUse:          map[int]berylshape.Shape{},
		reserved:       map[int]berylshape.Shape{},
		placed:         map[int]map[*guarantee]int{},
		backups:        map[int]map[string]berylshape.Shape{},
		overcommitted:  map[int]bool{},
	}
}

// Set replaces the guarantees of all accounts and returns the accounts whose
// guarantees changed, sorted. Grants of these accounts are no longer valid: the caller
// restores or releases their gangs and then calls Reconcile.
func (p *Plan) Set(accounts map[string]berylconfig.ClientAccount) []string {
	old := map[string][]berylconfig.Guarantee{}
	for _, g := range p.guarantees {
		old[g.account] = append(old[g.account], g.Guarantee)
	}
	var changed []string
	for name := range old {
		if !slices.Equal(accounts[name].Guarantees, old[name]) {
			changed = append(changed, name)
		}
	}
	for name, a := range accounts {
		if len(a.Guarantees) > 0 && old[name] == nil {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	p.guarantees = slices.DeleteFunc(p.guarantees, func(g *guarantee) bool {
		_, drop := slices.BinarySearch(changed, g.account)
		if drop {
			p.remove(g)
		}
		return drop
	})
	for _, name := range changed {
		p.add(name, accounts[name].Guarantees)
	}
	slices.SortFunc(p.guarantees, mostConstrainedFirst)
	p.undo = nil
	return changed
}

func (p *Plan) add(account string, gs []berylconfig.Guarantee) {
	for i, c := range gs {
		g := &guarantee{Guarantee: c, account: account, index: i, needsReconcile: true, backup: map[string][]int{}}
		g.units = make([]unit, c.Count)
		for k := range g.units {
			g.units[k].worker = _unplaced
		}
		p.guarantees = append(p.guarantees, g)
	}
}

// remove withdraws all units and backups of a guarantee from their workers.
func (p *Plan) remove(g *guarantee) {
	p.clearBackups(g)
	for k := range g.units {
		p.endUse(g, k)
		p.assignUnit(g, k, _unplaced)
	}
}

// endUse marks a unit as free.
func (p *Plan) endUse(g *guarantee, k int) {
	if g.units[k].tasks > 0 {
		p.addInUse(g.units[k].worker, g.Shape, -1)
	}
	g.units[k].tasks = 0
	g.units[k].used = berylshape.Shape{}
}

// mostConstrainedFirst orders guarantees so that those that fit on the fewest workers
// are planned first.
func mostConstrainedFirst(a, b *guarantee) int {
	return cmp.Or(
		cmp.Compare(b.Adjacent, a.Adjacent),
		cmp.Compare(b.Shape.Accelerators, a.Shape.Accelerators),
		cmp.Compare(b.Shape.Cores, a.Shape.Cores),
		cmp.Compare(b.Shape.Memory, a.Shape.Memory),
		cmp.Compare(b.Count, a.Count),
		cmp.Compare(a.account, b.account),
		cmp.Compare(a.index, b.index),
	)
}

// SetDomains sets the failure domains of which any single one may have an outage. The
// caller passes none while one is out already.
func (p *Plan) SetDomains(domains []string) {
	domains = slices.Clone(domains)
	slices.Sort(domains)
	domains = slices.Compact(domains)
	if slices.Equal(domains, p.domains) {
		return
	}
	p.domains = domains
	for _, g := range p.guarantees {
		if g.Spare {
			p.clearBackups(g)
			g.needsReconcile = true
		}
	}
	p.undo = nil
}

// Protected returns up to limit distinct guaranteed shapes, the most constrained
// first.
func (p *Plan) Protected(limit int) []berylplacement.Protected {
	var out []berylplacement.Protected
	for _, g := range p.guarantees {
		s := berylplacement.Protected{Shape: g.Shape, Count: g.Count, Adjacent: g.Adjacent}
		if len(out) < limit && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// AddNonPreemptible adds n tasks of non-preemptible work on a worker; n may be
// negative.
func (p *Plan) AddNonPreemptible(worker int, s berylshape.Shape, n int) {
	p.nonPreemptible[worker] = p.nonPreemptible[worker].Add(s.Times(n))
	if p.nonPreemptible[worker].Empty() {
		delete(p.nonPreemptible, worker)
	}
	p.commit(worker, s, n)
}

// Reserve reserves capacity on a worker for n tasks of a waiting gang; n may be
// negative.
func (p *Plan) Reserve(worker int, s berylshape.Shape, n int) {
	p.reserved[worker] = p.reserved[worker].Add(s.Times(n))
	if p.reserved[worker].Empty() {
		delete(p.reserved, worker)
	}
	p.commit(worker, s, n)
}

// NonPreemptibleOn returns the size of the non-preemptible work on a worker that no
// guarantee covers.
func (p *Plan) NonPreemptibleOn(worker int) berylshape.Shape { return p.nonPreemptible[worker] }

// GuaranteedOn returns the capacity of a worker that is committed to units and
// backups.
func (p *Plan) GuaranteedOn(worker int) berylshape.Shape {
	return p.Placement.Worker(worker).Committed.Sub(p.nonPreemptible[worker]).Sub(p.reserved[worker])
}

// MovableUnits returns, by worker, the total size of the free units of guarantees
// without adjacency.
func (p *Plan) MovableUnits() map[int]berylshape.Shape {
	out := map[int]berylshape.Shape{}
	for _, g := range p.guarantees {
		if g.Adjacent != beryladjacency.Anywhere {
			continue
		}
		for _, u := range g.units {
			if u.tasks == 0 && u.worker != _unplaced {
				out[u.worker] = out[u.worker].Add(g.Shape)
			}
		}
	}
	return out
}

// BlockingUnits returns the shapes of the free units that have to be moved off a
// worker before need fits there, assuming that all non-preemptible work on it has
// ended.
func (p *Plan) BlockingUnits(worker int, need berylshape.Shape) []berylshape.Shape {
	var out []berylshape.Shape
	room := p.Placement.Worker(worker).Total.Sub(p.GuaranteedOn(worker))
	for _, g := range p.guaranteesOn(worker) {
		for _, u := range g.units {
			if need.Fits(room) {
				return out
			}
			if g.Adjacent == beryladjacency.Anywhere && u.worker == worker && u.tasks == 0 {
				room = room.Add(g.Shape)
				out = append(out, g.Shape)
			}
		}
	}
	return out
}

// WorkerChanged is called after a worker's total, domain, rack or usability changed.
// It makes the next Reconcile check the worker's guarantees and retry all unplaced
// units.
func (p *Plan) WorkerChanged(worker int) {
	p.recheck(worker)
	for _, g := range p.guaranteesOn(worker) {
		g.needsReconcile = true
		g.retryAt = time.Time{}
	}
	for _, g := range p.guarantees {
		if g.needsReconcile {
			g.retryAt = time.Time{}
		}
	}
}

func (p *Plan) commit(worker int, s berylshape.Shape, n int) {
	p.Placement.AddCommitted(worker, s, n)
	p.recheck(worker)
}

// recheck updates whether a worker is overcommitted.
func (p *Plan) recheck(worker int) {
	w := p.Placement.Worker(worker)
	if w.Committed.Sub(p.reserved[worker]).Fits(w.Total) {
		delete(p.overcommitted, worker)
	} else {
		p.overcommitted[worker] = true
	}
}

// assignUnit reassigns unit k to a worker, or to none if worker is _unplaced.
func (p *Plan) assignUnit(g *guarantee, k, worker int) {
	old := g.units[k].worker
	if old == worker {
		return
	}
	if old != _unplaced {
		p.commit(old, g.Shape, -1)
		p.addPlaced(old, g, -1)
	}
	g.units[k].worker = worker
	if worker != _unplaced {
		p.commit(worker, g.Shape, 1)
		p.addPlaced(worker, g, 1)
	}
	p.undo = append(p.undo, func() { p.assignUnit(g, k, old) })
}

// addPlaced adds n to the number of units and backups of a guarantee on a worker.
func (p *Plan) addPlaced(worker int, g *guarantee, n int) {
	m := p.placed[worker]
	if m == nil {
		m = map[*guarantee]int{}
		p.placed[worker] = m
	}
	m[g] += n
	if m[g] == 0 {
		delete(m, g)
	}
	if len(m) == 0 {
		delete(p.placed, worker)
	}
}

// guaranteesOn returns the guarantees with a unit or backup on a worker, the most
// constrained first.
func (p *Plan) guaranteesOn(worker int) []*guarantee {
	return slices.SortedFunc(maps.Keys(p.placed[worker]), mostConstrainedFirst)
}

func (p *Plan) addInUse(worker int, s berylshape.Shape, n int) {
	p.inUse[worker] = p.inUse[worker].Add(s.Times(n))
	if p.inUse[worker].Empty() {
		delete(p.inUse, worker)
	}
}

// placeBalanced places units evenly over the failure domains and returns the units
// that are left. The domain with the most units determines the backup capacity that
// the other domains have to provide.
func (p *Plan) placeBalanced(g *guarantee, units []int, r berylplacement.Request) []int {
	for _, d := range p.domains {
		share := (g.Count+len(p.domains)-1)/len(p.domains) - g.unitsIn(p, d)
		n := min(max(share, 0), len(units))
		r.Domain = d
		rest := p.placeAsManyAsFit(g, units[:n], r)
		units = append(slices.Clone(rest), units[n:]...)
	}
	return units
}

// placeAsManyAsFit places as many of the units as fit and returns the others. Units
// that have to be adjacent are placed all together or not at all.
func (p *Plan) placeAsManyAsFit(g *guarantee, units []int, r berylplacement.Request) []int {
	for n := len(units); n > 0 && len(units) > 0; {
		r.Tasks = min(n, len(units))
		parts, ok := p.Placement.Find(r)
		if ok {
			units = p.assignUnits(g, units, parts)
			continue
		}
		if g.Adjacent != beryladjacency.Anywhere {
			break
		}
		n = r.Tasks / 2
	}
	return units
}

// mostExposedDomain returns the failure domain with the most units that have no backup,
// and their number.
func (p *Plan) mostExposedDomain(g *guarantee) (string, int) {
	domain, most := "", 0
	if !g.Spare {
		return domain, most
	}
	for _, d := range p.domains {
		if n := g.unitsIn(p, d) - len(g.backup[d]); n > most {
			domain, most = d, n
		}
	}
	return domain, most
}
