package berylscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylplacement"
	"berylglade/berylshape"
)

const (
	// _holdEvery is the time between searches for a reservation.
	_holdEvery = time.Second
	// _holdSearch is the number of workers up to which such a search looks at all
	// of them; above it, at one failure domain after the other.
	_holdSearch = 2000
)

// _switch is how much less slack another gang needs to take the reservation over.
// The capacity gathered so far is lost by that.
const _switch = 10 * time.Minute

// reservation keeps the workers that free up first for one waiting gang. Firm work
// can't use what it needs; borrowed work may, and is stopped when the rest is
// free. So the gang starts when the gangs that ran before it have ended, whatever
// run times were declared for later ones.
type reservation struct {
	job   *job
	parts []berylplacement.Part
	// number is that of the last gang booked before.
	number int
	// on has the workers of parts.
	on map[int]bool
	// weak reservations are chosen again every minute, as they may wait for a
	// set of units that never moves.
	weak  bool
	since time.Time
	// moves are places for guaranteed units that have to leave the workers.
	// Without them small firm work takes every bit of room to which the units
	// could go, and the gang never starts.
	moves []move
}

// move is room for one guaranteed unit.
type move struct {
	worker int
	shape  berylshape.Shape
}

func (s *Scheduler) commitHold(n int) {
	for _, p := range s.hold.parts {
		s.guarantee.Reserve(p.Worker, s.hold.job.Shape, n*p.Tasks)
	}
	for _, m := range s.hold.moves {
		s.guarantee.Reserve(m.worker, m.shape, n)
	}
}

// lift takes the reservation's commitment away while its holder is tried.
func (s *Scheduler) lift() { s.commitHold(-1) }

// relay puts the commitment back if the holder still waits.
func (s *Scheduler) relay(j *job) {
	switch {
	case s.hold == nil || s.hold.job != j:
	case j.step == _waiting:
		s.commitHold(1)
	default:
		s.hold = nil
	}
}

func (s *Scheduler) unreserve() {
	s.commitHold(-1)
	s.hold = nil
	s.grown++
}

// reservedOn reports whether a worker is kept for the reservation's holder.
func (s *Scheduler) reservedOn(i int) bool { return s.hold != nil && s.hold.on[i] }

// rereserve gives the reservation to the first large job that waits, unless the
// holder is nearly as urgent and its workers are still there.
func (s *Scheduler) rereserve(first *job) {
	if s.opts.NoReservation {
		return
	}
	if s.hold != nil && s.keep(first) {
		return
	}
	if s.hold != nil {
		s.unreserve()
	}
	if first == nil || s.now.Sub(s.held) < _holdEvery {
		return
	}
	s.held = s.now
	parts, weak, ok := s.firstFree(first)
	if !ok {
		return
	}
	s.hold = &reservation{job: first, parts: parts, number: s.bookings, weak: weak, since: s.now, on: map[int]bool{}}
	for _, p := range parts {
		s.hold.on[p.Worker] = true
	}
	s.commitHold(1)
	s.planMoves()
}

// planMoves reserves room for the guaranteed units on the reserved workers.
func (s *Scheduler) planMoves() {
	h := s.hold
	if s.class(h.job).Checkpoint || s.opts.NoGuarantee {
		return
	}
	for _, p := range h.parts {
		for _, shape := range s.guarantee.BlockingUnits(p.Worker, h.job.Shape.Times(p.Tasks)) {
			parts, ok := s.place.Find(berylplacement.Request{
				Shape: shape, Tasks: 1, Mode: berylplacement.Evict, Exclude: s.reservedOn, ExtraCapacity: s.guarantee.NonPreemptibleOn,
			})
			if !ok {
				continue
			}
			h.moves = append(h.moves, move{worker: parts[0].Worker, shape: shape})
			s.guarantee.Reserve(parts[0].Worker, shape, 1)
		}
	}
}

func (s *Scheduler) keep(first *job) bool {
	h := s.hold
	if h.job.step != _waiting || s.overQuota(h.job) {
		return false
	}
	if !s.usable(h.parts) || h.weak && s.now.Sub(h.since) >= _lookAgain {
		return false
	}
	if first == nil || first == h.job {
		return true
	}
	return s.agedSlack(first)+_switch >= s.agedSlack(h.job)
}

// agedSlack is the value by which the queue orders.
func (s *Scheduler) agedSlack(j *job) time.Duration {
	slack, timed := s.slack(j)
	if s.opts.NoAgeing && !timed {
		return slack + 365*24*time.Hour
	}
	if s.opts.NoAgeing {
		return slack
	}
	return slack - s.now.Sub(j.Accepted)
}

// firstFree returns the workers on which a gang's places free up first, and whether
// sets of guaranteed units are in the way there.
func (s *Scheduler) firstFree(j *job) (parts []berylplacement.Part, weak, ok bool) {
	r := s.request(j, berylplacement.Evict)
	r.ExtraCapacity = s.guarantee.NonPreemptibleOn
	if s.class(j).Checkpoint {
		r.Mode = berylplacement.Total
		r.ExtraCapacity = nil
	}
	avoid := r.Exclude
	r.Exclude = func(i int) bool {
		return !s.place.Worker(i).Usable || avoid != nil && avoid(i)
	}
	r.Cost = func(i int) float64 { return s.freeAfter(i, j).Seconds() }
	if parts, ok := s.findByDomain(r); ok || r.Mode == berylplacement.Total {
		return parts, false, ok
	}
	// Guaranteed units are in the way. Single ones are moved when the rest is
	// free.
	loose := s.guarantee.MovableUnits()
	r.ExtraCapacity = func(i int) berylshape.Shape { return s.guarantee.NonPreemptibleOn(i).Add(loose[i]) }
	if parts, ok := s.findByDomain(r); ok {
		return parts, false, true
	}
	// Only moving whole sets of units helps, which may never be possible.
	r.Mode, r.ExtraCapacity = berylplacement.Total, nil
	parts, ok = s.findByDomain(r)
	return parts, true, ok
}

// findByDomain searches a large cluster one failure domain after the other, the
// one with the most free capacity first, because a search with a cost has to look at
// every worker.
func (s *Scheduler) findByDomain(r berylplacement.Request) ([]berylplacement.Part, bool) {
	if s.place.Len() <= _holdSearch {
		return s.place.Find(r)
	}
	names := slices.Sorted(maps.Keys(s.domains))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(r.Shape.Count(s.place.FreeIn(b)), r.Shape.Count(s.place.FreeIn(a)))
	})
	for _, name := range names {
		r.Domain = name
		if parts, ok := s.place.Find(r); ok {
			return parts, true
		}
	}
	if r.Adjacent != beryladjacency.Anywhere {
		return nil, false
	}
	r.Domain = ""
	return s.place.Find(r)
}

// freeAfter is the expected time until as many of a job's tasks as can ever fit
// on a worker do fit.
func (s *Scheduler) freeAfter(i int, j *job) time.Duration {
	w := s.place.Worker(i)
	want := min(j.Shape.Count(w.Total), j.Tasks)
	if j.Adjacent != beryladjacency.Worker {
		want = min(want, 1)
	}
	need := j.Shape.Times(want)
	have := w.Total.Sub(w.Allocated)
	if need.Fits(have) {
		return 0
	}
	ends := make([]end, 0, len(s.workers[i].gangs))
	for _, g := range s.workers[i].gangs {
		ends = append(ends, end{after: s.remaining(g), gives: g.Shape.Times(g.on(i))})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.after, b.after) })
	for _, e := range ends {
		have = have.Add(e.gives)
		if need.Fits(have) {
			return e.after
		}
	}
	return 365 * 24 * time.Hour
}

type end struct {
	after time.Duration
	gives berylshape.Shape
}

// remaining is the expected rest of a gang's run time. One that runs longer than
// expected is taken to need as long again as it has run.
func (s *Scheduler) remaining(j *job) time.Duration {
	ran := s.now.Sub(j.started)
	if !j.stopped.IsZero() {
		return min(s.class(j).Stop.Std(), ran)
	}
	if rest := s.run(j) - ran; rest > 0 {
		return rest
	}
	return ran
}

// fails remembers requests that found no place since capacity last grew, so that a
// long queue of similar jobs costs one search.
type fails struct {
	at   int
	list []failed
}

type failed struct {
	account  string
	shape    berylshape.Shape
	tasks    int
	adjacent beryladjacency.Adjacency
	// reclaimable work has more places to go.
	reclaimable bool
}

func (f *fails) reset(grown int) {
	if f.at != grown {
		f.at = grown
		f.list = f.list[:0]
	}
}

func (s *Scheduler) failedAs(j *job) failed {
	k := failed{shape: j.Shape, tasks: j.Tasks, adjacent: j.Adjacent, reclaimable: s.class(j).Checkpoint}
	if len(s.cfg.Accounts[j.Account].Guarantees) > 0 {
		k.account = j.Account
	}
	return k
}

// knows reports whether a request failed that is at least as easy to place.
func (f *fails) knows(s *Scheduler, j *job) bool {
	if f.at != s.grown {
		f.reset(s.grown)
		return false
	}
	k := s.failedAs(j)
	return slices.ContainsFunc(f.list, func(o failed) bool {
		return o.account == k.account && o.reclaimable == k.reclaimable &&
			o.shape.Fits(k.shape) && o.tasks <= k.tasks && o.adjacent <= k.adjacent
	})
}

func (f *fails) add(s *Scheduler, j *job) {
	if f.at == s.grown && len(j.avoid) == 0 {
		f.list = append(f.list, s.failedAs(j))
	}
}
