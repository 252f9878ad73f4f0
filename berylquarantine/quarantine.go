// Package berylquarantine tells bad workers from bad jobs.
//
// A failure of a job on a worker counts against both. A worker is quarantined when
// several jobs failed there that are not known to fail elsewhere; a job is ended
// when it failed on several workers that are not known to fail others. What one of
// them is blamed for no longer counts against the other. A quarantined worker is
// probed with one small gang at a time.
package berylquarantine

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// MinJobs is the number of different jobs that have to fail on a worker.
	MinJobs = 3
	// MinWorkers is the number of different healthy workers on which a job has to
	// fail.
	MinWorkers = 3
	// _anyJobs and _anyWorkers end the case in which bad workers and bad jobs
	// meet so often that neither side has a clean witness.
	_anyJobs    = 8
	_anyWorkers = 8
	// _window is how long a failure counts.
	_window = time.Hour
	// _firstProbe and _lastProbe bound the time between probes, which doubles
	// after each failed one.
	_firstProbe = time.Minute
	_lastProbe  = time.Hour
	// _probing is how long a probe may take before the next is due.
	_probing = 10 * time.Minute
)

// Quarantine holds the failures seen. The zero value has seen none.
type Quarantine struct {
	// workers and jobs hold the same failures by either side.
	workers map[string]map[string]time.Time
	jobs    map[string]map[string]time.Time
	// bad are the quarantined workers.
	bad map[string]*probe
}

type probe struct {
	next  time.Time
	pause time.Duration
}

func (q *Quarantine) init() {
	if q.workers == nil {
		q.workers = map[string]map[string]time.Time{}
		q.jobs = map[string]map[string]time.Time{}
		q.bad = map[string]*probe{}
	}
}

// RecordFailure records that a job's first failure was on a worker. It returns the reason
// if the job is to be ended.
func (q *Quarantine) RecordFailure(now time.Time, job, worker string) (string, bool) {
	q.init()
	if p, ok := q.bad[worker]; ok {
		p.pause = min(p.pause*2, _lastProbe)
		p.next = now.Add(p.pause)
		return "", false
	}
	put(q.workers, worker, job, now)
	put(q.jobs, job, worker, now)
	q.expire(now, job, worker)
	if q.judgeWorker(now, worker) {
		return "", false
	}
	return q.judgeJob(job)
}

func put(m map[string]map[string]time.Time, a, b string, now time.Time) {
	if m[a] == nil {
		m[a] = map[string]time.Time{}
	}
	m[a][b] = now
}

func (q *Quarantine) remove(job, worker string) {
	drop(q.workers, worker, job)
	drop(q.jobs, job, worker)
}

func drop(m map[string]map[string]time.Time, a, b string) {
	delete(m[a], b)
	if len(m[a]) == 0 {
		delete(m, a)
	}
}

func (q *Quarantine) expire(now time.Time, job, worker string) {
	for w, at := range q.jobs[job] {
		if now.Sub(at) > _window {
			q.remove(job, w)
		}
	}
	for j, at := range q.workers[worker] {
		if now.Sub(at) > _window {
			q.remove(j, worker)
		}
	}
}

// judgeWorker quarantines a worker on which enough jobs failed whose other
// failures, if any, are on workers that several further jobs blame too. Where the
// evidence leaves both open the worker is blamed, because a probe corrects that
// and nothing corrects an ended job.
func (q *Quarantine) judgeWorker(now time.Time, worker string) bool {
	clean := 0
	for j := range q.workers[worker] {
		if q.excused(j, worker) {
			clean++
		}
	}
	if clean < MinJobs && len(q.workers[worker]) < _anyJobs {
		return false
	}
	jobs := slices.Sorted(maps.Keys(q.workers[worker]))
	for _, j := range jobs {
		q.remove(j, worker)
	}
	q.bad[worker] = &probe{next: now.Add(_firstProbe), pause: _firstProbe}
	return true
}

// excused reports whether a job's failures on other workers can be the workers'
// fault.
func (q *Quarantine) excused(job, worker string) bool {
	for w := range q.jobs[job] {
		if w != worker && q.others(w, job) < 2 {
			return false
		}
	}
	return true
}

// others returns the number of other jobs that failed on a worker since it last
// ran one well.
func (q *Quarantine) others(worker, job string) int {
	n := len(q.workers[worker])
	if _, ok := q.workers[worker][job]; ok {
		n--
	}
	return n
}

// judgeJob ends a job that failed on enough workers where no other job failed.
func (q *Quarantine) judgeJob(job string) (string, bool) {
	clean := 0
	for w := range q.jobs[job] {
		if q.others(w, job) == 0 {
			clean++
		}
	}
	if clean < MinWorkers && len(q.jobs[job]) < _anyWorkers {
		return "", false
	}
	workers := slices.Sorted(maps.Keys(q.jobs[job]))
	for _, w := range workers {
		q.remove(job, w)
	}
	return fmt.Sprintf("the job failed on %d workers that run other jobs: %s",
		len(workers), strings.Join(workers, ", ")), true
}

// RecordSuccess records that a gang ended well on a worker, which clears the worker.
// What failed there before stays as evidence against the jobs.
func (q *Quarantine) RecordSuccess(worker string) {
	delete(q.workers, worker)
	delete(q.bad, worker)
}

// ForgetJob drops a job that has ended. Its failures still count against workers; most
// jobs that a bad worker failed end well elsewhere.
func (q *Quarantine) ForgetJob(job string) { delete(q.jobs, job) }

// Quarantined reports whether a worker is quarantined.
func (q *Quarantine) Quarantined(worker string) bool {
	_, ok := q.bad[worker]
	return ok
}

// Workers returns the quarantined workers, sorted.
func (q *Quarantine) Workers() []string { return slices.Sorted(maps.Keys(q.bad)) }

// StartDueProbes returns the workers of which a probe is due now, sorted. Each may take
// one small gang until the probe ends or times out.
func (q *Quarantine) StartDueProbes(now time.Time) []string {
	var out []string
	for _, w := range q.Workers() {
		p := q.bad[w]
		if now.Before(p.next) {
			continue
		}
		p.next = now.Add(_probing)
		out = append(out, w)
	}
	return out
}
