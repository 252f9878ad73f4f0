package berylleader

import "berylglade/berylscheduler"

// State is the leader's state for people.
type State struct {
	Term   int64  `json:"term"`
	Counts Counts `json:"counts"`
	// Stages has the number of jobs in each stage.
	Stages map[string]int `json:"stages"`
	// Scheduler is nil if the policy has no state to show.
	Scheduler *berylscheduler.State `json:"scheduler,omitempty"`
}

// stater is a policy that shows its state.
type stateReporter interface {
	State() berylscheduler.State
}

var _ stateReporter = (*berylscheduler.Scheduler)(nil)

// State returns a snapshot that shares nothing with the leader.
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

// String returns the name of the stage in the state dump.
func (s stage) String() string {
	names := []string{"", "queued", "reserving", "deciding", "starting", "running", "stopping"}
	if int(s) >= len(names) {
		return ""
	}
	return names[s]
}
