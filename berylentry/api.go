package berylentry

import (
	"context"
	"time"

	"berylglade/berylanswer"
	"berylglade/berylapi"
	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/beryljob"
)

// Config implements berylapi.Entry.
func (e *Entry) Config() *berylconfig.Config { return e.view.Load().config }

// FindKey implements berylapi.Entry.
func (e *Entry) FindKey(_ context.Context, _, _ string, _ time.Duration) (berylanswer.Answer, error) {
	return berylanswer.Answer{}, berylerror.Unavailable.Errorf("log is not available")
}

// Submit implements berylapi.Entry.
func (e *Entry) Submit(_ context.Context, _ beryljob.Job) (beryljob.State, error) {
	return beryljob.State{}, berylerror.NotRun.Errorf("log is not available")
}

// Job implements berylapi.Entry.
func (e *Entry) Job(_ context.Context, _, _ string) (beryljob.State, error) {
	return beryljob.State{}, berylerror.Unavailable.Errorf("log is not available")
}

// Jobs implements berylapi.Entry.
func (e *Entry) Jobs(_ context.Context, _ string) ([]beryljob.State, error) {
	return nil, berylerror.Unavailable.Errorf("log is not available")
}

// Cancel implements berylapi.Entry.
func (e *Entry) Cancel(_ context.Context, _, _ string) (beryljob.State, error) {
	return beryljob.State{}, berylerror.Unavailable.Errorf("log is not available")
}

// Publish implements berylapi.Entry.
func (e *Entry) Publish(_ context.Context, _ berylapi.Change) (int64, error) {
	return 0, berylerror.Unavailable.Errorf("log is not available")
}

// SetDomain implements berylapi.Entry.
func (e *Entry) SetDomain(_ context.Context, _ string, _ berylconfig.FailureDomain) (int64, error) {
	return 0, berylerror.Unavailable.Errorf("log is not available")
}

// Drain implements berylapi.Entry.
func (e *Entry) Drain(_ context.Context, _ string) error {
	return berylerror.Unavailable.Errorf("not available")
}

// Agents implements berylapi.Entry.
func (e *Entry) Agents(_ context.Context) ([]berylapi.Agent, error) {
	members := e.view.Load().members
	agents := make([]berylapi.Agent, 0, len(members))
	for i := range members {
		m := &members[i]
		agents = append(agents, berylapi.Agent{
			Name:        m.Agent,
			Incarnation: m.Incarnation,
			Addr:        m.Addr,
			Domain:      m.Domain,
			Rack:        m.Rack,
			State:       m.State.String(),
			Draining:    m.Draining,
			Slots:       m.Slots,
			Busy:        m.Busy,
			Total:       m.Total,
			Gangs:       len(m.Gangs),
			Offset:      m.Offset,
		})
	}
	return agents, nil
}
