// Package berylagent is the process next to each backend server and worker.
//
// An [Agent] has two parts. Calls are handled in goroutines that share a ledger
// under a lock (calls.go). Everything else, which is configuration, gangs and
// what is in use on the host, is the state of one control actor (control.go,
// gangs.go); its effects run in goroutines and report back by messages
// (tasks.go). Both parts ask the gate (gate.go) immediately before they start
// anything.
package berylagent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"berylglade/berylclock"
	"berylglade/berylconfig"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylgang"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
	"berylglade/berylrunner"
	"berylglade/berylworker"
)

const (
	_heartbeatInterval = time.Second
	// _tickInterval adds to the delay of everything that gangs wait for, as a
	// start within 1.6 s.
	_tickInterval = 100 * time.Millisecond
	// _heartbeatTimeout lets a heartbeat to a slow entry end before the entry
	// regards the agent as dead, which is after 4 s.
	_heartbeatTimeout = 2 * time.Second
	// _terminationWait is how long a process that stops waits for the end of gangs
	// that it has stopped.
	_terminationWait = berylgang.TerminationTime
	// _idlePollInterval is how often a process that stops looks whether it is idle.
	_idlePollInterval = 20 * time.Millisecond
	// _lateCallTime is how long an agent that drains goes on to refuse calls. An
	// entry binds the key of a call to an agent before it dispatches the call,
	// and the append between the two takes hundreds of milliseconds if the log
	// is slow. A call that finds the agent gone has an unknown outcome for ever.
	_lateCallTime = 2 * time.Second
	// _lingerTime is how long the listener stays open after the last reply was
	// handed to it, so that the reply reaches its reader.
	_lingerTime = 200 * time.Millisecond
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
	worker   *berylworker.Client
	gate     *gate
	calls    *calls
	metrics  *metrics
	loop     *berylcontrol.Loop[message]
	// effectCtx ends when the process stops carrying out effects.
	effectCtx context.Context
	stop      context.CancelFunc
	// heartbeats are the goroutines that send heartbeats until beatStop.
	heartbeats     sync.WaitGroup
	stopHeartbeats context.CancelFunc
	// effects are the goroutines of the control actor's effects.
	effects sync.WaitGroup
	// hasTasks is set by the control actor while a part has tasks.
	hasTasks atomic.Bool
}

// New returns an agent that listens already. Run has to be called, and closes
// the listener.
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
		return nil, berylerror.Unavailable.Wrap(err, "listen for processes")
	}
	a := &Agent{
		Addr:        lis.Addr().String(),
		Incarnation: ulid.Make().String(),
		settings:    settings,
		clock:       clock,
		lis:         lis,
		client:      berylrpc.NewClient(),
		gate:        &gate{domain: settings.Domain, freshness: fresh},
		metrics:     m,
	}
	a.gate.cfg.Store(&berylconfig.Config{})
	var runner berylrunner.Runner
	if settings.Runner != "" {
		a.runner = berylrunner.New(settings.Runner, settings.Slots)
		runner = a.runner
	}
	if settings.Worker != "" {
		a.worker = berylworker.New(settings.Worker)
	}
	a.calls = newCalls(&a.settings, a.Incarnation, clock, a.gate, runner, m)
	a.effectCtx, a.stop = context.WithCancel(context.Background())
	a.loop = berylcontrol.New(clock, newControl(a.effectCtx, a).handle)
	return a, nil
}

// Run serves until ctx ends and then shuts down gracefully. Requests and
// heartbeats go on during the shutdown.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	served := make(chan error, 1)
	go func() { served <- a.server().Serve(a.effectCtx, a.lis) }()
	beating, beatStop := context.WithCancel(a.effectCtx)
	a.stopHeartbeats = beatStop
	for _, entry := range a.settings.Entries {
		a.heartbeats.Go(func() { a.sendHeartbeats(beating, entry) })
	}
	if a.worker != nil {
		wg.Go(func() { a.watchWorker(a.effectCtx) })
	}
	wg.Go(func() { a.loop.Every(a.effectCtx, _tickInterval, func() message { return tick{} }) })
	klog.InfoS("agent started", "agent", a.settings.Name, "incarnation", a.Incarnation, "addr", a.Addr)

	var err error
	select {
	case <-ctx.Done():
		a.shutDown(a.effectCtx)
		a.stop()
		err = <-served
	case err = <-served:
		a.stop()
	}
	wg.Wait()
	a.heartbeats.Wait()
	a.loop.Stop()
	a.effects.Wait()
	a.close()
	klog.InfoS("agent stopped", "agent", a.settings.Name, "incarnation", a.Incarnation)
	return err
}

// close closes the idle connections.
func (a *Agent) close() {
	if a.runner != nil {
		a.runner.Close()
	}
	if a.worker != nil {
		a.worker.Close()
	}
	_ = a.client.Close()
}

func (a *Agent) server() *berylrpc.Server {
	var s berylrpc.Server
	berylrpc.Handle(&s, berylmessage.MethodRun, a.calls.run)
	berylrpc.Handle(&s, berylmessage.MethodFind, a.calls.find)
	berylrpc.Handle(&s, berylmessage.MethodTombstone, a.calls.tombstone)
	berylrpc.Handle(&s, berylmessage.MethodConfig, a.serveConfig)
	berylrpc.Handle(&s, berylmessage.MethodDrain, a.serveDrain)
	berylrpc.Handle(&s, berylmessage.MethodReserve, handlerOnLoop(a, (*control).reserve))
	berylrpc.Handle(&s, berylmessage.MethodStart, handlerOnLoop(a, (*control).start))
	berylrpc.Handle(&s, berylmessage.MethodStop, handlerOnLoop(a, (*control).stop))
	berylrpc.Handle(&s, berylmessage.MethodGang, handlerOnLoop(a, (*control).gang))
	return &s
}

// Drain makes the agent refuse new work, or accept it again. Work in progress
// goes on.
func (a *Agent) Drain(on bool) {
	a.gate.draining.Store(on)
	klog.InfoS("draining was requested", "agent", a.settings.Name, "on", on)
}

// serveDrain serves Drain. A request that was meant for an earlier process on
// this host changes nothing.
func (a *Agent) serveDrain(_ context.Context, req *berylmessage.Drain) (*berylmessage.DrainReply, error) {
	if req.Incarnation != a.Incarnation {
		return nil, berylerror.Conflict.Errorf("agent %s was restarted", a.settings.Name)
	}
	a.Drain(true)
	return &berylmessage.DrainReply{}, nil
}

// shutDown announces that the agent drains, lets the work in progress end and
// announces that the agent leaves.
func (a *Agent) shutDown(ctx context.Context) {
	a.Drain(true)
	a.sendHeartbeatToAll(ctx)
	late := time.After(_lateCallTime)
	if !a.awaitSettled(ctx, a.settings.Drain.Std()) {
		a.loop.Tell(stopAll{})
		if !a.awaitSettled(ctx, _terminationWait) {
			klog.InfoS("agent leaves with gangs that have not ended", "agent", a.settings.Name)
		}
	}
	if a.runner != nil {
		<-late
	}
	// Calls in progress are limited by the run time of their class.
	for !a.calls.idle() {
		time.Sleep(_idlePollInterval)
	}
	// The last heartbeat must not be overtaken by an earlier one.
	a.stopHeartbeats()
	a.heartbeats.Wait()
	a.loop.Tell(announceLeaving{})
	a.sendHeartbeatToAll(ctx)
	time.Sleep(_lingerTime)
}

// awaitSettled waits until no gang needs this process, for at most the given time.
func (a *Agent) awaitSettled(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		settled, err := berylcontrol.Ask(ctx, a.loop, func(reply func(bool)) message {
			return settledQuery{reply: reply}
		})
		if err == nil && settled {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(_idlePollInterval):
		}
	}
}
