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
	// The capacity of a failure domain that is no longer out returns in _rampSteps
	// steps, _rampInterval apart. The domain may go out again soon, and many starts
	// at the same time would overload its workers.
	_rampSteps    = 5
	_rampInterval = 10 * time.Second
	// _maxEvacuating limits the evacuated gangs that have not been placed again. At
	// the limit no more gangs are stopped before the grace time requires it.
	_maxEvacuating = 16
	// _stopMargin is how long after the end of its stop time a preempted gang is
	// told to stop without a checkpoint.
	_stopMargin = 10 * time.Second
)

// domain is a failure domain with its registered workers.
type domain struct {
	workers []int
	out     bool
	// changedAt is when the domain went out or came back.
	changedAt time.Time
	// ramping is set after an outage until all capacity has returned.
	ramping bool
}

func (s *Scheduler) joinDomain(i int, old, name string) {
	if d, ok := s.domains[old]; ok && old != name {
		d.workers = slices.DeleteFunc(d.workers, func(k int) bool { return k == i })
	}
	d, ok := s.domains[name]
	if !ok {
		d = &domain{out: s.cfg.Domains[name].Out, changedAt: s.now}
		s.domains[name] = d
		s.updateGuaranteeDomains()
	}
	if !slices.Contains(d.workers, i) {
		d.workers = append(d.workers, i)
	}
}

// updateGuaranteeDomains sets the domains of which spare guarantees have to
// survive an outage; none while a domain is out.
func (s *Scheduler) updateGuaranteeDomains() {
	var names []string
	for name, d := range s.domains {
		if d.out {
			s.guarantees.SetDomains(nil)
			return
		}
		names = append(names, name)
	}
	s.guarantees.SetDomains(names)
}

func (s *Scheduler) configChanged(cfg *berylconfig.Config) {
	if cfg == nil || cfg.Offset < s.cfg.Offset {
		return
	}
	old := s.cfg
	s.cfg = cfg
	s.capacityVersion++
	if !maps.EqualFunc(old.Accounts, cfg.Accounts, sameCapacity) {
		s.resetInfeasible()
	}
	s.switchDomains()
	if !maps.Equal(old.Classes, cfg.Classes) {
		s.updateDeadlines()
	}
	if s.opts.NoGuarantee {
		return
	}
	changed := s.guarantees.Set(cfg.Accounts)
	if len(changed) == 0 {
		return
	}
	s.placement.Protect = s.guarantees.Protected(_maxProtectedShapes)
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if _, ok := slices.BinarySearch(changed, j.Account); ok && j.stage >= _assigned {
			s.unclassified = append(s.unclassified, j)
		}
	}
}

// sameCapacity reports whether two versions of a client account have the same
// quota and guarantees.
func sameCapacity(a, b berylconfig.ClientAccount) bool {
	return a.Quota == b.Quota && slices.Equal(a.Guarantees, b.Guarantees)
}

// updateDeadlines recomputes the deadlines and the order of the queue after a
// change of classes.
func (s *Scheduler) updateDeadlines() {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		s.setDeadline(j)
		s.scheduleLateCheck(j)
		if j.stage == _waiting {
			s.queue.Put(s.queueItem(j))
		}
	}
}

func (s *Scheduler) switchDomains() {
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		d, out := s.domains[name], s.cfg.Domains[name].Out
		if d.out == out {
			continue
		}
		d.out, d.changedAt, d.ramping = out, s.now, !out
		for _, i := range d.workers {
			s.workers[i].ramped = out
			s.updateUsable(i)
		}
	}
	s.updateGuaranteeDomains()
}

// reclassify determines the allocKind of running gangs after a restart or a
// change of guarantees, and assigns guaranteed units to those that are covered.
func (s *Scheduler) reclassify() {
	gangs := s.unclassified
	s.unclassified = nil
	for _, j := range gangs {
		if j.stage < _assigned {
			continue
		}
		s.setKind(j, 0)
		j.grant = s.guarantees.Restore(s.gang(j), j.parts)
		switch {
		case j.grant != nil:
			s.setKind(j, _guaranteed)
		case s.class(j).Checkpoint:
			s.setKind(j, _borrowed)
		default:
			s.setKind(j, _nonPreemptible)
		}
	}
}

// setKind changes the allocKind of a gang that holds its parts.
func (s *Scheduler) setKind(j *job, k allocKind) {
	for _, p := range j.parts {
		if j.kind == _nonPreemptible {
			s.guarantees.AddNonPreemptible(p.Worker, j.Shape, -p.Tasks)
		}
		if k == _nonPreemptible {
			s.guarantees.AddNonPreemptible(p.Worker, j.Shape, p.Tasks)
		}
	}
	if j.grant != nil && k != _guaranteed {
		s.guarantees.Release(j.grant)
		j.grant = nil
	}
	j.kind = k
}

// updateDomains returns capacity in steps after an outage and evacuates the
// failure domains that are out.
func (s *Scheduler) updateDomains() []Action {
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
	steps := int(s.now.Sub(d.changedAt)/_rampInterval) + 1
	// Rounded up, since a domain with fewer workers than steps would otherwise
	// have no usable worker in the first steps.
	count := (len(d.workers)*min(steps, _rampSteps) + _rampSteps - 1) / _rampSteps
	for _, i := range d.workers[:count] {
		if !s.workers[i].ramped {
			s.workers[i].ramped = true
			s.updateUsable(i)
		}
	}
	d.ramping = steps < _rampSteps
}

// evacuate stops the gangs in a failure domain that is out, least slack first. A
// gang with checkpoints is stopped once it fits elsewhere, and at the latest so
// that its stop time ends with the grace time. Other gangs are stopped when the
// grace time ends.
func (s *Scheduler) evacuate(name string, d *domain) []Action {
	gangs := s.gangsInDomain(d)
	out := make([]Action, 0, len(gangs))
	end := d.changedAt.Add(s.cfg.Domains[name].Grace.Std())
	s.evacuating = slices.DeleteFunc(s.evacuating, func(j *job) bool { return !j.evacuated || j.ended || j.rejected })
	evacuating := len(s.evacuating)
	for _, j := range gangs {
		c := s.class(j)
		latest := end
		if c.Checkpoint {
			latest = end.Add(-c.Stop.Std())
		}
		switch {
		case !s.now.Before(latest):
		case !c.Checkpoint || evacuating >= _maxEvacuating || !s.fitsElsewhere(j):
			continue
		}
		evacuating++
		j.evacuated = true
		s.evacuating = append(s.evacuating, j)
		out = append(out, s.preempt(j, c.Checkpoint, "failure domain "+name+" is out"))
	}
	return out
}

// gangsInDomain returns the gangs with a part in a domain that have not been told
// to stop, least slack first.
func (s *Scheduler) gangsInDomain(d *domain) []*job {
	seen := map[*job]bool{}
	var gangs []*job
	for _, i := range d.workers {
		for _, j := range s.workers[i].gangs {
			if !seen[j] && j.stage >= _placed && j.preemptedAt.IsZero() {
				seen[j] = true
				gangs = append(gangs, j)
			}
		}
	}
	slices.SortFunc(gangs, func(a, b *job) int {
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
	return gangs
}

// fitsElsewhere reports whether a gang could start again at once if it were
// stopped now.
func (s *Scheduler) fitsElsewhere(j *job) bool {
	r := s.request(j, berylplacement.Free)
	if j.kind == _guaranteed {
		r.Mode = berylplacement.Evict
	}
	_, ok := s.placement.Find(r)
	return ok
}
