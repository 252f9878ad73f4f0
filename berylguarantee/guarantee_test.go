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

// workers returns one rack of three workers for each failure domain.
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

// TestCheck guards against accepting a guarantee that can never be met, and against
// refusing one that can.
func TestCheck(t *testing.T) {
	rack := beryladjacency.Rack
	tests := []struct {
		name string
		give []berylconfig.Guarantee
		want int
	}{
		{name: "all of it", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 9}}},
		{name: "one too many", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 10}}, want: 1},
		{name: "too large for a worker", give: []berylconfig.Guarantee{{Shape: gpus(9), Count: 1}}, want: 1},
		{name: "too large for a rack", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 4, Adjacent: rack}}, want: 4},
		{name: "too large together", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 3, Adjacent: rack}, {Shape: gpus(4), Count: 13}}, want: 1},
		{name: "racks first", give: []berylconfig.Guarantee{{Shape: gpus(4), Count: 6}, {Shape: gpus(8), Count: 3, Adjacent: rack}, {Shape: gpus(8), Count: 3, Adjacent: rack}}},
		{name: "spare", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 6, Spare: true}}},
		{name: "no spare left", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 7, Spare: true}}, want: 1},
		{name: "spare in one rack", give: []berylconfig.Guarantee{{Shape: gpus(8), Count: 3, Adjacent: rack, Spare: true}, {Shape: gpus(8), Count: 3}}},
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

func plan(domains int, gs ...berylconfig.Guarantee) *berylguarantee.Plan {
	p := &berylplacement.Placement{}
	for _, w := range workers(domains) {
		p.SetUsable(p.Put(w.Name, w.Domain, w.Rack, w.Total), true)
	}
	g := berylguarantee.New(p)
	g.Set(accounts(gs...))
	g.Reconcile(time.Unix(0, 0))
	return g
}

// TestClaim guards against claims that stop work although units could be used
// elsewhere, that break adjacency, or that exceed the guarantee.
func TestClaim(t *testing.T) {
	tests := []struct {
		name  string
		give  berylguarantee.Gang
		held  []int
		evict bool
		want  bool
	}{
		{name: "free", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 2}, held: []int{0, 0, 0}, want: true},
		{name: "moves units to free workers", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 2}, held: []int{8, 8, 0}, want: true},
		{name: "needs a stop", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 2}, held: []int{8, 8, 8}},
		{name: "may stop", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 2}, held: []int{8, 8, 8}, evict: true, want: true},
		{name: "small tasks share a unit", give: berylguarantee.Gang{Shape: gpus(1), Tasks: 8}, held: []int{0, 0, 0}, want: true},
		{name: "above the guarantee", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 3}, held: []int{0, 0, 0}, evict: true},
		{name: "larger than a unit", give: berylguarantee.Gang{Shape: gpus(5), Tasks: 1}, held: []int{0, 0, 0}, evict: true},
		{name: "one worker", give: berylguarantee.Gang{Shape: gpus(4), Tasks: 2, Adjacent: beryladjacency.Worker}, held: []int{8, 0, 4}, want: true},
		{name: "other account", give: berylguarantee.Gang{Account: "y", Shape: gpus(1), Tasks: 1}, held: []int{0, 0, 0}, evict: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := plan(1, berylconfig.Guarantee{Shape: gpus(4), Count: 2})
			for i, n := range tt.held {
				g.Placement.AddAllocated(i, gpus(n), 1)
			}
			if tt.give.Account == "" {
				tt.give.Account = "x"
			}
			grant := g.Claim(tt.give, tt.evict)
			is.Equal(grant != nil, tt.want)
			if grant == nil {
				return
			}
			n := 0
			for _, p := range grant.Parts {
				n += p.Tasks
			}
			is.Equal(n, tt.give.Tasks)
			g.Release(grant)
			is.True(g.Claim(berylguarantee.Gang{Account: "x", Shape: gpus(4), Tasks: 2}, true) != nil)
		})
	}
}

// committed is the sum over all workers, which shows whether a failed attempt left
// anything behind.
func committed(g *berylguarantee.Plan) []berylshape.Shape {
	var out []berylshape.Shape
	for i := range g.Placement.Len() {
		out = append(out, g.Placement.Worker(i).Committed)
	}
	return out
}

// TestPlan guards against firm work that takes what a unit needs, and against attempts
// that fail and still change the plan.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := plan(3,
			berylconfig.Guarantee{Shape: gpus(4), Count: rapid.IntRange(1, 6).Draw(rt, "anywhere"), Spare: rapid.Bool().Draw(rt, "spare")},
			berylconfig.Guarantee{Shape: gpus(8), Count: 2, Adjacent: beryladjacency.Rack},
		)
		var grants []*berylguarantee.Grant
		rt.Repeat(map[string]func(*rapid.T){
			"firm": func(rt *rapid.T) {
				r := berylplacement.Request{Shape: gpus(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "gpus")), Tasks: rapid.IntRange(1, 3).Draw(rt, "tasks"), Mode: berylplacement.Free}
				before := committed(g)
				parts, ok := g.Placement.Find(r)
				if !ok {
					return
				}
				if g.DisplaceUnitsFor(r.Shape, parts) {
					for _, p := range parts {
						g.Placement.AddAllocated(p.Worker, r.Shape, p.Tasks)
					}
				} else if fmt.Sprint(before) != fmt.Sprint(committed(g)) {
					rt.Fatalf("a refused placement changed the plan")
				}
			},
			"claim": func(rt *rapid.T) {
				gang := berylguarantee.Gang{Account: "x", Shape: gpus(rapid.SampledFrom([]int{1, 4, 8}).Draw(rt, "gpus")), Tasks: rapid.IntRange(1, 2).Draw(rt, "tasks")}
				if grant := g.Claim(gang, true); grant != nil {
					grants = append(grants, grant)
				}
			},
			"release": func(*rapid.T) {
				if n := len(grants); n > 0 {
					g.Release(grants[n-1])
					grants = grants[:n-1]
				}
			},
			"repack": func(*rapid.T) { g.Repack() },
			"": func(rt *rapid.T) {
				g.Reconcile(time.Unix(0, 0))
				if u := g.Unmet(); len(u) > 0 {
					rt.Fatalf("unmet %v", u)
				}
				for i, c := range committed(g) {
					if !c.Fits(gpus(8)) {
						rt.Fatalf("worker %d owes %v", i, c)
					}
				}
			},
		})
	})
}

// TestLostWorker guards against units that stay on a worker that is gone, and against
// units that stay without a place when it is back.
func TestLostWorker(t *testing.T) {
	is := is.New(t)
	g := plan(1, berylconfig.Guarantee{Shape: gpus(8), Count: 3})
	lose := func(usable bool) {
		g.Placement.SetUsable(1, usable)
		g.WorkerChanged(1)
		g.Reconcile(time.Unix(0, 0))
	}
	is.Equal(len(g.Unmet()), 0)
	lose(false)
	is.Equal(g.Unmet()[0].Units, 1)
	lose(true)
	is.Equal(len(g.Unmet()), 0)
}

// TestDebt guards against firm work that follows firm work while a new guarantee waits
// for the capacity.
func TestDebt(t *testing.T) {
	is := is.New(t)
	g := plan(1)
	for i := range 3 {
		g.AddNonPreemptible(i, gpus(6), 1)
		g.Placement.AddAllocated(i, gpus(6), 1)
	}
	g.Set(accounts(berylconfig.Guarantee{Shape: gpus(8), Count: 1}))
	g.Reconcile(time.Unix(0, 0))
	is.Equal(len(g.Unmet()), 1)
	room := 0
	for i := range 3 {
		room += gpus(1).Count(g.Placement.Available(i, berylplacement.NonPreemptible))
	}
	is.Equal(room, 4) // one worker takes no further firm work
	for i := range 3 {
		g.AddNonPreemptible(i, gpus(6), -1)
		g.Placement.AddAllocated(i, gpus(6), -1)
	}
	g.Reconcile(time.Unix(10, 0))
	is.Equal(len(g.Unmet()), 0)
}
