package berylgateway

import (
	"time"

	"berylglade/beryldirector"
)

// Held returns the capacity that waits for units; nil if this entry does not lead.
func (g *Gateway) Held() []beryldirector.Held {
	held := g.held.Load()
	if held == nil {
		return nil
	}
	return *held
}

// storeHeld makes the capacity that waits for units visible outside the loop.
func (g *Gateway) storeHeld(now time.Time) {
	if g.director.Leading() && now.Sub(g.heldAt) < _heldInterval {
		return
	}
	g.heldAt = now
	held := g.director.Held()
	if len(held) == 0 && len(g.Held()) == 0 {
		return
	}
	g.held.Store(&held)
}

// _heldInterval is the minimum time between two summaries of a leader.
const _heldInterval = 500 * time.Millisecond
