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
// reservations and sends starts and stops again after 1 s.
const _effectTimeout = 2 * time.Second

// Leader is the control leader; berylleader.Leader is one.
type Leader interface {
	Handle(now time.Time, ev berylleader.Event) []berylleader.Effect
}

// carryOut runs an effect of the leader in a goroutine; its result comes back
// as an event. stale is an error if the entry's reading of the log is too old to
// be sure that it still leads: then it only stops and releases.
func (e *Entry) carryOut(effect berylleader.Effect, stale error) {
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(e.work, _effectTimeout)
		defer cancel()
		e.carry(ctx, effect, stale)
	})
}

func (e *Entry) carry(ctx context.Context, effect berylleader.Effect, stale error) {
	switch effect := effect.(type) {
	case berylleader.SendReserve:
		ev := berylleader.Reserved{Job: effect.Reserve.Job, Attempt: effect.Reserve.Attempt, Index: effect.Index, Err: stale}
		if stale == nil {
			reply, err := berylrpc.Call[berylmessage.Reserve, berylmessage.ReserveReply](
				ctx, e.client, effect.Addr, berylmessage.MethodReserve, &effect.Reserve)
			ev.Err = err
			if err == nil {
				ev.Incarnation = reply.Incarnation
			}
		}
		e.report("reserve", ev, ev.Err)
	case berylleader.SendStart:
		ev := berylleader.Started{Job: effect.Start.Job.ID, Attempt: effect.Start.Attempt, Index: effect.Start.Index, Err: stale}
		if stale == nil {
			_, ev.Err = berylrpc.Call[berylmessage.Start, berylmessage.StartReply](
				ctx, e.client, effect.Addr, berylmessage.MethodStart, &effect.Start)
		}
		e.report("start", ev, ev.Err)
	case berylleader.SendStop:
		_, err := berylrpc.Call[berylmessage.Stop, berylmessage.StopReply](
			ctx, e.client, effect.Addr, berylmessage.MethodStop, &effect.Stop)
		e.metrics.effects.WithLabelValues("stop", result(err)).Inc()
	case berylleader.Append:
		ev := berylleader.Appended{State: effect.Record.State, Err: stale}
		var offset int64
		if stale == nil {
			record := berylrecord.New(e.view.Load().upto[berylrecord.StreamControl], effect.Record)
			offset, ev.Err = e.streams[berylrecord.StreamControl].Append(ctx, record)
		}
		e.report("append", ev, ev.Err)
		if offset > 0 {
			_ = e.await(ctx, berylrecord.StreamControl, offset)
		}
		e.loop.Tell(settled{job: effect.Record.State.ID})
	}
}

func (e *Entry) report(kind string, ev berylleader.Event, err error) {
	e.metrics.effects.WithLabelValues(kind, result(err)).Inc()
	e.loop.Tell(leaderEvent{event: ev})
}
