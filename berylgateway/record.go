package berylgateway

import (
	"context"
	"time"

	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
	"berylglade/berylstore"
)

// methodRecord carries a client's record to the leader.
const methodRecord berylmessage.Method = "record"

// errDeposed leaves open whether the record is in the topic.
var errDeposed = berylerror.Unknown.Errorf("leader was deposed")

// replies are the requests that wait for an append: those whose record the next
// append takes along, and those of the outstanding one.
type replies struct{ next, now []func(error) }

// sent tells that an append with all records so far is on its way.
func (r *replies) sent() { r.now, r.next = append(r.now, r.next...), nil }

// settle answers the requests of the outstanding append.
func (r *replies) settle(err error) {
	for _, reply := range r.now {
		reply(err)
	}
	r.now = nil
}

// enter runs in the control actor.
func (g *Gateway) enter(now time.Time, m entered) {
	if !g.director.EnqueueRecord(now, m.record) {
		m.reply(berylerror.NotRun.Errorf("this entry does not lead"))
		return
	}
	g.replies.next = append(g.replies.next, m.reply)
}

// serveRecord takes records from other entries while this one leads.
func (g *Gateway) serveRecord(s *berylrpc.Server) {
	berylrpc.Handle(s, methodRecord, func(ctx context.Context, r *berylstore.Record) (*done, error) {
		return &done{}, g.lead(ctx, *r)
	})
}

// lead hands a record to the director of this entry and waits for its append.
func (g *Gateway) lead(ctx context.Context, r berylstore.Record) error {
	answer, err := berylcontrol.Ask(ctx, g.loop, func(reply func(error)) message {
		return entered{record: r, reply: reply}
	})
	if err != nil {
		return berylerror.Unknown.Wrap(err, "wait for the leader's append")
	}
	return answer
}

// record takes a client's record to the topic: by the leader, which saves an
// append and a read, or by an own append if the leader can't be asked. A record
// that goes both ways does no harm, as its key and value are the same.
func (g *Gateway) record(ctx context.Context, r berylstore.Record) error {
	var asked error
	if g.cfg.Clock().UnixMilli() >= g.avoided.Load() {
		asked = g.askLeader(ctx, r)
		if asked == nil {
			return nil
		}
		if berylerror.Of(asked) != berylerror.NotRun {
			g.avoided.Store(g.cfg.Clock().Add(_avoid).UnixMilli())
			g.cfg.Log.Warn("leader has not recorded", "key", r.Key, "err", asked)
		}
	}
	err := g.producer.Append(ctx, r)
	if berylerror.Of(err) == berylerror.NotRun && asked != nil && berylerror.Of(asked) != berylerror.NotRun {
		return berylerror.Unknown.Wrap(asked, "leader did not answer")
	}
	return err
}

func (g *Gateway) askLeader(ctx context.Context, r berylstore.Record) error {
	ctx, cancel := context.WithTimeout(ctx, _recordTimeout)
	defer cancel()
	if g.leading.Load() {
		return g.lead(ctx, r)
	}
	c := g.View.Claim()
	if c.Addr == "" || c.Resigned {
		return berylerror.NotRun.Errorf("no leader is known")
	}
	_, err := berylrpc.Call[berylstore.Record, done](ctx, g.client, c.Addr, methodRecord, &r)
	return err
}

const (
	// _recordTimeout covers two appends to a slow store, a quarter of a second
	// each.
	_recordTimeout = 700 * time.Millisecond
	// _avoid is about half the time until another entry leads.
	_avoid = time.Second
)
