package berylscheduler

import (
	"maps"
	"slices"

	"berylglade/berylguarantee"
	"berylglade/berylshape"
)

// Counts count decisions since the start.
type Counts struct {
	Placed    int `json:"placed"`
	Preempted int `json:"preempted"`
	Rejected  int `json:"rejected"`
	Late      int `json:"late"`
	Compacted int `json:"compacted"`
}

// State is the scheduler's state for people.
type State struct {
	Counts          Counts                      `json:"counts"`
	Waiting         int                         `json:"waiting"`
	Assigned        []string                    `json:"booked"`
	Placed          int                         `json:"placed"`
	Stopping        []string                    `json:"stopping"`
	ReservedFor     string                      `json:"reserved,omitempty"`
	ReservedWorkers []string                    `json:"on,omitempty"`
	Workers         int                         `json:"workers"`
	Usable          int                         `json:"usable"`
	Out             []string                    `json:"out"`
	Returning       []string                    `json:"returning"`
	Quarantine      []string                    `json:"quarantine"`
	Unmet           []berylguarantee.Unmet      `json:"unmet"`
	Used            map[string]berylshape.Shape `json:"used"`
}

// State returns a snapshot that shares nothing with the scheduler.
func (s *Scheduler) State() State {
	out := State{
		Counts:     s.counts,
		Waiting:    s.queue.Len(),
		Quarantine: s.bad.Workers(),
		Unmet:      s.guarantee.Unmet(),
		Used:       maps.Clone(s.used),
	}
	for _, j := range s.jobs {
		if j.step >= _placed {
			out.Placed++
		}
	}
	for _, j := range s.booked {
		if j.step == _booked {
			out.Assigned = append(out.Assigned, j.ID)
		}
	}
	for _, j := range s.stopping {
		if j.step >= _placed && !j.stopped.IsZero() {
			out.Stopping = append(out.Stopping, j.ID)
		}
	}
	if s.hold != nil {
		out.ReservedFor = s.hold.job.ID
		for _, p := range s.hold.parts {
			out.ReservedWorkers = append(out.ReservedWorkers, s.workers[p.Worker].Name)
		}
	}
	for i := range s.workers {
		if s.workers[i].seen {
			out.Workers++
		}
		if s.place.Worker(i).Usable {
			out.Usable++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		d := s.domains[name]
		switch {
		case d.out:
			out.Out = append(out.Out, name)
		case d.ramping:
			out.Returning = append(out.Returning, name)
		}
	}
	return out
}
