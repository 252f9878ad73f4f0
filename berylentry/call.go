package berylentry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"berylglade/beryladmission"
	"berylglade/berylanswer"
	"berylglade/berylcall"
	"berylglade/berylerror"
	"berylglade/berylid"
	"berylglade/berylmember"
	"berylglade/berylmessage"
	"berylglade/berylroute"
	"berylglade/berylrpc"
)

// Limits and timeouts of the call path.
const (
	// _maxAttempts bounds the attempts of one call.
	_maxAttempts = 4
	// _rpcGrace is added to the caller's timeout when the entry waits for an
	// agent, so that the agent's own report of a timeout still arrives.
	_rpcGrace = 250 * time.Millisecond
	// _noBackendWait is how long a call waits for any backend server, for
	// example while a new entry waits for the first heartbeats.
	_noBackendWait = 3 * time.Second
	_noBackendPoll = 50 * time.Millisecond
	// _firstBackoff and _maxBackoff bound the delay between two requests for
	// the outcome of a call.
	_firstBackoff = 10 * time.Millisecond
	_maxBackoff   = 500 * time.Millisecond
)

// routedCall is a call in progress at this entry.
type routedCall struct {
	e        *Entry
	call     berylcall.Call
	deadline time.Time
	// tried are the agents of earlier attempts.
	tried    []string
	attempts int
	// tombstoned is the key's most recent call ID for which an agent has
	// confirmed a tombstone.
	tombstoned string
}

// Call implements berylapi.Entry.
func (e *Entry) Call(ctx context.Context, call berylcall.Call) (berylanswer.Answer, error) {
	now := e.clock()
	if needsIntent(call) {
		name := keyName(call.Account, call.Key)
		e.keysInUse.add(name)
		defer e.keysInUse.remove(name)
	}
	answer, err := e.admitAndRun(ctx, now, call)
	e.metrics.observeCall(err, e.clock().Sub(now))
	return answer, err
}

// admitAndRun runs a call after admission control has admitted it.
func (e *Entry) admitAndRun(ctx context.Context, now time.Time, call berylcall.Call) (berylanswer.Answer, error) {
	r := &routedCall{e: e, call: call, deadline: now.Add(call.Budget)}
	ctx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	ticket, err := e.admit(ctx, now, r)
	if err != nil {
		if needsIntent(call) && berylerror.Of(err) == berylerror.NotRun {
			return e.refuseKeyed(ctx, call, "", err)
		}
		return berylanswer.Answer{}, err
	}
	e.budget.Earn(call.Account)
	if !call.Idempotent {
		// A caller that disconnects must not interrupt work that may not run a
		// second time.
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(context.WithoutCancel(ctx), r.deadline.Sub(e.clock()))
		defer stop()
	}
	answer, err := r.execute(ctx)
	e.admission.Leave(e.clock(), ticket, err == nil)
	return answer, err
}

// needsIntent reports whether the call's key must be bound to a call ID by an
// intent in the log.
func needsIntent(call berylcall.Call) bool { return call.Key != "" && !call.Idempotent }

func (r *routedCall) execute(ctx context.Context) (berylanswer.Answer, error) {
	if needsIntent(r.call) {
		return r.executeKeyed(ctx)
	}
	return r.executeUnrecorded(ctx)
}

// admit waits until the call may be dispatched.
func (e *Entry) admit(ctx context.Context, now time.Time, r *routedCall) (*beryladmission.Ticket, error) {
	cfg := e.view.Load().config
	class, ok := cfg.Classes[r.call.Class]
	if !ok {
		return nil, berylerror.Missing.Errorf("class %q is not in the configuration", r.call.Class)
	}
	request := beryladmission.Request{
		Account:  r.call.Account,
		Config:   cfg.Accounts[r.call.Account],
		Class:    r.call.Class,
		Deadline: r.deadline,
	}
	if target, ok := class.Target.Deadline(now); ok && target.Before(r.deadline) {
		request.Deadline = target
	}
	if err := e.awaitBackend(ctx); err != nil {
		return nil, err
	}
	ticket, err := e.admission.Enter(now, request)
	if err != nil {
		return nil, err
	}
	select {
	case <-ticket.Ready:
		return ticket, nil
	case <-ctx.Done():
		e.admission.Leave(e.clock(), ticket, false)
		return nil, berylerror.NotRun.Errorf("call timed out while it waited for a slot")
	}
}

// awaitBackend waits up to _noBackendWait until any backend server has slots.
func (e *Entry) awaitBackend(ctx context.Context) error {
	if e.router.Slots() > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, _noBackendWait)
	defer cancel()
	t := time.NewTicker(_noBackendPoll)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if e.router.Slots() > 0 {
				return nil
			}
		case <-ctx.Done():
			return berylerror.NotRun.Errorf("no backend server accepts work")
		case <-e.stopping:
			return berylerror.NotRun.Errorf("no backend server accepts work and the entry is stopping")
		}
	}
}

// executeUnrecorded runs a call that needs no intent in the log.
func (r *routedCall) executeUnrecorded(ctx context.Context) (berylanswer.Answer, error) {
	for {
		pick, err := r.e.router.Choose(r.e.clock(), r.tried)
		if err != nil {
			return berylanswer.Answer{}, err
		}
		id := berylid.New(pick.Agent, pick.Incarnation, pick.Epoch).String()
		answer, err := r.dispatch(ctx, pick, id, true)
		if err != nil && resolvable(err) && !r.call.Idempotent {
			answer, err = r.resolve(ctx, pick.Addr, id)
			r.e.metrics.resolved.WithLabelValues(result(err)).Inc()
		}
		answer.ID = id
		switch {
		case err == nil:
			return answer, nil
		case berylerror.Of(err) == berylerror.NotRun:
			if !r.allowRetry(ctx, pick.Agent) {
				return berylanswer.Answer{}, err
			}
		case outcomeUnknown(err) && r.call.Idempotent:
			if !r.allowRetry(ctx, pick.Agent) {
				return answer, err
			}
		default:
			return answer, err
		}
	}
}

// outcomeUnknown reports whether the call may have run although its outcome is
// unknown. An internal error of an agent does not tell whether the call ran.
func outcomeUnknown(err error) bool {
	k := berylerror.Of(err)
	return k == berylerror.Unknown || k == berylerror.Internal
}

// resolvable reports whether the agent may know the outcome although its reply
// did not contain it. An agent that replies with kind Unknown will not learn it
// later.
func resolvable(err error) bool {
	return outcomeUnknown(err) && (!berylrpc.Remote(err) || berylerror.Of(err) != berylerror.Unknown)
}

// allowRetry reports whether another attempt is allowed after one at agent, and
// charges it to the account's retry budget.
func (r *routedCall) allowRetry(ctx context.Context, agent string) bool {
	r.tried = append(r.tried, agent)
	r.attempts++
	return r.spendRetry(ctx)
}

// dispatch sends the call to an agent and checks that the answer is complete
// and belongs to this call. first tells the agent that no entry has sent the ID
// before.
func (r *routedCall) dispatch(ctx context.Context, pick berylroute.Pick, id string, first bool) (berylanswer.Answer, error) {
	call := r.call
	call.ID = id
	begin := r.e.clock()
	call.Budget = r.deadline.Sub(begin)
	if call.Budget <= 0 {
		r.e.router.Done(begin, pick, berylroute.Refused, 0)
		return berylanswer.Answer{}, berylerror.NotRun.Errorf("call timed out before it was dispatched")
	}
	ctx, cancel := r.e.withGrace(ctx, r.deadline)
	defer cancel()
	answer, err := invoke(ctx, r.e, pick.Addr, &berylmessage.Run{Call: call, First: first}, id, call.Account)
	end := r.e.clock()
	r.e.router.Done(end, pick, routeOutcome(ctx, answer, err), end.Sub(begin))
	return answer, err
}

func invoke(ctx context.Context, e *Entry, addr string, req *berylmessage.Run, id, account string) (berylanswer.Answer, error) {
	reply, err := berylrpc.Call[berylmessage.Run, berylmessage.RunReply](ctx, e.client, addr, berylmessage.MethodRun, req)
	if err != nil {
		return berylanswer.Answer{}, err
	}
	if err := reply.Answer.Check(id, account); err != nil {
		// An answer to another call does not tell the outcome of this one.
		return berylanswer.Answer{}, berylerror.Unknown.Wrap(err, "check answer")
	}
	return reply.Answer, nil
}

// withGrace returns a context that ends _rpcGrace after the deadline, or when
// ctx is cancelled.
func (e *Entry) withGrace(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline.Sub(e.clock())+_rpcGrace)
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), context.Canceled) {
			cancel()
		}
	})
	return graceCtx, func() {
		stop()
		cancel()
	}
}

func routeOutcome(ctx context.Context, answer berylanswer.Answer, err error) berylroute.Outcome {
	switch {
	case err == nil && answer.Status < 500:
		return berylroute.OK
	case err == nil:
		return berylroute.Failure
	case errors.Is(context.Cause(ctx), context.Canceled):
		return berylroute.Abandoned
	}
	switch berylerror.Of(err) {
	case berylerror.NotRun:
		if berylrpc.Remote(err) {
			return berylroute.Refused
		}
		return berylroute.Failure
	case berylerror.Unknown, berylerror.Internal, berylerror.Failed:
		return berylroute.Failure
	default:
		return berylroute.Refused
	}
}

// resolve determines the outcome of a call whose reply was lost. It returns the
// answer, an error of kind NotRun once the agent has confirmed that the call
// will never run, or an error of kind Unknown if the deadline passes first.
func (r *routedCall) resolve(ctx context.Context, addr, id string) (berylanswer.Answer, error) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = _firstBackoff
	retryBackoff.MaxInterval = _maxBackoff
	for {
		answer, err := r.e.fetchAnswer(ctx, addr, id, r.call.Account, r.deadline.Sub(r.e.clock()))
		if err == nil {
			return answer, nil
		}
		switch k := berylerror.Of(err); {
		case k == berylerror.Missing:
			if r.e.tombstone(ctx, addr, id, r.call.Account) {
				return berylanswer.Answer{}, berylerror.NotRun.Errorf("call %s was not run: its request did not reach the agent", id)
			}
		case k == berylerror.Internal, k == berylerror.Unavailable:
		case berylrpc.Remote(err):
			return berylanswer.Answer{}, err
		}
		if !sleep(ctx, retryBackoff.NextBackOff()) {
			return berylanswer.Answer{}, berylerror.Unknown.Errorf("outcome of call %s is unknown", id)
		}
	}
}

// fetchAnswer requests the answer of a call from an agent.
func (e *Entry) fetchAnswer(ctx context.Context, addr, id, account string, wait time.Duration) (berylanswer.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, max(wait, 0)+_rpcGrace)
	defer cancel()
	req := &berylmessage.Find{Call: id, Account: account, Wait: max(wait, 0)}
	reply, err := berylrpc.Call[berylmessage.Find, berylmessage.FindReply](ctx, e.client, addr, berylmessage.MethodFind, req)
	if err != nil {
		return berylanswer.Answer{}, err
	}
	if err := reply.Answer.Check(id, account); err != nil {
		return berylanswer.Answer{}, err
	}
	return reply.Answer, nil
}

// tombstone reports whether the agent confirms that it will never run the call.
func (e *Entry) tombstone(ctx context.Context, addr, id, account string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req := &berylmessage.Tombstone{Call: id, Account: account}
	reply, err := berylrpc.Call[berylmessage.Tombstone, berylmessage.TombstoneReply](ctx, e.client, addr, berylmessage.MethodTombstone, req)
	return err == nil && reply.Confirmed
}

// Find implements berylapi.Entry.
func (e *Entry) Find(ctx context.Context, account, id string, wait time.Duration) (berylanswer.Answer, error) {
	parsed, err := berylid.Parse(id)
	if err != nil {
		return berylanswer.Answer{}, err
	}
	member, err := e.agentOf(parsed)
	if err != nil {
		return berylanswer.Answer{ID: id}, err
	}
	// A planned stop ends the wait; the caller can ask another entry.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-e.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	answer, err := e.fetchAnswer(ctx, member.Addr, id, account, wait)
	if err != nil && !berylrpc.Remote(err) && berylerror.Of(err) != berylerror.Missing {
		// A request that was not sent does not tell the outcome of the call.
		err = berylerror.Unavailable.Wrap(err, "agent did not reply")
	}
	answer.ID = id
	return answer, err
}

// agentOf returns the agent incarnation that may have run the call. If the
// agent has restarted since, the outcome of the call can never be known.
func (e *Entry) agentOf(id berylid.ID) (berylmember.Member, error) {
	for _, m := range e.view.Load().members {
		switch {
		case m.Agent != id.Agent:
		case m.Incarnation == id.Incarnation:
			return m, nil
		default:
			return berylmember.Member{}, berylerror.Unknown.Errorf("agent %s has restarted since call %s", id.Agent, id.Unique)
		}
	}
	return berylmember.Member{}, berylerror.Unavailable.Errorf("agent %s is currently unknown to this entry", id.Agent)
}
