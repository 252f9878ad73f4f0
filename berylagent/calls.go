package berylagent

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"berylglade/berylanswer"
	"berylglade/berylcall"
	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylid"
	"berylglade/berylledger"
	"berylglade/berylmessage"
	"berylglade/berylrunner"
)

const (
	// _queuePerSlot is the default limit on calls waiting per slot. Entries see
	// the number of busy slots once a second, so a short queue absorbs what
	// they send in between; a longer one only adds latency.
	_queuePerSlot = 4
	// _callTimeout limits the run time of a call whose class sets no timeout.
	_callTimeout = 30 * time.Second
)

// calls handles calls. Its goroutines run outside the control actor.
type calls struct {
	clock   berylclock.Clock
	gate    *gate
	runner  berylrunner.Runner
	metrics *metrics
	// slots holds one element for each call at the backend server.
	slots chan struct{}
	// queueLimit is the number of calls that may wait for a slot.
	queueLimit int64
	// queued is the number of calls that wait for a slot.
	queued atomic.Int64

	mu     sync.Mutex
	ledger *berylledger.Ledger
	// pending contains the calls that wait or run.
	pending map[berylid.ID]*pendingCall
	// serving counts requests in progress, whose replies have to be sent before
	// the process may exit.
	serving int
}

// pendingCall is a call that waits or runs. The fields answer and err are set
// before done is closed.
type pendingCall struct {
	done   chan struct{}
	answer berylanswer.Answer
	err    error
}

func newCalls(s *Settings, incarnation string, clock berylclock.Clock, g *gate, r berylrunner.Runner, m *metrics) *calls {
	return &calls{
		clock:      clock,
		gate:       g,
		runner:     r,
		metrics:    m,
		slots:      make(chan struct{}, s.Slots),
		queueLimit: int64(cmp.Or(s.Queue, _queuePerSlot*s.Slots)),
		ledger:     berylledger.New(s.Name, incarnation, 0, clock()),
		pending:    map[berylid.ID]*pendingCall{},
	}
}

func (c *calls) epoch() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Epoch(c.clock())
}

// idle reports whether no request is in progress and no call runs.
func (c *calls) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving == 0 && len(c.pending) == 0
}

// trackRequest counts a request as in progress until the returned function is
// called.
func (c *calls) trackRequest() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.serving--
	}
}

// run handles Run requests.
func (c *calls) run(ctx context.Context, req *berylmessage.Run) (*berylmessage.RunReply, error) {
	defer c.trackRequest()()
	began := c.clock()
	answer, err := c.answer(ctx, req)
	c.metrics.call(err, c.clock().Sub(began))
	if err != nil {
		return nil, err
	}
	return &berylmessage.RunReply{Answer: answer}, nil
}

func (c *calls) answer(ctx context.Context, req *berylmessage.Run) (berylanswer.Answer, error) {
	call := &req.Call
	id, err := berylid.Parse(call.ID)
	if err != nil {
		return berylanswer.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	record, p, err := c.admit(id, call.Account)
	if err != nil {
		if req.First && berylerror.Of(err) == berylerror.Unknown {
			err = berylerror.NotRun.Wrap(err, "first dispatch")
		}
		return berylanswer.Answer{}, err
	}
	switch record.Phase {
	case berylledger.Admitted:
		c.start(ctx, id, call, p)
		return waitOutcome(ctx, id, p)
	case berylledger.Waiting, berylledger.Running:
		return waitOutcome(ctx, id, p)
	default:
		return outcome(id, record)
	}
}

// admit asks the ledger for admission and returns the pending call, if there is
// one.
func (c *calls) admit(id berylid.ID, account string) (berylledger.Record, *pendingCall, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, err := c.ledger.Admit(c.clock(), id, account)
	if err != nil {
		return record, nil, err
	}
	if record.Phase == berylledger.Admitted {
		c.pending[id] = &pendingCall{done: make(chan struct{})}
	}
	return record, c.pending[id], nil
}

// start acquires a slot and forwards the call in a goroutine that outlives the
// request, or rejects the call.
func (c *calls) start(ctx context.Context, id berylid.ID, call *berylcall.Call, p *pendingCall) {
	if err := c.gate.admit(c.clock()); err != nil {
		c.refuse(id, p, err)
		return
	}
	if c.runner == nil {
		c.refuse(id, p, berylerror.NotRun.Errorf("agent has no backend server configured"))
		return
	}
	if err := c.acquireSlot(ctx); err != nil {
		c.refuse(id, p, err)
		return
	}
	if !c.begin(id) {
		<-c.slots
		c.refuse(id, p, berylerror.NotRun.Errorf("call %s was tombstoned while waiting for a slot", id))
		return
	}
	go c.forward(context.WithoutCancel(ctx), id, call, p)
}

func (c *calls) acquireSlot(ctx context.Context) error {
	if ctx.Err() != nil {
		return berylerror.NotRun.Wrap(ctx.Err(), "call ended before it requested a slot")
	}
	select {
	case c.slots <- struct{}{}:
		return nil
	default:
	}
	if c.queued.Add(1) > c.queueLimit {
		c.queued.Add(-1)
		return berylerror.NotRun.Errorf("all %d slots of the agent are busy and its queue of %d calls is full", cap(c.slots), c.queueLimit)
	}
	defer c.queued.Add(-1)
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return berylerror.NotRun.Wrap(ctx.Err(), "wait for a slot")
	}
}

func (c *calls) begin(id berylid.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Begin(id)
}

// forward sends the call to the backend server. The caller has acquired a slot,
// which forward releases. The class limits the run time, not the caller's
// budget, so the answer can still be found after the caller has timed out.
func (c *calls) forward(ctx context.Context, id berylid.ID, call *berylcall.Call, p *pendingCall) {
	defer func() { <-c.slots }()
	limit := c.gate.cfg.Load().Classes[call.Class].Timeout.Std()
	if limit == 0 {
		limit = _callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := c.gate.permit(c.clock()); err != nil {
		c.refuse(id, p, err)
		return
	}
	resp, err := c.runner.Work(ctx, berylrunner.Request{ID: call.ID, Class: call.Class, Body: call.Body})
	switch {
	case err == nil:
		c.finish(id, p, berylanswer.New(call.ID, call.Account, resp.Status, resp.Body))
	case berylerror.Of(err) == berylerror.NotRun:
		c.refuse(id, p, err)
	default:
		c.fail(id, p, err)
	}
}

func (c *calls) refuse(id berylid.ID, p *pendingCall, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Refuse(id)
	p.err = err
	c.complete(id, p)
}

func (c *calls) finish(id berylid.ID, p *pendingCall, answer berylanswer.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Finish(id, answer)
	p.answer = answer
	c.complete(id, p)
}

func (c *calls) fail(id berylid.ID, p *pendingCall, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Fail(id, err)
	p.err = err
	c.complete(id, p)
}

func (c *calls) complete(id berylid.ID, p *pendingCall) {
	delete(c.pending, id)
	close(p.done)
}

// waitOutcome returns the outcome of a pending call, or an error of kind
// Unknown if ctx ends first.
func waitOutcome(ctx context.Context, id berylid.ID, p *pendingCall) (berylanswer.Answer, error) {
	select {
	case <-p.done:
		return p.answer, p.err
	default:
	}
	select {
	case <-p.done:
		return p.answer, p.err
	case <-ctx.Done():
		return berylanswer.Answer{}, berylerror.Unknown.Errorf("call %s is still running", id)
	}
}

// outcome returns the answer or the error of a completed call.
func outcome(id berylid.ID, record berylledger.Record) (berylanswer.Answer, error) {
	switch record.Phase {
	case berylledger.Done:
		return record.Answer, record.Err
	case berylledger.Evicted:
		return berylanswer.Answer{}, berylerror.Expired.Errorf("answer of call %s was evicted", id)
	case berylledger.Tombstone:
		return berylanswer.Answer{}, berylerror.NotRun.Errorf("call %s was rejected and will never run", id)
	default:
		return berylanswer.Answer{}, berylerror.Unknown.Errorf("call %s is still running", id)
	}
}

// find handles Find requests.
func (c *calls) find(ctx context.Context, req *berylmessage.Find) (*berylmessage.FindReply, error) {
	defer c.trackRequest()()
	id, err := berylid.Parse(req.Call)
	if err != nil {
		return nil, err
	}
	record, p, err := c.lookUp(id, req.Account)
	if err != nil {
		return nil, err
	}
	if p == nil {
		answer, err := outcome(id, record)
		return &berylmessage.FindReply{Answer: answer}, err
	}
	ctx, cancel := context.WithTimeout(ctx, req.Wait)
	defer cancel()
	answer, err := waitOutcome(ctx, id, p)
	return &berylmessage.FindReply{Answer: answer}, err
}

func (c *calls) lookUp(id berylid.ID, account string) (berylledger.Record, *pendingCall, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, err := c.ledger.Find(c.clock(), id, account)
	if err != nil {
		return record, nil, err
	}
	return record, c.pending[id], nil
}

// tombstone handles Tombstone requests.
func (c *calls) tombstone(_ context.Context, req *berylmessage.Tombstone) (*berylmessage.TombstoneReply, error) {
	id, err := berylid.Parse(req.Call)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	confirmed, err := c.ledger.Tombstone(c.clock(), id, req.Account)
	if err != nil {
		return nil, err
	}
	return &berylmessage.TombstoneReply{Confirmed: confirmed}, nil
}
