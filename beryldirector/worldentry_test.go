package beryldirector

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"berylglade/berylbook"
)

// worldEntry simulates an entry with its Director.
type worldEntry struct {
	w            *world
	name         string
	d            *Director
	boot         int64
	up           bool
	disconnected bool
	// loaded is true once this process has read the topic from its start. Like the
	// follower of an entry, it applies no records before.
	loaded     bool
	nextRecord int
	seq        int64
	asked      bool
}

func (e *worldEntry) reachesStore() bool { return e.up && !e.disconnected && e.w.storeUp }

func (e *worldEntry) start() {
	e.boot++
	e.up = true
	e.asked = false
	e.loaded = false
	e.d = New(Self{Node: e.name, Boot: e.boot, Addr: e.name}, testLimits())
	e.d.Policy = testPolicy()
	e.load(e.d)
	e.read(e.d)
	e.tick(e.d)
}

func (e *worldEntry) load(d *Director) {
	if e.d != d {
		return
	}
	if !e.reachesStore() {
		e.w.after(100*time.Millisecond, func() { e.load(d) })
		return
	}
	var book berylbook.Book
	for _, r := range e.w.topic {
		book.Apply(r)
	}
	e.loaded = true
	e.nextRecord = len(e.w.topic)
	d.Restore(e.w.now, book, int64(e.nextRecord))
}

// read reads the new records of the topic, and repeats itself until the entry stops
// or restarts.
func (e *worldEntry) read(d *Director) {
	if e.d != d || !e.up {
		return
	}
	if e.loaded && e.reachesStore() {
		records := e.w.topic[e.nextRecord:]
		e.nextRecord = len(e.w.topic)
		d.ApplyRecords(e.w.now, records, int64(e.nextRecord))
		e.carryOut(d)
	}
	e.w.after(20*time.Millisecond, func() { e.read(d) })
}

func (e *worldEntry) tick(d *Director) {
	if e.d != d || !e.up {
		return
	}
	e.carryOut(d)
	e.w.after(50*time.Millisecond, func() { e.tick(d) })
}

func (e *worldEntry) carryOut(d *Director) {
	d.Step(e.w.now)
	for _, effect := range d.Effects() {
		switch effect := effect.(type) {
		case Claim:
			e.w.after(e.w.latency(), func() { e.claim(effect) })
		case Persist:
			e.seq++
			seq := e.seq
			e.w.after(e.w.latency(), func() { e.persist(d, effect, seq) })
		case Reload:
			e.w.after(e.w.latency(), func() { e.load(d) })
		case Probe:
			e.probe(d, effect.Epoch)
		case CheckLeader:
			e.w.after(e.w.latency(), func() { e.checkLeader(d, effect) })
		case Announce:
			e.w.announce(e)
		case Note:
			if effect.Text == "move" {
				e.w.moves++
			}
			e.w.note("%s %s %v", e.name, effect.Text, effect.Args)
		}
	}
	orders := d.Orders(e.w.now)
	for _, node := range slices.Sorted(maps.Keys(orders)) {
		e.w.order(e, node, orders[node])
	}
}

func (e *worldEntry) claim(c Claim) {
	if !e.reachesStore() || int64(len(e.w.topic)) != c.At || c.Claim.Epoch <= e.w.fence {
		return
	}
	r, err := c.Claim.Record()
	if err != nil {
		e.w.t.Fatal(err)
	}
	e.w.fence = c.Claim.Epoch
	e.seq = 0
	e.w.topic = append(e.w.topic, r)
}

// persist appends the records at most once. It repeats an append whose answer was
// lost, which happens at random.
func (e *worldEntry) persist(d *Director, p Persist, seq int64) {
	if e.d != d || !e.up {
		return
	}
	again := func() { e.w.after(150*time.Millisecond, func() { e.persist(d, p, seq) }) }
	if !e.reachesStore() {
		again()
		return
	}
	if p.Epoch < e.w.fence {
		e.w.after(e.w.latency(), func() { e.deposed(d, p.Epoch) })
		return
	}
	key := fmt.Sprint(p.Epoch, "/", seq)
	if !e.w.seqs[key] {
		e.w.seqs[key] = true
		e.w.topic = append(e.w.topic, p.Records...)
	}
	if e.w.r.IntN(20) == 0 {
		again()
		return
	}
	e.w.after(e.w.latency(), func() {
		if e.d == d && e.up && d.Epoch() == p.Epoch {
			d.Committed(e.w.now)
			e.carryOut(d)
		}
	})
}

// checkLeader checks whether the leader answers. One in ten checks of a leader that is
// alive fails, as it does while the two entries are cut off from each other.
func (e *worldEntry) checkLeader(d *Director, c CheckLeader) {
	if e.d != d || !e.up {
		return
	}
	for _, other := range e.w.entries {
		if other.name == c.Addr && other.up && other.d.Epoch() == c.Epoch && e.w.r.IntN(10) > 0 {
			return
		}
	}
	d.LeaderUnreachable(c.Epoch)
	e.carryOut(d)
}

func (e *worldEntry) deposed(d *Director, epoch int64) {
	if e.d == d && e.up && d.Epoch() == epoch {
		d.Deposed()
		e.carryOut(d)
	}
}

// probe yields leadership to another entry that reaches the store if this one does
// not.
func (e *worldEntry) probe(d *Director, epoch int64) {
	for _, other := range e.w.entries {
		if other == e || !other.up || !other.reachesStore() || e.reachesStore() {
			continue
		}
		e.w.after(e.w.latency(), func() {
			if e.d != d || !e.up || !d.Yield(e.w.now, epoch) {
				return
			}
			e.carryOut(d)
			e.w.after(e.w.latency(), func() { other.d.YieldReceived(epoch) })
		})
		return
	}
}
