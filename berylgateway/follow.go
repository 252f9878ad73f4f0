package berylgateway

import (
	"time"

	"berylglade/berylfollower"
)

// jobsEvent runs in the goroutine of the follower.
func (g *Gateway) jobsEvent(e berylfollower.Event) {
	now := g.cfg.Clock()
	if f, ok := e.(berylfollower.Failed); ok {
		g.View.RecordRead(now, false)
		g.jobsOutage.failed(now, g.cfg.Log, g.cfg.TopicJobs, f.Err)
		return
	}
	g.View.RecordRead(now, true)
	g.jobsOutage.over(now, g.cfg.Log, g.cfg.TopicJobs)
	switch e := e.(type) {
	case berylfollower.Loaded:
		g.View.Load(e.Records, e.Sent)
	case berylfollower.Read:
		g.View.Apply(e.Records, e.Sent)
	}
	g.loop.Tell(jobsEvent{event: e})
}

func (g *Gateway) policyEvent(e berylfollower.Event) {
	var err error
	var sent time.Time
	changed := true
	now := g.cfg.Clock()
	if f, ok := e.(berylfollower.Failed); ok {
		g.policyOutage.failed(now, g.cfg.Log, g.cfg.TopicOperator, f.Err)
		return
	}
	g.policyOutage.over(now, g.cfg.Log, g.cfg.TopicOperator)
	switch e := e.(type) {
	case berylfollower.Loaded:
		sent = e.Sent
		err = g.cfg.Policy.Replace(e.Records)
	case berylfollower.Read:
		sent = e.Sent
		changed = len(e.Records) > 0
		err = g.cfg.Policy.Fold(e.Records)
	}
	if err != nil {
		g.cfg.Log.Error("record of the desired state is not valid; the last one stays", "err", err)
	}
	if !changed {
		g.View.SetPolicy(nil, sent)
		return
	}
	p := g.cfg.Policy.Current()
	g.View.SetPolicy(p, sent)
	if p == nil {
		return
	}
	out := make([]string, 0, len(p.OutOfService))
	for zone := range p.OutOfService {
		out = append(out, zone)
	}
	g.cfg.Log.Info("desired state", "version", p.Version, "queues", len(p.Queues), "out", out)
	g.loop.Tell(policySet{policy: p})
}
