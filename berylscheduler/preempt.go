package berylscheduler

import (
	"cmp"
	"slices"
	"time"

	"berylglade/berylplacement"
	"berylglade/berylshape"
)

const (
	// A job with a target becomes urgent, and may then preempt work with more
	// slack, when its slack is at most its run time divided by _urgentRunDivisor or
	// _minUrgentSlack, whichever is more.
	_urgentRunDivisor = 10
	_minUrgentSlack   = time.Minute
	// _victimSlackMargin is how much more slack than the job a gang must have to be
	// preempted for it, so that two jobs don't preempt each other in turn.
	_victimSlackMargin = 10 * time.Minute
	// _searchInterval is the time between a job's searches of all workers for gangs
	// to preempt, and _startSearchInterval that for jobs with a target for the start.
	_searchInterval      = time.Second
	_startSearchInterval = 200 * time.Millisecond
	// _maxVictimSearches limits the repeated searches that exclude workers whose
	// gangs may not be preempted.
	_maxVictimSearches = 3
)

// preempt records that a gang is told to stop and returns the action.
func (s *Scheduler) preempt(j *job, checkpoint bool, reason string) Preempt {
	j.preemptedAt = s.now
	j.killed = !checkpoint
	s.stopping = append(s.stopping, j)
	s.counts.Preempted++
	return Preempt{Job: j.ID, Attempt: j.attempt, Checkpoint: checkpoint, Reason: reason}
}

// killOverdue repeats the preemption, without a checkpoint, of gangs that did not
// stop in time.
func (s *Scheduler) killOverdue() []Action {
	var out []Action
	var rest []*job
	for _, j := range s.stopping {
		if j.preemptedAt.IsZero() || j.stage < _placed {
			continue
		}
		rest = append(rest, j)
		if !j.killed && s.now.Sub(j.preemptedAt) > s.class(j).Stop.Std()+_stopMargin {
			j.killed = true
			out = append(out, Preempt{Job: j.ID, Attempt: j.attempt, Reason: "the checkpoint took longer than the stop time"})
		}
	}
	s.stopping = rest
	return out
}

// mayCheckpoint reports whether the victim can save its progress before the job
// has to start.
func (s *Scheduler) mayCheckpoint(j, victim *job) bool {
	c := s.class(victim)
	if !c.Checkpoint {
		return false
	}
	if s.class(j).Target.Start == 0 {
		return true
	}
	slack, _ := s.slack(j)
	return c.Stop.Std() <= slack
}

// urgent reports whether a job may preempt other work to meet its target.
func (s *Scheduler) urgent(j *job) bool {
	slack, timed := s.slack(j)
	if !timed {
		return false
	}
	if s.class(j).Target.Start > 0 {
		return true
	}
	return slack <= max(s.expectedRun(j)/_urgentRunDivisor, _minUrgentSlack)
}

// preemptibleFor returns a function that reports whether a gang may be preempted
// for a job that no guarantee covers. Only borrowed work may: backfill for the job
// with the reservation, and gangs without a target or with more slack for an
// urgent job.
func (s *Scheduler) preemptibleFor(j *job, hasReservation bool) func(v *job) bool {
	urgent := s.urgent(j)
	slack, _ := s.slack(j)
	return func(v *job) bool {
		if v.kind != _borrowed {
			return false
		}
		if hasReservation && v.assignment > s.reservation.lastAssignment {
			return true
		}
		if !urgent {
			return false
		}
		victimSlack, timed := s.slack(v)
		return !timed || victimSlack > slack+_victimSlackMargin
	}
}

// tryPreempting finds places that preemptible gangs hold now, and returns the gangs
// to stop. It tries the account's guarantee, then the reservation, then a search
// of all workers.
func (s *Scheduler) tryPreempting(j *job, hasReservation bool) ([]*job, bool) {
	if !s.opts.NoGuarantee {
		if grant := s.guarantees.Claim(s.gang(j), true); grant != nil {
			j.grant, j.kind, j.parts = grant, _guaranteed, grant.Parts
			victims, ok := s.victims(j, j.parts, func(v *job) bool { return v.kind == _borrowed })
			if ok {
				return victims, true
			}
			s.guarantees.Release(grant)
			j.grant = nil
		}
	}
	if !hasReservation && !s.urgent(j) {
		return nil, false
	}
	j.kind = _nonPreemptible
	if s.class(j).Checkpoint {
		j.kind = _borrowed
	}
	allowed := s.preemptibleFor(j, hasReservation)
	if hasReservation && s.allUsable(s.reservation.parts) && (s.hasRoom(j, s.reservation.parts) || s.displaceUnits(j, s.reservation.parts)) {
		if victims, ok := s.victims(j, s.reservation.parts, allowed); ok {
			j.parts = s.reservation.parts
			return victims, true
		}
	}
	if s.now.Sub(j.lastVictimSearch) < s.searchInterval(j) {
		return nil, false
	}
	j.lastVictimSearch = s.now
	return s.searchVictims(j, allowed)
}

// searchInterval returns the time between a job's searches of all workers for
// gangs to preempt.
func (s *Scheduler) searchInterval(j *job) time.Duration {
	if s.class(j).Target.Start > 0 {
		return _startSearchInterval
	}
	return _searchInterval
}

// hasRoom reports whether a job fits on the reserved workers beside the capacity
// committed there to non-preemptible work and guarantees. It returns true for
// borrowed work, which may use committed capacity until that is reclaimed.
func (s *Scheduler) hasRoom(j *job, parts []berylplacement.Part) bool {
	return j.kind == _borrowed || !slices.ContainsFunc(parts, func(p berylplacement.Part) bool {
		w := s.placement.Worker(p.Worker)
		return !j.Shape.Times(p.Tasks).Fits(w.Total.Sub(w.Committed))
	})
}

// allUsable reports whether the workers of all parts are usable.
func (s *Scheduler) allUsable(parts []berylplacement.Part) bool {
	return !slices.ContainsFunc(parts, func(p berylplacement.Part) bool {
		return !s.placement.Worker(p.Worker).Usable
	})
}

// searchVictims searches all workers for places where enough gangs may be
// preempted. It sets the job's parts.
func (s *Scheduler) searchVictims(j *job, allowed func(*job) bool) ([]*job, bool) {
	r := s.request(j, berylplacement.Evict)
	skip := map[int]bool{}
	exclude := r.Exclude
	r.Exclude = func(i int) bool {
		return skip[i] || exclude != nil && exclude(i) || !s.fitsReclaimable(i, j.Shape, allowed)
	}
	r.Cost = func(i int) float64 { return s.preemptionCost(i, j.Shape, allowed) }
	for range _maxVictimSearches {
		parts, ok := s.placement.Find(r)
		if !ok {
			return nil, false
		}
		if victims, ok := s.victims(j, parts, allowed); ok {
			j.parts = parts
			return victims, true
		}
		for _, p := range parts {
			if !j.Shape.Times(p.Tasks).Fits(s.reclaimable(p.Worker, allowed)) {
				skip[p.Worker] = true
			}
		}
	}
	return nil, false
}

// reclaimable returns what is free on a worker once the allowed gangs have ended.
func (s *Scheduler) reclaimable(i int, allowed func(*job) bool) berylshape.Shape {
	w := s.placement.Worker(i)
	have := w.Total.Sub(w.Allocated)
	for _, v := range s.workers[i].gangs {
		if !v.preemptedAt.IsZero() || allowed(v) {
			have = have.Add(v.Shape.Times(v.tasksOn(i)))
		}
	}
	return have
}

// tasksOn returns the number of the job's tasks on a worker.
func (j *job) tasksOn(worker int) int {
	for _, p := range j.parts {
		if p.Worker == worker {
			return p.Tasks
		}
	}
	return 0
}

func (s *Scheduler) fitsReclaimable(i int, shape berylshape.Shape, allowed func(*job) bool) bool {
	return shape.Fits(s.reclaimable(i, allowed))
}

// preemptionCost estimates the work that would be lost on a worker to make room
// for one task.
func (s *Scheduler) preemptionCost(i int, shape berylshape.Shape, allowed func(*job) bool) float64 {
	w := s.placement.Worker(i)
	if shape.Fits(w.Total.Sub(w.Allocated)) {
		return 0
	}
	least := 0.0
	for _, v := range s.workers[i].gangs {
		if v.preemptedAt.IsZero() && allowed(v) {
			if c := s.lostWork(v); least == 0 || c < least {
				least = c
			}
		}
	}
	return least
}

// lostWork returns the work lost by preempting a gang, as resources times seconds:
// that of the stop time and, without checkpoints, also all since the start. An
// accelerator counts as much as 16 cores.
func (s *Scheduler) lostWork(v *job) float64 {
	size := float64(v.Tasks) * float64(16*v.Shape.Accelerators+v.Shape.Cores+1)
	if v.stage == _assigned {
		return 0
	}
	t := s.class(v).Stop.Std() + time.Second
	if !s.class(v).Checkpoint {
		t += s.now.Sub(v.started)
	}
	return size * t.Seconds()
}

// victims returns the gangs that have to end before a job can use the given parts.
// It prefers gangs that are stopping already, then those with the least lost work,
// and returns false if the allowed ones do not free enough.
func (s *Scheduler) victims(j *job, parts []berylplacement.Part, allowed func(*job) bool) ([]*job, bool) {
	shortfalls := map[int]berylshape.Shape{}
	for _, p := range parts {
		w := s.placement.Worker(p.Worker)
		need := j.Shape.Times(p.Tasks)
		if missing := shortfall(need, w.Total.Sub(w.Allocated)); !missing.Fits(berylshape.Shape{}) {
			shortfalls[p.Worker] = missing
		}
	}
	list := s.victimCandidates(parts, shortfalls, allowed)
	var chosen []*job
	for _, v := range list {
		if len(shortfalls) == 0 {
			break
		}
		if s.subtractReleased(shortfalls, v) {
			chosen = append(chosen, v)
		}
	}
	if len(shortfalls) > 0 {
		return nil, false
	}
	return s.pruneVictims(j, parts, chosen), true
}

// shortfall returns how much of each resource is missing. A resource that is not
// needed is never missing, even if it is overcommitted.
func shortfall(need, free berylshape.Shape) berylshape.Shape {
	out := need.Sub(free)
	if need.Accelerators == 0 {
		out.Accelerators = 0
	}
	if need.Cores == 0 {
		out.Cores = 0
	}
	if need.Memory == 0 {
		out.Memory = 0
	}
	return out
}

func (s *Scheduler) victimCandidates(parts []berylplacement.Part, shortfalls map[int]berylshape.Shape, allowed func(*job) bool) []*job {
	seen := map[*job]bool{}
	var list []*job
	for _, p := range parts {
		if _, ok := shortfalls[p.Worker]; !ok {
			continue
		}
		for _, v := range s.workers[p.Worker].gangs {
			if !seen[v] && (!v.preemptedAt.IsZero() || allowed(v)) {
				seen[v] = true
				list = append(list, v)
			}
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(
			compareTrueFirst(!a.preemptedAt.IsZero(), !b.preemptedAt.IsZero()),
			cmp.Compare(s.lostWork(a), s.lostWork(b)),
			b.started.Compare(a.started),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return list
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// subtractReleased reduces the shortfalls by what a gang releases when it ends, and
// reports whether the gang is on a worker with a shortfall.
func (s *Scheduler) subtractReleased(shortfalls map[int]berylshape.Shape, v *job) bool {
	helps := false
	for _, p := range v.parts {
		missing, ok := shortfalls[p.Worker]
		if !ok {
			continue
		}
		helps = true
		missing = missing.Sub(v.Shape.Times(p.Tasks))
		if missing.Fits(berylshape.Shape{}) {
			delete(shortfalls, p.Worker)
		} else {
			shortfalls[p.Worker] = missing
		}
	}
	return helps
}

// pruneVictims drops the victims that are not needed after all, the most expensive
// first.
func (s *Scheduler) pruneVictims(j *job, parts []berylplacement.Part, chosen []*job) []*job {
	// released is what the chosen victims release on each worker.
	released := map[int]berylshape.Shape{}
	for _, v := range chosen {
		for _, p := range v.parts {
			released[p.Worker] = released[p.Worker].Add(v.Shape.Times(p.Tasks))
		}
	}
	needs := map[int]berylshape.Shape{}
	for _, p := range parts {
		w := s.placement.Worker(p.Worker)
		needs[p.Worker] = shortfall(j.Shape.Times(p.Tasks), w.Total.Sub(w.Allocated))
	}
	var keep []*job
	for _, v := range slices.Backward(chosen) {
		needed := slices.ContainsFunc(v.parts, func(p berylplacement.Part) bool {
			return !needs[p.Worker].Fits(released[p.Worker].Sub(v.Shape.Times(p.Tasks)))
		})
		if needed {
			keep = append(keep, v)
			continue
		}
		for _, p := range v.parts {
			released[p.Worker] = released[p.Worker].Sub(v.Shape.Times(p.Tasks))
		}
	}
	slices.Reverse(keep)
	return keep
}
