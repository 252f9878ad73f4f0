package berylscheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/beryljob"
	"berylglade/berylscheduler"
)

func (m *model) ids() []string { return slices.Sorted(maps.Keys(m.jobs)) }

func (m *model) placedIDs() []string {
	return slices.DeleteFunc(m.ids(), func(id string) bool { return !m.jobs[id].placed() })
}

// randomEvents is a model that receives random events.
type randomEvents struct {
	*model
	rt        *rapid.T
	submitted int
	// stable is set if no worker is lost, drained or blamed. Then every guarantee
	// has to be reclaimable after each step.
	stable bool
}

func (c *randomEvents) submitRandom(rt *rapid.T) {
	c.submitted++
	a := rapid.SampledFrom([]beryladjacency.Adjacency{
		beryladjacency.Anywhere, beryladjacency.Domain, beryladjacency.Rack, beryladjacency.Worker,
	}).Draw(rt, "adjacent")
	size := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "gpus")
	tasks := rapid.IntRange(1, 4).Draw(rt, "tasks")
	if a == beryladjacency.Worker {
		tasks = min(tasks, 8/size)
	}
	if a == beryladjacency.Rack {
		tasks = min(tasks, 24/size, 3)
	}
	c.submit(fmt.Sprintf("j%03d", c.submitted),
		rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "account"),
		rapid.SampledFrom([]string{"urgent", "mapping", "batch", "quick", "routine", "soon"}).Draw(rt, "class"),
		tasks, gpus(size), a)
}

func (c *randomEvents) endRandom(rt *rapid.T) {
	ids := c.placedIDs()
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(rt, "job")
	blamed := ""
	ok := rapid.Bool().Draw(rt, "ok")
	if !ok && !c.stable && rapid.Bool().Draw(rt, "blame") {
		blamed = c.jobs[id].members[0].Agent
	}
	c.endGang(id, ok, blamed)
}

func (c *randomEvents) cancelRandom(rt *rapid.T) {
	ids := slices.DeleteFunc(c.ids(), func(id string) bool { return c.jobs[id].ended })
	if len(ids) == 0 {
		return
	}
	r := c.jobs[rapid.SampledFrom(ids).Draw(rt, "job")]
	r.ended = true
	c.handle(berylscheduler.JobEnded{Job: r.ID, Phase: beryljob.Cancelled})
	if r.placed() {
		c.endGang(r.ID, false, "")
	}
}

func (c *randomEvents) refuseRandom(rt *rapid.T) {
	ids := c.placedIDs()
	if len(ids) == 0 {
		return
	}
	r := c.jobs[rapid.SampledFrom(ids).Draw(rt, "job")]
	w := r.members[0].Agent
	r.members, r.preemption = nil, nil
	c.handle(berylscheduler.PlacementRefused{Job: r.ID, Attempt: r.Attempt, Worker: w})
}

func (c *randomEvents) loseRandom(rt *rapid.T) {
	name := rapid.SampledFrom(slices.Sorted(maps.Keys(c.workers))).Draw(rt, "worker")
	if c.lost[name] {
		w := c.workers[name]
		c.addWorker(name, w.Domain, w.Rack)
		return
	}
	c.lost[name] = true
	c.handle(berylscheduler.WorkerLost{Worker: name})
	for _, id := range c.placedIDs() {
		if slices.ContainsFunc(c.jobs[id].members, func(p beryljob.Member) bool { return p.Agent == name }) {
			c.endGang(id, false, "")
		}
	}
}

func (c *randomEvents) drainRandom(rt *rapid.T) {
	w := c.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(c.workers))).Draw(rt, "worker")]
	if c.lost[w.Name] {
		return
	}
	w.Draining = !w.Draining
	c.handle(berylscheduler.WorkerSeen{Worker: *w})
}

func (c *randomEvents) switchRandomDomain(rt *rapid.T) {
	name := rapid.SampledFrom([]string{"d0", "d1", "d2"}).Draw(rt, "domain")
	c.changeConfig(func(cfg *berylconfig.Config) {
		d := cfg.Domains[name]
		d.Out = !d.Out
		d.Grace = berylduration.Duration(rapid.IntRange(0, 2).Draw(rt, "grace")) * berylduration.Duration(time.Minute)
		cfg.Domains[name] = d
	})
}

func (c *randomEvents) advanceRandom(rt *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(rt, "seconds")) * time.Second)
}

func (c *randomEvents) check(*rapid.T) {
	c.decide()
	c.checkCapacity()
	for id, n := range c.late {
		if n > 1 {
			c.t.Fatalf("job %s was reported late %d times", id, n)
		}
	}
	if c.stable {
		c.checkGuarantees()
	}
}

// checkGuarantees guards against a guarantee whose unused part does not fit on free
// and reclaimable capacity. It counts accelerators only, as all shapes of the model
// are multiples of the same shape. Unit sizes divide each other, so first fit in
// descending order of size is exact.
func (m *model) checkGuarantees() {
	have := map[string]int{}
	for name, w := range m.workers {
		have[name] = w.Total.Accelerators
	}
	used := map[string]int{}
	for _, r := range m.jobs {
		guaranteed := len(m.cfg.Accounts[r.Account].Guarantees) > 0
		for _, p := range r.members {
			if guaranteed || !m.cfg.Classes[r.Class].Checkpoint {
				have[p.Agent] -= p.Tasks * r.Shape.Accelerators
			}
		}
		if guaranteed && r.placed() {
			used[r.Account] += r.Tasks
		}
	}
	var units []int
	for name, a := range m.cfg.Accounts {
		for _, g := range a.Guarantees {
			for range max(g.Count-used[name], 0) {
				units = append(units, g.Shape.Accelerators)
			}
		}
	}
	slices.Sort(units)
	for _, u := range slices.Backward(units) {
		fits := false
		for _, name := range slices.Sorted(maps.Keys(have)) {
			if have[name] >= u {
				have[name] -= u
				fits = true
				break
			}
		}
		if !fits {
			m.t.Fatalf("a guaranteed unit of %d accelerators can't be reclaimed; units %v; actions:\n%s", u, units, strings.Join(m.actions, "\n"))
		}
	}
}

func selectActions(m map[string]func(*rapid.T), names ...string) map[string]func(*rapid.T) {
	out := map[string]func(*rapid.T){}
	for k, f := range m {
		if k == "" || slices.Contains(names, k) {
			out[k] = f
		}
	}
	return out
}

func (c *randomEvents) allActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": c.submitRandom, "end": c.endRandom, "cancel": c.cancelRandom, "refuse": c.refuseRandom,
		"lose": c.loseRandom, "drain": c.drainRandom, "switch": c.switchRandomDomain, "wait": c.advanceRandom,
		"stop": func(*rapid.T) { c.stopPreempted() }, "begin": func(*rapid.T) { c.startGangs() },
		"": c.check,
	}
}

// TestInvariantsUnderRandomEvents guards against partial gangs, overcommitted
// workers, placements on workers that must not get work, and jobs that never run,
// under any sequence of events.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &randomEvents{model: newModel(rt, berylscheduler.Options{}), rt: rt}
		c.addWorkers(3, 3)
		c.setGuarantees("x", berylconfig.Guarantee{Shape: gpus(4), Count: 4, Spare: true})
		c.setGuarantees("y", berylconfig.Guarantee{Shape: gpus(8), Count: 2, Adjacent: beryladjacency.Rack})
		rt.Repeat(c.allActions())
		c.repairAll()
		c.finishAll()
	})
}

// repairAll ends all outages, drains and losses of workers.
func (c *randomEvents) repairAll() {
	c.changeConfig(func(cfg *berylconfig.Config) { cfg.Domains = map[string]berylconfig.FailureDomain{} })
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[name]
		w.Draining = false
		c.addWorker(name, w.Domain, w.Rack)
	}
}

// finishAll lets each gang run for a minute and succeed, and expects that every job
// runs.
func (c *randomEvents) finishAll() {
	for range 400 {
		c.now = c.now.Add(time.Minute)
		c.check(nil)
		c.startGangs()
		c.stopPreempted()
		c.check(nil)
		unfinished := 0
		for _, id := range c.ids() {
			r := c.jobs[id]
			if !r.ended && r.rejected == "" {
				unfinished++
			}
			if r.placed() && r.preemption == nil {
				c.endGang(id, true, "")
			}
		}
		if unfinished == 0 {
			return
		}
	}
	for _, id := range c.ids() {
		if r := c.jobs[id]; !r.ended && r.rejected == "" {
			c.t.Fatalf("job %s %+v did not run; state %+v", id, r, c.s.State())
		}
	}
}

// TestGuaranteesStayReclaimable guards against placements on capacity that a
// guarantee needs. The workers do not change, so the invariant has to hold after
// every step, and a gang that uses a guarantee has to start as soon as the preempted
// gangs have ended.
func TestGuaranteesStayReclaimable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &randomEvents{model: newModel(rt, berylscheduler.Options{}), rt: rt, stable: true}
		c.addWorkers(3, 3)
		g := []berylconfig.Guarantee{{Shape: gpus(4), Count: rapid.IntRange(1, 6).Draw(rt, "x"), Spare: rapid.Bool().Draw(rt, "spare")}}
		c.setGuarantees("gx", g...)
		c.setGuarantees("gy", berylconfig.Guarantee{Shape: gpus(8), Count: 3, Adjacent: beryladjacency.Rack})
		claim := func(*rapid.T) {
			free := g[0].Count
			for _, r := range c.jobs {
				if r.Account == "gx" && !r.ended {
					free -= r.Tasks
				}
			}
			if free == 0 {
				return
			}
			c.submitted++
			id := fmt.Sprintf("j%03d", c.submitted)
			c.submit(id, "gx", "routine", rapid.IntRange(1, free).Draw(rt, "units"), gpus(4), beryladjacency.Anywhere)
			for range 3 {
				c.decide()
				c.stopPreempted()
			}
			c.decide()
			if !c.jobs[id].placed() {
				c.t.Fatalf("job %+v, which a guarantee covers, was not placed; state %+v; actions:\n%s", c.jobs[id].Job, c.s.State(), strings.Join(c.actions, "\n"))
			}
		}
		all := selectActions(c.allActions(), "submit", "end", "cancel", "stop", "begin", "wait")
		all["claim"] = claim
		rt.Repeat(all)
	})
}
