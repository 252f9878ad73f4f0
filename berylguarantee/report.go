package berylguarantee

import (
	"fmt"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylplacement"
)

// Check returns the guarantees that the given workers can't provide all together, even
// with no work running.
func Check(workers []berylplacement.Worker, accounts map[string]berylconfig.ClientAccount) []Unmet {
	placement := &berylplacement.Placement{}
	domains := make([]string, 0, len(workers))
	for i := range workers {
		w := &workers[i]
		placement.SetUsable(placement.Put(w.Name, w.Domain, w.Rack, w.Total), true)
		domains = append(domains, w.Domain)
	}
	p := New(placement)
	p.Set(accounts)
	p.SetDomains(domains)
	p.Reconcile(time.Time{})
	return p.Unmet()
}

// Len returns the number of guarantees.
func (p *Plan) Len() int { return len(p.guarantees) }

// UnplacedUnits returns the free units that are unplaced or on unhealthy workers, as
// search requests. Units that have to be adjacent are included only as a whole set.
func (p *Plan) UnplacedUnits() []berylplacement.Request {
	var out []berylplacement.Request
	for _, g := range p.guarantees {
		if !g.needsReconcile {
			continue
		}
		n := 0
		for _, u := range g.units {
			if u.tasks == 0 && (u.worker == _unplaced || !p.healthy(u.worker)) {
				n++
			}
		}
		if n == 0 || g.Adjacent != beryladjacency.Anywhere && n < g.Count {
			continue
		}
		out = append(out, berylplacement.Request{
			Shape: g.Shape, Tasks: n, Adjacent: g.Adjacent, Mode: berylplacement.Evict,
		})
	}
	return out
}

// Unmet returns the guarantees that can't be provided now.
func (p *Plan) Unmet() []Unmet {
	var out []Unmet
	for _, g := range p.guarantees {
		n := 0
		for _, u := range g.units {
			if u.tasks == 0 && (u.worker == _unplaced || !p.healthy(u.worker)) {
				n++
			}
		}
		if n > 0 {
			out = append(out, Unmet{
				Account: g.account, Index: g.index, Units: n,
				Reason: fmt.Sprintf("%d of %d units of %v adjacent %v have no place", n, g.Count, g.Shape, g.Adjacent),
			})
			continue
		}
		if d, n := p.mostExposedDomain(g); n > 0 {
			out = append(out, Unmet{
				Account: g.account, Index: g.index, Units: n,
				Reason: fmt.Sprintf("%d of %d units of %v have no place without failure domain %s", n, g.Count, g.Shape, d),
			})
		}
	}
	return out
}

// unitsIn returns the number of units in a failure domain.
func (g *guarantee) unitsIn(p *Plan, domain string) int {
	n := 0
	for _, u := range g.units {
		if u.worker != _unplaced && p.Placement.Worker(u.worker).Domain == domain {
			n++
		}
	}
	return n
}
