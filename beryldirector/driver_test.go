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
		LeaseExpiry: 9 * time.Second, LeaderTimeout: 3 * time.Second, Takeover: 2 * time.Second, LeaderLease: 1800 * time.Millisecond,
		Retention: 2 * time.Minute,
		Stop:      400 * time.Millisecond, Reclaim: 2900 * time.Millisecond, GangTimeout: 3 * time.Second,
		Checkpoint: 2 * time.Second, Restore: 250 * time.Millisecond, SpreadFactor: 3,
		Store: berylstore.DefaultLimits(),
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

// harness drives one Director as its entry would, with a topic in memory.
type harness struct {
	is       *is.I
	d        *Director
	now      time.Time
	topicEnd int64
	seq      int64
	boots    map[string]int64
	claims   int
	// holdAppends keeps appends in flight.
	holdAppends bool
	// copyTo is another entry's copy of the records that are appended; nil if there is none.
	copyTo *berylbook.Book
	// ends is the number of the last end that run has listed.
	ends int64
	// onAppend, if set, is called for each record that is appended.
	onAppend func(r berylstore.Record)
	// onPersist, if set, is called for each append that the director asks for.
	onPersist func(p Persist)
	// seen are the finished runs that the director has told about.
	seen []RunTimeSeen
	// ended are the ended jobs that the director has told about.
	ended []JobEnded
	// onNote, if set, is called for each log line of the director.
	onNote func(n Note)
}

func newHarness(t *testing.T) *harness {
	h := &harness{is: is.New(t), now: startTime(), boots: map[string]int64{}}
	h.d = New(Self{Node: "entry-1", Boot: 1, Addr: "10.0.0.9:7000"}, testLimits())
	h.d.Policy = testPolicy()
	h.d.Restore(h.now, berylbook.Book{}, 0)
	h.advance(time.Second)
	h.is.True(h.d.Leading())
	return h
}

// advance advances the time in steps and carries out the effects.
func (h *harness) advance(total time.Duration) {
	const step = 50 * time.Millisecond
	for range max(1, int(total/step)) {
		h.now = h.now.Add(min(step, total))
		h.d.ApplyRecords(h.now, nil, h.topicEnd)
		h.settle()
	}
}

// settle carries out effects until there are none left.
func (h *harness) settle() {
	for range 10 {
		h.d.Step(h.now)
		if h.d.Deferred() {
			h.now = h.now.Add(h.d.placeInterval())
			h.d.Step(h.now)
		}
		effects := h.d.Effects()
		done := true
		for _, e := range effects {
			switch e := e.(type) {
			case Claim:
				h.claims++
				r, err := e.Claim.Record()
				h.is.NoErr(err)
				h.append(r)
				done = false
			case RunTimeSeen:
				h.seen = append(h.seen, e)
			case JobEnded:
				h.ended = append(h.ended, e)
			case Note:
				if h.onNote != nil {
					h.onNote(e)
				}
			case Persist:
				if h.holdAppends {
					continue
				}
				if h.onPersist != nil {
					h.onPersist(e)
				}
				h.append(e.Records...)
				h.d.Committed(h.now)
				done = false
			}
		}
		if done {
			return
		}
	}
}

func (h *harness) append(records ...berylstore.Record) {
	h.topicEnd += int64(len(records))
	if h.onAppend != nil {
		for _, r := range records {
			h.onAppend(r)
		}
	}
	if h.copyTo != nil {
		for _, r := range records {
			h.copyTo.Apply(r)
		}
	}
	h.d.ApplyRecords(h.now, records, h.topicEnd)
}

func (h *harness) submission(id, queue string, steps ...berylwork.Step) berylstore.Record {
	s := berylbook.Submission{Work: berylwork.Work{ID: id, Queue: queue, Steps: steps, Accepted: h.now.UnixMilli()}}
	r, err := s.Record()
	h.is.NoErr(err)
	return r
}

func (h *harness) submit(id, queue string, steps ...berylwork.Step) {
	h.append(h.submission(id, queue, steps...))
	h.settle()
}

// enqueue hands a job to the leader, which may refuse it.
func (h *harness) enqueue(w berylwork.Work) error {
	r, err := (&berylbook.Submission{Work: w}).Record()
	h.is.NoErr(err)
	return h.d.EnqueueRecord(h.now, r)
}

func incarnation(node string) berylbook.Incarnation {
	return berylbook.Incarnation{Node: node, Instance: "i-" + node, StartedAt: 5}
}

// report passes the report of a backend server with eight accelerators. Change, if
// set, edits it first.
func (h *harness) report(node string, change func(r *berylreport.Report)) berylreport.Answer {
	h.seq++
	r := berylreport.Report{
		Node: node, Addr: node + ":7000", Seq: h.seq, Boot: 1, Clock: h.now.UnixMilli(), Incarnation: incarnation(node), Service: "s", Zone: "z1",
		Labels: []string{"a", "r1-1"}, Capacity: berylroom.Resources{Millicores: 64000, Megabytes: 128000, Accelerators: 8}, Listed: true,
	}
	if change != nil {
		change(&r)
	}
	a := h.d.Report(h.now, r)
	h.settle()
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

func (h *harness) phase(id string, index int) berylbook.Phase {
	return h.d.Book.Jobs[id].At(0, 0, index).Phase
}

// tasksOf returns the tasks of the first step of a job.
func tasksOf(j *berylbook.Job) []berylbook.Task {
	tasks := make([]berylbook.Task, j.Step(0, 0).Len())
	for i := range tasks {
		tasks[i] = j.Step(0, 0).Get(i)
	}
	return tasks
}

func end(n int64, task string, run int, how berylreport.EndReason) berylreport.End {
	return berylreport.End{Seq: n, Key: berylreport.Key{Task: task, Run: run}, Reason: how}
}

// listProgress returns a change of a report that lists the first run of tasks of job
// j1, by index, with their progress. A negative value omits the task.
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

// listRun returns a change of a report that lists one run.
func listRun(task string, run int) func(r *berylreport.Report) {
	return func(r *berylreport.Report) {
		r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: task, Run: run}}}
	}
}
