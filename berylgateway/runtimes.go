package berylgateway

import (
	"context"

	"berylglade/berylcontrol"
	"berylglade/beryldirector"
	"berylglade/berylestimator"
)

func (g *Gateway) observeRunTime(e beryldirector.RunTimeSeen) {
	if g.cfg.ObserveRunTime != nil && e.Expected > 0 {
		g.cfg.ObserveRunTime(e.Queue, e.Took.Seconds()/e.Expected.Seconds())
	}
}

// RunTimes returns what is known of the run times of a queue, or of all queues if it is
// empty.
func (g *Gateway) RunTimes(ctx context.Context, queue string) ([]berylestimator.Known, error) {
	return berylcontrol.Ask(ctx, g.loop, func(reply func([]berylestimator.Known)) message {
		return runTimesAsked{queue: queue, reply: reply}
	})
}
