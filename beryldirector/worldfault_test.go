package beryldirector

import "time"

// faults schedules n faults.
func (w *world) faults(n int) {
	for range n {
		at := time.Duration(w.r.Int64N(int64(_worldFaultPeriod)))
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
				e.disconnected = true
				w.after(length, func() { e.disconnected = false })
			case 2:
				e.up = false
				w.after(length, func() {
					if !e.up {
						e.start()
					}
				})
			case 3:
				a.disconnected = true
				w.after(length, a.reconnect)
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

// cuts schedules n cuts of single agents that last about as long as a lease. Orders that
// are sent meanwhile are delivered at the end of the cut.
func (w *world) cuts(n int) {
	w.holdOrders = true
	for range n {
		at := time.Duration(w.r.Int64N(int64(_worldFaultPeriod)))
		length := 8500*time.Millisecond + time.Duration(w.r.IntN(4000))*time.Millisecond
		a := w.agents[w.r.IntN(len(w.agents))]
		w.after(at, func() {
			w.note("%s is cut off for %s", a.name, length)
			a.disconnected = true
			w.after(length, a.reconnect)
		})
	}
}

// outages schedules n outages of the store that last about as long as a lease.
func (w *world) outages(n int) {
	for range n {
		at := time.Duration(w.r.Int64N(int64(_worldFaultPeriod)))
		length := 8500*time.Millisecond + time.Duration(w.r.IntN(2500))*time.Millisecond
		w.after(at, func() {
			w.note("store is down for %s", length)
			w.storeUp = false
			w.after(length, func() { w.storeUp = true })
		})
	}
}

// departures schedules n announced departures of backend servers, most of them too
// early for the runs to end. A new incarnation follows.
func (w *world) departures(n int) {
	for range n {
		at := time.Duration(w.r.Int64N(int64(_worldFaultPeriod)))
		notice := time.Duration(500+w.r.IntN(2500)) * time.Millisecond
		a := w.agents[w.r.IntN(len(w.agents))]
		w.after(at, func() {
			s := a.server
			w.note("%s leaves in %s", a.name, notice)
			s.leavesAt = w.now.Add(notice)
			w.after(notice, func() {
				if a.server == s && s.up {
					s.crash()
					a.startServer()
				}
			})
		})
	}
}

// restarts schedules n restarts of backend servers, some of them together with their agents,
// which may be down for longer. Calls may take longer, and those that are under way reach the
// next incarnation.
func (w *world) restarts(n int) {
	w.sameName = true
	for range n {
		at := time.Duration(w.r.Int64N(int64(_worldFaultPeriod)))
		a := w.agents[w.r.IntN(len(w.agents))]
		both, length := w.r.IntN(2) == 0, time.Duration(w.r.IntN(3000))*time.Millisecond
		w.after(at, func() {
			w.note("%s restarts, agent too: %t, for %s", a.name, both, length)
			a.server.crash()
			a.startServer()
			if both {
				a.up = false
				w.after(length, func() {
					if !a.up {
						a.start()
					}
				})
			}
		})
	}
}
