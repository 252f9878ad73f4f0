package beryldirector

import (
	"strconv"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylpolicy"
	"berylglade/berylreport"
	"berylglade/berylroom"
	"berylglade/berylwork"
)

// Replays urgent work that arrives while routine work holds every accelerator.
// Guards against urgent work that waits until it is late, against stopping work
// before that, and against stopping more than is needed.
func TestUrgentWorkPreempts(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(8, 1))
	var runs []berylreport.Run
	for i := range 8 {
		runs = append(runs, berylreport.Run{Key: berylreport.Key{Task: "j1.0.0." + strconv.Itoa(i), Run: 1}})
	}
	b.report("n1", func(r *berylreport.Report) { r.Runs = runs })
	urgent := gang(2, 2)
	urgent.Estimate = 3000
	b.submit("j2", "urgent", urgent)
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Stop), 0)
	b.pass(400 * time.Millisecond)
	stops := b.d.Orders(b.now)["n1"].Stop
	b.is.Equal(len(stops), 4)
	b.report("n1", func(r *berylreport.Report) {
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
	b.is.Equal(b.phase("j2", 0), berylbook.Ordered)
	b.is.Equal(b.phase("j2", 1), berylbook.Ordered)
}

// Guards against work in a failure domain that is out of service and on a
// backend server that leaves.
func TestNoStartWhereNothingMayStart(t *testing.T) {
	tests := []struct {
		name   string
		out    bool
		change func(r *berylreport.Report)
	}{
		{name: "out of service", out: true},
		{name: "draining", change: func(r *berylreport.Report) { r.Draining = true }},
		{name: "silent", change: func(r *berylreport.Report) { r.Unresponsive = true }},
		{name: "not listed yet", change: func(r *berylreport.Report) { r.Listed = false }},
		{name: "other service", change: func(r *berylreport.Report) { r.Service = "t" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.d.Policy.OutOfService = map[string]bool{"z1": tt.out}
			b.report("n1", tt.change)
			b.submit("j1", "urgent", step(1, 1))
			b.is.Equal(b.phase("j1", 0), berylbook.Idle)
		})
	}
}

// Guards against preemption for a wide job whose time allows it to run in waves,
// and against a guarantee that waits until its job is late.
func TestPreemptAfter(t *testing.T) {
	tests := []struct {
		name       string
		step       berylwork.Step
		guaranteed int
		want       time.Duration
	}{
		{name: "narrow", step: step(1, 2), want: 0},
		{name: "two waves", step: step(4, 1), want: 700 * time.Millisecond},
		{name: "long", step: berylwork.Step{Count: 1, Need: berylroom.Resources{Accelerators: 1}, Estimate: 10_000}, want: 2800 * time.Millisecond},
		{name: "long and guaranteed", step: berylwork.Step{Count: 1, Need: berylroom.Resources{Accelerators: 1}, Estimate: 10_000}, guaranteed: 8, want: _guaranteePatience},
		{name: "short", step: berylwork.Step{Count: 1, Need: berylroom.Resources{Accelerators: 1}, Estimate: 500}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.report("n1", nil)
			b.d.Policy.Accounts = []berylpolicy.Account{{Name: "a", Guaranteed: tt.guaranteed}}
			w := berylwork.Work{ID: "j1", Queue: "urgent", Account: "a", Steps: []berylwork.Step{tt.step}, Accepted: b.now.UnixMilli()}
			u := unit{job: berylbook.NewJob(&w), queue: b.d.Policy.Queues[0]}
			b.d.Book.Jobs = map[string]*berylbook.Job{"j1": u.job}
			u.setTimes(tailsOf(&w, 8))
			b.is.Equal(b.d.preemptAfter(&u), tt.want)
		})
	}
}

// Replays an urgent gang that wants one rack while routine work holds one rack
// and half of another one. Guards against members in two racks, where they take
// three times as long, when stopping work makes room in one.
func TestUrgentGangIsGivenOneRack(t *testing.T) {
	b := newBench(t)
	racks := map[string]string{"n1": "r1-1", "n2": "r1-1", "n3": "r1-2", "n4": "r1-2"}
	nodes := []string{"n1", "n2", "n3", "n4"}
	for _, node := range nodes[:3] {
		b.report(node, func(r *berylreport.Report) { r.Labels = []string{racks[node]} })
	}
	for i := range 3 {
		b.submit("j"+strconv.Itoa(i), "routine", step(1, 8))
	}
	b.report("n4", func(r *berylreport.Report) { r.Labels = []string{racks["n4"]} })
	urgent := gang(2, 8)
	urgent.OneRack = true
	b.submit("u", "urgent", urgent)
	b.pass(400 * time.Millisecond)
	var stopped []string
	for node, o := range b.d.Orders(b.now) {
		if len(o.Stop) > 0 {
			stopped = append(stopped, node)
		}
	}
	b.is.Equal(stopped, []string{"n3"})
}

// Replays routine tasks of one accelerator that come faster than they end, and a
// gang that needs a whole host. Guards against a gang that waits for ever because
// each accelerator that comes free is given to a small task.
func TestGangIsNotStarvedBySmallTasks(t *testing.T) {
	b := newBench(t)
	b.d.Policy.Queues = append(b.d.Policy.Queues, berylpolicy.Queue{Name: "gangs", Service: "s", Priority: 1, Attempts: 2, Stretch: 3})
	b.report("n1", nil)
	n := int64(0)
	next := 0
	begun := map[berylreport.Key]time.Time{}
	for tick := range 120 {
		if tick%2 == 0 {
			b.submit("small"+strconv.Itoa(next), "routine", step(1, 1))
			next++
		}
		if tick == 20 {
			b.submit("gang", "gangs", gang(2, 4))
		}
		b.pass(250 * time.Millisecond)
		b.report("n1", func(r *berylreport.Report) {
			for _, j := range b.d.Book.Sorted() {
				j.Each(func(ref berylwork.Ref, task *berylbook.Task) {
					if !task.Phase.Active() {
						return
					}
					k := berylreport.Key{Task: ref.String(), Run: task.Run}
					if begun[k].IsZero() {
						begun[k] = b.now
					}
					if b.now.Sub(begun[k]) > 5*time.Second {
						n++
						r.Ends = append(r.Ends, end(n, k.Task, k.Run, berylreport.Done))
						return
					}
					r.Runs = append(r.Runs, berylreport.Run{Key: k})
				})
			}
		})
		if tick > 20 && b.phase("gang", 0) != berylbook.Idle {
			return
		}
	}
	t.Fatal("the gang never started")
}

// Replays a gang that comes while a host of its rack is away for a moment. Guards
// against members in two racks, where they take three times as long, and against
// a gang that waits for a host that has left.
func TestGangWaitsForItsRack(t *testing.T) {
	tests := []struct {
		name  string
		leave bool
		want  berylbook.Phase
	}{
		{name: "away for a moment", want: berylbook.Idle},
		{name: "left", leave: true, want: berylbook.Ordered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			racks := map[string]string{"n1": "r1-1", "n2": "r1-1", "n3": "r1-2"}
			for _, node := range []string{"n1", "n2", "n3"} {
				b.report(node, func(r *berylreport.Report) {
					r.Labels = []string{racks[node]}
					r.Unresponsive = node == "n2"
					r.Draining = tt.leave && node == "n2"
				})
			}
			g := gang(2, 8)
			g.OneRack = true
			b.submit("j1", "routine", g)
			b.is.Equal(b.phase("j1", 0), tt.want)
		})
	}
}

// Guards against work that is stopped although there is room on backend servers
// whose agents have not reported to a new leader yet, and against gangs that are
// spread although a rack has room for them.
func TestNewLeaderWaitsForReports(t *testing.T) {
	b := newBench(t)
	b.report("a", nil)
	b.submit("long", "routine", step(1, 8))
	b.report("a", running("long.0.0.0", 1))
	b.d.leadAt = b.now
	b.submit("now", "urgent", gang(2, 4))
	b.pass(_settle - 100*time.Millisecond)
	b.report("a", running("long.0.0.0", 1))
	b.is.Equal(b.phase("long", 0), berylbook.Working)
	b.report("b", nil)
	b.is.Equal(b.d.Book.Jobs["now"].Tasks[0][0][0].Incarnation.Node, "b")
	b.is.Equal(b.phase("long", 0), berylbook.Working)
}

// Replays urgent gangs that come one after the other when every rack is full of
// routine work. Guards against a gang whose room is given to a later, shorter one
// while it is being made, so that ever more work is stopped for the first.
func TestPromisedRoomIsKept(t *testing.T) {
	b := newBench(t)
	stops := func() int {
		n := 0
		for _, j := range b.d.Book.Jobs {
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
		b.report(node, func(r *berylreport.Report) { r.Labels = []string{"r1-" + strconv.Itoa(i%3)} })
		b.submit("j"+strconv.Itoa(i), "routine", step(1, 8))
	}
	long := gang(3, 8)
	long.OneRack, long.Estimate = true, 1600
	b.submit("long", "urgent", long)
	b.pass(200 * time.Millisecond)
	b.is.Equal(stops(), 3)
	short := gang(4, 8)
	short.Estimate = 500
	b.submit("short", "urgent", short)
	for range 5 {
		b.pass(50 * time.Millisecond)
		// The runs that make room for both gangs, and no more.
		b.is.Equal(stops(), 7)
	}
}

// Guards against a long job that is late because shorter ones, which could wait,
// are placed first.
func TestLeastSlackFirst(t *testing.T) {
	b := newBench(t)
	long, short := step(1, 8), step(1, 8)
	long.Estimate, short.Estimate = 6000, 1000
	b.submit("long", "routine", long)
	b.pass(13 * time.Second)
	b.submit("short", "routine", short)
	var order []string
	for _, u := range b.d.waitingUnits(b.now) {
		order = append(order, u.job.Work.ID)
	}
	b.is.Equal(order, []string{"long", "short"})
}

// Replays gangs of urgent work on a rack with a backend server that fails whatever
// it is given while its heartbeats are good. Guards against a job that uses up its
// attempts on that one server, although the gang's other members show which it is
// and another rack has room.
func TestGangLeavesTheServerThatFailed(t *testing.T) {
	b := newBench(t)
	for i := range 6 {
		b.report("n"+strconv.Itoa(i), func(r *berylreport.Report) { r.Labels = []string{"r1-" + strconv.Itoa(i/3)} })
	}
	s := gang(3, 8)
	s.OneRack = true
	b.submit("j1", "urgent", s)
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][0].Incarnation.Node, "n0")
	fail := func(i int) {
		node := "n" + strconv.Itoa(i)
		b.report(node, func(r *berylreport.Report) {
			r.Labels = []string{"r1-" + strconv.Itoa(i/3)}
			r.Ends = []berylreport.End{end(1, "j1.0.0."+strconv.Itoa(i), 1, berylreport.Failed)}
		})
	}
	fail(1)
	for _, i := range []int{0, 2} {
		b.report("n"+strconv.Itoa(i), func(r *berylreport.Report) {
			r.Labels = []string{"r1-0"}
			r.Ends = []berylreport.End{end(1, "j1.0.0."+strconv.Itoa(i), 1, berylreport.GangBroken)}
		})
	}
	var nodes []string
	for _, task := range b.d.Book.Jobs["j1"].Tasks[0][0] {
		b.is.Equal(task.Run, 2)
		nodes = append(nodes, task.Incarnation.Node)
	}
	b.is.Equal(nodes, []string{"n3", "n4", "n5"})
	b.pass(100 * time.Millisecond)
	b.is.True(b.d.blamed["j1.0.0.0"]["n1"])
}

// Guards against work that fails everywhere and brings every backend server that
// it was tried on into doubt.
func TestDoubtOfWorkThatFailsEverywhere(t *testing.T) {
	b := newBench(t)
	b.report("n0", nil)
	b.report("n1", nil)
	m := b.d.members
	b.d.blame(b.now, m["n0"], "j1.0.0.0")
	b.d.blame(b.now, m["n1"], "j1.0.0.0")
	b.is.True(b.d.doubt(b.now, m["n0"]) > 0)
	b.is.Equal(b.d.doubt(b.now, m["n1"]), 0.0)
}
