package beryldirector

import (
	"math"
	"strconv"
	"testing"
	"time"

	"berylglade/berylreport"
)

// runRoutine lets a routine step of twelve tasks run on six backend servers, two on each,
// of which the first two are slow, and the last two fast.
func (h *harness) runRoutine(id string) {
	const nodes = 6
	speeds := []float64{0.6, 0.6, 1, 1, 1.6, 1.6}
	two := func(r *berylreport.Report) { r.Capacity.Accelerators = 2 }
	for n := range nodes {
		h.report("n"+strconv.Itoa(n), two)
	}
	h.submit(id, "routine", step(2*nodes, 1))
	for i := range 8 {
		h.advance(500 * time.Millisecond)
		for n := range nodes {
			node := "n" + strconv.Itoa(n)
			h.report(node, func(r *berylreport.Report) {
				two(r)
				for index, t := range tasksOf(h.d.Book.Jobs[id]) {
					if t.Incarnation.Node == node {
						key := berylreport.Key{Task: id + ".0.0." + strconv.Itoa(index), Run: t.Run}
						r.Runs = append(r.Runs, berylreport.Run{Key: key, Progress: math.Floor(6 * speeds[n] * float64(i) / 2)})
					}
				}
			})
		}
	}
}

// Guards against speeds that are not learned from the progress of the tasks, or forgotten
// when another entry leads for a time; and against servers of which one is only slower that
// count as faulty.
func TestSpeedsOutlastLeadership(t *testing.T) {
	h := newHarness(t)
	h.runRoutine("j1")
	check := func() {
		for n, want := range []float64{0.6, 0.6, 1, 1, 1.6, 1.6} {
			got := h.d.speeds.Speed(h.now, "n"+strconv.Itoa(n))
			h.is.True(math.Abs(got-want) <= 0.2*want)
		}
	}
	check()
	h.is.True(!h.d.anySlow())
	h.d.Deposed()
	h.d.Restore(h.now, h.d.Book, h.topicEnd)
	h.advance(3 * time.Second)
	h.is.True(h.d.Leading())
	check()
}

// Work arrives at servers of three speeds that are free. Guards against urgent gangs on slow
// servers, gangs of unequal servers, and routine gangs that take the fast ones. A leader that
// knows no speeds places as before.
func TestGangsGetEqualServers(t *testing.T) {
	tests := []struct {
		name, queue string
		known       bool
		want        []string
	}{
		{name: "urgent", queue: "urgent", known: true, want: []string{"n4", "n5"}},
		{name: "routine", queue: "routine", known: true, want: []string{"n0", "n1"}},
		{name: "urgent, new leader", queue: "urgent", want: []string{"n0", "n1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			if tt.known {
				h.runRoutine("j1")
			}
			for n := range 6 {
				node := "n" + strconv.Itoa(n)
				h.report(node, func(r *berylreport.Report) {
					r.Capacity.Accelerators = 2
					if !tt.known {
						return
					}
					for index, t := range tasksOf(h.d.Book.Jobs["j1"]) {
						if t.Incarnation.Node == node {
							r.Ends = append(r.Ends, end(int64(len(r.Ends)+1), "j1.0.0."+strconv.Itoa(index), t.Run, berylreport.Done))
						}
					}
				})
			}
			h.submit("j2", tt.queue, gang(2, 2))
			var nodes []string
			for _, task := range tasksOf(h.d.Book.Jobs["j2"]) {
				nodes = append(nodes, task.Incarnation.Node)
			}
			h.is.Equal(nodes, tt.want)
		})
	}
}
