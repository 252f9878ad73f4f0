package berylleader

import "berylglade/berylscheduler"

// State is a snapshot of the leader for the state dump.
type State struct {
	Term   int64  `json:"term"`
	Counts Counts `json:"counts"`
	// Stages counts jobs by stage.
	Stages map[string]int `json:"stages"`
	// Scheduler is nil if the policy does not report a state.
	Scheduler *berylscheduler.State `json:"scheduler,omitempty"`
}

// stateReporter is a policy that reports its state.
type stateReporter interface {
	State() berylscheduler.State
}

var _ stateReporter = (*berylscheduler.Scheduler)(nil)

// State returns a snapshot that shares no memory with the leader.
func (l *Leader) State() State {
	s := State{Term: l.Term, Counts: l.Counts, Stages: map[string]int{}}
	for _, g := range l.gangs {
		s.Stages[g.stage.String()]++
	}
	if p, ok := l.policy.(stateReporter); ok {
		scheduler := p.State()
		s.Scheduler = &scheduler
	}
	return s
}

// String returns the name of the stage as it appears in the state dump.
func (s stage) String() string {
	names := []string{"", "queued", "reserving", "deciding", "starting", "running", "stopping"}
	if int(s) >= len(names) {
		return ""
	}
	return names[s]
}
