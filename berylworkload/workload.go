// Package berylworkload generates workloads from seeds: the workers of a site, its
// configuration, arriving jobs with their true run times, and faults.
//
// The same seed always gives the same workload. Package berylmeasure simulates a
// workload under a scheduling policy.
package berylworkload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/beryljob"
	"berylglade/berylscheduler"
	"berylglade/berylshape"
)

// Workload is a site and everything that happens there over a span of time.
type Workload struct {
	Name string
	Seed uint64
	// Start is the time at which the workload begins; no job arrives after End.
	Start time.Time
	End   time.Time
	// Config is in force from Start.
	Config *berylconfig.Config
	// Workers are present from Start.
	Workers []berylscheduler.Worker
	// Jobs are in order of arrival.
	Jobs []Arrival
	// Faults are in order of time.
	Faults []Fault
}

// Arrival is one job with what the scheduler does not know about it.
type Arrival struct {
	Job beryljob.Job
	// Run is the true run time if the job is not interrupted.
	Run time.Duration
	// Cancel is the time from arrival to cancellation; zero means that the job is
	// not cancelled.
	Cancel time.Duration
	// AlwaysFails means that the job fails on every worker.
	AlwaysFails bool
}

// Fault is one of DomainOut, DomainBack, WorkerFails and WorkersLost.
type Fault interface {
	// Time returns the time at which the fault begins.
	Time() time.Time
}

// DomainOut takes a failure domain out. Its workers are lost after the grace time.
type DomainOut struct {
	At     time.Time
	Domain string
	Grace  time.Duration
}

// DomainBack makes a failure domain available again.
type DomainBack struct {
	At     time.Time
	Domain string
}

// WorkerFails makes every task on a worker fail until a given time.
type WorkerFails struct {
	At     time.Time
	Until  time.Time
	Worker string
}

// WorkersLost makes workers unavailable without notice until a given time.
type WorkersLost struct {
	At      time.Time
	Until   time.Time
	Workers []string
}

// Time implements Fault.
func (f DomainOut) Time() time.Time { return f.At }

// Time implements Fault.
func (f DomainBack) Time() time.Time { return f.At }

// Time implements Fault.
func (f WorkerFails) Time() time.Time { return f.At }

// Time implements Fault.
func (f WorkersLost) Time() time.Time { return f.At }

// builder builds one workload.
type builder struct {
	w   *Workload
	rnd *rand.Rand
	n   int
}

func newBuilder(name string, seed uint64, start time.Time, span time.Duration) *builder {
	return &builder{
		w: &Workload{
			Name: name, Seed: seed, Start: start, End: start.Add(span),
			Config: &berylconfig.Config{
				Offset:   1,
				Classes:  map[string]berylconfig.Class{},
				Accounts: map[string]berylconfig.ClientAccount{},
				Domains:  map[string]berylconfig.FailureDomain{},
			},
		},
		rnd: rand.New(rand.NewPCG(seed, 0)),
	}
}

// addWorkers adds workers to a failure domain, in racks of a given size.
func (b *builder) addWorkers(domain string, n, perRack int, total berylshape.Shape) {
	b.w.Config.Domains[domain] = berylconfig.FailureDomain{}
	for i := range n {
		name := fmt.Sprintf("%s-%04d", domain, i)
		b.w.Workers = append(b.w.Workers, berylscheduler.Worker{
			Name: name, Incarnation: "1", Addr: name, Domain: domain,
			Rack: fmt.Sprintf("%s-rack-%03d", domain, i/perRack), Total: total,
		})
	}
}

// addJob adds a job. The declared run time is the true one times a factor between
// a tenth and ten, because real declarations are far off.
func (b *builder) addJob(at time.Time, run time.Duration, j beryljob.Job) *Arrival {
	b.n++
	j.ID = fmt.Sprintf("%s-%06d", j.Class, b.n)
	j.Accepted = at
	factor := math.Pow(10, 2*b.rnd.Float64()-1)
	j.Declared = berylduration.Duration(time.Duration(float64(run) * factor).Round(time.Second))
	b.w.Jobs = append(b.w.Jobs, Arrival{Job: j, Run: run})
	return &b.w.Jobs[len(b.w.Jobs)-1]
}

// uniformTime returns a uniformly distributed time between from and to.
func (b *builder) uniformTime(from, to time.Time) time.Time {
	return from.Add(time.Duration(b.rnd.Int64N(int64(to.Sub(from)))))
}

// lognormal returns a log-normally distributed duration with the given median and
// sigma. It is at least one second and at most ten times the median.
func (b *builder) lognormal(median time.Duration, sigma float64) time.Duration {
	d := time.Duration(float64(median) * math.Exp(sigma*b.rnd.NormFloat64()))
	return max(min(d, 10*median), time.Second).Round(time.Second)
}

func (b *builder) finish() *Workload {
	sort.SliceStable(b.w.Jobs, func(i, j int) bool {
		return b.w.Jobs[i].Job.Accepted.Before(b.w.Jobs[j].Job.Accepted)
	})
	sort.SliceStable(b.w.Faults, func(i, j int) bool {
		return b.w.Faults[i].Time().Before(b.w.Faults[j].Time())
	})
	return b.w
}
