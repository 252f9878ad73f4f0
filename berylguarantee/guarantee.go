// Package berylguarantee keeps the guarantees of client accounts reclaimable.
//
// A [Plan] holds a plan that proves the invariant: every unit of every
// guarantee has a worker on which nothing but reclaimable work or the account's
// own work stands in its way. Units and firm work are committed on the workers of
// a berylplacement.Placement, so a search for firm work sees only what the plan
// leaves over, and checking a placement costs no more than the workers it uses.
//
// A unit that a gang of its account uses stays on its worker until the gang ends;
// free units move when that helps. For guarantees with spare the plan also has a
// backup place for each unit in case its failure domain goes out. Backups for
// different domains share capacity, since one domain is out at a time.
//
// Where a change of workers or configuration leaves a unit no such worker, the
// unit waits on a worker that only firm work occupies, which takes no further firm
// work (debt), or has no place at all until capacity comes back.
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

// Plan is the plan for all guarantees.
type Plan struct {
	// Placement holds the workers; the plan changes only what is committed.
	Placement *berylplacement.Placement

	promises []*promise
	// firm is the work on each worker that can't be reclaimed and that no
	// guarantee covers.
	firm map[int]berylshape.Shape
	// busy is the size of the units in use on each worker.
	busy map[int]berylshape.Shape
	// reserved is committed for a waiting gang; it is no debt, as the gang
	// takes the capacity only once it is there.
	reserved map[int]berylshape.Shape
	// homes are the promises with a unit or backup on a worker, with the number.
	homes map[int]map[*promise]int
	// backups on each worker by the domain that would be out.
	backups map[int]map[string]berylshape.Shape
	// debts are workers that owe more than they have.
	debts map[int]bool
	// domains that spare guarantees have to survive; empty while one is out.
	domains []string
	// undo holds the steps that roll back the current attempt.
	undo []func()
}

// promise is one guarantee of one account.
type promise struct {
	berylconfig.Guarantee
	account string
	index   int
	units   []unit
	backup  map[string][]int
	// unsettled is set while a unit or backup may have no place.
	unsettled bool
	// due is the earliest time of the next attempt to settle.
	due time.Time
}

// _retry is the time between attempts to settle a promise that found no place;
// an attempt at 11,000 workers costs several milliseconds.
const _retry = time.Second

// _nowhere is the worker of a unit that has no place.
const _nowhere = -1

// unit is one unit of a guarantee.
type unit struct {
	worker int
	tasks  int
	used   berylshape.Shape
}

// Unmet is a guarantee that does not hold now.
type Unmet struct {
	Account string `json:"account"`
	// Index is the place in the account's list.
	Index int `json:"index"`
	// Units is the number without a place.
	Units int `json:"units"`
	// Reason says what is missing.
	Reason string `json:"reason"`
}

// New returns a plan without guarantees.
func New(p *berylplacement.Placement) *Plan {
	return &Plan{
		Placement: p,
		firm:      map[int]berylshape.Shape{},
		busy:      map[int]berylshape.Shape{},
		reserved:  map[int]berylshape.Shape{},
		homes:     map[int]map[*promise]int{},
		backups:   map[int]map[string]berylshape.Shape{},
		debts:     map[int]bool{},
	}
}

// Set takes over the guarantees of all accounts and returns the accounts whose
// guarantees changed. Grants of these accounts have ended; the caller restores or
// releases their gangs and then calls Settle.
func (g *Plan) Set(accounts map[string]berylconfig.ClientAccount) []string {
	old := map[string][]berylconfig.Guarantee{}
	for _, p := range g.promises {
		old[p.account] = append(old[p.account], p.Guarantee)
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
	g.promises = slices.DeleteFunc(g.promises, func(p *promise) bool {
		_, drop := slices.BinarySearch(changed, p.account)
		if drop {
			g.drop(p)
		}
		return drop
	})
	for _, name := range changed {
		g.add(name, accounts[name].Guarantees)
	}
	slices.SortFunc(g.promises, hardest)
	g.undo = nil
	return changed
}

func (g *Plan) add(account string, gs []berylconfig.Guarantee) {
	for i, c := range gs {
		p := &promise{Guarantee: c, account: account, index: i, unsettled: true, backup: map[string][]int{}}
		p.units = make([]unit, c.Count)
		for k := range p.units {
			p.units[k].worker = _nowhere
		}
		g.promises = append(g.promises, p)
	}
}

func (g *Plan) drop(p *promise) {
	g.clearBackups(p)
	for k := range p.units {
		g.empty(p, k)
		g.move(p, k, _nowhere)
	}
}

// empty ends every use of a unit.
func (g *Plan) empty(p *promise, k int) {
	if p.units[k].tasks > 0 {
		g.addBusy(p.units[k].worker, p.Shape, -1)
	}
	p.units[k].tasks = 0
	p.units[k].used = berylshape.Shape{}
}

// hardest orders promises so that those with the fewest choices are planned
// first.
func hardest(a, b *promise) int {
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

// SetDomains names the failure domains of which any one may go out; none while
// one is out already.
func (g *Plan) SetDomains(domains []string) {
	domains = slices.Clone(domains)
	slices.Sort(domains)
	domains = slices.Compact(domains)
	if slices.Equal(domains, g.domains) {
		return
	}
	g.domains = domains
	for _, p := range g.promises {
		if p.Spare {
			g.clearBackups(p)
			p.unsettled = true
		}
	}
	g.undo = nil
}

// Protected returns the guaranteed shapes, those with the fewest choices first.
func (g *Plan) Protected(limit int) []berylplacement.Protected {
	var out []berylplacement.Protected
	for _, p := range g.promises {
		s := berylplacement.Protected{Shape: p.Shape, Count: p.Count, Adjacent: p.Adjacent}
		if len(out) < limit && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// AddNonPreemptible adds n tasks of firm work on a worker; n may be below zero.
func (g *Plan) AddNonPreemptible(worker int, s berylshape.Shape, n int) {
	g.firm[worker] = g.firm[worker].Add(s.Times(n))
	if g.firm[worker].Empty() {
		delete(g.firm, worker)
	}
	g.commit(worker, s, n)
}

// Reserve keeps room for n tasks of a waiting gang on a worker; n may be below
// zero.
func (g *Plan) Reserve(worker int, s berylshape.Shape, n int) {
	g.reserved[worker] = g.reserved[worker].Add(s.Times(n))
	if g.reserved[worker].Empty() {
		delete(g.reserved, worker)
	}
	g.commit(worker, s, n)
}

// NonPreemptibleOn returns the firm work on a worker.
func (g *Plan) NonPreemptibleOn(worker int) berylshape.Shape { return g.firm[worker] }

// GuaranteedOn returns what units and their backups take on a worker.
func (g *Plan) GuaranteedOn(worker int) berylshape.Shape {
	return g.Placement.Worker(worker).Committed.Sub(g.firm[worker]).Sub(g.reserved[worker])
}

// MovableUnits returns the size of the free units on each worker that may go anywhere.
func (g *Plan) MovableUnits() map[int]berylshape.Shape {
	out := map[int]berylshape.Shape{}
	for _, p := range g.promises {
		if p.Adjacent != beryladjacency.Anywhere {
			continue
		}
		for _, u := range p.units {
			if u.tasks == 0 && u.worker != _nowhere {
				out[u.worker] = out[u.worker].Add(p.Shape)
			}
		}
	}
	return out
}

// BlockingUnits returns the shapes of the free units that would have to leave a worker before
// it has room for the given amount beside no firm work.
func (g *Plan) BlockingUnits(worker int, need berylshape.Shape) []berylshape.Shape {
	var out []berylshape.Shape
	room := g.Placement.Worker(worker).Total.Sub(g.GuaranteedOn(worker))
	for _, p := range g.at(worker) {
		for _, u := range p.units {
			if need.Fits(room) {
				return out
			}
			if p.Adjacent == beryladjacency.Anywhere && u.worker == worker && u.tasks == 0 {
				room = room.Add(p.Shape)
				out = append(out, p.Shape)
			}
		}
	}
	return out
}

// WorkerChanged says that a worker's size, place or usability changed.
func (g *Plan) WorkerChanged(worker int) {
	g.recheck(worker)
	for _, p := range g.at(worker) {
		p.unsettled = true
		p.due = time.Time{}
	}
	for _, p := range g.promises {
		if p.unsettled {
			p.due = time.Time{}
		}
	}
}

func (g *Plan) commit(worker int, s berylshape.Shape, n int) {
	g.Placement.AddCommitted(worker, s, n)
	g.recheck(worker)
}

func (g *Plan) recheck(worker int) {
	w := g.Placement.Worker(worker)
	if w.Committed.Sub(g.reserved[worker]).Fits(w.Total) {
		delete(g.debts, worker)
	} else {
		g.debts[worker] = true
	}
}

// move gives a unit another worker.
func (g *Plan) move(p *promise, k, worker int) {
	old := p.units[k].worker
	if old == worker {
		return
	}
	if old != _nowhere {
		g.commit(old, p.Shape, -1)
		g.home(old, p, -1)
	}
	p.units[k].worker = worker
	if worker != _nowhere {
		g.commit(worker, p.Shape, 1)
		g.home(worker, p, 1)
	}
	g.undo = append(g.undo, func() { g.move(p, k, old) })
}

func (g *Plan) home(worker int, p *promise, n int) {
	m := g.homes[worker]
	if m == nil {
		m = map[*promise]int{}
		g.homes[worker] = m
	}
	m[p] += n
	if m[p] == 0 {
		delete(m, p)
	}
	if len(m) == 0 {
		delete(g.homes, worker)
	}
}

// at returns the promises with a unit or backup on a worker, in plan order.
func (g *Plan) at(worker int) []*promise {
	return slices.SortedFunc(maps.Keys(g.homes[worker]), hardest)
}

func (g *Plan) addBusy(worker int, s berylshape.Shape, n int) {
	g.busy[worker] = g.busy[worker].Add(s.Times(n))
	if g.busy[worker].Empty() {
		delete(g.busy, worker)
	}
}

// balance spreads single units evenly over the failure domains, because the largest
// share of a domain is what the others have to spare.
func (g *Plan) balance(p *promise, units []int, r berylplacement.Request) []int {
	for _, d := range g.domains {
		share := (p.Count+len(g.domains)-1)/len(g.domains) - p.in(g, d)
		n := min(max(share, 0), len(units))
		r.Domain = d
		rest := g.fill(p, units[:n], r)
		units = append(slices.Clone(rest), units[n:]...)
	}
	return units
}

// fill places as many of the units as it finds places for and returns the others.
func (g *Plan) fill(p *promise, units []int, r berylplacement.Request) []int {
	for n := len(units); n > 0 && len(units) > 0; {
		r.Tasks = min(n, len(units))
		parts, ok := g.Placement.Find(r)
		if ok {
			units = g.settleOn(p, units, parts)
			continue
		}
		if p.Adjacent != beryladjacency.Anywhere {
			break
		}
		n = r.Tasks / 2
	}
	return units
}

// exposed returns the failure domain whose loss takes the most units that have no
// backup.
func (g *Plan) exposed(p *promise) (string, int) {
	domain, most := "", 0
	if !p.Spare {
		return domain, most
	}
	for _, d := range g.domains {
		if n := p.in(g, d) - len(p.backup[d]); n > most {
			domain, most = d, n
		}
	}
	return domain, most
}
