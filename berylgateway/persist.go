package berylgateway

import (
	"github.com/go-faster/errors"

	"berylglade/berylclock"
	"berylglade/beryldirector"
	"berylglade/berylstore"
)

// persist repeats one append of the leader until its outcome is known. The store
// carries a sequence number out once, so repeats do no harm.
func (g *Gateway) persist(e beryldirector.Persist, seq int64) {
	for tries := 1; ; tries++ {
		timeout := _appendTimeout
		if tries > 1 {
			timeout = _repeatTimeout
		}
		err := g.append(e, seq, -1, timeout)
		switch {
		case err == nil:
			g.loop.Tell(persisted{epoch: e.Epoch})
			return
		case errors.Is(err, berylstore.ErrFenced), errors.Is(err, berylstore.ErrSequence):
			g.loop.Tell(persisted{epoch: e.Epoch, err: err})
			return
		case g.ctx.Err() != nil:
			return
		}
		if tries&(tries-1) == 0 {
			// One line for each doubling keeps an outage from filling the log.
			g.cfg.Log.Warn("append has no outcome yet", "epoch", e.Epoch, "seq", seq, "tries", tries, "err", err)
		}
		if g.View.Claim().Epoch > e.Epoch {
			// A newer leader's claim is in the topic; the store refuses this
			// append for ever.
			g.loop.Tell(persisted{epoch: e.Epoch, err: berylstore.ErrFenced})
			return
		}
		berylclock.Pause(g.ctx, _pause)
	}
}
