package beryldirector

import (
	"slices"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/beryloutlook"
	"berylglade/berylwork"
)

// Outlook returns the summary of the load for the other entries. It returns nil if this
// entry does not lead, or does not know the load yet. A summary is made at most once in
// _outlookInterval; madeAt is when.
func (d *Director) Outlook(now time.Time) (o *beryloutlook.Outlook, madeAt time.Time) {
	if !d.Leading() || d.Policy == nil || now.Sub(d.electedAt) < _reportWindow {
		return nil, time.Time{}
	}
	if d.outlook == nil || d.outlook.Epoch != d.epoch || now.Sub(d.outlookAt) >= _outlookInterval {
		d.outlook, d.outlookAt = d.makeOutlook(now), now
	}
	return d.outlook, d.outlookAt
}

func (d *Director) makeOutlook(now time.Time) *beryloutlook.Outlook {
	o := &beryloutlook.Outlook{Epoch: d.epoch, Urgent: map[string]int{}}
	services := map[string]*beryloutlook.Service{}
	for node, a := range d.agents {
		if a.report.Service == "" {
			continue
		}
		s := services[a.report.Service]
		if s == nil {
			s = &beryloutlook.Service{Name: a.report.Service, Complete: d.knowsAll(now), Partial: !d.allReported(now)}
			services[s.Name] = s
		}
		if !d.settled(now, a) {
			s.Complete = false
		}
		s.AddHost(a.rack, a.report.Labels, a.report.Capacity)
		s.Accelerators += a.report.Capacity.Accelerators - d.longRunningOn(node)
	}
	for _, j := range d.liveJobs() {
		q, ok := d.queueOf(j.Work)
		if !ok || j.State.Final() || j.CancelledAt != 0 {
			continue
		}
		if q.Priority == 0 {
			o.Urgent[j.Work.Account] += j.Work.PeakAccelerators()
		}
		if s := services[q.Service]; s != nil {
			d.addWork(now, s, j, q.Priority)
		}
	}
	for _, s := range services {
		o.Services = append(o.Services, *s)
	}
	slices.SortFunc(o.Services, func(a, b beryloutlook.Service) int { return strings.Compare(a.Name, b.Name) })
	return o
}

// knowsAll reports whether all backend servers have had the time to report to this leader,
// and none is kept in reserve.
func (d *Director) knowsAll(now time.Time) bool {
	for _, s := range d.Policy.Services {
		if s.Spare {
			return false
		}
	}
	return d.allReported(now) && len(d.Policy.OutOfService) == 0
}

// allReported reports whether all backend servers have had the time to report to this leader.
func (d *Director) allReported(now time.Time) bool { return now.Sub(d.electedAt) >= _completeAfter }

// settled reports whether a backend server is up and stays.
func (d *Director) settled(now time.Time, a *agentState) bool {
	r := a.report
	return r.Listed && !r.Draining && !r.Unresponsive && !r.LeaseExpired && now.Sub(a.reportedAt) <= _maxReportAge
}

// longRunningOn returns the accelerators of the long-running tasks on a node.
func (d *Director) longRunningOn(node string) int {
	n := 0
	d.eachActiveOn(node, func(s activeTask) {
		if step := &s.job.Work.Steps[s.ref.Step]; step.LongRunning {
			n += step.Need.Accelerators
		}
	})
	return n
}

// addWork adds the work that is left of a job's due occurrences. A job that can't be of use
// any more gives way to others, and doesn't count.
func (d *Director) addWork(now time.Time, s *beryloutlook.Service, j *berylbook.Job, priority int) {
	q, _ := d.queueOf(j.Work)
	paths := d.expectedPaths(j.Work, s.Accelerators)
	for k := j.FirstIncomplete(); k < j.Work.Occurrences(); k++ {
		if j.Work.Due(k).After(now) {
			return
		}
		u := unit{job: j, queue: &q, occurrence: k}
		u.setTimes(paths)
		if now.Sub(u.due) > _uselessFactor*u.due.Sub(u.startableAt) {
			continue
		}
		var run time.Duration
		for i := range j.Work.Steps {
			run += d.workLeft(now, j, k, i)
		}
		if run > 0 {
			s.Add(priority, u.due.Sub(now), run)
		}
	}
}

// workLeft returns the expected run time left of a step, times its accelerators.
func (d *Director) workLeft(now time.Time, j *berylbook.Job, occurrence, s int) time.Duration {
	step := &j.Work.Steps[s]
	if step.LongRunning {
		return 0
	}
	var run time.Duration
	tasks := j.Step(occurrence, s)
	left := tasks.Len()
	tasks.Each(func(i int, t *berylbook.Task) bool {
		switch t.Phase {
		case berylbook.Done:
			left--
		case berylbook.Working:
			left--
			run += d.remainingTime(now, j, berylwork.Ref{Job: j.Work.ID, Occurrence: occurrence, Step: s, Index: i}, t)
		default:
		}
		return true
	})
	if left > 0 {
		run += time.Duration(left) * d.declaredRunTime(j, s)
	}
	return run * time.Duration(max(step.Need.Accelerators, 1))
}

const (
	// _outlookInterval is how long a summary of the load is used.
	_outlookInterval = 500 * time.Millisecond
	// _completeAfter is how long a leader waits until it takes the backend servers that
	// have reported for all there are: a VM that restarts reports again within it.
	_completeAfter = 15 * time.Second
	// _uselessFactor is how many times the time allowed for a job may pass after it was
	// due until it is of no use.
	_uselessFactor = 2
)
