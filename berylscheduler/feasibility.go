package berylscheduler

import (
	"fmt"

	"berylglade/berylguarantee"
	"berylglade/berylplacement"
)

// emptyCluster is a model of the known cluster with its guarantees and no work.
type emptyCluster struct {
	placement  *berylplacement.Placement
	guarantees *berylguarantee.Plan
}

// blockedByGuarantees returns why a job can never run beside the guarantees of
// other accounts, or an empty string. It plans all guarantees from scratch, which
// is too slow for a large cluster; there such a job waits and is reported late.
func (s *Scheduler) blockedByGuarantees(j *job) string {
	if s.opts.NoGuarantee || s.class(j).Checkpoint || s.guarantees.Len()*s.placement.Len() > _maxRepackSize {
		return ""
	}
	if s.emptyCluster == nil {
		s.emptyCluster = s.newEmptyCluster()
	}
	for _, domain := range s.searchDomains(j) {
		if s.emptyCluster.fits(j, domain) {
			return ""
		}
	}
	return fmt.Sprintf("%d tasks of %v with adjacency %v do not fit beside the guarantees of other accounts, and the class does not support checkpoints",
		j.Tasks, j.Shape, j.Adjacent)
}

func (s *Scheduler) newEmptyCluster() *emptyCluster {
	p := &berylplacement.Placement{Protect: s.placement.Protect}
	out := &emptyCluster{placement: p, guarantees: berylguarantee.New(p)}
	for i := range s.workers {
		w := s.placement.Worker(i)
		p.SetUsable(p.Put(w.Name, w.Domain, w.Rack, w.Total), w.Known)
	}
	names := make([]string, 0, len(s.domains))
	for name := range s.domains {
		names = append(names, name)
	}
	out.guarantees.Set(s.cfg.Accounts)
	out.guarantees.SetDomains(names)
	out.guarantees.Reconcile(s.now)
	return out
}

// fits reports whether a job fits, by its account's guarantees or beside those of
// other accounts. It may move guaranteed units but leaves no work committed.
func (c *emptyCluster) fits(j *job, domain string) bool {
	if grant := c.guarantees.Claim(berylguarantee.Gang{
		Account: j.Account, Shape: j.Shape, Tasks: j.Tasks, Adjacent: j.Adjacent,
	}, true); grant != nil {
		c.guarantees.Release(grant)
		return true
	}
	r := berylplacement.Request{
		Shape: j.Shape, Tasks: j.Tasks, Adjacent: j.Adjacent, Mode: berylplacement.NonPreemptible,
		Domain: domain,
	}
	if _, ok := c.placement.Find(r); ok {
		return true
	}
	r.Mode = berylplacement.Free
	parts, ok := c.placement.Find(r)
	if !ok || !c.guarantees.DisplaceUnitsFor(j.Shape, parts) {
		return false
	}
	for _, p := range parts {
		c.guarantees.AddNonPreemptible(p.Worker, j.Shape, -p.Tasks)
	}
	return true
}
