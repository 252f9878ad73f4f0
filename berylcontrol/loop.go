// Package berylcontrol runs the control state of a process in one actor.
//
// The owner of the state is a handler that gets one message at a time.
// Traffic goroutines reach it with [Loop.Tell], or with [Loop.Ask] when they
// need its answer. No lock guards the state, as only the actor touches it.
package berylcontrol

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"berylglade/berylclock"
	"berylglade/berylerror"
)

// Loop is one actor that handles messages of type M.
type Loop[M any] struct {
	system *actor.ActorSystem
	pid    *actor.PID
	clock  berylclock.Clock
	done   chan struct{}
}

// New starts a loop. The handler gets the time at which each message is
// handled, so that it need not read a clock.
func New[M any](clock berylclock.Clock, handle func(now time.Time, msg M)) *Loop[M] {
	l := &Loop[M]{
		system: actor.NewActorSystem(actor.WithLoggerFactory(discard)),
		clock:  clock,
		done:   make(chan struct{}),
	}
	props := actor.PropsFromFunc(func(ctx actor.Context) {
		switch msg := ctx.Message().(type) {
		case envelope[M]:
			defer crash()
			handle(l.clock(), msg.msg)
		case *actor.Stopped:
			close(l.done)
		}
	})
	l.pid = l.system.Root.Spawn(props)
	return l
}

// crash ends the process if a handler panics. The actor library would restart
// the actor instead, which would go on with state that is half changed and leave
// the message without a reply.
func crash() {
	if r := recover(); r != nil {
		stack := debug.Stack()
		go func() { panic(fmt.Sprintf("control actor: %v\n%s", r, stack)) }()
	}
}

// discard keeps the actor library from writing log lines of its own format; the
// processes log changes of state themselves.
func discard(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

type envelope[M any] struct {
	msg M
}

// Tell sends a message and does not wait. Messages of one sender keep their
// order.
func (l *Loop[M]) Tell(msg M) {
	l.system.Root.Send(l.pid, envelope[M]{msg: msg})
}

// Ask sends the message that build makes around a reply function and waits for
// the reply.
func Ask[M, R any](ctx context.Context, l *Loop[M], build func(reply func(R)) M) (R, error) {
	replies := make(chan R, 1)
	l.Tell(build(func(r R) {
		select {
		case replies <- r:
		default:
		}
	}))
	select {
	case r := <-replies:
		return r, nil
	case <-l.done:
		var zero R
		return zero, berylerror.Unavailable.Errorf("process is stopping")
	case <-ctx.Done():
		var zero R
		return zero, berylerror.Unavailable.Wrap(ctx.Err(), "wait for control state")
	}
}

// Every sends a message at a fixed interval until ctx ends.
func (l *Loop[M]) Every(ctx context.Context, interval time.Duration, build func() M) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.Tell(build())
		case <-ctx.Done():
			return
		}
	}
}

// Stop handles the messages sent so far and ends the actor.
func (l *Loop[M]) Stop() {
	_ = l.system.Root.PoisonFuture(l.pid).Wait()
	l.system.Shutdown()
}
