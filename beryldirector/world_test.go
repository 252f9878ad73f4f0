package beryldirector

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// world plays a day in virtual time: two entries, agents with simulated backend
// servers, and a topic, with faults drawn from a seed. It checks while it plays
// that no task runs twice, that no gang runs in parts, that nothing exceeds the
// capacity of a backend server, and in the end that every job was done.
type world struct {
	t     *testing.T
	r     *rand.Rand
	now   time.Time
	queue events
	n     int

	topic   []berylstore.Record
	fence   int64
	seqs    map[string]bool
	storeUp bool

	entries []*worldEntry
	agents  []*worldAgent
	// running has the backend server on which each task runs.
	running map[string]string
	// done has the tasks whose end was noted.
	done map[string]bool
	// gangs has the runs of gangs, and size the members that each gang needs.
	gangs map[string]*worldGang
	size  map[string]int
	trace []string
}

type event struct {
	at time.Time
	n  int
	f  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].n < e[j].n
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *world) after(d time.Duration, f func()) {
	w.n++
	heap.Push(&w.queue, event{at: w.now.Add(d), n: w.n, f: f})
}

// hop returns the delay of a message.
func (w *world) hop() time.Duration { return time.Duration(w.r.IntN(8)+1) * time.Millisecond }

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(begin()).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.note(format, args...)
	if path := os.Getenv("WORLD_TRACE"); path != "" {
		var text []byte
		for _, l := range w.trace {
			text = append(text, l...)
			text = append(text, '\n')
		}
		_ = os.WriteFile(path, text, 0o600)
	}
	w.t.Fatalf(format, args...)
}

const (
	_worldSlots = 4
	// _worldGang is how long the first member of a gang waits for the others.
	_worldGang = 3 * time.Second
	// _worldPatience is how long an entry waits for the leader's append.
	_worldPatience = 300 * time.Millisecond
	_worldFenced   = 100 * time.Millisecond
	_worldTrouble  = 30 * time.Second
	_worldCalm     = 45 * time.Second
)

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, r: rand.New(rand.NewPCG(seed, 1)), now: begin(), storeUp: true,
		seqs: map[string]bool{}, running: map[string]string{}, done: map[string]bool{},
		gangs: map[string]*worldGang{}, size: map[string]int{},
	}
	for i := range 2 {
		e := &worldEntry{w: w, name: "e" + strconv.Itoa(i)}
		w.entries = append(w.entries, e)
		e.start()
	}
	for i := range 4 {
		a := &worldAgent{w: w, name: "n" + strconv.Itoa(i)}
		w.agents = append(w.agents, a)
		a.startServer()
		a.start()
	}
	return w
}

// faults schedules the trouble of the day.
func (w *world) faults(n int) {
	for range n {
		at := time.Duration(w.r.Int64N(int64(_worldTrouble)))
		length := time.Duration(500+w.r.IntN(6000)) * time.Millisecond
		e := w.entries[w.r.IntN(len(w.entries))]
		a := w.agents[w.r.IntN(len(w.agents))]
		kind := w.r.IntN(7)
		w.after(at, func() {
			w.note("fault %d on %s or %s for %s", kind, e.name, a.name, length)
			switch kind {
			case 0:
				w.storeUp = false
				w.after(length, func() { w.storeUp = true })
			case 1:
				e.cut = true
				w.after(length, func() { e.cut = false })
			case 2:
				e.up = false
				w.after(length, func() {
					if !e.up {
						e.start()
					}
				})
			case 3:
				a.cut = true
				w.after(length, func() { a.cut = false })
			case 4:
				a.up = false
				w.after(length, func() {
					if !a.up {
						a.start()
					}
				})
			case 5:
				a.server.crash()
				w.after(length, func() {
					if !a.server.up {
						a.startServer()
					}
				})
			case 6:
				a.server.crash()
				a.startServer()
			}
		})
	}
}

func (w *world) jobs(n int) {
	for i := range n {
		id := "j" + strconv.Itoa(i)
		s := step(1+w.r.IntN(6), 1)
		s.Gang = w.r.IntN(2) == 0
		if s.Gang {
			w.size[id+".0.0"] = s.Count
		}
		second := step(1+w.r.IntN(3), 1)
		second.After = []int{0}
		queue := []string{"urgent", "routine"}[w.r.IntN(2)]
		at := time.Duration(w.r.Int64N(int64(_worldTrouble)))
		w.after(at, func() {
			sub := berylbook.Submission{Work: berylwork.Work{
				ID: id, Queue: queue, Steps: []berylwork.Step{s, second}, Accepted: w.now.UnixMilli(),
			}}
			r, err := sub.Record()
			if err != nil {
				w.t.Fatal(err)
			}
			w.enter(r)
		})
	}
}

// enter hands a client's record to an entry, which takes it along if it leads. If
// it is not in the topic after a while, or if the entry does not lead, another
// entry appends it; so the record may get there twice.
func (w *world) enter(r berylstore.Record) {
	e := w.entries[w.r.IntN(len(w.entries))]
	if !e.up || !e.d.Enter(w.now, r) {
		w.topic = append(w.topic, r)
		return
	}
	e.carryOut(e.d)
	w.after(_worldPatience, func() {
		if !slices.ContainsFunc(w.topic, func(o berylstore.Record) bool { return o.Key == r.Key }) {
			w.topic = append(w.topic, r)
		}
	})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = end
}

// check looks at the topic alone: what it says is what lasts.
func (w *world) check(jobs int) {
	var book berylbook.Book
	for _, r := range w.topic {
		book.Apply(r)
	}
	if len(book.Jobs) != jobs {
		w.fail("%d jobs of %d are known", len(book.Jobs), jobs)
	}
	for id, j := range book.Jobs {
		if j.ClientState() != berylbook.Completed {
			w.fail("job %s is %s at the end", id, j.ClientState())
		}
	}
}

// TestWorld plays seeded days. Guards against a task that runs twice, or after
// its end was noted, against jobs that are lost or stand still for good.
// WORLD_SEEDS sets how many days, WORLD_SEED the first one.
func TestWorld(t *testing.T) {
	first, count := number("WORLD_SEED", 1), number("WORLD_SEEDS", 12)
	for seed := first; seed < first+count; seed++ {
		t.Run("seed "+strconv.Itoa(seed), func(t *testing.T) {
			w := newWorld(t, uint64(seed))
			const jobs = 20
			w.jobs(jobs)
			w.faults(10)
			w.run(_worldTrouble)
			w.run(_worldCalm)
			w.check(jobs)
		})
	}
}

func number(name string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return n
}
