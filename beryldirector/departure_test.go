package beryldirector

import (
	"cmp"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// Announces that a backend server leaves while a task runs on it. Guards against a
// run that is left there although it can't end before the departure, so that its job
// is late by all the time until then; and against one that is stopped although a new
// run after the departure does no harm.
func TestRunOutlastsItsLeavingServer(t *testing.T) {
	tests := []struct {
		name string
		// queue is urgent if it is empty.
		queue string
		step  berylwork.Step
		// rate is the progress of each task in percent per second.
		rate float64
		// listed is how long the run has been listed when the departure is
		// announced, 3.5 s ahead.
		listed time.Duration
		// full is true if no other backend server has capacity.
		full bool
		want berylbook.Phase
	}{
		{name: "ends in time", step: step(1, 1), rate: 40, listed: time.Second, want: berylbook.Working},
		{name: "outlasts it", step: step(1, 1), rate: 20, listed: time.Second, want: berylbook.Stopping},
		{name: "outlasts it by less than a rate is exact to", step: step(1, 1), rate: 22, listed: time.Second, want: berylbook.Working},
		{name: "no capacity elsewhere", step: step(1, 1), rate: 20, listed: time.Second, full: true, want: berylbook.Working},
		{name: "gang", step: gang(2, 1), rate: 20, listed: time.Second, want: berylbook.Stopping},
		{name: "declared to end in time", step: step(1, 1), rate: 20, listed: 300 * time.Millisecond, want: berylbook.Working},
		{name: "in time after the departure", queue: "routine", step: estimated(step(1, 1), 6000), rate: 10, listed: time.Second, want: berylbook.Working},
		{name: "late after the departure", queue: "routine", step: step(1, 1), rate: 10, listed: time.Second, want: berylbook.Stopping},
		{name: "in time, saves its progress", queue: "routine", step: saving(estimated(step(1, 1), 6000)), rate: 10, listed: time.Second, want: berylbook.Stopping},
		{name: "declared to outlast it", step: estimated(step(1, 1), 6000), rate: 20, listed: 300 * time.Millisecond, want: berylbook.Stopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.report("n1", nil)
			h.submit("j1", cmp.Or(tt.queue, "urgent"), tt.step)
			began := h.now
			h.report("n1", listProgress(progressOfAll(tt.step.Count, 0)...))
			if !tt.full {
				h.report("n2", nil)
			}
			h.advance(tt.listed)
			h.report("n1", func(r *berylreport.Report) {
				listProgress(progressOfAll(tt.step.Count, tt.rate*h.now.Sub(began).Seconds())...)(r)
				r.Draining, r.Remaining = true, 3500
			})
			for i := range tt.step.Count {
				h.is.Equal(h.phase("j1", i), tt.want)
			}
		})
	}
}

// Guards against a run that is kept because its rate was unknown when the departure
// was announced, and against an announced time that is not replaced by a later one.
func TestDepartureIsCheckedAgain(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "urgent", step(1, 1))
	h.report("n1", listProgress(0))
	h.report("n2", nil)
	leaving := func(progress float64, remaining int64) func(r *berylreport.Report) {
		return func(r *berylreport.Report) {
			listProgress(progress)(r)
			r.Draining, r.Remaining = true, remaining
		}
	}
	h.report("n1", leaving(1, 3500))
	h.is.Equal(h.phase("j1", 0), berylbook.Working)
	h.advance(time.Second)
	h.report("n2", nil)
	h.report("n1", leaving(21, 8000))
	h.is.Equal(h.phase("j1", 0), berylbook.Working)
	h.report("n1", leaving(21, 2500))
	h.is.Equal(h.phase("j1", 0), berylbook.Stopping)
}

// estimated returns a step whose tasks are declared to run for ms milliseconds.
func estimated(s berylwork.Step, ms int64) berylwork.Step {
	s.Estimate = ms
	return s
}

func saving(s berylwork.Step) berylwork.Step {
	s.Checkpoints = true
	return s
}

func progressOfAll(count int, progress float64) []float64 {
	all := make([]float64, count)
	for i := range all {
		all[i] = progress
	}
	return all
}
