package berylgang

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"berylglade/beryljob"
	"berylglade/berylmessage"
)

const (
	_step = 50 * time.Millisecond
	// _slack covers ticks, message delays and the step size of the model.
	_slack = time.Second
)

type taskState uint8

const (
	noTasks taskState = iota
	tasksRunning
	tasksDone
	tasksFailed
)

// node is one agent with its worker.
type node struct {
	part *Part
	// paused processes handle nothing; dead ones have lost their state.
	paused, dead bool
	// generation counts restarts; results for an older process are dropped.
	generation int
	// workerUp is false while requests to the worker fail.
	workerUp bool
	tasks    taskState
	lease    time.Time
	launches int
	// saidGo is set when the anchor's process has replied with go.
	saidGo bool
}

// delivery is an action that is run at a node's process at the given time.
type delivery struct {
	at         time.Time
	to         int
	generation int
	// expires is the time after which the delivery is dropped; zero means
	// never.
	expires time.Time
	run     func()
}

// world is a simulated gang on several nodes with a network between them.
type world struct {
	t          *rapid.T
	now        time.Time
	nodes      []*node
	cut        map[[2]int]bool
	deliveries []delivery
	// disrupted is set once a process was paused or a worker failed, and
	// crashed once a process was killed.
	disrupted, crashed bool
	// firstFailure is when the first part ended without success.
	firstFailure time.Time
	endReported  bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Now(), cut: map[[2]int]bool{}}
	n := rapid.IntRange(1, 4).Draw(t, "members")
	var members []beryljob.Member
	for i := range n {
		members = append(members, beryljob.Member{Agent: string(rune('a' + i)), Tasks: 1})
	}
	for i := range n {
		part := New(w.now, members[i].Agent, berylmessage.Reserve{Job: "j", Attempt: 1, Tasks: 1, Hold: 10 * time.Second})
		w.nodes = append(w.nodes, &node{part: part, workerUp: true})
		if rapid.IntRange(0, 9).Draw(t, "start lost") > 0 {
			w.send(i, func() { w.handle(i, Arm{Members: members, Index: i, ArmTimeout: HeartbeatTimeout}) })
		}
	}
	return w
}

// send runs an action at the current process of a node after a random delay.
func (w *world) send(to int, run func()) {
	delay := time.Duration(rapid.IntRange(0, 6).Draw(w.t, "delay")) * _step
	w.deliveries = append(w.deliveries, delivery{at: w.now.Add(delay), to: to, generation: w.nodes[to].generation, run: run})
}

// request runs an action of a node's process on its worker after a random
// delay, unless the time limit has passed.
func (w *world) request(i int, limit time.Duration, run func()) {
	delay := time.Duration(rapid.IntRange(0, 4).Draw(w.t, "delay")) * _step
	w.deliveries = append(w.deliveries, delivery{
		at: w.now.Add(delay), to: i, generation: w.nodes[i].generation, expires: w.now.Add(limit), run: run,
	})
}

func (w *world) connected(a, b int) bool { return !w.cut[[2]int{min(a, b), max(a, b)}] }

func (w *world) handle(i int, e Event) {
	n := w.nodes[i]
	if n.part == nil {
		return
	}
	for _, effect := range n.part.Handle(w.now, e) {
		w.apply(i, effect)
	}
}

func (w *world) apply(i int, e Effect) {
	n, sent := w.nodes[i], w.now
	switch e := e.(type) {
	case Launch:
		n.launches++
		if n.launches > 1 {
			w.t.Fatalf("%d launches of part %d", n.launches, i)
		}
		w.launch(i)
	case Renew:
		w.request(i, RequestTimeout, func() {
			if n.workerUp && n.tasks == tasksRunning {
				n.lease = w.now.Add(TaskLease)
				w.handle(i, Renewed{Sent: sent})
			}
		})
	case Halt:
		w.request(i, RequestTimeout, func() {
			if !n.workerUp {
				return
			}
			if n.tasks == tasksRunning {
				n.tasks = tasksFailed
			}
			w.handle(i, Halted{})
		})
	case SendHeartbeat:
		w.sendHeartbeat(i, e.Gang)
	case Reply:
		w.t.Fatalf("reply emitted without a heartbeat")
	case Free:
		if n.tasks == tasksRunning && w.now.Before(n.lease) {
			w.t.Fatalf("resources of part %d freed while its tasks run", i)
		}
	}
}

func (w *world) launch(i int) {
	n := w.nodes[i]
	launched := false
	w.request(i, HeartbeatTimeout, func() {
		launched = true
		ok := n.workerUp && n.part.Phase == Running
		if ok {
			n.tasks = tasksRunning
			n.lease = w.now.Add(TaskLease)
		}
		w.handle(i, Launched{OK: ok, Reason: "launch"})
	})
	// A launch that exceeds its time limit fails.
	w.deliveries = append(w.deliveries, delivery{at: w.now.Add(HeartbeatTimeout), to: i, generation: n.generation, run: func() {
		if !launched {
			w.handle(i, Launched{Reason: "late"})
		}
	}})
}

// sendHeartbeat delivers a heartbeat to the anchor and returns its reply to the
// member. Either message may be lost.
func (w *world) sendHeartbeat(i int, g berylmessage.Gang) {
	sent := w.now
	if !w.connected(0, i) || w.nodes[0].dead {
		return
	}
	w.send(0, func() {
		reply := UnknownGangReply(g)
		if anchor := w.nodes[0]; anchor.part != nil {
			for _, e := range anchor.part.Handle(w.now, HeartbeatReceived{Gang: g}) {
				if r, ok := e.(Reply); ok {
					reply = r.GangReply
					continue
				}
				w.apply(0, e)
			}
			if anchor.saidGo && reply.Verdict == berylmessage.VerdictWait {
				w.t.Fatalf("anchor replied wait after go")
			}
			anchor.saidGo = anchor.saidGo || reply.Verdict == berylmessage.VerdictGo
		}
		if w.connected(0, i) && !w.nodes[i].dead {
			w.send(i, func() { w.handle(i, HeartbeatAnswered{Sent: sent, GangReply: reply}) })
		}
	})
}

// advance moves the time forward by one step.
func (w *world) advance() {
	w.now = w.now.Add(_step)
	due := w.deliveries
	w.deliveries = nil
	for _, p := range due {
		n := w.nodes[p.to]
		switch {
		case n.dead || n.generation != p.generation || (!p.expires.IsZero() && w.now.After(p.expires)):
		case n.paused || w.now.Before(p.at):
			w.deliveries = append(w.deliveries, p)
		default:
			p.run()
		}
	}
	for i, n := range w.nodes {
		if n.tasks == tasksRunning && !w.now.Before(n.lease) {
			n.tasks = tasksFailed
		}
		if n.dead || n.paused || n.part == nil {
			continue
		}
		if n.part.Phase == Running && !n.part.launching && n.tasks > tasksRunning {
			w.handle(i, Finished{OK: n.tasks == tasksDone, Reason: "task failed", Blame: true})
		}
		w.handle(i, Tick{})
	}
	w.check()
}

// crash kills a process; its tasks continue until their leases expire.
func (w *world) crash(i int) {
	n := w.nodes[i]
	n.part, n.dead, n.paused, n.saidGo = nil, true, false, false
	n.generation++
	w.crashed = true
}

// restart starts a new process, which restores its part from the tasks of its
// worker.
func (w *world) restart(i int, members []beryljob.Member) {
	n := w.nodes[i]
	n.dead = false
	if n.tasks != noTasks {
		n.part = Restore(w.now, Part{Job: "j", Attempt: 1, Agent: members[i].Agent, Tasks: 1, Members: members, Index: i})
	}
}

func (w *world) members() []beryljob.Member {
	var members []beryljob.Member
	for i := range w.nodes {
		members = append(members, beryljob.Member{Agent: string(rune('a' + i)), Tasks: 1})
	}
	return members
}

// check verifies the guarantees that the package documents.
func (w *world) check() {
	running := slices.ContainsFunc(w.nodes, func(n *node) bool { return n.tasks == tasksRunning })
	for _, n := range w.nodes {
		failed := n.part == nil && n.tasks == noTasks
		failed = failed || (n.part != nil && n.part.Phase == Ended && !n.part.OK)
		if w.firstFailure.IsZero() && (failed || n.tasks == tasksFailed) {
			w.firstFailure = w.now
		}
	}
	limit := 2*HeartbeatTimeout + _slack
	if w.disrupted {
		// The anchor may reply go for HeartbeatTimeout after the end. A paused
		// member may then start tasks as late as TerminationTime allows.
		limit = HeartbeatTimeout + TerminationTime + _slack
	}
	if w.crashed {
		// A restarted anchor may reply go until its own leases expire, and a
		// paused member's leases last as long after that.
		limit = 2*(HeartbeatTimeout+RequestTimeout+TaskLease) + _slack
	}
	if running && !w.firstFailure.IsZero() && w.now.Sub(w.firstFailure) > limit {
		w.t.Fatalf("tasks still run %s after another part ended", w.now.Sub(w.firstFailure))
	}
	if running && w.endReported {
		w.t.Fatalf("tasks still run after the anchor reported the end of the gang")
	}
	w.checkReport()
}

func (w *world) checkReport() {
	anchor := w.nodes[0]
	if anchor.part == nil || anchor.paused {
		return
	}
	r := anchor.part.Report(w.now)
	if !r.AllMembers || r.Phase < berylmessage.GangDone {
		return
	}
	w.endReported = true
	for i, n := range w.nodes {
		if n.tasks == tasksRunning || (r.Phase == berylmessage.GangDone && n.tasks != tasksDone) {
			w.t.Fatalf("anchor reports the whole gang as phase %d while the tasks of part %d are in state %d", r.Phase, i, n.tasks)
		}
	}
}
