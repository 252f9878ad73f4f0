package berylmeasure

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/beryljob"
)

// Result is the result of one run.
type Result struct {
	Workload string `json:"workload"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Classes are in order of name.
	Classes []ClassResult `json:"classes"`
	// Fragmentation is the share of the free accelerators that the largest
	// guaranteed shape can't use. It is the mean over the time in which there
	// are free accelerators.
	Fragmentation float64 `json:"fragmentation"`
	Outage        Outage  `json:"departure"`
	Preemptions   int     `json:"preemptions"`
	// LostWork is the work whose progress was lost, in accelerator seconds.
	LostWork   float64    `json:"lostwork"`
	Violations Violations `json:"violations"`
	Decisions  Decisions  `json:"decisions"`
	// Trace contains capacity, demand and use over time.
	Trace []Point `json:"-"`
	// Missed contains the ids of the jobs that missed their target.
	Missed map[string]bool `json:"-"`

	ended         int
	decisions     *hdrhistogram.Histogram
	fragTime      float64
	fragSum       float64
	outAt, backAt time.Time
}

// ClassResult is the result of one class. Times are in seconds.
type ClassResult struct {
	Class     string `json:"class"`
	Jobs      int    `json:"jobs"`
	Done      int    `json:"done"`
	Failed    int    `json:"failed"`
	Cancelled int    `json:"cancelled"`
	// Open is the number of jobs that had not ended at the end of the run.
	Open int `json:"open"`
	// Missed is the number of jobs that did not meet their target.
	Missed int `json:"missed"`
	// Avoidable is the number of missed jobs that met their target when their
	// class ran alone.
	Avoidable int     `json:"avoidable"`
	Mean      float64 `json:"mean"`
	P50       float64 `json:"p50"`
	P95       float64 `json:"p95"`
	// StartP99 is the 99th percentile of the time from acceptance to the first
	// start.
	StartP99 float64 `json:"startp99"`
}

// Outage is the work done from the time at which the first failure domain is taken
// out until half an hour after the first one is back, in accelerator seconds.
type Outage struct {
	Work float64 `json:"work"`
	// Possible is the integral of the smaller of demand and remaining capacity.
	Possible float64 `json:"possible"`
	// Share is Work divided by Possible.
	Share float64 `json:"share"`
}

// Violations counts violations of the invariants.
type Violations struct {
	// Capacity counts allocations above the capacity of a worker.
	Capacity int `json:"capacity"`
	// Partial counts placements with another number of tasks than the job has.
	Partial int `json:"partial"`
	// Adjacency counts placements that are less close together than required.
	Adjacency int `json:"adjacency"`
	// Out counts members placed in a failure domain that is out.
	Out int `json:"out"`
	// Guarantee counts checks at which the guarantees could not be reclaimed.
	Guarantee int `json:"guarantee"`
	// Double counts placements of jobs that are not waiting.
	Double int `json:"double"`
	// Lost counts jobs of the workload that did not arrive during the run.
	Lost int `json:"lost"`
}

// Sum returns the total number of violations.
func (v Violations) Sum() int {
	return v.Capacity + v.Partial + v.Adjacency + v.Out + v.Guarantee + v.Double + v.Lost
}

// Decisions is the real time that a call of Decide takes, in microseconds.
type Decisions struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Point is the capacity, demand and use at one time, in accelerators.
type Point struct {
	At       time.Time
	Capacity int
	Demand   int
	Used     int
}

// _outageTail is the time after the return of a failure domain that still counts
// as part of the outage.
const _outageTail = 30 * time.Minute

func (r *Result) recordOut(now time.Time) {
	if r.outAt.IsZero() {
		r.outAt = now
	}
}

func (r *Result) recordBack(now time.Time) {
	if r.backAt.IsZero() {
		r.backAt = now
	}
}

func (r *Result) recordDecision(d time.Duration) {
	if r.decisions == nil {
		r.decisions = hdrhistogram.New(1, int64(time.Minute), 3)
	}
	_ = r.decisions.RecordValue(max(int64(d), 1))
}

// integrate adds the span from now to next to the integrals over time.
func (r *Run) integrate(next time.Time) {
	span := next.Sub(r.now).Seconds()
	if span <= 0 {
		return
	}
	if share, ok := r.free.fragmentation(); ok && r.now.Before(r.workload.End) {
		r.result.fragSum += share * span
		r.result.fragTime += span
	}
	p := Point{At: r.now, Capacity: r.capacity, Demand: r.demand, Used: r.inUse}
	if n := len(r.trace); n == 0 || r.trace[n-1].Capacity != p.Capacity ||
		r.trace[n-1].Demand != p.Demand || r.trace[n-1].Used != p.Used {
		r.trace = append(r.trace, p)
	}
	if r.inOutage(r.now) {
		r.result.Outage.Possible += float64(min(r.capacity, r.demand)) * span
	}
}

func (r *Run) inOutage(t time.Time) bool {
	if r.result.outAt.IsZero() || t.Before(r.result.outAt) {
		return false
	}
	return r.result.backAt.IsZero() || t.Before(r.result.backAt.Add(_outageTail))
}

func (r *Run) summarize() Result {
	res := &r.result
	res.Trace = r.trace
	if res.fragTime > 0 {
		res.Fragmentation = res.fragSum / res.fragTime
	}
	if res.decisions != nil {
		res.Decisions = Decisions{
			Count: res.decisions.TotalCount(),
			P50:   float64(res.decisions.ValueAtQuantile(50)) / 1e3,
			P99:   float64(res.decisions.ValueAtQuantile(99)) / 1e3,
			Max:   float64(res.decisions.Max()) / 1e3,
		}
	}
	res.Missed = map[string]bool{}
	byClass := map[string][]*simJob{}
	for i := range r.workload.Jobs {
		j := r.jobs[r.workload.Jobs[i].Job.ID]
		if j == nil {
			res.Violations.Lost++
			continue
		}
		byClass[j.state.Class] = append(byClass[j.state.Class], j)
		if !r.metTarget(j) {
			res.Missed[j.state.ID] = true
		}
		r.addWork(j)
	}
	if res.Outage.Possible > 0 {
		res.Outage.Share = res.Outage.Work / res.Outage.Possible
	}
	for class, jobs := range byClass {
		res.Classes = append(res.Classes, r.classResult(class, jobs))
	}
	sort.Slice(res.Classes, func(i, j int) bool { return res.Classes[i].Class < res.Classes[j].Class })
	return *res
}

// metTarget reports whether a job has met its target. Jobs without a target,
// cancelled jobs, and jobs with accelerators that can never succeed count as having
// met it.
func (r *Run) metTarget(j *simJob) bool {
	target := r.workload.Config.Classes[j.state.Class].Target
	deadline, ok := target.Deadline(j.state.Accepted)
	if !ok || j.accelerators() == 0 && j.state.Shape.Accelerators > 0 || j.finalPhase == beryljob.Cancelled {
		return true
	}
	if target.Start > 0 {
		return !j.started.IsZero() && !j.started.After(deadline)
	}
	return j.finalPhase == beryljob.Done && !j.finished.After(deadline)
}

// addWork adds the job's useful segments to the work of the outage and the others
// to the lost work.
func (r *Run) addWork(j *simJob) {
	for _, s := range j.segments {
		if !s.useful {
			wasted := s.to.Sub(s.from).Seconds() * float64(s.n)
			r.result.LostWork += wasted
			continue
		}
		from, to := s.from, s.to
		if from.Before(r.result.outAt) {
			from = r.result.outAt
		}
		if end := r.result.backAt.Add(_outageTail); to.After(end) {
			to = end
		}
		if !r.result.outAt.IsZero() && to.After(from) {
			r.result.Outage.Work += to.Sub(from).Seconds() * float64(s.n)
		}
	}
}

func (r *Run) classResult(class string, jobs []*simJob) ClassResult {
	c := ClassResult{Class: class, Jobs: len(jobs)}
	completion := hdrhistogram.New(1, int64(72*time.Hour/time.Millisecond), 3)
	start := hdrhistogram.New(1, int64(72*time.Hour/time.Millisecond), 3)
	for _, j := range jobs {
		switch {
		case j.phase != ended:
			c.Open++
			_ = completion.RecordValue(r.now.Sub(j.state.Accepted).Milliseconds())
		case j.finalPhase == beryljob.Done:
			c.Done++
			_ = completion.RecordValue(max(j.finished.Sub(j.state.Accepted).Milliseconds(), 1))
		case j.finalPhase == beryljob.Failed:
			c.Failed++
		default:
			c.Cancelled++
		}
		if r.result.Missed[j.state.ID] {
			c.Missed++
		}
		if !j.started.IsZero() {
			_ = start.RecordValue(max(j.started.Sub(j.state.Accepted).Milliseconds(), 1))
		}
	}
	const milli = 1e3
	c.Mean = completion.Mean() / milli
	c.P50 = float64(completion.ValueAtQuantile(50)) / milli
	c.P95 = float64(completion.ValueAtQuantile(95)) / milli
	c.StartP99 = float64(start.ValueAtQuantile(99)) / milli
	return c
}

func (r *Run) domainAccelerators(domain string) int {
	n := 0
	for _, name := range r.domainWorkers(domain) {
		if w := r.workers[name]; !w.lost {
			n += w.worker.Total.Accelerators
		}
	}
	return n
}

// adjacent reports whether a gang's members are as close together as the job
// requires.
func (r *Run) adjacent(j *simJob) bool {
	first := r.workers[j.members[0].Agent].worker
	for _, m := range j.members {
		w := r.workers[m.Agent].worker
		ok := true
		switch j.state.Adjacent {
		case beryladjacency.Worker:
			ok = w.Name == first.Name
		case beryladjacency.Rack:
			ok = w.Rack == first.Rack
		case beryladjacency.Domain:
			ok = w.Domain == first.Domain
		case beryladjacency.Anywhere:
		}
		if !ok {
			return false
		}
	}
	return true
}

// freeAccelerators counts the free accelerators of the workers that are not lost:
// all of them, and those that the largest guaranteed shape can use.
type freeAccelerators struct {
	// unit is the number of accelerators of the largest guaranteed shape.
	unit   int
	sum    int
	usable int
}

func (f *freeAccelerators) add(n int) {
	f.sum += n
	f.usable += n / f.unit * f.unit
}

func (f *freeAccelerators) remove(n int) {
	f.sum -= n
	f.usable -= n / f.unit * f.unit
}

func (f *freeAccelerators) fragmentation() (float64, bool) {
	if f.sum == 0 {
		return 0, false
	}
	return 1 - float64(f.usable)/float64(f.sum), true
}

func largestGuarantee(cfg *berylconfig.Config) int {
	unit := 1
	for _, a := range cfg.Accounts {
		for _, g := range a.Guarantees {
			unit = max(unit, g.Shape.Accelerators)
		}
	}
	return unit
}

func configDuration(d time.Duration) berylduration.Duration { return berylduration.Duration(d) }
