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

// Result is what one run showed.
type Result struct {
	Workload string `json:"workload"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Classes in order of name.
	Classes []ClassResult `json:"classes"`
	// Fragmentation is the mean share of free accelerators that no largest
	// guaranteed shape can use, over the time with free accelerators.
	Fragmentation float64 `json:"fragmentation"`
	Outage        Outage  `json:"departure"`
	Preemptions   int     `json:"preemptions"`
	// LostWork is in accelerator seconds that were run in vain.
	LostWork   float64    `json:"lostwork"`
	Violations Violations `json:"violations"`
	Decisions  Decisions  `json:"decisions"`
	// Trace has the course of capacity, demand and use.
	Trace []Point `json:"-"`
	// Missed has the ids of the jobs that missed their target.
	Missed map[string]bool `json:"-"`

	ended     int
	decisions *hdrhistogram.Histogram
	fragTime  float64
	fragSum   float64
	out, back time.Time
}

// ClassResult has the times of one class. Times are in seconds.
type ClassResult struct {
	Class     string `json:"class"`
	Jobs      int    `json:"jobs"`
	Done      int    `json:"done"`
	Failed    int    `json:"failed"`
	Cancelled int    `json:"cancelled"`
	// Open jobs had not ended when the run stopped.
	Open int `json:"open"`
	// Missed jobs ended after their target, or not at all.
	Missed int `json:"missed"`
	// Avoidable jobs are missed ones that met their target when the class ran
	// alone.
	Avoidable int     `json:"avoidable"`
	Mean      float64 `json:"mean"`
	P50       float64 `json:"p50"`
	P95       float64 `json:"p95"`
	// StartP99 is from acceptance to the first start.
	StartP99 float64 `json:"startp99"`
}

// Outage is the work done from the departure of the first failure domain to
// half an hour after its return, in accelerator seconds.
type Outage struct {
	Work float64 `json:"work"`
	// Possible is the integral of the smaller of demand and the capacity that
	// was left.
	Possible float64 `json:"possible"`
	Share    float64 `json:"share"`
}

// Violations count breaches of the invariants.
type Violations struct {
	Capacity  int `json:"capacity"`
	Partial   int `json:"partial"`
	Adjacency int `json:"adjacency"`
	Out       int `json:"out"`
	Guarantee int `json:"guarantee"`
	Double    int `json:"double"`
	Lost      int `json:"lost"`
}

// Sum returns the number of all violations.
func (v Violations) Sum() int {
	return v.Capacity + v.Partial + v.Adjacency + v.Out + v.Guarantee + v.Double + v.Lost
}

// Decisions has the real time that one call of Decide took, in microseconds.
type Decisions struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Point is the state at one time, in accelerators.
type Point struct {
	At       time.Time
	Capacity int
	Demand   int
	Used     int
}

// _departureTail is the time after the return that still counts.
const _departureTail = 30 * time.Minute

func (r *Result) departs(now time.Time) {
	if r.out.IsZero() {
		r.out = now
	}
}

func (r *Result) returns(now time.Time) {
	if r.back.IsZero() {
		r.back = now
	}
}

func (r *Result) recordDecision(d time.Duration) {
	if r.decisions == nil {
		r.decisions = hdrhistogram.New(1, int64(time.Minute), 3)
	}
	_ = r.decisions.RecordValue(max(int64(d), 1))
}

// account adds the time up to next to the integrals.
func (r *Run) account(next time.Time) {
	span := next.Sub(r.now).Seconds()
	if span <= 0 {
		return
	}
	if share, ok := r.free.fragmentation(); ok && r.now.Before(r.w.End) {
		r.result.fragSum += share * span
		r.result.fragTime += span
	}
	p := Point{At: r.now, Capacity: r.capacity, Demand: r.demand, Used: r.inUse}
	if n := len(r.trace); n == 0 || r.trace[n-1].Capacity != p.Capacity ||
		r.trace[n-1].Demand != p.Demand || r.trace[n-1].Used != p.Used {
		r.trace = append(r.trace, p)
	}
	if r.inDeparture(r.now) {
		r.result.Outage.Possible += float64(min(r.capacity, r.demand)) * span
	}
}

func (r *Run) inDeparture(t time.Time) bool {
	if r.result.out.IsZero() || t.Before(r.result.out) {
		return false
	}
	return r.result.back.IsZero() || t.Before(r.result.back.Add(_departureTail))
}

func (r *Run) finish() Result {
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
	byClass := map[string][]*jobRun{}
	for i := range r.w.Jobs {
		j := r.jobs[r.w.Jobs[i].Job.ID]
		if j == nil {
			res.Violations.Lost++
			continue
		}
		byClass[j.state.Class] = append(byClass[j.state.Class], j)
		if !r.met(j) {
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

// met reports whether a job met its target; jobs without one always do.
func (r *Run) met(j *jobRun) bool {
	target := r.w.Config.Classes[j.state.Class].Target
	deadline, ok := target.Deadline(j.state.Accepted)
	if !ok || j.accelerators() == 0 && j.state.Shape.Accelerators > 0 || j.final == beryljob.Cancelled {
		return true
	}
	if target.Start > 0 {
		return !j.started.IsZero() && !j.started.After(deadline)
	}
	return j.final == beryljob.Done && !j.finished.After(deadline)
}

// addWork adds the job's segments to the work of the departure.
func (r *Run) addWork(j *jobRun) {
	for _, s := range j.segments {
		if !s.useful {
			res := s.to.Sub(s.from).Seconds() * float64(s.n)
			r.result.LostWork += res
			continue
		}
		from, to := s.from, s.to
		if from.Before(r.result.out) {
			from = r.result.out
		}
		if end := r.result.back.Add(_departureTail); to.After(end) {
			to = end
		}
		if !r.result.out.IsZero() && to.After(from) {
			r.result.Outage.Work += to.Sub(from).Seconds() * float64(s.n)
		}
	}
}

func (r *Run) classResult(class string, jobs []*jobRun) ClassResult {
	c := ClassResult{Class: class, Jobs: len(jobs)}
	completion := hdrhistogram.New(1, int64(72*time.Hour/time.Millisecond), 3)
	start := hdrhistogram.New(1, int64(72*time.Hour/time.Millisecond), 3)
	for _, j := range jobs {
		switch {
		case j.phase != ended:
			c.Open++
			_ = completion.RecordValue(r.now.Sub(j.state.Accepted).Milliseconds())
		case j.final == beryljob.Done:
			c.Done++
			_ = completion.RecordValue(max(j.finished.Sub(j.state.Accepted).Milliseconds(), 1))
		case j.final == beryljob.Failed:
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
		if h := r.hosts[name]; !h.lost {
			n += h.worker.Total.Accelerators
		}
	}
	return n
}

// adjacent reports whether a gang's members are as close as the job asks.
func (r *Run) adjacent(j *jobRun) bool {
	first := r.hosts[j.members[0].Agent].worker
	for _, m := range j.members {
		w := r.hosts[m.Agent].worker
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

// freeAccelerators keeps sums over the workers that are there.
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

func seconds(d time.Duration) berylduration.Duration { return berylduration.Duration(d) }
