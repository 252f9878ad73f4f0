package beryldirector

import (
	"strings"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// Many tasks with a long spec start on one backend server. Guards against orders that are
// larger than a message may be, so that the job never starts, and against starts that are
// given up as not confirmed before they were sent.
func TestOrdersAreBounded(t *testing.T) {
	const tasks = 2000
	h := newHarness(t)
	h.report("n1", nil)
	work := berylwork.Work{ID: "j1", Queue: "routine", Spec: strings.Repeat("x", 4000), Steps: []berylwork.Step{step(tasks, 0)}, Accepted: h.now.UnixMilli()}
	work.Steps[0].Need.Millicores = 1
	r, err := (&berylbook.Submission{Work: work}).Record()
	h.is.NoErr(err)
	h.append(r)
	h.settle()
	received := map[berylreport.Key]bool{}
	for range 20 {
		h.advance(400 * time.Millisecond)
		size := 0
		for _, s := range h.d.Orders(h.now)["n1"].Start {
			size += len(s.Spec)
			h.is.True(!received[s.Key])
			received[s.Key] = true
		}
		h.is.True(size <= _maxOrdersSize)
		h.report("n1", func(r *berylreport.Report) {
			for k := range received {
				r.Runs = append(r.Runs, berylreport.Run{Key: k})
			}
		})
	}
	h.is.Equal(len(received), tasks)
	h.d.Book.Jobs["j1"].Each(func(_ berylwork.Ref, t *berylbook.Task) { h.is.Equal(t.Run, 1) })
}
