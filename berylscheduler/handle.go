package berylscheduler

import (
	"slices"
	"time"

	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

func (s *Scheduler) jobQueued(st beryljob.State) {
	if st.Phase.Ended() {
		return
	}
	j := s.upsertJob(st)
	if j.rejected || j.ended {
		return
	}
	switch j.stage {
	case _assigned:
		return
	case _placed, _running:
		// The attempt has ended, but members may hold resources until GangEnded.
		j.requeue = j.requeue || st.Attempt >= j.attempt
	case _idle, _waiting:
		j.attempt = max(j.attempt, st.Attempt)
		s.enqueue(j)
	}
}

// upsertJob adds a job or updates it if the state is as new as the stored one.
func (s *Scheduler) upsertJob(st beryljob.State) *job {
	j, ok := s.jobs[st.ID]
	if !ok {
		j = &job{triedVersion: -1, State: st}
		s.jobs[st.ID] = j
	}
	if st.Attempt >= j.Attempt {
		accepted := j.Accepted
		j.State = st
		if st.Accepted.IsZero() {
			j.Accepted = accepted
		}
	}
	if j.Accepted.IsZero() {
		j.Accepted = s.now
	}
	s.setDeadline(j)
	return j
}

func (s *Scheduler) enqueue(j *job) {
	j.stage = _waiting
	j.requeue = false
	j.triedVersion = -1
	for _, name := range j.Blamed {
		if i, ok := s.placement.Index(name); ok {
			j.avoidWorker(i, s.now.Add(_avoidAfterFailure))
		}
	}
	s.queue.Put(s.queueItem(j))
	s.scheduleLateCheck(j)
}

// avoidWorker excludes a worker from the job's placements until the given time.
func (j *job) avoidWorker(worker int, until time.Time) {
	if j.avoidUntil == nil {
		j.avoidUntil = map[int]time.Time{}
	}
	j.avoidUntil[worker] = until
}

func (s *Scheduler) jobRestored(st beryljob.State) {
	if st.Phase != beryljob.Decided {
		return
	}
	j := s.upsertJob(st)
	if j.stage >= _assigned || j.ended || j.rejected {
		return
	}
	s.queue.Remove(j.ID)
	j.attempt = st.Attempt
	j.parts = nil
	for _, m := range st.Members {
		j.parts = append(j.parts, berylplacement.Part{Worker: s.workerIndex(m.Agent), Tasks: m.Tasks})
	}
	j.kind = _nonPreemptible
	if s.class(j).Checkpoint {
		j.kind = _borrowed
	}
	s.acquire(j)
	s.unclassified = append(s.unclassified, j)
	j.stage = _placed
	j.started = s.now
	for _, p := range j.parts {
		s.updateForeign(p.Worker)
	}
	s.scheduleLateCheck(j)
}

// workerIndex returns the number of a worker, and adds the worker if it has not
// registered yet.
func (s *Scheduler) workerIndex(name string) int {
	if i, ok := s.placement.Index(name); ok {
		return i
	}
	return s.addWorker(Worker{Name: name})
}

func (s *Scheduler) addWorker(w Worker) int {
	i := s.placement.Put(w.Name, w.Domain, w.Rack, w.Total)
	if i == len(s.workers) {
		s.workers = append(s.workers, worker{ramped: true})
	}
	s.workers[i].Worker = w
	return i
}

// acquire counts the resources of a job's parts as held.
func (s *Scheduler) acquire(j *job) {
	for _, p := range j.parts {
		s.placement.AddAllocated(p.Worker, j.Shape, p.Tasks)
		s.workers[p.Worker].gangs = append(s.workers[p.Worker].gangs, j)
		if j.kind == _nonPreemptible {
			s.guarantees.AddNonPreemptible(p.Worker, j.Shape, p.Tasks)
		}
	}
	s.accountUsage[j.Account] = s.accountUsage[j.Account].Add(j.Shape.Times(j.Tasks))
}

// release frees a job's parts, for which assigned jobs may wait.
func (s *Scheduler) release(j *job) {
	for _, p := range j.parts {
		s.placement.AddAllocated(p.Worker, j.Shape, -p.Tasks)
		w := &s.workers[p.Worker]
		if k := slices.Index(w.gangs, j); k >= 0 {
			w.gangs = slices.Delete(w.gangs, k, k+1)
		}
		if j.kind == _nonPreemptible {
			s.guarantees.AddNonPreemptible(p.Worker, j.Shape, -p.Tasks)
		}
	}
	if j.grant != nil {
		s.guarantees.Release(j.grant)
	}
	s.accountUsage[j.Account] = s.accountUsage[j.Account].Sub(j.Shape.Times(j.Tasks))
	for _, w := range j.waiters {
		w.pendingStops--
	}
	j.waiters, j.grant, j.parts, j.kind = nil, nil, nil, 0
	j.preemptedAt, j.killed = time.Time{}, false
	j.stage = _idle
	s.capacityVersion++
}

func (s *Scheduler) jobEnded(id string) {
	j, ok := s.jobs[id]
	if !ok {
		return
	}
	s.queue.Remove(id)
	s.quarantine.ForgetJob(id)
	j.ended = true
	if s.reservation != nil && s.reservation.job == j {
		s.dropReservation()
	}
	switch j.stage {
	case _placed, _running:
		return // members hold resources until GangEnded
	case _assigned:
		s.unassign(j)
	case _idle, _waiting:
	}
	delete(s.jobs, id)
}

func (s *Scheduler) gangStarted(ev GangStarted) {
	j, ok := s.jobs[ev.Job]
	if ok && j.attempt == ev.Attempt && j.stage == _placed {
		j.stage = _running
		j.started = s.now
	}
}

func (s *Scheduler) gangEnded(ev GangEnded) {
	j, ok := s.jobs[ev.Job]
	if !ok || j.attempt != ev.Attempt || j.stage < _placed {
		return
	}
	if ev.OK {
		s.gangSucceeded(j)
	}
	if !ev.OK && ev.Blamed != "" && j.preemptedAt.IsZero() {
		s.gangFailed(j, ev.Blamed)
	}
	s.release(j)
	if j.compacted {
		j.compacted = false
		s.guarantees.RetryNow()
	}
	switch {
	case j.ended:
		delete(s.jobs, j.ID)
	case j.requeue && !j.rejected:
		s.enqueue(j)
	}
}

func (s *Scheduler) gangSucceeded(j *job) {
	if j.stage == _running {
		s.estimator.Observe(s.now, j.Class, j.Account, s.now.Sub(j.started))
	}
	for _, p := range j.parts {
		s.quarantine.RecordSuccess(s.workers[p.Worker].Name)
		delete(s.probing, p.Worker)
		s.updateUsable(p.Worker)
	}
}

func (s *Scheduler) gangFailed(j *job, name string) {
	if s.opts.NoQuarantine {
		return
	}
	reason, end := s.quarantine.RecordFailure(s.now, j.ID, name)
	if i, ok := s.placement.Index(name); ok {
		delete(s.probing, i)
		s.updateUsable(i)
		j.avoidWorker(i, s.now.Add(_avoidAfterFailure))
	}
	if end {
		j.rejected = true
		s.pendingRejects = append(s.pendingRejects, Reject{Job: j.ID, Reason: reason})
	}
}

func (s *Scheduler) placementRefused(ev PlacementRefused) {
	j, ok := s.jobs[ev.Job]
	if !ok || j.attempt != ev.Attempt || j.stage < _placed {
		return
	}
	if i, ok := s.placement.Index(ev.Worker); ok {
		j.avoidWorker(i, s.now.Add(_avoidAfterRefusal))
		delete(s.probing, i)
		s.updateUsable(i)
	}
	s.release(j)
	if j.ended {
		delete(s.jobs, j.ID)
		return
	}
	s.enqueue(j)
}

func (s *Scheduler) workerSeen(w Worker) {
	i := s.workerIndex(w.Name)
	old := s.workers[i].Worker
	s.workers[i].present = true
	delete(s.lostSince, i)
	if old.Domain != w.Domain || old.Rack != w.Rack || old.Total != w.Total || !s.placement.Worker(i).Known {
		s.placement.Put(w.Name, w.Domain, w.Rack, w.Total)
		s.guarantees.WorkerChanged(i)
		s.capacityVersion++
		s.resetInfeasible()
		s.joinDomain(i, old.Domain, w.Domain)
	}
	s.workers[i].Worker = w
	s.updateForeign(i)
	s.updateUsable(i)
}

func (s *Scheduler) workerLost(name string) {
	i, ok := s.placement.Index(name)
	if !ok {
		return
	}
	s.workers[i].present = false
	s.lostSince[i] = s.now
	s.setExcess(i, berylshape.Shape{})
	s.workers[i].lastExcess = berylshape.Shape{}
	s.workers[i].Gangs = nil
	s.updateForeign(i)
	s.updateUsable(i)
}

// updateUsable recomputes whether work may be placed on a worker.
func (s *Scheduler) updateUsable(i int) {
	w := &s.workers[i]
	ok := w.present && !w.Draining && w.ramped && !s.cfg.Domains[w.Domain].Out
	if s.quarantine.Quarantined(w.Name) && !s.probing[i] {
		ok = false
	}
	if s.placement.Worker(i).Usable == ok {
		return
	}
	s.placement.SetUsable(i, ok)
	s.guarantees.WorkerChanged(i)
	s.capacityVersion++
}

// updateForeign counts the usage of gangs that an agent reports and the scheduler
// does not know, such as those of a previous leader.
func (s *Scheduler) updateForeign(i int) {
	w := &s.workers[i]
	sum := berylshape.Shape{}
	for _, g := range w.Gangs {
		if g.Phase > berylmessage.GangRunning {
			continue
		}
		j, ok := s.jobs[g.Job]
		if !ok || j.stage < _assigned || j.attempt != g.Attempt {
			sum = sum.Add(g.Shape.Times(g.Tasks))
		}
	}
	if sum == w.foreign {
		return
	}
	s.addUnmanagedUsage(i, sum.Sub(w.foreign))
	w.foreign = sum
}

// addUnmanagedUsage counts usage that belongs to no known gang.
func (s *Scheduler) addUnmanagedUsage(i int, delta berylshape.Shape) {
	s.placement.AddAllocated(i, delta, 1)
	s.guarantees.AddNonPreemptible(i, delta, 1)
	s.capacityVersion++
}

// usageReported counts usage above the reserved amount. A report is delayed and
// may include a gang that has ended, so only the excess that two consecutive
// reports show is counted. Usage below the reserved amount changes nothing, as
// the gang may use the rest at any time.
func (s *Scheduler) usageReported(ev UsageReported) {
	i, ok := s.placement.Index(ev.Worker)
	if !ok {
		return
	}
	w := &s.workers[i]
	reserved := s.placement.Worker(i).Allocated.Sub(w.excess)
	excess := ev.Used.Sub(reserved)
	excess = berylshape.Shape{
		Accelerators: max(excess.Accelerators, 0),
		Cores:        max(excess.Cores, 0),
		Memory:       max(excess.Memory, 0),
	}
	s.setExcess(i, berylshape.Shape{
		Accelerators: min(excess.Accelerators, w.lastExcess.Accelerators),
		Cores:        min(excess.Cores, w.lastExcess.Cores),
		Memory:       min(excess.Memory, w.lastExcess.Memory),
	})
	w.lastExcess = excess
}

func (s *Scheduler) setExcess(i int, e berylshape.Shape) {
	w := &s.workers[i]
	if e == w.excess {
		return
	}
	s.addUnmanagedUsage(i, e.Sub(w.excess))
	w.excess = e
}
