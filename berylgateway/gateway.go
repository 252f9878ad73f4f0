// Package berylgateway runs an entry on the users' platform: it answers clients,
// follows the topic of the jobs, and leads if it comes to it.
//
// One control actor owns the [beryldirector.Director]. The followers of the two
// topics, agents and timers send it messages; it carries the director's effects
// out in goroutines that send their outcomes back. Requests of clients never pass
// through the actor: they are answered from a berylview.View and the store.
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

// PolicyReader decodes the records of the operators' topic.
type PolicyReader interface {
	Replace(records []berylstore.Record) error
	Fold(records []berylstore.Record) error
	Current() *berylpolicy.Policy
}

// Config is set before New.
type Config struct {
	Self   beryldirector.Self
	Limits beryldirector.Limits
	Store  berylstore.Store
	Clock  berylclock.Clock
	Log    *slog.Logger
	Policy PolicyReader
	// Topics of the store.
	TopicJobs, TopicOperator string
	// Seeds are the addresses of some entries.
	Seeds []string
	// Entries and Agents have the addresses of our processes.
	Entries, Agents *berylregistry.Registry
	// Count counts a decision by its name in the log.
	Count func(decision string)
	// ProducerName is unique to this process.
	ProducerName string
}

// Gateway is the entry process without its listeners.
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
	// peers has the addresses of the entries, turn spreads requests over them.
	peers atomic.Pointer[[]string]
	turn  atomic.Uint32
	// avoided is until when no record is passed on to a leader that did not
	// answer, in Unix milliseconds.
	avoided atomic.Int64
	// replies are the requests that wait for the leader's appends. The actor owns
	// it.
	replies replies
	// Each outage is owned by the follower of its topic.
	jobsOutage, policyOutage outage
	// waking is true while a message is due that lets the director look again.
	waking bool
	// seq numbers the appends of the current epoch. The actor owns it.
	seq  int64
	stop context.CancelFunc
	ctx  context.Context
}

// New returns a gateway that is not running.
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
		Append: g.record, Forward: g.forward,
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.jobs = &berylfollower.Follower{
		Store: cfg.Store, Clock: cfg.Clock, Topic: cfg.TopicJobs, Wait: _jobsWait, Handle: g.jobsEvent,
	}
	g.operator = &berylfollower.Follower{
		Store: cfg.Store, Clock: cfg.Clock, Topic: cfg.TopicOperator, Wait: _policyWait, Handle: g.policyEvent,
	}
	return g
}

// Register makes the gateway reachable for agents and peers.
func (g *Gateway) Register(s *berylrpc.Server) {
	g.serveForward(s)
	g.serveRecord(s)
	g.serveProbe(s)
	berylrpc.Handle(s, berylreport.MethodReport, func(ctx context.Context, r *berylreport.Report) (*berylreport.Answer, error) {
		a, err := berylcontrol.Ask(ctx, g.loop, func(reply func(berylreport.Answer)) message {
			return reported{report: *r, reply: reply}
		})
		return &a, err
	})
}

// Start starts the control actor. It comes before Run and Register's first call.
func (g *Gateway) Start() { g.loop = berylcontrol.New(g.cfg.Clock, g.handle) }

// Run works until Close. When ctx ends it gives the lead up and goes on serving
// what the listeners still take.
func (g *Gateway) Run(ctx context.Context) {
	defer g.loop.Stop()
	var eg errgroup.Group
	eg.Go(func() error { g.jobs.Run(g.ctx); return nil })
	eg.Go(func() error { g.operator.Run(g.ctx); return nil })
	eg.Go(func() error { g.producer.Run(g.ctx); return nil })
	eg.Go(func() error {
		g.cfg.Entries.Enter(g.ctx, g.cfg.ProducerName, g.cfg.Self.Node, g.cfg.Self.Addr)
		return nil
	})
	eg.Go(func() error { g.findPeers(g.ctx); return nil })
	eg.Go(func() error {
		g.loop.Every(g.ctx, _tick, func() message { return ticked{} })
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

// Close ends Run; requests that need the store fail from then on.
func (g *Gateway) Close() { g.stop() }

// handle runs in the control actor.
func (g *Gateway) handle(now time.Time, msg message) {
	d := g.director
	switch m := msg.(type) {
	case jobsEvent:
		g.takeJobs(now, m.event)
	case policySet:
		d.Policy = m.policy
	case reported:
		m.reply(d.Report(now, m.report))
	case entered:
		g.enter(now, m)
	case persisted:
		g.takePersisted(now, m)
	case resigned:
		p, _ := d.Resign()
		m.reply(resignation{persist: p, seq: g.seq + 1})
	case alone:
		if d.Yield(now, m.epoch) {
			go g.handOver(m)
		}
	case yielded:
		d.Yielded(m.epoch)
	case moved:
		d.ClaimMoved(now)
	case woken:
		g.waking = false
	case ticked:
	}
	d.Step(now)
	g.carryOut(now)
	if d.Later() && !g.waking {
		g.waking = true
		time.AfterFunc(_wake, func() { g.loop.Tell(woken{}) })
	}
}

func (g *Gateway) takeJobs(now time.Time, e berylfollower.Event) {
	switch e := e.(type) {
	case berylfollower.Loaded:
		if g.director.Leading() {
			g.director.Read(now, e.Records, e.End)
			return
		}
		var book berylbook.Book
		for _, r := range e.Records {
			book.Apply(r)
		}
		g.director.Restore(now, book, e.End)
	case berylfollower.Read:
		g.director.Read(now, e.Records, e.End)
	}
}

func (g *Gateway) takePersisted(now time.Time, m persisted) {
	if m.epoch != g.director.Epoch() {
		return
	}
	g.replies.settle(m.err)
	if m.err == nil {
		g.director.Committed(now)
		return
	}
	g.cfg.Log.Warn("append refused; no longer leading", "epoch", m.epoch, "err", m.err)
	g.director.Deposed()
}

// carryOut starts the effects that the director asks for.
func (g *Gateway) carryOut(now time.Time) {
	for _, e := range g.director.Effects() {
		switch e := e.(type) {
		case beryldirector.Persist:
			g.seq++
			g.replies.sent()
			go g.persist(e, g.seq)
		case beryldirector.Claim:
			g.seq = 0
			go g.claim(e)
		case beryldirector.Reload:
			g.replies.sent()
			g.replies.settle(errDeposed)
			g.jobs.Reload()
		case beryldirector.Probe:
			go g.probe(e)
		case beryldirector.Announce:
			go g.announce(e)
		case beryldirector.Note:
			g.cfg.Count(e.Text)
			g.cfg.Log.Info(e.Text, e.Args...)
		}
	}
	g.leading.Store(g.director.Leading())
	for node, o := range g.director.Orders(now) {
		go g.send(g.director.Addr(node), node, o)
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

// claim tries to become the leader. Whether it did shows in the topic.
func (g *Gateway) claim(c beryldirector.Claim) {
	r, err := c.Claim.Record()
	if err == nil {
		err = g.append(beryldirector.Persist{Epoch: c.Claim.Epoch, Records: []berylstore.Record{r}}, 0, c.At, _appendTimeout)
	}
	g.cfg.Log.Info("claim sent", "epoch", c.Claim.Epoch, "at", c.At, "err", err)
	if errors.Is(err, berylstore.ErrEndMismatch) {
		g.loop.Tell(moved{})
	}
}

func (g *Gateway) send(addr, node string, o berylreport.Orders) {
	ctx, cancel := context.WithTimeout(g.ctx, _orderTimeout)
	defer cancel()
	receipt, err := berylrpc.Call[berylreport.Orders, berylreport.Receipt](ctx, g.client, addr, berylreport.MethodOrders, &o)
	if err != nil {
		g.cfg.Log.Warn("orders not delivered", "node", node, "epoch", o.Epoch, "start", len(o.Start), "stop", len(o.Stop), "err", err)
		return
	}
	if receipt.Epoch > o.Epoch {
		g.cfg.Log.Warn("agent follows a newer leader", "node", node, "epoch", o.Epoch, "newer", receipt.Epoch)
	}
}

// resign waits for the actor to give the lead up and records it.
func (g *Gateway) resign() {
	ctx, cancel := context.WithTimeout(g.ctx, _resignTimeout)
	defer cancel()
	r, err := berylcontrol.Ask(ctx, g.loop, func(reply func(resignation)) message {
		return resigned{reply: reply}
	})
	if err != nil || r.persist.Epoch == 0 {
		return
	}
	// An append of changed jobs may be under way; its number comes first.
	for range _resignTries {
		err := g.append(r.persist, r.seq, -1, _resignTimeout)
		if err == nil {
			return
		}
		g.cfg.Log.Warn("resignation not recorded", "err", err)
		berylclock.Pause(g.ctx, _pause)
	}
}

// Leading reports whether this entry leads.
func (g *Gateway) Leading() bool { return g.leading.Load() }

const (
	_leaderProducer = "leader"
	// _jobsWait and _policyWait are how long a read waits for a record. Keys are
	// refused when the desired state is older than a few seconds.
	_jobsWait   = 800 * time.Millisecond
	_policyWait = 800 * time.Millisecond
	_tick       = 100 * time.Millisecond
	// _wake is a little more than the least time between two looks.
	_wake = 22 * time.Millisecond
	// _appendTimeout bounds one try; a slow store answers within a quarter of
	// a second.
	_appendTimeout = 900 * time.Millisecond
	// _repeatTimeout is shorter, so that a repeat that hangs in an outage does
	// not outlast it by much.
	_repeatTimeout = 500 * time.Millisecond
	_orderTimeout  = 700 * time.Millisecond
	_resignTimeout = 500 * time.Millisecond
	_resignTries   = 3
	_pause         = 80 * time.Millisecond
)
