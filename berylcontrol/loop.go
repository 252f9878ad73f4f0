// Package berylcontrol runs the control state of a process in one actor.
//
// A handler owns the state and handles one message at a time. Other goroutines
// send it messages with [Loop.Tell], or with [Ask] if they need a reply. No lock
// guards the state because only the handler accesses it.
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

// New starts a loop. The handler is called with the time at which it handles the
// message, so it need not read a clock.
func New[M any](clock berylclock.Clock, handle func(now time.Time, msg M)) *Loop[M] {
	l := &Loop[M]{
		system: actor.NewActorSystem(actor.WithLoggerFactory(discardLogger)),
		clock:  clock,
		done:   make(chan struct{}),
	}
	props := actor.PropsFromFunc(func(ctx actor.Context) {
		switch msg := ctx.Message().(type) {
		case envelope[M]:
			defer exitOnPanic()
			handle(l.clock(), msg.msg)
		case *actor.Stopped:
			close(l.done)
		}
	})
	l.pid = l.system.Root.Spawn(props)
	return l
}

// exitOnPanic ends the process if the handler panics. The actor library would
// restart the actor instead, which would continue with partly changed state and
// leave the message without a reply.
func exitOnPanic() {
	if r := recover(); r != nil {
		stack := debug.Stack()
		go func() { panic(fmt.Sprintf("control actor: %v\n%s", r, stack)) }()
	}
}

// discardLogger suppresses the log lines of the actor library, which have another
// format than those of the processes.
func discardLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

type envelope[M any] struct {
	msg M
}

// Tell sends a message without waiting for it to be handled. Messages of one
// sender are handled in the order in which they were sent.
func (l *Loop[M]) Tell(msg M) {
	l.system.Root.Send(l.pid, envelope[M]{msg: msg})
}

// Ask sends the message that build returns for a reply function, and waits for
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

// Every sends a message at a fixed interval until ctx is done.
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

// Stop waits until the messages sent so far are handled and ends the actor.
func (l *Loop[M]) Stop() {
	_ = l.system.Root.PoisonFuture(l.pid).Wait()
	l.system.Shutdown()
}
