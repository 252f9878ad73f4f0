package beryldirector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylreport"
)

// Replays a backend server on which tasks stand still or crawl while their
// siblings elsewhere go on. Guards against tasks that wait there until it
// recovers, and against restarts of tasks that are merely long.
func TestRescue(t *testing.T) {
	tests := []struct {
		name string
		// rate is the progress of the task on n1 in percent a second; the one on
		// n2 makes ten.
		rate    float64
		stallAt float64
		want    berylbook.Phase
	}{
		{name: "like its siblings", rate: 9, want: berylbook.Working},
		{name: "somewhat slower", rate: 5, want: berylbook.Working},
		{name: "crawls", rate: 1, want: berylbook.Stopping},
		{name: "stands still", rate: 10, stallAt: 8, want: berylbook.Stopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			full := func(r *berylreport.Report) { r.Capacity.Accelerators = 1 }
			b.report("n1", full)
			b.report("n2", func(r *berylreport.Report) { r.Capacity.Accelerators = 2 })
			b.submit("j1", "routine", step(3, 1))
			tasks := b.d.Book.Jobs["j1"].Tasks[0][0]
			var sick int
			for i := range tasks {
				if tasks[i].Incarnation.Node == "n1" {
					sick = i
				}
			}
			for i := range 16 {
				b.pass(500 * time.Millisecond)
				seconds := float64(i) / 2
				progress := []float64{10 * seconds, 10 * seconds, 10 * seconds}
				slow := tt.rate * seconds
				if tt.stallAt > 0 {
					slow = min(slow, tt.stallAt)
				}
				mine := []float64{-1, -1, -1}
				mine[sick] = slow + 0.1
				progress[sick] = -1
				b.report("n1", func(r *berylreport.Report) { full(r); listed(mine...)(r) })
				b.report("n2", func(r *berylreport.Report) { r.Capacity.Accelerators = 2; listed(progress...)(r) })
				b.report("n3", nil)
				if b.d.Book.Jobs["j1"].Tasks[0][0][sick].Phase == berylbook.Stopping {
					break
				}
			}
			b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][sick].Phase, tt.want)
		})
	}
}

// Guards against a crash of a new leader that judges a gang whose first member is
// on a backend server that has not reported yet.
func TestTrackOfAnUnknownMember(t *testing.T) {
	is := is.New(t)
	var m *member
	is.Equal(m.track(berylreport.Key{Task: "j1.0.0.0", Run: 1}).total(), time.Duration(0))
}
