package berylguarantee

import (
	"fmt"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylplacement"
)

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
	g.Reconcile(time.Time{})
	return g.Unmet()
}

// Len returns the number of guarantees.
func (g *Plan) Len() int { return len(g.promises) }

// UnplacedUnits returns the units that have no place, as searches.
func (g *Plan) UnplacedUnits() []berylplacement.Request {
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

// Unmet returns the guarantees that do not hold now.
func (g *Plan) Unmet() []Unmet {
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

// in returns the number of units in a failure domain.
func (p *promise) in(g *Plan, domain string) int {
	n := 0
	for _, u := range p.units {
		if u.worker != _nowhere && g.Placement.Worker(u.worker).Domain == domain {
			n++
		}
	}
	return n
}
