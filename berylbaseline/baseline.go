// Package berylbaseline has two simple schedulers to compare berylscheduler with.
//
// [New] returns first come, first fit: the queue is walked in order of arrival and
// every job that fits is placed on the first workers that hold it. [NewEasy]
// returns EASY backfill: the first job that does not fit gets a start time computed
// from declared run times, and later jobs are placed only if, by their declared run
// times, they end before it or use workers that it does not need.
//
// Both keep to the rules of safety: whole gangs, adjacency, no start on workers
// that drain or in failure domains that are out. Gangs in a domain that goes out are
// stopped when the grace time ends. They know no guarantees, targets, quotas or
// checkpoints, and learn nothing.
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
	// _unknown is the run time of a job that declares none.
	_unknown = time.Hour
	// _away is how long a job may wait for workers that were never seen.
	_away = 5 * time.Minute
)

// Baseline is a first-fit scheduler with or without EASY backfill.
type Baseline struct {
	easy    bool
	now     time.Time
	began   time.Time
	cfg     *berylconfig.Config
	place   *berylplacement.Placement
	workers []worker
	jobs    map[string]*job
	queue   []*job
	// outs is when each failure domain went out.
	outs map[string]time.Time
	// dirty is set while a walk over the queue may place a job.
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
	over    bool
}

// New returns first come, first fit.
func New() *Baseline {
	return &Baseline{
		cfg:   &berylconfig.Config{},
		place: &berylplacement.Placement{FirstFit: true},
		jobs:  map[string]*job{},
		outs:  map[string]time.Time{},
	}
}

// NewEasy returns EASY backfill on declared run times.
func NewEasy() *Baseline {
	b := New()
	b.easy = true
	return b
}

// Handle takes a change into account.
func (b *Baseline) Handle(now time.Time, ev berylscheduler.Event) {
	b.tick(now)
	b.dirty = true
	switch ev := ev.(type) {
	case berylscheduler.JobQueued:
		b.queued(ev.State)
	case berylscheduler.JobRestored:
		b.restored(ev.State)
	case berylscheduler.JobEnded:
		b.ended(ev.Job)
	case berylscheduler.GangStarted:
		if j, ok := b.jobs[ev.Job]; ok && j.attempt == ev.Attempt {
			j.started = now
		}
	case berylscheduler.GangEnded:
		b.gangEnded(ev.Job, ev.Attempt, false)
	case berylscheduler.PlacementRefused:
		b.gangEnded(ev.Job, ev.Attempt, true)
	case berylscheduler.WorkerSeen:
		b.seen(ev.Worker)
	case berylscheduler.WorkerLost:
		if i, ok := b.place.Index(ev.Worker); ok {
			b.workers[i].seen = false
			b.refresh(i)
		}
	case berylscheduler.ConfigChanged:
		b.config(ev.Config)
	case berylscheduler.UsageReported:
	}
}

func (b *Baseline) tick(now time.Time) {
	if b.began.IsZero() {
		b.began = now
	}
	b.now = now
}

func (b *Baseline) queued(st beryljob.State) {
	j, ok := b.jobs[st.ID]
	if !ok {
		j = &job{}
		b.jobs[st.ID] = j
	}
	if j.over || j.placed || slices.Contains(b.queue, j) {
		return
	}
	j.State = st
	j.attempt = max(j.attempt, st.Attempt)
	b.queue = append(b.queue, j)
}

func (b *Baseline) restored(st beryljob.State) {
	j := &job{State: st, attempt: st.Attempt, started: b.now}
	b.jobs[st.ID] = j
	for _, m := range st.Members {
		j.parts = append(j.parts, berylplacement.Part{Worker: b.put(berylscheduler.Worker{Name: m.Agent}, false), Tasks: m.Tasks})
	}
	b.acquire(j)
}

func (b *Baseline) ended(id string) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	j.over = true
	if !j.placed {
		b.forget(j)
	}
}

func (b *Baseline) forget(j *job) {
	b.queue = slices.DeleteFunc(b.queue, func(o *job) bool { return o == j })
	delete(b.jobs, j.ID)
}

func (b *Baseline) gangEnded(id string, attempt int, again bool) {
	j, ok := b.jobs[id]
	if !ok || !j.placed || j.attempt != attempt {
		return
	}
	for _, p := range j.parts {
		b.place.AddAllocated(p.Worker, j.Shape, -p.Tasks)
	}
	j.placed, j.stopped, j.parts = false, false, nil
	switch {
	case j.over:
		b.forget(j)
	case again:
		b.queue = append(b.queue, j)
	}
}

// put adds a worker, or changes it if it was seen.
func (b *Baseline) put(w berylscheduler.Worker, seen bool) int {
	if i, ok := b.place.Index(w.Name); ok && !seen {
		return i
	}
	i := b.place.Put(w.Name, w.Domain, w.Rack, w.Total)
	if i == len(b.workers) {
		b.workers = append(b.workers, worker{})
	}
	b.workers[i] = worker{Worker: w, seen: seen}
	return i
}

func (b *Baseline) seen(w berylscheduler.Worker) { b.refresh(b.put(w, true)) }

func (b *Baseline) refresh(i int) {
	w := &b.workers[i]
	b.place.SetUsable(i, w.seen && !w.Draining && !b.cfg.Domains[w.Domain].Out)
}

func (b *Baseline) config(cfg *berylconfig.Config) {
	if cfg == nil || cfg.Offset < b.cfg.Offset {
		return
	}
	b.cfg = cfg
	for name, d := range cfg.Domains {
		_, was := b.outs[name]
		if d.Out && !was {
			b.outs[name] = b.now
		}
	}
	maps.DeleteFunc(b.outs, func(name string, _ time.Time) bool { return !cfg.Domains[name].Out })
	for i := range b.workers {
		b.refresh(i)
	}
}

func (b *Baseline) acquire(j *job) {
	j.placed = true
	for _, p := range j.parts {
		b.place.AddAllocated(p.Worker, j.Shape, p.Tasks)
	}
}

// Decide returns what to do now.
func (b *Baseline) Decide(now time.Time) []berylscheduler.Action {
	b.tick(now)
	out := b.evacuate()
	if !b.dirty {
		return out
	}
	b.dirty = false
	return append(out, b.walk()...)
}

// evacuate stops gangs in failure domains whose grace time has ended.
func (b *Baseline) evacuate() []berylscheduler.Action {
	var out []berylscheduler.Action
	if len(b.outs) == 0 {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		j := b.jobs[id]
		if !j.placed || j.stopped || !slices.ContainsFunc(j.parts, b.expired) {
			continue
		}
		j.stopped = true
		out = append(out, berylscheduler.Preempt{Job: id, Attempt: j.attempt, Reason: "the failure domain is out"})
	}
	return out
}

func (b *Baseline) expired(p berylplacement.Part) bool {
	d := b.workers[p.Worker].Domain
	at, ok := b.outs[d]
	return ok && !b.now.Before(at.Add(b.cfg.Domains[d].Grace.Std()))
}

// walk tries the queue in order of arrival. Shapes that did not fit are not tried
// again in the same walk.
func (b *Baseline) walk() []berylscheduler.Action {
	var out []berylscheduler.Action
	var rest []*job
	var head *shadow
	failed := map[beryljob.Job]bool{}
	for _, j := range b.queue {
		kind := beryljob.Job{Tasks: j.Tasks, Shape: j.Shape, Adjacent: j.Adjacent, Declared: j.Declared}
		if failed[kind] {
			rest = append(rest, j)
			continue
		}
		act := b.try(j, head)
		switch act.(type) {
		case nil:
			failed[kind] = true
			rest = append(rest, j)
			if b.easy && head == nil {
				head = b.newShadow(j)
			}
		default:
			out = append(out, act)
		}
	}
	b.queue = rest
	return out
}

func (b *Baseline) try(j *job, head *shadow) berylscheduler.Action {
	r := berylplacement.Request{Shape: j.Shape, Tasks: j.Tasks, Adjacent: j.Adjacent, Mode: berylplacement.Free}
	if head != nil && b.now.Add(declared(j)).After(head.start) {
		r.Exclude = func(i int) bool { return head.on[i] }
	}
	parts, ok := b.place.Find(r)
	if ok {
		return b.start(j, parts)
	}
	if b.now.Sub(b.began) < _away {
		return nil
	}
	r.Mode, r.Exclude = berylplacement.Total, nil
	if _, ok := b.place.Find(r); ok {
		return nil
	}
	delete(b.jobs, j.ID)
	return berylscheduler.Reject{Job: j.ID, Reason: "the gang does not fit on the known workers"}
}

func (b *Baseline) start(j *job, parts []berylplacement.Part) berylscheduler.Place {
	j.parts = parts
	j.attempt++
	j.started = b.now
	b.acquire(j)
	act := berylscheduler.Place{Job: j.ID, Attempt: j.attempt}
	for _, p := range parts {
		w := &b.workers[p.Worker].Worker
		act.Members = append(act.Members, beryljob.Member{
			Agent: w.Name, Incarnation: w.Incarnation, Addr: w.Addr, Tasks: p.Tasks,
		})
	}
	return act
}

// shadow is the expected start of the first job that does not fit.
type shadow struct {
	start time.Time
	on    map[int]bool
}

// newShadow lets running gangs end at their declared times, in order, until the job
// fits. It returns nil if it never does. Whether the job fits only gets truer as
// gangs end, so the first such time is found by bisection.
func (b *Baseline) newShadow(j *job) *shadow {
	var running []*job
	for _, o := range b.jobs {
		if o.placed {
			running = append(running, o)
		}
	}
	slices.SortFunc(running, func(x, y *job) int {
		return cmp.Or(b.end(x).Compare(b.end(y)), cmp.Compare(x.ID, y.ID))
	})
	r := berylplacement.Request{Shape: j.Shape, Tasks: j.Tasks, Adjacent: j.Adjacent, Mode: berylplacement.Free}
	var parts []berylplacement.Part
	found := len(running) + 1
	low, high := 0, len(running)
	for low <= high {
		mid := (low + high) / 2
		b.free(running[:mid], 1)
		p, ok := b.place.Find(r)
		b.free(running[:mid], -1)
		if ok {
			found, parts, high = mid, p, mid-1
		} else {
			low = mid + 1
		}
	}
	if found == 0 || found > len(running) {
		return nil
	}
	out := &shadow{start: b.end(running[found-1]), on: map[int]bool{}}
	for _, p := range parts {
		out.on[p.Worker] = true
	}
	return out
}

// free gives back what gangs hold, or takes it again.
func (b *Baseline) free(gangs []*job, n int) {
	for _, g := range gangs {
		for _, p := range g.parts {
			b.place.AddAllocated(p.Worker, g.Shape, -n*p.Tasks)
		}
	}
}

// end is when a gang ends by its declared run time; one that has run longer is
// expected to end now.
func (b *Baseline) end(j *job) time.Time {
	at := j.started.Add(declared(j))
	if at.Before(b.now) {
		return b.now
	}
	return at
}

func declared(j *job) time.Duration {
	if j.Declared <= 0 {
		return _unknown
	}
	return j.Declared.Std()
}
