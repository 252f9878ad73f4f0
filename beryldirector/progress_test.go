package beryldirector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylreport"
)

// Runs a task on a backend server on which it is stalled or slow while its siblings
// elsewhere make progress. Guards against tasks that remain there until the server
// recovers, and against restarts of tasks that are merely long.
func TestSlowTaskIsRestarted(t *testing.T) {
	tests := []struct {
		name string
		// rate is the progress of the task on n1 in percent per second; that of
		// the tasks on n2 is ten.
		rate    float64
		stallAt float64
		want    berylbook.Phase
	}{
		{name: "like its siblings", rate: 9, want: berylbook.Working},
		{name: "somewhat slower", rate: 5, want: berylbook.Working},
		{name: "slow", rate: 1, want: berylbook.Stopping},
		{name: "stalled", rate: 10, stallAt: 8, want: berylbook.Stopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			full := func(r *berylreport.Report) { r.Capacity.Accelerators = 1 }
			h.report("n1", full)
			h.report("n2", func(r *berylreport.Report) { r.Capacity.Accelerators = 2 })
			h.submit("j1", "routine", step(3, 1))
			tasks := tasksOf(h.d.Book.Jobs["j1"])
			var faulty int
			for i := range tasks {
				if tasks[i].Incarnation.Node == "n1" {
					faulty = i
				}
			}
			for i := range 16 {
				h.advance(500 * time.Millisecond)
				seconds := float64(i) / 2
				progress := []float64{10 * seconds, 10 * seconds, 10 * seconds}
				slow := tt.rate * seconds
				if tt.stallAt > 0 {
					slow = min(slow, tt.stallAt)
				}
				mine := []float64{-1, -1, -1}
				mine[faulty] = slow + 0.1
				progress[faulty] = -1
				h.report("n1", func(r *berylreport.Report) { full(r); listProgress(mine...)(r) })
				h.report("n2", func(r *berylreport.Report) { r.Capacity.Accelerators = 2; listProgress(progress...)(r) })
				h.report("n3", nil)
				if h.d.Book.Jobs["j1"].At(0, 0, faulty).Phase == berylbook.Stopping {
					break
				}
			}
			h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, faulty).Phase, tt.want)
		})
	}
}

// Guards against a panic of a new leader that checks a gang for slow runs while the
// agent of its first member has not reported yet.
func TestProgressOfUnknownAgent(t *testing.T) {
	is := is.New(t)
	var m *agentState
	is.Equal(m.progressOf(berylreport.Key{Task: "j1.0.0.0", Run: 1}).runTime(), time.Duration(0))
}
