// Package berylsidecar runs the agent beside a backend server on the users'
// platform.
//
// One control actor owns the [berylkeeper.Keeper]. Heartbeats, orders, outcomes
// of calls and timers reach it as messages; calls to the backend server and
// reports to the leader run in goroutines of their own.
package berylsidecar

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"berylglade/berylbook"
	"berylglade/berylclock"
	"berylglade/berylcontrol"
	"berylglade/berylexecutor"
	"berylglade/berylkeeper"
	"berylglade/berylregistry"
	"berylglade/berylreport"
	"berylglade/berylrpc"
)

// Config is set before New.
type Config struct {
	Node, Addr string
	Boot       int64
	Limits     berylkeeper.Limits
	Executor   berylexecutor.Executor
	Clock      berylclock.Clock
	Log        *slog.Logger
	// Observe gets each call to the backend server.
	Observe func(call string, err error, took time.Duration)
	// Seeds are the addresses to look for the leader at first.
	Seeds []string
	// Entries and Agents have the addresses of our processes.
	Entries, Agents *berylregistry.Registry
	// ProducerName is unique to this process.
	ProducerName string
}

// Sidecar is the agent process without its listeners.
type Sidecar struct {
	cfg    Config
	keeper *berylkeeper.Keeper
	loop   *berylcontrol.Loop[message]
	client *berylrpc.Client
	ctx    context.Context

	// The actor owns what follows.
	reporting bool
	// abandon ends the outstanding report.
	abandon  context.CancelFunc
	reportAt time.Time
	entries  []string
	leader   string
	next     int
	misses   int
	asked    time.Time
	place    berylbook.Incarnation
}

type message interface{ message() }

type (
	beat struct {
		beat  berylkeeper.Heartbeat
		reply func(bool)
	}
	left struct {
		instance string
		reply    func(bool)
	}
	ordered struct {
		orders berylreport.Orders
		reply  func(berylreport.Receipt)
	}
	outcome struct{ outcome berylkeeper.Outcome }
	answer  struct {
		answer berylreport.Answer
		place  berylbook.Incarnation
		sent   int64
		addr   string
		err    error
	}
	entries struct{ addrs []string }
	led     struct {
		lead  berylreport.Lead
		reply func(berylreport.Receipt)
	}
	ticked struct{}
)

func (beat) message() {}

func (left) message() {}

func (ordered) message() {}

func (outcome) message() {}

func (answer) message() {}

func (entries) message() {}

func (led) message() {}

func (ticked) message() {}

// New returns an agent that is not running.
func New(cfg Config) *Sidecar {
	return &Sidecar{
		cfg:     cfg,
		keeper:  berylkeeper.New(cfg.Node, cfg.Addr, cfg.Boot, cfg.Limits),
		client:  berylrpc.NewClosingClient(),
		entries: cfg.Seeds,
	}
}

// Start starts the control actor; it ends with ctx.
func (s *Sidecar) Start(ctx context.Context) {
	s.ctx = ctx
	s.loop = berylcontrol.New(s.cfg.Clock, s.handle)
}

// Run drives the agent until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.cfg.Agents.Enter(ctx, s.cfg.ProducerName, s.cfg.Node, s.cfg.Addr) })
	wg.Go(func() { s.loop.Every(ctx, _tick, func() message { return ticked{} }) })
	wg.Wait()
	s.loop.Stop()
}

// Register makes the agent reachable for the leader.
func (s *Sidecar) Register(srv *berylrpc.Server) {
	berylrpc.Handle(srv, berylreport.MethodOrders, func(ctx context.Context, o *berylreport.Orders) (*berylreport.Receipt, error) {
		r, err := berylcontrol.Ask(ctx, s.loop, func(reply func(berylreport.Receipt)) message {
			return ordered{orders: *o, reply: reply}
		})
		return &r, err
	})
	berylrpc.Handle(srv, berylreport.MethodLead, func(ctx context.Context, l *berylreport.Lead) (*berylreport.Receipt, error) {
		r, err := berylcontrol.Ask(ctx, s.loop, func(reply func(berylreport.Receipt)) message {
			return led{lead: *l, reply: reply}
		})
		return &r, err
	})
}

// Beat takes a heartbeat of the backend server.
func (s *Sidecar) Beat(b berylkeeper.Heartbeat) bool {
	return s.ask(func(reply func(bool)) message { return beat{beat: b, reply: reply} })
}

// Leave takes note of a backend server that has ended for good.
func (s *Sidecar) Leave(instance string) bool {
	return s.ask(func(reply func(bool)) message { return left{instance: instance, reply: reply} })
}

func (s *Sidecar) ask(build func(reply func(bool)) message) bool {
	ctx, cancel := context.WithTimeout(s.ctx, _askTimeout)
	defer cancel()
	ok, err := berylcontrol.Ask(ctx, s.loop, build)
	return err == nil && ok
}

// handle runs in the control actor.
func (s *Sidecar) handle(now time.Time, msg message) {
	k := s.keeper
	switch m := msg.(type) {
	case beat:
		m.reply(k.Heartbeat(now, m.beat))
		s.logPlace()
	case left:
		s.cfg.Log.Info("backend server left", "instance", m.instance)
		m.reply(true)
	case ordered:
		r := k.Orders(now, m.orders)
		s.logOrders(m.orders, r)
		m.reply(r)
	case outcome:
		s.logOutcome(m.outcome)
		k.Outcome(now, m.outcome)
	case answer:
		s.takeAnswer(now, m)
	case entries:
		s.entries = merge(s.cfg.Seeds, m.addrs)
	case led:
		s.follow(now, m.lead)
		m.reply(berylreport.Receipt{Epoch: k.Epoch()})
	case ticked:
	}
	for _, t := range k.Calls(now) {
		go s.call(t)
	}
	s.report(now)
}

func merge(lists ...[]string) []string {
	var out []string
	seen := map[string]bool{}
	for _, list := range lists {
		for _, a := range list {
			if !seen[a] && a != "" {
				seen[a] = true
				out = append(out, a)
			}
		}
	}
	return out
}

func (s *Sidecar) call(t berylkeeper.IssuedCall) {
	ctx, cancel := context.WithTimeout(s.ctx, t.Timeout)
	defer cancel()
	began := s.cfg.Clock()
	listing, err := s.cfg.Executor.Do(ctx, t.Call)
	s.cfg.Observe(t.Call.Name(), err, s.cfg.Clock().Sub(began))
	s.loop.Tell(outcome{outcome: berylkeeper.Outcome{Call: t.Call, Seq: t.Seq, Listing: listing, Err: err}})
}

// report sends a report if there is news or the last one is old.
func (s *Sidecar) report(now time.Time) {
	if s.reporting || !s.keeper.Reportable() {
		return
	}
	if now.Sub(s.reportAt) < _reportGap {
		return
	}
	if now.Sub(s.reportAt) < _reportEvery && !s.keeper.Changed() {
		return
	}
	addr := s.target()
	if addr == "" {
		s.lookUp(now)
		return
	}
	s.keeper.Changed()
	s.reporting = true
	s.reportAt = now
	r := s.keeper.Report(now)
	sent := s.keeper.BackendClock(now)
	ctx, cancel := context.WithTimeout(s.ctx, _reportTimeout)
	s.abandon = cancel
	go s.send(ctx, addr, r, sent)
}

// follow reports to a new leader at once. A report that still waits for the last
// leader is given up.
func (s *Sidecar) follow(now time.Time, l berylreport.Lead) {
	if l.Epoch < s.keeper.Epoch() || l.Leader == s.leader {
		return
	}
	s.cfg.Log.Info("leader announced", "addr", l.Leader, "epoch", l.Epoch, "before", s.leader)
	s.leader = l.Leader
	s.misses = 0
	s.reportAt = now.Add(-_reportEvery)
	if s.reporting {
		s.abandon()
	}
}

func (s *Sidecar) target() string {
	if s.leader != "" {
		return s.leader
	}
	if len(s.entries) == 0 {
		return ""
	}
	return s.entries[s.next%len(s.entries)]
}

func (s *Sidecar) send(ctx context.Context, addr string, r berylreport.Report, sent int64) {
	a, err := berylrpc.Call[berylreport.Report, berylreport.Answer](ctx, s.client, addr, berylreport.MethodReport, &r)
	m := answer{place: r.Incarnation, sent: sent, addr: addr, err: err}
	if a != nil {
		m.answer = *a
	}
	s.loop.Tell(m)
}

// takeAnswer follows the leader that the answer names, and tries the next entry
// when one does not answer.
func (s *Sidecar) takeAnswer(now time.Time, m answer) {
	s.reporting = false
	s.abandon()
	announced := s.leader != "" && s.leader != m.addr
	switch {
	case m.err != nil && announced:
		return
	case m.err != nil:
		s.lost(now, m.addr, m.err)
		return
	}
	s.keeper.Answer(m.answer, m.place, m.sent)
	if announced {
		return
	}
	if m.answer.FromLeader {
		if s.leader != m.addr {
			s.cfg.Log.Info("leader found", "addr", m.addr, "epoch", m.answer.Epoch, "misses", s.misses)
		}
		s.leader = m.addr
		s.misses = 0
		return
	}
	s.misses++
	if m.answer.Leader != "" && m.answer.Leader != m.addr && m.answer.Epoch >= s.keeper.Epoch() {
		s.leader = m.answer.Leader
		s.reportAt = now.Add(-_reportEvery)
		return
	}
	s.search(now)
}

func (s *Sidecar) lost(now time.Time, addr string, err error) {
	if s.leader != "" {
		s.cfg.Log.Warn("leader not reached", "addr", addr, "err", err)
	}
	s.misses++
	s.search(now)
}

// search tries the next entry: soon as long as there are entries that were not
// tried, then at the usual pace.
func (s *Sidecar) search(now time.Time) {
	s.leader = ""
	s.next++
	if s.misses <= len(s.entries) {
		s.reportAt = now.Add(_retryGap - _reportEvery)
	}
	s.lookUp(now)
}

// lookUp reads the addresses of all entries from the store, at most once a
// second and only while no leader is found.
func (s *Sidecar) lookUp(now time.Time) {
	if now.Sub(s.asked) < _lookUpGap || (s.misses < _missesBefore && len(s.entries) > 0) {
		return
	}
	s.asked = now
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, _lookUpTimeout)
		defer cancel()
		addrs, err := s.cfg.Entries.Addresses(ctx)
		if err != nil {
			s.cfg.Log.Warn("entries not read", "err", err)
			return
		}
		s.loop.Tell(entries{addrs: addrs})
	}()
}

const (
	_tick       = 100 * time.Millisecond
	_askTimeout = 800 * time.Millisecond
	// _reportEvery is the interval of reports without news, _reportGap the
	// least time between two reports.
	_reportEvery = 500 * time.Millisecond
	_reportGap   = 5 * time.Millisecond
	// _retryGap is the pause before the next entry is tried.
	_retryGap      = 100 * time.Millisecond
	_reportTimeout = 700 * time.Millisecond
	_lookUpGap     = time.Second
	_lookUpTimeout = time.Second
	// _missesBefore is how many reports may miss the leader before the store is
	// asked for entries.
	_missesBefore = 2
)
