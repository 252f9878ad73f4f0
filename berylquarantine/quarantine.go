// Package berylquarantine distinguishes faulty workers from faulty jobs.
//
// A failure of a job on a worker counts against both. A worker is quarantined when
// several jobs have failed on it and each of them has failed elsewhere, if at all, only
// on workers on which several other jobs failed too. A job is ended when it has failed on
// several workers on which no other job fails. Very many failures lead to a quarantine
// or an end without this comparison. The failures that led to a worker's quarantine no
// longer count against the jobs, and those that led to a job's end no longer count
// against the workers. A quarantined worker is probed with one small gang at a time.
package berylquarantine

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// MinJobs is the number of different jobs that have to fail on a worker before it
	// is quarantined.
	MinJobs = 3
	// MinWorkers is the number of different healthy workers on which a job has to
	// fail before it is ended.
	MinWorkers = 3
	// A worker on which _maxJobs jobs failed is quarantined, and a job that failed on
	// _maxWorkers workers is ended, without further evidence. This resolves the case in
	// which faulty jobs run on faulty workers so often that no failure can be attributed.
	_maxJobs    = 8
	_maxWorkers = 8
	// _failureWindow is how long a failure counts.
	_failureWindow = time.Hour
	// _minProbeInterval and _maxProbeInterval bound the time between probes, which
	// doubles after each failed probe.
	_minProbeInterval = time.Minute
	_maxProbeInterval = time.Hour
	// _probeTimeout is the time after which a probe without a result is repeated.
	_probeTimeout = 10 * time.Minute
)

// Quarantine holds the recent failures and the quarantined workers. The zero value is
// empty.
type Quarantine struct {
	// jobsByWorker and workersByJob hold the times of the same failures, indexed by
	// worker and job, and by job and worker.
	jobsByWorker map[string]map[string]time.Time
	workersByJob map[string]map[string]time.Time
	// quarantined has the probe state of each quarantined worker.
	quarantined map[string]*probe
}

// probe is the schedule of the probes of one worker.
type probe struct {
	next     time.Time
	interval time.Duration
}

func (q *Quarantine) init() {
	if q.jobsByWorker == nil {
		q.jobsByWorker = map[string]map[string]time.Time{}
		q.workersByJob = map[string]map[string]time.Time{}
		q.quarantined = map[string]*probe{}
	}
}

// RecordFailure records a failure of a job on a worker. If tasks failed on several
// workers, the caller reports only the worker of the first failure. It returns the
// reason and true if the job has to be ended.
func (q *Quarantine) RecordFailure(now time.Time, job, worker string) (string, bool) {
	q.init()
	if p, ok := q.quarantined[worker]; ok {
		p.interval = min(p.interval*2, _maxProbeInterval)
		p.next = now.Add(p.interval)
		return "", false
	}
	addPair(q.jobsByWorker, worker, job, now)
	addPair(q.workersByJob, job, worker, now)
	q.expire(now, job, worker)
	if q.quarantineIfFaulty(now, worker) {
		return "", false
	}
	return q.endIfFaulty(job)
}

func addPair(m map[string]map[string]time.Time, a, b string, now time.Time) {
	if m[a] == nil {
		m[a] = map[string]time.Time{}
	}
	m[a][b] = now
}

func (q *Quarantine) remove(job, worker string) {
	removePair(q.jobsByWorker, worker, job)
	removePair(q.workersByJob, job, worker)
}

func removePair(m map[string]map[string]time.Time, a, b string) {
	delete(m[a], b)
	if len(m[a]) == 0 {
		delete(m, a)
	}
}

// expire deletes the failures of a job and of a worker that are older than the window.
func (q *Quarantine) expire(now time.Time, job, worker string) {
	for w, at := range q.workersByJob[job] {
		if now.Sub(at) > _failureWindow {
			q.remove(job, w)
		}
	}
	for j, at := range q.jobsByWorker[worker] {
		if now.Sub(at) > _failureWindow {
			q.remove(j, worker)
		}
	}
}

// quarantineIfFaulty quarantines a worker, and returns true, if enough jobs have failed
// on it whose failures elsewhere, if any, are on workers where at least two other
// jobs failed. It is checked before the job: if the failures can be attributed to
// either, the worker is quarantined, because a probe corrects a wrong quarantine and
// an ended job stays ended.
func (q *Quarantine) quarantineIfFaulty(now time.Time, worker string) bool {
	n := 0
	for j := range q.jobsByWorker[worker] {
		if q.explainedByWorkers(j, worker) {
			n++
		}
	}
	if n < MinJobs && len(q.jobsByWorker[worker]) < _maxJobs {
		return false
	}
	jobs := slices.Sorted(maps.Keys(q.jobsByWorker[worker]))
	for _, j := range jobs {
		q.remove(j, worker)
	}
	q.quarantined[worker] = &probe{next: now.Add(_minProbeInterval), interval: _minProbeInterval}
	return true
}

// explainedByWorkers reports whether each other worker on which a job failed has failed
// at least two further jobs, so that the worker can be the cause.
func (q *Quarantine) explainedByWorkers(job, worker string) bool {
	for w := range q.workersByJob[job] {
		if w != worker && q.otherJobs(w, job) < 2 {
			return false
		}
	}
	return true
}

// otherJobs returns the number of other jobs that have failed on a worker since the last
// success there.
func (q *Quarantine) otherJobs(worker, job string) int {
	n := len(q.jobsByWorker[worker])
	if _, ok := q.jobsByWorker[worker][job]; ok {
		n--
	}
	return n
}

// endIfFaulty returns the reason to end a job, and true, if it has failed on enough
// workers on which no other job failed.
func (q *Quarantine) endIfFaulty(job string) (string, bool) {
	n := 0
	for w := range q.workersByJob[job] {
		if q.otherJobs(w, job) == 0 {
			n++
		}
	}
	if n < MinWorkers && len(q.workersByJob[job]) < _maxWorkers {
		return "", false
	}
	workers := slices.Sorted(maps.Keys(q.workersByJob[job]))
	for _, w := range workers {
		q.remove(job, w)
	}
	return fmt.Sprintf("the job failed on %d workers that run other jobs: %s",
		len(workers), strings.Join(workers, ", ")), true
}

// RecordSuccess records that a gang succeeded on a worker, which ends the worker's
// quarantine. Its earlier failures no longer count against the worker, but still count
// against the jobs.
func (q *Quarantine) RecordSuccess(worker string) {
	delete(q.jobsByWorker, worker)
	delete(q.quarantined, worker)
}

// ForgetJob deletes a job that has ended. Its failures still count against workers,
// because most jobs that fail on a faulty worker then succeed on another one.
func (q *Quarantine) ForgetJob(job string) { delete(q.workersByJob, job) }

// Quarantined reports whether a worker is quarantined.
func (q *Quarantine) Quarantined(worker string) bool {
	_, ok := q.quarantined[worker]
	return ok
}

// Workers returns the quarantined workers, sorted.
func (q *Quarantine) Workers() []string { return slices.Sorted(maps.Keys(q.quarantined)) }

// StartDueProbes returns the workers for which a probe is due, sorted, and schedules
// their next one after the probe timeout. Each may run one small gang until the probe
// ends or times out.
func (q *Quarantine) StartDueProbes(now time.Time) []string {
	var out []string
	for _, w := range q.Workers() {
		p := q.quarantined[w]
		if now.Before(p.next) {
			continue
		}
		p.next = now.Add(_probeTimeout)
		out = append(out, w)
	}
	return out
}
