package berylentry

import (
	"context"
	"time"

	"berylglade/berylleader"
	"berylglade/berylmessage"
	"berylglade/berylrecord"
	"berylglade/berylrpc"
)

// _effectTimeout bounds a request to an agent. The leader waits 3 s for
// reservations and repeats starts and stops after 1 s.
const _effectTimeout = 2 * time.Second

// Leader is the control leader. The implementation is berylleader.Leader.
type Leader interface {
	Handle(now time.Time, ev berylleader.Event) []berylleader.Effect
}

// startEffect runs an effect of the leader in a goroutine; its result returns
// as an event. leaseErr is set if the last read of the log is too old to
// guarantee that this entry still leads; the effect is then not run, except for
// stops.
func (e *Entry) startEffect(effect berylleader.Effect, leaseErr error) {
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(e.workCtx, _effectTimeout)
		defer cancel()
		e.runEffect(ctx, effect, leaseErr)
	})
}

func (e *Entry) runEffect(ctx context.Context, effect berylleader.Effect, leaseErr error) {
	switch effect := effect.(type) {
	case berylleader.SendReserve:
		ev := berylleader.Reserved{Job: effect.Reserve.Job, Attempt: effect.Reserve.Attempt, Index: effect.Index, Err: leaseErr}
		if leaseErr == nil {
			reply, err := berylrpc.Call[berylmessage.Reserve, berylmessage.ReserveReply](
				ctx, e.client, effect.Addr, berylmessage.MethodReserve, &effect.Reserve)
			ev.Err = err
			if err == nil {
				ev.Incarnation = reply.Incarnation
			}
		}
		e.reportResult("reserve", ev, ev.Err)
	case berylleader.SendStart:
		ev := berylleader.Started{Job: effect.Start.Job.ID, Attempt: effect.Start.Attempt, Index: effect.Start.Index, Err: leaseErr}
		if leaseErr == nil {
			_, ev.Err = berylrpc.Call[berylmessage.Start, berylmessage.StartReply](
				ctx, e.client, effect.Addr, berylmessage.MethodStart, &effect.Start)
		}
		e.reportResult("start", ev, ev.Err)
	case berylleader.SendStop:
		_, err := berylrpc.Call[berylmessage.Stop, berylmessage.StopReply](
			ctx, e.client, effect.Addr, berylmessage.MethodStop, &effect.Stop)
		e.metrics.effects.WithLabelValues("stop", result(err)).Inc()
	case berylleader.Append:
		ev := berylleader.Appended{State: effect.Record.State, Err: leaseErr}
		var offset int64
		if leaseErr == nil {
			record := berylrecord.New(e.view.Load().upto[berylrecord.StreamControl], effect.Record)
			offset, ev.Err = e.streams[berylrecord.StreamControl].Append(ctx, record)
		}
		e.reportResult("append", ev, ev.Err)
		if offset > 0 {
			_ = e.await(ctx, berylrecord.StreamControl, offset)
		}
		e.loop.Tell(appendFinished{job: effect.Record.State.ID})
	}
}

func (e *Entry) reportResult(kind string, ev berylleader.Event, err error) {
	e.metrics.effects.WithLabelValues(kind, result(err)).Inc()
	e.loop.Tell(leaderEvent{event: ev})
}
