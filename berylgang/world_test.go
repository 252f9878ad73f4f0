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
	// _slack covers ticks, message delays and the steps of the model.
	_slack = time.Second
)

type taskState uint8

const (
	noTasks taskState = iota
	tasksRun
	tasksDone
	tasksLost
)

// node is one agent with its worker.
type node struct {
	part *Part
	// frozen processes handle nothing; dead ones have forgotten everything.
	frozen, dead bool
	// process counts restarts; results for an older process are dropped.
	process int
	// worker is false while requests to the worker fail.
	worker   bool
	tasks    taskState
	lease    time.Time
	launches int
	// gone is set when the anchor's process has said go.
	gone bool
}

// parcel is something that happens at a node's process at a time.
type parcel struct {
	at      time.Time
	to      int
	process int
	// late parcels are dropped after this time; zero means never.
	late time.Time
	run  func()
}

// world is a gang on several nodes with a network between them.
type world struct {
	t       *rapid.T
	now     time.Time
	nodes   []*node
	cut     map[[2]int]bool
	parcels []parcel
	// rough is set once a process was paused or a worker was cut off, crashed
	// once a process was killed.
	rough, crashed bool
	// broken is when the first part ended without success.
	broken time.Time
	whole  bool
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
		w.nodes = append(w.nodes, &node{part: part, worker: true})
		if rapid.IntRange(0, 9).Draw(t, "start lost") > 0 {
			w.send(i, func() { w.handle(i, Arm{Members: members, Index: i, Lead: Bound}) })
		}
	}
	return w
}

// send delivers something to the present process of a node.
func (w *world) send(to int, run func()) {
	delay := time.Duration(rapid.IntRange(0, 6).Draw(w.t, "delay")) * _step
	w.parcels = append(w.parcels, parcel{at: w.now.Add(delay), to: to, process: w.nodes[to].process, run: run})
}

// request runs something of a node's process on its worker, if it is not late.
func (w *world) request(i int, limit time.Duration, run func()) {
	delay := time.Duration(rapid.IntRange(0, 4).Draw(w.t, "delay")) * _step
	w.parcels = append(w.parcels, parcel{
		at: w.now.Add(delay), to: i, process: w.nodes[i].process, late: w.now.Add(limit), run: run,
	})
}

func (w *world) linked(a, b int) bool { return !w.cut[[2]int{min(a, b), max(a, b)}] }

func (w *world) handle(i int, e Event) {
	n := w.nodes[i]
	if n.part == nil {
		return
	}
	for _, effect := range n.part.Handle(w.now, e) {
		w.carryOut(i, effect)
	}
}

func (w *world) carryOut(i int, e Effect) {
	n, sent := w.nodes[i], w.now
	switch e := e.(type) {
	case Launch:
		n.launches++
		if n.launches > 1 {
			w.t.Fatalf("%d launches of part %d", n.launches, i)
		}
		w.launch(i)
	case Renew:
		w.request(i, RequestTime, func() {
			if n.worker && n.tasks == tasksRun {
				n.lease = w.now.Add(Lease)
				w.handle(i, Renewed{Sent: sent})
			}
		})
	case Halt:
		w.request(i, RequestTime, func() {
			if !n.worker {
				return
			}
			if n.tasks == tasksRun {
				n.tasks = tasksLost
			}
			w.handle(i, Halted{})
		})
	case Send:
		w.beat(i, e.Gang)
	case Reply:
		w.t.Fatalf("reply without a heartbeat")
	case Free:
		if n.tasks == tasksRun && w.now.Before(n.lease) {
			w.t.Fatalf("part %d freed with tasks running", i)
		}
	}
}

func (w *world) launch(i int) {
	n := w.nodes[i]
	launched := false
	w.request(i, Bound, func() {
		launched = true
		ok := n.worker && n.part.Phase == Running
		if ok {
			n.tasks = tasksRun
			n.lease = w.now.Add(Lease)
		}
		w.handle(i, Launched{OK: ok, Reason: "launch"})
	})
	// A launch that is too late fails.
	w.parcels = append(w.parcels, parcel{at: w.now.Add(Bound), to: i, process: n.process, run: func() {
		if !launched {
			w.handle(i, Launched{Reason: "late"})
		}
	}})
}

// beat carries a heartbeat to the anchor and its answer back. Either may be
// lost.
func (w *world) beat(i int, g berylmessage.Gang) {
	sent := w.now
	if !w.linked(0, i) || w.nodes[0].dead {
		return
	}
	w.send(0, func() {
		reply := Unknown(g)
		if anchor := w.nodes[0]; anchor.part != nil {
			for _, e := range anchor.part.Handle(w.now, Heard{Gang: g}) {
				if r, ok := e.(Reply); ok {
					reply = r.GangReply
					continue
				}
				w.carryOut(0, e)
			}
			if anchor.gone && reply.Verdict == berylmessage.VerdictWait {
				w.t.Fatalf("wait after go")
			}
			anchor.gone = anchor.gone || reply.Verdict == berylmessage.VerdictGo
		}
		if w.linked(0, i) && !w.nodes[i].dead {
			w.send(i, func() { w.handle(i, Answered{Sent: sent, GangReply: reply}) })
		}
	})
}

// advance moves time by one step.
func (w *world) advance() {
	w.now = w.now.Add(_step)
	due := w.parcels
	w.parcels = nil
	for _, p := range due {
		n := w.nodes[p.to]
		switch {
		case n.dead || n.process != p.process || (!p.late.IsZero() && w.now.After(p.late)):
		case n.frozen || w.now.Before(p.at):
			w.parcels = append(w.parcels, p)
		default:
			p.run()
		}
	}
	for i, n := range w.nodes {
		if n.tasks == tasksRun && !w.now.Before(n.lease) {
			n.tasks = tasksLost
		}
		if n.dead || n.frozen || n.part == nil {
			continue
		}
		if n.part.Phase == Running && !n.part.launching && n.tasks > tasksRun {
			w.handle(i, Finished{OK: n.tasks == tasksDone, Reason: "task failed", Blame: true})
		}
		w.handle(i, Tick{})
	}
	w.check()
}

// crash kills a process; its tasks go on under their lease.
func (w *world) crash(i int) {
	n := w.nodes[i]
	n.part, n.dead, n.frozen, n.gone = nil, true, false, false
	n.process++
	w.crashed = true
}

// restart starts a process that lists the tasks of its worker.
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

// check compares the world with what the package promises.
func (w *world) check() {
	running := slices.ContainsFunc(w.nodes, func(n *node) bool { return n.tasks == tasksRun })
	for _, n := range w.nodes {
		over := n.part == nil && n.tasks == noTasks
		over = over || (n.part != nil && n.part.Phase == Ended && !n.part.OK)
		if w.broken.IsZero() && (over || n.tasks == tasksLost) {
			w.broken = w.now
		}
	}
	limit := 2*Bound + _slack
	if w.rough {
		// The anchor may say go for Bound after the end. A paused member may
		// then start tasks as late as the time Certain allows for.
		limit = Bound + Certain + _slack
	}
	if w.crashed {
		// A restarted anchor may say go until its own leases are over, and a
		// paused member's leases last as long after that.
		limit = 2*(Bound+RequestTime+Lease) + _slack
	}
	if running && !w.broken.IsZero() && w.now.Sub(w.broken) > limit {
		w.t.Fatalf("tasks run %s after another part ended", w.now.Sub(w.broken))
	}
	if running && w.whole {
		w.t.Fatalf("tasks run after the anchor reported the end of the gang")
	}
	w.checkReport()
}

func (w *world) checkReport() {
	anchor := w.nodes[0]
	if anchor.part == nil || anchor.frozen {
		return
	}
	r := anchor.part.Report(w.now)
	if !r.Whole || r.Phase < berylmessage.GangDone {
		return
	}
	w.whole = true
	for i, n := range w.nodes {
		if n.tasks == tasksRun || (r.Phase == berylmessage.GangDone && n.tasks != tasksDone) {
			w.t.Fatalf("anchor reports the whole gang as phase %d while the tasks of part %d are in state %d", r.Phase, i, n.tasks)
		}
	}
}
