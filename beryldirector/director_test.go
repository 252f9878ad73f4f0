package beryldirector

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylpolicy"
	"berylglade/berylreport"
	"berylglade/berylroom"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

func testLimits() Limits {
	return Limits{
		Lost: 9 * time.Second, Takeover: 2 * time.Second, Sure: 1800 * time.Millisecond,
		Gang: 3 * time.Second, Kept: 2 * time.Minute,
	}
}

func begin() time.Time { return time.UnixMilli(1_000_000) }

func testPolicy() *berylpolicy.Policy {
	return &berylpolicy.Policy{
		Version: 1,
		Queues: []berylpolicy.Queue{
			{Name: "urgent", Service: "s", Priority: 0, Attempts: 2, Stretch: 1.5},
			{Name: "routine", Service: "s", Priority: 2, Attempts: 2, Stretch: 3},
		},
		Services: map[string]berylpolicy.Service{"s": {Name: "s"}},
	}
}

// bench drives one director as its entry would, with a topic in memory.
type bench struct {
	is     *is.I
	d      *Director
	now    time.Time
	end    int64
	seq    int64
	boots  map[string]int64
	claims int
	// hold keeps appends outstanding.
	hold bool
}

func newBench(t *testing.T) *bench {
	b := &bench{is: is.New(t), now: begin(), boots: map[string]int64{}}
	b.d = New(Self{Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}, testLimits())
	b.d.Policy = testPolicy()
	b.d.Restore(b.now, berylbook.Book{}, 0)
	b.pass(time.Second)
	b.is.True(b.d.Leading())
	return b
}

// pass lets time go by in steps and carries the effects out.
func (b *bench) pass(total time.Duration) {
	const step = 50 * time.Millisecond
	for range max(1, int(total/step)) {
		b.now = b.now.Add(min(step, total))
		b.d.Read(b.now, nil, b.end)
		b.settle()
	}
}

func (b *bench) settle() {
	for range 10 {
		b.d.Step(b.now)
		if b.d.Later() {
			b.now = b.now.Add(_placeEvery)
			b.d.Step(b.now)
		}
		effects := b.d.Effects()
		done := true
		for _, e := range effects {
			switch e := e.(type) {
			case Claim:
				b.claims++
				r, err := e.Claim.Record()
				b.is.NoErr(err)
				b.append(r)
				done = false
			case Persist:
				if b.hold {
					continue
				}
				b.append(e.Records...)
				b.d.Committed(b.now)
				done = false
			}
		}
		if done {
			return
		}
	}
}

func (b *bench) append(records ...berylstore.Record) {
	b.end += int64(len(records))
	b.d.Read(b.now, records, b.end)
}

func (b *bench) submit(id, queue string, steps ...berylwork.Step) {
	s := berylbook.Submission{Work: berylwork.Work{ID: id, Queue: queue, Steps: steps, Accepted: b.now.UnixMilli()}}
	r, err := s.Record()
	b.is.NoErr(err)
	b.append(r)
	b.settle()
}

func place(node string) berylbook.Place {
	return berylbook.Place{Node: node, Instance: "i-" + node, Born: 5}
}

// report sends a report of a backend server with eight accelerators.
func (b *bench) report(node string, change func(r *berylreport.Report)) berylreport.Answer {
	b.seq++
	r := berylreport.Report{
		Node: node, Addr: node + ":7000", Seq: b.seq, Boot: 1, Place: place(node), Service: "s", Zone: "z1",
		Labels: []string{"a", "r1-1"}, Room: berylroom.Room{Millicores: 64000, Megabytes: 128000, Accelerators: 8}, Looked: true,
	}
	if change != nil {
		change(&r)
	}
	a := b.d.Report(b.now, r)
	b.settle()
	return a
}

func step(count, accelerators int) berylwork.Step {
	return berylwork.Step{Count: count, Need: berylroom.Room{Millicores: 1000, Accelerators: accelerators}, Estimate: 2000}
}

func gang(count, accelerators int) berylwork.Step {
	s := step(count, accelerators)
	s.Gang = true
	return s
}

func (b *bench) phase(id string, index int) berylbook.Phase {
	return b.d.Book.Jobs[id].Tasks[0][0][index].Phase
}

func end(n int64, task string, run int, how berylreport.How) berylreport.End {
	return berylreport.End{N: n, Key: berylreport.Key{Task: task, Run: run}, How: how}
}

// Guards against a start that is ordered before its record is in the topic: a
// successor would not know of the run and start the task again.
func TestStartIsOrderedAfterItsRecord(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.hold = true
	b.submit("j1", "routine", step(1, 1))
	b.is.Equal(b.phase("j1", 0), berylbook.Ordered)
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Start), 0)
	b.hold = false
	b.d.Committed(b.now)
	b.settle()
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Start), 1)
}

// Guards against an end that the backend server forgets before it is recorded.
func TestEndIsNotedAfterItsRecord(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(1, 1))
	b.hold = true
	a := b.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	b.is.Equal(b.d.Book.Jobs["j1"].State, berylbook.Completed)
	b.is.Equal(a.Noted, int64(0))
	b.hold = false
	b.d.Committed(b.now)
	b.settle()
	b.is.Equal(b.d.Orders(b.now)["n1"].Noted, int64(1))
}

// Guards against a second run while the first may exist, for each way in which a
// run may or may not be over.
func TestNextRunWaitsForTheLast(t *testing.T) {
	tests := []struct {
		name   string
		wait   time.Duration
		change func(r *berylreport.Report)
		want   int
	}{
		{name: "agent silent for a short time", wait: 8 * time.Second, want: 1},
		{name: "agent silent for longer than the lease", wait: 10 * time.Second, want: 2},
		{name: "run does not exist", change: func(r *berylreport.Report) {
			r.Absent = []berylreport.Key{{Task: "j1.0.0.0", Run: 1}}
		}, want: 2},
		{name: "run was stopped", change: func(r *berylreport.Report) {
			r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Stopped)}
		}, want: 2},
		{name: "born again", change: func(r *berylreport.Report) { r.Place.Born = 6 }, want: 2},
		{name: "lease ran out", change: func(r *berylreport.Report) { r.Lapsed = true }, want: 2},
		{name: "end of another run", change: func(r *berylreport.Report) {
			r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}}
			r.Ends = []berylreport.End{end(1, "j1.0.0.0", 7, berylreport.Failed)}
		}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.report("n1", nil)
			b.submit("j1", "routine", step(1, 1))
			b.report("n1", func(r *berylreport.Report) {
				r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}}
			})
			b.is.Equal(b.phase("j1", 0), berylbook.Working)
			if tt.wait > 0 {
				b.pass(tt.wait)
			}
			b.report("n2", nil)
			if tt.change != nil {
				b.report("n1", tt.change)
			}
			b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][0].Run, tt.want)
		})
	}
}

// Guards against a job that fails before its attempts are used up, and against a
// gang whose members each count the same failure.
func TestAttempts(t *testing.T) {
	tests := []struct {
		name string
		step berylwork.Step
		ends []berylreport.End
		want berylbook.State
	}{
		{name: "one failure", step: step(2, 1), ends: []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Failed)}, want: berylbook.Pending},
		{name: "two failures of one task", step: step(2, 1), ends: []berylreport.End{
			end(1, "j1.0.0.0", 1, berylreport.Failed), end(2, "j1.0.0.0", 2, berylreport.Failed),
		}, want: berylbook.Failed},
		{name: "one failure of each of two tasks", step: step(2, 1), ends: []berylreport.End{
			end(1, "j1.0.0.0", 1, berylreport.Failed), end(2, "j1.0.0.1", 1, berylreport.Failed),
		}, want: berylbook.Pending},
		{name: "both members of a gang", step: gang(2, 1), ends: []berylreport.End{
			end(1, "j1.0.0.0", 1, berylreport.Failed), end(2, "j1.0.0.1", 1, berylreport.Failed),
		}, want: berylbook.Pending},
		{name: "lapsed runs", step: step(2, 1), ends: []berylreport.End{
			end(1, "j1.0.0.0", 1, berylreport.Lapsed), end(2, "j1.0.0.0", 2, berylreport.Lapsed),
		}, want: berylbook.Pending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.report("n1", nil)
			b.submit("j1", "routine", tt.step)
			for i := range tt.ends {
				b.report("n1", func(r *berylreport.Report) { r.Ends = tt.ends[:i+1] })
			}
			b.is.Equal(b.d.Book.Jobs["j1"].State, tt.want)
		})
	}
}

// Guards against members of a finished gang being taken for unknown runs: they
// were stopped, and their hosts got no work.
func TestMembersOfADoneGangAreKnown(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", gang(2, 4))
	runs := []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}, {Key: berylreport.Key{Task: "j1.0.0.1", Run: 1}}}
	b.report("n1", func(r *berylreport.Report) { r.Runs = runs })
	b.report("n1", func(r *berylreport.Report) {
		r.Runs = runs[1:]
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	b.is.Equal(b.d.Book.Jobs["j1"].State, berylbook.Completed)
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Stop), 0)
}

// Guards against starts that are given up because the store is slow: they were
// never sent.
func TestStartPatienceBeginsWithTheRecord(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.hold = true
	b.submit("j1", "routine", step(1, 1))
	b.pass(3 * time.Second)
	b.is.Equal(b.phase("j1", 0), berylbook.Ordered)
	b.hold = false
	b.d.Committed(b.now)
	b.pass(time.Second)
	b.is.Equal(b.phase("j1", 0), berylbook.Ordered)
	b.pass(time.Second)
	b.is.Equal(b.phase("j1", 0), berylbook.Stopping)
}

// Guards against a job whose tasks go on after its cancel, or that is shown as
// cancelled while they may.
func TestCancelStopsAndSettles(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(1, 1))
	b.report("n1", func(r *berylreport.Report) {
		r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "j1.0.0.0", Run: 1}}}
	})
	c := berylbook.Cancel{At: b.now.UnixMilli()}
	r, err := c.Record("j1")
	b.is.NoErr(err)
	b.append(r)
	b.settle()
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Stop), 1)
	b.is.Equal(b.d.Book.Jobs["j1"].State, berylbook.Pending)
	b.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Stopped)}
	})
	b.is.Equal(b.d.Book.Jobs["j1"].State, berylbook.Cancelled)
}

// Guards against progress that an earlier leader wrote undoing what this one
// knows, when the topic is read again from its newest records.
func TestReloadKeepsTheLeadersBook(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(1, 1))
	old, err := b.d.Book.Jobs["j1"].Record(0)
	b.is.NoErr(err)
	b.hold = true
	b.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	b.d.Read(b.now, []berylstore.Record{old}, b.end)
	b.is.Equal(b.phase("j1", 0), berylbook.Done)
}

// Guards against a claim by an entry whose book may hold what was never
// recorded.
func TestNoClaimBeforeTheBookIsReadAgain(t *testing.T) {
	b := newBench(t)
	b.d.Deposed()
	claims := b.claims
	b.pass(5 * time.Second)
	b.is.Equal(b.claims, claims)
	b.d.Restore(b.now, b.d.Book, b.end)
	b.pass(5 * time.Second)
	b.is.True(b.claims > claims)
}

// Guards against an answer that extends leases after another entry may lead.
func TestAnswerCountsOnlyWhileSure(t *testing.T) {
	b := newBench(t)
	b.is.True(b.report("n1", nil).Led)
	b.hold = true
	b.pass(3 * time.Second)
	b.is.True(!b.report("n1", nil).Led)
}

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
	b.submit("j2", "urgent", gang(2, 2))
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
				r.Ends = append(r.Ends, berylreport.End{N: int64(len(r.Ends) + 1), Key: run.Key, How: berylreport.Stopped})
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
		{name: "silent", change: func(r *berylreport.Report) { r.Silent = true }},
		{name: "not listed yet", change: func(r *berylreport.Report) { r.Looked = false }},
		{name: "other service", change: func(r *berylreport.Report) { r.Service = "t" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.d.Policy.Out = map[string]bool{"z1": tt.out}
			b.report("n1", tt.change)
			b.submit("j1", "urgent", step(1, 1))
			b.is.Equal(b.phase("j1", 0), berylbook.Idle)
		})
	}
}

// Guards against a step that starts before the steps it is after have ended, and
// an occurrence before its time.
func TestOrderAndTime(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	second := step(1, 1)
	second.After = []int{0}
	b.submit("j1", "routine", step(1, 1), second)
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][1][0].Phase, berylbook.Idle)
	b.report("n1", func(r *berylreport.Report) {
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][1][0].Phase, berylbook.Ordered)

	s := berylbook.Submission{Work: berylwork.Work{
		ID: "j2", Queue: "routine", Steps: []berylwork.Step{step(1, 1)}, Times: 2,
		First: b.now.Add(time.Second).UnixMilli(), Interval: 2000,
	}}
	r, err := s.Record()
	b.is.NoErr(err)
	b.append(r)
	b.pass(900 * time.Millisecond)
	b.is.Equal(b.d.Book.Jobs["j2"].Tasks[0][0][0].Phase, berylbook.Idle)
	b.report("n1", nil)
	b.pass(200 * time.Millisecond)
	b.is.Equal(b.d.Book.Jobs["j2"].Tasks[0][0][0].Phase, berylbook.Ordered)
	b.is.Equal(b.d.Book.Jobs["j2"].Tasks[1][0][0].Phase, berylbook.Idle)
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
		{name: "narrow", step: step(1, 2), want: 300 * time.Millisecond},
		{name: "two waves", step: step(4, 1), want: 1300 * time.Millisecond},
		{name: "long", step: berylwork.Step{Count: 1, Need: berylroom.Room{Accelerators: 1}, Estimate: 10_000}, want: 4300 * time.Millisecond},
		{name: "long and guaranteed", step: berylwork.Step{Count: 1, Need: berylroom.Room{Accelerators: 1}, Estimate: 10_000}, guaranteed: 8, want: _guaranteePatience},
		{name: "short", step: berylwork.Step{Count: 1, Need: berylroom.Room{Accelerators: 1}, Estimate: 500}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.report("n1", nil)
			b.d.Policy.Accounts = []berylpolicy.Account{{Name: "a", Guaranteed: tt.guaranteed}}
			w := berylwork.Work{ID: "j1", Queue: "urgent", Account: "a", Steps: []berylwork.Step{tt.step}, Accepted: b.now.UnixMilli()}
			u := unit{job: berylbook.NewJob(&w), queue: b.d.Policy.Queues[0]}
			b.d.Book.Jobs = map[string]*berylbook.Job{"j1": u.job}
			b.d.times(&u, 8)
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

// listed returns a change of a report that lists runs of n tasks of job j1 with
// their progress.
func listed(progress ...float64) func(r *berylreport.Report) {
	return func(r *berylreport.Report) {
		r.Runs = nil
		for i, p := range progress {
			if p < 0 {
				continue
			}
			r.Runs = append(r.Runs, berylreport.Run{Key: berylreport.Key{Task: "j1.0.0." + strconv.Itoa(i), Run: 1}, Progress: p})
		}
	}
}

// Replays a backend server on which tasks stand still or crawl while their
// siblings elsewhere go on. Guards against tasks that wait there until it
// recovers, and against restarts of tasks that are merely long.
func TestRescue(t *testing.T) {
	tests := []struct {
		name string
		// rate is the progress of the task on n1 in percent a second; the one on
		// n2 makes ten.
		rate    float64
		stallAt float64
		want    berylbook.Phase
	}{
		{name: "like its siblings", rate: 9, want: berylbook.Working},
		{name: "somewhat slower", rate: 5, want: berylbook.Working},
		{name: "crawls", rate: 1, want: berylbook.Stopping},
		{name: "stands still", rate: 10, stallAt: 8, want: berylbook.Stopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			full := func(r *berylreport.Report) { r.Room.Accelerators = 1 }
			b.report("n1", full)
			b.report("n2", func(r *berylreport.Report) { r.Room.Accelerators = 2 })
			b.submit("j1", "routine", step(3, 1))
			tasks := b.d.Book.Jobs["j1"].Tasks[0][0]
			var sick int
			for i := range tasks {
				if tasks[i].Place.Node == "n1" {
					sick = i
				}
			}
			for i := range 16 {
				b.pass(500 * time.Millisecond)
				seconds := float64(i) / 2
				progress := []float64{10 * seconds, 10 * seconds, 10 * seconds}
				slow := tt.rate * seconds
				if tt.stallAt > 0 {
					slow = min(slow, tt.stallAt)
				}
				mine := []float64{-1, -1, -1}
				mine[sick] = slow + 0.1
				progress[sick] = -1
				b.report("n1", func(r *berylreport.Report) { full(r); listed(mine...)(r) })
				b.report("n2", func(r *berylreport.Report) { r.Room.Accelerators = 2; listed(progress...)(r) })
				b.report("n3", nil)
				if b.d.Book.Jobs["j1"].Tasks[0][0][sick].Phase == berylbook.Stopping {
					break
				}
			}
			b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][sick].Phase, tt.want)
		})
	}
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
					r.Silent = node == "n2"
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

// Guards against the lead on a VM that is too small for the reports of all agents
// while larger ones are there.
func TestSmallEntriesClaimLast(t *testing.T) {
	is := is.New(t)
	for epoch := range int64(20) {
		small := New(Self{Node: "small", Cores: 0.192}, testLimits())
		large := New(Self{Node: "large", Cores: 0.8}, testLimits())
		is.True(small.delay(epoch) > large.delay(epoch))
	}
}

// Guards against an end that is overlooked because the backend server has left by
// the time of the report: the task was started again after its end (mix day of
// qvmlw-pollen, seed 914984060784).
func TestEndsCountBeforeALapse(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(2, 1))
	b.report("n2", nil)
	b.report("n1", func(r *berylreport.Report) {
		r.Silent, r.Lapsed = true, true
		r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}
	})
	b.is.Equal(b.phase("j1", 0), berylbook.Done)
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][0].Run, 1)
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][1].Run, 2)
}

// Guards against an end of the last life of a backend server that is overlooked
// because it was born again before the report.
func TestEndsOfTheLastLifeCount(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	b.submit("j1", "routine", step(2, 1))
	b.report("n1", func(r *berylreport.Report) {
		r.Past = berylreport.Past{Place: r.Place, Ends: []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)}}
		r.Place.Born++
	})
	b.is.Equal(b.phase("j1", 0), berylbook.Done)
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][1].Run, 2)
}

// Guards against a crash of a new leader that judges a gang whose first member is
// on a backend server that has not reported yet.
func TestTrackOfAnUnknownMember(t *testing.T) {
	is := is.New(t)
	var m *member
	is.Equal(m.track(berylreport.Key{Task: "j1.0.0.0", Run: 1}).total(), time.Duration(0))
}

// Guards against a backend server without work for seconds after an election: an
// agent that finds the last leader silent asks entries, and one that can't read
// the topic still names the leader that was deposed.
func TestStaleEntryNamesNoLeader(t *testing.T) {
	b := newBench(t)
	other := New(Self{Node: "entry-2", Boot: 1, Addr: "10.0.0.8:7000"}, testLimits())
	r, err := b.d.Book.Claim.Record()
	b.is.NoErr(err)
	other.Read(b.now, []berylstore.Record{r}, 1)
	b.is.Equal(other.Report(b.now, berylreport.Report{Node: "a"}).Leader, b.d.Self.Addr)
	later := b.now.Add(_fresh + time.Millisecond)
	b.is.Equal(other.Report(later, berylreport.Report{Node: "a"}).Leader, "")
}

// Guards against agents that find a new leader only when the last one has not
// answered for a while.
func TestLeaderAnnouncesItself(t *testing.T) {
	is := is.New(t)
	d := New(Self{Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}, testLimits())
	d.Restore(begin(), berylbook.Book{}, 0)
	c := berylbook.Claim{Epoch: 1, Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}
	r, err := c.Record()
	is.NoErr(err)
	d.Read(begin(), []berylstore.Record{r}, 1)
	announced := 0
	for _, e := range d.Effects() {
		if a, ok := e.(Announce); ok {
			is.Equal(a.Epoch, int64(1))
			announced++
		}
	}
	is.Equal(announced, 1)
}

// running changes a report to list one run.
func running(task string, run int) func(r *berylreport.Report) {
	return func(r *berylreport.Report) {
		r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: task, Run: run}}}
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
	b.is.Equal(b.d.Book.Jobs["now"].Tasks[0][0][0].Place.Node, "b")
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

// Guards against a system without a leader for another half second after a power
// loss, because clients' records reached the topic just before the claim.
func TestClaimIsRepeatedWhenTheTopicHasMoved(t *testing.T) {
	is := is.New(t)
	d := New(Self{Node: "entry-1", Boot: 2, Addr: "10.0.0.9:7000"}, testLimits())
	now := begin()
	claims := func() int {
		n := 0
		d.Step(now)
		for _, e := range d.Effects() {
			if c, ok := e.(Claim); ok {
				n++
				is.Equal(c.At, d.end)
			}
		}
		return n
	}
	d.Restore(now, berylbook.Book{Claim: berylbook.Claim{Epoch: 1, Node: "entry-1", Boot: 1}}, 7)
	is.Equal(claims(), 1)
	d.ClaimMoved(Claim{At: 7})
	now = now.Add(10 * time.Millisecond)
	is.Equal(claims(), 0)
	d.Read(now, nil, 8)
	is.Equal(claims(), 1)
}

// Replays a job that is handed in while the store takes a quarter of a second for
// each append. Guards against a start that waits for two appends and a read.
func TestOneAppendTakesAJobAndItsStart(t *testing.T) {
	b := newBench(t)
	b.report("n1", nil)
	s := berylbook.Submission{Work: berylwork.Work{ID: "j1", Queue: "urgent", Steps: []berylwork.Step{step(1, 1)}, Accepted: b.now.UnixMilli()}}
	r, err := s.Record()
	b.is.NoErr(err)
	b.now = b.now.Add(_placeEvery)
	b.is.True(b.d.Enter(b.now, r))
	b.d.Step(b.now)
	var persists []Persist
	for _, e := range b.d.Effects() {
		if p, ok := e.(Persist); ok {
			persists = append(persists, p)
		}
	}
	b.is.Equal(len(persists), 1)
	b.is.Equal(persists[0].Records[0].Key, r.Key)
	b.is.Equal(b.phase("j1", 0), berylbook.Ordered)
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Start), 0)
	b.append(persists[0].Records...)
	b.d.Committed(b.now)
	b.is.Equal(len(b.d.Orders(b.now)["n1"].Start), 1)
}

// Guards against a job that only an entry knows which does not lead any more: its
// client would be told that it was accepted.
func TestDeposedLeaderForgetsWhatItWasHanded(t *testing.T) {
	b := newBench(t)
	s := berylbook.Submission{Work: berylwork.Work{ID: "j1", Queue: "urgent", Steps: []berylwork.Step{step(1, 1)}}}
	r, err := s.Record()
	b.is.NoErr(err)
	b.hold = true
	b.is.True(b.d.Enter(b.now, r))
	b.d.Deposed()
	b.d.Effects()
	b.is.True(!b.d.Enter(b.now, r))
	b.d.Step(b.now.Add(time.Second))
	for _, e := range b.d.Effects() {
		_, persist := e.(Persist)
		b.is.True(!persist)
	}
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
	b.is.Equal(b.d.Book.Jobs["j1"].Tasks[0][0][0].Place.Node, "n0")
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
			r.Ends = []berylreport.End{end(1, "j1.0.0."+strconv.Itoa(i), 1, berylreport.Broken)}
		})
	}
	var nodes []string
	for _, task := range b.d.Book.Jobs["j1"].Tasks[0][0] {
		b.is.Equal(task.Run, 2)
		nodes = append(nodes, task.Place.Node)
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

// Guards against a leader that gives up although its append was answered while a
// peer was asked, and against an entry that claims against a newer leader.
func TestYield(t *testing.T) {
	b := newBench(t)
	b.hold = true
	b.submit("j1", "routine", step(1, 1))
	b.pass(_probeAfter - 100*time.Millisecond)
	b.is.True(!b.d.Yield(b.now, b.d.Epoch()))
	b.pass(time.Second)
	b.is.True(!b.d.Yield(b.now, b.d.Epoch()-1))
	epoch := b.d.Epoch()
	b.is.True(b.d.Yield(b.now, epoch))
	b.is.True(!b.d.Leading())
	b.is.True(!b.report("n1", nil).Led)

	other := New(Self{Node: "entry-2", Boot: 1, Addr: "10.0.0.8:7000"}, testLimits())
	claims := func() bool {
		other.Step(b.now)
		for _, e := range other.Effects() {
			if _, ok := e.(Claim); ok {
				return true
			}
		}
		return false
	}
	other.Restore(b.now, berylbook.Book{Claim: berylbook.Claim{Epoch: epoch, Node: "entry-1", Boot: 1}}, 9)
	other.Yielded(epoch - 1)
	b.is.True(!claims())
	other.Yielded(epoch)
	b.is.True(claims())
}
