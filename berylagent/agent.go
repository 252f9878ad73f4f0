// Package berylagent implements the process that runs next to each backend
// server and worker. It belongs to the system's own interface; the agent on the
// users' platform is berylsidecar.
//
// An [Agent] handles calls in goroutines that share a ledger under a lock
// (calls.go). Everything else (configuration, gangs and the resources in use on
// the host) is the state of one control actor (control.go, gangs.go). The
// actor's side effects run in goroutines and report their results as messages
// (tasks.go).
//
// Immediately before a call or a task is started, the goroutine that starts it
// asks the gate (gate.go). The gate permits a start only if the configuration
// was confirmed as the newest a short time ago and does not mark the agent's
// failure domain as out. It also rejects new work while the agent is draining.
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
	// _tickInterval bounds the granularity of all gang timeouts and adds to the
	// delay of every step that a gang waits for. The target for the start of a
	// gang is 1.6 s.
	_tickInterval = 100 * time.Millisecond
	// _heartbeatTimeout ends a heartbeat to a slow entry before that entry
	// considers the agent dead, which it does after 4 s.
	_heartbeatTimeout = 2 * time.Second
	// _terminationWait is how long a process that shuts down waits for the
	// gangs that it has stopped to end.
	_terminationWait = berylgang.TerminationTime
	// _idlePollInterval is how often a process that shuts down checks whether
	// it is idle.
	_idlePollInterval = 20 * time.Millisecond
	// _lateCallTime is how long a draining agent keeps rejecting calls before
	// it leaves. An entry binds the key of a call to an agent before it
	// dispatches the call, and the append in between takes hundreds of
	// milliseconds if the log is slow. If the agent has left when the call
	// arrives, the outcome of the call stays unknown forever.
	_lateCallTime = 2 * time.Second
	// _lingerTime is how long the listener stays open after the last reply was
	// written, so that the reply reaches its receiver.
	_lingerTime = 200 * time.Millisecond
)

// Agent is one agent process.
type Agent struct {
	// Addr is the address for other berylglade processes.
	Addr string
	// Incarnation identifies this process; it is different after each restart
	// and contains no dot.
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
	// effectCtx is cancelled when the process stops carrying out side effects.
	effectCtx context.Context
	stop      context.CancelFunc
	// heartbeats tracks the goroutines that send heartbeats until
	// stopHeartbeats is called.
	heartbeats     sync.WaitGroup
	stopHeartbeats context.CancelFunc
	// effects tracks the goroutines that carry out the control actor's side
	// effects.
	effects sync.WaitGroup
	// hasTasks is set by the control actor while any gang part has tasks.
	hasTasks atomic.Bool
}

// New returns an agent that already listens. The caller must call Run, which
// closes the listener.
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

// Run serves until ctx is cancelled and then shuts down gracefully. Requests
// are served and heartbeats sent until the end of the shutdown.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	served := make(chan error, 1)
	go func() { served <- a.server().Serve(a.effectCtx, a.lis) }()
	heartbeatCtx, stopHeartbeats := context.WithCancel(a.effectCtx)
	a.stopHeartbeats = stopHeartbeats
	for _, entry := range a.settings.Entries {
		a.heartbeats.Go(func() { a.sendHeartbeats(heartbeatCtx, entry) })
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

// close closes idle connections.
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

// Drain makes the agent reject new work, or accept it again. Work in progress
// continues.
func (a *Agent) Drain(on bool) {
	a.gate.draining.Store(on)
	klog.InfoS("draining requested", "agent", a.settings.Name, "on", on)
}

// serveDrain handles Drain requests. A request for an earlier process on this
// host is rejected.
func (a *Agent) serveDrain(_ context.Context, req *berylmessage.Drain) (*berylmessage.DrainReply, error) {
	if req.Incarnation != a.Incarnation {
		return nil, berylerror.Conflict.Errorf("agent %s was restarted: drain is for incarnation %s, current is %s", a.settings.Name, req.Incarnation, a.Incarnation)
	}
	a.Drain(true)
	return &berylmessage.DrainReply{}, nil
}

// shutDown announces that the agent is draining, waits for work in progress and
// announces that the agent leaves.
func (a *Agent) shutDown(ctx context.Context) {
	a.Drain(true)
	a.sendHeartbeatToAll(ctx)
	lateCallsEnd := time.After(_lateCallTime)
	if !a.awaitSettled(ctx, a.settings.Drain.Std()) {
		a.loop.Tell(stopAll{})
		if !a.awaitSettled(ctx, _terminationWait) {
			klog.InfoS("agent leaves before its gangs have ended", "agent", a.settings.Name)
		}
	}
	if a.runner != nil {
		<-lateCallsEnd
	}
	// The run time of calls in progress is limited by their class.
	for !a.calls.idle() {
		time.Sleep(_idlePollInterval)
	}
	// An earlier heartbeat must not arrive after the last one.
	a.stopHeartbeats()
	a.heartbeats.Wait()
	a.loop.Tell(announceLeaving{})
	a.sendHeartbeatToAll(ctx)
	time.Sleep(_lingerTime)
}

// awaitSettled waits until no gang needs this process, at most for the given
// time, and reports whether that is the case.
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
