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
	// _reservationInterval is the time between searches for a reservation.
	_reservationInterval = time.Second
	// _maxFullSearchWorkers is the number of workers up to which a search for a
	// reservation covers the whole cluster; above it, one failure domain after the
	// other. It also limits the searches of searchDomains.
	_maxFullSearchWorkers = 2000
)

// _takeoverSlack is how much less slack another gang must have to take over the
// reservation. A takeover wastes the capacity collected so far.
const _takeoverSlack = 10 * time.Minute

// reservation reserves the workers that become free first for one waiting gang.
// Borrowed work may use the reserved capacity as backfill and is preempted when the rest
// is free. Non-preemptible work may use it if by learned run times it ends before. So the
// gang starts when the gangs that ran before it have ended, whatever run times were
// declared for later ones.
type reservation struct {
	job   *job
	parts []berylplacement.Part
	// lastAssignment is the number of the last assignment before the reservation.
	lastAssignment int
	// workers has the workers of parts.
	workers map[int]bool
	// tentative reservations are replaced after _retryInterval, as they may wait
	// for a set of guaranteed units that never moves.
	tentative bool
	since     time.Time
	// freeIn is the expected time until the workers have room for the job, as of freeInAt.
	freeIn   time.Duration
	freeInAt time.Time
	// unitRooms is capacity reserved on other workers for the guaranteed units that
	// have to leave the reserved ones. Without it small non-preemptible work takes
	// all capacity to which the units could move, and the gang never starts.
	unitRooms []unitRoom
}

// unitRoom is capacity reserved on a worker for one guaranteed unit.
type unitRoom struct {
	worker int
	shape  berylshape.Shape
}

// commitReservation adds the reserved capacity to what is committed, n times; n
// may be negative.
func (s *Scheduler) commitReservation(n int) {
	for _, p := range s.reservation.parts {
		s.guarantees.Reserve(p.Worker, s.reservation.job.Shape, n*p.Tasks)
	}
	for _, u := range s.reservation.unitRooms {
		s.guarantees.Reserve(u.worker, u.shape, n)
	}
}

// suspendReservation frees the reserved capacity while its holder is tried.
func (s *Scheduler) suspendReservation() { s.commitReservation(-1) }

// lendReservation frees the reserved capacity for a try of a job that is expected to end
// before the holder can start, and returns the function that commits it again; nil if the
// job may not use it. Declared run times are no ground: jobs that declare too little would
// keep the holder from starting.
func (s *Scheduler) lendReservation(j *job) (resume func()) {
	res := s.reservation
	if res == nil || res.job == j || !s.estimator.Learned(j.Class, j.Account) || s.expectedRun(j) > s.reservationFreeIn() {
		return nil
	}
	s.suspendReservation()
	return func() {
		if s.reservation == res {
			s.commitReservation(1)
		}
	}
}

// reservationFreeIn returns the expected time until the reserved workers have room for the
// holder. That of a gang that runs longer than expected grows with its run time, so that
// work of any length fits at some time.
func (s *Scheduler) reservationFreeIn() time.Duration {
	res := s.reservation
	if res.freeInAt.Equal(s.now) {
		return res.freeIn
	}
	res.freeIn, res.freeInAt = 0, s.now
	for _, p := range res.parts {
		res.freeIn = max(res.freeIn, s.timeUntilFree(p.Worker, res.job))
	}
	return res.freeIn
}

// resumeReservation commits the reserved capacity again if the holder still waits.
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

// reservedOn reports whether a worker is part of the reservation.
func (s *Scheduler) reservedOn(i int) bool { return s.reservation != nil && s.reservation.workers[i] }

// updateReservation gives the reservation to the first waiting job that needs one,
// unless the holder has at most _takeoverSlack more slack and its workers are still
// usable.
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
	parts, tentative, ok := s.earliestWorkers(first)
	if !ok {
		return
	}
	s.reservation = &reservation{job: first, parts: parts, lastAssignment: s.assignments, tentative: tentative, since: s.now, workers: map[int]bool{}}
	for _, p := range parts {
		s.reservation.workers[p.Worker] = true
	}
	s.commitReservation(1)
	s.reserveUnitRooms()
}

// reserveUnitRooms reserves capacity on other workers for the guaranteed units that
// have to leave the reserved workers.
func (s *Scheduler) reserveUnitRooms() {
	res := s.reservation
	if s.class(res.job).Checkpoint || s.opts.NoGuarantee {
		return
	}
	for _, p := range res.parts {
		for _, shape := range s.guarantees.BlockingUnits(p.Worker, res.job.Shape.Times(p.Tasks)) {
			parts, ok := s.placement.Find(berylplacement.Request{
				Shape: shape, Tasks: 1, Mode: berylplacement.Evict, Exclude: s.reservedOn, ExtraCapacity: s.guarantees.NonPreemptibleOn,
			})
			if !ok {
				continue
			}
			res.unitRooms = append(res.unitRooms, unitRoom{worker: parts[0].Worker, shape: shape})
			s.guarantees.Reserve(parts[0].Worker, shape, 1)
		}
	}
}

// keepReservation reports whether the reservation stays with its holder.
func (s *Scheduler) keepReservation(first *job) bool {
	res := s.reservation
	if res.job.stage != _waiting || s.overQuota(res.job) {
		return false
	}
	if !s.allUsable(res.parts) || res.tentative && s.now.Sub(res.since) >= _retryInterval {
		return false
	}
	if first == nil || first == res.job {
		return true
	}
	return s.agedSlack(first)+_takeoverSlack >= s.agedSlack(res.job)
}

// agedSlack returns the value by which the queue orders its items.
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

// earliestWorkers returns the workers on which places for a gang become free first.
// The result is tentative if sets of guaranteed units block these workers.
func (s *Scheduler) earliestWorkers(j *job) (parts []berylplacement.Part, tentative, ok bool) {
	r := s.request(j, berylplacement.Evict)
	r.ExtraCapacity = s.guarantees.NonPreemptibleOn
	if s.class(j).Checkpoint {
		r.Mode = berylplacement.Total
		r.ExtraCapacity = nil
	}
	exclude := r.Exclude
	r.Exclude = func(i int) bool {
		return !s.placement.Worker(i).Usable || exclude != nil && exclude(i)
	}
	r.Cost = func(i int) float64 { return s.timeUntilFree(i, j).Seconds() }
	if parts, ok := s.findByDomain(r); ok || r.Mode == berylplacement.Total {
		return parts, false, ok
	}
	// Guaranteed units block all places. Units without adjacency can be moved when
	// the rest is free.
	movable := s.guarantees.MovableUnits()
	r.ExtraCapacity = func(i int) berylshape.Shape { return s.guarantees.NonPreemptibleOn(i).Add(movable[i]) }
	if parts, ok := s.findByDomain(r); ok {
		return parts, false, true
	}
	// Only moving whole sets of adjacent units would help, which may never be
	// possible.
	r.Mode, r.ExtraCapacity = berylplacement.Total, nil
	parts, ok = s.findByDomain(r)
	return parts, true, ok
}

// findByDomain searches a large cluster one failure domain after the other, the
// one with the most free capacity first, because a search with a cost function has
// to check every worker.
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

// timeUntilFree returns the expected time until a worker has room for one of a
// job's tasks, or, if all tasks have to run on one worker, for as many as fit on it
// when it is empty.
func (s *Scheduler) timeUntilFree(i int, j *job) time.Duration {
	w := s.placement.Worker(i)
	want := min(j.Shape.Count(w.Total), j.Tasks)
	if j.Adjacent != beryladjacency.Worker {
		want = min(want, 1)
	}
	need := j.Shape.Times(want)
	have := w.Total.Sub(w.Allocated)
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

// gangEnd is the expected end of a gang and the capacity that it frees on a worker.
type gangEnd struct {
	after    time.Duration
	released berylshape.Shape
}

// remainingRun returns the expected remaining run time of a gang. A gang that runs
// longer than expected is assumed to need as long again as it has run. One that is
// stopping needs at most its stop time.
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

// failedSearches caches the requests that found no place since capacityVersion last
// changed, so that a long queue of similar jobs costs one search.
type failedSearches struct {
	version  int
	requests []requestKind
}

// requestKind has the properties that decide where a job fits.
type requestKind struct {
	// account is set only if the account has guarantees; other accounts have the
	// same places.
	account  string
	shape    berylshape.Shape
	tasks    int
	adjacent beryladjacency.Adjacency
	// reclaimable is set for work with checkpoints, which has more places to go.
	reclaimable bool
}

func (f *failedSearches) reset(version int) {
	if f.version != version {
		f.version = version
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

// covers reports whether a request failed that is at least as easy to place.
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
