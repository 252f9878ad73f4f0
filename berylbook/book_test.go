package berylbook

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"berylglade/berylroom"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

func records(is *is.I) []berylstore.Record {
	work := berylwork.Work{ID: "j1", Queue: "q", Account: "a", Steps: []berylwork.Step{{Count: 2}}, Times: 2}
	j := NewJob(&work)
	first, err := (&Submission{Work: work}).Record()
	is.NoErr(err)
	*j.At(0, 0, 1) = workingTask()
	recorded := &Recorded{}
	list := append([]berylstore.Record{first}, changes(is, j, recorded)...)
	j.At(0, 0, 1).Phase = Done
	list = append(list, changes(is, j, recorded)...)
	cancel, err := (&Cancel{At: 9}).Record("j1")
	is.NoErr(err)
	claim, err := (&Claim{Epoch: 7, Node: "e"}).Record()
	is.NoErr(err)
	return append(list, cancel, claim)
}

func workingTask() Task {
	return Task{Run: 3, Phase: Working, Incarnation: Incarnation{Node: "n", Instance: "i", StartedAt: 4}, Failures: 1, Checkpoint: "s"}
}

// tasksOf returns the tasks with progress.
func tasksOf(j *Job) map[berylwork.Ref]Task {
	tasks := map[berylwork.Ref]Task{}
	j.Each(func(ref berylwork.Ref, t *Task) {
		if *t != (Task{}) {
			tasks[ref] = *t
		}
	})
	return tasks
}

// room has room for a number of records of any size.
func room(records int) Room {
	return Room{Records: records, Bytes: 1 << 30, Limits: berylstore.DefaultLimits()}
}

func changes(is *is.I, j *Job, recorded *Recorded) []berylstore.Record {
	list, more, err := j.Changes(7, recorded, room(1<<20))
	is.NoErr(err)
	is.True(!more)
	return list
}

// newestOf returns the newest record of each key, without deleted ones.
func newestOf(list []berylstore.Record) []berylstore.Record {
	newest := map[string]berylstore.Record{}
	for _, r := range list {
		newest[r.Key] = r
	}
	maps.DeleteFunc(newest, func(_ string, r berylstore.Record) bool { return len(r.Value) == 0 })
	return slices.Collect(maps.Values(newest))
}

// Guards against a state that depends on how the records are read: the newest
// record of each key, in any order as after a restart, must give the same state
// as the whole log.
func TestNewestRecordsSuffice(t *testing.T) {
	is := is.New(t)
	var all Book
	for _, r := range records(is) {
		all.Apply(r)
	}
	newest := newestOf(records(is))
	for range 20 {
		rand.Shuffle(len(newest), func(i, j int) { newest[i], newest[j] = newest[j], newest[i] })
		var some Book
		for _, r := range newest {
			some.Apply(r)
		}
		is.Equal(tasksOf(some.Jobs["j1"]), tasksOf(all.Jobs["j1"]))
		is.Equal(some.Jobs["j1"].ClientState(), Cancelled)
		is.Equal(some.Claim, all.Claim)
	}
}

// Guards against a repeated submission that resets its job, and against a job
// that remains after its tombstones.
func TestSubmissionIsAppliedOnceAndRemovable(t *testing.T) {
	is := is.New(t)
	var b Book
	list := records(is)
	for _, r := range list[:3] {
		b.Apply(r)
	}
	b.Apply(list[0])
	is.Equal(b.Jobs["j1"].At(0, 0, 1).Run, 3)
	is.Equal(len(b.Sorted()), 1)
	for _, r := range b.Jobs["j1"].Tombstones() {
		b.Apply(r)
	}
	is.Equal(len(b.Jobs), 0)
	is.Equal(len(b.Sorted()), 0)
}

// Guards against an undecodable record of another writer that corrupts the
// state.
func TestUndecodableRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	var b Book
	list := records(is)
	b.Apply(list[0])
	for _, key := range []string{"j/j1", "s/j1", "c/j1", "t/j1.0.0.0", "t/j1.0.0.7", "t/j1", "leader", "other"} {
		b.Apply(berylstore.Record{Key: key, Value: []byte{0xff, 0x00}})
	}
	is.Equal(b.Undecodable, 5)
	is.Equal(b.Jobs["j1"].ClientState(), Pending)
}

// Guards against counting jobs as waiting that have started, were cancelled or are
// scheduled, and against leaving out those whose starts were ordered and never carried out.
func TestWaitingCountsUnstartedJobs(t *testing.T) {
	is := is.New(t)
	var b Book
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		w := berylwork.Work{ID: id, Queue: "q", Steps: []berylwork.Step{{Count: 1}}}
		if id == "j4" {
			w.Times = 3
		}
		r, err := (&Submission{Work: w}).Record()
		is.NoErr(err)
		b.Apply(r)
	}
	is.Equal(b.Waiting("q"), 3)
	b.Jobs["j2"].CancelledAt = 5
	is.Equal(b.Waiting("other"), 0)
	tests := []struct {
		name string
		give Task
		want int
	}{
		{name: "nothing ordered", want: 2},
		{name: "ordered", give: Task{Run: 1, Phase: Ordered}, want: 2},
		{name: "refused", give: Task{Run: 4}, want: 2},
		{name: "listed", give: Task{Run: 1, Phase: Working}, want: 1},
		{name: "listed before", give: Task{Run: 1, Begun: true}, want: 1},
		{name: "failed", give: Task{Run: 1, Failures: 1}, want: 1},
		{name: "done", give: Task{Run: 1, Phase: Done}, want: 1},
		{name: "checkpoint", give: Task{Run: 1, Checkpoint: "c"}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			*b.Jobs["j1"].At(0, 0, 0) = tt.give
			is.Equal(b.Waiting("q"), tt.want)
			state := Pending
			if tt.want == 1 {
				state = Running
			}
			if tt.give.Phase != Done {
				is.Equal(b.Jobs["j1"].ClientState(), state)
			}
		})
	}
}

// Guards against a record that ends every process that reads it, at each restart again:
// one with a negative or a huge number of tasks, with a dependency on a step that does
// not exist, or with the tasks of another job.
func TestInvalidJobsAreIgnored(t *testing.T) {
	tests := []struct {
		name string
		work berylwork.Work
	}{
		{name: "no steps", work: berylwork.Work{}},
		{name: "negative count", work: berylwork.Work{Steps: []berylwork.Step{{Count: -1}}}},
		{name: "huge count", work: berylwork.Work{Steps: []berylwork.Step{{Count: 1 << 40}}}},
		{name: "huge number of occurrences", work: berylwork.Work{Times: 1 << 40, Steps: []berylwork.Step{{Count: 1}}}},
		{name: "many in total", work: berylwork.Work{Times: 100, Steps: []berylwork.Step{{Count: 10_000}}}},
		{name: "later step", work: berylwork.Work{Steps: []berylwork.Step{{Count: 1, After: []int{3}}}}},
		{name: "negative accelerators", work: berylwork.Work{Steps: []berylwork.Step{{Count: 1, Need: berylroom.Resources{Accelerators: -8}}}}},
		{name: "other id", work: berylwork.Work{ID: "j2", Steps: []berylwork.Step{{Count: 1}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			if tt.work.ID == "" {
				tt.work.ID = "j1"
			}
			r, err := record("j/j1", &Submission{Work: tt.work})
			is.NoErr(err)
			var b Book
			is.Equal(b.Apply(r), "")
			is.Equal(b.Undecodable, 1)
			is.Equal(len(b.Jobs), 0)
		})
	}
	t.Run("tasks of another job", func(t *testing.T) {
		is := is.New(t)
		work := berylwork.Work{ID: "j1", Steps: []berylwork.Step{{Count: 2}, {Count: 1}}}
		submission, err := (&Submission{Work: work}).Record()
		is.NoErr(err)
		other, err := record("s/j1", &Progress{Epoch: 1, State: Running, Tasks: [][][]Task{{{{Run: 1, Phase: Done}}}}})
		is.NoErr(err)
		var b Book
		b.Apply(submission)
		b.Apply(other)
		is.Equal(b.Jobs["j1"].Step(0, 0).Len(), 2)
		is.Equal(b.Jobs["j1"].Step(0, 1).Len(), 1)
	})
}

// Guards against records whose size grows with the job instead of the change: each is
// read by all entries, and a record of a scheduled job with many tasks exceeded the
// store's limit of 256 KiB.
func TestChangeIsOneSmallRecord(t *testing.T) {
	const limit = 256
	is := is.New(t)
	j := NewJob(&berylwork.Work{ID: "j1", Steps: []berylwork.Step{{Count: 470}}, Times: 8})
	for k := range j.Work.Occurrences() {
		for i := range j.Step(k, 0).Len() {
			*j.At(k, 0, i) = workingTask()
		}
	}
	recorded := &Recorded{}
	is.Equal(len(changes(is, j, recorded)), 8*470+1)
	is.Equal(len(changes(is, j, recorded)), 0)
	j.At(3, 0, 400).Phase = Done
	list := changes(is, j, recorded)
	is.Equal(len(list), 1)
	is.Equal(list[0].Key, "t/j1.3.0.400")
	is.True(len(list[0].Value) < limit)
}

// Guards against records of tasks that remain in the topic for ever, and against a run
// of an ended job that a late reader takes for active.
func TestQuiescentJobDeletesItsTasks(t *testing.T) {
	is := is.New(t)
	work := berylwork.Work{ID: "j1", Steps: []berylwork.Step{{Count: 2}}}
	j := NewJob(&work)
	submission, err := (&Submission{Work: work}).Record()
	is.NoErr(err)
	recorded := &Recorded{}
	*j.At(0, 0, 0) = workingTask()
	list := append([]berylstore.Record{submission}, changes(is, j, recorded)...)
	j.State, j.EndedAt = Failed, 9
	j.At(0, 0, 0).Phase = Stopping
	list = append(list, changes(is, j, recorded)...)
	var b Book
	for _, r := range newestOf(list) {
		b.Apply(r)
	}
	is.True(b.Jobs["j1"].State.Final())
	is.True(b.Jobs["j1"].Active())
	j.At(0, 0, 0).Phase = Idle
	list = append(list, changes(is, j, recorded)...)
	is.Equal(len(newestOf(list)), 2)
	// The pages of a topic are not a snapshot: the newest Progress is read first, and
	// then older records once more.
	var late Book
	for _, r := range append(newestOf(list), list[1:]...) {
		late.Apply(r)
	}
	is.True(late.Jobs["j1"].Quiescent())
}

// Guards against an append that exceeds the limit of the store for ever, and against a
// reader of a part of the changes that takes an ended job for one that has to run.
func TestLargeChangesAreSplit(t *testing.T) {
	const tasks, limit = 2500, 1000
	is := is.New(t)
	work := berylwork.Work{ID: "j1", Steps: []berylwork.Step{{Count: tasks}}}
	submission, err := (&Submission{Work: work}).Record()
	is.NoErr(err)
	j := NewJob(&work)
	recorded := &Recorded{}
	var book Book
	book.Apply(submission)
	write := func(check func()) {
		for more := true; more; {
			var list []berylstore.Record
			list, more, err = j.Changes(1, recorded, room(limit))
			is.NoErr(err)
			is.True(len(list) <= limit+1)
			for _, r := range list {
				book.Apply(r)
			}
			check()
		}
	}
	for i := range tasks {
		*j.At(0, 0, i) = workingTask()
	}
	write(func() {})
	is.Equal(tasksOf(book.Jobs["j1"]), tasksOf(j))
	for i := range tasks {
		j.At(0, 0, i).Phase = Done
	}
	j.State, j.EndedAt = Completed, 9
	write(func() { is.True(book.Jobs["j1"].Quiescent()) })
	is.Equal(len(changes(is, j, recorded)), 0)
	left, more := book.Jobs["j1"].TaskTombstones(limit)
	is.Equal(len(left), 0)
	is.True(!more)
}

// Guards against progress of an earlier version, with all tasks in one record, that is
// lost when that record is replaced.
func TestCombinedProgressIsRecordedAnew(t *testing.T) {
	is := is.New(t)
	work := berylwork.Work{ID: "j1", Steps: []berylwork.Step{{Count: 2}}}
	submission, err := (&Submission{Work: work}).Record()
	is.NoErr(err)
	combined, err := record("s/j1", &Progress{Epoch: 1, Tasks: [][][]Task{{{{Run: 1, Phase: Done}, workingTask()}}}})
	is.NoErr(err)
	var b Book
	b.Apply(submission)
	b.Apply(combined)
	j := b.Jobs["j1"]
	list := append([]berylstore.Record{submission, combined}, changes(is, j, j.Recorded())...)
	var after Book
	for _, r := range newestOf(list) {
		after.Apply(r)
	}
	is.Equal(tasksOf(after.Jobs["j1"]), tasksOf(b.Jobs["j1"]))
}

// Two client accounts submit a job with one id at the same time, at two entries. Guards
// against a record that replaces that of the other job when the topic is read anew, and
// against a repeated submission that is taken for another job.
func TestConflictingSubmission(t *testing.T) {
	work := func(account, queue string) *Submission {
		return &Submission{Work: berylwork.Work{ID: "j1", Account: account, Queue: queue, Steps: []berylwork.Step{{Count: 1}}}}
	}
	tests := []struct {
		name        string
		first, give *Submission
		want        bool
	}{
		{name: "no such job", give: work("a", "q")},
		{name: "repeated", first: work("a", "q"), give: work("a", "q")},
		{name: "same account, other queue", first: work("a", "q"), give: work("a", "r")},
		{name: "other account", first: work("a", "q"), give: work("b", "q"), want: true},
		{name: "other account, public queue", first: work("a", "q"), give: work("", "p"), want: true},
		{name: "queue has become public", first: work("a", "q"), give: work("", "q")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var b Book
			if tt.first != nil {
				r, err := tt.first.Record()
				is.NoErr(err)
				b.Apply(r)
			}
			r, err := tt.give.Record()
			is.NoErr(err)
			is.Equal(b.Conflicts(r), tt.want)
		})
	}
}
