package beryldirector

import (
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
)

// A backend server has more unacknowledged ends than a listing has, so that a run is in
// neither list. Guards against a run that is taken for lost, by the leader that has seen it,
// by a new leader, and after a restart of the server: its task would run again after it was
// done.
func TestRunBeyondTruncatedEndsIsNotLost(t *testing.T) {
	truncated := func(r *berylreport.Report) {
		r.Truncated = true
		r.Ends = []berylreport.End{end(1, "other.0.0.0", 1, berylreport.Done)}
	}
	tests := []struct {
		name string
		// give are the reports before the listing that has the end.
		give []func(r *berylreport.Report)
	}{
		{name: "listed before", give: []func(r *berylreport.Report){listRun("j1.0.0.0", 1), truncated}},
		{name: "only started", give: []func(r *berylreport.Report){func(r *berylreport.Report) {
			truncated(r)
			r.Received = []berylreport.Key{{Task: "j1.0.0.0", Run: 1}}
		}}},
		{name: "restarted", give: []func(r *berylreport.Report){func(r *berylreport.Report) {
			truncated(r)
			r.Incarnation.StartedAt++
		}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.report("n1", nil)
			h.submit("j1", "routine", step(1, 1))
			h.report("n2", nil)
			var last func(r *berylreport.Report)
			for _, last = range tt.give {
				h.report("n1", last)
			}
			for range 8 {
				h.advance(400 * time.Millisecond)
				h.report("n1", last)
				h.is.True(h.phase("j1", 0).Active())
				h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Run, 1)
				h.is.Equal(len(h.d.Orders(h.now)["n1"].Stop), 0)
			}
			h.report("n1", func(r *berylreport.Report) {
				last(r)
				r.Truncated = false
				r.Ends = []berylreport.End{end(2, "j1.0.0.0", 1, berylreport.Done)}
			})
			h.is.Equal(h.phase("j1", 0), berylbook.Done)
		})
	}
}
