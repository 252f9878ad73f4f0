// Package berylplacement finds workers for a gang.
//
// A [Placement] indexes the workers by failure domain and rack. Sums per rack
// and domain rule out most groups before a worker is looked at. Among the workers
// that fit it prefers those where the gang destroys the fewest placeable
// protected shapes: the guaranteed shapes and whole workers.
//
// Each worker has two accounts. Held is what runs or is booked there now; it
// limits what starts at once. Committed is what the worker owes and can't take
// back by preemption: firm work, guaranteed units, reservations. The rest of
// Held can be reclaimed.
package berylplacement

import (
	"math"
	"slices"

	"berylglade/beryladjacency"
	"berylglade/berylshape"
)

// Mode says which capacity a gang may use.
type Mode uint8

const (
	// Free is what nobody holds; for work that can be reclaimed.
	Free Mode = iota + 1
	// NonPreemptible is free and not committed to anybody else.
	NonPreemptible
	// Evict is not committed, but may be held by work that can be reclaimed.
	Evict
	// Total is every known worker, also one that can't be used now.
	Total
)

// Protected is a shape that should stay placeable as often as possible.
type Protected struct {
	Shape    berylshape.Shape
	Count    int
	Adjacent beryladjacency.Adjacency
}

// Request asks for places for Tasks tasks of one shape.
type Request struct {
	Shape    berylshape.Shape
	Tasks    int
	Adjacent beryladjacency.Adjacency
	Mode     Mode
	// Domain limits the search to one failure domain; empty means all.
	Domain string
	// Exclude excludes workers; nil excludes none.
	Exclude func(worker int) bool
	// ExtraCapacity is capacity that is not counted as committed for this request.
	ExtraCapacity func(worker int) berylshape.Shape
	// Cost is compared before harm; nil means none. It is the cost of using
	// the worker at all.
	Cost func(worker int) float64
}

// Part is a number of tasks on one worker.
type Part struct {
	Worker int
	Tasks  int
}

// Worker is one indexed worker.
type Worker struct {
	Name   string
	Domain string
	Rack   string
	Total  berylshape.Shape
	// Allocated is at most Total, but for bookings that wait for a preemption.
	Allocated berylshape.Shape
	// Committed is at most Total unless Total shrank.
	Committed berylshape.Shape
	// Usable is false while nothing may be placed here.
	Usable bool
	// Known is false after the worker was forgotten.
	Known bool

	rack *group
}

// Placement is the index. The zero value is empty.
type Placement struct {
	// Protect are the shapes to keep placeable, the most important first.
	Protect []Protected
	// FirstFit turns the choice by harm off.
	FirstFit bool
	// Examined counts the workers that searches looked at, as a measure of time
	// that does not depend on a clock.
	Examined int

	workers []Worker
	byName  map[string]int
	racks   map[string]*group
	domains map[string]*group
	order   []*group
}

// group is a rack or a failure domain.
type group struct {
	name    string
	domain  *group
	racks   []*group
	members []int
	free    berylshape.Shape
	room    berylshape.Shape
	total   berylshape.Shape
}

// Put adds a worker or changes its place and size, and returns its number. The
// numbers are dense and never reused. Domain and rack of a worker that holds
// anything change as well.
func (p *Placement) Put(name, domain, rack string, total berylshape.Shape) int {
	if p.byName == nil {
		p.byName = map[string]int{}
		p.racks = map[string]*group{}
		p.domains = map[string]*group{}
	}
	i, ok := p.byName[name]
	if !ok {
		i = len(p.workers)
		p.byName[name] = i
		p.workers = append(p.workers, Worker{Name: name})
	}
	w := &p.workers[i]
	p.leave(i)
	w.Domain, w.Rack, w.Total, w.Known = domain, rack, total, true
	p.join(i)
	return i
}

// Remove removes a worker from all searches, also those in mode Total.
func (p *Placement) Remove(i int) {
	p.leave(i)
	p.workers[i].Known = false
	p.workers[i].Usable = false
}

// Index returns the number of a worker.
func (p *Placement) Index(name string) (int, bool) {
	i, ok := p.byName[name]
	return i, ok
}

// Worker returns a worker by number. The value must not be changed.
func (p *Placement) Worker(i int) *Worker { return &p.workers[i] }

// Len returns one more than the largest worker number.
func (p *Placement) Len() int { return len(p.workers) }

// SetUsable says whether anything may be placed on a worker.
func (p *Placement) SetUsable(i int, usable bool) {
	if p.workers[i].Usable != usable {
		p.change(i, func(w *Worker) { w.Usable = usable })
	}
}

// AddAllocated adds n times a shape to what is held; n may be below zero.
func (p *Placement) AddAllocated(i int, s berylshape.Shape, n int) {
	p.change(i, func(w *Worker) { w.Allocated = w.Allocated.Add(s.Times(n)) })
}

// AddCommitted adds n times a shape to what is committed; n may be below zero.
func (p *Placement) AddCommitted(i int, s berylshape.Shape, n int) {
	p.change(i, func(w *Worker) { w.Committed = w.Committed.Add(s.Times(n)) })
}

func (p *Placement) change(i int, f func(*Worker)) {
	w := &p.workers[i]
	if w.rack == nil {
		f(w)
		return
	}
	free, room := w.free(), w.room()
	f(w)
	free, room = w.free().Sub(free), w.room().Sub(room)
	w.rack.add(free, room)
	w.rack.domain.add(free, room)
}

func (g *group) add(free, room berylshape.Shape) {
	g.free = g.free.Add(free)
	g.room = g.room.Add(room)
}

// free is zero for workers that can't be used, so that the sums leave them out.
func (w *Worker) free() berylshape.Shape {
	if !w.Usable {
		return berylshape.Shape{}
	}
	return positive(w.Total.Sub(w.Allocated))
}

func (w *Worker) room() berylshape.Shape {
	if !w.Usable {
		return berylshape.Shape{}
	}
	return positive(w.Total.Sub(w.Committed))
}

func positive(s berylshape.Shape) berylshape.Shape {
	return berylshape.Shape{
		Accelerators: max(s.Accelerators, 0),
		Cores:        max(s.Cores, 0),
		Memory:       max(s.Memory, 0),
	}
}

func least(a, b berylshape.Shape) berylshape.Shape {
	return berylshape.Shape{
		Accelerators: min(a.Accelerators, b.Accelerators),
		Cores:        min(a.Cores, b.Cores),
		Memory:       min(a.Memory, b.Memory),
	}
}

func (p *Placement) leave(i int) {
	w := &p.workers[i]
	if w.rack == nil {
		return
	}
	for _, g := range []*group{w.rack, w.rack.domain} {
		g.free, g.room, g.total = g.free.Sub(w.free()), g.room.Sub(w.room()), g.total.Sub(w.Total)
	}
	if k := slices.Index(w.rack.members, i); k >= 0 {
		w.rack.members = slices.Delete(w.rack.members, k, k+1)
	}
	w.rack = nil
}

func (p *Placement) join(i int) {
	w := &p.workers[i]
	d, ok := p.domains[w.Domain]
	if !ok {
		d = &group{name: w.Domain}
		p.domains[w.Domain] = d
		p.order = append(p.order, d)
	}
	// Racks are unique over all domains; the key has the domain so that a
	// wrong setting can't mix two domains in one rack.
	k := w.Domain + "/" + w.Rack
	r, ok := p.racks[k]
	if !ok {
		r = &group{name: w.Rack, domain: d}
		p.racks[k] = r
		d.racks = append(d.racks, r)
	}
	w.rack = r
	r.members = append(r.members, i)
	for _, g := range []*group{r, d} {
		g.free, g.room, g.total = g.free.Add(w.free()), g.room.Add(w.room()), g.total.Add(w.Total)
	}
}

// Available returns what a request in the given mode may use of a worker.
func (p *Placement) Available(i int, m Mode) berylshape.Shape {
	w := &p.workers[i]
	switch m {
	case Free:
		return w.free()
	case NonPreemptible:
		return least(w.free(), w.room())
	case Evict:
		return w.room()
	default:
		return w.Total
	}
}

// Find returns places for the whole gang, or false. It changes nothing.
func (p *Placement) Find(r Request) ([]Part, bool) {
	if r.Tasks < 1 || r.Shape.Empty() {
		return nil, false
	}
	f := &finder{Placement: p, Request: r, harms: map[harmKey]float64{}, units: map[rackKey]int{}}
	switch {
	case r.Adjacent == beryladjacency.Worker || r.Tasks == 1:
		return f.onWorker()
	case r.Adjacent == beryladjacency.Rack:
		return f.inRack()
	case r.Adjacent == beryladjacency.Domain:
		return f.inDomain()
	default:
		return f.anywhere()
	}
}

// FreeIn returns the sum of free capacity in a failure domain.
func (p *Placement) FreeIn(domain string) berylshape.Shape {
	if d, ok := p.domains[domain]; ok {
		return d.free
	}
	return berylshape.Shape{}
}

// bound returns how many tasks a group can hold at most.
func (f *finder) bound(g *group) int {
	if f.ExtraCapacity != nil {
		return math.MaxInt
	}
	switch f.Mode {
	case Free:
		return f.Shape.Count(g.free)
	case NonPreemptible:
		return f.Shape.Count(least(g.free, g.room))
	case Evict:
		return f.Shape.Count(g.room)
	default:
		return f.Shape.Count(g.total)
	}
}
