package berylplacement

import (
	"cmp"
	"container/heap"

	"berylglade/beryladjacency"
	"berylglade/berylshape"
)

// finder is one search.
type finder struct {
	*Placement
	Request

	// harms caches the harm by available amount, because many workers are
	// in the same state.
	harms map[harmKey]float64
	units map[rackKey]int
	pool  []candidate
	// harmless counts the tasks, and harmlessWorkers the workers, of candidates
	// in pool without cost and harm.
	harmless        int
	harmlessWorkers int
}

type rackKey struct {
	rack      *group
	protected int
}

type harmKey struct {
	have berylshape.Shape
	n    int
}

// candidate is a worker that holds at least one task.
type candidate struct {
	worker int
	// tasks is at most the number of tasks asked for.
	tasks int
	// cost, harm and rest are for a gang that uses all of tasks. rest is what
	// stays free beyond that.
	cost float64
	harm float64
	rest float64
}

// better orders candidates by what a task costs there.
func better(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.cost*float64(b.tasks), b.cost*float64(a.tasks)),
		cmp.Compare(a.harm*float64(b.tasks), b.harm*float64(a.tasks)),
		cmp.Compare(a.rest, b.rest),
		cmp.Compare(a.worker, b.worker),
	)
}

// capacity returns what the request may use of a worker.
func (f *finder) capacity(i int) berylshape.Shape {
	have := f.Available(i, f.Mode)
	if f.ExtraCapacity == nil || !f.workers[i].Usable {
		return have
	}
	w := &f.workers[i]
	room := positive(w.Total.Sub(w.Committed).Add(f.ExtraCapacity(i)))
	if f.Mode == NonPreemptible {
		return least(w.free(), room)
	}
	return room
}

// candidate looks at one worker for up to n tasks.
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
	c.harm = f.harm(i, have, k)
	c.rest = fraction(have.Sub(f.Shape.Times(k)), f.workers[i].Total)
	return c, true
}

// fraction is the sum of the shares of each resource.
func fraction(s, of berylshape.Shape) float64 {
	share := func(a, b int64) float64 {
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return share(int64(s.Accelerators), int64(of.Accelerators)) +
		share(int64(s.Cores), int64(of.Cores)) +
		share(int64(s.Memory), int64(of.Memory))
}

// harm is the number of protected units that n tasks on a worker destroy. A set
// that has to stay on one worker or in one rack counts as a whole when it breaks.
func (f *finder) harm(i int, have berylshape.Shape, n int) float64 {
	k := harmKey{have: have, n: n}
	h, ok := f.harms[k]
	if !ok {
		h = f.unitHarm(have, n)
		f.harms[k] = h
	}
	for j, p := range f.Protect {
		if p.Adjacent != beryladjacency.Rack || p.Count < 2 {
			continue
		}
		lost := p.Shape.Count(have) - p.Shape.Count(have.Sub(f.Shape.Times(n)))
		if lost > 0 {
			in := f.rackUnits(f.workers[i].rack, j)
			h += float64((in/p.Count - (in-lost)/p.Count) * p.Count)
		}
	}
	return h
}

func (f *finder) unitHarm(have berylshape.Shape, n int) float64 {
	h := 0.0
	left := have.Sub(f.Shape.Times(n))
	for _, p := range f.Protect {
		before, after := p.Shape.Count(have), p.Shape.Count(left)
		h += float64(before - after)
		if p.Adjacent == beryladjacency.Worker {
			h += float64((before/p.Count - after/p.Count) * p.Count)
		}
	}
	return h
}

// rackUnits returns how many units of a protected shape a rack can hold.
func (f *finder) rackUnits(r *group, protected int) int {
	k := rackKey{rack: r, protected: protected}
	n, ok := f.units[k]
	if ok {
		return n
	}
	for _, i := range r.members {
		n += f.Protect[protected].Shape.Count(f.capacity(i))
	}
	f.units[k] = n
	return n
}

// _harmless is the number of workers at no cost and harm, beyond those needed,
// after which a search stops looking for better ones.
const _harmless = 64

// groups returns the failure domains to search.
func (f *finder) groups() []*group {
	if f.Domain == "" {
		return f.order
	}
	if d, ok := f.domains[f.Domain]; ok {
		return []*group{d}
	}
	return nil
}

// scan adds the candidates of a group's racks to the pool and reports whether
// enough of them are harmless.
func (f *finder) scan(g *group) bool {
	for _, r := range g.racks {
		f.scanRack(r)
		if f.harmless >= f.Tasks && f.harmlessWorkers >= _harmless {
			return true
		}
	}
	return false
}

func (f *finder) scanRack(r *group) {
	if f.bound(r) == 0 {
		return
	}
	for _, i := range r.members {
		c, ok := f.candidate(i, f.Tasks)
		if !ok {
			continue
		}
		f.pool = append(f.pool, c)
		if c.cost == 0 && c.harm == 0 {
			f.harmless += c.tasks
			f.harmlessWorkers++
		}
	}
}

// onWorker puts the whole gang on one worker.
func (f *finder) onWorker() ([]Part, bool) {
	best, found := candidate{}, false
	for _, d := range f.groups() {
		if f.bound(d) < f.Tasks {
			continue
		}
		for _, r := range d.racks {
			if f.bound(r) < f.Tasks {
				continue
			}
			for _, i := range r.members {
				c, ok := f.candidate(i, f.Tasks)
				if !ok || c.tasks < f.Tasks {
					continue
				}
				if !found || better(c, best) < 0 {
					best, found = c, true
				}
				if c.cost == 0 && c.harm == 0 {
					f.harmlessWorkers++
				}
				if f.FirstFit || f.harmlessWorkers >= _harmless || best.cost == 0 && best.harm == 0 && best.rest == 0 {
					return []Part{{Worker: best.worker, Tasks: f.Tasks}}, true
				}
			}
		}
	}
	return []Part{{Worker: best.worker, Tasks: f.Tasks}}, found
}

// inRack puts the gang in the rack where it does the least harm.
func (f *finder) inRack() ([]Part, bool) {
	best, found := choice{}, false
	for _, d := range f.groups() {
		if f.bound(d) < f.Tasks {
			continue
		}
		for _, r := range d.racks {
			if f.bound(r) < f.Tasks {
				continue
			}
			f.clear()
			f.scanRack(r)
			c, ok := f.take()
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

func (f *finder) inDomain() ([]Part, bool) {
	best, found := choice{}, false
	for _, d := range f.groups() {
		if f.bound(d) < f.Tasks {
			continue
		}
		if f.Cost != nil && !f.roomIn(d) {
			continue
		}
		f.clear()
		f.scan(d)
		c, ok := f.take()
		if ok && (!found || c.less(best)) {
			best, found = c, true
		}
	}
	return best.parts, found
}

// roomIn reports whether a failure domain has room for the gang, without the costs,
// which can take much longer.
func (f *finder) roomIn(d *group) bool {
	n := 0
	for _, r := range d.racks {
		if f.bound(r) == 0 {
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

func (f *finder) anywhere() ([]Part, bool) {
	for _, d := range f.groups() {
		if f.scan(d) {
			break
		}
	}
	c, ok := f.take()
	return c.parts, ok
}

func (f *finder) clear() {
	f.pool = f.pool[:0]
	f.harmless, f.harmlessWorkers = 0, 0
}

// choice is a complete set of parts.
type choice struct {
	parts []Part
	cost  float64
	harm  float64
	rest  float64
}

func (c choice) less(o choice) bool {
	return cmp.Or(
		cmp.Compare(c.cost, o.cost),
		cmp.Compare(c.harm, o.harm),
		cmp.Compare(c.rest, o.rest),
		cmp.Compare(len(c.parts), len(o.parts)),
	) < 0
}

// take fills the gang from the pool, the best candidates first.
func (f *finder) take() (choice, bool) {
	have := 0
	for _, c := range f.pool {
		have += c.tasks
	}
	if have < f.Tasks {
		return choice{}, false
	}
	next := f.inOrder()
	out := choice{}
	need := f.Tasks
	for {
		c := next()
		if c.tasks > need {
			c = f.shrink(c, need)
		}
		out.parts = append(out.parts, Part{Worker: c.worker, Tasks: c.tasks})
		out.cost += c.cost
		out.harm += c.harm
		out.rest += c.rest
		need -= c.tasks
		if need == 0 {
			break
		}
	}
	return out, true
}

// inOrder returns a function that takes the best candidate from the pool. A heap is
// enough, as most gangs use few of the candidates.
func (f *finder) inOrder() func() candidate {
	if f.FirstFit {
		k := -1
		return func() candidate {
			k++
			return f.pool[k]
		}
	}
	h := (*byCost)(&f.pool)
	heap.Init(h)
	return func() candidate { return heap.Pop(h).(candidate) }
}

// byCost is a heap of candidates.
type byCost []candidate

func (h byCost) Len() int           { return len(h) }
func (h byCost) Less(i, k int) bool { return better(h[i], h[k]) < 0 }
func (h byCost) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push is for container/heap.
func (h *byCost) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop is for container/heap.
func (h *byCost) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// shrink recomputes a candidate for fewer tasks.
func (f *finder) shrink(c candidate, n int) candidate {
	if f.FirstFit {
		c.tasks = n
		return c
	}
	c, _ = f.candidate(c.worker, n)
	return c
}
