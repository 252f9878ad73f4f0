package berylbook

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"berylglade/berylload"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// Guards against a list that differs from its tasks one by one, in whatever order they
// change.
func TestTaskList(t *testing.T) {
	for seed := range uint64(40) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 1))
		n := 1 + r.IntN(300)
		l, want := TaskList{count: n}, make([]Task, n)
		for range 3 * n {
			i := r.IntN(n)
			switch r.IntN(8) {
			case 0:
				l.clear(i)
				want[i] = Task{}
			default:
				want[i] = Task{Run: 1 + r.IntN(3), Phase: Done}
				if r.IntN(n) == 0 {
					want[i].Phase = Working
				}
				*l.At(i) = want[i]
			}
			done, idle := true, 0
			for i := range want {
				done = done && want[i].Phase == Done
				if want[i].Phase == Idle {
					idle++
				}
			}
			is.Equal(l.Done(), done)
			is.Equal(len(l.Idle(n)), idle)
			is.True(len(l.Idle(2)) <= 2)
		}
		for i := range want {
			is.Equal(l.Get(i), want[i])
		}
		for _, i := range l.Idle(n) {
			is.Equal(want[i].Phase, Idle)
		}
	}
}

// Guards against a completed job whose tasks seem to have never run once their memory is
// given back.
func TestReleasedJobStaysComplete(t *testing.T) {
	is := is.New(t)
	j := NewJob(&berylwork.Work{ID: "j1", Steps: []berylwork.Step{{Count: 100}, {Count: 1}}, Times: 2})
	for k := range 2 {
		for s := range j.Work.Steps {
			for i := range j.Work.Steps[s].Count {
				*j.At(k, s, i) = Task{Run: 1, Phase: Done}
			}
		}
	}
	is.True(j.Complete())
	j.State = Completed
	j.Release()
	is.True(j.Quiescent())
	is.Equal(len(tasksOf(j)), 0)
	is.True(j.StepDone(1, 0))
	is.Equal(j.Step(0, 0).Get(64).Phase, Done)
	is.Equal(j.At(0, 0, 64).Phase, Done)
	is.True(j.StepDone(0, 0))
}

// Clients submit jobs with as many tasks as a job may have. Guards against tasks that take
// memory in each entry while they wait, against that of a Book for clients' questions that
// grows with the tasks, and against tasks of ended jobs that keep it.
func TestMemoryOfTasks(t *testing.T) {
	const jobs, tasks = 40, 100_000
	submissions := make([]berylstore.Record, jobs)
	for i := range submissions {
		w := berylwork.Work{ID: fmt.Sprintf("%016x", i), Steps: make([]berylwork.Step, 5)}
		for s := range w.Steps {
			w.Steps[s].Count = tasks / 5
		}
		var err error
		if submissions[i], err = (&Submission{Work: w}).Record(); err != nil {
			t.Fatal(err)
		}
	}
	const waitingBytes = jobs * tasks / 8
	t.Run("waiting", func(t *testing.T) {
		var b Book
		used := memoryOf(func() {
			for _, r := range submissions {
				b.Apply(r)
			}
		})
		is := is.New(t)
		is.True(used < waitingBytes)
		is.Equal(len(b.Jobs), jobs)
	})
	t.Run("ended", func(t *testing.T) {
		var b Book
		b.Apply(submissions[0])
		j := b.Sorted()[0]
		used := memoryOf(func() {
			for s := range j.Work.Steps {
				for i := range j.Work.Steps[s].Count {
					*j.At(0, s, i) = Task{Run: 1, Phase: Done}
				}
			}
			j.State = Completed
			for ref := range tasksOf(j) {
				b.Apply(berylstore.Record{Key: _taskPrefix + ref.String()})
			}
		})
		is.New(t).True(used < waitingBytes)
	})
	t.Run("for clients", func(t *testing.T) {
		is := is.New(t)
		b := Book{Summary: true}
		b.Apply(submissions[0])
		j := b.Sorted()[0]
		is.Equal(j.ClientState(), Pending)
		used := memoryOf(func() {
			task := workingTask()
			for i := range tasks / 5 {
				r, err := record(fmt.Sprintf("%s%s.0.0.%d", _taskPrefix, j.Work.ID, i), &task)
				is.NoErr(err)
				b.Apply(r)
			}
		})
		is.True(used < waitingBytes)
		is.Equal(j.ClientState(), Running)
		is.True(j.Load >= tasks)
	})
}

// A client submits jobs with as many steps as a body of the largest legal size has, one after
// the other, and cancels each. Guards against ended jobs whose steps take memory without
// bound in an entry that reads the topic anew, which has all submissions before their ends.
func TestMemoryOfEndedJobs(t *testing.T) {
	const (
		body       = 256 << 10
		jobs       = 100
		maxBytes   = 96 << 20
		keptLoad   = 2 * body / len(`,{"count":1}`)
		ownAccount = "a"
	)
	is := is.New(t)
	var b Book
	var submissions, ends []berylstore.Record
	refused := 0
	for i := range jobs {
		w := berylwork.Work{ID: fmt.Sprintf("%016x", i), Account: ownAccount, Steps: make([]berylwork.Step, body/len(`,{"count":1}`)), Times: 1}
		for s := range w.Steps {
			w.Steps[s].Count = 1
		}
		if !b.Load(ownAccount).Allows(w.Load()) {
			refused++
			continue
		}
		r, err := (&Submission{Work: w}).Record()
		is.NoErr(err)
		submissions = append(submissions, r)
		b.Apply(r)
		r, err = record(_progressPrefix+w.ID, &Progress{State: Cancelled, EndedAt: 1})
		is.NoErr(err)
		ends = append(ends, r)
		b.Apply(r)
	}
	is.True(refused > 0)
	is.True(len(submissions) > 1)
	is.True(b.Load("b").Others <= len(submissions)*(keptLoad+1))
	is.True(b.Load("b").Allows(1000))
	b = Book{}
	used := memoryOf(func() {
		for _, r := range submissions {
			b.Apply(r)
		}
	})
	is.True(used < maxBytes)
	for _, r := range ends {
		b.Apply(r)
	}
	is.Equal(len(b.Jobs), len(submissions))
	// Jobs that are removed no longer count.
	for _, j := range b.Sorted() {
		for _, r := range j.Tombstones() {
			b.Apply(r)
		}
	}
	is.Equal(b.Load(ownAccount), berylload.Load{})
}

// memoryOf returns how many bytes more are in use after f.
func memoryOf(f func()) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}
