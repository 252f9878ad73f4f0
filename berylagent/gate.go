package berylagent

import (
	"sync"
	"sync/atomic"
	"time"

	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/berylmessage"
)

// Freshness tells whether anything may start. The agent serializes calls.
type Freshness interface {
	// Check returns an error of kind NotRun if nothing may start now.
	Check(now time.Time) error
	// Confirm takes a confirmation that answers a request sent at the given
	// time, and the offset of the agent's own configuration.
	Confirm(now, sent time.Time, c berylmessage.Confirmation, own int64)
}

// gate decides whether a call or a task may start now. Goroutines outside the
// control actor use it.
type gate struct {
	domain string
	// draining is set by Drain and by the shutdown.
	draining atomic.Bool
	// cfg is replaced by the control actor, before the confirmation that
	// belongs to it, and never changed.
	cfg atomic.Pointer[berylconfig.Config]

	mu        sync.Mutex
	freshness Freshness
}

// permit returns an error of kind NotRun if nothing may start now. The
// freshness is checked before the configuration is read: a configuration that
// is read afterwards is at least as new as the one that was confirmed.
func (g *gate) permit(now time.Time) error {
	g.mu.Lock()
	err := g.freshness.Check(now)
	g.mu.Unlock()
	if err != nil {
		return berylerror.NotRun.Wrap(err, "start on agent")
	}
	if g.cfg.Load().Domains[g.domain].Out {
		return berylerror.NotRun.Errorf("failure domain %s is out", g.domain)
	}
	return nil
}

// admit returns an error of kind NotRun if no new work may be accepted. Work
// that was accepted before the agent drains may still start.
func (g *gate) admit(now time.Time) error {
	if g.draining.Load() {
		return berylerror.NotRun.Errorf("agent is draining")
	}
	return g.permit(now)
}

func (g *gate) confirm(now, sent time.Time, c berylmessage.Confirmation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freshness.Confirm(now, sent, c, g.cfg.Load().Offset)
}
