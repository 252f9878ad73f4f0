// Package berylsuite runs workloads against several scheduling policies with
// the same seeds, in parallel, and writes the comparison as a table, CSV, JSON
// and plots.
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
	// New returns a fresh policy.
	New func() berylmeasure.Policy
}

// Suite is a set of runs: every workload and seed with every contender.
type Suite struct {
	// Workloads make a workload from a seed, by name.
	Workloads map[string]func(seed uint64) *berylworkload.Workload
	Seeds     []uint64
	// Policies are compared with the first one.
	Policies []NamedPolicy
	// Reference runs each class with a target alone. A job that misses its
	// target although the witness met it counts as avoidable.
	Reference *NamedPolicy
	// Workers is the number of runs at a time.
	Workers int
	// Clock times the decisions.
	Clock berylclock.Clock

	mu      sync.Mutex
	results []berylmeasure.Result
}

// Run plays all runs and returns their results in a fixed order.
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
	sort.Slice(s.results, func(i, j int) bool { return before(&s.results[i], &s.results[j]) })
	return s.results
}

func before(a, b *berylmeasure.Result) bool {
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
	met := s.witness(w)
	for i := range s.Policies {
		result := s.play(&s.Policies[i], w)
		result.Workload = name
		countAvoidable(&result, w, met)
		s.mu.Lock()
		s.results = append(s.results, result)
		s.mu.Unlock()
	}
}

func (s *Suite) play(c *NamedPolicy, w *berylworkload.Workload) berylmeasure.Result {
	result := berylmeasure.New(w, c.New(), s.Clock).Run()
	result.Policy = c.Name
	return result
}

// witness returns the jobs that meet their target when their class runs alone.
func (s *Suite) witness(w *berylworkload.Workload) map[string]bool {
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
		result := s.play(s.Reference, &alone)
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
