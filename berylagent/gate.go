package berylagent

import (
	"sync"
	"sync/atomic"
	"time"

	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/berylmessage"
)

// Freshness decides whether anything may start, depending on when the
// configuration was last confirmed. The agent serializes calls.
type Freshness interface {
	// Check returns an error of kind NotRun if nothing may start now.
	Check(now time.Time) error
	// Confirm applies a confirmation from the reply to a request that was sent
	// at the given time. The last argument is the offset of the agent's own
	// configuration.
	Confirm(now, sent time.Time, c berylmessage.Confirmation, own int64)
}

// gate decides whether a call or a task may start now. It is safe for
// concurrent use.
type gate struct {
	domain string
	// draining is set by Drain and during the shutdown.
	draining atomic.Bool
	// cfg is replaced by the control actor before the matching confirmation is
	// applied. The value that it points to is never modified.
	cfg atomic.Pointer[berylconfig.Config]

	mu        sync.Mutex
	freshness Freshness
}

// permit returns an error of kind NotRun if nothing may start now. It checks
// the freshness before it reads the configuration: a configuration that is read
// afterwards is at least as new as the one that was confirmed.
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
// that was accepted before the agent began to drain may still start.
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
