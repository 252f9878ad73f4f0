package beryldirector

import (
	"strconv"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// run submits a job of one task and lets it run on n1 for a time.
func (h *harness) run(id, account string, declared int64, took time.Duration, how berylreport.EndReason) {
	s := step(1, 1)
	s.Estimate = declared
	r := berylbook.Submission{Work: berylwork.Work{ID: id, Queue: "routine", Account: account, Steps: []berylwork.Step{s}, Accepted: h.now.UnixMilli()}}
	record, err := r.Record()
	h.is.NoErr(err)
	h.report("n1", nil)
	h.append(record)
	h.settle()
	h.is.Equal(h.phase(id, 0), berylbook.Ordered)
	for began := h.now; h.now.Sub(began) < took; h.advance(min(took, 500*time.Millisecond)) {
		h.report("n1", listRun(id+".0.0.0", 1))
	}
	h.ends++
	h.report("n1", func(r *berylreport.Report) { r.Ends = []berylreport.End{end(h.ends, id+".0.0.0", 1, how)} })
}

// declaredAs returns a job of one task that is submitted now.
func (h *harness) declaredAs(account string, declared int64) *berylwork.Work {
	s := step(1, 1)
	s.Estimate = declared
	return &berylwork.Work{ID: account, Queue: "routine", Account: account, Steps: []berylwork.Step{s}, Accepted: h.now.UnixMilli()}
}

// Two accounts run the same work, and one of them declares a tenth of it. Guards against
// an earlier place in the order for false declarations, against one that is put off without
// bound by what is declared, and against an order that changes although no run has ended.
func TestFalseDeclarationIsNotPlacedEarlier(t *testing.T) {
	h := newHarness(t)
	q := h.d.Policy.Queues[1]
	h.submit("first", "routine", step(1, 1))
	latest := func(account string, declared int64) time.Time {
		w := h.declaredAs(account, declared)
		return h.d.latestStart(berylbook.NewJob(w), q, berylwork.Ref{Job: w.ID})
	}
	h.is.Equal(latest("honest", 3000).Sub(latest("false", 300)), 2*2700*time.Millisecond) // as declared, while nothing is known
	for i := range 8 {
		h.run("h"+strconv.Itoa(i), "honest", 3000, 3*time.Second, berylreport.Done)
		h.run("f"+strconv.Itoa(i), "false", 300, 3*time.Second, berylreport.Done)
	}
	gain := latest("honest", 3000).Sub(latest("false", 300))
	h.is.True(gain <= 200*time.Millisecond)                            // the steps of the harness
	h.is.True(latest("honest", 1_000_000).Sub(h.now) < 20*time.Second) // no unit waits for ever
}

// Guards against runs that were stopped or failed and are taken for short tasks, and
// against the time of a run that resumed from a checkpoint or ran away from its data.
func TestOnlyWholeRunsAreEnds(t *testing.T) {
	tests := []struct {
		name string
		how  berylreport.EndReason
		step func(s *berylwork.Step, t *berylbook.Task)
		want [2]int // Ends and cuts beside one end.
	}{
		{name: "done", how: berylreport.Done, want: [2]int{1, 0}},
		{name: "failed", how: berylreport.Failed, want: [2]int{0, 1}},
		{name: "stopped", how: berylreport.Stopped, want: [2]int{0, 1}},
		{name: "resumed", how: berylreport.Done, step: func(_ *berylwork.Step, t *berylbook.Task) { t.Checkpoint = "c" }},
		{name: "away from its data", how: berylreport.Done, step: func(s *berylwork.Step, _ *berylbook.Task) { s.Rack = "r9-1" }},
		{name: "lasting", how: berylreport.Done, step: func(s *berylwork.Step, _ *berylbook.Task) { s.LongRunning = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.run("j0", "a", 3000, time.Second, berylreport.Done) // a key is kept from its first end on
			h.report("n1", nil)
			h.submit("j1", "routine", step(1, 1))
			h.advance(time.Second)
			h.report("n1", listRun("j1.0.0.0", 1))
			if tt.step != nil {
				j := h.d.Book.Jobs["j1"]
				tt.step(&j.Work.Steps[0], j.At(0, 0, 0))
			}
			h.report("n1", func(r *berylreport.Report) { r.Ends = []berylreport.End{end(2, "j1.0.0.0", 1, tt.how)} })
			known := h.d.RunTimes(h.now, "routine")[0]
			h.is.Equal([2]int{known.Ends - 1, known.Cuts}, tt.want)
		})
	}
}

// Guards against run times that include the time to start a run and to list its end, by
// which work would be due later than its client was told.
func TestRunTimeIsThatOfTheWork(t *testing.T) {
	tests := []struct {
		name     string
		progress []float64 // every half second
		want     time.Duration
	}{
		{name: "steady", progress: []float64{-1, -1, 20, 45, 70, 95}, want: 2 * time.Second},
		{name: "too little listed", progress: []float64{-1, 0, 0, 0, 0, 20}, want: 3 * time.Second},
		{name: "not listed", progress: []float64{-1, -1, -1, -1, -1, -1}, want: 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.report("n1", nil)
			h.submit("j1", "routine", step(1, 1))
			for _, p := range tt.progress {
				h.advance(500 * time.Millisecond)
				h.report("n1", listProgress(p))
			}
			h.report("n1", func(r *berylreport.Report) { r.Ends = []berylreport.End{end(1, "j1.0.0.0", 1, berylreport.Done)} })
			h.is.Equal(len(h.seen), 1)
			h.is.Equal(h.seen[0].Took.Round(500*time.Millisecond), tt.want) // the harness adds some milliseconds to each step
		})
	}
}

// Guards against a gang that is learned once for each member, and against one wide step
// that displaces all that is known of others.
func TestStepIsOneRun(t *testing.T) {
	for _, s := range []berylwork.Step{gang(7, 1), step(7, 1)} {
		h := newHarness(t)
		h.report("n1", nil)
		h.submit("j1", "routine", s)
		h.advance(time.Second)
		h.report("n1", func(r *berylreport.Report) {
			for i := range 7 {
				r.Ends = append(r.Ends, end(int64(i+1), "j1.0.0."+strconv.Itoa(6-i), 1, berylreport.Done))
			}
		})
		h.is.Equal(h.d.RunTimes(h.now, "routine")[0].Ends, 1)
	}
}

// learn lets jobs of account a run to their ends.
func (h *harness) learn(n int, took time.Duration) {
	for range n {
		h.run("l"+strconv.FormatInt(h.ends, 10)+h.d.Self.Node, "a", 3000, took, berylreport.Done)
	}
}

// successor is another entry that has read the topic up to the lead of h and then becomes
// the leader.
func (h *harness) successor(book berylbook.Book) *harness {
	n := &harness{is: h.is, now: h.now, boots: map[string]int64{}}
	n.d = New(Self{Node: "entry-2", Boot: 1, Addr: "10.0.0.8:7000"}, testLimits())
	n.d.Policy = testPolicy()
	n.topicEnd = h.topicEnd
	n.d.Restore(n.now, book, n.topicEnd)
	n.advance(4 * time.Second)
	n.is.True(n.d.Leading())
	return n
}

func (h *harness) expected() time.Duration {
	return h.d.expect(h.declaredAs("a", 3000), 0).Median.Round(500 * time.Millisecond)
}

// A leader that has learned is followed by another. Guards against a new leader that
// starts from nothing, and against one that fails, or keeps a wrong expectation, because
// the record is lost or malformed.
func TestNewLeaderKnowsRunTimes(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *berylbook.Book)
		want   time.Duration
	}{
		{name: "record", want: time.Second},
		{name: "lost", change: func(b *berylbook.Book) { b.Apply(berylstore.Record{Key: "e/run-times"}) }, want: 3 * time.Second},
		{name: "malformed", change: func(b *berylbook.Book) { b.Apply(berylstore.Record{Key: "e/run-times", Value: []byte("xx")}) }, want: 3 * time.Second},
		{name: "malformed data", change: func(b *berylbook.Book) { b.RunTimes.Data = b.RunTimes.Data[:20] }, want: 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			var book berylbook.Book
			h.copyTo = &book
			h.learn(_minUnsavedRuns, time.Second)
			h.advance(_saveInterval)
			h.is.Equal(h.expected(), time.Second)
			if tt.change != nil {
				tt.change(&book)
			}
			n := h.successor(book)
			h.is.Equal(n.expected(), tt.want)
			n.learn(40, 2*time.Second)
			h.is.Equal(n.expected(), 2*time.Second) // a new leader learns on
		})
	}
}

// Two entries lead in turn. Guards against an entry that leads again with what it knew
// before, and against one that drops what it learned since its own record.
func TestEntryLeadsAgain(t *testing.T) {
	for _, between := range []bool{false, true} {
		h := newHarness(t)
		book := &berylbook.Book{}
		h.copyTo = book
		h.learn(_minUnsavedRuns, time.Second)
		resign := func(h *harness) {
			p, ok := h.d.Resign()
			h.is.True(ok)
			h.append(p.Records...)
			h.is.Equal(book.RunTimes.Epoch, p.Epoch) // the resignation has the newest record
		}
		resign(h)
		want := time.Second
		if between {
			n := h.successor(*book)
			n.copyTo = book
			n.learn(40, 2*time.Second)
			resign(n)
			h.now, h.topicEnd = n.now, n.topicEnd
			want = 2 * time.Second
		}
		h.d.shuttingDown = false
		h.d.Restore(h.now, *book, h.topicEnd)
		h.advance(4 * time.Second)
		h.is.True(h.d.Leading())
		h.is.Equal(h.expected(), want)
	}
}

// Guards against a record for each append: every entry reads it.
func TestRunTimesAreRecordedSeldom(t *testing.T) {
	h := newHarness(t)
	records := 0
	h.onAppend = func(r berylstore.Record) {
		if r.Key == "e/run-times" {
			records++
			h.is.True(len(r.Value) <= _maxRunTimesSize+100)
		}
	}
	began := h.now
	h.learn(60, 300*time.Millisecond)
	h.is.True(records > 0)
	h.is.True(records <= int(h.now.Sub(began)/_saveInterval)+1)
	before := records
	h.advance(2 * _saveInterval)
	h.is.True(records <= before+1) // nothing new to record
}
