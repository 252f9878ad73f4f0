// Package berylagent is the process next to each backend server and worker.
//
// An [Agent] has two parts. Calls are handled in goroutines that share a ledger
// under a lock, the file calls.go. Everything else, which is configuration,
// gangs and what is in use on the host, is the state of one control actor, the
// file control.go; its effects run in goroutines and report back by messages.
// The gate in gate.go is what both ask immediately before they start anything.
package berylagent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"berylglade/berylclock"
	"berylglade/berylconfig"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
	"berylglade/berylrunner"
)

const (
	_beatInterval = time.Second
	// _beatTimeout lets a heartbeat to a slow entry end before the entry
	// regards the agent as dead, which is after 4 s.
	_beatTimeout = 2 * time.Second
	// _idlePoll is how often a draining agent looks whether it is idle.
	_idlePoll = 20 * time.Millisecond
	// _linger is how long the listener stays open after the last reply was
	// handed to it, so that the reply reaches its reader.
	_linger = 200 * time.Millisecond
)

// Agent is one agent process.
type Agent struct {
	// Addr is the address for our other processes.
	Addr string
	// Incarnation is new for each process and has no dot.
	Incarnation string

	settings Settings
	clock    berylclock.Clock
	lis      net.Listener
	client   *berylrpc.Client
	runner   *berylrunner.Client
	gate     *gate
	calls    *calls
	metrics  *metrics
	loop     *berylcontrol.Loop[message]
}

// New returns an agent that listens already; Run closes the listener.
func New(settings Settings, clock berylclock.Clock, fresh Freshness, reg prometheus.Registerer) (*Agent, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	m, err := newMetrics(reg)
	if err != nil {
		return nil, err
	}
	lis, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, berylerror.Invalid.Wrap(err, "listen for processes")
	}
	a := &Agent{
		Addr:        lis.Addr().String(),
		Incarnation: ulid.Make().String(),
		settings:    settings,
		clock:       clock,
		lis:         lis,
		client:      berylrpc.NewClient(),
		gate:        &gate{domain: settings.Domain, fresh: fresh},
		metrics:     m,
	}
	a.gate.cfg.Store(&berylconfig.Config{})
	var runner berylrunner.Runner
	if settings.Runner != "" {
		a.runner = berylrunner.New(settings.Runner, settings.Slots)
		runner = a.runner
	}
	a.calls = newCalls(&a.settings, a.Incarnation, clock, a.gate, runner, m)
	return a, nil
}

// Run serves until ctx ends and then shuts down gracefully.
func (a *Agent) Run(ctx context.Context) error {
	c := newControl(a)
	a.loop = berylcontrol.New(a.clock, c.handle)
	defer a.loop.Stop()

	// Requests and heartbeats go on during the shutdown.
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	served := make(chan error, 1)
	go func() { served <- a.server().Serve(live, a.lis) }()
	for _, entry := range a.settings.Entries {
		wg.Go(func() { a.beatEvery(live, entry) })
	}
	klog.InfoS("agent started", "agent", a.settings.Name, "incarnation", a.Incarnation, "addr", a.Addr)

	var err error
	select {
	case <-ctx.Done():
		a.shutDown(live)
		stop()
		err = <-served
	case err = <-served:
		stop()
	}
	wg.Wait()
	if a.runner != nil {
		a.runner.Close()
	}
	_ = a.client.Close()
	klog.InfoS("agent stopped", "agent", a.settings.Name, "incarnation", a.Incarnation)
	return err
}

func (a *Agent) server() *berylrpc.Server {
	var s berylrpc.Server
	berylrpc.Handle(&s, berylmessage.MethodRun, a.calls.run)
	berylrpc.Handle(&s, berylmessage.MethodFind, a.calls.find)
	berylrpc.Handle(&s, berylmessage.MethodTombstone, a.calls.tombstone)
	berylrpc.Handle(&s, berylmessage.MethodConfig, a.serveConfig)
	return &s
}

// Drain makes the agent refuse new work, or accept it again.
func (a *Agent) Drain(on bool) {
	a.loop.Tell(drainSet{on: on})
}

// shutDown announces that the agent drains, lets the work in progress end and
// announces that the agent leaves.
func (a *Agent) shutDown(ctx context.Context) {
	a.gate.draining.Store(true)
	klog.InfoS("agent drains", "agent", a.settings.Name)
	a.beatAll(ctx)
	for !a.calls.idle() {
		time.Sleep(_idlePoll)
	}
	a.loop.Tell(leave{})
	a.beatAll(ctx)
	time.Sleep(_linger)
}
