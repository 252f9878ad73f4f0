package beryldirector

import (
	"testing"
	"time"

	"berylglade/beryloutlook"
	"berylglade/berylreport"
)

// Urgent work is queued behind a full site, and its leader is lost. Guards against a summary
// that misses work or counts work of no use, that a leader gives which is deposed or has not
// heard of its backend servers, and that calls the site complete while a server is missing.
func TestOutlook(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "urgent", step(8, 1))
	h.submit("j2", "urgent", step(24, 1))
	o, _ := h.d.Outlook(h.now)
	h.is.Equal(len(o.Services), 1)
	s := o.Services[0]
	h.is.Equal(s.Accelerators, 8)
	h.is.Equal(o.Urgent[""], 32)
	h.is.True(!s.Complete) // a server may not have reported yet
	var run time.Duration
	for _, w := range s.Work {
		h.is.Equal(w.Priority, 0)
		run += w.Run
	}
	h.is.Equal(run, 32*2*time.Second)

	for range 120 {
		h.advance(time.Second)
		h.report("n1", nil)
	}
	o, madeAt := h.d.Outlook(h.now)
	h.is.True(o.Services[0].Complete)
	h.is.Equal(len(o.Services[0].Work), 0) // nothing has run, and it is too late for all of it
	h.is.True(h.now.Sub(madeAt) <= _outlookInterval)
	h.report("n1", func(r *berylreport.Report) { r.Draining = true })
	h.advance(time.Second)
	o, _ = h.d.Outlook(h.now)
	h.is.True(!o.Services[0].Complete)

	h.d.Deposed()
	o, _ = h.d.Outlook(h.now)
	h.is.True(o == nil)
	h.d.Restore(h.now, h.d.Book, h.topicEnd)
	for !h.d.Leading() {
		h.advance(50 * time.Millisecond)
	}
	o, _ = h.d.Outlook(h.now)
	h.is.True(o == nil) // its backend servers have not reported yet
}

// All VMs lose power, and the first backend server has reported to the new leader, while
// others still have recorded runs. Guards against jobs that are rejected because of a load
// that the leader does not know: runs whose remaining time is unknown, on a part of the
// servers.
func TestNewLeaderRejectsNothingForItsTime(t *testing.T) {
	h := newHarness(t)
	nodes := []string{"n1", "n2", "n3", "n4"}
	for _, node := range nodes {
		h.report(node, nil)
	}
	h.submit("j1", "routine", step(32, 1))
	for _, node := range nodes {
		h.report(node, func(r *berylreport.Report) {
			h.d.eachActiveOn(node, func(s activeTask) {
				r.Runs = append(r.Runs, berylreport.Run{Key: berylreport.Key{Task: s.name, Run: s.task.Run}})
			})
		})
	}
	h.d.Deposed()
	h.d.Restore(h.now, h.d.Book, h.topicEnd)
	for !h.d.Leading() {
		h.advance(50 * time.Millisecond)
	}
	h.report("n1", nil)
	h.advance(_reportWindow)
	o, _ := h.d.Outlook(h.now)
	q := h.d.Policy.Queues[1]
	rejection := o.Check(0, beryloutlook.Request{Work: h.declaredAs("a", 100_000), Queue: q})
	h.is.True(rejection == nil)
}
