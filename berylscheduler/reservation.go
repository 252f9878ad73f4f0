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
	_reservationInterval = time.Second
	// _holdSearch is the number of workers up to which such a search looks at all
	// of them; above it, at one failure domain after the other.
	_maxFullSearchWorkers = 2000
)

// _switch is how much less slack another gang needs to take the reservation over.
// The capacity gathered so far is lost by that.
const _takeoverSlack = 10 * time.Minute

// reservation keeps the workers that free up first for one waiting gang. Firm work
// can't use what it needs; borrowed work may, and is stopped when the rest is
// free. So the gang starts when the gangs that ran before it have ended, whatever
// run times were declared for later ones.
type reservation struct {
	job   *job
	parts []berylplacement.Part
	// number is that of the last gang booked before.
	lastAssignment int
	// on has the workers of parts.
	workers map[int]bool
	// weak reservations are chosen again every minute, as they may wait for a
	// set of units that never moves.
	tentative bool
	since     time.Time
	// moves are places for guaranteed units that have to leave the workers.
	// Without them small firm work takes every bit of room to which the units
	// could go, and the gang never starts.
	unitRooms []unitRoom
}

// move is room for one guaranteed unit.
type unitRoom struct {
	worker int
	shape  berylshape.Shape
}

func (s *Scheduler) commitReservation(n int) {
	for _, p := range s.reservation.parts {
		s.guarantees.Reserve(p.Worker, s.reservation.job.Shape, n*p.Tasks)
	}
	for _, m := range s.reservation.unitRooms {
		s.guarantees.Reserve(m.worker, m.shape, n)
	}
}

// lift takes the reservation's commitment away while its holder is tried.
func (s *Scheduler) suspendReservation() { s.commitReservation(-1) }

// relay puts the commitment back if the holder still waits.
func (s *Scheduler) resumeReservation(j *job) {
	switch {
	case s.reservation == nil || s.reservation.job != j:
	case j.stage == _waiting:
		s.commitReservation(1)
	default:
		s.reservation = nil
	}
}

func (s *Scheduler) dropReservation() {
	s.commitReservation(-1)
	s.reservation = nil
	s.capacityVersion++
}

// reservedOn reports whether a worker is kept for the reservation's holder.
func (s *Scheduler) reservedOn(i int) bool { return s.reservation != nil && s.reservation.workers[i] }

// rereserve gives the reservation to the first large job that waits, unless the
// holder is nearly as urgent and its workers are still there.
func (s *Scheduler) updateReservation(first *job) {
	if s.opts.NoReservation {
		return
	}
	if s.reservation != nil && s.keepReservation(first) {
		return
	}
	if s.reservation != nil {
		s.dropReservation()
	}
	if first == nil || s.now.Sub(s.lastReservationSearch) < _reservationInterval {
		return
	}
	s.lastReservationSearch = s.now
	parts, weak, ok := s.earliestWorkers(first)
	if !ok {
		return
	}
	s.reservation = &reservation{job: first, parts: parts, lastAssignment: s.assignments, tentative: weak, since: s.now, workers: map[int]bool{}}
	for _, p := range parts {
		s.reservation.workers[p.Worker] = true
	}
	s.commitReservation(1)
	s.reserveUnitRooms()
}

// planMoves reserves room for the guaranteed units on the reserved workers.
func (s *Scheduler) reserveUnitRooms() {
	h := s.reservation
	if s.class(h.job).Checkpoint || s.opts.NoGuarantee {
		return
	}
	for _, p := range h.parts {
		for _, shape := range s.guarantees.InWay(p.Worker, h.job.Shape.Times(p.Tasks)) {
			parts, ok := s.placement.Find(berylplacement.Request{
				Shape: shape, Tasks: 1, Mode: berylplacement.Evict, Avoid: s.reservedOn, Bonus: s.guarantees.FirmOn,
			})
			if !ok {
				continue
			}
			h.unitRooms = append(h.unitRooms, unitRoom{worker: parts[0].Worker, shape: shape})
			s.guarantees.Reserve(parts[0].Worker, shape, 1)
		}
	}
}

func (s *Scheduler) keepReservation(first *job) bool {
	h := s.reservation
	if h.job.stage != _waiting || s.overQuota(h.job) {
		return false
	}
	if !s.allUsable(h.parts) || h.tentative && s.now.Sub(h.since) >= _retryInterval {
		return false
	}
	if first == nil || first == h.job {
		return true
	}
	return s.agedSlack(first)+_takeoverSlack >= s.agedSlack(h.job)
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
func (s *Scheduler) earliestWorkers(j *job) (parts []berylplacement.Part, weak, ok bool) {
	r := s.request(j, berylplacement.Evict)
	r.Bonus = s.guarantees.FirmOn
	if s.class(j).Checkpoint {
		r.Mode = berylplacement.Total
		r.Bonus = nil
	}
	avoid := r.Avoid
	r.Avoid = func(i int) bool {
		return !s.placement.Worker(i).Usable || avoid != nil && avoid(i)
	}
	r.Cost = func(i int) float64 { return s.timeUntilFree(i, j).Seconds() }
	if parts, ok := s.findByDomain(r); ok || r.Mode == berylplacement.Total {
		return parts, false, ok
	}
	// Guaranteed units are in the way. Single ones are moved when the rest is
	// free.
	loose := s.guarantees.Loose()
	r.Bonus = func(i int) berylshape.Shape { return s.guarantees.FirmOn(i).Add(loose[i]) }
	if parts, ok := s.findByDomain(r); ok {
		return parts, false, true
	}
	// Only moving whole sets of units helps, which may never be possible.
	r.Mode, r.Bonus = berylplacement.Total, nil
	parts, ok = s.findByDomain(r)
	return parts, true, ok
}

// findByDomain searches a large cluster one failure domain after the other, the
// one with the most free capacity first, because a search with a cost has to look at
// every worker.
func (s *Scheduler) findByDomain(r berylplacement.Request) ([]berylplacement.Part, bool) {
	if s.placement.Len() <= _maxFullSearchWorkers {
		return s.placement.Find(r)
	}
	names := slices.Sorted(maps.Keys(s.domains))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(r.Shape.Count(s.placement.FreeIn(b)), r.Shape.Count(s.placement.FreeIn(a)))
	})
	for _, name := range names {
		r.Domain = name
		if parts, ok := s.placement.Find(r); ok {
			return parts, true
		}
	}
	if r.Adjacent != beryladjacency.Anywhere {
		return nil, false
	}
	r.Domain = ""
	return s.placement.Find(r)
}

// freeAfter is the expected time until as many of a job's tasks as can ever fit
// on a worker do fit.
func (s *Scheduler) timeUntilFree(i int, j *job) time.Duration {
	w := s.placement.Worker(i)
	want := min(j.Shape.Count(w.Total), j.Tasks)
	if j.Adjacent != beryladjacency.Worker {
		want = min(want, 1)
	}
	need := j.Shape.Times(want)
	have := w.Total.Sub(w.Held)
	if need.Fits(have) {
		return 0
	}
	ends := make([]gangEnd, 0, len(s.workers[i].gangs))
	for _, g := range s.workers[i].gangs {
		ends = append(ends, gangEnd{after: s.remainingRun(g), released: g.Shape.Times(g.tasksOn(i))})
	}
	slices.SortFunc(ends, func(a, b gangEnd) int { return cmp.Compare(a.after, b.after) })
	for _, e := range ends {
		have = have.Add(e.released)
		if need.Fits(have) {
			return e.after
		}
	}
	return 365 * 24 * time.Hour
}

type gangEnd struct {
	after    time.Duration
	released berylshape.Shape
}

// remaining is the expected rest of a gang's run time. One that runs longer than
// expected is taken to need as long again as it has run.
func (s *Scheduler) remainingRun(j *job) time.Duration {
	ran := s.now.Sub(j.started)
	if !j.preemptedAt.IsZero() {
		return min(s.class(j).Stop.Std(), ran)
	}
	if rest := s.expectedRun(j) - ran; rest > 0 {
		return rest
	}
	return ran
}

// fails remembers requests that found no place since capacity last grew, so that a
// long queue of similar jobs costs one search.
type failedSearches struct {
	version  int
	requests []requestKind
}

type requestKind struct {
	account  string
	shape    berylshape.Shape
	tasks    int
	adjacent beryladjacency.Adjacency
	// reclaimable work has more places to go.
	reclaimable bool
}

func (f *failedSearches) reset(grown int) {
	if f.version != grown {
		f.version = grown
		f.requests = f.requests[:0]
	}
}

func (s *Scheduler) requestKind(j *job) requestKind {
	k := requestKind{shape: j.Shape, tasks: j.Tasks, adjacent: j.Adjacent, reclaimable: s.class(j).Checkpoint}
	if len(s.cfg.Accounts[j.Account].Guarantees) > 0 {
		k.account = j.Account
	}
	return k
}

// knows reports whether a request failed that is at least as easy to place.
func (f *failedSearches) covers(s *Scheduler, j *job) bool {
	if f.version != s.capacityVersion {
		f.reset(s.capacityVersion)
		return false
	}
	k := s.requestKind(j)
	return slices.ContainsFunc(f.requests, func(o requestKind) bool {
		return o.account == k.account && o.reclaimable == k.reclaimable &&
			o.shape.Fits(k.shape) && o.tasks <= k.tasks && o.adjacent <= k.adjacent
	})
}

func (f *failedSearches) add(s *Scheduler, j *job) {
	if f.version == s.capacityVersion && len(j.avoidUntil) == 0 {
		f.requests = append(f.requests, s.requestKind(j))
	}
}
