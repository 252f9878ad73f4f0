package beryldirector

import (
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// Guards against a start that is sent before its record is in the topic: the next
// leader would not know of the run and would start the task again.
func TestStartIsSentAfterItsRecord(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.holdAppends = true
	h.submit("j1", "routine", step(1, 1))
	h.is.Equal(h.phase("j1", 0), berylbook.Ordered)
	h.is.Equal(len(h.d.Orders(h.now)["n1"].Start), 0)
	h.holdAppends = false
	h.d.Committed(h.now)
	h.settle()
	h.is.Equal(len(h.d.Orders(h.now)["n1"].Start), 1)
}

// Guards against an end that the backend server deletes before it is recorded.
func TestEndIsAcknowledgedAfterItsRecord(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", step(1, 1))
	h.holdAppends = true
	a := h.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	h.is.Equal(h.d.Book.Jobs["j1"].State, berylbook.Completed)
	h.is.Equal(a.Acked, int64(0))
	h.holdAppends = false
	h.d.Committed(h.now)
	h.settle()
	h.is.Equal(h.d.Orders(h.now)["n1"].Acked, int64(1))
}

// Guards against a second run of a task while the first may still exist, for each
// report from which the leader concludes that a run has ended or not.
func TestNextRunWaitsForEndOfPrevious(t *testing.T) {
	tests := []struct {
		name   string
		wait   time.Duration
		change func(r *berylreport.Report)
		want   int
	}{
		{name: "agent unresponsive for a short time", wait: 8 * time.Second, want: 1},
		{name: "agent unresponsive for longer than the lease", wait: 10 * time.Second, want: 2},
		{name: "run does not exist", change: func(r *berylreport.Report) {
			r.Absent = []berylreport.Key{{Task: "j1.0.0.0", Run: 1}}
		}, want: 2},
		{name: "run was stopped", change: func(r *berylreport.Report) {
			r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Stopped)}
		}, want: 2},
		{name: "restarted", change: func(r *berylreport.Report) { r.Incarnation.StartedAt = 6 }, want: 2},
		{name: "lease expired", change: func(r *berylreport.Report) { r.LeaseExpired = true }, want: 2},
		{name: "end of another run", change: func(r *berylreport.Report) {
			r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}}
			r.Ends = []berylreport.End{end(1, "j1.0.0.0", 7, berylreport.Failed)}
		}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.report("n1", nil)
			h.submit("j1", "routine", step(1, 1))
			h.report("n1", func(r *berylreport.Report) {
				r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}}
			})
			h.is.Equal(h.phase("j1", 0), berylbook.Working)
			if tt.wait > 0 {
				h.advance(tt.wait)
			}
			h.report("n2", nil)
			if tt.change != nil {
				h.report("n1", tt.change)
			}
			h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Run, tt.want)
		})
	}
}

// Guards against a job that fails before its attempts are used up, and against a
// gang whose members each count the same failure.
func TestJobFailsAfterItsAttempts(t *testing.T) {
	tests := []struct {
		name string
		step berylwork.Step
		ends []berylreport.End
		want berylbook.State
	}{
		{name: "one failure", step: step(2, 1), ends: []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Failed)}, want: berylbook.Pending},
		{name: "two failures of one task", step: step(2, 1), ends: []berylreport.End{
			end(1, "j1.0.0.0", 1, berylreport.Failed), end(2, "j1.0.0.0", 2, berylreport.Failed),
		}, want: berylbook.Failed},
		{name: "one failure of each of two tasks", step: step(2, 1), ends: []berylreport.End{
			end(1, "j1.0.0.0", 1, berylreport.Failed), end(2, "j1.0.0.1", 1, berylreport.Failed),
		}, want: berylbook.Pending},
		{name: "both members of a gang", step: gang(2, 1), ends: []berylreport.End{
			end(1, "j1.0.0.0", 1, berylreport.Failed), end(2, "j1.0.0.1", 1, berylreport.Failed),
		}, want: berylbook.Pending},
		{name: "runs with expired leases", step: step(2, 1), ends: []berylreport.End{
			end(1, "j1.0.0.0", 1, berylreport.LeaseExpired), end(2, "j1.0.0.0", 2, berylreport.LeaseExpired),
		}, want: berylbook.Pending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.report("n1", nil)
			h.submit("j1", "routine", tt.step)
			for i := range tt.ends {
				h.report("n1", func(r *berylreport.Report) { r.Ends = tt.ends[:i+1] })
			}
			h.is.Equal(h.d.Book.Jobs["j1"].State, tt.want)
		})
	}
}

// Guards against members of a finished gang that are treated as unknown runs: they
// were stopped, and no tasks were started on their hosts.
func TestMembersOfFinishedGangAreNotStopped(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", gang(2, 4))
	runs := []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}, {Key: berylreport.Key{Task: "j1.0.0.1", Run: 1}}}
	h.report("n1", func(r *berylreport.Report) { r.Runs = runs })
	h.report("n1", func(r *berylreport.Report) {
		r.Runs = runs[1:]
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	h.is.Equal(h.d.Book.Jobs["j1"].State, berylbook.Completed)
	h.is.Equal(len(h.d.Orders(h.now)["n1"].Stop), 0)
}

// Guards against starts that time out because the store is slow although they were
// never sent.
func TestStartTimeoutBeginsWithTheRecord(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.holdAppends = true
	h.submit("j1", "routine", step(1, 1))
	h.advance(3 * time.Second)
	h.is.Equal(h.phase("j1", 0), berylbook.Ordered)
	h.holdAppends = false
	h.d.Committed(h.now)
	h.advance(time.Second)
	h.is.Equal(h.phase("j1", 0), berylbook.Ordered)
	h.advance(time.Second)
	h.is.Equal(h.phase("j1", 0), berylbook.Stopping)
}

// Guards against a job whose tasks continue after it was cancelled, or whose state
// is cancelled while they may still run.
func TestCancelledJobStopsItsRuns(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", step(1, 1))
	h.report("n1", func(r *berylreport.Report) {
		r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}}
	})
	c := berylbook.Cancel{At: h.now.UnixMilli()}
	r, err := c.Record("j1")
	h.is.NoErr(err)
	h.append(r)
	h.settle()
	h.is.Equal(len(h.d.Orders(h.now)["n1"].Stop), 1)
	h.is.Equal(h.d.Book.Jobs["j1"].State, berylbook.Pending)
	h.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Stopped)}
	})
	h.is.Equal(h.d.Book.Jobs["j1"].State, berylbook.Cancelled)
}

// Guards against a step that starts before the steps on which it depends are
// finished, and against an occurrence that starts before its time.
func TestStepsRunInOrderAndOccurrencesOnTime(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	second := step(1, 1)
	second.After = []int{0}
	h.submit("j1", "routine", step(1, 1), second)
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 1, 0).Phase, berylbook.Idle)
	h.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 1, 0).Phase, berylbook.Ordered)

	s := berylbook.Submission{Work: berylwork.Work{
		ID: "j2", Queue: "routine", Steps: []berylwork.Step{step(1, 1)}, Times: 2,
		FirstDue: h.now.Add(time.Second).UnixMilli(), Interval: 2000,
	}}
	r, err := s.Record()
	h.is.NoErr(err)
	h.append(r)
	h.advance(900 * time.Millisecond)
	h.is.Equal(h.d.Book.Jobs["j2"].At(0, 0, 0).Phase, berylbook.Idle)
	h.report("n1", nil)
	h.advance(200 * time.Millisecond)
	h.is.Equal(h.d.Book.Jobs["j2"].At(0, 0, 0).Phase, berylbook.Ordered)
	h.is.Equal(h.d.Book.Jobs["j2"].At(1, 0, 0).Phase, berylbook.Idle)
}

// Guards against an end that is ignored because the lease of the backend server has
// expired by the time of the report: the task was started again after its end (mix
// day of qvmlw-pollen, seed 914984060784).
func TestEndsBeforeLeaseExpiryCount(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", step(2, 1))
	h.report("n2", nil)
	h.report("n1", func(r *berylreport.Report) {
		r.Unresponsive, r.LeaseExpired = true, true
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	h.is.Equal(h.phase("j1", 0), berylbook.Done)
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Run, 1)
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 1).Run, 2)
}

// Guards against an end from the previous incarnation of a backend server that is
// ignored because the server restarted before the report.
func TestEndsOfPreviousIncarnationCount(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", step(2, 1))
	h.report("n1", func(r *berylreport.Report) {
		r.PastEnds = berylreport.PastEnds{Incarnation: r.Incarnation, Ends: []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}}
		r.Incarnation.StartedAt++
	})
	h.is.Equal(h.phase("j1", 0), berylbook.Done)
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 1).Run, 2)
}

// Submits a job while the store takes 250 ms for each append. Guards against a start
// that waits for two appends and a read.
func TestJobAndItsStartShareOneAppend(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	s := berylbook.Submission{Work: berylwork.Work{ID: "j1", Queue: "urgent", Steps: []berylwork.Step{step(1, 1)}, Accepted: h.now.UnixMilli()}}
	r, err := s.Record()
	h.is.NoErr(err)
	h.now = h.now.Add(h.d.placeInterval())
	h.is.NoErr(h.d.EnqueueRecord(h.now, r))
	h.d.Step(h.now)
	var persists []Persist
	for _, e := range h.d.Effects() {
		if p, ok := e.(Persist); ok {
			persists = append(persists, p)
		}
	}
	h.is.Equal(len(persists), 1)
	h.is.Equal(persists[0].Records[0].Key, r.Key)
	h.is.Equal(h.phase("j1", 0), berylbook.Ordered)
	h.is.Equal(len(h.d.Orders(h.now)["n1"].Start), 0)
	h.append(persists[0].Records...)
	h.d.Committed(h.now)
	h.is.Equal(len(h.d.Orders(h.now)["n1"].Start), 1)
}

// The operators remove a queue while a job of it is at work. Guards against a job whose next
// step never starts, and against one with the attempts of no queue.
func TestJobOfRemovedQueueGoesOn(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	second := step(1, 1)
	second.After = []int{0}
	s := berylbook.Submission{Work: berylwork.Work{
		ID: "j1", Queue: "urgent", Steps: []berylwork.Step{step(1, 1), second}, Accepted: h.now.UnixMilli(),
		Terms: berylwork.Terms{Service: "s", Attempts: 1, Stretch: 1.5},
	}}
	r, err := s.Record()
	h.is.NoErr(err)
	h.append(r)
	h.settle()
	policy := testPolicy()
	policy.Version, policy.Queues = 2, policy.Queues[1:]
	h.d.Policy = policy
	h.report("n1", func(r *berylreport.Report) { r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)} })
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 1, 0).Phase, berylbook.Ordered)
	h.report("n1", func(r *berylreport.Report) { r.Ends = []berylreport.End{end(2, "j1.0.1.0", 1, berylreport.Failed)} })
	h.is.Equal(h.d.Book.Jobs["j1"].State, berylbook.Failed)
}

// Guards against entries that take a job for started because its start was ordered, and
// against ones that don't learn that it has started: they know what the leader records.
func TestStartOfJobIsRecordedWhenListed(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", step(2, 1))
	var entry berylbook.Book
	h.copyTo = &entry
	h.append(h.submission("j2", "routine", step(2, 1)))
	h.settle()
	h.is.Equal(entry.Jobs["j2"].ClientState(), berylbook.Pending)
	h.report("n1", func(r *berylreport.Report) {
		r.Absent = []berylreport.Key{{Task: "j2.0.0.0", Run: 1}, {Task: "j2.0.0.1", Run: 1}}
	})
	h.advance(time.Second)
	h.is.True(entry.Jobs["j2"].At(0, 0, 0).Run > 0)
	h.is.Equal(entry.Jobs["j2"].ClientState(), berylbook.Pending)
	run := h.d.Book.Jobs["j2"].At(0, 0, 1).Run
	h.report("n1", listRun("j2.0.0.1", run))
	h.advance(time.Second)
	h.is.Equal(entry.Jobs["j2"].ClientState(), berylbook.Running)
}
