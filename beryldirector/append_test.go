package beryldirector

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylerror"
	"berylglade/berylreport"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// checkAppends makes the harness check that the store accepts each append, and count the
// records by the prefix of their key.
func (h *harness) checkAppends(counts map[string]int) {
	h.onPersist = func(p Persist) {
		h.is.True(h.d.Limits.Store.AcceptsCall(p.Records))
		for _, r := range p.Records {
			prefix, _, _ := strings.Cut(r.Key, "/")
			counts[prefix]++
		}
	}
}

// Many large submissions arrive while the store takes its time for an append. Guards against
// an append that is larger than the store accepts, which was repeated for ever, and against a
// start that is sent before the submission of its job is in the topic.
func TestLargeSubmissionsShareAppends(t *testing.T) {
	h := newHarness(t)
	counts := map[string]int{}
	h.checkAppends(counts)
	h.report("n1", nil)
	h.holdAppends = true
	h.submit("j0", "routine", step(1, 1))
	const jobs = 40
	for i := range jobs {
		h.is.NoErr(h.enqueue(berylwork.Work{
			ID: fmt.Sprintf("j%02d", i), Queue: "urgent", Spec: strings.Repeat("x", 250_000), Steps: []berylwork.Step{step(1, 0)}, Accepted: h.now.UnixMilli(),
		}))
	}
	h.holdAppends = false
	topic := map[string]bool{"j/j0": true}
	h.onAppend = func(r berylstore.Record) {
		topic[r.Key] = true
		if task, ok := strings.CutPrefix(r.Key, "t/"); ok {
			h.is.True(topic["j/"+strings.Split(task, ".")[0]])
		}
		for _, s := range h.d.Orders(h.now)["n1"].Start {
			h.is.True(topic["j/"+strings.Split(s.Task, ".")[0]])
		}
	}
	h.d.Committed(h.now)
	enqueued := 0
	check := h.onPersist
	h.onPersist = func(p Persist) {
		check(p)
		enqueued += p.Enqueued
	}
	for range 40 {
		h.advance(50 * time.Millisecond)
		h.report("n1", nil)
	}
	h.is.Equal(counts["j"], jobs)
	h.is.Equal(enqueued, jobs)
}

// Guards against a record that is applied although no append can hold it.
func TestOversizeRecordIsNotEnqueued(t *testing.T) {
	h := newHarness(t)
	err := h.enqueue(berylwork.Work{ID: "j1", Queue: "urgent", Spec: strings.Repeat("x", 3<<20), Steps: []berylwork.Step{step(1, 0)}})
	h.is.Equal(berylerror.Of(err), berylerror.Oversize)
	h.is.True(h.d.Book.Jobs["j1"] == nil)
}

// A job with many tasks is removed by a leader that has not written them. Guards against an
// append with all its tombstones, which is larger than the store accepts.
func TestRemovalOfLargeJobIsSplit(t *testing.T) {
	const tasks, id = 100_000, "0123456789abcdef"
	wide := step(tasks/5, 0)
	h := newHarness(t)
	h.submit(id, "none", wide, wide, wide, wide, wide)
	j := h.d.Book.Jobs[id]
	for i := range tasks {
		*j.At(0, i%5, i/5) = berylbook.Task{Run: 1, Phase: berylbook.Done}
	}
	j.State, j.EndedAt = berylbook.Completed, h.now.UnixMilli()
	counts := map[string]int{}
	h.checkAppends(counts)
	h.advance(testLimits().Retention + 5*time.Minute)
	h.is.Equal(counts["t"], tasks)
	h.is.Equal(len(h.d.Book.Jobs), 0)
}

// The store refuses an append because of its content. Guards against a leader that repeats
// it, and against one that appends as much again.
func TestRefusedAppendEndsTheLead(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.holdAppends = true
	h.submit("j1", "routine", step(4000, 0))
	h.d.Refused()
	h.is.True(!h.d.Leading())
	largest := 0
	h.onPersist = func(p Persist) {
		size := 0
		for _, r := range p.Records {
			size += r.CallSize()
		}
		largest = max(largest, size)
	}
	h.holdAppends = false
	h.d.Restore(h.now, berylbook.Book{}, h.topicEnd)
	h.advance(3 * time.Second)
	h.is.True(h.d.Leading())
	h.report("n1", func(r *berylreport.Report) { r.Seq += 100 })
	h.submit("j2", "routine", step(4000, 0))
	h.advance(time.Second)
	h.is.True(largest > 0 && largest <= testLimits().Store.Call/2)
}
