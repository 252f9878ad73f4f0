package berylscheduler

import (
	"time"

	"berylglade/berylplacement"
	"berylglade/berylshape"
)

const (
	// _maxCompactedGangs limits the number of gangs that one compaction moves.
	_maxCompactedGangs = 4
	// _compactInterval is the time between compactions. It lets the moved gangs
	// start again before others are stopped.
	_compactInterval = 30 * time.Second
)

// compact preempts a few gangs with checkpoints if a guarantee has no place because
// of the workers that they run on. They are queued again and start elsewhere.
func (s *Scheduler) compact() []Action {
	if s.opts.NoCompaction || s.now.Before(s.nextCompaction) {
		return nil
	}
	missing := s.guarantees.UnplacedUnits()
	if len(missing) == 0 {
		return nil
	}
	s.nextCompaction = s.now.Add(_compactInterval)
	for _, r := range missing {
		r.ExtraCapacity = s.movableCapacity
		r.Cost = func(i int) float64 { return float64(len(s.movableGangs(i))) }
		parts, ok := s.placement.Find(r)
		if !ok {
			continue
		}
		if victims := s.blockingGangs(r.Shape, parts); len(victims) > 0 && len(victims) <= _maxCompactedGangs {
			return s.moveGangs(victims)
		}
	}
	return nil
}

func (s *Scheduler) moveGangs(victims []*job) []Action {
	out := make([]Action, 0, len(victims))
	for _, v := range victims {
		v.compacted = true
		s.counts.Compacted++
		out = append(out, s.preempt(v, true, "compaction: a guarantee needs unfragmented capacity"))
	}
	return out
}

// movableGangs returns the gangs on a worker that a guarantee covers and that can
// be checkpointed. Borrowed work is left out because it does not block a guarantee.
func (s *Scheduler) movableGangs(i int) []*job {
	var out []*job
	for _, j := range s.workers[i].gangs {
		if j.kind == _guaranteed && j.stage == _running && j.preemptedAt.IsZero() && s.class(j).Checkpoint {
			out = append(out, j)
		}
	}
	return out
}

// movableCapacity returns the guaranteed capacity on a worker that would be free
// if the guaranteed gangs there moved; zero if one of them can't.
func (s *Scheduler) movableCapacity(i int) berylshape.Shape {
	granted := 0
	for _, j := range s.workers[i].gangs {
		if j.kind == _guaranteed {
			granted++
		}
	}
	if granted > len(s.movableGangs(i)) {
		return berylshape.Shape{}
	}
	return s.guarantees.GuaranteedOn(i)
}

// blockingGangs returns the movable gangs on the workers on which the parts do not
// fit beside what is committed.
func (s *Scheduler) blockingGangs(shape berylshape.Shape, parts []berylplacement.Part) []*job {
	seen := map[*job]bool{}
	var out []*job
	for _, p := range parts {
		w := s.placement.Worker(p.Worker)
		if shape.Times(p.Tasks).Fits(w.Total.Sub(w.Committed)) {
			continue
		}
		for _, j := range s.movableGangs(p.Worker) {
			if !seen[j] {
				seen[j] = true
				out = append(out, j)
			}
		}
	}
	return out
}
