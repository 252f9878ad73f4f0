package beryldirector

import (
	"cmp"
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// findReclaimable returns, by node, the units that only guaranteed work of an account may
// preempt, in addition to those that any urgent work may: long-running tasks of a less
// urgent queue, and urgent units of other accounts beyond their guarantees.
func (d *Director) findReclaimable(now time.Time, account string) map[string][]berylfit.Victim {
	victims := map[string][]berylfit.Victim{}
	add := func(s activeTask) {
		node := s.task.Incarnation.Node
		victims[node] = append(victims[node], d.victimOf(now, s.job, s.ref, s.task))
	}
	budget := map[stepKey]int{}
	urgent := map[string][]activeTask{}
	d.eachActive(func(s activeTask) {
		q, ok := d.queueOf(s.job.Work)
		step := &s.job.Work.Steps[s.ref.Step]
		switch {
		case !ok || s.job.State.Final() || s.task.Phase == berylbook.Stopping:
		case q.Priority == 0 && s.job.Work.Account != account && step.MaxUnavailable == 0:
			urgent[s.job.Work.Account] = append(urgent[s.job.Work.Account], s)
		case q.Priority != 0 && step.LongRunning && d.takeAvailability(budget, s):
			add(s)
		}
	})
	for other, tasks := range urgent {
		for _, s := range beyond(tasks, d.Policy.Guaranteed(other)) {
			add(s)
		}
	}
	return victims
}

// takeAvailability reports whether a long-running task may be stopped in addition to those
// for which it has returned true: no more tasks of its step than allowed become
// unavailable. Budget has, by step, how many more may.
func (d *Director) takeAvailability(budget map[stepKey]int, s activeTask) bool {
	step := &s.job.Work.Steps[s.ref.Step]
	if step.MaxUnavailable == 0 {
		return true
	}
	if step.Gang {
		return false
	}
	k := stepKey{s.job, s.ref.Occurrence, s.ref.Step}
	left, ok := budget[k]
	if !ok {
		left = step.MaxUnavailable - d.unavailable(s.job, s.ref)
	}
	budget[k] = left - 1
	return left > 0
}

// unavailable returns how many tasks of a long-running step are not at full work.
func (d *Director) unavailable(j *berylbook.Job, ref berylwork.Ref) int {
	n := 0
	tasks := j.Step(ref.Occurrence, ref.Step)
	for i := range tasks.Len() {
		t := tasks.Get(i)
		ref.Index = i
		p := d.agents[t.Incarnation.Node].progressOf(berylreport.Key{Task: ref.String(), Run: t.Run})
		if t.Phase != berylbook.Working || p.progress < _fullWork {
			n++
		}
	}
	return n
}

// beyond returns the units of an account without which it would still use its guarantee.
// They are chosen host by host, so that large tasks fit in their place, and the newest of a
// host first.
func beyond(tasks []activeTask, guarantee int) []activeTask {
	units := map[string][]activeTask{}
	used := 0
	for _, s := range tasks {
		name := unitName(s.job, s.ref.Occurrence, s.ref.Step, s.ref.Index)
		units[name] = append(units[name], s)
		used += s.accelerators()
	}
	names := make([]string, 0, len(units))
	for name := range units {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := units[a][0].task, units[b][0].task
		return cmp.Or(
			cmp.Compare(x.Incarnation.Node, y.Incarnation.Node),
			-cmp.Compare(x.OrderedAt, y.OrderedAt),
			cmp.Compare(a, b),
		)
	})
	var list []activeTask
	for _, name := range names {
		size := 0
		for _, s := range units[name] {
			size += s.accelerators()
		}
		if used-size < guarantee {
			continue
		}
		used -= size
		list = append(list, units[name]...)
	}
	return list
}

// accelerators returns the accelerators that the task uses.
func (s *activeTask) accelerators() int { return s.job.Work.Steps[s.ref.Step].Need.Accelerators }

// _fullWork is the progress, in percent, of a long-running task that is at full work.
const _fullWork = 100
