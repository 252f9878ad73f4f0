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
	gateway  *berylgateway.Gateway
	leaving  atomic.Bool
	requests *prometheus.HistogramVec
}

func (e *entry) run() error {
	clock := berylclock.System()
	s := e.settings
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "berylglade_decisions_total", Help: "Decisions of the leader by their name in the log.",
	}, []string{"decision"})
	e.registry.MustRegister(decisions)
	store := platform.NewStore(s.Store)
	e.gateway = berylgateway.New(berylgateway.Config{
		Self:      beryldirector.Self{Node: s.Node, Boot: e.boot, Addr: s.Own(), Cores: s.Cores},
		Limits:    directorLimits(s),
		Store:     store,
		Clock:     clock,
		Log:       e.log,
		Count:     func(decision string) { decisions.WithLabelValues(decision).Inc() },
		Policy:    &platform.Policy{},
		TopicJobs: platform.TopicJobs, TopicOperator: platform.TopicOperator,
		Seeds:   s.Entries(),
		Entries: e.addresses(store, platform.TopicEntries), Agents: e.addresses(store, platform.TopicAgents),
		ProducerName: e.producer(),
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
	var srv berylrpc.Server
	e.gateway.Register(&srv)
	if err := e.serveOwn(ctx, &srv); err != nil {
		return err
	}
	front, err := e.listeners(ctx)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.gateway.Run(e.ctx)
	}()
	<-e.ctx.Done()
	e.leave(front)
	e.gateway.Close()
	<-done
	return nil
}

func (e *entry) listeners(ctx context.Context) (*http.Server, error) {
	ingress := &platform.Ingress{
		View: e.gateway.View, Clock: berylclock.System(), Log: e.log, KeyAge: e.settings.Revoke - _keyMargin,
		Serve: e.gateway.Intake.Serve, Leaving: e.leaving.Load,
		Observe: func(verb string, status int, took time.Duration) {
			e.requests.WithLabelValues(verb, strconv.Itoa(status)).Observe(took.Seconds())
		},
	}
	front, err := e.serve(ctx, e.settings.Front, ingress)
	if err != nil {
		return nil, err
	}
	if _, err := e.serve(ctx, e.settings.Ready, http.HandlerFunc(e.ready)); err != nil {
		return nil, err
	}
	if e.settings.Control != "" {
		// Backend servers report to the agent on their own VM. One that asks
		// here is turned away and tries there.
		beats := &platform.Beats{
			Take:  func(berylkeeper.Heartbeat) bool { return false },
			Leave: func(string) bool { return false },
		}
		if _, err := e.serve(ctx, e.settings.Control, beats.Handler()); err != nil {
			return nil, err
		}
	}
	return front, nil
}

// ready tells the balancer whether this entry takes new connections.
func (e *entry) ready(w http.ResponseWriter, _ *http.Request) {
	policy, confirmed := e.gateway.View.Policy()
	if e.leaving.Load() || policy == nil || berylclock.Age(berylclock.System()(), confirmed) > _readyAge {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// leave lets the balancer notice, answers what still comes, and ends the
// connections.
func (e *entry) leave(front *http.Server) {
	e.log.Info("stop", "grace", e.settings.Grace.Milliseconds())
	e.leaving.Store(true)
	time.Sleep(min(_noticeTime, e.settings.Grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), _closeTime)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		// Connections without a request are left over: answers take less time.
		e.log.Info("connections closed", "err", err)
		_ = front.Close()
	}
}

func directorLimits(s platform.Settings) beryldirector.Limits {
	k := keeperLimits(s)
	return beryldirector.Limits{
		Lost:     time.Duration(float64(k.LeaderTimeout+k.Lease)*_clockSlack) + _lostMargin,
		Takeover: _takeover, Sure: _takeover - _sureMargin,
		Kept: s.Kept + _keptMargin,
	}
}

const (
	// _keyMargin covers the difference between the clocks of the entry and of
	// the store.
	_keyMargin = 500 * time.Millisecond
	// _readyAge is how old the desired state may be for new connections.
	_readyAge = 2500 * time.Millisecond
	// _noticeTime is how long the balancer takes to notice: two checks, a second
	// apart. _closeTime lets requests end that came until then.
	_noticeTime = 2300 * time.Millisecond
	_closeTime  = 2700 * time.Millisecond
	// _takeover covers three renewals of a leader.
	_takeover   = 2 * time.Second
	_sureMargin = 200 * time.Millisecond
	// _clockSlack covers clocks that run 2% slow.
	_clockSlack = 1.03
	_lostMargin = 500 * time.Millisecond
	_keptMargin = 10 * time.Second
)
