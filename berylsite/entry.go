package berylsite

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"berylglade/berylclock"
	"berylglade/beryldirector"
	"berylglade/berylgateway"
	"berylglade/berylkeeper"
	"berylglade/berylrpc"
	"berylglade/platform"
)

type entryCmd struct{}

// Run runs an entry until SIGTERM.
func (entryCmd) Run() error {
	p, err := newProcess("entry")
	if err != nil {
		return err
	}
	defer p.sink.Close()
	e := &entry{process: p}
	return e.run()
}

type entry struct {
	*process
	gateway      *berylgateway.Gateway
	shuttingDown atomic.Bool
	requests     *prometheus.HistogramVec
}

// discardedWork returns the observer of the histogram of work that jobs lose by preemptions.
func (p *process) discardedWork() func(queue string, coreSeconds float64) {
	work := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "berylglade_job_preempted_core_seconds", Help: "Work that a job lost by preemptions until its end, in core-seconds.",
		Buckets: prometheus.ExponentialBuckets(1, 4, 8),
	}, []string{"queue"})
	p.registry.MustRegister(work)
	return func(queue string, coreSeconds float64) { work.WithLabelValues(queue).Observe(coreSeconds) }
}

func (e *entry) run() error {
	clock := berylclock.System()
	s := e.settings
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "berylglade_decisions_total", Help: "Decisions of the leader by their name in the log.",
	}, []string{"decision"})
	e.registry.MustRegister(decisions)
	store := platform.NewStore(s.Store, s.StoreLimits)
	e.gateway = berylgateway.New(berylgateway.Config{
		Self:           beryldirector.Self{Node: s.Node, Boot: e.boot, Addr: s.InternalAddr(), Cores: s.Cores},
		Limits:         directorLimits(s),
		Store:          store,
		Clock:          clock,
		Log:            e.log,
		CountDecision:  func(decision string) { decisions.WithLabelValues(decision).Inc() },
		ObserveRunTime: e.runTimeRatios(), ObserveDiscarded: e.discardedWork(),
		Policy:    &platform.Policy{},
		TopicJobs: platform.TopicJobs, TopicOperator: platform.TopicOperator,
		Seeds:   s.EntryAddrs(),
		Entries: e.addressRegistry(store, platform.TopicEntries), Agents: e.addressRegistry(store, platform.TopicAgents),
		ProducerName: e.producerName(),
	})
	e.gateway.Start()
	e.requests = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "berylglade_request_seconds", Help: "Time to answer a client's request.",
		Buckets: prometheus.ExponentialBuckets(0.001, 3, 9),
	}, []string{"verb", "status"})
	e.registry.MustRegister(e.requests, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "berylglade_leading", Help: "One while this entry leads.",
	}, func() float64 {
		if e.gateway.Leading() {
			return 1
		}
		return 0
	}))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.registry.MustRegister(newReservations(clock, e.gateway.Held))
	e.internal.HandleFunc("GET "+_runTimesPath, e.serveRunTimes)
	e.internal.HandleFunc("GET "+_reservationsPath, e.serveReservations)
	var srv berylrpc.Server
	e.gateway.Register(&srv)
	if err := e.serveInternal(ctx, &srv); err != nil {
		return err
	}
	front, err := e.startListeners(ctx)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.gateway.Run(e.ctx)
	}()
	<-e.ctx.Done()
	e.shutDown(front)
	e.gateway.Close()
	<-done
	return nil
}

func (e *entry) startListeners(ctx context.Context) (*http.Server, error) {
	ingress := &platform.Ingress{
		View: e.gateway.View, Clock: berylclock.System(), Log: e.log, MaxPolicyAge: e.settings.Revoke - _keyMargin,
		Serve: e.gateway.Intake.Serve, ShuttingDown: e.shuttingDown.Load,
		Observe: func(verb string, status int, took time.Duration) {
			e.requests.WithLabelValues(verb, strconv.Itoa(status)).Observe(took.Seconds())
		},
	}
	front, err := e.serve(ctx, _clientListener, e.settings.Front, ingress)
	if err != nil {
		return nil, err
	}
	if _, err := e.serve(ctx, "ready", e.settings.Ready, http.HandlerFunc(e.ready)); err != nil {
		return nil, err
	}
	if e.settings.Control != "" {
		// Backend servers send heartbeats to the agent on their own VM. One that
		// sends them here gets status 503 and tries its agent instead.
		heartbeats := &platform.Heartbeats{
			OnHeartbeat:  func(berylkeeper.Heartbeat) bool { return false },
			OnDeregister: func(string) bool { return false },
		}
		if _, err := e.serve(ctx, "control", e.settings.Control, heartbeats.Handler()); err != nil {
			return nil, err
		}
	}
	return front, nil
}

// ready answers the load balancer's readiness check. An entry that the store does not
// answer serves through its peers, but new connections are better served there.
func (e *entry) ready(w http.ResponseWriter, _ *http.Request) {
	now := berylclock.System()()
	policy, confirmed := e.gateway.View.Policy()
	stale := berylclock.Age(now, confirmed) > _maxReadyAge || e.gateway.View.ReadsFailing(now) > _maxReadyAge
	if e.shuttingDown.Load() || policy == nil || stale {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// shutDown fails the readiness check and continues to serve until the load balancer
// has noticed, then drains and closes the connections.
func (e *entry) shutDown(front *http.Server) {
	e.log.Info("stop", "grace", e.settings.Grace.Milliseconds())
	e.shuttingDown.Store(true)
	time.Sleep(min(_balancerNoticeTime, e.settings.Grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), _drainTimeout)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		// Only connections without a complete request remain, as replies take less
		// time than the drain timeout.
		e.log.Info("drain timed out; closing the remaining connections", "err", err)
		_ = front.Close()
	}
}

func directorLimits(s platform.Settings) beryldirector.Limits {
	k := keeperLimits(s)
	return beryldirector.Limits{
		LeaseExpiry:   time.Duration(float64(k.LeaderTimeout+k.Lease)*_clockSlack) + _leaseExpiryMargin,
		LeaderTimeout: k.LeaderTimeout,
		Takeover:      _takeover, LeaderLease: _takeover - _leaderLeaseMargin,
		Retention: s.Kept + _retentionMargin,
		Stop:      s.StopTimeout, Reclaim: s.Reclaim, GangTimeout: s.GangTimeout,
		Checkpoint: s.Checkpoint, Restore: s.Restore, SpreadFactor: s.SpreadFactor,
		Store: s.StoreLimits,
	}
}

const (
	// _keyMargin covers the clock difference between the entry and the store.
	_keyMargin = 500 * time.Millisecond
	// _maxReadyAge is the maximum age of the desired state, and the longest time
	// without a read of the store, at which the readiness check succeeds.
	_maxReadyAge = 2500 * time.Millisecond
	// _balancerNoticeTime is how long the load balancer takes to notice a failed
	// readiness check: two checks, one second apart. _drainTimeout is the time for
	// requests that arrived until then.
	_balancerNoticeTime = 2300 * time.Millisecond
	_drainTimeout       = 2700 * time.Millisecond
	// _takeover is how long a leader may append nothing to the topic before another
	// entry claims leadership. It covers three renewals.
	_takeover = 2 * time.Second
	// _leaderLeaseMargin is how much earlier than after _takeover a leader whose
	// appends fail stops acting as the leader.
	_leaderLeaseMargin = 200 * time.Millisecond
	// _clockSlack allows for clocks that run 2% slow.
	_clockSlack        = 1.03
	_leaseExpiryMargin = 500 * time.Millisecond
	_retentionMargin   = 10 * time.Second
)
