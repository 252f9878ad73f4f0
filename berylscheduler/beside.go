package berylscheduler

import (
	"fmt"

	"berylglade/berylguarantee"
	"berylglade/berylplacement"
)

// scratch is the known cluster with its guarantees and nothing running.
type scratch struct {
	place     *berylplacement.Placement
	guarantee *berylguarantee.Plan
}

// besideGuarantees returns why a job can never run because other accounts hold
// guarantees, or nothing. It plans all guarantees afresh, which is too slow for a large
// cluster; there such a job waits and is reported late.
func (s *Scheduler) besideGuarantees(j *job) string {
	if s.opts.NoGuarantee || s.class(j).Checkpoint || s.guarantee.Len()*s.place.Len() > _repackMost {
		return ""
	}
	if s.empty == nil {
		s.empty = s.newScratch()
	}
	for _, domain := range s.choices(j) {
		if s.empty.takes(j, domain) {
			return ""
		}
	}
	return fmt.Sprintf("%d tasks of %v with adjacency %v do not fit beside the guarantees of other accounts and the class has no checkpoint",
		j.Tasks, j.Shape, j.Adjacent)
}

func (s *Scheduler) newScratch() *scratch {
	p := &berylplacement.Placement{Protect: s.place.Protect}
	out := &scratch{place: p, guarantee: berylguarantee.New(p)}
	for i := range s.workers {
		w := s.place.Worker(i)
		p.SetUsable(p.Put(w.Name, w.Domain, w.Rack, w.Total), w.Known)
	}
	names := make([]string, 0, len(s.domains))
	for name := range s.domains {
		names = append(names, name)
	}
	out.guarantee.Set(s.cfg.Accounts)
	out.guarantee.SetDomains(names)
	out.guarantee.Reconcile(s.now)
	return out
}

func (c *scratch) takes(j *job, domain string) bool {
	if grant := c.guarantee.Claim(berylguarantee.Gang{
		Account: j.Account, Shape: j.Shape, Tasks: j.Tasks, Adjacent: j.Adjacent,
	}, true); grant != nil {
		c.guarantee.Release(grant)
		return true
	}
	r := berylplacement.Request{
		Shape: j.Shape, Tasks: j.Tasks, Adjacent: j.Adjacent, Mode: berylplacement.NonPreemptible,
		Domain: domain,
	}
	if _, ok := c.place.Find(r); ok {
		return true
	}
	r.Mode = berylplacement.Free
	parts, ok := c.place.Find(r)
	if !ok || !c.guarantee.DisplaceUnitsFor(j.Shape, parts) {
		return false
	}
	for _, p := range parts {
		c.guarantee.AddNonPreemptible(p.Worker, j.Shape, -p.Tasks)
	}
	return true
}
