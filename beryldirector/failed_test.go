package beryldirector

import (
	"testing"
	"time"

	"berylglade/berylreport"
)

// The only free capacity is on a host that fails all runs at once. Guards against a job
// that fails because all attempts of a task are used up there, and against a task that
// never runs again because there is no other host.
func TestFailedTaskWaitsForAnotherHost(t *testing.T) {
	tests := []struct {
		name  string
		other bool
		want  int
	}{
		{name: "another host is busy", other: true, want: 1},
		{name: "no other host", want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			if tt.other {
				h.report("n2", nil)
				h.submit("busy", "routine", step(8, 1))
			}
			h.report("n1", nil)
			h.submit("j1", "routine", step(1, 1))
			h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Incarnation.Node, "n1")
			h.report("n1", func(r *berylreport.Report) {
				r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Failed)}
			})
			h.advance(time.Second)
			h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Run, tt.want)
			if !tt.other {
				return
			}
			h.report("n2", func(r *berylreport.Report) {
				r.Ends = []berylreport.End{end(1, "busy.0.0.0", 1, berylreport.Done)}
			})
			h.advance(100 * time.Millisecond)
			task := h.d.Book.Jobs["j1"].At(0, 0, 0)
			h.is.Equal(task.Run, 2)
			h.is.Equal(task.Incarnation.Node, "n2")
		})
	}
}

// Guards against a task that waits for another host and holds up the other tasks of its
// step, which have not failed.
func TestFailedTaskDoesNotHoldUpItsStep(t *testing.T) {
	h := newHarness(t)
	h.report("n2", nil)
	h.submit("busy", "routine", step(8, 1))
	h.report("n1", nil)
	h.submit("j1", "routine", step(2, 1))
	h.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Failed), end(2, "j1.0.0.1", 1, berylreport.Stopped)}
	})
	h.advance(time.Second)
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Run, 1)
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 1).Run, 2)
}

// A gang needs all hosts of the only rack that is large enough, and failed once. Guards
// against a gang that is spread over racks to avoid the host where it failed.
func TestFailedGangReturnsToItsRack(t *testing.T) {
	h := newHarness(t)
	for _, node := range []string{"n1", "n2"} {
		h.report(node, nil)
	}
	h.report("n3", func(r *berylreport.Report) { r.Labels = []string{"a", "r1-2"} })
	gang := step(2, 8)
	gang.Gang, gang.OneRack = true, true
	h.submit("j1", "urgent", gang)
	h.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Failed)}
	})
	h.report("n2", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.1", 1, berylreport.GangBroken)}
	})
	h.advance(300 * time.Millisecond)
	tasks := tasksOf(h.d.Book.Jobs["j1"])
	h.is.Equal(tasks[0].Run, 2)
	for _, task := range tasks {
		h.is.True(task.Incarnation.Node != "n3")
	}
}
