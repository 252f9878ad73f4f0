package berylplacement

import (
	"cmp"
	"container/heap"

	"berylglade/beryladjacency"
	"berylglade/berylshape"
)

// finder is the state of one search.
type finder struct {
	*Placement
	Request

	// lossCache caches unitLoss by available capacity, because many workers have
	// the same amount available.
	lossCache      map[lossKey]float64
	rackUnitsCache map[rackUnitsKey]int
	pool           []candidate
	// idealTasks and idealWorkers count the tasks and workers of the candidates
	// found that have neither cost nor loss.
	idealTasks   int
	idealWorkers int
}

type rackUnitsKey struct {
	rack      *group
	protected int
}

type lossKey struct {
	have berylshape.Shape
	n    int
}

// candidate is a worker on which at least one task fits.
type candidate struct {
	worker int
	// tasks is the number of tasks that fit, at most the number requested.
	tasks int
	// cost, loss and leftover apply if all of tasks are placed.
	cost float64
	// loss is the number of protected units that are no longer placeable.
	loss float64
	// leftover is the capacity that stays free, as a sum of shares per resource.
	leftover float64
}

// compareCandidates orders candidates by cost per task, then by loss per task, then
// by best fit.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.cost*float64(b.tasks), b.cost*float64(a.tasks)),
		cmp.Compare(a.loss*float64(b.tasks), b.loss*float64(a.tasks)),
		cmp.Compare(a.leftover, b.leftover),
		cmp.Compare(a.worker, b.worker),
	)
}

// capacity returns the capacity of a worker that the request may use.
func (f *finder) capacity(i int) berylshape.Shape {
	have := f.Available(i, f.Mode)
	if f.ExtraCapacity == nil || !f.workers[i].Usable {
		return have
	}
	w := &f.workers[i]
	uncommitted := nonNegative(w.Total.Sub(w.Committed).Add(f.ExtraCapacity(i)))
	if f.Mode == NonPreemptible {
		return elementwiseMin(w.free(), uncommitted)
	}
	return uncommitted
}

// candidate evaluates one worker for up to n tasks.
func (f *finder) candidate(i, n int) (candidate, bool) {
	f.Examined++
	have := f.capacity(i)
	k := min(f.Shape.Count(have), n)
	if k == 0 || f.Exclude != nil && f.Exclude(i) {
		return candidate{}, false
	}
	c := candidate{worker: i, tasks: k}
	if f.FirstFit {
		return c, true
	}
	if f.Cost != nil {
		c.cost = f.Cost(i)
	}
	c.loss = f.loss(i, have, k)
	c.leftover = sumOfShares(have.Sub(f.Shape.Times(k)), f.workers[i].Total)
	return c, true
}

// sumOfShares returns the sum over the resources of the share that s has of total.
func sumOfShares(s, total berylshape.Shape) float64 {
	share := func(a, b int64) float64 {
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return share(int64(s.Accelerators), int64(total.Accelerators)) +
		share(int64(s.Cores), int64(total.Cores)) +
		share(int64(s.Memory), int64(total.Memory))
}

// loss returns the number of protected units that are no longer placeable after n
// tasks are placed on a worker. For a set of units that needs one worker or one rack,
// all units count in addition as lost when the set no longer fits.
func (f *finder) loss(i int, have berylshape.Shape, n int) float64 {
	k := lossKey{have: have, n: n}
	units, ok := f.lossCache[k]
	if !ok {
		units = f.unitLoss(have, n)
		f.lossCache[k] = units
	}
	for j, p := range f.Protect {
		if p.Adjacent != beryladjacency.Rack || p.Count < 2 {
			continue
		}
		lost := p.Shape.Count(have) - p.Shape.Count(have.Sub(f.Shape.Times(n)))
		if lost > 0 {
			inRack := f.rackUnits(f.workers[i].rack, j)
			units += float64((inRack/p.Count - (inRack-lost)/p.Count) * p.Count)
		}
	}
	return units
}

// unitLoss is the part of loss that depends only on the worker's available capacity.
func (f *finder) unitLoss(have berylshape.Shape, n int) float64 {
	units := 0.0
	left := have.Sub(f.Shape.Times(n))
	for _, p := range f.Protect {
		before, after := p.Shape.Count(have), p.Shape.Count(left)
		units += float64(before - after)
		if p.Adjacent == beryladjacency.Worker {
			units += float64((before/p.Count - after/p.Count) * p.Count)
		}
	}
	return units
}

// rackUnits returns how many units of a protected shape fit into a rack. protected
// is an index into Protect.
func (f *finder) rackUnits(r *group, protected int) int {
	k := rackUnitsKey{rack: r, protected: protected}
	n, ok := f.rackUnitsCache[k]
	if ok {
		return n
	}
	for _, i := range r.members {
		n += f.Protect[protected].Shape.Count(f.capacity(i))
	}
	f.rackUnitsCache[k] = n
	return n
}

// _enoughIdealWorkers is the number of workers without cost and loss after which a
// search that has enough capacity stops examining workers.
const _enoughIdealWorkers = 64

// searchedDomains returns the failure domains to search.
func (f *finder) searchedDomains() []*group {
	if f.Domain == "" {
		return f.domainOrder
	}
	if d, ok := f.domains[f.Domain]; ok {
		return []*group{d}
	}
	return nil
}

// scan adds the candidates in a domain's racks to the pool. It stops early and
// returns true once enough of them have neither cost nor loss.
func (f *finder) scan(g *group) bool {
	for _, r := range g.racks {
		f.scanRack(r)
		if f.idealTasks >= f.Tasks && f.idealWorkers >= _enoughIdealWorkers {
			return true
		}
	}
	return false
}

func (f *finder) scanRack(r *group) {
	if f.maxTasks(r) == 0 {
		return
	}
	for _, i := range r.members {
		c, ok := f.candidate(i, f.Tasks)
		if !ok {
			continue
		}
		f.pool = append(f.pool, c)
		if c.cost == 0 && c.loss == 0 {
			f.idealTasks += c.tasks
			f.idealWorkers++
		}
	}
}

// findOnWorker finds one worker for the whole gang.
func (f *finder) findOnWorker() ([]Part, bool) {
	best, found := candidate{}, false
	for _, d := range f.searchedDomains() {
		if f.maxTasks(d) < f.Tasks {
			continue
		}
		for _, r := range d.racks {
			if f.maxTasks(r) < f.Tasks {
				continue
			}
			for _, i := range r.members {
				c, ok := f.candidate(i, f.Tasks)
				if !ok || c.tasks < f.Tasks {
					continue
				}
				if !found || compareCandidates(c, best) < 0 {
					best, found = c, true
				}
				if c.cost == 0 && c.loss == 0 {
					f.idealWorkers++
				}
				if f.FirstFit || f.idealWorkers >= _enoughIdealWorkers || best.cost == 0 && best.loss == 0 && best.leftover == 0 {
					return []Part{{Worker: best.worker, Tasks: f.Tasks}}, true
				}
			}
		}
	}
	return []Part{{Worker: best.worker, Tasks: f.Tasks}}, found
}

// findInRack finds the rack with the least cost and loss for the whole gang.
func (f *finder) findInRack() ([]Part, bool) {
	best, found := assignment{}, false
	for _, d := range f.searchedDomains() {
		if f.maxTasks(d) < f.Tasks {
			continue
		}
		for _, r := range d.racks {
			if f.maxTasks(r) < f.Tasks {
				continue
			}
			f.resetPool()
			f.scanRack(r)
			c, ok := f.assemble()
			if !ok {
				continue
			}
			if !found || c.less(best) {
				best, found = c, true
			}
			if f.FirstFit {
				return best.parts, true
			}
		}
	}
	return best.parts, found
}

// findInDomain finds the failure domain with the least cost and loss for the whole
// gang.
func (f *finder) findInDomain() ([]Part, bool) {
	best, found := assignment{}, false
	for _, d := range f.searchedDomains() {
		if f.maxTasks(d) < f.Tasks {
			continue
		}
		if f.Cost != nil && !f.fitsIn(d) {
			continue
		}
		f.resetPool()
		f.scan(d)
		c, ok := f.assemble()
		if ok && (!found || c.less(best)) {
			best, found = c, true
		}
	}
	return best.parts, found
}

// fitsIn reports whether the gang fits into a failure domain. It does not evaluate
// Cost, which can take much longer.
func (f *finder) fitsIn(d *group) bool {
	n := 0
	for _, r := range d.racks {
		if f.maxTasks(r) == 0 {
			continue
		}
		for _, i := range r.members {
			f.Examined++
			k := f.Shape.Count(f.capacity(i))
			if k == 0 || f.Exclude != nil && f.Exclude(i) {
				continue
			}
			n += k
			if n >= f.Tasks {
				return true
			}
		}
	}
	return false
}

// findAnywhere finds workers for the gang in any of the searched domains.
func (f *finder) findAnywhere() ([]Part, bool) {
	for _, d := range f.searchedDomains() {
		if f.scan(d) {
			break
		}
	}
	c, ok := f.assemble()
	return c.parts, ok
}

func (f *finder) resetPool() {
	f.pool = f.pool[:0]
	f.idealTasks, f.idealWorkers = 0, 0
}

// assignment is a set of parts for the whole gang, with the sums over its candidates.
type assignment struct {
	parts    []Part
	cost     float64
	loss     float64
	leftover float64
}

func (c assignment) less(o assignment) bool {
	return cmp.Or(
		cmp.Compare(c.cost, o.cost),
		cmp.Compare(c.loss, o.loss),
		cmp.Compare(c.leftover, o.leftover),
		cmp.Compare(len(c.parts), len(o.parts)),
	) < 0
}

// assemble assigns all tasks to candidates from the pool, the best first. It returns
// false if the pool has too little capacity.
func (f *finder) assemble() (assignment, bool) {
	have := 0
	for _, c := range f.pool {
		have += c.tasks
	}
	if have < f.Tasks {
		return assignment{}, false
	}
	next := f.candidatesInOrder()
	out := assignment{}
	need := f.Tasks
	for {
		c := next()
		if c.tasks > need {
			c = f.shrink(c, need)
		}
		out.parts = append(out.parts, Part{Worker: c.worker, Tasks: c.tasks})
		out.cost += c.cost
		out.loss += c.loss
		out.leftover += c.leftover
		need -= c.tasks
		if need == 0 {
			break
		}
	}
	return out, true
}

// candidatesInOrder returns a function that returns the next best candidate of the
// pool. It uses a heap instead of sorting, as most gangs need few candidates.
func (f *finder) candidatesInOrder() func() candidate {
	if f.FirstFit {
		k := -1
		return func() candidate {
			k++
			return f.pool[k]
		}
	}
	h := (*candidateHeap)(&f.pool)
	heap.Init(h)
	return func() candidate { return heap.Pop(h).(candidate) }
}

// candidateHeap implements [heap.Interface], the best candidate first.
type candidateHeap []candidate

func (h candidateHeap) Len() int           { return len(h) }
func (h candidateHeap) Less(i, k int) bool { return compareCandidates(h[i], h[k]) < 0 }
func (h candidateHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements [heap.Interface].
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements [heap.Interface].
func (h *candidateHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// shrink returns the candidate for only n tasks.
func (f *finder) shrink(c candidate, n int) candidate {
	if f.FirstFit {
		c.tasks = n
		return c
	}
	c, _ = f.candidate(c.worker, n)
	return c
}
