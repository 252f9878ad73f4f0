package berylplacement_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/beryladjacency"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

func gpus(n int) berylshape.Shape { return berylshape.Shape{Accelerators: n, Cores: 8 * n} }

// newPlacement returns a placement with one 8-GPU worker for each number, which is the
// count of allocated GPUs. A rack has three workers and a failure domain two racks.
func newPlacement(allocated ...int) *berylplacement.Placement {
	p := &berylplacement.Placement{Protect: []berylplacement.Protected{
		{Shape: gpus(8), Count: 1}, {Shape: gpus(8), Count: 3, Adjacent: beryladjacency.Rack},
	}}
	for i, n := range allocated {
		w := p.Put(strconv.Itoa(i), strconv.Itoa(i/6), strconv.Itoa(i/3), gpus(8))
		p.SetUsable(w, true)
		p.AddAllocated(w, gpus(n), 1)
	}
	return p
}

// TestFind guards against placements that break adjacency, do not fit, or make more
// protected units unplaceable than another placement would.
func TestFind(t *testing.T) {
	tests := []struct {
		name      string
		allocated []int
		give      berylplacement.Request
		want      []berylplacement.Part
	}{
		{
			name:      "prefers a partly used worker",
			allocated: []int{0, 0, 0, 0, 3, 0},
			give:      berylplacement.Request{Shape: gpus(1), Tasks: 1},
			want:      []berylplacement.Part{{Worker: 4, Tasks: 1}},
		},
		{
			name:      "best fit among partly used workers",
			allocated: []int{0, 0, 0, 1, 6, 3},
			give:      berylplacement.Request{Shape: gpus(2), Tasks: 1},
			want:      []berylplacement.Part{{Worker: 4, Tasks: 1}},
		},
		{
			name:      "leaves an empty rack whole",
			allocated: []int{0, 0, 0, 0, 8, 0},
			give:      berylplacement.Request{Shape: gpus(8), Tasks: 1},
			want:      []berylplacement.Part{{Worker: 3, Tasks: 1}},
		},
		{
			name:      "adjacent in rack",
			allocated: []int{0, 0, 8, 0, 0, 0},
			give:      berylplacement.Request{Shape: gpus(8), Tasks: 3, Adjacent: beryladjacency.Rack},
			want:      []berylplacement.Part{{Worker: 3, Tasks: 1}, {Worker: 4, Tasks: 1}, {Worker: 5, Tasks: 1}},
		},
		{
			name:      "adjacent in domain",
			allocated: []int{0, 8, 8, 8, 8, 8, 8, 0, 8, 8, 0, 8},
			give:      berylplacement.Request{Shape: gpus(8), Tasks: 2, Adjacent: beryladjacency.Domain},
			want:      []berylplacement.Part{{Worker: 7, Tasks: 1}, {Worker: 10, Tasks: 1}},
		},
		{
			name:      "no adjacency",
			allocated: []int{0, 8, 8, 8, 8, 8, 8, 0, 8, 8, 8, 8},
			give:      berylplacement.Request{Shape: gpus(4), Tasks: 4},
			want:      []berylplacement.Part{{Worker: 0, Tasks: 2}, {Worker: 7, Tasks: 2}},
		},
		{
			name:      "adjacent on worker",
			allocated: []int{5, 4, 0},
			give:      berylplacement.Request{Shape: gpus(2), Tasks: 2, Adjacent: beryladjacency.Worker},
			want:      []berylplacement.Part{{Worker: 1, Tasks: 2}},
		},
		{
			name:      "gang does not fit as a whole",
			allocated: []int{0, 0, 8},
			give:      berylplacement.Request{Shape: gpus(8), Tasks: 3},
		},
		{
			name:      "limited to one domain",
			allocated: []int{0, 8, 8, 8, 8, 8, 0},
			give:      berylplacement.Request{Shape: gpus(8), Tasks: 1, Domain: "1"},
			want:      []berylplacement.Part{{Worker: 6, Tasks: 1}},
		},
		{
			name:      "excluded worker",
			allocated: []int{8, 0, 8},
			give:      berylplacement.Request{Shape: gpus(1), Tasks: 1, Exclude: func(w int) bool { return w == 1 }},
		},
		{
			name:      "mode Total includes allocated capacity",
			allocated: []int{8, 8, 8},
			give:      berylplacement.Request{Shape: gpus(8), Tasks: 3, Mode: berylplacement.Total, Adjacent: beryladjacency.Rack},
			want:      []berylplacement.Part{{Worker: 0, Tasks: 1}, {Worker: 1, Tasks: 1}, {Worker: 2, Tasks: 1}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			if tt.give.Mode == 0 {
				tt.give.Mode = berylplacement.Free
			}
			got, ok := newPlacement(tt.allocated...).Find(tt.give)
			is.Equal(ok, tt.want != nil)
			if ok {
				is.Equal(got, tt.want)
			}
		})
	}
}

// TestFindMatchesExhaustiveSearch guards against pruning that hides capacity: Find
// succeeds exactly when an exhaustive search finds enough capacity, and its result fits.
func TestFindMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlacement(rapid.SliceOfN(rapid.IntRange(0, 8), 1, 18).Draw(rt, "allocated")...)
		for i := range p.Len() {
			p.SetUsable(i, rapid.IntRange(0, 5).Draw(rt, "usable") > 0)
			p.AddCommitted(i, gpus(1), rapid.IntRange(0, 8).Draw(rt, "committed"))
		}
		r := berylplacement.Request{
			Shape:    gpus(rapid.SampledFrom([]int{1, 2, 3, 8}).Draw(rt, "gpus")),
			Tasks:    rapid.IntRange(1, 8).Draw(rt, "tasks"),
			Adjacent: beryladjacency.Adjacency(rapid.IntRange(0, 3).Draw(rt, "adjacent")),
			Mode:     berylplacement.Mode(rapid.IntRange(1, 4).Draw(rt, "mode")),
		}
		capacity := map[string]int{}
		largest := 0
		for i := range p.Len() {
			w := p.Worker(i)
			at := map[beryladjacency.Adjacency]string{
				beryladjacency.Domain: w.Domain, beryladjacency.Rack: w.Rack, beryladjacency.Worker: w.Name,
			}[r.Adjacent]
			capacity[at] += r.Shape.Count(p.Available(i, r.Mode))
			largest = max(largest, capacity[at])
		}
		parts, ok := p.Find(r)
		if ok != (largest >= r.Tasks) {
			rt.Fatalf("found %v, but at most %d of %d tasks fit", parts, largest, r.Tasks)
		}
		n := 0
		for _, q := range parts {
			n += q.Tasks
			if ok && !r.Shape.Times(q.Tasks).Fits(p.Available(q.Worker, r.Mode)) {
				rt.Fatalf("%v does not fit on its worker", q)
			}
		}
		if ok && n != r.Tasks {
			rt.Fatalf("%v has %d tasks, want %d", parts, n, r.Tasks)
		}
	})
}
