package berylscheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/beryljob"
	"berylglade/berylscheduler"
	"berylglade/berylshape"
	"berylglade/berylsize"
)

// loadedCluster is a nearly full cluster with a seeded mix of jobs.
type loadedCluster struct {
	s         *berylscheduler.Scheduler
	rnd       *rand.Rand
	now       time.Time
	running   []string
	attempts  map[string]int
	tasksOf   map[string]int
	tasks     int
	submitted int
}

func newLoadedCluster(workers, tasks int) *loadedCluster {
	c := &loadedCluster{
		s:        berylscheduler.New(berylscheduler.Options{}),
		rnd:      rand.New(rand.NewPCG(1, 2)),
		now:      time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC),
		attempts: map[string]int{},
		tasksOf:  map[string]int{},
	}
	domains := min(7, max(1, workers/3))
	for i := range workers {
		c.s.Handle(c.now, berylscheduler.WorkerSeen{Worker: berylscheduler.Worker{
			Name: fmt.Sprintf("w%05d", i), Domain: fmt.Sprintf("d%d", i/3%domains), Rack: fmt.Sprintf("r%04d", i/3),
			Total: berylshape.Shape{Accelerators: 8, Cores: 64, Memory: 128 * berylsize.GB},
		}})
	}
	cfg := &berylconfig.Config{Offset: 1, Classes: classes(), Accounts: map[string]berylconfig.ClientAccount{}}
	for i := range min(150, workers) {
		g := berylconfig.Guarantee{Shape: gpus(8), Count: max(1, workers/600), Adjacent: beryladjacency.Anywhere, Spare: i%10 == 0}
		if i%5 == 0 {
			g = berylconfig.Guarantee{Shape: gpus(8), Count: 3, Adjacent: beryladjacency.Rack}
		}
		if i < workers/8 {
			cfg.Accounts[fmt.Sprintf("t%d", i)] = berylconfig.ClientAccount{Guarantees: []berylconfig.Guarantee{g}}
		}
	}
	c.s.Handle(c.now, berylscheduler.ConfigChanged{Config: cfg})
	for idle := 0; c.tasks < tasks && idle < 50; idle++ {
		before := c.tasks
		for range 200 {
			c.submit()
		}
		c.now = c.now.Add(time.Second)
		c.decide()
		if c.tasks > before {
			idle = 0
		}
	}
	return c
}

// submit queues a job of the mix: mostly small jobs without accelerators, some with
// accelerators, and a few gangs of up to 512 tasks.
func (c *loadedCluster) submit() {
	c.submitted++
	j := beryljob.Job{
		ID: fmt.Sprintf("j%06d", c.submitted), Account: fmt.Sprintf("t%d", c.rnd.IntN(150)),
		Class: []string{"batch", "routine", "soon", "quick"}[c.rnd.IntN(4)],
		Tasks: 1 + c.rnd.IntN(40), Shape: berylshape.Shape{Cores: 1 + c.rnd.IntN(3), Memory: berylsize.Size(1+c.rnd.IntN(4)) * berylsize.GB},
		Declared: berylduration.Duration(time.Hour), Accepted: c.now,
	}
	switch {
	case c.submitted%200 == 0:
		j.Tasks, j.Shape, j.Adjacent = 512, gpus(1), beryladjacency.Domain
	case c.submitted%20 == 0:
		j.Tasks, j.Shape, j.Adjacent = 3, gpus(8), beryladjacency.Rack
	case c.submitted%4 == 0:
		j.Tasks, j.Shape = 1, gpus(1+c.rnd.IntN(2))
	}
	c.s.Handle(c.now, berylscheduler.JobQueued{State: beryljob.State{Job: j, Phase: beryljob.Queued}})
}

func (c *loadedCluster) decide() {
	for {
		placed := false
		for _, a := range c.s.Decide(c.now) {
			_, ok := a.(berylscheduler.Place)
			placed = placed || ok
			c.apply(a)
		}
		if !placed {
			return
		}
	}
}

// addBacklog queues gangs of whole workers, for which a nearly full cluster has no
// room.
func (c *loadedCluster) addBacklog(n int) {
	for i := range n {
		c.s.Handle(c.now, berylscheduler.JobQueued{State: beryljob.State{Phase: beryljob.Queued, Job: beryljob.Job{
			ID: fmt.Sprintf("b%05d", i), Account: fmt.Sprintf("t%d", i%150), Class: []string{"batch", "routine"}[i%2],
			Tasks: 200 + i%300, Shape: gpus(8), Adjacent: beryladjacency.Domain, Accepted: c.now,
		}}})
	}
	for range 100 {
		c.now = c.now.Add(time.Second)
		c.decide()
	}
}

func (c *loadedCluster) apply(a berylscheduler.Action) {
	switch a := a.(type) {
	case berylscheduler.Place:
		c.running = append(c.running, a.Job)
		n := 0
		for _, p := range a.Members {
			n += p.Tasks
		}
		c.attempts[a.Job] = a.Attempt
		c.tasksOf[a.Job] = n
		c.tasks += n
		c.s.Handle(c.now, berylscheduler.GangStarted{Job: a.Job, Attempt: a.Attempt})
	case berylscheduler.Preempt:
		c.endGang(a.Job)
	}
}

func (c *loadedCluster) endGang(id string) {
	k := slices.Index(c.running, id)
	if k < 0 {
		return
	}
	c.running[k] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	c.tasks -= c.tasksOf[id]
	c.s.Handle(c.now, berylscheduler.GangEnded{Job: id, Attempt: c.attempts[id], OK: true})
	c.s.Handle(c.now, berylscheduler.JobEnded{Job: id, Phase: beryljob.Done})
}

// BenchmarkDecide measures one decision in a nearly full cluster: one gang ends, one
// job arrives, and Decide is called once. It reports the 50th and 99th percentile
// and the maximum.
func BenchmarkDecide(b *testing.B) {
	tests := []struct{ workers, tasks, waiting int }{
		{workers: 10, tasks: 190},
		{workers: 100, tasks: 1900},
		{workers: 1000, tasks: 19000},
		{workers: 11000, tasks: 210000},
		{workers: 11000, tasks: 210000, waiting: 10000},
	}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", tt.workers, tt.waiting), func(b *testing.B) {
			c := newLoadedCluster(tt.workers, tt.tasks)
			c.addBacklog(tt.waiting)
			took := make([]time.Duration, 0, b.N)
			for b.Loop() {
				c.now = c.now.Add(100 * time.Millisecond)
				start := time.Now()
				if len(c.running) > 0 {
					c.endGang(c.running[c.rnd.IntN(len(c.running))])
				}
				c.submit()
				acts := c.s.Decide(c.now)
				took = append(took, time.Since(start))
				b.StopTimer()
				for _, a := range acts {
					c.apply(a)
				}
				b.StartTimer()
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(took[len(took)-1].Microseconds()), "max-us")
			b.ReportMetric(float64(c.tasks), "tasks")
			b.ReportMetric(float64(len(c.running)), "gangs")
			b.ReportMetric(float64(c.s.State().Waiting), "waiting")
		})
	}
}
