package berylgateway

import (
	"context"
	"time"

	"berylglade/berylbook"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
	"berylglade/berylstore"
)

// methodRecord sends a client's record to the leader.
const methodRecord berylmessage.Method = "record"

// errDeposed is the error for records whose append had no outcome before the leader
// was deposed. They may or may not be in the topic.
var errDeposed = berylerror.Unknown.Errorf("leader was deposed")

// replyQueue holds the callers that wait for an append of the leader.
type replyQueue struct {
	// next are the callers whose record is enqueued, the oldest first.
	next []func(error)
	// inFlight are the callers whose record is in the outstanding append.
	inFlight []func(error)
}

// appendSent notes that an append with the n oldest enqueued records has been sent.
func (r *replyQueue) appendSent(n int) {
	r.inFlight, r.next = append(r.inFlight, r.next[:n]...), r.next[n:]
}

// resolveAll passes err to all callers.
func (r *replyQueue) resolveAll(err error) {
	r.appendSent(len(r.next))
	r.resolve(err)
}

// resolve passes the outcome of the append in flight to its callers.
func (r *replyQueue) resolve(err error) {
	for _, reply := range r.inFlight {
		reply(err)
	}
	r.inFlight = nil
}

// acceptRecord adds a record to the next append, if this entry leads. It runs in the
// control actor.
func (g *Gateway) acceptRecord(now time.Time, m recordReceived) {
	if g.director.Leading() && g.director.Book.Conflicts(m.record) {
		m.reply(berylerror.Conflict.Errorf("another client account uses this job id"))
		return
	}
	if err := g.director.EnqueueRecord(now, m.record); err != nil {
		m.reply(err)
		return
	}
	g.pendingReplies.next = append(g.pendingReplies.next, m.reply)
}

// serveRecord registers the method with which other entries send records to the
// leader.
func (g *Gateway) serveRecord(s *berylrpc.Server) {
	berylrpc.Handle(s, methodRecord, func(ctx context.Context, r *berylstore.Record) (*recorded, error) {
		err := g.appendAsLeader(ctx, *r)
		return g.recordedReply(g.cfg.Clock()), err
	})
}

// appendAsLeader passes a record to the director of this entry and waits for its
// append.
func (g *Gateway) appendAsLeader(ctx context.Context, r berylstore.Record) error {
	answer, err := berylcontrol.Ask(ctx, g.loop, func(reply func(error)) message {
		return recordReceived{record: r, reply: reply}
	})
	if err != nil {
		return berylerror.Unknown.Wrap(err, "wait for the leader's append")
	}
	return answer
}

// appendRecord appends a client's record to the topic: through the leader, which
// saves an append and a read, or directly if the leader can't be reached. A record
// that is appended both ways does no harm, as key and value are the same.
func (g *Gateway) appendRecord(ctx context.Context, r berylstore.Record) error {
	records, err := berylbook.Split(r, g.cfg.Store.Limits())
	if err != nil {
		return err
	}
	var leaderErr error
	if g.cfg.Clock().UnixMilli() >= g.leaderRetryAt.Load() {
		leaderErr = g.appendViaLeader(ctx, r)
		kind := berylerror.Of(leaderErr)
		if leaderErr == nil || kind.Final() || kind == berylerror.Exhausted {
			return leaderErr
		}
		if berylerror.Of(leaderErr) != berylerror.NotRun {
			g.leaderRetryAt.Store(g.cfg.Clock().Add(_leaderRetryDelay).UnixMilli())
			g.cfg.Log.Warn("leader has not recorded", "key", r.Key, "err", leaderErr)
		}
	}
	err = g.producer.Append(ctx, records...)
	if berylerror.Of(err) == berylerror.NotRun && leaderErr != nil && berylerror.Of(leaderErr) != berylerror.NotRun {
		return berylerror.Unknown.Wrap(leaderErr, "leader did not answer")
	}
	return err
}

// appendViaLeader passes a record to the leader, which may be this entry, and waits
// for its append.
func (g *Gateway) appendViaLeader(ctx context.Context, r berylstore.Record) error {
	ctx, cancel := context.WithTimeout(ctx, _recordTimeout)
	defer cancel()
	if g.leading.Load() {
		return g.appendAsLeader(ctx, r)
	}
	c := g.View.Claim()
	if c.Addr == "" || c.Resigned {
		return berylerror.NotRun.Errorf("no leader is known")
	}
	reply, err := berylrpc.Call[berylstore.Record, recorded](ctx, g.client, c.Addr, methodRecord, &r)
	if err == nil {
		g.noteRecorded(g.cfg.Clock(), reply)
	}
	return err
}

const (
	// _recordTimeout covers two appends to a slow store, 250 ms each.
	_recordTimeout = 700 * time.Millisecond
	// _leaderRetryDelay is about half the takeover timeout.
	_leaderRetryDelay = time.Second
)
