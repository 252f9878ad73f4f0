package berylgateway

import (
	"berylglade/berylclock"
	"berylglade/beryldirector"
	"berylglade/berylstore"
)

// persist retries an append of the leader until its outcome is known. Retries are
// idempotent, as the store applies each sequence number once.
func (g *Gateway) persist(e beryldirector.Persist, seq int64) {
	for tries := 1; ; tries++ {
		timeout := _appendTimeout
		if tries > 1 {
			timeout = _retryTimeout
		}
		err := g.append(e, seq, -1, timeout)
		if berylstore.OutcomeOf(err).Final() {
			g.loop.Tell(appendFinished{epoch: e.Epoch, err: err})
			return
		}
		if g.ctx.Err() != nil {
			return
		}
		if tries&(tries-1) == 0 {
			// Log only attempts 1, 2, 4, 8 and so on, to limit the log volume of an
			// outage.
			g.cfg.Log.Warn("append has no outcome yet", "epoch", e.Epoch, "seq", seq, "tries", tries, "err", err)
		}
		if g.View.Claim().Epoch > e.Epoch {
			// The topic has a claim with a higher epoch, so the store will always
			// refuse this append.
			g.loop.Tell(appendFinished{epoch: e.Epoch, err: berylstore.ErrFenced})
			return
		}
		berylclock.Pause(g.ctx, _retryDelay)
	}
}
