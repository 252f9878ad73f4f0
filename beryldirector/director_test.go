package beryldirector

import (
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// Guards against a start that is ordered before its record is in the topic: a
// successor would not know of the run and start the task again.
func TestStartIsOrderedAfterItsRecord(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.hold = true
	b.submit("j1", "routine", step(1, 1))
	b.is.Equal(b.phase("j1", 0), berylbook.Ordered)
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Start), 0)
	b.hold = false
	b.d.Committed(b.now)
	b.settle()
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Start), 1)
}

// Guards against an end that the backend server forgets before it is recorded.
func TestEndIsNotedAfterItsRecord(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(1, 1))
	b.hold = true
	a := b.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	b.is.Equal(b.d.Book.Jobs["j1"].State, berylbook.Completed)
	b.is.Equal(a.Acked, int64(0))
	b.hold = false
	b.d.Committed(b.now)
	b.settle()
	b.is.Equal(b.d.Orders(b.now)["n1"].Acked, int64(1))
}

// Guards against a second run while the first may exist, for each way in which a
// run may or may not be over.
func TestNextRunWaitsForTheLast(t *testing.T) {
	tests := []struct {
		name   string
		wait   time.Duration
		change func(r *berylreport.Report)
		want   int
	}{
		{name: "agent silent for a short time", wait: 8 * time.Second, want: 1},
		{name: "agent silent for longer than the lease", wait: 10 * time.Second, want: 2},
		{name: "run does not exist", change: func(r *berylreport.Report) {
			r.Absent = []berylreport.Key{{Task: "j1.0.0.0", Run: 1}}
		}, want: 2},
		{name: "run was stopped", change: func(r *berylreport.Report) {
			r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Stopped)}
		}, want: 2},
		{name: "born again", change: func(r *berylreport.Report) { r.Incarnation.StartedAt = 6 }, want: 2},
		{name: "lease ran out", change: func(r *berylreport.Report) { r.LeaseExpired = true }, want: 2},
		{name: "end of another run", change: func(r *berylreport.Report) {
			r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}}
			r.Ends = []berylreport.End{end(1, "j1.0.0.0", 7, berylreport.Failed)}
		}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.report("n1", nil)
			b.submit("j1", "routine", step(1, 1))
			b.report("n1", func(r *berylreport.Report) {
				r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}}
			})
			b.is.Equal(b.phase("j1", 0), berylbook.Working)
			if tt.wait > 0 {
				b.pass(tt.wait)
			}
			b.report("n2", nil)
			if tt.change != nil {
				b.report("n1", tt.change)
			}
			b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][0].Run, tt.want)
		})
	}
}

// Guards against a job that fails before its attempts are used up, and against a
// gang whose members each count the same failure.
func TestAttempts(t *testing.T) {
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
		{name: "lapsed runs", step: step(2, 1), ends: []berylreport.End{
			end(1, "j1.0.0.0", 1, berylreport.LeaseExpired), end(2, "j1.0.0.0", 2, berylreport.LeaseExpired),
		}, want: berylbook.Pending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.report("n1", nil)
			b.submit("j1", "routine", tt.step)
			for i := range tt.ends {
				b.report("n1", func(r *berylreport.Report) { r.Ends = tt.ends[:i+1] })
			}
			b.is.Equal(b.d.Book.Jobs["j1"].State, tt.want)
		})
	}
}

// Guards against members of a finished gang being taken for unknown runs: they
// were stopped, and their hosts got no work.
func TestMembersOfADoneGangAreKnown(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", gang(2, 4))
	runs := []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}, {Key: berylreport.Key{Task: "j1.0.0.1", Run: 1}}}
	b.report("n1", func(r *berylreport.Report) { r.Runs = runs })
	b.report("n1", func(r *berylreport.Report) {
		r.Runs = runs[1:]
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	b.is.Equal(b.d.Book.Jobs["j1"].State, berylbook.Completed)
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Stop), 0)
}

// Guards against starts that are given up because the store is slow: they were
// never sent.
func TestStartPatienceBeginsWithTheRecord(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.hold = true
	b.submit("j1", "routine", step(1, 1))
	b.pass(3 * time.Second)
	b.is.Equal(b.phase("j1", 0), berylbook.Ordered)
	b.hold = false
	b.d.Committed(b.now)
	b.pass(time.Second)
	b.is.Equal(b.phase("j1", 0), berylbook.Ordered)
	b.pass(time.Second)
	b.is.Equal(b.phase("j1", 0), berylbook.Stopping)
}

// Guards against a job whose tasks go on after its cancel, or that is shown as
// cancelled while they may.
func TestCancelStopsAndSettles(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(1, 1))
	b.report("n1", func(r *berylreport.Report) {
		r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}}
	})
	c := berylbook.Cancel{At: b.now.UnixMilli()}
	r, err := c.Record("j1")
	b.is.NoErr(err)
	b.append(r)
	b.settle()
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Stop), 1)
	b.is.Equal(b.d.Book.Jobs["j1"].State, berylbook.Pending)
	b.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Stopped)}
	})
	b.is.Equal(b.d.Book.Jobs["j1"].State, berylbook.Cancelled)
}

// Guards against a step that starts before the steps it is after have ended, and
// an occurrence before its time.
func TestOrderAndTime(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	second := step(1, 1)
	second.After = []int{0}
	b.submit("j1", "routine", step(1, 1), second)
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][1][0].Phase, berylbook.Idle)
	b.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][1][0].Phase, berylbook.Ordered)

	s := berylbook.Submission{Work: berylwork.Work{
		ID: "j2", Queue: "routine", Steps: []berylwork.Step{step(1, 1)}, Times: 2,
		FirstDue: b.now.Add(time.Second).UnixMilli(), Interval: 2000,
	}}
	r, err := s.Record()
	b.is.NoErr(err)
	b.append(r)
	b.pass(900 * time.Millisecond)
	b.is.Equal(b.d.Book.Jobs["j2"].Tasks[0][0][0].Phase, berylbook.Idle)
	b.report("n1", nil)
	b.pass(200 * time.Millisecond)
	b.is.Equal(b.d.Book.Jobs["j2"].Tasks[0][0][0].Phase, berylbook.Ordered)
	b.is.Equal(b.d.Book.Jobs["j2"].Tasks[1][0][0].Phase, berylbook.Idle)
}

// Guards against an end that is overlooked because the backend server has left by
// the time of the report: the task was started again after its end (mix day of
// qvmlw-pollen, seed 914984060784).
func TestEndsCountBeforeALapse(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(2, 1))
	b.report("n2", nil)
	b.report("n1", func(r *berylreport.Report) {
		r.Unresponsive, r.LeaseExpired = true, true
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	b.is.Equal(b.phase("j1", 0), berylbook.Done)
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][0].Run, 1)
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][1].Run, 2)
}

// Guards against an end of the last life of a backend server that is overlooked
// because it was born again before the report.
func TestEndsOfTheLastLifeCount(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(2, 1))
	b.report("n1", func(r *berylreport.Report) {
		r.PastEnds = berylreport.PastEnds{Incarnation: r.Incarnation, Ends: []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}}
		r.Incarnation.StartedAt++
	})
	b.is.Equal(b.phase("j1", 0), berylbook.Done)
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][1].Run, 2)
}

// Replays a job that is handed in while the store takes a quarter of a second for
// each append. Guards against a start that waits for two appends and a read.
func TestOneAppendTakesAJobAndItsStart(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	s := berylbook.Submission{Work: berylwork.Work{ID: "j1", Queue: "urgent", Steps: []berylwork.Step{step(1, 1)}, Accepted: b.now.UnixMilli()}}
	r, err := s.Record()
	b.is.NoErr(err)
	b.now = b.now.Add(_placeEvery)
	b.is.True(b.d.Enter(b.now, r))
	b.d.Step(b.now)
	var persists []Persist
	for _, e := range b.d.Effects() {
		if p, ok := e.(Persist); ok {
			persists = append(persists, p)
		}
	}
	b.is.Equal(len(persists), 1)
	b.is.Equal(persists[0].Records[0].Key, r.Key)
	b.is.Equal(b.phase("j1", 0), berylbook.Ordered)
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Start), 0)
	b.append(persists[0].Records...)
	b.d.Committed(b.now)
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Start), 1)
}
