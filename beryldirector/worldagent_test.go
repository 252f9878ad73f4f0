package beryldirector

import (
	"errors"
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylexecutor"
	"berylglade/berylkeeper"
	"berylglade/berylreport"
	"berylglade/berylroom"
)

// worldAgent is an agent with its backend server.
type worldAgent struct {
	w    *world
	name string
	k    *berylkeeper.Keeper
	boot int64
	up   bool
	// began is when the agent's process was started.
	began  time.Time
	cut    bool
	target int
	busy   bool
	last   time.Time

	server *worldServer
}

func (a *worldAgent) startServer() {
	a.server = &worldServer{
		w: a.w, name: a.name, born: a.w.now, up: true,
		runs: map[berylreport.Key]time.Time{}, stopped: map[string]int{},
	}
	a.beat(a.server)
}

// beat sends heartbeats of one life.
func (a *worldAgent) beat(s *worldServer) {
	if a.server != s || !s.up {
		return
	}
	if a.up {
		s.beat++
		a.k.Heartbeat(a.w.now, berylkeeper.Heartbeat{
			Incarnation: berylbook.Incarnation{Instance: "i-" + a.name, StartedAt: s.born.UnixMilli()}, Addr: a.name, Service: "s", Zone: "z1",
			Labels: []string{"r1-1"}, Capacity: berylroom.Resources{Millicores: 100_000, Accelerators: _worldSlots}, Seq: s.beat, Clock: s.clock(),
		})
		a.drive(a.k)
	}
	a.w.after(300*time.Millisecond, func() { a.beat(s) })
}

func (a *worldAgent) start() {
	a.began = a.w.now
	a.boot++
	a.up = true
	a.busy = false
	a.k = berylkeeper.New(a.name, a.name, a.w.now.UnixMilli(), berylkeeper.Limits{
		LeaderTimeout: 3 * time.Second, Lease: 5 * time.Second, Poll: 200 * time.Millisecond,
	})
	a.tick(a.k)
}

func (a *worldAgent) tick(k *berylkeeper.Keeper) {
	if a.k != k || !a.up {
		return
	}
	a.drive(k)
	a.w.after(50*time.Millisecond, func() { a.tick(k) })
}

func (a *worldAgent) drive(k *berylkeeper.Keeper) {
	a.server.advance()
	for _, t := range k.Calls(a.w.now) {
		a.call(k, t)
	}
	if k.Reportable() && !a.busy && (k.Changed() || a.w.now.Sub(a.last) > 400*time.Millisecond) {
		a.report(k)
	}
}

// call reaches the backend server, or is carried out late and never answered.
func (a *worldAgent) call(k *berylkeeper.Keeper, t berylkeeper.IssuedCall) {
	w, s := a.w, a.server
	answer := func(l berylexecutor.Listing, err error) {
		if a.k == k && a.up {
			k.Outcome(w.now, berylkeeper.Outcome{Call: t.Call, Seq: t.Seq, Listing: l, Err: err})
			a.drive(k)
		}
	}
	if !s.up {
		w.after(w.hop(), func() { answer(berylexecutor.Listing{}, berylexecutor.ErrDown) })
		return
	}
	if _, hold := t.Call.(berylexecutor.RenewCall); !hold && w.r.IntN(12) == 0 {
		late := time.Duration(2000+w.r.IntN(10_000)) * time.Millisecond
		w.after(late, func() {
			// The backend server may have been born again under its name. Its
			// agent raises the fence within moments, if it is there; nothing
			// else can keep a late order off. Seed 68 has an order that is 10.8 s
			// late and arrives 96 ms after the start of an agent that was away
			// when its backend server was born again.
			fenced := a.up && w.now.Sub(a.server.born) > _worldFenced && w.now.Sub(a.began) > _worldFenced
			if a.server.up && (a.server == s || fenced) {
				_, _ = a.server.apply(t.Call)
			}
		})
		w.after(t.Timeout, func() { answer(berylexecutor.Listing{}, errWorldTimeout) })
		return
	}
	w.after(w.hop(), func() {
		if a.server != s || !s.up {
			answer(berylexecutor.Listing{}, berylexecutor.ErrOtherInstance)
			return
		}
		l, err := s.apply(t.Call)
		w.after(w.hop(), func() { answer(l, err) })
	})
}

func (a *worldAgent) report(k *berylkeeper.Keeper) {
	w := a.w
	a.busy = true
	a.last = w.now
	r := k.Report(w.now)
	sent := k.BackendClock(w.now)
	e := w.entries[a.target%len(w.entries)]
	w.after(500*time.Millisecond, func() {
		if a.k == k && a.busy && w.now.Sub(a.last) >= 500*time.Millisecond {
			a.busy = false
			a.target++
		}
	})
	if a.cut {
		return
	}
	w.after(w.hop(), func() {
		if !e.up || a.cut {
			return
		}
		d := e.d
		answer := d.Report(w.now, r)
		e.carryOut(d)
		w.after(w.hop(), func() {
			if a.k != k || !a.up || a.cut {
				return
			}
			a.busy = false
			k.Answer(answer, r.Incarnation, sent)
			if !answer.FromLeader {
				a.target++
			}
			a.drive(k)
		})
	})
}

func (w *world) order(e *worldEntry, node string, o berylreport.Orders) {
	for _, a := range w.agents {
		if a.name != node {
			continue
		}
		w.after(w.hop(), func() {
			if a.up && !a.cut && e.up {
				a.k.Orders(w.now, o)
				a.drive(a.k)
			}
		})
	}
}

// announce lets agents report to a new leader; a report that still waits for the
// last one is given up.
func (w *world) announce(e *worldEntry) {
	for _, a := range w.agents {
		w.after(w.hop(), func() {
			if a.up && !a.cut && e.up {
				a.target = slices.Index(w.entries, e)
				a.last = time.Time{}
				a.busy = false
				a.drive(a.k)
			}
		})
	}
}

var errWorldTimeout = errors.New("timeout")
