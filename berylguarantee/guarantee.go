// Package berylguarantee keeps the guarantees of client accounts reclaimable.
//
// A [Guarantee] holds a plan that proves the invariant: every unit of every
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
	"fmt"
	"maps"
	"slices"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

// Guarantee is the plan for all guarantees.
type Guarantee struct {
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
func New(p *berylplacement.Placement) *Guarantee {
	return &Guarantee{
		Placement: p,
		firm:      map[int]berylshape.Shape{},
		busy:      map[int]berylshape.Shape{},
		reserved:  map[int]berylshape.Shape{},
		homes:     map[int]map[*promise]int{},
		backups:   map[int]map[string]berylshape.Shape{},
		debts:     map[int]bool{},
	}
}

// Check returns the guarantees that the given workers can never meet, together
// and with nothing else running.
func Check(workers []berylplacement.Worker, accounts map[string]berylconfig.ClientAccount) []Unmet {
	p := &berylplacement.Placement{}
	domains := make([]string, 0, len(workers))
	for i := range workers {
		w := &workers[i]
		p.SetUsable(p.Put(w.Name, w.Domain, w.Rack, w.Total), true)
		domains = append(domains, w.Domain)
	}
	g := New(p)
	g.Set(accounts)
	g.SetDomains(domains)
	g.Settle(time.Time{})
	return g.Unmet()
}

// Set takes over the guarantees of all accounts and returns the accounts whose
// guarantees changed. Grants of these accounts have ended; the caller restores or
// releases their gangs and then calls Settle.
func (g *Guarantee) Set(accounts map[string]berylconfig.ClientAccount) []string {
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

func (g *Guarantee) add(account string, gs []berylconfig.Guarantee) {
	for i, c := range gs {
		p := &promise{Guarantee: c, account: account, index: i, unsettled: true, backup: map[string][]int{}}
		p.units = make([]unit, c.Count)
		for k := range p.units {
			p.units[k].worker = _nowhere
		}
		g.promises = append(g.promises, p)
	}
}

func (g *Guarantee) drop(p *promise) {
	g.clearBackups(p)
	for k := range p.units {
		g.empty(p, k)
		g.move(p, k, _nowhere)
	}
}

// empty ends every use of a unit.
func (g *Guarantee) empty(p *promise, k int) {
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
func (g *Guarantee) SetDomains(domains []string) {
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
func (g *Guarantee) Protected(limit int) []berylplacement.Protected {
	var out []berylplacement.Protected
	for _, p := range g.promises {
		s := berylplacement.Protected{Shape: p.Shape, Count: p.Count, Adjacent: p.Adjacent}
		if len(out) < limit && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// Firm adds n tasks of firm work on a worker; n may be below zero.
func (g *Guarantee) Firm(worker int, s berylshape.Shape, n int) {
	g.firm[worker] = g.firm[worker].Add(s.Times(n))
	if g.firm[worker].Empty() {
		delete(g.firm, worker)
	}
	g.commit(worker, s, n)
}

// Reserve keeps room for n tasks of a waiting gang on a worker; n may be below
// zero.
func (g *Guarantee) Reserve(worker int, s berylshape.Shape, n int) {
	g.reserved[worker] = g.reserved[worker].Add(s.Times(n))
	if g.reserved[worker].Empty() {
		delete(g.reserved, worker)
	}
	g.commit(worker, s, n)
}

// FirmOn returns the firm work on a worker.
func (g *Guarantee) FirmOn(worker int) berylshape.Shape { return g.firm[worker] }

// Planned returns what units and their backups take on a worker.
func (g *Guarantee) Planned(worker int) berylshape.Shape {
	return g.Placement.Worker(worker).Committed.Sub(g.firm[worker]).Sub(g.reserved[worker])
}

// Loose returns the size of the free units on each worker that may go anywhere.
func (g *Guarantee) Loose() map[int]berylshape.Shape {
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

// InWay returns the shapes of the free units that would have to leave a worker before
// it has room for the given amount beside no firm work.
func (g *Guarantee) InWay(worker int, need berylshape.Shape) []berylshape.Shape {
	var out []berylshape.Shape
	room := g.Placement.Worker(worker).Total.Sub(g.Planned(worker))
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

// Changed says that a worker's size, place or usability changed.
func (g *Guarantee) Changed(worker int) {
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

func (g *Guarantee) commit(worker int, s berylshape.Shape, n int) {
	g.Placement.Commit(worker, s, n)
	g.recheck(worker)
}

func (g *Guarantee) recheck(worker int) {
	w := g.Placement.Worker(worker)
	if w.Committed.Sub(g.reserved[worker]).Fits(w.Total) {
		delete(g.debts, worker)
	} else {
		g.debts[worker] = true
	}
}

// move gives a unit another worker.
func (g *Guarantee) move(p *promise, k, worker int) {
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

func (g *Guarantee) home(worker int, p *promise, n int) {
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
func (g *Guarantee) at(worker int) []*promise {
	return slices.SortedFunc(maps.Keys(g.homes[worker]), hardest)
}

func (g *Guarantee) addBusy(worker int, s berylshape.Shape, n int) {
	g.busy[worker] = g.busy[worker].Add(s.Times(n))
	if g.busy[worker].Empty() {
		delete(g.busy, worker)
	}
}

// begin starts an attempt that rollback can undo.
func (g *Guarantee) begin() { g.undo = nil }

func (g *Guarantee) rollback() {
	steps := g.undo
	for i := len(steps) - 1; i >= 0; i-- {
		steps[i]()
	}
	g.undo = nil
}

// Settle gives a place to units that have none, lie on unusable workers or are
// in debt. It returns quickly when there are none.
func (g *Guarantee) Settle(now time.Time) {
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

// Retry makes the next Settle try again for every unit without a place.
func (g *Guarantee) Retry() {
	for _, p := range g.promises {
		p.due = time.Time{}
	}
}

func (g *Guarantee) settle(now time.Time, p *promise) {
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
func (g *Guarantee) lift(p *promise) {
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

func (g *Guarantee) good(worker int) bool {
	return g.Placement.Worker(worker).Usable && !g.debts[worker]
}

func (g *Guarantee) placeless(p *promise) []int {
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
func (g *Guarantee) spread(p *promise, units []int, debt bool) {
	r := berylplacement.Request{Shape: p.Shape, Adjacent: p.Adjacent, Mode: berylplacement.Evict}
	if debt {
		r.Bonus = func(w int) berylshape.Shape { return g.firm[w] }
	}
	if p.Spare && p.Adjacent == beryladjacency.Anywhere {
		units = g.balance(p, units, r)
	}
	if p.Adjacent != beryladjacency.Anywhere && len(units) < p.Count {
		r.Avoid = g.outside(p)
	}
	g.fill(p, units, r)
}

// balance spreads single units evenly over the failure domains, because the largest
// share of a domain is what the others have to spare.
func (g *Guarantee) balance(p *promise, units []int, r berylplacement.Request) []int {
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
func (g *Guarantee) fill(p *promise, units []int, r berylplacement.Request) []int {
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

// trade places units where free units of other promises are, and those elsewhere.
// On false the caller rolls back.
func (g *Guarantee) trade(p *promise, units []int, a beryladjacency.Adjacency, avoid func(int) bool) bool {
	if p.Adjacent != beryladjacency.Anywhere && len(units) < p.Count {
		return false
	}
	free := g.freeOfOthers(p)
	if len(free) == 0 {
		return false
	}
	parts, ok := g.Placement.Find(berylplacement.Request{
		Shape: p.Shape, Tasks: len(units), Adjacent: a, Mode: berylplacement.Evict, Avoid: avoid,
		Bonus: func(w int) berylshape.Shape { return free[w] },
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
func (g *Guarantee) resettle(moved map[*promise]bool) bool {
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
func (g *Guarantee) freeOfOthers(p *promise) map[int]berylshape.Shape {
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
func (g *Guarantee) clear(worker int, keep *promise, moved map[*promise]bool) {
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
func (g *Guarantee) Repack() bool {
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

// Promises returns the number of guarantees.
func (g *Guarantee) Promises() int { return len(g.promises) }

// Missing returns the units that have no place, as searches.
func (g *Guarantee) Missing() []berylplacement.Request {
	var out []berylplacement.Request
	for _, p := range g.promises {
		if !p.unsettled {
			continue
		}
		n := 0
		for _, u := range p.units {
			if u.tasks == 0 && (u.worker == _nowhere || !g.good(u.worker)) {
				n++
			}
		}
		if n == 0 || p.Adjacent != beryladjacency.Anywhere && n < p.Count {
			continue
		}
		out = append(out, berylplacement.Request{
			Shape: p.Shape, Tasks: n, Adjacent: p.Adjacent, Mode: berylplacement.Evict,
		})
	}
	return out
}

// outside excludes workers that are not close enough to the units that have a
// place.
func (g *Guarantee) outside(p *promise) func(int) bool {
	for _, u := range p.units {
		if u.worker != _nowhere {
			at := g.group(u.worker, p.Adjacent)
			return func(w int) bool { return g.group(w, p.Adjacent) != at }
		}
	}
	return nil
}

// group names the unit of adjacency that a worker is in.
func (g *Guarantee) group(worker int, a beryladjacency.Adjacency) string {
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
func (g *Guarantee) settleOn(p *promise, units []int, parts []berylplacement.Part) []int {
	for _, part := range parts {
		for range part.Tasks {
			g.move(p, units[0], part.Worker)
			units = units[1:]
		}
	}
	return units
}

// Unmet returns the guarantees that do not hold now.
func (g *Guarantee) Unmet() []Unmet {
	var out []Unmet
	for _, p := range g.promises {
		n := 0
		for _, u := range p.units {
			if u.tasks == 0 && (u.worker == _nowhere || !g.good(u.worker)) {
				n++
			}
		}
		if n > 0 {
			out = append(out, Unmet{
				Account: p.account, Index: p.index, Units: n,
				Reason: fmt.Sprintf("%d of %d units of %v adjacent %v have no place", n, p.Count, p.Shape, p.Adjacent),
			})
			continue
		}
		if d, n := g.exposed(p); n > 0 {
			out = append(out, Unmet{
				Account: p.account, Index: p.index, Units: n,
				Reason: fmt.Sprintf("%d of %d units of %v have no place without failure domain %s", n, p.Count, p.Shape, d),
			})
		}
	}
	return out
}

// exposed returns the failure domain whose loss takes the most units that have no
// backup.
func (g *Guarantee) exposed(p *promise) (string, int) {
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

// in returns the number of units in a failure domain.
func (p *promise) in(g *Guarantee, domain string) int {
	n := 0
	for _, u := range p.units {
		if u.worker != _nowhere && g.Placement.Worker(u.worker).Domain == domain {
			n++
		}
	}
	return n
}
