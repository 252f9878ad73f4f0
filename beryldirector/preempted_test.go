package beryldirector

import (
	"testing"
	"time"

	"berylglade/berylreport"
)

// A job is preempted twice, and then ends. Guards against operators who can't see what
// routine work loses to urgent work, and against one job that is told about twice.
func TestDiscardedWorkIsCounted(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	routine := step(1, 2)
	routine.Estimate = 10_000
	h.submit("j1", "routine", routine)
	h.report("n1", listRun("j1.0.0.0", 1))
	began := h.now
	h.advance(time.Second)
	for range 2 {
		h.d.now = h.now
		h.d.notePreempted("j1.0.0.0")
	}
	h.report("n1", func(r *berylreport.Report) { r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)} })
	h.report("n1", func(r *berylreport.Report) { r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)} })
	h.is.Equal(len(h.ended), 1)
	h.is.Equal(h.ended[0].Queue, "routine")
	const cores = 1 + 2*_coresPerAccelerator
	h.is.True(h.ended[0].Discarded >= 2*cores*time.Second.Seconds())
	h.is.True(h.ended[0].Discarded <= 2*cores*h.now.Sub(began.Add(-time.Second)).Seconds())
}
