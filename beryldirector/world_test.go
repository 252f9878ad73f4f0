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

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// world simulates a day in virtual time: two entries, agents with simulated backend
// servers, and a topic, with faults drawn from a seed. It fails if a task starts while
// it runs or after its end was acknowledged, and if a job is not completed at the
// end of the day. The backend servers refuse starts beyond their capacity, and end a
// gang that does not start as a whole, so that such errors keep jobs from completing.
type world struct {
	t          *testing.T
	r          *rand.Rand
	now        time.Time
	queue      events
	eventCount int

	topic []berylstore.Record
	// fence is the epoch of the newest claim, and seqs the appends in the topic.
	fence   int64
	seqs    map[string]bool
	storeUp bool
	// holdOrders is true if orders to a disconnected agent are delivered when it is
	// connected again, as TCP does. Otherwise they are lost.
	holdOrders bool
	// sameName is true if a call that is under way while a backend server restarts reaches
	// the next incarnation, which has the same name.
	sameName bool
	// maxEnds is the number of ends that a listing has at most; zero means no limit.
	maxEnds int

	entries []*worldEntry
	agents  []*worldAgent
	// running has the backend server on which each task runs.
	running map[string]string
	// done has the tasks whose end was acknowledged.
	done map[string]bool
	// gangs has the runs of gangs, and size the number of members of each gang.
	gangs map[string]*worldGang
	size  map[string]int
	// moves counts the units that were stopped because their backend server leaves.
	moves int
	trace []string
}

type event struct {
	at  time.Time
	n   int
	run func()
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
	w.eventCount++
	heap.Push(&w.queue, event{at: w.now.Add(d), n: w.eventCount, run: f})
}

// latency returns the delay of a message.
func (w *world) latency() time.Duration { return time.Duration(w.r.IntN(8)+1) * time.Millisecond }

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(startTime()).Seconds())+fmt.Sprintf(format, args...))
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
	// _worldGangTimeout is how long the first member of a gang waits for the
	// others.
	_worldGangTimeout = 3 * time.Second
	// _worldAppendTimeout is how long an entry waits for the leader's append.
	_worldAppendTimeout = 300 * time.Millisecond
	// _worldFencingDelay is the time in which an agent raises the fence of a
	// restarted backend server.
	_worldFencingDelay = 100 * time.Millisecond
	// Faults begin and jobs are submitted in the fault period.
	_worldFaultPeriod    = 30 * time.Second
	_worldRecoveryPeriod = 45 * time.Second
)

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, r: rand.New(rand.NewPCG(seed, 1)), now: startTime(), storeUp: true,
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
		at := time.Duration(w.r.Int64N(int64(_worldFaultPeriod)))
		w.after(at, func() {
			sub := berylbook.Submission{Work: berylwork.Work{
				ID: id, Queue: queue, Steps: []berylwork.Step{s, second}, Accepted: w.now.UnixMilli(),
			}}
			r, err := sub.Record()
			if err != nil {
				w.t.Fatal(err)
			}
			w.submit(r)
		})
	}
}

// submit passes a client's record to an entry, which enqueues it if it leads. If the
// entry does not lead, or if the record is not in the topic after a while, another
// entry appends it. So the topic may get the record twice.
func (w *world) submit(r berylstore.Record) {
	e := w.entries[w.r.IntN(len(w.entries))]
	if !e.up || e.d.EnqueueRecord(w.now, r) != nil {
		w.topic = append(w.topic, r)
		return
	}
	e.carryOut(e.d)
	w.after(_worldAppendTimeout, func() {
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
		e.run()
	}
	w.now = end
}

// check checks the final state of the jobs, from the topic alone: nothing else is
// persistent.
func (w *world) check(jobs int) {
	var book berylbook.Book
	for _, r := range w.topic {
		book.Apply(r)
	}
	if len(book.Jobs) != jobs {
		w.fail("topic has %d of %d jobs", len(book.Jobs), jobs)
	}
	for id, j := range book.Jobs {
		if j.ClientState() != berylbook.Completed {
			w.fail("job %s is %s at the end of the day", id, j.ClientState())
		}
	}
}

// TestWorld simulates seeded days. Guards against a task that runs twice or after
// its end was acknowledged, and against jobs that are lost or never complete.
// WORLD_SEEDS sets the number of days and WORLD_SEED the first seed. After a failure,
// the events of the day are written to the file that WORLD_TRACE names.
func TestWorld(t *testing.T) {
	_ = playWorlds(t, func(*world) {})
}

// TestWorldWithDepartures simulates the same days with backend servers that announce
// that they leave. Guards against a unit that runs twice because it is moved.
func TestWorldWithDepartures(t *testing.T) {
	moves := playWorlds(t, func(w *world) { w.departures(12) })
	is.New(t).True(moves > 0)
}

// TestWorldWithHeldOrders simulates the same days with cuts in which orders wait in the
// connection to an agent. Guards against a start that is carried out after a cut although
// the leader has given it up.
func TestWorldWithHeldOrders(t *testing.T) {
	_ = playWorlds(t, func(w *world) { w.cuts(6) })
}

// TestWorldWithLongOutages simulates the same days with outages of the store after which
// leases expire. Guards against a start that is given up when it has just been ordered,
// and still carried out.
func TestWorldWithLongOutages(t *testing.T) {
	_ = playWorlds(t, func(w *world) { w.outages(3) })
}

// TestWorldWithRestarts simulates the same days with more restarts of backend servers, whose
// next incarnation carries out the calls that are under way. Guards against a task that runs
// twice because a start was carried out after a restart.
func TestWorldWithRestarts(t *testing.T) {
	_ = playWorlds(t, func(w *world) { w.restarts(40) })
}

// TestWorldWithTruncatedListings simulates the same days with listings that have at most two
// ends. Guards against a task that runs again after it was done, because its end was not listed
// yet.
func TestWorldWithTruncatedListings(t *testing.T) {
	_ = playWorlds(t, func(w *world) {
		w.maxEnds = 2
		w.outages(3)
	})
}

// TestWorldRegressions simulates days on which a task ran twice: a start was ordered for a
// backend server without contact, given up at once, and carried out with the next contact; or
// (30468) an agent and its backend server started again together, and a late start call came
// before the first heartbeat.
func TestWorldRegressions(t *testing.T) {
	for _, seed := range []int{5102, 5122, 5274, 5386} {
		_ = playWorld(t, seed, func(*world) {})
	}
	for _, seed := range []int{5120, 5224, 5328, 5386, 5394, 30468} {
		_ = playWorld(t, seed, func(w *world) { w.departures(12) })
	}
}

// TestWorldRestartRegressions simulates days on which a task ran twice because a start was
// carried out by the next incarnation of a backend server: it went on beside the next run, or its
// end was acknowledged and not counted (27, 51, 72); or the agent had raised its fence beyond
// that of its next process (22, 33, 46).
func TestWorldRestartRegressions(t *testing.T) {
	for _, seed := range []int{22, 27, 33, 46, 51, 72} {
		_ = playWorld(t, seed, func(w *world) { w.restarts(40) })
	}
}

// TestWorldHeldOrderRegressions simulates days on which a start that waited in a connection
// to an agent during a cut was carried out after it, while the task ran elsewhere.
func TestWorldHeldOrderRegressions(t *testing.T) {
	for _, seed := range []int{66, 68, 172, 174, 222, 236, 251, 271} {
		_ = playWorld(t, seed, func(w *world) { w.cuts(6) })
	}
}

// TestWorldOutageRegressions simulates days on which starts that had waited for their record
// in an outage of the store were given up when it ended, and still carried out.
func TestWorldOutageRegressions(t *testing.T) {
	for _, seed := range []int{9, 11, 97, 108, 147, 177, 206, 208} {
		_ = playWorld(t, seed, func(w *world) { w.outages(3) })
	}
}

// playWorlds simulates the seeded days after prepare has added to their events. It
// returns the number of units that were moved.
func playWorlds(t *testing.T, prepare func(w *world)) int {
	moves := 0
	first, count := envInt("WORLD_SEED", 1), envInt("WORLD_SEEDS", 12)
	for seed := first; seed < first+count; seed++ {
		moves += playWorld(t, seed, prepare)
	}
	return moves
}

// playWorld simulates one day and returns the number of units that were moved.
func playWorld(t *testing.T, seed int, prepare func(w *world)) int {
	moves := 0
	t.Run("seed "+strconv.Itoa(seed), func(t *testing.T) {
		w := newWorld(t, uint64(seed))
		const jobs = 20
		w.jobs(jobs)
		w.faults(10)
		prepare(w)
		w.run(_worldFaultPeriod)
		w.run(_worldRecoveryPeriod)
		w.check(jobs)
		moves = w.moves
	})
	return moves
}

func envInt(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}
