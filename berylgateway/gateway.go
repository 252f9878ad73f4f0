// Package berylgateway runs an entry on the users' platform: it answers clients,
// follows the topic of the jobs, and acts as the leader if it is elected.
//
// One control actor owns the [beryldirector.Director]. The followers of the two
// topics, the agents and timers send it messages; it executes the director's
// effects in goroutines that send their results back. Reads of clients don't pass
// through the actor: they are answered from a berylview.View. Records of
// clients' requests are appended by the leader's actor or, if that fails, by this
// entry's own producer.
package berylgateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"berylglade/berylbook"
	"berylglade/berylclock"
	"berylglade/berylcontrol"
	"berylglade/beryldirector"
	"berylglade/berylfollower"
	"berylglade/berylintake"
	"berylglade/berylpolicy"
	"berylglade/berylproducer"
	"berylglade/berylregistry"
	"berylglade/berylreport"
	"berylglade/berylrpc"
	"berylglade/berylstore"
	"berylglade/berylview"
)

// PolicyDecoder builds the desired state from the records of the operators' topic.
type PolicyDecoder interface {
	Replace(records []berylstore.Record) error
	Apply(records []berylstore.Record) error
	Current() *berylpolicy.Policy
}

// Config configures a Gateway.
type Config struct {
	Self   beryldirector.Self
	Limits beryldirector.Limits
	Store  berylstore.Store
	Clock  berylclock.Clock
	Log    *slog.Logger
	Policy PolicyDecoder
	// Topics of the store.
	TopicJobs, TopicOperator string
	// Seeds are the addresses of some entries, used until Entries has been read.
	Seeds []string
	// Entries and Agents are the registries of the processes' addresses.
	Entries, Agents *berylregistry.Registry
	// CountDecision increments the counter of the decision with the given log
	// message.
	CountDecision func(decision string)
	// ObserveRunTime, if set, is called for each finished run of the leader with the ratio
	// of its run time to the expected one.
	ObserveRunTime func(queue string, ratio float64)
	// ObserveDiscarded, if set, is called for each job that has ended under this leader with
	// the core-seconds of work that it lost by preemptions.
	ObserveDiscarded func(queue string, coreSeconds float64)
	// ProducerName identifies this process to the store. It must be unique.
	ProducerName string
}

// Gateway is an entry process without its listeners.
type Gateway struct {
	View   *berylview.View
	Intake *berylintake.Intake

	cfg      Config
	director *beryldirector.Director
	loop     *berylcontrol.Loop[message]
	client   *berylrpc.Client
	jobs     *berylfollower.Follower
	operator *berylfollower.Follower
	producer *berylproducer.Producer
	leading  atomic.Bool
	// peers holds the addresses of the entries; nextPeer selects them round-robin.
	peers    atomic.Pointer[[]string]
	nextPeer atomic.Uint32
	// held is the capacity that waits for units, and heldAt when it was last stored.
	held   atomic.Pointer[[]beryldirector.Held]
	heldAt time.Time
	// outlook is the newest summary of the load that this entry has made or received.
	outlook atomic.Pointer[datedOutlook]
	// leaderRetryAt is the time, in Unix milliseconds, before which no record is
	// sent to the leader, because it did not answer.
	leaderRetryAt atomic.Int64
	// pendingReplies holds the callers that wait for the leader's appends. It is
	// owned by the actor.
	pendingReplies replyQueue
	// Each outage is owned by the goroutine of its topic's follower.
	jobsOutage, policyOutage outage
	// stepScheduled is true while a stepDue message is scheduled. It is owned by the
	// actor.
	stepScheduled bool
	// shuttingDown is true once the process is stopping. It is owned by the actor.
	shuttingDown bool
	// seq is the sequence number of the last append in the current epoch. It is
	// owned by the actor.
	seq  int64
	stop context.CancelFunc
	ctx  context.Context
}

// New returns a gateway. Start and Run start it.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:      cfg,
		View:     &berylview.View{},
		director: beryldirector.New(cfg.Self, cfg.Limits),
		client:   berylrpc.NewClosingClient(),
		producer: berylproducer.New(cfg.Store, cfg.Clock, cfg.TopicJobs, cfg.ProducerName),
	}
	g.peers.Store(&cfg.Seeds)
	g.Intake = &berylintake.Intake{
		View: g.View, Producer: g.producer, Clock: cfg.Clock, Log: cfg.Log,
		Refresh: func() { g.jobs.Refresh() }, Append: g.appendRecord, Forward: g.forward,
		Outlook: g.currentOutlook, Entries: func() int { return len(*g.peers.Load()) }, CountDecision: cfg.CountDecision,
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.jobs = &berylfollower.Follower{
		Store: cfg.Store, Clock: cfg.Clock, Topic: cfg.TopicJobs, Wait: _jobsReadWait, Interval: g.jobsReadInterval, Handle: g.onJobsEvent,
	}
	g.operator = &berylfollower.Follower{
		Store: cfg.Store, Clock: cfg.Clock, Topic: cfg.TopicOperator, Wait: _policyReadWait, Handle: g.onPolicyEvent,
	}
	return g
}

// Register registers the methods that agents and peers call.
func (g *Gateway) Register(s *berylrpc.Server) {
	g.serveForward(s)
	g.serveRecord(s)
	g.servePeerChecks(s)
	g.servePolicy(s)
	g.serveReports(s)
}

// Start starts the control actor. It must be called before Run and before the first
// call to a registered method.
func (g *Gateway) Start() { g.loop = berylcontrol.New(g.cfg.Clock, g.handle) }

// Run runs the gateway until Close. When ctx ends it resigns as leader and continues
// to serve requests.
func (g *Gateway) Run(ctx context.Context) {
	defer g.loop.Stop()
	var eg errgroup.Group
	eg.Go(func() error { g.jobs.Run(g.ctx); return nil })
	eg.Go(func() error { g.operator.Run(g.ctx); return nil })
	eg.Go(func() error { g.producer.Run(g.ctx); return nil })
	eg.Go(func() error {
		g.cfg.Entries.Register(g.ctx, g.cfg.ProducerName, g.cfg.Self.Node, g.cfg.Self.Addr)
		return nil
	})
	eg.Go(func() error { g.refreshPeers(g.ctx); return nil })
	eg.Go(func() error { g.refreshPolicyFromPeers(g.ctx); return nil })
	eg.Go(func() error {
		g.loop.Every(g.ctx, _tickInterval, func() message { return tick{} })
		return nil
	})
	select {
	case <-ctx.Done():
		g.resign()
		<-g.ctx.Done()
	case <-g.ctx.Done():
	}
	_ = eg.Wait()
}

// jobsReadInterval returns the interval at which each of the known entries may read the
// jobs' topic.
func (g *Gateway) jobsReadInterval() time.Duration {
	return time.Duration(len(*g.peers.Load())) * time.Second / _jobsReadsPerSecond
}

// Close ends Run. Afterwards, requests that need the store fail.
func (g *Gateway) Close() { g.stop() }

// handle runs in the control actor.
func (g *Gateway) handle(now time.Time, msg message) {
	defer g.restartDirector(msg)
	d := g.director
	switch m := msg.(type) {
	case jobsEvent:
		g.applyJobsEvent(now, m.event)
	case policyChanged:
		d.Policy = m.policy
	case reportReceived:
		m.reply(d.Report(now, m.report))
	case recordReceived:
		g.acceptRecord(now, m)
	case appendFinished:
		g.finishAppend(now, m)
	case resignRequested:
		g.shuttingDown = true
		p, _ := d.Resign()
		m.reply(resignation{persist: p, seq: g.seq + 1})
	case storeUnreachable:
		if d.Yield(now, m.epoch) {
			go g.handOver(m)
		}
	case leadReleased:
		d.YieldReceived(m.epoch)
	case claimConflict:
		d.ClaimConflict(m.claim)
	case leaderUnreachable:
		d.LeaderUnreachable(m.epoch)
	case leadAsked:
		m.reply(d.Epoch())
	case stepDue:
		g.stepScheduled = false
	case runTimesAsked:
		m.reply(d.RunTimes(now, m.queue))
	case tick:
	}
	d.Step(now)
	g.runEffects(now)
	if d.Deferred() && !g.stepScheduled {
		g.stepScheduled = true
		time.AfterFunc(_stepDelay, func() { g.loop.Tell(stepDue{}) })
	}
}

func (g *Gateway) applyJobsEvent(now time.Time, e berylfollower.Event) {
	switch e := e.(type) {
	case berylfollower.Loaded:
		if g.director.Leading() {
			g.director.ApplyRecords(now, e.Records, e.End)
			return
		}
		var book berylbook.Book
		for _, r := range e.Records {
			book.Apply(r)
		}
		g.director.Restore(now, book, e.End)
	case berylfollower.Read:
		if e.Behind {
			g.director.ApplyBacklog(now, e.Records, e.End)
			return
		}
		g.director.ApplyRecords(now, e.Records, e.End)
	}
}

func (g *Gateway) finishAppend(now time.Time, m appendFinished) {
	if m.epoch != g.director.Epoch() {
		return
	}
	g.pendingReplies.resolve(m.err)
	if m.err == nil {
		g.director.Committed(now)
		return
	}
	g.cfg.Log.Warn("append refused; no longer leading", "epoch", m.epoch, "err", m.err)
	if berylstore.OutcomeOf(m.err) == berylstore.Refused {
		g.director.Refused()
		return
	}
	g.director.Deposed()
}

// runEffects starts the effects that the director has requested, and sends its
// orders.
func (g *Gateway) runEffects(now time.Time) {
	for _, e := range g.director.Effects() {
		switch e := e.(type) {
		case beryldirector.Persist:
			g.seq++
			g.pendingReplies.appendSent(e.Enqueued)
			go g.persist(e, g.seq)
		case beryldirector.Claim:
			g.seq = 0
			go g.claim(e)
		case beryldirector.Reload:
			g.pendingReplies.resolveAll(errDeposed)
			g.jobs.Reload()
		case beryldirector.Probe:
			go g.probe(e)
		case beryldirector.CheckLeader:
			go g.checkLeader(e)
		case beryldirector.Announce:
			go g.announce(e)
		case beryldirector.RunTimeSeen:
			g.observeRunTime(e)
		case beryldirector.JobEnded:
			if g.cfg.ObserveDiscarded != nil {
				g.cfg.ObserveDiscarded(e.Queue, e.Discarded)
			}
		case beryldirector.Note:
			g.cfg.CountDecision(e.Text)
			g.cfg.Log.Info(e.Text, e.Args...)
		}
	}
	g.leading.Store(g.director.Leading())
	g.storeHeld(now)
	if o, madeAt := g.director.Outlook(now); o != nil {
		g.outlook.Store(&datedOutlook{outlook: o, madeAt: madeAt})
	}
	for node, o := range g.director.Orders(now) {
		addr, via := g.director.Addr(node)
		go g.sendOrders(addr, via, node, o)
	}
}

func (g *Gateway) append(e beryldirector.Persist, seq, at int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	_, err := g.cfg.Store.Append(ctx, berylstore.Append{
		Topic: g.cfg.TopicJobs, Records: e.Records, Producer: _leaderProducer, Epoch: e.Epoch, Seq: seq, ExpectedEnd: at,
	})
	return err
}

// claim appends a claim to leadership. The outcome is read back from the topic: the
// store answers two entries that claim the same epoch alike, as it takes the second
// claim for a repetition of the first.
func (g *Gateway) claim(c beryldirector.Claim) {
	r, err := c.Claim.Record()
	if err == nil {
		err = g.append(beryldirector.Persist{Epoch: c.Claim.Epoch, Records: []berylstore.Record{r}}, 0, c.At, _appendTimeout)
	}
	g.cfg.Log.Info("claim sent", "epoch", c.Claim.Epoch, "at", c.At, "err", err)
	if errors.Is(err, berylstore.ErrEndMismatch) {
		g.loop.Tell(claimConflict{claim: c})
	}
	g.jobs.Refresh()
}

func (g *Gateway) sendOrders(addr, via, node string, o berylreport.Orders) {
	ctx, cancel := context.WithTimeout(g.ctx, _orderTimeout)
	defer cancel()
	receipt, err := g.deliverOrders(ctx, addr, via, o)
	if err != nil {
		g.cfg.Log.Warn("orders not delivered", "node", node, "via", via, "epoch", o.Epoch, "start", len(o.Start), "stop", len(o.Stop), "err", err)
		return
	}
	if receipt.Epoch > o.Epoch {
		g.cfg.Log.Warn("agent follows a newer leader", "node", node, "epoch", o.Epoch, "newer", receipt.Epoch)
	}
}

// resign gives up leadership, if this entry has it, and records that in the topic.
func (g *Gateway) resign() {
	ctx, cancel := context.WithTimeout(g.ctx, _resignTimeout)
	defer cancel()
	r, err := berylcontrol.Ask(ctx, g.loop, func(reply func(resignation)) message {
		return resignRequested{reply: reply}
	})
	if err != nil || r.persist.Epoch == 0 {
		return
	}
	// Retried, as the store refuses this sequence number while the preceding append
	// is still in flight.
	for range _resignTries {
		err := g.append(r.persist, r.seq, -1, _resignTimeout)
		if err == nil {
			return
		}
		g.cfg.Log.Warn("resignation not recorded", "err", err)
		berylclock.Pause(g.ctx, _retryDelay)
	}
}

// Leading reports whether this entry is the leader, as far as it knows.
func (g *Gateway) Leading() bool { return g.leading.Load() }

const (
	_leaderProducer = "leader"
	// _jobsReadWait and _policyReadWait are how long a read waits for a new record.
	// They are short because each read confirms the state, and API keys are refused
	// when the desired state is older than a few seconds.
	_jobsReadWait   = 800 * time.Millisecond
	_policyReadWait = 800 * time.Millisecond
	// _jobsReadsPerSecond limits the reads of all entries together while the leader
	// appends with every event. The store serves some thousand calls a second, and a
	// state that a client waits for is read at once.
	_jobsReadsPerSecond = 500
	_tickInterval       = 100 * time.Millisecond
	// _stepDelay is slightly above the director's minimum interval between two
	// scheduling passes.
	_stepDelay = 22 * time.Millisecond
	// _appendTimeout bounds the first attempt; a slow store answers within 250 ms.
	_appendTimeout = 900 * time.Millisecond
	// _retryTimeout bounds further attempts. It is shorter, so that a retry that
	// hangs during an outage does not outlast it by much.
	_retryTimeout  = 500 * time.Millisecond
	_orderTimeout  = 700 * time.Millisecond
	_resignTimeout = 500 * time.Millisecond
	_resignTries   = 3
	_retryDelay    = 80 * time.Millisecond
)
