package berylsite

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"berylglade/berylclock"
	"berylglade/berylkeeper"
	"berylglade/berylrpc"
	"berylglade/berylsidecar"
	"berylglade/platform"
)

type agentCmd struct{}

// Run runs an agent until SIGTERM.
func (agentCmd) Run() error {
	p, err := newProcess("agent")
	if err != nil {
		return err
	}
	defer p.sink.Close()
	s := p.settings
	calls := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "berylglade_runner_call_seconds", Help: "Time of calls to the backend server; a hold waits for an end.",
		Buckets: prometheus.ExponentialBuckets(0.001, 3, 8),
	}, []string{"call", "result"})
	p.registry.MustRegister(calls)
	store := platform.NewStore(s.Store, s.StoreLimits)
	agent := berylsidecar.New(berylsidecar.Config{
		Node: s.Node, Addr: s.InternalAddr(), Boot: p.boot,
		Limits:   keeperLimits(s),
		Executor: platform.NewRunner(), ServerAddr: s.Runner,
		Clock: berylclock.System(), Log: p.log,
		Observe: func(call string, err error, took time.Duration) {
			result := "ok"
			if err != nil {
				result = "error"
			}
			calls.WithLabelValues(call, result).Observe(took.Seconds())
		},
		Seeds:   s.EntryAddrs(),
		Entries: p.addressRegistry(store, platform.TopicEntries), Agents: p.addressRegistry(store, platform.TopicAgents),
		ProducerName: p.producerName(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	agent.Start(ctx)
	var srv berylrpc.Server
	agent.Register(&srv)
	if err := p.serveInternal(ctx, &srv); err != nil {
		return err
	}
	heartbeats := &platform.Heartbeats{Service: s.Service, OnHeartbeat: agent.Heartbeat, OnDeregister: agent.Deregister}
	if _, err := p.serve(ctx, "control", s.Control, heartbeats.Handler()); err != nil {
		return err
	}
	agent.Run(p.ctx)
	p.log.Info("stop")
	return nil
}

func keeperLimits(s platform.Settings) berylkeeper.Limits {
	return berylkeeper.Limits{
		LeaderTimeout: _leaderTimeout,
		Lease:         min(s.HoldMax-_holdMargin, _lease),
		Poll:          _listingWait,
	}
}

const (
	// _leaderTimeout is how long the leases of tasks are extended without an
	// answer of a leader. It covers an election and most outages of the store.
	_leaderTimeout = 3500 * time.Millisecond
	// _lease is the length of a lease. It covers the restart of an agent.
	_lease = 5500 * time.Millisecond
	// _holdMargin keeps the lease below the platform's maximum.
	_holdMargin  = 300 * time.Millisecond
	_listingWait = 500 * time.Millisecond
)
