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
		Kept: 2 * time.Minute,
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

func place(node string) berylbook.Incarnation {
	return berylbook.Incarnation{Node: node, Instance: "i-" + node, StartedAt: 5}
}

// report sends a report of a backend server with eight accelerators.
func (b *bench) report(node string, change func(r *berylreport.Report)) berylreport.Answer {
	b.seq++
	r := berylreport.Report{
		Node: node, Addr: node + ":7000", Seq: b.seq, Boot: 1, Incarnation: place(node), Service: "s", Zone: "z1",
		Labels: []string{"a", "r1-1"}, Capacity: berylroom.Resources{Millicores: 64000, Megabytes: 128000, Accelerators: 8}, Listed: true,
	}
	if change != nil {
		change(&r)
	}
	a := b.d.Report(b.now, r)
	b.settle()
	return a
}

func step(count, accelerators int) berylwork.Step {
	return berylwork.Step{Count: count, Need: berylroom.Resources{Millicores: 1000, Accelerators: accelerators}, Estimate: 2000}
}

func gang(count, accelerators int) berylwork.Step {
	s := step(count, accelerators)
	s.Gang = true
	return s
}

func (b *bench) phase(id string, index int) berylbook.Phase {
	return b.d.Book.Jobs[id].Tasks[0][0][index].Phase
}

func end(n int64, task string, run int, how berylreport.EndReason) berylreport.End {
	return berylreport.End{Seq: n, Key: berylreport.Key{Task: task, Run: run}, Reason: how}
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

// running changes a report to list one run.
func running(task string, run int) func(r *berylreport.Report) {
	return func(r *berylreport.Report) {
		r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: task, Run: run}}}
	}
}
