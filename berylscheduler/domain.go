package berylscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"berylglade/berylconfig"
	"berylglade/berylplacement"
)

const (
	// _steps is the number of steps in which the capacity of a failure domain
	// that is back returns, _stepTime apart. A domain that comes back may go out
	// again soon, and a wave of starts would hit its workers all at once.
	_steps    = 5
	_stepTime = 10 * time.Second
	// _movesAtOnce bounds the gangs that were stopped in a failure domain that is
	// out and have not been placed again.
	_movesAtOnce = 16
	// _overdue is how long after its stop time a preempted gang is told to stop
	// again, without a checkpoint.
	_overdue = 10 * time.Second
)

// domain is a failure domain with the workers seen in it.
type domain struct {
	workers []int
	out     bool
	// since is when the domain went out or came back.
	since time.Time
	// ramping is set until all capacity is back.
	ramping bool
}

func (s *Scheduler) joinDomain(i int, old, name string) {
	if d, ok := s.domains[old]; ok && old != name {
		d.workers = slices.DeleteFunc(d.workers, func(k int) bool { return k == i })
	}
	d, ok := s.domains[name]
	if !ok {
		d = &domain{out: s.cfg.Domains[name].Out, since: s.now}
		s.domains[name] = d
		s.setSpare()
	}
	if !slices.Contains(d.workers, i) {
		d.workers = append(d.workers, i)
	}
}

// setSpare tells the plan which domains may go out.
func (s *Scheduler) setSpare() {
	var names []string
	for name, d := range s.domains {
		if d.out {
			s.guarantee.SetDomains(nil)
			return
		}
		names = append(names, name)
	}
	s.guarantee.SetDomains(names)
}

func (s *Scheduler) configChanged(cfg *berylconfig.Config) {
	if cfg == nil || cfg.Offset < s.cfg.Offset {
		return
	}
	old := s.cfg
	s.cfg = cfg
	s.grown++
	if !maps.EqualFunc(old.Accounts, cfg.Accounts, sameShapes) {
		s.refit()
	}
	s.switchDomains()
	if !maps.Equal(old.Classes, cfg.Classes) {
		s.reorder()
	}
	if s.opts.NoGuarantee {
		return
	}
	changed := s.guarantee.Set(cfg.Accounts)
	if len(changed) == 0 {
		return
	}
	s.place.Protect = s.guarantee.Protected(_protected)
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if _, ok := slices.BinarySearch(changed, j.Account); ok && j.step >= _booked {
			s.restore = append(s.restore, j)
		}
	}
}

// sameShapes reports whether two versions of an account hold the same capacity.
func sameShapes(a, b berylconfig.ClientAccount) bool {
	return a.Quota == b.Quota && slices.Equal(a.Guarantees, b.Guarantees)
}

// reorder recomputes the order of the queue after targets changed.
func (s *Scheduler) reorder() {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		s.aim(j)
		s.watch(j)
		if j.step == _waiting {
			s.queue.Put(s.item(j))
		}
	}
}

func (s *Scheduler) switchDomains() {
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		d, out := s.domains[name], s.cfg.Domains[name].Out
		if d.out == out {
			continue
		}
		d.out, d.since, d.ramping = out, s.now, !out
		for _, i := range d.workers {
			s.workers[i].ramped = out
			s.refresh(i)
		}
	}
	s.setSpare()
}

// recharge finds guaranteed units for running gangs after a restart or a change
// of guarantees.
func (s *Scheduler) recharge() {
	list := s.restore
	s.restore = nil
	for _, j := range list {
		if j.step < _booked {
			continue
		}
		s.charge(j, 0)
		j.grant = s.guarantee.Restore(s.gang(j), j.parts)
		switch {
		case j.grant != nil:
			s.charge(j, _granted)
		case s.class(j).Checkpoint:
			s.charge(j, _borrowed)
		default:
			s.charge(j, _firm)
		}
	}
}

// charge changes the kind of a gang that holds its parts.
func (s *Scheduler) charge(j *job, k kind) {
	for _, p := range j.parts {
		if j.kind == _firm {
			s.guarantee.AddNonPreemptible(p.Worker, j.Shape, -p.Tasks)
		}
		if k == _firm {
			s.guarantee.AddNonPreemptible(p.Worker, j.Shape, p.Tasks)
		}
	}
	if j.grant != nil && k != _granted {
		s.guarantee.Release(j.grant)
		j.grant = nil
	}
	j.kind = k
}

// tickDomains lets capacity return in steps and moves gangs out of domains that
// are out.
func (s *Scheduler) tickDomains() []Action {
	var out []Action
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		d := s.domains[name]
		switch {
		case d.ramping:
			s.ramp(d)
		case d.out:
			out = append(out, s.evacuate(name, d)...)
		}
	}
	return out
}

func (s *Scheduler) ramp(d *domain) {
	n := int(s.now.Sub(d.since)/_stepTime) + 1
	// Rounded up: a domain with fewer workers than steps would otherwise stay
	// empty in the first ones.
	upto := (len(d.workers)*min(n, _steps) + _steps - 1) / _steps
	for _, i := range d.workers[:upto] {
		if !s.workers[i].ramped {
			s.workers[i].ramped = true
			s.refresh(i)
		}
	}
	d.ramping = n < _steps
}

// evacuate stops gangs in a failure domain that is out, in the order of their
// targets: each as soon as there is room elsewhere, and all when the grace time
// ends.
func (s *Scheduler) evacuate(name string, d *domain) []Action {
	list := s.inDomain(d)
	out := make([]Action, 0, len(list))
	end := d.since.Add(s.cfg.Domains[name].Grace.Std())
	s.moving = slices.DeleteFunc(s.moving, func(j *job) bool { return !j.moved || j.over || j.rejected })
	moving := len(s.moving)
	for _, j := range list {
		c := s.class(j)
		last := end
		if c.Checkpoint {
			last = end.Add(-c.Stop.Std())
		}
		switch {
		case !s.now.Before(last):
		case !c.Checkpoint || moving >= _movesAtOnce || !s.roomElsewhere(j):
			continue
		}
		moving++
		j.moved = true
		s.moving = append(s.moving, j)
		out = append(out, s.preempt(j, c.Checkpoint, "failure domain "+name+" is out"))
	}
	return out
}

// inDomain returns the gangs with a part in a domain that have not been told to
// stop, least slack first.
func (s *Scheduler) inDomain(d *domain) []*job {
	seen := map[*job]bool{}
	var list []*job
	for _, i := range d.workers {
		for _, j := range s.workers[i].gangs {
			if !seen[j] && j.step >= _placed && j.stopped.IsZero() {
				seen[j] = true
				list = append(list, j)
			}
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		x, timedA := s.slack(a)
		y, timedB := s.slack(b)
		if timedA != timedB {
			if timedA {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// roomElsewhere reports whether a gang that is stopped now could start again.
func (s *Scheduler) roomElsewhere(j *job) bool {
	r := s.request(j, berylplacement.Free)
	if j.kind == _granted {
		r.Mode = berylplacement.Evict
	}
	_, ok := s.place.Find(r)
	return ok
}
