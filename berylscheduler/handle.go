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
	j := s.known(st)
	if j.rejected || j.over {
		return
	}
	switch j.step {
	case _booked:
		return
	case _placed, _running:
		// The attempt ended, but members may hold resources until GangEnded.
		j.again = j.again || st.Attempt >= j.attempt
	case _idle, _waiting:
		j.attempt = max(j.attempt, st.Attempt)
		s.enqueue(j)
	}
}

// known returns the job with its newest state.
func (s *Scheduler) known(st beryljob.State) *job {
	j, ok := s.jobs[st.ID]
	if !ok {
		j = &job{tried: -1, State: st}
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
	s.aim(j)
	return j
}

func (s *Scheduler) enqueue(j *job) {
	j.step = _waiting
	j.again = false
	j.tried = -1
	for _, name := range j.Blamed {
		if i, ok := s.place.Index(name); ok {
			j.shun(i, s.now.Add(_blamed))
		}
	}
	s.queue.Put(s.item(j))
	s.watch(j)
}

// shun keeps a job off a worker for some time.
func (j *job) shun(worker int, until time.Time) {
	if j.avoid == nil {
		j.avoid = map[int]time.Time{}
	}
	j.avoid[worker] = until
}

func (s *Scheduler) jobRestored(st beryljob.State) {
	if st.Phase != beryljob.Decided {
		return
	}
	j := s.known(st)
	if j.step >= _booked || j.over || j.rejected {
		return
	}
	s.queue.Remove(j.ID)
	j.attempt = st.Attempt
	j.parts = nil
	for _, m := range st.Members {
		j.parts = append(j.parts, berylplacement.Part{Worker: s.worker(m.Agent), Tasks: m.Tasks})
	}
	j.kind = _firm
	if s.class(j).Checkpoint {
		j.kind = _borrowed
	}
	s.acquire(j)
	s.restore = append(s.restore, j)
	j.step = _placed
	j.started = s.now
	for _, p := range j.parts {
		s.countForeign(p.Worker)
	}
	s.watch(j)
}

// worker returns the number of a worker, which may not have been seen yet.
func (s *Scheduler) worker(name string) int {
	if i, ok := s.place.Index(name); ok {
		return i
	}
	return s.putWorker(Worker{Name: name})
}

func (s *Scheduler) putWorker(w Worker) int {
	i := s.place.Put(w.Name, w.Domain, w.Rack, w.Total)
	if i == len(s.workers) {
		s.workers = append(s.workers, worker{ramped: true})
	}
	s.workers[i].Worker = w
	return i
}

// acquire counts a job's parts as used.
func (s *Scheduler) acquire(j *job) {
	for _, p := range j.parts {
		s.place.AddAllocated(p.Worker, j.Shape, p.Tasks)
		s.workers[p.Worker].gangs = append(s.workers[p.Worker].gangs, j)
		if j.kind == _firm {
			s.guarantee.AddNonPreemptible(p.Worker, j.Shape, p.Tasks)
		}
	}
	s.used[j.Account] = s.used[j.Account].Add(j.Shape.Times(j.Tasks))
}

// release gives a job's parts back and lets the jobs that wait for it go on.
func (s *Scheduler) release(j *job) {
	for _, p := range j.parts {
		s.place.AddAllocated(p.Worker, j.Shape, -p.Tasks)
		w := &s.workers[p.Worker]
		if k := slices.Index(w.gangs, j); k >= 0 {
			w.gangs = slices.Delete(w.gangs, k, k+1)
		}
		if j.kind == _firm {
			s.guarantee.AddNonPreemptible(p.Worker, j.Shape, -p.Tasks)
		}
	}
	if j.grant != nil {
		s.guarantee.Release(j.grant)
	}
	s.used[j.Account] = s.used[j.Account].Sub(j.Shape.Times(j.Tasks))
	for _, w := range j.waiters {
		w.waits--
	}
	j.waiters, j.grant, j.parts, j.kind = nil, nil, nil, 0
	j.stopped, j.killed = time.Time{}, false
	j.step = _idle
	s.grown++
}

func (s *Scheduler) jobEnded(id string) {
	j, ok := s.jobs[id]
	if !ok {
		return
	}
	s.queue.Remove(id)
	s.bad.ForgetJob(id)
	j.over = true
	if s.hold != nil && s.hold.job == j {
		s.unreserve()
	}
	switch j.step {
	case _placed, _running:
		return // members hold resources until GangEnded
	case _booked:
		s.unbook(j)
	case _idle, _waiting:
	}
	delete(s.jobs, id)
}

func (s *Scheduler) gangStarted(ev GangStarted) {
	j, ok := s.jobs[ev.Job]
	if ok && j.attempt == ev.Attempt && j.step == _placed {
		j.step = _running
		j.started = s.now
	}
}

func (s *Scheduler) gangEnded(ev GangEnded) {
	j, ok := s.jobs[ev.Job]
	if !ok || j.attempt != ev.Attempt || j.step < _placed {
		return
	}
	if ev.OK {
		s.succeeded(j)
	}
	if !ev.OK && ev.Blamed != "" && j.stopped.IsZero() {
		s.failed(j, ev.Blamed)
	}
	s.release(j)
	if j.compacted {
		j.compacted = false
		s.guarantee.RetryNow()
	}
	switch {
	case j.over:
		delete(s.jobs, j.ID)
	case j.again && !j.rejected:
		s.enqueue(j)
	}
}

func (s *Scheduler) succeeded(j *job) {
	if j.step == _running {
		s.estimator.Observe(s.now, j.Class, j.Account, s.now.Sub(j.started))
	}
	for _, p := range j.parts {
		s.bad.RecordSuccess(s.workers[p.Worker].Name)
		delete(s.probing, p.Worker)
		s.refresh(p.Worker)
	}
}

func (s *Scheduler) failed(j *job, name string) {
	if s.opts.NoQuarantine {
		return
	}
	reason, end := s.bad.RecordFailure(s.now, j.ID, name)
	if i, ok := s.place.Index(name); ok {
		delete(s.probing, i)
		s.refresh(i)
		j.shun(i, s.now.Add(_blamed))
	}
	if end {
		j.rejected = true
		s.rejects = append(s.rejects, Reject{Job: j.ID, Reason: reason})
	}
}

func (s *Scheduler) placementRefused(ev PlacementRefused) {
	j, ok := s.jobs[ev.Job]
	if !ok || j.attempt != ev.Attempt || j.step < _placed {
		return
	}
	if i, ok := s.place.Index(ev.Worker); ok {
		j.shun(i, s.now.Add(_refused))
		delete(s.probing, i)
		s.refresh(i)
	}
	s.release(j)
	if j.over {
		delete(s.jobs, j.ID)
		return
	}
	s.enqueue(j)
}

func (s *Scheduler) workerSeen(w Worker) {
	i := s.worker(w.Name)
	old := s.workers[i].Worker
	s.workers[i].seen = true
	delete(s.lost, i)
	if old.Domain != w.Domain || old.Rack != w.Rack || old.Total != w.Total || !s.place.Worker(i).Known {
		s.place.Put(w.Name, w.Domain, w.Rack, w.Total)
		s.guarantee.WorkerChanged(i)
		s.grown++
		s.refit()
		s.joinDomain(i, old.Domain, w.Domain)
	}
	s.workers[i].Worker = w
	s.countForeign(i)
	s.refresh(i)
}

func (s *Scheduler) workerLost(name string) {
	i, ok := s.place.Index(name)
	if !ok {
		return
	}
	s.workers[i].seen = false
	s.lost[i] = s.now
	s.setExcess(i, berylshape.Shape{})
	s.workers[i].last = berylshape.Shape{}
	s.workers[i].Gangs = nil
	s.countForeign(i)
	s.refresh(i)
}

// refresh recomputes whether anything may be placed on a worker.
func (s *Scheduler) refresh(i int) {
	w := &s.workers[i]
	ok := w.seen && !w.Draining && w.ramped && !s.cfg.Domains[w.Domain].Out
	if s.bad.Quarantined(w.Name) && !s.probing[i] {
		ok = false
	}
	if s.place.Worker(i).Usable == ok {
		return
	}
	s.place.SetUsable(i, ok)
	s.guarantee.WorkerChanged(i)
	s.grown++
}

// countForeign counts gangs that an agent reports and the scheduler does not
// know, such as those of a leader before this one.
func (s *Scheduler) countForeign(i int) {
	w := &s.workers[i]
	sum := berylshape.Shape{}
	for _, g := range w.Gangs {
		if g.Phase > berylmessage.GangRunning {
			continue
		}
		j, ok := s.jobs[g.Job]
		if !ok || j.step < _booked || j.attempt != g.Attempt {
			sum = sum.Add(g.Shape.Times(g.Tasks))
		}
	}
	if sum == w.foreign {
		return
	}
	s.occupy(i, sum.Sub(w.foreign))
	w.foreign = sum
}

// occupy adds usage that belongs to no gang.
func (s *Scheduler) occupy(i int, d berylshape.Shape) {
	s.place.AddAllocated(i, d, 1)
	s.guarantee.AddNonPreemptible(i, d, 1)
	s.grown++
}

// usageReported corrects what is reserved by what is used. A report lags, so it
// may still contain a gang that has ended: only what two reports in a row show
// beyond the reserved amount counts. Usage below the reserved amount changes
// nothing, as the gang may use the rest at any time.
func (s *Scheduler) usageReported(ev UsageReported) {
	i, ok := s.place.Index(ev.Worker)
	if !ok {
		return
	}
	w := &s.workers[i]
	reserved := s.place.Worker(i).Allocated.Sub(w.excess)
	over := ev.Used.Sub(reserved)
	over = berylshape.Shape{
		Accelerators: max(over.Accelerators, 0),
		Cores:        max(over.Cores, 0),
		Memory:       max(over.Memory, 0),
	}
	s.setExcess(i, berylshape.Shape{
		Accelerators: min(over.Accelerators, w.last.Accelerators),
		Cores:        min(over.Cores, w.last.Cores),
		Memory:       min(over.Memory, w.last.Memory),
	})
	w.last = over
}

func (s *Scheduler) setExcess(i int, e berylshape.Shape) {
	w := &s.workers[i]
	if e == w.excess {
		return
	}
	s.occupy(i, e.Sub(w.excess))
	w.excess = e
}
