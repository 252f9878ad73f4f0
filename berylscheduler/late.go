package berylscheduler

import (
	"cmp"
	"container/heap"
	"time"
)

// lateHeap is a heap of the times at which targets have to be checked.
type lateHeap []lateCheck

type lateCheck struct {
	at  time.Time
	job string
}

func (h lateHeap) Len() int { return len(h) }
func (h lateHeap) Less(i, k int) bool {
	return cmp.Or(h[i].at.Compare(h[k].at), cmp.Compare(h[i].job, h[k].job)) < 0
}
func (h lateHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *lateHeap) Push(x any) { *h = append(*h, x.(lateCheck)) }

// Pop implements heap.Interface.
func (h *lateHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// scheduleLateCheck plans the next check of a job's target.
func (s *Scheduler) scheduleLateCheck(j *job) {
	if at, ok := s.lateAt(j); ok && !j.late {
		heap.Push(&s.lateChecks, lateCheck{at: at, job: j.ID})
	}
}

// lateAt returns when the target is missed if the job's stage does not change. For
// a waiting job it considers only an estimated run time, as a declared one is too
// unreliable to report the job as late.
func (s *Scheduler) lateAt(j *job) (time.Time, bool) {
	c, d := s.class(j), j.deadline
	switch {
	case d.IsZero() || c.Target.Start > 0 && j.stage >= _running:
		return time.Time{}, false
	case c.Target.Start == 0 && j.stage == _waiting && s.estimator.Learned(j.Class, j.Account):
		return d.Add(-s.expectedRun(j)), true
	default:
		return d, true
	}
}

func (s *Scheduler) reportLate() []Action {
	var out []Action
	for len(s.lateChecks) > 0 && s.lateChecks[0].at.Before(s.now) {
		c := heap.Pop(&s.lateChecks).(lateCheck)
		j, ok := s.jobs[c.job]
		if !ok || j.late || j.ended || j.rejected {
			continue
		}
		at, ok := s.lateAt(j)
		switch {
		case !ok:
		case at.Before(s.now):
			j.late = true
			s.counts.Late++
			out = append(out, Late{Job: j.ID})
		default:
			heap.Push(&s.lateChecks, lateCheck{at: at, job: j.ID})
		}
	}
	return out
}
