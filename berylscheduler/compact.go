package berylscheduler

import (
	"time"

	"berylglade/berylplacement"
	"berylglade/berylshape"
)

const (
	// _compactMost is the largest number of gangs that one compaction moves.
	_compactMost = 4
	// _compactEvery is the time between compactions, so that moved gangs start
	// again before others are stopped.
	_compactEvery = 30 * time.Second
)

// compact stops a few gangs that can be checkpointed, when a guarantee has no place
// because of where they are. They are queued again and start on other workers.
func (s *Scheduler) compact() []Action {
	if s.opts.NoCompaction || s.now.Before(s.nextCompact) {
		return nil
	}
	missing := s.guarantee.UnplacedUnits()
	if len(missing) == 0 {
		return nil
	}
	s.nextCompact = s.now.Add(_compactEvery)
	for _, r := range missing {
		r.ExtraCapacity = s.movableOn
		r.Cost = func(i int) float64 { return float64(len(s.movable(i))) }
		parts, ok := s.place.Find(r)
		if !ok {
			continue
		}
		if victims := s.inTheWay(r.Shape, parts); len(victims) > 0 && len(victims) <= _compactMost {
			return s.move(victims)
		}
	}
	return nil
}

func (s *Scheduler) move(victims []*job) []Action {
	out := make([]Action, 0, len(victims))
	for _, v := range victims {
		v.compacted = true
		s.counts.Compacted++
		out = append(out, s.preempt(v, true, "a guarantee needs the capacity in one place"))
	}
	return out
}

// movable returns the gangs on a worker that a guarantee covers and that can be
// checkpointed. Borrowed work is no obstacle to a guarantee.
func (s *Scheduler) movable(i int) []*job {
	var out []*job
	for _, j := range s.workers[i].gangs {
		if j.kind == _granted && j.step == _running && j.stopped.IsZero() && s.class(j).Checkpoint {
			out = append(out, j)
		}
	}
	return out
}

// movableOn is the guaranteed capacity on a worker that would be free if its gangs
// moved; nothing if one of them can't.
func (s *Scheduler) movableOn(i int) berylshape.Shape {
	granted := 0
	for _, j := range s.workers[i].gangs {
		if j.kind == _granted {
			granted++
		}
	}
	if granted > len(s.movable(i)) {
		return berylshape.Shape{}
	}
	return s.guarantee.GuaranteedOn(i)
}

// inTheWay returns the movable gangs on the parts where units do not fit.
func (s *Scheduler) inTheWay(shape berylshape.Shape, parts []berylplacement.Part) []*job {
	seen := map[*job]bool{}
	var out []*job
	for _, p := range parts {
		w := s.place.Worker(p.Worker)
		if shape.Times(p.Tasks).Fits(w.Total.Sub(w.Committed)) {
			continue
		}
		for _, j := range s.movable(p.Worker) {
			if !seen[j] {
				seen[j] = true
				out = append(out, j)
			}
		}
	}
	return out
}
