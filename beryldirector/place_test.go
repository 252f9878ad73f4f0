package beryldirector

import (
	"strconv"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylbreaker"
	"berylglade/berylpolicy"
	"berylglade/berylreport"
	"berylglade/berylroom"
	"berylglade/berylwork"
)

// Submits urgent work while routine work holds every accelerator. Guards against
// urgent work that waits until it is late, against preemption before it is needed,
// and against preemption of more runs than needed.
func TestUrgentWorkPreempts(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.submit("j1", "routine", step(8, 1))
	var runs []berylreport.Run
	for i := range 8 {
		runs = append(runs, berylreport.Run{Key: berylreport.Key{Task: "j1.0.0." + strconv.Itoa(i), Run: 1}})
	}
	h.report("n1", func(r *berylreport.Report) { r.Runs = runs })
	urgent := gang(2, 2)
	urgent.Estimate = 6000
	h.submit("j2", "urgent", urgent)
	h.is.Equal(len(h.d.Orders(h.now)["n1"].Stop), 0)
	h.advance(400 * time.Millisecond)
	stops := h.d.Orders(h.now)["n1"].Stop
	h.is.Equal(len(stops), 4)
	h.report("n1", func(r *berylreport.Report) {
		r.Runs = nil
		for _, run := range runs {
			stopped := false
			for _, s := range stops {
				stopped = stopped || s == run.Key
			}
			if stopped {
				r.Ends = append(r.Ends, berylreport.End{Seq: int64(len(r.Ends) + 1), Key: run.Key, Reason: berylreport.Stopped})
			} else {
				r.Runs = append(r.Runs, run)
			}
		}
	})
	h.is.Equal(h.phase("j2", 0), berylbook.Ordered)
	h.is.Equal(h.phase("j2", 1), berylbook.Ordered)
}

// Guards against starts in a failure domain that is out of service and on backend
// servers that don't accept tasks.
func TestNoStartOnUnavailableServer(t *testing.T) {
	tests := []struct {
		name   string
		out    bool
		change func(r *berylreport.Report)
	}{
		{name: "out of service", out: true},
		{name: "draining", change: func(r *berylreport.Report) { r.Draining = true }},
		{name: "unresponsive", change: func(r *berylreport.Report) { r.Unresponsive = true }},
		{name: "not listed yet", change: func(r *berylreport.Report) { r.Listed = false }},
		{name: "other service", change: func(r *berylreport.Report) { r.Service = "t" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.d.Policy.OutOfService = map[string]bool{"z1": tt.out}
			h.report("n1", tt.change)
			h.submit("j1", "urgent", step(1, 1))
			h.is.Equal(h.phase("j1", 0), berylbook.Idle)
		})
	}
}

// Guards against preemption for a wide job that can run in waves and still be on
// time, and against guaranteed work that waits until its job is late.
func TestPreemptAfter(t *testing.T) {
	tests := []struct {
		name       string
		step       berylwork.Step
		guaranteed int
		want       time.Duration
	}{
		{name: "narrow", step: step(1, 2), want: 0},
		{name: "two waves", step: step(4, 1), want: 0},
		{name: "four waves", step: step(8, 1), want: 700 * time.Millisecond},
		{name: "long", step: berylwork.Step{Count: 1, Need: berylroom.Resources{Accelerators: 1}, Estimate: 10_000}, want: 1050 * time.Millisecond},
		{name: "longer and guaranteed", step: berylwork.Step{Count: 1, Need: berylroom.Resources{Accelerators: 1}, Estimate: 20_000}, guaranteed: 8, want: 1300 * time.Millisecond},
		{name: "short", step: berylwork.Step{Count: 1, Need: berylroom.Resources{Accelerators: 1}, Estimate: 500}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.report("n1", nil)
			h.d.Policy.Accounts = []berylpolicy.Account{{Name: "a", Guaranteed: tt.guaranteed}}
			w := berylwork.Work{ID: "j1", Queue: "urgent", Account: "a", Steps: []berylwork.Step{tt.step}, Accepted: h.now.UnixMilli()}
			u := unit{job: berylbook.NewJob(&w), queue: &h.d.Policy.Queues[0]}
			h.d.Book.Jobs = map[string]*berylbook.Job{"j1": u.job}
			u.setTimes(h.d.expectedPaths(&w, 8))
			h.is.Equal(h.d.preemptAfter(&u), tt.want)
		})
	}
}

// Submits an urgent gang that asks for one rack while routine work holds one rack
// and half of another. Guards against a gang that is spread over two racks, where it
// takes three times as long, although preemption can free capacity in one.
func TestUrgentGangIsPlacedInOneRack(t *testing.T) {
	h := newHarness(t)
	racks := map[string]string{"n1": "r1-1", "n2": "r1-1", "n3": "r1-2", "n4": "r1-2"}
	nodes := []string{"n1", "n2", "n3", "n4"}
	for _, node := range nodes[:3] {
		h.report(node, func(r *berylreport.Report) { r.Labels = []string{racks[node]} })
	}
	for i := range 3 {
		h.submit("j"+strconv.Itoa(i), "routine", step(1, 8))
	}
	h.report("n4", func(r *berylreport.Report) { r.Labels = []string{racks["n4"]} })
	urgent := gang(2, 8)
	urgent.OneRack = true
	h.submit("u", "urgent", urgent)
	h.advance(400 * time.Millisecond)
	var stopped []string
	for node, o := range h.d.Orders(h.now) {
		if len(o.Stop) > 0 {
			stopped = append(stopped, node)
		}
	}
	h.is.Equal(stopped, []string{"n3"})
}

// Submits tasks of one accelerator faster than they end, and a gang that needs a
// whole host. Guards against a gang that starves because each released accelerator
// is given to a small task.
func TestGangIsNotStarvedBySmallTasks(t *testing.T) {
	h := newHarness(t)
	h.d.Policy.Queues = append(h.d.Policy.Queues, berylpolicy.Queue{Name: "gangs", Service: "s", Priority: 1, Attempts: 2, Stretch: 3})
	h.report("n1", nil)
	n := int64(0)
	next := 0
	startedAt := map[berylreport.Key]time.Time{}
	for tick := range 120 {
		if tick%2 == 0 {
			h.submit("small"+strconv.Itoa(next), "routine", step(1, 1))
			next++
		}
		if tick == 20 {
			h.submit("gang", "gangs", gang(2, 4))
		}
		h.advance(250 * time.Millisecond)
		h.report("n1", func(r *berylreport.Report) {
			for _, j := range h.d.Book.Sorted() {
				j.Each(func(ref berylwork.Ref, task *berylbook.Task) {
					if !task.Phase.Active() {
						return
					}
					k := berylreport.Key{Task: ref.String(), Run: task.Run}
					if startedAt[k].IsZero() {
						startedAt[k] = h.now
					}
					if h.now.Sub(startedAt[k]) > 5*time.Second {
						n++
						r.Ends = append(r.Ends, end(n, k.Task, k.Run, berylreport.Done))
						return
					}
					r.Runs = append(r.Runs, berylreport.Run{Key: k})
				})
			}
		})
		if tick > 20 && h.phase("gang", 0) != berylbook.Idle {
			return
		}
	}
	t.Fatal("the gang did not start")
}

// Submits a gang while a host of its rack is unreachable for a short time. Guards
// against a gang that is spread over two racks, where it takes three times as long,
// and against a gang that waits for a host that is draining.
func TestGangWaitsForItsRack(t *testing.T) {
	tests := []struct {
		name     string
		draining bool
		want     berylbook.Phase
	}{
		{name: "unreachable", want: berylbook.Idle},
		{name: "draining", draining: true, want: berylbook.Ordered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			racks := map[string]string{"n1": "r1-1", "n2": "r1-1", "n3": "r1-2"}
			for _, node := range []string{"n1", "n2", "n3"} {
				h.report(node, func(r *berylreport.Report) {
					r.Labels = []string{racks[node]}
					r.Unresponsive = node == "n2"
					r.Draining = tt.draining && node == "n2"
				})
			}
			g := gang(2, 8)
			g.OneRack = true
			h.submit("j1", "routine", g)
			h.is.Equal(h.phase("j1", 0), tt.want)
		})
	}
}

// Guards against preemption although there is free capacity on backend servers whose
// agents have not reported to a new leader yet, and against gangs that are spread
// although a rack has enough capacity for them.
func TestNewLeaderWaitsForReports(t *testing.T) {
	h := newHarness(t)
	h.report("a", nil)
	h.submit("long", "routine", step(1, 8))
	h.report("a", listRun("long.0.0.0", 1))
	h.d.electedAt = h.now
	h.submit("now", "urgent", gang(2, 4))
	h.advance(_reportWindow - 100*time.Millisecond)
	h.report("a", listRun("long.0.0.0", 1))
	h.is.Equal(h.phase("long", 0), berylbook.Working)
	h.report("b", nil)
	h.is.Equal(h.d.Book.Jobs["now"].At(0, 0, 0).Incarnation.Node, "b")
	h.is.Equal(h.phase("long", 0), berylbook.Working)
}

// Submits urgent gangs one after the other while routine work fills every rack.
// Guards against capacity that is being freed for a gang and is given to a later,
// shorter one, so that more and more runs are preempted for the first.
func TestCapacityFreedByPreemptionIsReserved(t *testing.T) {
	h := newHarness(t)
	stops := func() int {
		n := 0
		for _, j := range h.d.Book.Jobs {
			j.Each(func(_ berylwork.Ref, task *berylbook.Task) {
				if task.Phase == berylbook.Stopping {
					n++
				}
			})
		}
		return n
	}
	for i := range 12 {
		node := "n" + strconv.Itoa(10+i)
		h.report(node, func(r *berylreport.Report) { r.Labels = []string{"r1-" + strconv.Itoa(i%3)} })
		h.submit("j"+strconv.Itoa(i), "routine", step(1, 8))
	}
	// Both jobs can still be on time if runs are preempted for them.
	h.d.Policy.Queues[0].Target = 500 * time.Millisecond
	long := gang(3, 8)
	long.OneRack, long.Estimate = true, 1600
	h.submit("long", "urgent", long)
	h.advance(300 * time.Millisecond)
	h.is.Equal(stops(), 3)
	short := gang(4, 8)
	short.Estimate = 500
	h.submit("short", "urgent", short)
	for range 5 {
		h.advance(50 * time.Millisecond)
		// Only the runs that hold the capacity for the two gangs are stopped.
		h.is.Equal(stops(), 7)
	}
}

// An urgent gang is late whatever is stopped for it, or finds capacity that comes free in
// time, while routine work fills the host. Guards against work that is thrown away although
// it makes no job on time, and against a guarantee that isn't kept.
func TestNoPreemptionWithoutGain(t *testing.T) {
	tests := []struct {
		name       string
		estimate   int64
		progress   float64
		guaranteed int
		want       berylbook.Phase
	}{
		{name: "pays", estimate: 2500, progress: 10, want: berylbook.Stopping},
		{name: "late anyway", estimate: 500, progress: 10, want: berylbook.Working},
		{name: "late anyway within the guarantee", estimate: 500, progress: 10, guaranteed: 8, want: berylbook.Stopping},
		{name: "free in time", estimate: 2500, progress: 97, want: berylbook.Done},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.d.Policy.Accounts = []berylpolicy.Account{{Name: "a", Guaranteed: tt.guaranteed}}
			h.report("n1", nil)
			routine := step(1, 8)
			routine.Estimate = 10_000
			h.submit("j1", "routine", routine)
			progress := tt.progress
			list := func(r *berylreport.Report) {
				if progress >= 100 {
					r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
					return
				}
				r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}, Progress: progress}}
				progress++
			}
			h.report("n1", list)
			urgent := gang(2, 4)
			urgent.Estimate = tt.estimate
			h.submitFor("a", "j2", "urgent", urgent)
			for range 8 {
				h.advance(200 * time.Millisecond)
				h.report("n1", list)
			}
			h.is.Equal(h.phase("j1", 0), tt.want)
		})
	}
}

// Guards against a long job that is late because shorter ones with more slack are
// placed first.
func TestLeastSlackFirst(t *testing.T) {
	h := newHarness(t)
	long, short := step(1, 8), step(1, 8)
	long.Estimate, short.Estimate = 6000, 1000
	h.submit("long", "routine", long)
	// The long job can still be on time.
	h.advance(11 * time.Second)
	h.submit("short", "routine", short)
	var order []string
	for _, units := range h.d.pendingUnits(h.now) {
		for _, u := range units {
			order = append(order, u.job.Work.ID)
		}
	}
	h.is.Equal(order, []string{"long", "short"})
}

// Runs an urgent gang in a rack with a backend server that fails all tasks although
// its heartbeats are in order. Guards against a job that uses up its attempts on that
// server, although the ends of the other members show which one is faulty and
// another rack has free capacity.
func TestGangAvoidsFailedServer(t *testing.T) {
	h := newHarness(t)
	for i := range 6 {
		h.report("n"+strconv.Itoa(i), func(r *berylreport.Report) { r.Labels = []string{"r1-" + strconv.Itoa(i/3)} })
	}
	s := gang(3, 8)
	s.OneRack = true
	h.submit("j1", "urgent", s)
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Incarnation.Node, "n0")
	fail := func(i int) {
		node := "n" + strconv.Itoa(i)
		h.report(node, func(r *berylreport.Report) {
			r.Labels = []string{"r1-" + strconv.Itoa(i/3)}
			r.Ends = []berylreport.End{end(1, "j1.0.0."+strconv.Itoa(i), 1, berylreport.Failed)}
		})
	}
	fail(1)
	for _, i := range []int{0, 2} {
		h.report("n"+strconv.Itoa(i), func(r *berylreport.Report) {
			r.Labels = []string{"r1-0"}
			r.Ends = []berylreport.End{end(1, "j1.0.0."+strconv.Itoa(i), 1, berylreport.GangBroken)}
		})
	}
	var nodes []string
	for _, task := range tasksOf(h.d.Book.Jobs["j1"]) {
		h.is.Equal(task.Run, 2)
		nodes = append(nodes, task.Incarnation.Node)
	}
	h.is.Equal(nodes, []string{"n3", "n4", "n5"})
	h.advance(100 * time.Millisecond)
	h.is.True(h.d.failedOn["j1.0.0.0"]["n1"])
}

// Guards against a unit that fails everywhere and makes placement avoid every backend
// server on which it ran.
func TestFaultScoreOfUnitThatFailsEverywhere(t *testing.T) {
	h := newHarness(t)
	h.report("n0", nil)
	h.report("n1", nil)
	m := h.d.agents
	h.d.recordFailure(h.now, m["n0"], "j1.0.0.0")
	h.d.recordFailure(h.now, m["n1"], "j1.0.0.0")
	h.is.True(h.d.faultScore(h.now, m["n0"]) > 0)
	h.is.Equal(h.d.faultScore(h.now, m["n1"]), 0.0)
}

// The store is away for eight seconds, in which reports are answered without the leader
// lease, and then answers again. Guards against a start on a backend server whose lease is
// about to be given up: the run is given up at once, and carried out with the next
// contact, so that its task runs twice at the same time.
func TestNoStartWithoutContact(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	h.holdAppends = true
	h.advance(8 * time.Second)
	h.is.True(!h.report("n1", nil).FromLeader)
	h.holdAppends = false
	h.d.Committed(h.now)
	h.submit("j1", "urgent", step(1, 1))
	h.advance(200 * time.Millisecond)
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Run, 0)
	h.is.True(h.report("n1", nil).FromLeader)
	h.advance(200 * time.Millisecond)
	h.is.Equal(h.d.Book.Jobs["j1"].At(0, 0, 0).Run, 1)
}

// An urgent job ends soon after routine work was preempted for it. Guards against routine
// work that starts again at once and is preempted for the next urgent job.
func TestPreemptedUnitPauses(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	routine := step(1, 8)
	routine.Estimate = 5000
	h.submit("j1", "routine", routine)
	h.report("n1", listRun("j1.0.0.0", 1))
	h.d.cooldown.Add(h.now, "j1.0.0.0")
	h.d.stopUnit("j1.0.0.0")
	h.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Stopped)}
	})
	h.advance(300 * time.Millisecond)
	h.report("n1", nil)
	h.is.Equal(h.phase("j1", 0), berylbook.Idle)
	h.advance(300 * time.Millisecond)
	h.report("n1", nil)
	h.is.Equal(h.phase("j1", 0), berylbook.Ordered)
}

// Urgent jobs have arrived one after the other when routine work finds four free hosts.
// Guards against routine work that takes all capacity and is preempted for the next urgent
// job, against capacity that stays idle when no urgent work comes any more, against
// routine work that waits until it is late, and against headroom on a host that fails all
// that it starts.
func TestHeadroomForUrgentWork(t *testing.T) {
	tests := []struct {
		name     string
		quiet    time.Duration
		estimate int64
		faulty   bool // n4 fails all that it starts.
		want     int
	}{
		{name: "urgent work is about to come", estimate: 8000, want: 3},
		{name: "urgent work is about to come, and a host is faulty", estimate: 8000, faulty: true, want: 2},
		{name: "urgent work has ceased", quiet: 20 * time.Second, estimate: 8000, want: 4},
		{name: "routine work can't wait", estimate: 0, want: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			nodes := []string{"n1", "n2", "n3", "n4"}
			for _, node := range nodes {
				h.report(node, func(r *berylreport.Report) { r.Draining = true })
			}
			for i := range 5 {
				name := "u" + strconv.Itoa(i)
				urgent := gang(2, 8)
				urgent.Estimate = 2000
				h.submit(name, "urgent", urgent)
				h.d.Book.Jobs[name].State = berylbook.Completed
			}
			h.advance(tt.quiet + 100*time.Millisecond)
			routine := step(4, 8)
			routine.Estimate = tt.estimate
			h.submit("j1", "routine", routine)
			if tt.faulty {
				h.d.breakers.Fail(h.now, berylbreaker.Failure{Server: "n4", Servers: 4, Step: "j0.0.0.0", Works: true})
			}
			for _, node := range nodes {
				h.report(node, nil)
			}
			started := 0
			for i := range 4 {
				if h.phase("j1", i) == berylbook.Ordered {
					started++
				}
			}
			h.is.Equal(started, tt.want)
		})
	}
}
