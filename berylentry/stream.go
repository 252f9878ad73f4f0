package berylentry

import (
	"context"
	"time"

	"berylglade/berylappender"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/beryllog"
	"berylglade/berylrecord"
	"berylglade/beryltail"
)

// Long-poll timeouts of the streams. The age of a confirmation grows to twice
// the poll timeout at an entry and by a heartbeat period of 1 s on the way to
// an agent, and it must stay below the limit of 3 s. The leader's lease of 4 s
// allows a longer timeout. Nothing depends on the age of the calls stream.
const (
	_configPoll  = 500 * time.Millisecond
	_controlPoll = time.Second
	_callsPoll   = 5 * time.Second
)

// _outageAfter is the time without a successful read after which a stream
// counts as unreachable. The unanimous report and one heartbeat must follow
// within the 3 s for which a confirmation allows starts.
const _outageAfter = time.Second

// stream reads and appends to one stream of the log.
type stream struct {
	*berylappender.Appender
	tail *beryltail.Tail
}

func newStream(e *Entry, log beryllog.Log, name string, poll time.Duration) *stream {
	return &stream{
		Appender: berylappender.New(log, name, e.clock),
		tail: beryltail.New(log, name, e.clock, poll, func(ev beryltail.Event) {
			e.loop.Tell(tailEvent{stream: name, event: ev})
		}),
	}
}

// append appends a record to a stream and waits until this entry's own tail has
// read it. An error of kind NotRun means that the record is certainly not in
// the log.
func (e *Entry) append(ctx context.Context, name string, r berylrecord.Record) error {
	if e.view.Load().failing[name] {
		e.metrics.appends.WithLabelValues(name, berylerror.NotRun.String()).Inc()
		return berylerror.NotRun.Errorf("stream %s of the log cannot be read, so no record can be confirmed", name)
	}
	offset, err := e.streams[name].Append(ctx, r)
	e.metrics.appends.WithLabelValues(name, result(err)).Inc()
	if err != nil {
		return err
	}
	if err := e.await(ctx, name, offset); err != nil {
		return berylerror.Unknown.Wrap(err, "read back record")
	}
	return nil
}

// await waits until the tail of a stream has read an offset.
func (e *Entry) await(ctx context.Context, name string, offset int64) error {
	_, err := berylcontrol.Ask(ctx, e.loop, func(reply func(struct{})) message {
		return awaitOffset{stream: name, offset: offset, done: ctx.Done(), reply: func() { reply(struct{}{}) }}
	})
	return err
}

// findIntent returns the valid intent of a key.
func (e *Entry) findIntent(ctx context.Context, account, key string) (intentResult, error) {
	return berylcontrol.Ask(ctx, e.loop, func(reply func(intentResult)) message {
		return findIntent{account: account, key: key, reply: reply}
	})
}

// reader is the control actor's read state of one stream.
type reader struct {
	// upto is the last offset that was read.
	upto int64
	// lastReadSent is when the request of the last successful read was sent.
	lastReadSent time.Time
	// success reports whether any read has succeeded, caughtUp whether the end
	// of the stream has been reached.
	success  bool
	caughtUp bool
	// failingSince is when the first of the current run of failed reads was
	// sent. It is zero if the last read succeeded.
	failingSince time.Time
	waiters      []awaitOffset
}

// failing reports whether the stream is unreachable.
func (r *reader) failing(now time.Time) bool {
	return !r.failingSince.IsZero() && now.Sub(r.failingSince) >= _outageAfter
}

// releaseWaiters answers the waiters whose offset has been read and drops those
// that have been cancelled.
func (r *reader) releaseWaiters(reply func(func())) {
	pending := r.waiters[:0]
	for _, w := range r.waiters {
		switch {
		case w.offset <= r.upto:
			reply(w.reply)
		case isClosed(w.done):
		default:
			pending = append(pending, w)
		}
	}
	clear(r.waiters[len(pending):])
	r.waiters = pending
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
