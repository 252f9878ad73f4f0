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
		LeaseExpiry: 9 * time.Second, Takeover: 2 * time.Second, LeaderLease: 1800 * time.Millisecond,
		Retention: 2 * time.Minute,
	}
}

func startTime() time.Time { return time.UnixMilli(1_000_000) }

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
type harness struct {
	is       *is.I
	d        *Director
	now      time.Time
	topicEnd int64
	seq      int64
	boots    map[string]int64
	claims   int
	// hold keeps appends outstanding.
	holdAppends bool
}

func newHarness(t *testing.T) *harness {
	b := &harness{is: is.New(t), now: startTime(), boots: map[string]int64{}}
	b.d = New(Self{Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}, testLimits())
	b.d.Policy = testPolicy()
	b.d.Restore(b.now, berylbook.Book{}, 0)
	b.advance(time.Second)
	b.is.True(b.d.Leading())
	return b
}

// pass lets time go by in steps and carries the effects out.
func (b *harness) advance(total time.Duration) {
	const step = 50 * time.Millisecond
	for range max(1, int(total/step)) {
		b.now = b.now.Add(min(step, total))
		b.d.ApplyRecords(b.now, nil, b.topicEnd)
		b.settle()
	}
}

func (b *harness) settle() {
	for range 10 {
		b.d.Step(b.now)
		if b.d.PlacementDeferred() {
			b.now = b.now.Add(_placeInterval)
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
				if b.holdAppends {
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

func (b *harness) append(records ...berylstore.Record) {
	b.topicEnd += int64(len(records))
	b.d.ApplyRecords(b.now, records, b.topicEnd)
}

func (b *harness) submit(id, queue string, steps ...berylwork.Step) {
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
func (b *harness) report(node string, change func(r *berylreport.Report)) berylreport.Answer {
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

func (b *harness) phase(id string, index int) berylbook.Phase {
	return b.d.Book.Jobs[id].Tasks[0][0][index].Phase
}

func end(n int64, task string, run int, how berylreport.How) berylreport.End {
	return berylreport.End{N: n, Key: berylreport.Key{Task: task, Run: run}, How: how}
}

// listed returns a change of a report that lists runs of n tasks of job j1 with
// their progress.
func listProgress(progress ...float64) func(r *berylreport.Report) {
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
func listRun(task string, run int) func(r *berylreport.Report) {
	return func(r *berylreport.Report) {
		r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: task, Run: run}}}
	}
}
