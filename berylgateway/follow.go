package berylgateway

import (
	"time"

	"berylglade/berylfollower"
)

// onJobsEvent handles an event of the jobs topic. It runs in the follower's
// goroutine.
func (g *Gateway) onJobsEvent(e berylfollower.Event) {
	now := g.cfg.Clock()
	if f, ok := e.(berylfollower.Failed); ok {
		g.View.RecordRead(now, false)
		g.jobsOutage.failed(now, g.cfg.Log, g.cfg.TopicJobs, f.Err)
		return
	}
	g.View.RecordRead(now, true)
	g.jobsOutage.recovered(now, g.cfg.Log, g.cfg.TopicJobs)
	switch e := e.(type) {
	case berylfollower.Loaded:
		g.View.Replace(e.Records, e.AsOf)
	case berylfollower.Read:
		g.View.Apply(e.Records, e.AsOf)
	}
	g.loop.Tell(jobsEvent{event: e})
}

// onPolicyEvent handles an event of the operators' topic. It runs in the follower's
// goroutine.
func (g *Gateway) onPolicyEvent(e berylfollower.Event) {
	var err error
	var asOf time.Time
	changed := true
	now := g.cfg.Clock()
	if f, ok := e.(berylfollower.Failed); ok {
		g.policyOutage.failed(now, g.cfg.Log, g.cfg.TopicOperator, f.Err)
		return
	}
	g.policyOutage.recovered(now, g.cfg.Log, g.cfg.TopicOperator)
	switch e := e.(type) {
	case berylfollower.Loaded:
		asOf = e.AsOf
		err = g.cfg.Policy.Replace(e.Records)
	case berylfollower.Read:
		asOf = e.AsOf
		changed = len(e.Records) > 0
		err = g.cfg.Policy.Apply(e.Records)
	}
	if err != nil {
		g.cfg.Log.Error("invalid record of the desired state; keeping the previous version", "err", err)
	}
	if !changed {
		g.View.SetPolicy(nil, asOf)
		return
	}
	p := g.cfg.Policy.Current()
	g.View.SetPolicy(p, asOf)
	if p == nil {
		return
	}
	out := make([]string, 0, len(p.OutOfService))
	for zone := range p.OutOfService {
		out = append(out, zone)
	}
	g.cfg.Log.Info("desired state", "version", p.Version, "queues", len(p.Queues), "out", out)
	g.loop.Tell(policyChanged{policy: p})
}
