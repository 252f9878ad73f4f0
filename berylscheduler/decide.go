package berylscheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylguarantee"
	"berylglade/beryljob"
	"berylglade/berylplacement"
	"berylglade/berylqueue"
	"berylglade/berylshape"
)

const (
	// _mostLooked bounds one call of Decide by the number of workers that its
	// searches look at, each of which takes about 100 ns.
	_maxWorkersChecked = 10_000
	// _visit is the cost of a waiting job that is known not to fit, in workers
	// looked at.
	_jobCheckCost = 10
	// _repackMost is the number of guarantees times workers up to which units may
	// be planned afresh; above it a decision would take more than 10 ms.
	_maxRepackSize = 20_000
	// _lookAgain is the time between searches for a job if no capacity became free
	// meanwhile, and _pressAgain the same if its target is pressing, as it may then
	// stop other gangs.
	_retryInterval       = time.Minute
	_urgentRetryInterval = time.Second
)

// Decide returns what to do now. One call does a bounded amount of work; while it
// returns a Place, another call may return more.
func (s *Scheduler) Decide(now time.Time) []Action {
	s.tick(now)
	out := make([]Action, 0, len(s.pendingRejects))
	for _, r := range s.pendingRejects {
		out = append(out, r)
	}
	s.pendingRejects = nil
	out = append(out, s.updateDomains()...)
	out = append(out, s.startProbes()...)
	s.dropLostWorkers()
	s.reclassify()
	s.guarantees.Settle(s.now)
	out = append(out, s.compact()...)
	out = append(out, s.killOverdue()...)
	out = append(out, s.startAssigned()...)
	out = append(out, s.placeWaiting()...)
	out = append(out, s.reportLate()...)
	return out
}

func (s *Scheduler) startProbes() []Action {
	var out []Action
	for _, name := range s.quarantine.Probes(s.now) {
		i, ok := s.placement.Index(name)
		if !ok {
			continue
		}
		s.probing[i] = true
		s.updateUsable(i)
		out = append(out, Probe{Worker: name})
	}
	return out
}

// forgetLost drops workers that have been away for long, so that jobs which fit
// only there are rejected.
func (s *Scheduler) dropLostWorkers() {
	for _, i := range slices.Sorted(maps.Keys(s.lostSince)) {
		if s.now.Sub(s.lostSince[i]) >= s.opts.MissingWorkerTimeout {
			delete(s.lostSince, i)
			s.placement.Forget(i)
			s.resetInfeasible()
		}
	}
}

// refit makes every waiting job prove again that it fits at all.
func (s *Scheduler) resetInfeasible() {
	clear(s.infeasible)
	s.emptyCluster = nil
}

// startBooked places booked jobs whose workers are free now.
func (s *Scheduler) startAssigned() []Action {
	var out []Action
	var rest []*job
	for _, j := range s.assigned {
		switch {
		case j.stage != _assigned:
		case !s.allUsable(j.parts):
			s.unassign(j)
			s.enqueue(j)
		case j.pendingStops > 0:
			rest = append(rest, j)
		default:
			out = append(out, s.start(j))
		}
	}
	s.assigned = rest
	return out
}

// unbook gives the workers of a booked job back.
func (s *Scheduler) unassign(j *job) {
	for _, v := range s.stopping {
		v.waiters = slices.DeleteFunc(v.waiters, func(w *job) bool { return w == j })
	}
	j.pendingStops = 0
	s.release(j)
}

// start hands a booked job to the owner.
func (s *Scheduler) start(j *job) Place {
	j.stage = _placed
	j.attempt++
	j.started = s.now
	j.evacuated = false
	s.counts.Placed++
	act := Place{Job: j.ID, Attempt: j.attempt}
	for _, p := range j.parts {
		w := &s.workers[p.Worker].Worker
		act.Members = append(act.Members, beryljob.Member{
			Agent: w.Name, Incarnation: w.Incarnation, Addr: w.Addr, Tasks: p.Tasks,
		})
	}
	return act
}

// walk tries the waiting jobs, least slack first.
func (s *Scheduler) placeWaiting() []Action {
	var out []Action
	var blocked *job
	looked := s.placement.Looked
	resume := s.resumeAt
	s.resumeAt = ""
	// After a walk that ran out of time, half of the time goes to the jobs with
	// least slack again and half to those where it stopped.
	skip := resume != "" && s.queue.Has(resume)
	s.failedSearches.reset(s.capacityVersion)
	s.queue.Walk(func(it berylqueue.Item) bool {
		j := s.jobs[it.ID]
		skip = skip && it.ID != resume
		if skip && s.placement.Looked-looked > _maxWorkersChecked/2 {
			return true
		}
		looked -= _jobCheckCost
		acts, res := s.tryPlace(j)
		out = append(out, acts...)
		if blocked == nil && res == _nothingFits && s.needsReservation(j) {
			blocked = j
		}
		if s.placement.Looked-looked > _maxWorkersChecked {
			s.resumeAt = it.ID
			return false
		}
		return true
	})
	s.updateReservation(blocked)
	return out
}

// result says how an attempt to place a job ended.
type result uint8

const (
	// done means placed, booked or rejected.
	_resolved result = iota + 1
	// nothingFits means that there is no place.
	_nothingFits
	// notNow means that a rule of the account or the job holds it back.
	_heldBack
)

// try places one waiting job if it can.
func (s *Scheduler) tryPlace(j *job) ([]Action, result) {
	if s.overQuota(j) {
		return s.tryReject(j)
	}
	if j.triedVersion == s.capacityVersion && s.now.Sub(j.lastTried) < s.retryInterval(j) {
		return nil, _nothingFits
	}
	j.lastTried = s.now
	holder := s.reservation != nil && s.reservation.job == j
	if holder {
		s.suspendReservation()
		defer s.resumeReservation(j)
		if s.repack() {
			s.capacityVersion++
		}
	}
	if !s.failedSearches.covers(s, j) {
		if s.tryGuaranteed(j) || s.tryFree(j) {
			return s.assign(j, nil), _resolved
		}
	} else if !holder && !s.urgent(j) {
		j.triedVersion = s.capacityVersion
		if acts, res := s.tryReject(j); res == _resolved {
			return acts, res
		}
		return nil, _nothingFits
	}
	if victims, ok := s.tryPreempting(j, holder); ok {
		return s.assign(j, victims), _resolved
	}
	j.triedVersion = s.capacityVersion
	s.failedSearches.add(s, j)
	acts, res := s.tryReject(j)
	if res == _resolved {
		return acts, res
	}
	return nil, _nothingFits
}

func (s *Scheduler) retryInterval(j *job) time.Duration {
	if s.urgent(j) {
		return _urgentRetryInterval
	}
	return _retryInterval
}

func (s *Scheduler) overQuota(j *job) bool {
	q := s.cfg.Accounts[j.Account].Quota
	return exceeds(s.accountUsage[j.Account].Add(j.Shape.Times(j.Tasks)), q)
}

// exceeds reports whether use is above a quota, in which zero means no limit.
func exceeds(use, quota berylshape.Shape) bool {
	return quota.Accelerators > 0 && use.Accelerators > quota.Accelerators ||
		quota.Cores > 0 && use.Cores > quota.Cores ||
		quota.Memory > 0 && use.Memory > quota.Memory
}

// tryReject ends a job that can never run.
func (s *Scheduler) tryReject(j *job) ([]Action, result) {
	reason := s.infeasibleReason(j)
	if reason == "" {
		return nil, _heldBack
	}
	s.queue.Remove(j.ID)
	j.stage = _idle
	j.rejected = true
	s.counts.Rejected++
	return []Action{Reject{Job: j.ID, Reason: reason}}, _resolved
}

func (s *Scheduler) infeasibleReason(j *job) string {
	if err := j.Check(); err != nil {
		return err.Error()
	}
	whole := j.Shape.Times(j.Tasks)
	if q := s.cfg.Accounts[j.Account].Quota; exceeds(whole, q) {
		return fmt.Sprintf("the job needs %v; the quota of account %s is %v", whole, j.Account, q)
	}
	if s.now.Sub(s.startedAt) < s.opts.MissingWorkerTimeout {
		return ""
	}
	k := s.requestKind(j)
	reason, ok := s.infeasible[k]
	if !ok {
		reason = s.neverFitsReason(j)
		s.infeasible[k] = reason
	}
	return reason
}

// neverFits returns why a job does not fit even on an empty cluster.
func (s *Scheduler) neverFitsReason(j *job) string {
	r := s.request(j, berylplacement.Total)
	r.Avoid = nil
	if _, ok := s.placement.Find(r); ok {
		return s.blockedByGuarantees(j)
	}
	return fmt.Sprintf("%d tasks of %v with adjacency %v do not fit on the known workers", j.Tasks, j.Shape, j.Adjacent)
}

// request is the search for a job's places.
func (s *Scheduler) request(j *job, m berylplacement.Mode) berylplacement.Request {
	return berylplacement.Request{
		Shape:    j.Shape,
		Tasks:    j.Tasks,
		Adjacent: j.Adjacent,
		Mode:     m,
		Avoid:    s.avoidFunc(j),
	}
}

// avoids returns the workers that a job must not use now: those that refused it,
// those on which it failed, and quarantined workers unless it can be the probe.
func (s *Scheduler) avoidFunc(j *job) func(int) bool {
	if len(j.avoidUntil) == 0 && len(s.probing) == 0 {
		return nil
	}
	return func(i int) bool {
		if s.probing[i] && (j.Tasks > 1 || len(s.workers[i].gangs) > 0) {
			return true
		}
		return s.now.Before(j.avoidUntil[i])
	}
}

func (s *Scheduler) gang(j *job) berylguarantee.Gang {
	return berylguarantee.Gang{
		Account: j.Account, Shape: j.Shape, Tasks: j.Tasks, Adjacent: j.Adjacent, Avoid: s.avoidFunc(j),
	}
}

// tryGranted uses the account's guarantee on capacity that is free.
func (s *Scheduler) tryGuaranteed(j *job) bool {
	if s.opts.NoGuarantee {
		return false
	}
	j.grant = s.guarantees.Claim(s.gang(j), false)
	if j.grant == nil {
		return false
	}
	j.kind, j.parts = _guaranteed, j.grant.Parts
	return true
}

// tryFree uses free capacity: any for work that can be reclaimed, otherwise what
// no guarantee needs.
func (s *Scheduler) tryFree(j *job) bool {
	if s.class(j).Checkpoint {
		parts, ok := s.placement.Find(s.request(j, berylplacement.Free))
		j.kind, j.parts = _borrowed, parts
		return ok
	}
	if parts, ok := s.placement.Find(s.request(j, berylplacement.Firm)); ok {
		j.kind, j.parts = _nonPreemptible, parts
		return true
	}
	if s.now.Sub(j.lastDisplacement) < _searchInterval {
		return false
	}
	j.lastDisplacement = s.now
	for _, domain := range s.searchDomains(j) {
		r := s.request(j, berylplacement.Free)
		r.Cost = func(i int) float64 { return s.displacementCost(i, j.Shape) }
		r.Domain, r.Avoid = domain, s.avoidReserved(r.Avoid)
		parts, ok := s.placement.Find(r)
		if ok && s.displaceUnits(j, parts) {
			j.kind, j.parts = _nonPreemptible, parts
			return true
		}
	}
	return false
}

// repack plans the guaranteed units afresh if that is quick enough.
func (s *Scheduler) repack() bool {
	if s.opts.NoGuarantee || s.now.Sub(s.lastRepack) < _retryInterval ||
		s.guarantees.Promises()*s.placement.Len() > _maxRepackSize {
		return false
	}
	s.lastRepack = s.now
	return s.guarantees.Repack()
}

// choices returns the failure domains to which searches that move guaranteed
// units are limited in turn; the empty name is no limit. A large cluster has enough
// other places that one search has to do.
func (s *Scheduler) searchDomains(j *job) []string {
	out := []string{""}
	if j.Adjacent != beryladjacency.Anywhere && !s.opts.NoGuarantee && s.placement.Len() <= _maxFullSearchWorkers {
		out = append(out, slices.Sorted(maps.Keys(s.domains))...)
	}
	return out
}

func (s *Scheduler) avoidReserved(avoid func(int) bool) func(int) bool {
	return func(i int) bool { return s.reservedOn(i) || avoid != nil && avoid(i) }
}

// unitsLost is one if a task on the worker needs guaranteed units to move.
func (s *Scheduler) displacementCost(i int, shape berylshape.Shape) float64 {
	w := s.placement.Worker(i)
	if shape.Fits(w.Total.Sub(w.Committed)) {
		return 0
	}
	return 1
}

// displace moves guaranteed units out of the way of firm work. It does not commit
// the work itself; that follows with acquire.
func (s *Scheduler) displaceUnits(j *job, parts []berylplacement.Part) bool {
	if s.opts.NoGuarantee || !s.guarantees.Displace(j.Shape, parts) {
		return false
	}
	for _, p := range parts {
		s.guarantees.Firm(p.Worker, j.Shape, -p.Tasks)
	}
	return true
}

// book takes the job's parts. The job starts at once if no gang has to end first.
func (s *Scheduler) assign(j *job, victims []*job) []Action {
	var out []Action
	s.queue.Remove(j.ID)
	if s.reservation != nil && s.reservation.job == j {
		s.reservation = nil
	}
	s.acquire(j)
	j.stage = _assigned
	s.assignments++
	j.assignment = s.assignments
	for _, v := range victims {
		if v.stage == _assigned {
			s.unassign(v)
			s.enqueue(v)
			continue
		}
		if v.preemptedAt.IsZero() {
			out = append(out, s.preempt(v, s.mayCheckpoint(j, v), "the capacity is needed by job "+j.ID))
		}
		v.waiters = append(v.waiters, j)
		j.pendingStops++
	}
	if j.pendingStops == 0 {
		return append(out, s.start(j))
	}
	s.assigned = append(s.assigned, j)
	return out
}

// large reports whether waiting for free capacity alone could take for ever,
// because smaller work would always come first.
func (s *Scheduler) needsReservation(j *job) bool {
	if j.Tasks > 1 || j.Adjacent != beryladjacency.Anywhere {
		return true
	}
	return j.Shape.Accelerators > 1
}

// lateHeap has the times at which targets have to be looked at.
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

// Push is for container/heap.
func (h *lateHeap) Push(x any) { *h = append(*h, x.(lateCheck)) }

// Pop is for container/heap.
func (h *lateHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// watch plans the next look at a job's target.
func (s *Scheduler) scheduleLateCheck(j *job) {
	if at, ok := s.lateAt(j); ok && !j.late {
		heap.Push(&s.lateChecks, lateCheck{at: at, job: j.ID})
	}
}

// lateAt is when the target is missed if the job's step does not change. A declared
// run time says too little to call a waiting job late.
func (s *Scheduler) lateAt(j *job) (time.Time, bool) {
	c, d := s.class(j), j.deadline
	switch {
	case d.IsZero() || c.Target.Start > 0 && j.stage >= _running:
		return time.Time{}, false
	case c.Target.Start == 0 && j.stage == _waiting && s.estimator.Known(j.Class, j.Account):
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
