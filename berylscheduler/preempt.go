package berylscheduler

import (
	"cmp"
	"slices"
	"time"

	"berylglade/berylplacement"
	"berylglade/berylshape"
)

const (
	// _pressingShare and _pressingLeast say from which slack on a job with a
	// target may stop work whose target is further away: a tenth of its run time,
	// at least one minute.
	_urgentRunDivisor = 10
	_minUrgentSlack   = time.Minute
	// _advantage is how much more slack a gang needs to be stopped for another
	// job, so that two jobs don't stop each other in turn.
	_victimSlackMargin = 10 * time.Minute
	// _searchEvery and _searchUrgent are the times between searches of all workers
	// for gangs to stop; the second is for targets of start.
	_searchInterval      = time.Second
	_startSearchInterval = 200 * time.Millisecond
	// _searches bounds the searches around workers whose gangs may not be
	// stopped.
	_maxVictimSearches = 3
)

// preempt asks the owner to stop a gang.
func (s *Scheduler) preempt(j *job, checkpoint bool, reason string) Preempt {
	j.preemptedAt = s.now
	j.killed = !checkpoint
	s.stopping = append(s.stopping, j)
	s.counts.Preempted++
	return Preempt{Job: j.ID, Attempt: j.attempt, Checkpoint: checkpoint, Reason: reason}
}

// remind asks again, without a checkpoint, for gangs that did not stop in time.
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

// mayCheckpoint reports whether the time until the job has to start allows the
// victim to save its progress.
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

// pressing reports whether a job may stop other work to meet its target.
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

// yielding returns whether a gang may be stopped for a job that no guarantee covers.
func (s *Scheduler) preemptibleFor(j *job, holder bool) func(v *job) bool {
	pressing := s.urgent(j)
	ours, _ := s.slack(j)
	return func(v *job) bool {
		if v.kind != _borrowed {
			return false
		}
		if holder && v.assignment > s.reservation.lastAssignment {
			return true
		}
		if !pressing {
			return false
		}
		theirs, timed := s.slack(v)
		return !timed || theirs > ours+_victimSlackMargin
	}
}

// tryEvict finds places that reclaimable gangs hold now, and the gangs to stop.
// The account's guarantee comes first; then the reservation; then jobs whose
// target is pressing.
func (s *Scheduler) tryPreempting(j *job, holder bool) ([]*job, bool) {
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
	if !holder && !s.urgent(j) {
		return nil, false
	}
	j.kind = _nonPreemptible
	if s.class(j).Checkpoint {
		j.kind = _borrowed
	}
	allowed := s.preemptibleFor(j, holder)
	if holder && s.allUsable(s.reservation.parts) && (s.hasRoom(j, s.reservation.parts) || s.displaceUnits(j, s.reservation.parts)) {
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

// searchAgain is the time between searches of all workers for gangs to stop.
func (s *Scheduler) searchInterval(j *job) time.Duration {
	if s.class(j).Target.Start > 0 {
		return _startSearchInterval
	}
	return _searchInterval
}

// stillRoom reports whether no firm work or guarantee is in the way on reserved
// workers. Borrowed work needs no room.
func (s *Scheduler) hasRoom(j *job, parts []berylplacement.Part) bool {
	return j.kind == _borrowed || !slices.ContainsFunc(parts, func(p berylplacement.Part) bool {
		w := s.placement.Worker(p.Worker)
		return !j.Shape.Times(p.Tasks).Fits(w.Total.Sub(w.Committed))
	})
}

// usable reports whether work may start on all parts.
func (s *Scheduler) allUsable(parts []berylplacement.Part) bool {
	return !slices.ContainsFunc(parts, func(p berylplacement.Part) bool {
		return !s.placement.Worker(p.Worker).Usable
	})
}

// searchEvict searches for workers on which enough gangs may be stopped.
func (s *Scheduler) searchVictims(j *job, allowed func(*job) bool) ([]*job, bool) {
	r := s.request(j, berylplacement.Evict)
	skip := map[int]bool{}
	avoid := r.Avoid
	r.Avoid = func(i int) bool {
		return skip[i] || avoid != nil && avoid(i) || !s.fitsReclaimable(i, j.Shape, allowed)
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

// reach is what is free on a worker once the allowed gangs have ended.
func (s *Scheduler) reclaimable(i int, allowed func(*job) bool) berylshape.Shape {
	w := s.placement.Worker(i)
	have := w.Total.Sub(w.Held)
	for _, v := range s.workers[i].gangs {
		if !v.preemptedAt.IsZero() || allowed(v) {
			have = have.Add(v.Shape.Times(v.tasksOn(i)))
		}
	}
	return have
}

// on returns the number of tasks on a worker.
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

// reclaimCost is the work that would be lost on a worker for one task.
func (s *Scheduler) preemptionCost(i int, shape berylshape.Shape, allowed func(*job) bool) float64 {
	w := s.placement.Worker(i)
	if shape.Fits(w.Total.Sub(w.Held)) {
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

// loss is the work lost by stopping a gang, as resources times seconds: the stop
// time with a checkpoint, else all since the start.
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

// victims returns the gangs that have to end before a job can have the given
// parts, those that are stopping already and then least lost work first. It
// returns false if the allowed ones are not enough.
func (s *Scheduler) victims(j *job, parts []berylplacement.Part, allowed func(*job) bool) ([]*job, bool) {
	lacks := map[int]berylshape.Shape{}
	for _, p := range parts {
		w := s.placement.Worker(p.Worker)
		need := j.Shape.Times(p.Tasks)
		if lack := shortfall(need, w.Total.Sub(w.Held)); !lack.Fits(berylshape.Shape{}) {
			lacks[p.Worker] = lack
		}
	}
	list := s.victimCandidates(parts, lacks, allowed)
	var chosen []*job
	for _, v := range list {
		if len(lacks) == 0 {
			break
		}
		if s.subtractReleased(lacks, v) {
			chosen = append(chosen, v)
		}
	}
	if len(lacks) > 0 {
		return nil, false
	}
	return s.pruneVictims(j, parts, chosen), true
}

// lacking is what is missing of each resource that is needed at all.
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

func (s *Scheduler) victimCandidates(parts []berylplacement.Part, lacks map[int]berylshape.Shape, allowed func(*job) bool) []*job {
	seen := map[*job]bool{}
	var list []*job
	for _, p := range parts {
		if _, ok := lacks[p.Worker]; !ok {
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

// boolOrder sorts true first.
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

// relieve takes what a gang gives back off lacks and reports whether it helps.
func (s *Scheduler) subtractReleased(lacks map[int]berylshape.Shape, v *job) bool {
	helps := false
	for _, p := range v.parts {
		lack, ok := lacks[p.Worker]
		if !ok {
			continue
		}
		helps = true
		lack = lack.Sub(v.Shape.Times(p.Tasks))
		if lack.Fits(berylshape.Shape{}) {
			delete(lacks, p.Worker)
		} else {
			lacks[p.Worker] = lack
		}
	}
	return helps
}

// prune drops victims, the most expensive first, that are not needed after all.
func (s *Scheduler) pruneVictims(j *job, parts []berylplacement.Part, chosen []*job) []*job {
	// gives is what the chosen victims give back on each worker.
	gives := map[int]berylshape.Shape{}
	for _, v := range chosen {
		for _, p := range v.parts {
			gives[p.Worker] = gives[p.Worker].Add(v.Shape.Times(p.Tasks))
		}
	}
	needs := map[int]berylshape.Shape{}
	for _, p := range parts {
		w := s.placement.Worker(p.Worker)
		needs[p.Worker] = shortfall(j.Shape.Times(p.Tasks), w.Total.Sub(w.Held))
	}
	var keep []*job
	for _, v := range slices.Backward(chosen) {
		needed := slices.ContainsFunc(v.parts, func(p berylplacement.Part) bool {
			return !needs[p.Worker].Fits(gives[p.Worker].Sub(v.Shape.Times(p.Tasks)))
		})
		if needed {
			keep = append(keep, v)
			continue
		}
		for _, p := range v.parts {
			gives[p.Worker] = gives[p.Worker].Sub(v.Shape.Times(p.Tasks))
		}
	}
	slices.Reverse(keep)
	return keep
}
