// Package berylsuite simulates workloads under several scheduling policies with the
// same seeds, in parallel, and writes the comparison as a table, CSV, JSON and plots.
package berylsuite

import (
	"sort"
	"sync"

	"golang.org/x/sync/errgroup"

	"berylglade/berylclock"
	"berylglade/berylmeasure"
	"berylglade/berylworkload"
)

// NamedPolicy is a scheduling policy under measurement.
type NamedPolicy struct {
	Name string
	// New returns a new policy without state.
	New func() berylmeasure.Policy
}

// Suite is a set of runs: every workload with every seed under every policy.
type Suite struct {
	// Workloads are functions by name that generate a workload from a seed.
	Workloads map[string]func(seed uint64) *berylworkload.Workload
	Seeds     []uint64
	// Policies are the policies to compare.
	Policies []NamedPolicy
	// Reference is a policy under which each class is run alone, without the jobs
	// of other classes. A missed target that is met there counts as avoidable.
	// Without a reference no missed target does.
	Reference *NamedPolicy
	// Workers is the number of pairs of workload and seed that run in parallel.
	Workers int
	// Clock measures how long decisions take.
	Clock berylclock.Clock

	mu      sync.Mutex
	results []berylmeasure.Result
}

// Run runs the whole suite and returns the results in order of workload, policy and
// seed.
func (s *Suite) Run() []berylmeasure.Result {
	var g errgroup.Group
	g.SetLimit(max(s.Workers, 1))
	for name, build := range s.Workloads {
		for _, seed := range s.Seeds {
			g.Go(func() error {
				s.runSeed(name, seed, build)
				return nil
			})
		}
	}
	_ = g.Wait()
	sort.Slice(s.results, func(i, j int) bool { return less(&s.results[i], &s.results[j]) })
	return s.results
}

func less(a, b *berylmeasure.Result) bool {
	if a.Workload != b.Workload {
		return a.Workload < b.Workload
	}
	if a.Policy != b.Policy {
		return a.Policy < b.Policy
	}
	return a.Seed < b.Seed
}

func (s *Suite) runSeed(name string, seed uint64, build func(uint64) *berylworkload.Workload) {
	w := build(seed)
	met := s.runReference(w)
	for i := range s.Policies {
		result := s.runPolicy(&s.Policies[i], w)
		result.Workload = name
		countAvoidable(&result, w, met)
		s.mu.Lock()
		s.results = append(s.results, result)
		s.mu.Unlock()
	}
}

func (s *Suite) runPolicy(p *NamedPolicy, w *berylworkload.Workload) berylmeasure.Result {
	result := berylmeasure.New(w, p.New(), s.Clock).Run()
	result.Policy = p.Name
	return result
}

// runReference reports for each job whether it meets its target when its class is
// run alone under the reference policy.
func (s *Suite) runReference(w *berylworkload.Workload) map[string]bool {
	met := map[string]bool{}
	if s.Reference == nil {
		return met
	}
	for class := range w.Config.Classes {
		alone := *w
		alone.Jobs = nil
		for i := range w.Jobs {
			if w.Jobs[i].Job.Class == class {
				alone.Jobs = append(alone.Jobs, w.Jobs[i])
			}
		}
		result := s.runPolicy(s.Reference, &alone)
		for i := range alone.Jobs {
			id := alone.Jobs[i].Job.ID
			met[id] = !result.Missed[id]
		}
	}
	return met
}

func countAvoidable(result *berylmeasure.Result, w *berylworkload.Workload, met map[string]bool) {
	classOf := map[string]string{}
	for i := range w.Jobs {
		classOf[w.Jobs[i].Job.ID] = w.Jobs[i].Job.Class
	}
	avoidable := map[string]int{}
	for id := range result.Missed {
		if met[id] {
			avoidable[classOf[id]]++
		}
	}
	for i := range result.Classes {
		result.Classes[i].Avoidable = avoidable[result.Classes[i].Class]
	}
}
