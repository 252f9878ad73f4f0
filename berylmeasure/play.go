package berylmeasure

import (
	"sort"
	"time"

	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylscheduler"
	"berylglade/berylworkload"
)

func (r *Run) handle(ev event) {
	switch ev := ev.(type) {
	case jobArrival:
		r.addJob(ev.arrival)
	case jobCancellation:
		r.cancelJob(ev.job)
	case faultStart:
		r.startFault(ev.fault)
	case gangStart:
		r.startGang(ev)
	case gangCompletion:
		r.completeGang(ev)
	case gangFailure:
		r.failGang(ev)
	case gangStopped:
		r.finishStop(ev)
	case workersTimeout:
		r.reportLost(ev.workers)
	case workersReturn:
		r.returnWorkers(ev.workers)
	case graceEnd:
		r.loseDomain(ev.domain)
	case workerRepair:
		r.workers[ev.worker].failing = false
	case tick:
		if r.unfinished() {
			r.schedule(r.now.Add(_tickInterval), tick{})
		}
	}
}

// unfinished reports whether the workload's span has not passed or a job has not
// ended.
func (r *Run) unfinished() bool {
	return r.now.Before(r.workload.End) || r.result.ended < len(r.workload.Jobs)
}

func (r *Run) addJob(a *berylworkload.Arrival) {
	j := &simJob{
		arrival: a, phase: waiting, remaining: a.Run,
		state: beryljob.State{Job: a.Job, Phase: beryljob.Queued},
	}
	r.jobs[a.Job.ID] = j
	r.demand += j.accelerators()
	r.policy.Handle(r.now, berylscheduler.JobQueued{State: j.state})
	if a.Cancel > 0 {
		r.schedule(r.now.Add(a.Cancel), jobCancellation{job: j})
	}
}

// accelerators returns the number of accelerators that the job needs, or zero if
// it can never succeed.
func (j *simJob) accelerators() int {
	if j.arrival.AlwaysFails || j.state.Shape.Accelerators > 8 {
		return 0
	}
	return j.state.Tasks * j.state.Shape.Accelerators
}

func (r *Run) cancelJob(j *simJob) {
	switch j.phase {
	case waiting:
		r.endJob(j, beryljob.Cancelled)
	case starting, running:
		r.beginStop(j, gangStopped{cancel: true}, _stopDelay)
	case stopping, ended:
	}
}

// beginStop begins to stop a gang. Its resources are released after the delay.
func (r *Run) beginStop(j *simJob, ev gangStopped, delay time.Duration) {
	j.phase = stopping
	j.version++
	ev.job = j
	ev.version = j.version
	r.schedule(r.now.Add(delay), ev)
}

func (r *Run) placeGang(a berylscheduler.Place) {
	j := r.jobs[a.Job]
	if j == nil || j.phase != waiting {
		r.result.Violations.Double++
		return
	}
	if worker := r.lostMember(a.Members); worker != "" {
		r.policy.Handle(r.now, berylscheduler.PlacementRefused{Job: a.Job, Attempt: a.Attempt, Worker: worker})
		return
	}
	j.phase = starting
	j.version++
	j.attempt = a.Attempt
	j.members = a.Members
	j.state.Attempt = a.Attempt
	j.since = r.now
	r.checkPlacement(j)
	r.allocate(j, 1)
	r.schedule(r.now.Add(_startDelay), gangStart{job: j, version: j.version})
}

func (r *Run) lostMember(members []beryljob.Member) string {
	for _, m := range members {
		if w := r.workers[m.Agent]; w == nil || w.lost {
			return m.Agent
		}
	}
	return ""
}

// checkPlacement counts the invariants that a placement violates.
func (r *Run) checkPlacement(j *simJob) {
	tasks := 0
	for _, m := range j.members {
		tasks += m.Tasks
		domain := r.workers[m.Agent].worker.Domain
		if since, out := r.outSince[domain]; out && r.now.Sub(since) > _outBound {
			r.result.Violations.Out++
		}
	}
	if tasks != j.state.Tasks {
		r.result.Violations.Partial++
	}
	if !r.adjacent(j) {
		r.result.Violations.Adjacency++
	}
}

// allocate allocates the gang's resources on its workers if sign is 1, and
// releases them if it is -1.
func (r *Run) allocate(j *simJob, sign int) {
	for _, m := range j.members {
		w := r.workers[m.Agent]
		if !w.lost {
			r.free.remove(w.worker.Total.Accelerators - w.accelerators)
		}
		n := sign * m.Tasks
		w.accelerators += n * j.state.Shape.Accelerators
		r.inUse += n * j.state.Shape.Accelerators
		w.cores += n * j.state.Shape.Cores
		w.memory += int64(n) * int64(j.state.Shape.Memory)
		if !w.lost {
			r.free.add(w.worker.Total.Accelerators - w.accelerators)
		}
		w.jobs[j] += n
		if w.jobs[j] == 0 {
			delete(w.jobs, j)
		}
		over := w.accelerators > w.worker.Total.Accelerators || w.cores > w.worker.Total.Cores ||
			w.memory > int64(w.worker.Total.Memory)
		if over && sign > 0 {
			r.result.Violations.Capacity++
		}
	}
}

func (r *Run) startGang(ev gangStart) {
	j := ev.job
	if j.version != ev.version {
		return
	}
	j.phase = running
	j.starts++
	j.since = r.now
	if j.started.IsZero() {
		j.started = r.now
	}
	r.policy.Handle(r.now, berylscheduler.GangStarted{Job: j.state.ID, Attempt: j.attempt})
	if blamed := r.failingMember(j); blamed != "" {
		r.schedule(r.now.Add(_failDelay), gangFailure{job: j, version: j.version, blamed: blamed})
		return
	}
	r.schedule(r.now.Add(j.remaining), gangCompletion{job: j, version: j.version})
}

// failingMember returns the worker on which the gang will fail, or an empty name.
func (r *Run) failingMember(j *simJob) string {
	if j.arrival.AlwaysFails {
		return j.members[0].Agent
	}
	for _, m := range j.members {
		if r.workers[m.Agent].failing {
			return m.Agent
		}
	}
	return ""
}

func (r *Run) completeGang(ev gangCompletion) {
	j := ev.job
	if j.version != ev.version {
		return
	}
	j.remaining = 0
	r.release(j, true)
	r.policy.Handle(r.now, berylscheduler.GangEnded{Job: j.state.ID, Attempt: j.attempt, OK: true})
	r.endJob(j, beryljob.Done)
}

func (r *Run) failGang(ev gangFailure) {
	if ev.job.version == ev.version {
		r.beginStop(ev.job, gangStopped{blamed: ev.blamed}, _stopDelay)
	}
}

// release releases the gang's resources and records the segment that ends now.
func (r *Run) release(j *simJob, useful bool) {
	r.allocate(j, -1)
	j.segments = append(j.segments, segment{
		from: j.since, to: r.now, n: j.state.Tasks * j.state.Shape.Accelerators, useful: useful,
	})
	j.members = nil
}

func (r *Run) preemptGang(a berylscheduler.Preempt) {
	j := r.jobs[a.Job]
	if j == nil || j.attempt != a.Attempt || (j.phase != running && j.phase != starting) {
		return
	}
	r.result.Preemptions++
	class := r.cfg.Classes[j.state.Class]
	if !class.Checkpoint || !a.Checkpoint || j.phase == starting {
		r.beginStop(j, gangStopped{}, _stopDelay)
		return
	}
	j.remaining -= r.now.Sub(j.since)
	r.beginStop(j, gangStopped{useful: true}, class.Stop.Std())
}

func (r *Run) finishStop(ev gangStopped) {
	j := ev.job
	if j.version != ev.version {
		return
	}
	r.release(j, ev.useful)
	r.policy.Handle(r.now, berylscheduler.GangEnded{Job: j.state.ID, Attempt: j.attempt, Blamed: ev.blamed})
	class := r.cfg.Classes[j.state.Class]
	switch {
	case ev.cancel:
		r.endJob(j, beryljob.Cancelled)
	case !class.Idempotent && !class.Checkpoint && j.starts > 0:
		r.endJob(j, beryljob.Failed)
	default:
		j.phase = waiting
		if ev.blamed != "" {
			j.state.Blamed = append(j.state.Blamed, ev.blamed)
		}
		r.policy.Handle(r.now, berylscheduler.JobQueued{State: j.state})
	}
}

func (r *Run) endJob(j *simJob, phase beryljob.Phase) {
	j.phase = ended
	j.version++
	j.finished = r.now
	j.finalPhase = phase
	r.result.ended++
	r.demand -= j.accelerators()
	r.policy.Handle(r.now, berylscheduler.JobEnded{Job: j.state.ID, Phase: phase})
}

func (r *Run) startFault(f berylworkload.Fault) {
	switch f := f.(type) {
	case berylworkload.DomainOut:
		r.outSince[f.Domain] = r.now
		r.setDomain(f.Domain, berylconfig.FailureDomain{Out: true, Grace: configDuration(f.Grace)})
		r.schedule(r.now.Add(f.Grace), graceEnd{domain: f.Domain})
		r.capacity -= r.domainAccelerators(f.Domain)
		r.result.recordOut(r.now)
	case berylworkload.DomainBack:
		delete(r.outSince, f.Domain)
		r.setDomain(f.Domain, berylconfig.FailureDomain{})
		r.capacity += r.domainAccelerators(f.Domain)
		r.returnWorkers(r.domainWorkers(f.Domain))
		r.result.recordBack(r.now)
	case berylworkload.WorkerFails:
		r.workers[f.Worker].failing = true
		r.schedule(f.Until, workerRepair{worker: f.Worker})
	case berylworkload.WorkersLost:
		r.loseWorkers(f.Workers)
		r.schedule(f.Until, workersReturn{workers: f.Workers})
	}
}

func (r *Run) setDomain(name string, d berylconfig.FailureDomain) {
	cfg := r.cfg.Clone()
	cfg.Offset++
	cfg.Domains[name] = d
	r.cfg = cfg
	r.policy.Handle(r.now, berylscheduler.ConfigChanged{Config: cfg})
}

func (r *Run) loseDomain(domain string) { r.loseWorkers(r.domainWorkers(domain)) }

// loseWorkers makes workers unavailable. The policy gets the loss after _lostDelay.
// Gangs with a task on these workers stop as a whole after a further _stopDelay.
func (r *Run) loseWorkers(workers []string) {
	hit := map[*simJob]bool{}
	for _, name := range workers {
		w := r.workers[name]
		if w.lost {
			continue
		}
		w.lost = true
		r.free.remove(w.worker.Total.Accelerators - w.accelerators)
		if _, out := r.outSince[w.worker.Domain]; !out {
			r.capacity -= w.worker.Total.Accelerators
		}
		for j := range w.jobs {
			hit[j] = true
		}
	}
	r.schedule(r.now.Add(_lostDelay), workersTimeout{workers: workers})
	for _, j := range sortJobs(hit) {
		if j.phase == starting || j.phase == running {
			r.beginStop(j, gangStopped{}, _lostDelay+_stopDelay)
		}
	}
}

func sortJobs(set map[*simJob]bool) []*simJob {
	jobs := make([]*simJob, 0, len(set))
	for j := range set {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].state.ID < jobs[b].state.ID })
	return jobs
}

func (r *Run) reportLost(workers []string) {
	for _, name := range workers {
		if r.workers[name].lost {
			r.policy.Handle(r.now, berylscheduler.WorkerLost{Worker: name})
		}
	}
}

func (r *Run) returnWorkers(workers []string) {
	for _, name := range workers {
		w := r.workers[name]
		if !w.lost {
			continue
		}
		if _, out := r.outSince[w.worker.Domain]; out {
			continue
		}
		w.lost = false
		r.free.add(w.worker.Total.Accelerators - w.accelerators)
		r.capacity += w.worker.Total.Accelerators
		r.policy.Handle(r.now, berylscheduler.WorkerSeen{Worker: w.worker})
	}
}

func (r *Run) addWorker(w berylscheduler.Worker) {
	r.workers[w.Name] = &simWorker{worker: w, jobs: map[*simJob]int{}}
	r.capacity += w.Total.Accelerators
	r.free.add(w.Total.Accelerators)
	r.policy.Handle(r.now, berylscheduler.WorkerSeen{Worker: w})
}

func (r *Run) domainWorkers(domain string) []string {
	var names []string
	for i := range r.workload.Workers {
		if r.workload.Workers[i].Domain == domain {
			names = append(names, r.workload.Workers[i].Name)
		}
	}
	return names
}
