package berylscheduler

import (
	"maps"
	"slices"

	"berylglade/berylguarantee"
	"berylglade/berylshape"
)

// Counts has the numbers of decisions since the start.
type Counts struct {
	Placed    int `json:"placed"`
	Preempted int `json:"preempted"`
	Rejected  int `json:"rejected"`
	Late      int `json:"late"`
	Compacted int `json:"compacted"`
}

// State is a summary of the scheduler's state for operators.
type State struct {
	Counts  Counts `json:"counts"`
	Waiting int    `json:"waiting"`
	// Assigned are the jobs with workers on which preempted gangs still have to end.
	Assigned []string `json:"booked"`
	Placed   int      `json:"placed"`
	// Stopping are the preempted gangs that have not ended.
	Stopping []string `json:"stopping"`
	// ReservedFor is the job that holds the reservation, on ReservedWorkers.
	ReservedFor     string   `json:"reserved,omitempty"`
	ReservedWorkers []string `json:"on,omitempty"`
	Workers         int      `json:"workers"`
	Usable          int      `json:"usable"`
	// Out and Returning are the failure domains that are out and those whose
	// capacity returns in steps.
	Out        []string                    `json:"out"`
	Returning  []string                    `json:"returning"`
	Quarantine []string                    `json:"quarantine"`
	Unmet      []berylguarantee.Unmet      `json:"unmet"`
	Used       map[string]berylshape.Shape `json:"used"`
}

// State returns a snapshot that shares nothing with the scheduler.
func (s *Scheduler) State() State {
	out := State{
		Counts:     s.counts,
		Waiting:    s.queue.Len(),
		Quarantine: s.quarantine.Workers(),
		Unmet:      s.guarantees.Unmet(),
		Used:       maps.Clone(s.accountUsage),
	}
	for _, j := range s.jobs {
		if j.stage >= _placed {
			out.Placed++
		}
	}
	for _, j := range s.assigned {
		if j.stage == _assigned {
			out.Assigned = append(out.Assigned, j.ID)
		}
	}
	for _, j := range s.stopping {
		if j.stage >= _placed && !j.preemptedAt.IsZero() {
			out.Stopping = append(out.Stopping, j.ID)
		}
	}
	if s.reservation != nil {
		out.ReservedFor = s.reservation.job.ID
		for _, p := range s.reservation.parts {
			out.ReservedWorkers = append(out.ReservedWorkers, s.workers[p.Worker].Name)
		}
	}
	for i := range s.workers {
		if s.workers[i].present {
			out.Workers++
		}
		if s.placement.Worker(i).Usable {
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
