package berylagent

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylgang"
	"berylglade/berylhost"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylworker"
)

// _closedTime is how long a closed part stays in the heartbeats if no entry says
// that it may be forgotten.
const _closedTime = time.Minute

// _isolationTimeout is the time without an answer of an entry after which gangs
// that must not run twice are stopped. It is longer than the minutes for which
// regions lose each other. The leader waits for it and for the gangs' own bounds
// before it places such a job again.
const _isolationTimeout = 10 * time.Minute

// gangPart is one part of a gang with what the agent needs to carry out its
// effects.
type gangPart struct {
	*berylgang.Part
	job beryljob.Job
	// cancel ends a Launch that is under way.
	cancel context.CancelFunc
	// uncertain is set if a task may have been started without an answer. A
	// worker that does not know the task then proves nothing.
	uncertain bool
	halting   bool
	// launched is when the last task was known to have been started.
	launched time.Time
	// done are the tasks that were seen to end with success; the worker lists
	// them for a limited time only.
	done map[int]bool
	// closed is when the part was closed.
	closed time.Time
}

func (p *gangPart) key() berylhost.Key {
	return berylhost.Key{Job: p.Job, Attempt: p.Attempt}
}

// request is a request of another process that the control actor serves.
type request[Req, Resp any] struct {
	req   *Req
	reply func(outcomeOf[Resp])
	serve func(c *control, now time.Time, req *Req) (*Resp, error)
}

// outcomeOf is the result of a request.
type outcomeOf[Resp any] struct {
	resp *Resp
	err  error
}

func (m request[Req, Resp]) apply(now time.Time, c *control) {
	resp, err := m.serve(c, now, m.req)
	m.reply(outcomeOf[Resp]{resp: resp, err: err})
}

// serveBy returns a handler that passes requests to the control actor.
func serveBy[Req, Resp any](a *Agent, serve func(c *control, now time.Time, req *Req) (*Resp, error)) func(context.Context, *Req) (*Resp, error) {
	return func(ctx context.Context, req *Req) (*Resp, error) {
		out, err := berylcontrol.Ask(ctx, a.loop, func(reply func(outcomeOf[Resp])) message {
			return request[Req, Resp]{req: req, reply: reply, serve: serve}
		})
		if err != nil {
			return nil, err
		}
		return out.resp, out.err
	}
}

// reserve serves Reserve.
func (c *control) reserve(now time.Time, req *berylmessage.Reserve) (*berylmessage.ReserveReply, error) {
	if err := c.mayTake(now, req.Term); err != nil {
		return nil, err
	}
	if err := c.host.Reserve(now, *req); err != nil {
		return nil, err
	}
	key := berylhost.Key{Job: req.Job, Attempt: req.Attempt}
	if old := c.parts[key]; old != nil {
		old.Extend(now, req.Hold)
	} else {
		c.parts[key] = &gangPart{Part: berylgang.New(now, c.agent.settings.Name, *req), done: map[int]bool{}}
	}
	for k, p := range c.parts {
		if k.Job == key.Job && k.Attempt < key.Attempt && p.Phase == berylgang.Reserved {
			delete(c.parts, k)
		}
	}
	return &berylmessage.ReserveReply{Incarnation: c.agent.Incarnation}, nil
}

// mayTake returns an error unless new work of a leader may be accepted.
func (c *control) mayTake(now time.Time, term int64) error {
	if err := c.host.Observe(term); err != nil {
		return err
	}
	if err := c.ready(now); err != nil {
		return err
	}
	return c.agent.gate.admit(now)
}

// ready returns an error unless the worker answers and its tasks are known.
func (c *control) ready(now time.Time) error {
	if c.rebuilt && now.Sub(c.answered) <= _workerSilence {
		return nil
	}
	return berylerror.NotRun.Errorf("worker does not answer")
}

// start serves Start.
func (c *control) start(now time.Time, req *berylmessage.Start) (*berylmessage.StartReply, error) {
	if err := c.mayTake(now, req.Term); err != nil {
		return nil, err
	}
	if err := c.checkStart(req); err != nil {
		return nil, err
	}
	key := berylhost.Key{Job: req.Job.ID, Attempt: req.Attempt}
	p := c.parts[key]
	switch {
	case p == nil:
		return nil, berylerror.NotRun.Errorf("attempt %d of job %s has no reservation", key.Attempt, key.Job)
	case p.Phase != berylgang.Reserved && p.Index != req.Index:
		return nil, berylerror.Invalid.Errorf("agent has index %d of the gang and not %d", p.Index, req.Index)
	case p.Phase == berylgang.Ended && !p.OK:
		return nil, berylerror.NotRun.Errorf("attempt %d of job %s has ended: %s", key.Attempt, key.Job, p.Reason)
	case p.Phase != berylgang.Reserved:
		return &berylmessage.StartReply{}, nil
	case p.Tasks != req.Members[req.Index].Tasks:
		return nil, berylerror.Invalid.Errorf("%d tasks to start and %d reserved", req.Members[req.Index].Tasks, p.Tasks)
	}
	if _, err := c.host.Commit(now, req.Term, key); err != nil {
		return nil, err
	}
	p.job = req.Job
	c.feed(now, p, berylgang.Arm{Members: req.Members, Index: req.Index, Lead: req.ArmTimeout})
	return &berylmessage.StartReply{}, nil
}

// checkStart returns an error unless the command is for this process.
func (c *control) checkStart(req *berylmessage.Start) error {
	if req.Index < 0 || req.Index >= len(req.Members) {
		return berylerror.Invalid.Errorf("index %d of %d members", req.Index, len(req.Members))
	}
	m := req.Members[req.Index]
	if m.Agent != c.agent.settings.Name || m.Incarnation != c.agent.Incarnation {
		return berylerror.NotRun.Errorf("start is for incarnation %s of agent %s", m.Incarnation, m.Agent)
	}
	return nil
}

// stop serves Stop.
func (c *control) stop(now time.Time, req *berylmessage.Stop) (*berylmessage.StopReply, error) {
	if err := c.host.Observe(req.Term); err != nil {
		return nil, err
	}
	if !c.rebuilt {
		return nil, berylerror.Unavailable.Errorf("tasks of the worker are not known yet")
	}
	if p := c.parts[berylhost.Key{Job: req.Job, Attempt: req.Attempt}]; p != nil {
		c.feed(now, p, berylgang.Stop{Checkpoint: req.Checkpoint, Reason: req.Reason})
	}
	return &berylmessage.StopReply{}, nil
}

// gang serves Gang.
func (c *control) gang(now time.Time, req *berylmessage.Gang) (*berylmessage.GangReply, error) {
	if !c.rebuilt {
		return nil, berylerror.Unavailable.Errorf("tasks of the worker are not known yet")
	}
	p := c.parts[berylhost.Key{Job: req.Job, Attempt: req.Attempt}]
	if p == nil {
		reply := berylgang.Unknown(*req)
		return &reply, nil
	}
	reply := c.feed(now, p, berylgang.Heard{Gang: *req})
	return &reply, nil
}

// feed passes an event to a part and carries out the effects. It returns the
// reply to a heartbeat, if there is one.
func (c *control) feed(now time.Time, p *gangPart, e berylgang.Event) berylmessage.GangReply {
	var reply berylmessage.GangReply
	was := p.Phase
	for _, effect := range p.Handle(now, e) {
		switch effect := effect.(type) {
		case berylgang.Launch:
			c.launch(now, p)
		case berylgang.Renew:
			c.renew(now, p)
		case berylgang.Halt:
			c.halt(now, p, effect.Checkpoint)
		case berylgang.Send:
			c.send(p, effect.Gang)
		case berylgang.Reply:
			reply = effect.GangReply
		case berylgang.Free:
			c.host.Release(now, p.key())
		}
	}
	if p.Phase == berylgang.Ending && p.cancel != nil {
		p.cancel()
	}
	if p.Closed && p.closed.IsZero() {
		p.closed = now
	}
	if p.Phase != was {
		c.phaseChanged(p)
	}
	return reply
}

func (c *control) phaseChanged(p *gangPart) {
	name := phaseName(p.Part)
	c.agent.metrics.gangs.WithLabelValues(name).Inc()
	klog.InfoS("gang part changed", "job", p.Job, "attempt", p.Attempt, "index", p.Index, "phase", name, "reason", p.Reason)
	if p.Phase == berylgang.Ended && len(p.Members) == 0 {
		delete(c.parts, p.key())
	}
}

// phaseName returns the name of a part's phase in logs, metrics and dumps.
func phaseName(p *berylgang.Part) string {
	switch {
	case p.Phase == berylgang.Reserved:
		return "reserved"
	case p.Phase == berylgang.Armed:
		return "armed"
	case p.Phase == berylgang.Running:
		return "running"
	case p.Phase == berylgang.Ending:
		return "ending"
	case p.OK:
		return "done"
	default:
		return "failed"
	}
}

// tick arrives several times a second.
type tick struct{}

func (tick) apply(now time.Time, c *control) {
	c.host.Expire(now)
	c.stopIsolated(now)
	for key, p := range c.parts {
		c.feed(now, p, berylgang.Tick{})
		if p.Index != 0 && !p.closed.IsZero() && now.Sub(p.closed) > _closedTime {
			delete(c.parts, key)
		}
	}
	c.agent.active.Store(c.active())
}

// stopIsolated ends the gangs that must not run twice after no entry has
// answered for so long that the leader counts them as ended.
func (c *control) stopIsolated(now time.Time) {
	if c.contact.IsZero() {
		c.contact = now
	}
	if now.Sub(c.contact) < _isolationTimeout {
		return
	}
	cfg := c.agent.gate.cfg.Load()
	for _, p := range c.parts {
		if !cfg.Classes[p.job.Class].Idempotent {
			c.feed(now, p, berylgang.Stop{Checkpoint: true, Reason: "agent " + p.Agent + " hears no entry"})
		}
	}
}

// active reports whether a part has tasks.
func (c *control) active() bool {
	for _, p := range c.parts {
		if p.Phase == berylgang.Running || p.Phase == berylgang.Ending {
			return true
		}
	}
	return false
}

// forget drops ended parts, named "job/attempt", that the log has recorded.
func (c *control) forget(names []string) {
	for _, name := range names {
		for key, p := range c.parts {
			if p.Phase == berylgang.Ended && key.Job+"/"+strconv.Itoa(key.Attempt) == name {
				delete(c.parts, key)
			}
		}
	}
}

// partEvent is the result of an effect.
type partEvent struct {
	key   berylhost.Key
	event berylgang.Event
	// uncertain is set by a Launch after which a task may or may not run.
	uncertain bool
}

func (m partEvent) apply(now time.Time, c *control) {
	p := c.parts[m.key]
	if p == nil {
		return
	}
	p.uncertain = p.uncertain || m.uncertain
	if _, ok := m.event.(berylgang.Launched); ok {
		p.cancel()
		p.cancel = nil
		p.launched = now
	}
	c.feed(now, p, m.event)
}

// halted is the result of a Halt.
type halted struct {
	key berylhost.Key
	// stopped is set if the worker has stopped every task, and absent if it
	// did not know some.
	stopped, absent bool
}

func (m halted) apply(now time.Time, c *control) {
	p := c.parts[m.key]
	if p == nil {
		return
	}
	p.halting = false
	if m.stopped && (!m.absent || !p.uncertain) {
		c.feed(now, p, berylgang.Halted{})
	}
}

// tasksListed is the worker's list of tasks, asked for at a time.
type tasksListed struct {
	sent  time.Time
	tasks []berylworker.Status
}

func (m tasksListed) apply(now time.Time, c *control) {
	c.answered = now
	byID := make(map[string]*berylworker.Status, len(m.tasks))
	for i := range m.tasks {
		byID[m.tasks[i].ID] = &m.tasks[i]
	}
	for _, p := range c.parts {
		if p.Phase == berylgang.Running && p.cancel == nil && m.sent.After(p.launched) {
			c.lookAt(now, p, byID)
		}
	}
}

// lookAt tells a running part which of its tasks have ended.
func (c *control) lookAt(now time.Time, p *gangPart, byID map[string]*berylworker.Status) {
	for i := range p.Tasks {
		if p.done[i] {
			continue
		}
		t := byID[taskID(p.key(), p.Index, i)]
		switch {
		case t == nil:
			c.feed(now, p, berylgang.Finished{Reason: "worker of " + p.Agent + " has lost a task"})
			return
		case t.State == berylworker.Running:
		case t.State == berylworker.Done:
			p.done[i] = true
		default:
			// A task that ran into its lease or was stopped by somebody says
			// nothing about the worker.
			blame := t.State == berylworker.Failed || t.State == berylworker.Exceeded
			c.feed(now, p, berylgang.Finished{Blame: blame, Reason: "task on " + p.Agent + " " + t.State.String() + ": " + t.Reason})
			return
		}
	}
	if len(p.done) == p.Tasks {
		c.feed(now, p, berylgang.Finished{OK: true})
	}
}

// usageReported is the worker's lagging usage.
type usageReported struct {
	usage berylworker.Usage
}

func (m usageReported) apply(now time.Time, c *control) {
	c.answered = now
	c.usage = m.usage.Used
}

// stopAll ends all gangs before the process ends.
type stopAll struct{}

func (stopAll) apply(now time.Time, c *control) {
	for _, p := range c.parts {
		c.feed(now, p, berylgang.Stop{Checkpoint: true, Reason: "agent " + p.Agent + " stops"})
	}
}

// settledAsked asks whether no gang needs this process any more.
type settledAsked struct {
	reply func(bool)
}

func (m settledAsked) apply(now time.Time, c *control) {
	for _, p := range c.parts {
		// A reservation is of no use to an agent that refuses to start.
		if p.Phase != berylgang.Reserved && !p.Settled(now) {
			m.reply(false)
			return
		}
	}
	m.reply(true)
}
