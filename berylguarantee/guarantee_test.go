package berylguarantee_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylguarantee"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

func gpus(n int) berylshape.Shape { return berylshape.Shape{Accelerators: n} }

// workers returns one rack of three 8-GPU workers for each failure domain.
func workers(domains int) []berylplacement.Worker {
	var out []berylplacement.Worker
	for i := range 3 * domains {
		out = append(out, berylplacement.Worker{
			Name: strconv.Itoa(i), Domain: strconv.Itoa(i / 3), Rack: strconv.Itoa(i / 3), Total: gpus(8),
		})
	}
	return out
}

func accounts(gs ...berylconfig.Guarantee) map[string]berylconfig.ClientAccount {
	return map[string]berylconfig.ClientAccount{"x": {Guarantees: gs}}
}

// TestCheck guards against accepting guarantees that the workers can't provide, and
// against rejecting guarantees that they can.
func TestCheck(t *testing.T) {
	rack := beryladjacency.Rack
	tests := []struct {
		name string
		give []berylconfig.Guarantee
		want int
	}{
		{name: "whole capacity", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 9}}},
		{name: "one unit too many", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 10}}, want: 1},
		{name: "too large for a worker", give: []berylconfig.Guarantee{{Shape: gpus(9), Count: 1}}, want: 1},
		{name: "too large for a rack", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 4, Adjacent: rack}}, want: 4},
		{name: "too large in total", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 3, Adjacent: rack}, {Shape: gpus(4), Count: 13}}, want: 1},
		{name: "rack-adjacent guarantees are planned first", give: []berylconfig.Guarantee{{Shape: gpus(4), Count: 6}, {Shape: gpus(8), Count: 3, Adjacent: rack}, {Shape: gpus(8), Count: 3, Adjacent: rack}}},
		{name: "spare", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 6, Spare: true}}},
		{name: "too large for spare", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 7, Spare: true}}, want: 1},
		{name: "spare with rack adjacency", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 3, Adjacent: rack, Spare: true}, {Shape: gpus(8), Count: 3}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			units := 0
			for _, u := range berylguarantee.Check(workers(3), accounts(tt.give...)) {
				units += u.Units
				is.True(u.Reason != "")
			}
			is.Equal(units, tt.want)
		})
	}
}

func newPlan(domains int, gs ...berylconfig.Guarantee) *berylguarantee.Plan {
	p := &berylplacement.Placement{}
	for _, w := range workers(domains) {
		p.SetUsable(p.Put(w.Name, w.Domain, w.Rack, w.Total), true)
	}
	pl := berylguarantee.New(p)
	pl.Set(accounts(gs...))
	pl.Reconcile(time.Unix(0, 0))
	return pl
}

// TestClaim guards against claims that preempt work although units could be moved to
// free workers, that break adjacency, or that exceed the guarantee.
func TestClaim(t *testing.T) {
	tests := []struct {
		name      string
		give      berylguarantee.Gang
		allocated []int
		evict     bool
		want      bool
	}{
		{name: "units on free workers", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 2}, allocated: []int{0, 0, 0}, want: true},
		{name: "moves units to free workers", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 2}, allocated: []int{8, 8, 0}, want: true},
		{name: "no free worker without preemption", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 2}, allocated: []int{8, 8, 8}},
		{name: "preemption allowed", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 2}, allocated: []int{8, 8, 8}, evict: true, want: true},
		{name: "small tasks share a unit", give: berylguarantee.Gang{Shape: gpus(1), Tasks: 8}, allocated: []int{0, 0, 0}, want: true},
		{name: "above the guarantee", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 3}, allocated: []int{0, 0, 0}, evict: true},
		{name: "task larger than a unit", give: berylguarantee.Gang{Shape: gpus(5), Tasks: 1}, allocated: []int{0, 0, 0}, evict: true},
		{name: "adjacent on worker", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 2, Adjacent: beryladjacency.Worker}, allocated: []int{8, 0, 4}, want: true},
		{name: "other account", give: berylguarantee.Gang{Account: "y", Shape: gpus(1), Tasks: 1}, allocated: []int{0, 0, 0}, evict: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pl := newPlan(1, berylconfig.Guarantee{Shape: gpus(4), Count: 2})
			for i, n := range tt.allocated {
				pl.Placement.AddAllocated(i, gpus(n), 1)
			}
			if tt.give.Account == "" {
				tt.give.Account = "x"
			}
			grant := pl.Claim(tt.give, tt.evict)
			is.Equal(grant != nil, tt.want)
			if grant == nil {
				return
			}
			n := 0
			for _, p := range grant.Parts {
				n += p.Tasks
			}
			is.Equal(n, tt.give.Tasks)
			pl.Release(grant)
			is.True(pl.Claim(berylguarantee.Gang{Account: "x", Shape: gpus(4), Tasks: 2}, true) != nil)
		})
	}
}

// committed returns the committed capacity of each worker, to show whether a failed
// attempt was rolled back completely.
func committed(pl *berylguarantee.Plan) []berylshape.Shape {
	var out []berylshape.Shape
	for i := range pl.Placement.Len() {
		out = append(out, pl.Placement.Worker(i).Committed)
	}
	return out
}

// TestPlanKeepsGuarantees guards against non-preemptible work that takes the capacity
// of a unit, and against failed attempts that change the plan.
func TestPlanKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := newPlan(3,
			berylconfig.Guarantee{Shape: gpus(4), Count: rapid.IntRange(1, 6).Draw(rt, "anywhere"), Spare: rapid.Bool().Draw(rt, "spare")},
			berylconfig.Guarantee{Shape: gpus(8), Count: 2, Adjacent: beryladjacency.Rack},
		)
		var grants []*berylguarantee.Grant
		rt.Repeat(map[string]func(*rapid.T){
			"place": func(rt *rapid.T) {
				r := berylplacement.Request{Shape: gpus(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "gpus")), Tasks: rapid.IntRange(1, 3).Draw(rt, "tasks"), Mode: berylplacement.Free}
				before := committed(pl)
				parts, ok := pl.Placement.Find(r)
				if !ok {
					return
				}
				if pl.DisplaceUnitsFor(r.Shape, parts) {
					for _, p := range parts {
						pl.Placement.AddAllocated(p.Worker, r.Shape, p.Tasks)
					}
				} else if fmt.Sprint(before) != fmt.Sprint(committed(pl)) {
					rt.Fatalf("a failed DisplaceUnitsFor changed the committed capacity")
				}
			},
			"claim": func(rt *rapid.T) {
				gang := berylguarantee.Gang{Account: "x", Shape: gpus(rapid.SampledFrom([]int{1, 4, 8}).Draw(rt, "gpus")), Tasks: rapid.IntRange(1, 2).Draw(rt, "tasks")}
				if grant := pl.Claim(gang, true); grant != nil {
					grants = append(grants, grant)
				}
			},
			"release": func(*rapid.T) {
				if n := len(grants); n > 0 {
					pl.Release(grants[n-1])
					grants = grants[:n-1]
				}
			},
			"repack": func(*rapid.T) { pl.Repack() },
			"": func(rt *rapid.T) {
				pl.Reconcile(time.Unix(0, 0))
				if u := pl.Unmet(); len(u) > 0 {
					rt.Fatalf("unmet guarantees: %v", u)
				}
				for i, c := range committed(pl) {
					if !c.Fits(gpus(8)) {
						rt.Fatalf("worker %d is overcommitted: %v of 8 GPUs", i, c)
					}
				}
			},
		})
	})
}

// TestLostWorker guards against units that stay on an unusable worker, and against
// units that stay unplaced after it is usable again.
func TestLostWorker(t *testing.T) {
	is := is.New(t)
	pl := newPlan(1, berylconfig.Guarantee{Shape: gpus(8), Count: 3})
	setUsable := func(usable bool) {
		pl.Placement.SetUsable(1, usable)
		pl.WorkerChanged(1)
		pl.Reconcile(time.Unix(0, 0))
	}
	is.Equal(len(pl.Unmet()), 0)
	setUsable(false)
	is.Equal(pl.Unmet()[0].Units, 1)
	setUsable(true)
	is.Equal(len(pl.Unmet()), 0)
}

// TestOvercommittedWorker guards against further non-preemptible work on a worker while
// a new guarantee waits for the capacity: as old work ends, new work would follow it and
// the guarantee would never be met.
func TestOvercommittedWorker(t *testing.T) {
	is := is.New(t)
	pl := newPlan(1)
	for i := range 3 {
		pl.AddNonPreemptible(i, gpus(6), 1)
		pl.Placement.AddAllocated(i, gpus(6), 1)
	}
	pl.Set(accounts(berylconfig.Guarantee{Shape: gpus(8), Count: 1}))
	pl.Reconcile(time.Unix(0, 0))
	is.Equal(len(pl.Unmet()), 1)
	available := 0
	for i := range 3 {
		available += gpus(1).Count(pl.Placement.Available(i, berylplacement.NonPreemptible))
	}
	is.Equal(available, 4) // the overcommitted worker accepts no further non-preemptible work
	for i := range 3 {
		pl.AddNonPreemptible(i, gpus(6), -1)
		pl.Placement.AddAllocated(i, gpus(6), -1)
	}
	pl.Reconcile(time.Unix(10, 0))
	is.Equal(len(pl.Unmet()), 0)
}
