package beryldirector

import (
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
)

// An agent restarts, and a heartbeat of an earlier incarnation, delayed on its way, reaches
// it first. Guards against running work that is given up and started again elsewhere,
// because the agent names a backend server that is gone.
func TestUnlistedIncarnationEndsNoRun(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", step(1, 1))
	h.report("n1", listRun("j1.0.0.0", 1))
	h.report("n2", nil)
	h.report("n1", func(r *berylreport.Report) {
		r.Boot = 2
		r.Incarnation = berylbook.Incarnation{Node: "n1", Instance: "i-old", StartedAt: 4}
		r.Listed = false
	})
	h.is.Equal(h.phase("j1", 0), berylbook.Working)
	h.report("n1", func(r *berylreport.Report) {
		r.Boot = 2
		listRun("j1.0.0.0", 1)(r)
	})
	h.is.Equal(h.phase("j1", 0), berylbook.Working)
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Run, 1)
}

// A backend server is replaced while its agent restarts. Guards against runs of the server
// that is gone which are never ended.
func TestListedIncarnationEndsPreviousRuns(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", step(1, 1))
	h.report("n1", func(r *berylreport.Report) {
		r.Boot = 2
		r.Incarnation.StartedAt++
		r.Listed = false
	})
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Run, 1)
	h.report("n1", func(r *berylreport.Report) {
		r.Boot = 2
		r.Incarnation.StartedAt++
	})
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Run, 2)
}

// A backend server restarts under its name, and the new incarnation carries out a start call
// that was meant for the previous one. Guards against a task that runs twice at a time while
// that run goes on, and against one that runs again although its end was acknowledged.
func TestStartCarriedOutAfterRestart(t *testing.T) {
	restarted := func(r *berylreport.Report) { r.Incarnation.StartedAt++ }
	tests := []struct {
		name string
		give func(r *berylreport.Report)
		want berylbook.Phase
		// wantRun is the number of the newest run.
		wantRun int
	}{
		{name: "runs", give: listRun("j1.0.0.0", 1), want: berylbook.Working, wantRun: 1},
		{name: "done", give: func(r *berylreport.Report) {
			r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
		}, want: berylbook.Done, wantRun: 1},
		{name: "stopped", give: func(r *berylreport.Report) {
			r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Stopped)}
		}, want: berylbook.Ordered, wantRun: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.report("n1", nil)
			// The second step can't run, so that the job doesn't end.
			second := step(1, 1)
			second.Label = "none"
			h.submit("j1", "routine", step(1, 1), second)
			h.report("n2", nil)
			a := h.report("n1", func(r *berylreport.Report) {
				restarted(r)
				tt.give(r)
			})
			h.is.Equal(h.phase("j1", 0), tt.want)
			task := h.d.Book.Jobs["j1"].At(0, 0, 0)
			h.is.Equal(task.Run, tt.wantRun)
			h.is.Equal(len(h.d.Orders(h.now)["n1"].Stop), 0)
			if tt.want == berylbook.Working {
				h.is.Equal(task.Incarnation.StartedAt, incarnation("n1").StartedAt+1)
				h.is.Equal(a.Acked, int64(0))
			}
		})
	}
}

// A backend server is replaced by one that never answers, while its agent restarts. Guards
// against runs of the first one that stay active for ever, as the agent has contact.
func TestRunsOfReplacedServerExpire(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", step(1, 1))
	for range int(testLimits().LeaseExpiry/time.Second) + 1 {
		h.report("n1", func(r *berylreport.Report) {
			r.Boot = 2
			r.Incarnation.StartedAt++
			r.Listed = false
		})
		h.is.True(h.phase("j1", 0).Active())
		h.advance(time.Second)
	}
	h.is.Equal(h.phase("j1", 0), berylbook.Idle)
}
