package beryldirector

import (
	"fmt"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylerror"
	"berylglade/berylload"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// largestJob has as many tasks as a job may have.
func largestJob(id, account string, accepted time.Time) berylwork.Work {
	w := berylwork.Work{ID: id, Queue: "routine", Account: account, Accepted: accepted.UnixMilli()}
	for range 5 {
		w.Steps = append(w.Steps, step(20_000, 1))
	}
	return w
}

// ordered returns the load of the jobs of which a run was ordered.
func (h *harness) ordered() int {
	load := 0
	for _, j := range h.d.Book.Jobs {
		if j.Ordered() && !j.State.Final() {
			load += j.Load
		}
	}
	return load
}

// An earlier build has accepted more jobs with very many tasks than the bound allows. Guards
// against a new leader that starts all of them, so that each entry exceeds its memory, and
// against jobs beyond the bound that never start.
func TestStoreWithMoreThanTheBound(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	for i := range 8 {
		for _, account := range []string{"a", "b"} {
			w := largestJob(fmt.Sprintf("%s%d", account, i), account, h.now)
			r, err := (&berylbook.Submission{Work: w}).Record()
			h.is.NoErr(err)
			h.append(r)
		}
	}
	h.submitFor("c", "small", "routine", step(4, 1))
	for n := range 16 {
		h.report(fmt.Sprintf("n%d", n), nil)
		h.advance(200 * time.Millisecond)
	}
	h.is.True(h.ordered() > 0)
	h.is.True(h.ordered() <= berylload.Max)
	h.is.True(len(h.d.waiting) <= 2*_maxPendingUnits)
	h.is.True(h.d.Book.Jobs["small"].Ordered())
	// Those that run are cancelled, and others follow.
	first := map[string]bool{}
	for id, j := range h.d.Book.Jobs {
		if j.Ordered() {
			first[id] = true
			r, err := (&berylbook.Cancel{At: 1}).Record(id)
			h.is.NoErr(err)
			h.append(r)
		}
	}
	for range 3 {
		for n := range 16 {
			h.report(fmt.Sprintf("n%d", n), func(r *berylreport.Report) {
				for id := range first {
					h.d.Book.Jobs[id].Each(func(ref berylwork.Ref, t *berylbook.Task) {
						if t.Phase.Active() && t.Incarnation.Node == r.Node {
							r.Absent = append(r.Absent, berylreport.Key{Task: ref.String(), Run: t.Run})
						}
					})
				}
			})
		}
		h.advance(time.Second)
	}
	others := 0
	for id, j := range h.d.Book.Jobs {
		if j.Ordered() && !first[id] {
			others++
		}
	}
	h.is.True(others > 0)
	h.is.True(h.ordered() <= berylload.Max)
}

// Guards against a sum of accepted jobs without bound at the leader, and against the refusal
// of a job that is known.
func TestLeaderBoundsTheLoad(t *testing.T) {
	h := newHarness(t)
	h.is.NoErr(h.enqueue(largestJob("a1", "a", h.now)))
	h.is.Equal(berylerror.Of(h.enqueue(largestJob("a2", "a", h.now))), berylerror.Exhausted)
	h.is.True(h.d.Book.Jobs["a2"] == nil)
	h.is.NoErr(h.enqueue(largestJob("a1", "a", h.now)))
	for i := range 50 {
		h.is.NoErr(h.enqueue(berylwork.Work{ID: fmt.Sprintf("b%d", i), Queue: "routine", Account: "b", Steps: []berylwork.Step{step(40, 1)}}))
	}
}

// A client submits jobs with very many steps, due in an hour, and cancels each. Guards
// against ended jobs that the bound does not count although each entry keeps their steps,
// against ordinary jobs of others that it refuses meanwhile, and against an account that is
// refused after they are removed.
func TestLeaderBoundsEndedJobs(t *testing.T) {
	h := newHarness(t)
	manySteps := func(id string) berylwork.Work {
		w := berylwork.Work{ID: id, Queue: "routine", Account: "a", Times: 1, Accepted: h.now.UnixMilli()}
		w.FirstDue = h.now.Add(time.Hour).UnixMilli()
		for range 20_000 {
			w.Steps = append(w.Steps, berylwork.Step{Count: 1})
		}
		return w
	}
	accepted := 0
	for i := range 40 {
		w := manySteps(fmt.Sprintf("a%d", i))
		if err := h.enqueue(w); err != nil {
			h.is.Equal(berylerror.Of(err), berylerror.Exhausted)
			continue
		}
		accepted++
		r, err := (&berylbook.Cancel{At: h.now.UnixMilli()}).Record(w.ID)
		h.is.NoErr(err)
		h.is.NoErr(h.d.EnqueueRecord(h.now, r))
		h.advance(100 * time.Millisecond)
		h.is.True(h.d.Book.Jobs[w.ID].State.Final())
	}
	h.is.True(accepted > 1)
	h.is.True(accepted*20_000*2 <= berylload.Max)
	for i := range 50 {
		h.is.NoErr(h.enqueue(berylwork.Work{ID: fmt.Sprintf("b%d", i), Queue: "routine", Account: "b", Steps: []berylwork.Step{step(40, 1)}}))
	}
	for range 10 {
		h.advance(testLimits().Retention / 5)
	}
	h.is.NoErr(h.enqueue(manySteps("later")))
}

// Tasks that ask for nothing fit on any backend server. Guards against all of them on one,
// whose agent exceeds its memory, and against tasks beyond those of one placement pass that
// never start.
func TestTasksOfOneServerAreBounded(t *testing.T) {
	const tasks = _maxHostTasks + 500
	h := newHarness(t)
	h.report("n1", nil)
	w := berylwork.Work{ID: "j1", Queue: "routine", Steps: []berylwork.Step{{Count: tasks, Estimate: 1000}}, Accepted: h.now.UnixMilli()}
	r, err := (&berylbook.Submission{Work: w}).Record()
	h.is.NoErr(err)
	h.append(r)
	h.settle()
	active := func() (keys []berylreport.Key) {
		h.d.Book.Jobs["j1"].Each(func(ref berylwork.Ref, t *berylbook.Task) {
			if t.Phase.Active() {
				keys = append(keys, berylreport.Key{Task: ref.String(), Run: t.Run})
			}
		})
		return keys
	}
	var last int64
	for range 8 {
		var keys []berylreport.Key
		for range 5 {
			h.advance(200 * time.Millisecond)
			keys = active()
			h.is.True(len(keys) <= _maxHostTasks)
			h.report("n1", func(r *berylreport.Report) {
				for _, k := range keys {
					r.Runs = append(r.Runs, berylreport.Run{Key: k})
				}
			})
		}
		h.report("n1", func(r *berylreport.Report) {
			for _, k := range keys {
				last++
				r.Ends = append(r.Ends, end(last, k.Task, k.Run, berylreport.Done))
			}
		})
	}
	h.is.Equal(h.d.Book.Jobs["j1"].State, berylbook.Completed)
	h.is.Equal(last, int64(tasks))
}
