package beryldirector

import (
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylpolicy"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

func lasting(count, accelerators, maxUnavailable int) berylwork.Step {
	s := step(count, accelerators)
	s.LongRunning = true
	s.MaxUnavailable = maxUnavailable
	return s
}

// submitFor submits a job of a client account.
func (h *harness) submitFor(account, id, queue string, steps ...berylwork.Step) {
	s := berylbook.Submission{Work: berylwork.Work{ID: id, Queue: queue, Account: account, Steps: steps, Accepted: h.now.UnixMilli()}}
	r, err := s.Record()
	h.is.NoErr(err)
	h.append(r)
	h.settle()
}

// Other work uses all accelerators when work within a guarantee arrives. Guards against
// guaranteed capacity that can't be reclaimed because long-running tasks, or urgent tasks
// of an account beyond its guarantee, are never stopped, and against stopping those that
// are protected.
func TestReclaim(t *testing.T) {
	tests := []struct {
		name  string
		queue string
		step  berylwork.Step
		// account submits the work that is to be stopped. "a" submits the work that
		// needs 8 of 16 accelerators and has a guarantee of 8; "b" has one of 8 too,
		// "c" of 16.
		account string
		// working is the progress of the tasks that run.
		working float64
		want    int
	}{
		{name: "long-running", queue: "routine", step: lasting(2, 8, 0), account: "b", working: 100, want: 1},
		{name: "long-running, one may be unavailable", queue: "routine", step: lasting(2, 8, 1), account: "b", working: 100, want: 1},
		{name: "long-running, one is unavailable", queue: "routine", step: lasting(2, 8, 1), account: "b", working: 90},
		{name: "long-running, small tasks", queue: "routine", step: lasting(16, 1, 0), account: "b", working: 100, want: 8},
		{name: "long-running, too few may be unavailable", queue: "routine", step: lasting(16, 1, 7), account: "b", working: 100},
		{name: "urgent beyond the guarantee", queue: "urgent", step: step(2, 8), account: "b", working: 10, want: 1},
		{name: "urgent and long-running beyond the guarantee", queue: "urgent", step: lasting(16, 1, 0), account: "b", working: 100, want: 8},
		{name: "urgent within the guarantee", queue: "urgent", step: step(2, 8), account: "c", working: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.d.Policy.Accounts = []berylpolicy.Account{{Name: "a", Guaranteed: 8}, {Name: "b", Guaranteed: 8}, {Name: "c", Guaranteed: 16}}
			h.report("n1", nil)
			h.report("n2", nil)
			h.submitFor(tt.account, "j1", tt.queue, tt.step)
			list := func(node string) func(r *berylreport.Report) {
				return func(r *berylreport.Report) {
					for i := range tt.step.Count {
						task := h.d.Book.Jobs["j1"].At(0, 0, i)
						if task.Incarnation.Node == node {
							ref := berylwork.Ref{Job: "j1", Index: i}
							r.Runs = append(r.Runs, berylreport.Run{Key: berylreport.Key{Task: ref.String(), Run: 1}, Progress: tt.working})
						}
					}
				}
			}
			h.report("n1", list("n1"))
			h.report("n2", list("n2"))
			h.advance(5 * time.Second)
			h.report("n1", list("n1"))
			h.report("n2", list("n2"))
			h.submitFor("a", "j2", "urgent", step(1, 8))
			for range 4 {
				h.advance(400 * time.Millisecond)
				h.report("n1", list("n1"))
				h.report("n2", list("n2"))
			}
			stopping := 0
			for i := range tt.step.Count {
				if h.phase("j1", i) == berylbook.Stopping {
					stopping++
				}
			}
			h.is.Equal(stopping, tt.want)
		})
	}
}
