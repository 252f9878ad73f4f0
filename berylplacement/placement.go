// Package berylplacement finds workers for gangs.
//
// A [Placement] indexes the workers by failure domain and rack. Capacity sums per
// rack and domain rule out most groups before single workers are examined.
//
// Guaranteed shapes are protected: a search tries to keep capacity available for those
// that the caller lists in Protect. A unit is one piece of capacity of a protected
// shape, and fits on one worker. Among the workers that fit a gang, a search prefers
// those where the gang takes away room for the fewest units, and then those with the
// least capacity left, which keeps whole workers free.
//
// Two amounts are tracked for each worker. Allocated is what is assigned to gangs,
// started or not, and what else is known to run there; it limits what can start
// immediately. Committed is what preemption can't reclaim: non-preemptible work,
// guaranteed units and reservations. Allocated capacity that is not committed can be
// reclaimed by preemption.
package berylplacement

import (
	"math"
	"slices"

	"berylglade/beryladjacency"
	"berylglade/berylshape"
)

// Mode selects the capacity that a request may use.
type Mode uint8

const (
	// Free selects capacity that is not allocated; for preemptible work.
	Free Mode = iota + 1
	// NonPreemptible selects capacity that is neither allocated nor committed.
	NonPreemptible
	// Evict selects capacity that is not committed, although preemptible work may
	// use it.
	Evict
	// Total selects the whole capacity of every known worker, including workers
	// that are not usable now.
	Total
)

// Protected is a set of Count units of one shape. Searches keep as many units
// placeable as possible.
type Protected struct {
	Shape    berylshape.Shape
	Count    int
	Adjacent beryladjacency.Adjacency
}

// Request asks for workers for a gang of Tasks tasks of one shape.
type Request struct {
	Shape    berylshape.Shape
	Tasks    int
	Adjacent beryladjacency.Adjacency
	Mode     Mode
	// Domain limits the search to one failure domain; empty means all.
	Domain string
	// Exclude reports whether a worker must not be used; nil excludes none.
	Exclude func(worker int) bool
	// ExtraCapacity returns committed capacity of a worker that this request may
	// use; nil means none.
	ExtraCapacity func(worker int) berylshape.Shape
	// Cost is the fixed cost of using a worker; nil means none. It takes
	// precedence over the loss of protected units.
	Cost func(worker int) float64
}

// Part is the part of a gang that is placed on one worker.
type Part struct {
	Worker int
	Tasks  int
}

// Worker is an indexed worker.
type Worker struct {
	Name   string
	Domain string
	Rack   string
	Total  berylshape.Shape
	// Allocated may exceed Total while a gang that is assigned to the worker waits
	// for preempted gangs to end, or after Total has shrunk.
	Allocated berylshape.Shape
	// Committed may exceed Total by reservations, by guaranteed units that wait for
	// non-preemptible work to end, and after Total has shrunk.
	Committed berylshape.Shape
	// Usable is false while nothing may be placed on the worker.
	Usable bool
	// Known is false after Remove.
	Known bool

	rack *group
}

// Placement is an index of workers and their capacity. The zero value is empty.
type Placement struct {
	// Protect lists the shapes to keep placeable, the most important first.
	Protect []Protected
	// FirstFit takes the first workers that fit, without regard to cost or
	// protected shapes.
	FirstFit bool
	// Examined counts the workers that searches have examined. It measures the
	// work done independently of the clock.
	Examined int

	workers     []Worker
	byName      map[string]int
	racks       map[string]*group
	domains     map[string]*group
	domainOrder []*group
}

// group is a rack or a failure domain.
type group struct {
	name        string
	domain      *group
	racks       []*group
	members     []int
	free        berylshape.Shape
	uncommitted berylshape.Shape
	total       berylshape.Shape
}

// Put adds a worker or updates its failure domain, rack and total, and returns its
// number. Numbers are dense and never reused. A worker may change its domain and
// rack while it has allocations.
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
	p.removeFromGroups(i)
	w.Domain, w.Rack, w.Total, w.Known = domain, rack, total, true
	p.addToGroups(i)
	return i
}

// Remove excludes a worker from all searches, including those in mode Total. The
// worker keeps its number.
func (p *Placement) Remove(i int) {
	p.removeFromGroups(i)
	p.workers[i].Known = false
	p.workers[i].Usable = false
}

// Index returns the number of the worker with the given name.
func (p *Placement) Index(name string) (int, bool) {
	i, ok := p.byName[name]
	return i, ok
}

// Worker returns a worker by number. The caller must not modify it.
func (p *Placement) Worker(i int) *Worker { return &p.workers[i] }

// Len returns one more than the largest worker number, removed workers included.
func (p *Placement) Len() int { return len(p.workers) }

// SetUsable sets whether anything may be placed on a worker.
func (p *Placement) SetUsable(i int, usable bool) {
	if p.workers[i].Usable != usable {
		p.update(i, func(w *Worker) { w.Usable = usable })
	}
}

// AddAllocated adds n times a shape to a worker's allocated capacity; n may be
// negative.
func (p *Placement) AddAllocated(i int, s berylshape.Shape, n int) {
	p.update(i, func(w *Worker) { w.Allocated = w.Allocated.Add(s.Times(n)) })
}

// AddCommitted adds n times a shape to a worker's committed capacity; n may be
// negative.
func (p *Placement) AddCommitted(i int, s berylshape.Shape, n int) {
	p.update(i, func(w *Worker) { w.Committed = w.Committed.Add(s.Times(n)) })
}

// update applies f to a worker and updates the sums of its rack and domain.
func (p *Placement) update(i int, f func(*Worker)) {
	w := &p.workers[i]
	if w.rack == nil {
		f(w)
		return
	}
	free, uncommitted := w.free(), w.uncommitted()
	f(w)
	free, uncommitted = w.free().Sub(free), w.uncommitted().Sub(uncommitted)
	w.rack.add(free, uncommitted)
	w.rack.domain.add(free, uncommitted)
}

func (g *group) add(free, uncommitted berylshape.Shape) {
	g.free = g.free.Add(free)
	g.uncommitted = g.uncommitted.Add(uncommitted)
}

// free returns the capacity that is not allocated. It is zero for unusable workers
// so that the sums of the groups exclude them.
func (w *Worker) free() berylshape.Shape {
	if !w.Usable {
		return berylshape.Shape{}
	}
	return nonNegative(w.Total.Sub(w.Allocated))
}

// uncommitted returns the capacity that is not committed; zero for unusable workers.
func (w *Worker) uncommitted() berylshape.Shape {
	if !w.Usable {
		return berylshape.Shape{}
	}
	return nonNegative(w.Total.Sub(w.Committed))
}

func nonNegative(s berylshape.Shape) berylshape.Shape {
	return berylshape.Shape{
		Accelerators: max(s.Accelerators, 0),
		Cores:        max(s.Cores, 0),
		Memory:       max(s.Memory, 0),
	}
}

func elementwiseMin(a, b berylshape.Shape) berylshape.Shape {
	return berylshape.Shape{
		Accelerators: min(a.Accelerators, b.Accelerators),
		Cores:        min(a.Cores, b.Cores),
		Memory:       min(a.Memory, b.Memory),
	}
}

func (p *Placement) removeFromGroups(i int) {
	w := &p.workers[i]
	if w.rack == nil {
		return
	}
	for _, g := range []*group{w.rack, w.rack.domain} {
		g.free, g.uncommitted, g.total = g.free.Sub(w.free()), g.uncommitted.Sub(w.uncommitted()), g.total.Sub(w.Total)
	}
	if k := slices.Index(w.rack.members, i); k >= 0 {
		w.rack.members = slices.Delete(w.rack.members, k, k+1)
	}
	w.rack = nil
}

func (p *Placement) addToGroups(i int) {
	w := &p.workers[i]
	d, ok := p.domains[w.Domain]
	if !ok {
		d = &group{name: w.Domain}
		p.domains[w.Domain] = d
		p.domainOrder = append(p.domainOrder, d)
	}
	// Rack names are unique across domains. The key includes the domain so that
	// a configuration error can't mix workers of two domains in one rack.
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
		g.free, g.uncommitted, g.total = g.free.Add(w.free()), g.uncommitted.Add(w.uncommitted()), g.total.Add(w.Total)
	}
}

// Available returns the capacity of a worker that a request in mode m may use.
func (p *Placement) Available(i int, m Mode) berylshape.Shape {
	w := &p.workers[i]
	switch m {
	case Free:
		return w.free()
	case NonPreemptible:
		return elementwiseMin(w.free(), w.uncommitted())
	case Evict:
		return w.uncommitted()
	default:
		return w.Total
	}
}

// Find returns workers for the whole gang, or false if it does not fit. It does not
// allocate the capacity.
func (p *Placement) Find(r Request) ([]Part, bool) {
	if r.Tasks < 1 || r.Shape.Empty() {
		return nil, false
	}
	f := &finder{Placement: p, Request: r, lossCache: map[lossKey]float64{}, rackUnitsCache: map[rackUnitsKey]int{}}
	switch {
	case r.Adjacent == beryladjacency.Worker || r.Tasks == 1:
		return f.findOnWorker()
	case r.Adjacent == beryladjacency.Rack:
		return f.findInRack()
	case r.Adjacent == beryladjacency.Domain:
		return f.findInDomain()
	default:
		return f.findAnywhere()
	}
}

// FreeIn returns the total free capacity of a failure domain.
func (p *Placement) FreeIn(domain string) berylshape.Shape {
	if d, ok := p.domains[domain]; ok {
		return d.free
	}
	return berylshape.Shape{}
}

// maxTasks returns an upper bound on the number of tasks that fit into a group. The
// sums do not include extra capacity, so such requests are not bounded.
func (f *finder) maxTasks(g *group) int {
	if f.ExtraCapacity != nil {
		return math.MaxInt
	}
	switch f.Mode {
	case Free:
		return f.Shape.Count(g.free)
	case NonPreemptible:
		return f.Shape.Count(elementwiseMin(g.free, g.uncommitted))
	case Evict:
		return f.Shape.Count(g.uncommitted)
	default:
		return f.Shape.Count(g.total)
	}
}
