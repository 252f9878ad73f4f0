package berylguarantee

import (
	"slices"

	"berylglade/beryladjacency"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

// clearBackups gives up all backup places of a promise.
func (g *Plan) clearBackups(p *promise) {
	for _, d := range g.allDomains(p) {
		g.setBackups(p, d, nil)
	}
}

// allDomains returns the domains for which a promise has backups, sorted.
func (g *Plan) allDomains(p *promise) []string {
	out := make([]string, 0, len(p.backup))
	for d := range p.backup {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// setBackups replaces the backup places for one domain.
func (g *Plan) setBackups(p *promise, domain string, workers []int) {
	old := p.backup[domain]
	for _, w := range old {
		g.addBackup(w, domain, p.Shape, -1)
		g.home(w, p, -1)
	}
	for _, w := range workers {
		g.addBackup(w, domain, p.Shape, 1)
		g.home(w, p, 1)
	}
	if len(workers) == 0 {
		delete(p.backup, domain)
	} else {
		p.backup[domain] = workers
	}
	g.undo = append(g.undo, func() { g.setBackups(p, domain, old) })
}

func (g *Plan) addBackup(worker int, domain string, s berylshape.Shape, n int) {
	m := g.backups[worker]
	if m == nil {
		m = map[string]berylshape.Shape{}
		g.backups[worker] = m
	}
	before := most(m)
	m[domain] = m[domain].Add(s.Times(n))
	if m[domain].Empty() {
		delete(m, domain)
	}
	after := most(m)
	if len(m) == 0 {
		delete(g.backups, worker)
	}
	g.commit(worker, after.Sub(before), 1)
}

// most is the largest amount of each resource that any one domain needs.
func most(m map[string]berylshape.Shape) berylshape.Shape {
	out := berylshape.Shape{}
	for _, s := range m {
		out.Accelerators = max(out.Accelerators, s.Accelerators)
		out.Cores = max(out.Cores, s.Cores)
		out.Memory = max(out.Memory, s.Memory)
	}
	return out
}

// refreshBackups makes the backups match the units and reports whether every
// unit has one.
func (g *Plan) refreshBackups(p *promise) bool {
	if !p.Spare {
		return true
	}
	ok := true
	for _, d := range g.domains {
		if !g.refreshBackup(p, d) {
			ok = false
		}
	}
	return ok
}

func (g *Plan) refreshBackup(p *promise, domain string) bool {
	want := p.in(g, domain)
	have := p.backup[domain]
	if len(have) == want && !slices.ContainsFunc(have, func(w int) bool { return !g.good(w) }) {
		return true
	}
	g.setBackups(p, domain, nil)
	if want == 0 {
		return true
	}
	shared := func(w int) berylshape.Shape {
		m := g.backups[w]
		return most(m).Sub(m[domain])
	}
	r := berylplacement.Request{
		Shape:    p.Shape,
		Adjacent: p.Adjacent,
		Mode:     berylplacement.Evict,
		Exclude:    func(w int) bool { return g.Placement.Worker(w).Domain == domain },
		ExtraCapacity:    shared,
		Cost: func(w int) float64 {
			if p.Shape.Fits(shared(w)) {
				return 0
			}
			return 1
		},
	}
	workers := g.someBackups(p, domain, r, want)
	return len(workers) == want
}

// someBackups finds and sets up to want backup places; a set that has to stay
// together gets all or none.
func (g *Plan) someBackups(p *promise, domain string, r berylplacement.Request, want int) []int {
	var workers []int
	for n := want; n > 0 && len(workers) < want; {
		r.Tasks = min(n, want-len(workers))
		parts, ok := g.Placement.Find(r)
		if !ok && p.Adjacent != beryladjacency.Anywhere {
			break
		}
		if !ok {
			n = r.Tasks / 2
			continue
		}
		all := slices.Clone(workers)
		for _, part := range parts {
			for range part.Tasks {
				all = append(all, part.Worker)
			}
		}
		workers = all
		g.setBackups(p, domain, workers)
	}
	return workers
}
