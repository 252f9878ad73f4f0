// Package berylsidecar runs an agent beside a backend server on the users' platform.
//
// One control actor owns the [berylkeeper.Keeper]. Heartbeats, orders, results of
// calls and timers reach it as messages; calls to the backend server and reports to
// the leader run in separate goroutines.
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

// Config configures a Sidecar.
type Config struct {
	Node, Addr string
	Boot       int64
	Limits     berylkeeper.Limits
	Executor   berylexecutor.Executor
	Clock      berylclock.Clock
	Log        *slog.Logger
	// Observe is called after each call to the backend server.
	Observe func(call string, err error, took time.Duration)
	// Seeds are the addresses of some entries, at which the search for the leader
	// starts.
	Seeds []string
	// Entries and Agents are the registries of the processes' addresses.
	Entries, Agents *berylregistry.Registry
	// ProducerName identifies this process to the store. It must be unique.
	ProducerName string
}

// Sidecar is an agent process without its listeners.
type Sidecar struct {
	cfg    Config
	keeper *berylkeeper.Keeper
	loop   *berylcontrol.Loop[message]
	client *berylrpc.Client
	ctx    context.Context

	// The fields below are owned by the actor.

	// reporting is true while a report is in flight.
	reporting bool
	// cancelReport cancels the report in flight.
	cancelReport context.CancelFunc
	// lastReport is when the last report was sent; set to an earlier time to send
	// the next one sooner.
	lastReport time.Time
	// entries are the addresses of the known entries.
	entries []string
	// leader is the address of the leader; empty while it is unknown.
	leader    string
	nextEntry int
	// unreachable is the address of the leader if it did not answer, at unreachableAt;
	// empty otherwise.
	unreachable   string
	unreachableAt time.Time
	// relay is the address of the entry that relays reports to the leader; empty if
	// none is known.
	relay string
	// misses is the number of reports since the last one that the leader answered.
	misses int
	// lastLookup is when the entries were last read from the store.
	lastLookup  time.Time
	incarnation berylbook.Incarnation
}

type message interface{ message() }

type (
	heartbeatReceived struct {
		heartbeat berylkeeper.Heartbeat
		reply     func(bool)
	}
	deregistered struct {
		instance string
		reply    func(bool)
	}
	ordersReceived struct {
		orders berylreport.Orders
		reply  func(berylreport.Receipt)
	}
	callFinished   struct{ outcome berylkeeper.Outcome }
	reportAnswered struct {
		answer      berylreport.Answer
		incarnation berylbook.Incarnation
		sent        int64
		addr        string
		err         error
	}
	entriesListed   struct{ addrs []string }
	leaderAnnounced struct {
		lead  berylreport.Lead
		reply func(berylreport.Receipt)
	}
	tick struct{}
)

func (heartbeatReceived) message() {}

func (deregistered) message() {}

func (ordersReceived) message() {}

func (callFinished) message() {}

func (reportAnswered) message() {}

func (entriesListed) message() {}

func (leaderAnnounced) message() {}

func (tick) message() {}

// New returns an agent. Start and Run start it.
func New(cfg Config) *Sidecar {
	return &Sidecar{
		cfg:     cfg,
		keeper:  berylkeeper.New(cfg.Node, cfg.Addr, cfg.Boot, cfg.Limits),
		client:  berylrpc.NewClosingClient(),
		entries: cfg.Seeds,
	}
}

// Start starts the control actor. Calls and reports are cancelled when ctx ends.
func (s *Sidecar) Start(ctx context.Context) {
	s.ctx = ctx
	s.loop = berylcontrol.New(s.cfg.Clock, s.handle)
}

// Run runs the agent until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.cfg.Agents.Register(ctx, s.cfg.ProducerName, s.cfg.Node, s.cfg.Addr) })
	wg.Go(func() { s.loop.Every(ctx, _tickInterval, func() message { return tick{} }) })
	wg.Wait()
	s.loop.Stop()
}

// Register registers the methods that the leader calls.
func (s *Sidecar) Register(srv *berylrpc.Server) {
	berylrpc.Handle(srv, berylreport.MethodOrders, func(ctx context.Context, o *berylreport.Orders) (*berylreport.Receipt, error) {
		r, err := berylcontrol.Ask(ctx, s.loop, func(reply func(berylreport.Receipt)) message {
			return ordersReceived{orders: *o, reply: reply}
		})
		return &r, err
	})
	berylrpc.Handle(srv, berylreport.MethodLead, func(ctx context.Context, l *berylreport.Lead) (*berylreport.Receipt, error) {
		r, err := berylcontrol.Ask(ctx, s.loop, func(reply func(berylreport.Receipt)) message {
			return leaderAnnounced{lead: *l, reply: reply}
		})
		return &r, err
	})
}

// Heartbeat processes a heartbeat of the backend server and reports whether it was
// accepted.
func (s *Sidecar) Heartbeat(b berylkeeper.Heartbeat) bool {
	return s.ask(func(reply func(bool)) message { return heartbeatReceived{heartbeat: b, reply: reply} })
}

// Deregister logs that an instance of the backend server has left for good.
func (s *Sidecar) Deregister(instance string) bool {
	return s.ask(func(reply func(bool)) message { return deregistered{instance: instance, reply: reply} })
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
	case heartbeatReceived:
		m.reply(k.Heartbeat(now, m.heartbeat))
		s.logIncarnation()
	case deregistered:
		s.cfg.Log.Info("backend server left", "instance", m.instance)
		m.reply(true)
	case ordersReceived:
		r := k.Orders(now, m.orders)
		s.logOrders(m.orders, r)
		m.reply(r)
	case callFinished:
		s.logOutcome(m.outcome)
		k.Outcome(now, m.outcome)
	case reportAnswered:
		s.applyAnswer(now, m)
	case entriesListed:
		s.entries = mergeUnique(s.cfg.Seeds, m.addrs)
	case leaderAnnounced:
		s.followLeader(now, m.lead)
		m.reply(berylreport.Receipt{Epoch: k.Epoch()})
	case tick:
	}
	for _, t := range k.Calls(now) {
		go s.call(t)
	}
	s.report(now)
}

func mergeUnique(lists ...[]string) []string {
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
	s.loop.Tell(callFinished{outcome: berylkeeper.Outcome{Call: t.Call, Seq: t.Seq, Listing: listing, Err: err}})
}

// report sends a report if the state has changed or the report interval has passed.
func (s *Sidecar) report(now time.Time) {
	if s.reporting || !s.keeper.Reportable() {
		return
	}
	if now.Sub(s.lastReport) < _minReportInterval {
		return
	}
	if now.Sub(s.lastReport) < _reportInterval && !s.keeper.Changed() {
		return
	}
	if s.leader == s.relay && s.unreachable != "" && !s.relaying(now) {
		s.leader = s.unreachable
	}
	addr := s.reportTarget()
	if addr == "" {
		s.refreshEntries(now)
		return
	}
	s.keeper.Changed()
	s.reporting = true
	s.lastReport = now
	r := s.keeper.Report(now)
	r.Relay = s.relaying(now)
	sent := s.keeper.BackendClock(now)
	ctx, cancel := context.WithTimeout(s.ctx, _reportTimeout)
	s.cancelReport = cancel
	go s.sendReport(ctx, addr, r, sent)
}

// followLeader switches to an announced leader and reports to it immediately. A
// report still in flight to the previous leader is cancelled.
func (s *Sidecar) followLeader(now time.Time, l berylreport.Lead) {
	if l.Epoch < s.keeper.Epoch() || l.Leader == s.leader {
		return
	}
	s.cfg.Log.Info("leader announced", "addr", l.Leader, "epoch", l.Epoch, "before", s.leader)
	s.leader = l.Leader
	s.unreachable, s.relay = "", ""
	s.misses = 0
	s.lastReport = now.Add(-_reportInterval)
	if s.reporting {
		s.cancelReport()
	}
}

func (s *Sidecar) reportTarget() string {
	if s.leader != "" {
		return s.leader
	}
	if len(s.entries) == 0 {
		return ""
	}
	return s.entries[s.nextEntry%len(s.entries)]
}

func (s *Sidecar) sendReport(ctx context.Context, addr string, r berylreport.Report, sent int64) {
	a, err := berylrpc.Call[berylreport.Report, berylreport.Answer](ctx, s.client, addr, berylreport.MethodReport, &r)
	m := reportAnswered{incarnation: r.Incarnation, sent: sent, addr: addr, err: err}
	if a != nil {
		m.answer = *a
	}
	s.loop.Tell(m)
}

// applyAnswer processes the answer to a report. It switches to the leader that the
// answer names, or to the next entry if the call has failed or no leader is known.
func (s *Sidecar) applyAnswer(now time.Time, m reportAnswered) {
	s.reporting = false
	s.cancelReport()
	announced := s.leader != "" && s.leader != m.addr
	switch {
	case m.err != nil && announced:
		return
	case m.err != nil:
		s.leaderUnreachable(now, m.addr, m.err)
		return
	}
	s.keeper.Answer(m.answer, m.incarnation, m.sent)
	if announced {
		return
	}
	if m.answer.FromLeader {
		if s.leader != m.addr {
			s.cfg.Log.Info("leader found", "addr", m.addr, "epoch", m.answer.Epoch, "misses", s.misses)
		}
		s.leader = m.addr
		s.misses = 0
		s.noteRelay(m.addr, m.answer.Leader)
		return
	}
	s.misses++
	known := m.answer.Leader != "" && m.answer.Leader != m.addr && m.answer.Epoch >= s.keeper.Epoch()
	if known && !(s.relaying(now) && m.answer.Leader == s.unreachable) {
		s.leader = m.answer.Leader
		s.lastReport = now.Add(-_reportInterval)
		return
	}
	s.tryNextEntry(now)
}

// relaying reports whether reports are to be relayed, because the leader did not answer
// this agent lately. It may answer others: two failure domains can be cut off from each
// other while a third one reaches both.
func (s *Sidecar) relaying(now time.Time) bool {
	return s.unreachable != "" && now.Sub(s.unreachableAt) < _directInterval
}

// noteRelay notes that the leader has answered a report that was sent to addr.
func (s *Sidecar) noteRelay(addr, leader string) {
	if addr == leader || s.unreachable == "" {
		s.unreachable, s.relay = "", ""
		return
	}
	s.relay = addr
}

func (s *Sidecar) leaderUnreachable(now time.Time, addr string, err error) {
	if s.leader != "" {
		s.cfg.Log.Warn("leader not reached", "addr", addr, "err", err)
	}
	s.misses++
	switch {
	case addr == s.relay:
		s.relay = ""
	case addr == s.leader:
		s.unreachable, s.unreachableAt = addr, now
	}
	if s.relay != "" {
		s.leader = s.relay
		s.lastReport = now.Add(-_reportInterval)
		return
	}
	s.tryNextEntry(now)
}

// tryNextEntry selects the next entry for the search of the leader. The first round
// over all entries is fast; further attempts follow at the report interval.
func (s *Sidecar) tryNextEntry(now time.Time) {
	s.leader = ""
	s.nextEntry++
	if s.misses <= len(s.entries) {
		s.lastReport = now.Add(_nextEntryDelay - _reportInterval)
	}
	s.refreshEntries(now)
}

// refreshEntries reads the addresses of all entries from the store, at most once per
// second and only while the leader is unknown.
func (s *Sidecar) refreshEntries(now time.Time) {
	if now.Sub(s.lastLookup) < _minLookupInterval || (s.misses < _missesBeforeLookup && len(s.entries) > 0) {
		return
	}
	s.lastLookup = now
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, _lookupTimeout)
		defer cancel()
		addrs, err := s.cfg.Entries.Addresses(ctx)
		if err != nil {
			s.cfg.Log.Warn("entries not read", "err", err)
			return
		}
		s.loop.Tell(entriesListed{addrs: addrs})
	}()
}

const (
	_tickInterval = 100 * time.Millisecond
	_askTimeout   = 800 * time.Millisecond
	// _reportInterval is the interval of reports without a change,
	// _minReportInterval the minimum time between two reports.
	_reportInterval    = 500 * time.Millisecond
	_minReportInterval = 5 * time.Millisecond
	// _nextEntryDelay is the delay before the next entry is tried.
	_nextEntryDelay = 100 * time.Millisecond
	_reportTimeout  = 700 * time.Millisecond
	// _directInterval is how long reports are relayed before one is sent to the leader
	// itself again. That one may take _reportTimeout, during which there is no contact.
	_directInterval    = 5 * time.Second
	_minLookupInterval = time.Second
	_lookupTimeout     = time.Second
	// _missesBeforeLookup is the number of reports without an answer of the leader
	// after which the entries are read from the store.
	_missesBeforeLookup = 2
)
