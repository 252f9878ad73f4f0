package berylguarantee

import (
	"slices"

	"berylglade/beryladjacency"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

// clearBackups withdraws all backups of a guarantee.
func (p *Plan) clearBackups(g *guarantee) {
	for _, d := range p.backupDomains(g) {
		p.setBackups(g, d, nil)
	}
}

// backupDomains returns the domains for which a guarantee has backups, sorted.
func (p *Plan) backupDomains(g *guarantee) []string {
	out := make([]string, 0, len(g.backup))
	for d := range g.backup {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// setBackups replaces the backup workers for an outage of one domain.
func (p *Plan) setBackups(g *guarantee, domain string, workers []int) {
	old := g.backup[domain]
	for _, w := range old {
		p.addBackup(w, domain, g.Shape, -1)
		p.addPlaced(w, g, -1)
	}
	for _, w := range workers {
		p.addBackup(w, domain, g.Shape, 1)
		p.addPlaced(w, g, 1)
	}
	if len(workers) == 0 {
		delete(g.backup, domain)
	} else {
		g.backup[domain] = workers
	}
	p.undo = append(p.undo, func() { p.setBackups(g, domain, old) })
}

// addBackup adds n times a shape to the backup capacity on a worker for an outage of
// one domain. It commits the maximum over the domains, as backups share capacity.
func (p *Plan) addBackup(worker int, domain string, s berylshape.Shape, n int) {
	m := p.backups[worker]
	if m == nil {
		m = map[string]berylshape.Shape{}
		p.backups[worker] = m
	}
	before := maxOverDomains(m)
	m[domain] = m[domain].Add(s.Times(n))
	if m[domain].Empty() {
		delete(m, domain)
	}
	after := maxOverDomains(m)
	if len(m) == 0 {
		delete(p.backups, worker)
	}
	p.commit(worker, after.Sub(before), 1)
}

// maxOverDomains returns the largest amount of each resource that any domain needs.
func maxOverDomains(m map[string]berylshape.Shape) berylshape.Shape {
	out := berylshape.Shape{}
	for _, s := range m {
		out.Accelerators = max(out.Accelerators, s.Accelerators)
		out.Cores = max(out.Cores, s.Cores)
		out.Memory = max(out.Memory, s.Memory)
	}
	return out
}

// refreshBackups updates the backups to match the placed units and reports whether
// each unit has one. It returns true for guarantees without spare.
func (p *Plan) refreshBackups(g *guarantee) bool {
	if !g.Spare {
		return true
	}
	ok := true
	for _, d := range p.domains {
		if !p.refreshBackup(g, d) {
			ok = false
		}
	}
	return ok
}

func (p *Plan) refreshBackup(g *guarantee, domain string) bool {
	want := g.unitsIn(p, domain)
	have := g.backup[domain]
	if len(have) == want && !slices.ContainsFunc(have, func(w int) bool { return !p.healthy(w) }) {
		return true
	}
	p.setBackups(g, domain, nil)
	if want == 0 {
		return true
	}
	shared := func(w int) berylshape.Shape {
		m := p.backups[w]
		return maxOverDomains(m).Sub(m[domain])
	}
	r := berylplacement.Request{
		Shape:         g.Shape,
		Adjacent:      g.Adjacent,
		Mode:          berylplacement.Evict,
		Exclude:       func(w int) bool { return p.Placement.Worker(w).Domain == domain },
		ExtraCapacity: shared,
		Cost: func(w int) float64 {
			if g.Shape.Fits(shared(w)) {
				return 0
			}
			return 1
		},
	}
	workers := p.findBackups(g, domain, r, want)
	return len(workers) == want
}

// findBackups finds and sets up to want backup workers; a set of units that has to be
// adjacent gets all or none.
func (p *Plan) findBackups(g *guarantee, domain string, r berylplacement.Request, want int) []int {
	var workers []int
	for n := want; n > 0 && len(workers) < want; {
		r.Tasks = min(n, want-len(workers))
		parts, ok := p.Placement.Find(r)
		if !ok && g.Adjacent != beryladjacency.Anywhere {
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
		p.setBackups(g, domain, workers)
	}
	return workers
}
