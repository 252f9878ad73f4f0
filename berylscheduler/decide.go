package berylscheduler

import (
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
	// _maxWorkersChecked limits the work of one call of Decide, as the number of
	// workers that its searches check. Each check takes about 100 ns.
	_maxWorkersChecked = 10_000
	// _jobCheckCost is the cost of a waiting job that is known not to fit, in
	// workers checked.
	_jobCheckCost = 10
	// _maxRepackSize is the product of guarantees and workers up to which all units
	// may be replanned; above it a decision would take more than 10 ms.
	_maxRepackSize = 20_000
	// _retryInterval is the time between searches for a job if no capacity became
	// free meanwhile. _urgentRetryInterval is that for an urgent job, which may
	// preempt other gangs.
	_retryInterval       = time.Minute
	_urgentRetryInterval = time.Second
)

// Decide returns the actions to carry out now. One call does a bounded amount of
// work; as long as it returns a Place, another call may return more.
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
	s.guarantees.Reconcile(s.now)
	out = append(out, s.compact()...)
	out = append(out, s.killOverdue()...)
	out = append(out, s.startAssigned()...)
	out = append(out, s.placeWaiting()...)
	out = append(out, s.reportLate()...)
	return out
}

func (s *Scheduler) startProbes() []Action {
	var out []Action
	for _, name := range s.quarantine.StartDueProbes(s.now) {
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

// dropLostWorkers forgets workers that have been lost for MissingWorkerTimeout, so
// that jobs that fit only there are rejected.
func (s *Scheduler) dropLostWorkers() {
	for _, i := range slices.Sorted(maps.Keys(s.lostSince)) {
		if s.now.Sub(s.lostSince[i]) >= s.opts.MissingWorkerTimeout {
			delete(s.lostSince, i)
			s.placement.Remove(i)
			s.resetInfeasible()
		}
	}
}

// resetInfeasible discards the cached answers on whether jobs fit at all.
func (s *Scheduler) resetInfeasible() {
	clear(s.infeasible)
	s.emptyCluster = nil
}

// startAssigned places assigned jobs whose workers are free now, and queues those
// again whose workers can no longer be used.
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

// unassign releases the workers of an assigned job.
func (s *Scheduler) unassign(j *job) {
	for _, v := range s.stopping {
		v.waiters = slices.DeleteFunc(v.waiters, func(w *job) bool { return w == j })
	}
	j.pendingStops = 0
	s.release(j)
}

// start returns the action that passes an assigned job to the owner.
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

// placeWaiting tries to place the waiting jobs, least slack first.
func (s *Scheduler) placeWaiting() []Action {
	var out []Action
	var blocked *job
	baseline := s.placement.Examined
	resume := s.resumeAt
	s.resumeAt = ""
	// If the last pass reached its limit of work, half of this pass goes to the
	// jobs with the least slack again, and half to those after the limit.
	skip := resume != "" && s.queue.Has(resume)
	s.failedSearches.reset(s.capacityVersion)
	s.queue.Walk(func(it berylqueue.Item) bool {
		j := s.jobs[it.ID]
		skip = skip && it.ID != resume
		if skip && s.placement.Examined-baseline > _maxWorkersChecked/2 {
			return true
		}
		baseline -= _jobCheckCost
		acts, res := s.tryPlace(j)
		out = append(out, acts...)
		if blocked == nil && res == _nothingFits && s.needsReservation(j) {
			blocked = j
		}
		if s.placement.Examined-baseline > _maxWorkersChecked {
			s.resumeAt = it.ID
			return false
		}
		return true
	})
	s.updateReservation(blocked)
	return out
}

// result is the outcome of an attempt to place a job.
type result uint8

const (
	// _resolved jobs were placed, assigned or rejected.
	_resolved result = iota + 1
	// _nothingFits means that no workers have room.
	_nothingFits
	// _heldBack means that the account's quota is used up for now.
	_heldBack
)

// tryPlace places one waiting job if possible.
func (s *Scheduler) tryPlace(j *job) ([]Action, result) {
	if s.overQuota(j) {
		return s.tryReject(j)
	}
	if j.triedVersion == s.capacityVersion && s.now.Sub(j.lastTried) < s.retryInterval(j) {
		return nil, _nothingFits
	}
	j.lastTried = s.now
	hasReservation := s.reservation != nil && s.reservation.job == j
	if hasReservation {
		s.suspendReservation()
		defer s.resumeReservation(j)
		if s.repack() {
			s.capacityVersion++
		}
	}
	resume := s.lendReservation(j)
	if resume != nil {
		defer resume()
	}
	if resume != nil || !s.failedSearches.covers(s, j) {
		if s.tryGuaranteed(j) || s.tryFree(j) {
			return s.assign(j, nil), _resolved
		}
	} else if !hasReservation && !s.urgent(j) {
		j.triedVersion = s.capacityVersion
		if acts, res := s.tryReject(j); res == _resolved {
			return acts, res
		}
		return nil, _nothingFits
	}
	if victims, ok := s.tryPreempting(j, hasReservation); ok {
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

// request returns the search for places for a job.
func (s *Scheduler) request(j *job, m berylplacement.Mode) berylplacement.Request {
	return berylplacement.Request{
		Shape:    j.Shape,
		Tasks:    j.Tasks,
		Adjacent: j.Adjacent,
		Mode:     m,
		Exclude:  s.avoidFunc(j),
	}
}

// avoidFunc returns a function that reports whether a job must not use a worker
// now: one that refused it, one on which it failed, or a quarantined worker unless
// the job can be its probe. It returns nil if there are none.
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
		Account: j.Account, Shape: j.Shape, Tasks: j.Tasks, Adjacent: j.Adjacent, Exclude: s.avoidFunc(j),
	}
}

// tryGuaranteed uses the account's guarantee on free capacity.
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

// tryFree uses free capacity: any of it for work with checkpoints, otherwise what
// no guarantee needs.
func (s *Scheduler) tryFree(j *job) bool {
	if s.class(j).Checkpoint {
		parts, ok := s.placement.Find(s.request(j, berylplacement.Free))
		j.kind, j.parts = _borrowed, parts
		return ok
	}
	if parts, ok := s.placement.Find(s.request(j, berylplacement.NonPreemptible)); ok {
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
		r.Domain, r.Exclude = domain, s.excludeReserved(r.Exclude)
		parts, ok := s.placement.Find(r)
		if ok && s.displaceUnits(j, parts) {
			j.kind, j.parts = _nonPreemptible, parts
			return true
		}
	}
	return false
}

// repack replans all guaranteed units if that is fast enough.
func (s *Scheduler) repack() bool {
	if s.opts.NoGuarantee || s.now.Sub(s.lastRepack) < _retryInterval ||
		s.guarantees.Len()*s.placement.Len() > _maxRepackSize {
		return false
	}
	s.lastRepack = s.now
	return s.guarantees.Repack()
}

// searchDomains returns the failure domains to which the searches that move
// guaranteed units are limited in turn; an empty name means no limit. In a large
// cluster one unlimited search is enough, as it has many other places.
func (s *Scheduler) searchDomains(j *job) []string {
	out := []string{""}
	if j.Adjacent != beryladjacency.Anywhere && !s.opts.NoGuarantee && s.placement.Len() <= _maxFullSearchWorkers {
		out = append(out, slices.Sorted(maps.Keys(s.domains))...)
	}
	return out
}

// excludeReserved returns a function that excludes the reserved workers in addition
// to those that exclude reports; exclude may be nil.
func (s *Scheduler) excludeReserved(exclude func(int) bool) func(int) bool {
	return func(i int) bool { return s.reservedOn(i) || exclude != nil && exclude(i) }
}

// displacementCost is one if a task on the worker requires guaranteed units to
// move, else zero.
func (s *Scheduler) displacementCost(i int, shape berylshape.Shape) float64 {
	w := s.placement.Worker(i)
	if shape.Fits(w.Total.Sub(w.Committed)) {
		return 0
	}
	return 1
}

// displaceUnits moves guaranteed units off workers to make room for
// non-preemptible work. It does not commit the work itself; acquire does.
func (s *Scheduler) displaceUnits(j *job, parts []berylplacement.Part) bool {
	if s.opts.NoGuarantee || !s.guarantees.DisplaceUnitsFor(j.Shape, parts) {
		return false
	}
	for _, p := range parts {
		s.guarantees.AddNonPreemptible(p.Worker, j.Shape, -p.Tasks)
	}
	return true
}

// assign acquires the job's parts and preempts the victims. The job starts at once
// if no gang has to end first.
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

// needsReservation reports whether a job could starve without a reservation
// because smaller jobs take all capacity that becomes free.
func (s *Scheduler) needsReservation(j *job) bool {
	if j.Tasks > 1 || j.Adjacent != beryladjacency.Anywhere {
		return true
	}
	return j.Shape.Accelerators > 1
}
