// Package berylsidecar runs an agent beside a backend server on the users' platform.
//
// One control actor owns the [berylkeeper.Keeper]. Heartbeats, orders, results of
// calls and timers reach it as messages; calls to the backend server and reports to
// the leader run in separate goroutines.
package berylsidecar

import (
	"context"
	"errors"
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
	// ServerAddr is the address of the backend server before its first heartbeat; empty
	// if it is unknown.
	ServerAddr string
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
	// down is true if no process listened at the last listing call.
	down bool
	// wakes is true if a timer will wake the actor for a delayed listing call.
	wakes bool
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
	// listingDue ends the delay of a listing call.
	listingDue struct{}
)

func (heartbeatReceived) message() {}

func (deregistered) message() {}

func (ordersReceived) message() {}

func (callFinished) message() {}

func (reportAnswered) message() {}

func (entriesListed) message() {}

func (leaderAnnounced) message() {}

func (tick) message() {}

func (listingDue) message() {}

// New returns an agent. Start and Run start it.
func New(cfg Config) *Sidecar {
	k := berylkeeper.New(cfg.Node, cfg.Addr, cfg.Boot, cfg.Limits)
	k.ServerAddr = cfg.ServerAddr
	return &Sidecar{
		cfg:     cfg,
		keeper:  k,
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
		s.logOrders(now, m.orders, r)
		m.reply(r)
	case callFinished:
		s.logOutcome(m.outcome)
		k.Outcome(now, m.outcome)
		if errors.Is(m.outcome.Err, berylexecutor.ErrDown) {
			time.AfterFunc(berylkeeper.DownPause, func() { s.loop.Tell(tick{}) })
		}
	case reportAnswered:
		s.applyAnswer(now, m)
	case entriesListed:
		s.entries = mergeUnique(s.cfg.Seeds, m.addrs)
	case leaderAnnounced:
		s.followLeader(now, m.lead)
		m.reply(berylreport.Receipt{Epoch: k.Epoch()})
	case listingDue:
		s.wakes = false
	case tick:
	}
	for _, t := range k.Calls(now) {
		go s.call(t)
	}
	if d := k.Paused(now); d > 0 && !s.wakes {
		s.wakes = true
		time.AfterFunc(d, func() { s.loop.Tell(listingDue{}) })
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
