package berylentry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"berylglade/berylanswer"
	"berylglade/berylcall"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylid"
	"berylglade/berylrecord"
	"berylglade/berylroute"
	"berylglade/berylrpc"
)

// _unknownAgentPoll is the interval at which a call polls for an agent that is
// not known yet.
const _unknownAgentPoll = 100 * time.Millisecond

// executeKeyed runs a non-idempotent call with an idempotency key. An intent in
// the log binds the key to one call ID before anything is dispatched. The key
// may be bound to another ID only after the agent has confirmed a tombstone for
// the first.
func (r *routedCall) executeKeyed(ctx context.Context) (berylanswer.Answer, error) {
	answer, err := r.bindAndExecute(ctx)
	if berylerror.Of(err) == berylerror.NotRun {
		return r.e.refuseKeyed(ctx, r.call, r.tombstoned, err)
	}
	return answer, err
}

// bindAndExecute looks the key up, binds it to a call if it is free, and
// returns the outcome of the call that it is bound to.
func (r *routedCall) bindAndExecute(ctx context.Context) (berylanswer.Answer, error) {
	sum := berylcall.Sum(r.call.Account, r.call.Class, r.call.Body)
	for {
		found, err := r.e.findIntent(ctx, r.call.Account, r.call.Key)
		if err != nil {
			return berylanswer.Answer{}, r.undispatchedKind().Wrap(err, "look up key")
		}
		if found.Uncertain {
			return berylanswer.Answer{ID: found.Call}, berylerror.Unknown.Errorf("cannot determine which call key %q is bound to", r.call.Key)
		}
		if found.ok {
			if found.Sum != sum {
				return berylanswer.Answer{}, berylerror.Conflict.Errorf("key %q was already used with another request", r.call.Key)
			}
			answer, err := r.executeBound(ctx, found.Call)
			answer.ID = found.Call
			if err == nil || berylerror.Of(err) != berylerror.NotRun {
				return answer, err
			}
			// The agent will never run that ID.
			r.tombstoned = found.Call
			if r.attempts > 0 && !r.spendRetry(ctx) {
				return berylanswer.Answer{}, err
			}
		}
		if r.attempts >= _maxAttempts {
			return berylanswer.Answer{}, r.undispatchedKind().Errorf("key %q could not be bound to a call", r.call.Key)
		}
		if answer, err := r.recordIntent(ctx, sum, found.Call); err != nil {
			return answer, err
		}
	}
}

// undispatchedKind returns the error kind for a call that this entry has not
// dispatched. Once an intent has been recorded, a retry at another entry may
// dispatch the call.
func (r *routedCall) undispatchedKind() berylerror.Kind {
	if r.attempts > 0 {
		return berylerror.Unknown
	}
	return berylerror.NotRun
}

// spendRetry reports whether a retry is allowed, and charges it to the
// account's budget.
func (r *routedCall) spendRetry(ctx context.Context) bool {
	if ctx.Err() != nil || r.attempts >= _maxAttempts || !r.e.budget.Spend(r.call.Account) {
		return false
	}
	r.e.metrics.retries.Inc()
	return true
}

// recordIntent appends an intent with a new call ID and waits until it has been
// read back. The caller then looks up whether it became the valid one. If the
// error leaves the outcome unknown, the answer has the ID.
func (r *routedCall) recordIntent(ctx context.Context, sum, prev string) (berylanswer.Answer, error) {
	pick, err := r.e.router.Choose(r.e.clock(), r.tried)
	if err != nil {
		return berylanswer.Answer{}, err
	}
	// The call does not count as load of the agent until it is dispatched.
	r.e.router.Done(r.e.clock(), pick, berylroute.Refused, 0)
	r.tried = append(r.tried, pick.Agent)
	r.attempts++
	id := berylid.New(pick.Agent, pick.Incarnation, pick.Epoch).String()
	made, err := berylcontrol.Ask(ctx, r.e.loop, func(reply func(buildIntentResult)) message {
		return buildIntent{account: r.call.Account, key: r.call.Key, sum: sum, callID: id, prev: prev, reply: reply}
	})
	if err != nil {
		return berylanswer.Answer{}, berylerror.NotRun.Wrap(err, "record call")
	}
	if !made.ok {
		// Another entry has bound the key first; the caller looks up its call.
		return berylanswer.Answer{}, nil
	}
	appendCtx, cancel := context.WithTimeout(ctx, _appendTimeout)
	defer cancel()
	err = r.e.append(appendCtx, berylrecord.StreamCalls, made.record)
	if err == nil {
		return berylanswer.Answer{}, nil
	}
	if berylerror.Of(err) == berylerror.NotRun {
		return berylanswer.Answer{}, err
	}
	// The intent may be in the log, and a retry at another entry may dispatch
	// it. Only a tombstone makes kind NotRun correct.
	if r.e.tombstone(context.WithoutCancel(ctx), pick.Addr, id, r.call.Account) {
		r.tombstoned = id
		return berylanswer.Answer{}, berylerror.NotRun.Wrap(err, "record call")
	}
	return berylanswer.Answer{ID: id}, berylerror.Unknown.Wrap(err, "record call")
}

// executeBound dispatches the call ID that is bound to the key, or gets its
// outcome if another entry has dispatched it: an agent runs an ID at most once.
// It repeats the request until a reply arrives or the deadline passes. An error
// of kind NotRun means that the agent has confirmed a tombstone.
func (r *routedCall) executeBound(ctx context.Context, callID string) (berylanswer.Answer, error) {
	id, err := berylid.Parse(callID)
	if err != nil {
		return berylanswer.Answer{}, berylerror.Unknown.Wrap(err, "parse recorded call ID")
	}
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = _firstBackoff
	retryBackoff.MaxInterval = _maxBackoff
	for {
		member, err := r.e.agentOf(id)
		switch {
		case berylerror.Of(err) == berylerror.Unknown:
			return berylanswer.Answer{}, err
		case err != nil:
			if !sleep(ctx, _unknownAgentPoll) {
				return berylanswer.Answer{}, berylerror.Unknown.Wrap(err, "outcome of call "+callID)
			}
			continue
		}
		pick := berylroute.Pick{Agent: id.Agent, Incarnation: id.Incarnation, Addr: member.Addr, Epoch: id.Epoch}
		r.e.router.Begin(pick)
		answer, err := r.dispatch(ctx, pick, callID, false)
		if err == nil {
			return answer, nil
		}
		if berylrpc.Remote(err) && berylerror.Of(err) != berylerror.Internal {
			return berylanswer.Answer{}, r.confirmNotRun(ctx, member.Addr, callID, err)
		}
		if !sleep(ctx, retryBackoff.NextBackOff()) {
			return berylanswer.Answer{}, r.confirmNotRun(ctx, member.Addr, callID, err)
		}
	}
}

// confirmNotRun returns the error for a call whose last request failed with
// err. Its kind is NotRun only if the agent confirms that the call will never
// run.
func (r *routedCall) confirmNotRun(ctx context.Context, addr, id string, err error) error {
	switch berylerror.Of(err) {
	case berylerror.NotRun, berylerror.Unknown, berylerror.Internal:
	default:
		return err
	}
	if r.e.tombstone(context.WithoutCancel(ctx), addr, id, r.call.Account) {
		return berylerror.NotRun.Wrap(err, "call "+id)
	}
	return berylerror.Unknown.Wrap(err, "outcome of call "+id)
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// FindKey implements berylapi.Entry.
func (e *Entry) FindKey(ctx context.Context, account, key string, wait time.Duration) (berylanswer.Answer, error) {
	found, err := e.findIntent(ctx, account, key)
	if err != nil {
		return berylanswer.Answer{}, err
	}
	if !found.ok {
		if !found.caughtUp {
			return berylanswer.Answer{}, berylerror.Unavailable.Errorf("log has not been read to its end, so key %q may have been used", key)
		}
		return berylanswer.Answer{}, berylerror.Missing.Errorf("client account %s has no call with key %q", account, key)
	}
	return e.Find(ctx, account, found.Call, wait)
}
