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
	case arrive:
		r.arrive(ev.arrival)
	case cancel:
		r.cancel(ev.job)
	case fault:
		r.fault(ev.fault)
	case begin:
		r.begin(ev)
	case complete:
		r.complete(ev)
	case fail:
		r.fail(ev)
	case stopped:
		r.stopped(ev)
	case workersGone:
		r.workersGone(ev.workers)
	case workersBack:
		r.workersBack(ev.workers)
	case domainGone:
		r.domainGone(ev.domain)
	case heal:
		r.hosts[ev.worker].failing = false
	case tick:
		if r.unfinished() {
			r.at(r.now.Add(_tickInterval), tick{})
		}
	}
}

// unfinished reports whether a job has not ended or not arrived.
func (r *Run) unfinished() bool {
	return r.now.Before(r.w.End) || r.result.ended < len(r.w.Jobs)
}

func (r *Run) arrive(a *berylworkload.Arrival) {
	j := &jobRun{
		arrival: a, phase: waiting, left: a.Run,
		state: beryljob.State{Job: a.Job, Phase: beryljob.Queued},
	}
	r.jobs[a.Job.ID] = j
	r.demand += j.accelerators()
	r.policy.Handle(r.now, berylscheduler.JobQueued{State: j.state})
	if a.Cancel > 0 {
		r.at(r.now.Add(a.Cancel), cancel{job: j})
	}
}

// accelerators returns what the job asks for, or zero if it can never run.
func (j *jobRun) accelerators() int {
	if j.arrival.AlwaysFails || j.state.Shape.Accelerators > 8 {
		return 0
	}
	return j.state.Tasks * j.state.Shape.Accelerators
}

func (r *Run) cancel(j *jobRun) {
	switch j.phase {
	case waiting:
		r.end(j, beryljob.Cancelled)
	case starting, running:
		r.halt(j, stopped{cancel: true}, _stopDelay)
	case stopping, ended:
	}
}

// halt begins to stop a gang; its resources are free after the delay.
func (r *Run) halt(j *jobRun, ev stopped, delay time.Duration) {
	j.phase = stopping
	j.version++
	ev.job = j
	ev.version = j.version
	r.at(r.now.Add(delay), ev)
}

func (r *Run) place(a berylscheduler.Place) {
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
	r.occupy(j, 1)
	r.at(r.now.Add(_startDelay), begin{job: j, version: j.version})
}

func (r *Run) lostMember(members []beryljob.Member) string {
	for _, m := range members {
		if h := r.hosts[m.Agent]; h == nil || h.lost {
			return m.Agent
		}
	}
	return ""
}

// checkPlacement counts violations of the invariants by a placement.
func (r *Run) checkPlacement(j *jobRun) {
	tasks := 0
	for _, m := range j.members {
		tasks += m.Tasks
		domain := r.hosts[m.Agent].worker.Domain
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

// occupy adds the gang to its workers, or removes it with a sign of minus one.
func (r *Run) occupy(j *jobRun, sign int) {
	for _, m := range j.members {
		h := r.hosts[m.Agent]
		if !h.lost {
			r.free.remove(h.worker.Total.Accelerators - h.used)
		}
		n := sign * m.Tasks
		h.used += n * j.state.Shape.Accelerators
		r.inUse += n * j.state.Shape.Accelerators
		h.cores += n * j.state.Shape.Cores
		h.memory += int64(n) * int64(j.state.Shape.Memory)
		if !h.lost {
			r.free.add(h.worker.Total.Accelerators - h.used)
		}
		h.jobs[j] += n
		if h.jobs[j] == 0 {
			delete(h.jobs, j)
		}
		over := h.used > h.worker.Total.Accelerators || h.cores > h.worker.Total.Cores ||
			h.memory > int64(h.worker.Total.Memory)
		if over && sign > 0 {
			r.result.Violations.Capacity++
		}
	}
}

func (r *Run) begin(ev begin) {
	j := ev.job
	if j.version != ev.version {
		return
	}
	j.phase = running
	j.runs++
	j.since = r.now
	if j.started.IsZero() {
		j.started = r.now
	}
	r.policy.Handle(r.now, berylscheduler.GangStarted{Job: j.state.ID, Attempt: j.attempt})
	if blamed := r.failingMember(j); blamed != "" {
		r.at(r.now.Add(_failDelay), fail{job: j, version: j.version, blamed: blamed})
		return
	}
	r.at(r.now.Add(j.left), complete{job: j, version: j.version})
}

// failingMember returns the worker on which the gang will fail.
func (r *Run) failingMember(j *jobRun) string {
	if j.arrival.AlwaysFails {
		return j.members[0].Agent
	}
	for _, m := range j.members {
		if r.hosts[m.Agent].failing {
			return m.Agent
		}
	}
	return ""
}

func (r *Run) complete(ev complete) {
	j := ev.job
	if j.version != ev.version {
		return
	}
	j.left = 0
	r.release(j, true)
	r.policy.Handle(r.now, berylscheduler.GangEnded{Job: j.state.ID, Attempt: j.attempt, OK: true})
	r.end(j, beryljob.Done)
}

func (r *Run) fail(ev fail) {
	if ev.job.version == ev.version {
		r.halt(ev.job, stopped{blamed: ev.blamed}, _stopDelay)
	}
}

// release frees the resources and records the segment.
func (r *Run) release(j *jobRun, useful bool) {
	r.occupy(j, -1)
	j.segments = append(j.segments, segment{
		from: j.since, to: r.now, n: j.state.Tasks * j.state.Shape.Accelerators, useful: useful,
	})
	j.members = nil
}

func (r *Run) preempt(a berylscheduler.Preempt) {
	j := r.jobs[a.Job]
	if j == nil || j.attempt != a.Attempt || (j.phase != running && j.phase != starting) {
		return
	}
	r.result.Preemptions++
	class := r.cfg.Classes[j.state.Class]
	if !class.Checkpoint || !a.Checkpoint || j.phase == starting {
		r.halt(j, stopped{}, _stopDelay)
		return
	}
	j.left -= r.now.Sub(j.since)
	r.halt(j, stopped{useful: true}, class.Stop.Std())
}

func (r *Run) stopped(ev stopped) {
	j := ev.job
	if j.version != ev.version {
		return
	}
	r.release(j, ev.useful)
	r.policy.Handle(r.now, berylscheduler.GangEnded{Job: j.state.ID, Attempt: j.attempt, Blamed: ev.blamed})
	class := r.cfg.Classes[j.state.Class]
	switch {
	case ev.cancel:
		r.end(j, beryljob.Cancelled)
	case !class.Idempotent && !class.Checkpoint && j.runs > 0:
		r.end(j, beryljob.Failed)
	default:
		j.phase = waiting
		if ev.blamed != "" {
			j.state.Blamed = append(j.state.Blamed, ev.blamed)
		}
		r.policy.Handle(r.now, berylscheduler.JobQueued{State: j.state})
	}
}

func (r *Run) end(j *jobRun, phase beryljob.Phase) {
	j.phase = ended
	j.version++
	j.finished = r.now
	j.final = phase
	r.result.ended++
	r.demand -= j.accelerators()
	r.policy.Handle(r.now, berylscheduler.JobEnded{Job: j.state.ID, Phase: phase})
}

func (r *Run) fault(f berylworkload.Fault) {
	switch f := f.(type) {
	case berylworkload.DomainOut:
		r.outSince[f.Domain] = r.now
		r.setDomain(f.Domain, berylconfig.FailureDomain{Out: true, Grace: seconds(f.Grace)})
		r.at(r.now.Add(f.Grace), domainGone{domain: f.Domain})
		r.capacity -= r.domainAccelerators(f.Domain)
		r.result.departs(r.now)
	case berylworkload.DomainBack:
		delete(r.outSince, f.Domain)
		r.setDomain(f.Domain, berylconfig.FailureDomain{})
		r.capacity += r.domainAccelerators(f.Domain)
		r.workersBack(r.domainWorkers(f.Domain))
		r.result.returns(r.now)
	case berylworkload.WorkerFails:
		r.hosts[f.Worker].failing = true
		r.at(f.Until, heal{worker: f.Worker})
	case berylworkload.WorkersLost:
		r.lose(f.Workers)
		r.at(f.Until, workersBack{workers: f.Workers})
	}
}

func (r *Run) setDomain(name string, d berylconfig.FailureDomain) {
	cfg := r.cfg.Clone()
	cfg.Offset++
	cfg.Domains[name] = d
	r.cfg = cfg
	r.policy.Handle(r.now, berylscheduler.ConfigChanged{Config: cfg})
}

func (r *Run) domainGone(domain string) { r.lose(r.domainWorkers(domain)) }

// lose takes workers away; the policy is told when they count as dead, and the
// gangs on them end as a whole a little later.
func (r *Run) lose(workers []string) {
	hit := map[*jobRun]bool{}
	for _, name := range workers {
		h := r.hosts[name]
		if h.lost {
			continue
		}
		h.lost = true
		r.free.remove(h.worker.Total.Accelerators - h.used)
		if _, out := r.outSince[h.worker.Domain]; !out {
			r.capacity -= h.worker.Total.Accelerators
		}
		for j := range h.jobs {
			hit[j] = true
		}
	}
	r.at(r.now.Add(_lostDelay), workersGone{workers: workers})
	for _, j := range sortJobs(hit) {
		if j.phase == starting || j.phase == running {
			r.halt(j, stopped{}, _lostDelay+_stopDelay)
		}
	}
}

func sortJobs(set map[*jobRun]bool) []*jobRun {
	jobs := make([]*jobRun, 0, len(set))
	for j := range set {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].state.ID < jobs[b].state.ID })
	return jobs
}

func (r *Run) workersGone(workers []string) {
	for _, name := range workers {
		if r.hosts[name].lost {
			r.policy.Handle(r.now, berylscheduler.WorkerLost{Worker: name})
		}
	}
}

func (r *Run) workersBack(workers []string) {
	for _, name := range workers {
		h := r.hosts[name]
		if !h.lost {
			continue
		}
		if _, out := r.outSince[h.worker.Domain]; out {
			continue
		}
		h.lost = false
		r.free.add(h.worker.Total.Accelerators - h.used)
		r.capacity += h.worker.Total.Accelerators
		r.policy.Handle(r.now, berylscheduler.WorkerSeen{Worker: h.worker})
	}
}

func (r *Run) addWorker(w berylscheduler.Worker) {
	r.hosts[w.Name] = &host{worker: w, jobs: map[*jobRun]int{}}
	r.capacity += w.Total.Accelerators
	r.free.add(w.Total.Accelerators)
	r.policy.Handle(r.now, berylscheduler.WorkerSeen{Worker: w})
}

func (r *Run) domainWorkers(domain string) []string {
	var names []string
	for i := range r.w.Workers {
		if r.w.Workers[i].Domain == domain {
			names = append(names, r.w.Workers[i].Name)
		}
	}
	return names
}
