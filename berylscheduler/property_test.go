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

// chaos is a model under random events.
type chaos struct {
	*model
	rt      *rapid.T
	n       int
	guarded bool
}

func (c *chaos) submitAny(rt *rapid.T) {
	c.n++
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
	c.submit(fmt.Sprintf("j%03d", c.n),
		rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "account"),
		rapid.SampledFrom([]string{"urgent", "mapping", "batch", "quick", "routine", "soon"}).Draw(rt, "class"),
		tasks, gpus(size), a)
}

func (c *chaos) endAny(rt *rapid.T) {
	ids := c.placedIDs()
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(rt, "job")
	blamed := ""
	ok := rapid.Bool().Draw(rt, "ok")
	if !ok && !c.guarded && rapid.Bool().Draw(rt, "blame") {
		blamed = c.jobs[id].members[0].Agent
	}
	c.end(id, ok, blamed)
}

func (c *chaos) cancelAny(rt *rapid.T) {
	ids := slices.DeleteFunc(c.ids(), func(id string) bool { return c.jobs[id].ended })
	if len(ids) == 0 {
		return
	}
	r := c.jobs[rapid.SampledFrom(ids).Draw(rt, "job")]
	r.ended = true
	c.handle(berylscheduler.JobEnded{Job: r.ID, Phase: beryljob.Cancelled})
	if r.placed() {
		c.end(r.ID, false, "")
	}
}

func (c *chaos) refuseAny(rt *rapid.T) {
	ids := c.placedIDs()
	if len(ids) == 0 {
		return
	}
	r := c.jobs[rapid.SampledFrom(ids).Draw(rt, "job")]
	w := r.members[0].Agent
	r.members, r.preempt = nil, nil
	c.handle(berylscheduler.PlacementRefused{Job: r.ID, Attempt: r.Attempt, Worker: w})
}

func (c *chaos) loseAny(rt *rapid.T) {
	name := rapid.SampledFrom(slices.Sorted(maps.Keys(c.workers))).Draw(rt, "worker")
	if c.gone[name] {
		w := c.workers[name]
		c.worker(name, w.Domain, w.Rack)
		return
	}
	c.gone[name] = true
	c.handle(berylscheduler.WorkerLost{Worker: name})
	for _, id := range c.placedIDs() {
		if slices.ContainsFunc(c.jobs[id].members, func(p beryljob.Member) bool { return p.Agent == name }) {
			c.end(id, false, "")
		}
	}
}

func (c *chaos) drainAny(rt *rapid.T) {
	w := c.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(c.workers))).Draw(rt, "worker")]
	if c.gone[w.Name] {
		return
	}
	w.Draining = !w.Draining
	c.handle(berylscheduler.WorkerSeen{Worker: *w})
}

func (c *chaos) switchAny(rt *rapid.T) {
	name := rapid.SampledFrom([]string{"d0", "d1", "d2"}).Draw(rt, "domain")
	c.config(func(cfg *berylconfig.Config) {
		d := cfg.Domains[name]
		d.Out = !d.Out
		d.Grace = berylduration.Duration(rapid.IntRange(0, 2).Draw(rt, "grace")) * berylduration.Duration(time.Minute)
		cfg.Domains[name] = d
	})
}

func (c *chaos) wait(rt *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(rt, "seconds")) * time.Second)
}

func (c *chaos) check(*rapid.T) {
	c.decide()
	c.checkCapacity()
	for id, n := range c.late {
		if n > 1 {
			c.t.Fatalf("job %s was reported late %d times", id, n)
		}
	}
	if c.guarded {
		c.checkGuarantees()
	}
}

// checkGuarantees guards against a guarantee whose unused part does not fit on
// free plus reclaimable capacity. It counts accelerators only, as all shapes of
// the model are multiples of one; unit sizes divide each other, so first fit by
// falling size is exact.
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
			m.t.Fatalf("a guaranteed unit of %d accelerators can't be reclaimed; units %v\n%s", u, units, strings.Join(m.log, "\n"))
		}
	}
}

func actions(m map[string]func(*rapid.T), names ...string) map[string]func(*rapid.T) {
	out := map[string]func(*rapid.T){}
	for k, f := range m {
		if k == "" || slices.Contains(names, k) {
			out[k] = f
		}
	}
	return out
}

func (c *chaos) all() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": c.submitAny, "end": c.endAny, "cancel": c.cancelAny, "refuse": c.refuseAny,
		"lose": c.loseAny, "drain": c.drainAny, "switch": c.switchAny, "wait": c.wait,
		"stop": func(*rapid.T) { c.stop() }, "begin": func(*rapid.T) { c.begin() },
		"": c.check,
	}
}

// TestInvariantsUnderChaos guards against partial gangs, overfull workers and
// starts in failure domains or on workers that are out, under any sequence of
// events, and against jobs that are forgotten.
func TestInvariantsUnderChaos(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &chaos{model: newModel(rt, berylscheduler.Options{}), rt: rt}
		c.site(3, 3)
		c.guarantee("x", berylconfig.Guarantee{Shape: gpus(4), Count: 4, Spare: true})
		c.guarantee("y", berylconfig.Guarantee{Shape: gpus(8), Count: 2, Adjacent: beryladjacency.Rack})
		rt.Repeat(c.all())
		c.recover()
		c.drainQueue()
	})
}

// recover ends all faults.
func (c *chaos) recover() {
	c.config(func(cfg *berylconfig.Config) { cfg.Domains = map[string]berylconfig.FailureDomain{} })
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[name]
		w.Draining = false
		c.worker(name, w.Domain, w.Rack)
	}
}

// drainQueue lets gangs run for a while and end well, and expects that every job
// runs.
func (c *chaos) drainQueue() {
	for range 400 {
		c.now = c.now.Add(time.Minute)
		c.check(nil)
		c.begin()
		c.stop()
		c.check(nil)
		open := 0
		for _, id := range c.ids() {
			r := c.jobs[id]
			if !r.ended && r.rejected == "" {
				open++
			}
			if r.placed() && r.preempt == nil {
				c.end(id, true, "")
			}
		}
		if open == 0 {
			return
		}
	}
	for _, id := range c.ids() {
		if r := c.jobs[id]; !r.ended && r.rejected == "" {
			c.t.Fatalf("job %s %+v did not run; state %+v", id, r, c.s.State())
		}
	}
}

// TestGuaranteesStayReclaimable guards against placements that take what a
// guarantee needs. Workers are stable, so the invariant has to hold after every
// step, and a gang that claims a guarantee has to start as soon as the reclaimed
// gangs have stopped.
func TestGuaranteesStayReclaimable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &chaos{model: newModel(rt, berylscheduler.Options{}), rt: rt, guarded: true}
		c.site(3, 3)
		g := []berylconfig.Guarantee{{Shape: gpus(4), Count: rapid.IntRange(1, 6).Draw(rt, "x"), Spare: rapid.Bool().Draw(rt, "spare")}}
		c.guarantee("gx", g...)
		c.guarantee("gy", berylconfig.Guarantee{Shape: gpus(8), Count: 3, Adjacent: beryladjacency.Rack})
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
			c.n++
			id := fmt.Sprintf("j%03d", c.n)
			c.submit(id, "gx", "routine", rapid.IntRange(1, free).Draw(rt, "units"), gpus(4), beryladjacency.Anywhere)
			for range 3 {
				c.decide()
				c.stop()
			}
			c.decide()
			if !c.jobs[id].placed() {
				c.t.Fatalf("claim %+v was not placed; state %+v\n%s", c.jobs[id].Job, c.s.State(), strings.Join(c.log, "\n"))
			}
		}
		all := actions(c.all(), "submit", "end", "cancel", "stop", "begin", "wait")
		all["claim"] = claim
		rt.Repeat(all)
	})
}
