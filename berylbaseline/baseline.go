// Package berylbaseline implements two simple schedulers to compare berylscheduler
// with.
//
// [New] returns a first-come, first-fit scheduler: it tries the queued jobs in order
// of arrival and places each job that fits on the first workers with room for it.
// [NewEasy] returns an EASY backfill scheduler: the first job that does not fit gets
// a reservation whose start is computed from declared run times. Later jobs are
// placed only if, by their declared run times, they end before that start or use
// workers outside the reservation.
//
// Both follow the safety rules: whole gangs, adjacency, and no start on draining
// workers or in failure domains that operators have taken out of service. Gangs that run
// in such a domain are stopped when its grace time ends, which is the time that they
// have to leave it. Both ignore guarantees, the targets (deadlines) of classes, quotas
// and checkpoints, and do not learn from earlier runs.
package berylbaseline

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylplacement"
	"berylglade/berylscheduler"
)

const (
	// _defaultRunTime is the expected run time of a job that declares none.
	_defaultRunTime = time.Hour
	// _rejectDelay is the time after the start during which no job is rejected,
	// because some workers may not have been reported yet.
	_rejectDelay = 5 * time.Minute
)

// Baseline is a first-fit scheduler with or without EASY backfill.
type Baseline struct {
	easy      bool
	now       time.Time
	startedAt time.Time
	cfg       *berylconfig.Config
	placement *berylplacement.Placement
	workers   []worker
	jobs      map[string]*job
	queue     []*job
	// outSince has the time at which each failure domain that is out was taken out.
	outSince map[string]time.Time
	// dirty is set if something has changed since the queue was last tried.
	dirty bool
}

type worker struct {
	berylscheduler.Worker
	seen bool
}

type job struct {
	beryljob.State
	attempt int
	parts   []berylplacement.Part
	started time.Time
	placed  bool
	stopped bool
	ended   bool
}

// New returns a first-come, first-fit scheduler.
func New() *Baseline {
	return &Baseline{
		cfg:       &berylconfig.Config{},
		placement: &berylplacement.Placement{FirstFit: true},
		jobs:      map[string]*job{},
		outSince:  map[string]time.Time{},
	}
}

// NewEasy returns an EASY backfill scheduler, which uses declared run times.
func NewEasy() *Baseline {
	b := New()
	b.easy = true
	return b
}

// Handle applies an event.
func (b *Baseline) Handle(now time.Time, ev berylscheduler.Event) {
	b.tick(now)
	b.dirty = true
	switch ev := ev.(type) {
	case berylscheduler.JobQueued:
		b.jobQueued(ev.State)
	case berylscheduler.JobRestored:
		b.jobRestored(ev.State)
	case berylscheduler.JobEnded:
		b.jobEnded(ev.Job)
	case berylscheduler.GangStarted:
		if j, ok := b.jobs[ev.Job]; ok && j.attempt == ev.Attempt {
			j.started = now
		}
	case berylscheduler.GangEnded:
		b.gangEnded(ev.Job, ev.Attempt, false)
	case berylscheduler.PlacementRefused:
		b.gangEnded(ev.Job, ev.Attempt, true)
	case berylscheduler.WorkerSeen:
		b.workerSeen(ev.Worker)
	case berylscheduler.WorkerLost:
		if i, ok := b.placement.Index(ev.Worker); ok {
			b.workers[i].seen = false
			b.updateUsable(i)
		}
	case berylscheduler.ConfigChanged:
		b.setConfig(ev.Config)
	case berylscheduler.UsageReported:
	}
}

func (b *Baseline) tick(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	b.now = now
}

func (b *Baseline) jobQueued(st beryljob.State) {
	j, ok := b.jobs[st.ID]
	if !ok {
		j = &job{}
		b.jobs[st.ID] = j
	}
	if j.ended || j.placed || slices.Contains(b.queue, j) {
		return
	}
	j.State = st
	j.attempt = max(j.attempt, st.Attempt)
	b.queue = append(b.queue, j)
}

func (b *Baseline) jobRestored(st beryljob.State) {
	j := &job{State: st, attempt: st.Attempt, started: b.now}
	b.jobs[st.ID] = j
	for _, m := range st.Members {
		j.parts = append(j.parts, berylplacement.Part{Worker: b.putWorker(berylscheduler.Worker{Name: m.Agent}, false), Tasks: m.Tasks})
	}
	b.allocate(j)
}

func (b *Baseline) jobEnded(id string) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	j.ended = true
	if !j.placed {
		b.remove(j)
	}
}

func (b *Baseline) remove(j *job) {
	b.queue = slices.DeleteFunc(b.queue, func(o *job) bool { return o == j })
	delete(b.jobs, j.ID)
}

func (b *Baseline) gangEnded(id string, attempt int, requeue bool) {
	j, ok := b.jobs[id]
	if !ok || !j.placed || j.attempt != attempt {
		return
	}
	for _, p := range j.parts {
		b.placement.AddAllocated(p.Worker, j.Shape, -p.Tasks)
	}
	j.placed, j.stopped, j.parts = false, false, nil
	switch {
	case j.ended:
		b.remove(j)
	case requeue:
		b.queue = append(b.queue, j)
	}
}

// putWorker adds a worker and returns its index. It replaces a known worker only if
// seen is set.
func (b *Baseline) putWorker(w berylscheduler.Worker, seen bool) int {
	if i, ok := b.placement.Index(w.Name); ok && !seen {
		return i
	}
	i := b.placement.Put(w.Name, w.Domain, w.Rack, w.Total)
	if i == len(b.workers) {
		b.workers = append(b.workers, worker{})
	}
	b.workers[i] = worker{Worker: w, seen: seen}
	return i
}

func (b *Baseline) workerSeen(w berylscheduler.Worker) { b.updateUsable(b.putWorker(w, true)) }

func (b *Baseline) updateUsable(i int) {
	w := &b.workers[i]
	b.placement.SetUsable(i, w.seen && !w.Draining && !b.cfg.Domains[w.Domain].Out)
}

func (b *Baseline) setConfig(cfg *berylconfig.Config) {
	if cfg == nil || cfg.Offset < b.cfg.Offset {
		return
	}
	b.cfg = cfg
	for name, d := range cfg.Domains {
		_, was := b.outSince[name]
		if d.Out && !was {
			b.outSince[name] = b.now
		}
	}
	maps.DeleteFunc(b.outSince, func(name string, _ time.Time) bool { return !cfg.Domains[name].Out })
	for i := range b.workers {
		b.updateUsable(i)
	}
}

func (b *Baseline) allocate(j *job) {
	j.placed = true
	for _, p := range j.parts {
		b.placement.AddAllocated(p.Worker, j.Shape, p.Tasks)
	}
}

// Decide returns the actions to take now.
func (b *Baseline) Decide(now time.Time) []berylscheduler.Action {
	b.tick(now)
	out := b.evacuate()
	if !b.dirty {
		return out
	}
	b.dirty = false
	return append(out, b.scheduleQueue()...)
}

// evacuate stops gangs in failure domains whose grace time has ended.
func (b *Baseline) evacuate() []berylscheduler.Action {
	var out []berylscheduler.Action
	if len(b.outSince) == 0 {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		j := b.jobs[id]
		if !j.placed || j.stopped || !slices.ContainsFunc(j.parts, b.graceExpired) {
			continue
		}
		j.stopped = true
		out = append(out, berylscheduler.Preempt{Job: id, Attempt: j.attempt, Reason: "the failure domain is out"})
	}
	return out
}

func (b *Baseline) graceExpired(p berylplacement.Part) bool {
	d := b.workers[p.Worker].Domain
	at, ok := b.outSince[d]
	return ok && !b.now.Before(at.Add(b.cfg.Domains[d].Grace.Std()))
}

// scheduleQueue tries the queued jobs in order of arrival. A job is skipped if an
// earlier one with the same demands and declared run time did not fit.
func (b *Baseline) scheduleQueue() []berylscheduler.Action {
	var out []berylscheduler.Action
	var rest []*job
	var head *reservation
	unplaceable := map[beryljob.Job]bool{}
	for _, j := range b.queue {
		kind := beryljob.Job{Tasks: j.Tasks, Shape: j.Shape, Adjacent: j.Adjacent, Declared: j.Declared}
		if unplaceable[kind] {
			rest = append(rest, j)
			continue
		}
		act := b.tryPlace(j, head)
		switch act.(type) {
		case nil:
			unplaceable[kind] = true
			rest = append(rest, j)
			if b.easy && head == nil {
				head = b.newReservation(j)
			}
		default:
			out = append(out, act)
		}
	}
	b.queue = rest
	return out
}

func (b *Baseline) tryPlace(j *job, head *reservation) berylscheduler.Action {
	r := berylplacement.Request{Shape: j.Shape, Tasks: j.Tasks, Adjacent: j.Adjacent, Mode: berylplacement.Free}
	if head != nil && b.now.Add(declaredRunTime(j)).After(head.start) {
		r.Exclude = func(i int) bool { return head.workers[i] }
	}
	parts, ok := b.placement.Find(r)
	if ok {
		return b.placeJob(j, parts)
	}
	if b.now.Sub(b.startedAt) < _rejectDelay {
		return nil
	}
	r.Mode, r.Exclude = berylplacement.Total, nil
	if _, ok := b.placement.Find(r); ok {
		return nil
	}
	delete(b.jobs, j.ID)
	return berylscheduler.Reject{Job: j.ID, Reason: "the gang does not fit on the known workers"}
}

func (b *Baseline) placeJob(j *job, parts []berylplacement.Part) berylscheduler.Place {
	j.parts = parts
	j.attempt++
	j.started = b.now
	b.allocate(j)
	act := berylscheduler.Place{Job: j.ID, Attempt: j.attempt}
	for _, p := range parts {
		w := &b.workers[p.Worker].Worker
		act.Members = append(act.Members, beryljob.Member{
			Agent: w.Name, Incarnation: w.Incarnation, Addr: w.Addr, Tasks: p.Tasks,
		})
	}
	return act
}

// reservation is the expected start of the first job that does not fit, and the
// workers on which it is expected to be placed.
type reservation struct {
	start   time.Time
	workers map[int]bool
}

// newReservation assumes that running gangs end after their declared run times, and
// returns a reservation at the first such end after which the job fits. It returns
// nil if there is none. A job that fits still does when more gangs end, so the first
// such end is found by binary search.
func (b *Baseline) newReservation(j *job) *reservation {
	var running []*job
	for _, o := range b.jobs {
		if o.placed {
			running = append(running, o)
		}
	}
	slices.SortFunc(running, func(x, y *job) int {
		return cmp.Or(b.expectedEnd(x).Compare(b.expectedEnd(y)), cmp.Compare(x.ID, y.ID))
	})
	r := berylplacement.Request{Shape: j.Shape, Tasks: j.Tasks, Adjacent: j.Adjacent, Mode: berylplacement.Free}
	var parts []berylplacement.Part
	found := len(running) + 1
	low, high := 0, len(running)
	for low <= high {
		mid := (low + high) / 2
		b.release(running[:mid], 1)
		p, ok := b.placement.Find(r)
		b.release(running[:mid], -1)
		if ok {
			found, parts, high = mid, p, mid-1
		} else {
			low = mid + 1
		}
	}
	if found == 0 || found > len(running) {
		return nil
	}
	out := &reservation{start: b.expectedEnd(running[found-1]), workers: map[int]bool{}}
	for _, p := range parts {
		out.workers[p.Worker] = true
	}
	return out
}

// release releases the resources of gangs if sign is 1, and allocates them again if
// it is -1.
func (b *Baseline) release(gangs []*job, sign int) {
	for _, g := range gangs {
		for _, p := range g.parts {
			b.placement.AddAllocated(p.Worker, g.Shape, -sign*p.Tasks)
		}
	}
}

// expectedEnd returns when a gang ends by its declared run time. A gang that has run
// longer is expected to end now.
func (b *Baseline) expectedEnd(j *job) time.Time {
	at := j.started.Add(declaredRunTime(j))
	if at.Before(b.now) {
		return b.now
	}
	return at
}

func declaredRunTime(j *job) time.Duration {
	if j.Declared <= 0 {
		return _defaultRunTime
	}
	return j.Declared.Std()
}
