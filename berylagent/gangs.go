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
)

// _closedRetention is how long a closed part stays in the heartbeats if no
// entry acknowledges that its end is recorded.
const _closedRetention = time.Minute

// _isolationTimeout is the time without a reply from any entry after which
// gangs that must not run twice are stopped. It is longer than the network
// partitions between regions, which last minutes. The leader waits for this
// time plus the gangs' own timeouts before it places such a job again.
const _isolationTimeout = 10 * time.Minute

// gangPart is one part of a gang with the state that the agent needs to carry
// out its effects.
type gangPart struct {
	*berylgang.Part
	job beryljob.Job
	// cancel cancels a Launch in progress.
	cancel context.CancelFunc
	// startUnknown is set if the start of a task had an unknown outcome. If the
	// worker then does not know the task, the task may still start later.
	startUnknown bool
	halting      bool
	// launchedAt is when the launch was reported complete.
	launchedAt time.Time
	// done contains the tasks that were seen to end successfully. The worker
	// lists ended tasks for a limited time only.
	done map[int]bool
	// closedAt is when the part was closed.
	closedAt time.Time
}

func (p *gangPart) key() berylhost.Key {
	return berylhost.Key{Job: p.Job, Attempt: p.Attempt}
}

// controlRequest is a request from another process that the control actor
// handles.
type controlRequest[Req, Resp any] struct {
	req   *Req
	reply func(requestResult[Resp])
	serve func(c *control, now time.Time, req *Req) (*Resp, error)
}

// requestResult is the response or the error of a controlRequest.
type requestResult[Resp any] struct {
	resp *Resp
	err  error
}

func (m controlRequest[Req, Resp]) apply(now time.Time, c *control) {
	resp, err := m.serve(c, now, m.req)
	m.reply(requestResult[Resp]{resp: resp, err: err})
}

// handlerOnLoop returns an RPC handler that runs serve on the control actor.
func handlerOnLoop[Req, Resp any](a *Agent, serve func(c *control, now time.Time, req *Req) (*Resp, error)) func(context.Context, *Req) (*Resp, error) {
	return func(ctx context.Context, req *Req) (*Resp, error) {
		out, err := berylcontrol.Ask(ctx, a.loop, func(reply func(requestResult[Resp])) message {
			return controlRequest[Req, Resp]{req: req, reply: reply, serve: serve}
		})
		if err != nil {
			return nil, err
		}
		return out.resp, out.err
	}
}

// reserve handles Reserve requests.
func (c *control) reserve(now time.Time, req *berylmessage.Reserve) (*berylmessage.ReserveReply, error) {
	if err := c.checkNewWork(now, req.Term); err != nil {
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

// checkNewWork returns an error unless the agent may accept new work from a
// leader of the given term.
func (c *control) checkNewWork(now time.Time, term int64) error {
	if err := c.host.ObserveTerm(term); err != nil {
		return err
	}
	if err := c.checkWorker(now); err != nil {
		return err
	}
	return c.agent.gate.admit(now)
}

// checkWorker returns an error unless the worker answers and its tasks are
// known.
func (c *control) checkWorker(now time.Time) error {
	if c.tasksKnown && now.Sub(c.workerAnswered) <= _workerTimeout {
		return nil
	}
	return berylerror.NotRun.Errorf("worker does not answer")
}

// start handles Start requests.
func (c *control) start(now time.Time, req *berylmessage.Start) (*berylmessage.StartReply, error) {
	if err := c.checkNewWork(now, req.Term); err != nil {
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
		return nil, berylerror.Invalid.Errorf("agent has index %d of the gang, but start has index %d", p.Index, req.Index)
	case p.Phase == berylgang.Ended && !p.OK:
		return nil, berylerror.NotRun.Errorf("attempt %d of job %s has ended: %s", key.Attempt, key.Job, p.Reason)
	case p.Phase != berylgang.Reserved:
		return &berylmessage.StartReply{}, nil
	case p.Tasks != req.Members[req.Index].Tasks:
		return nil, berylerror.Invalid.Errorf("start of %d tasks, but %d are reserved", req.Members[req.Index].Tasks, p.Tasks)
	}
	if _, err := c.host.Commit(now, req.Term, key); err != nil {
		return nil, err
	}
	p.job = req.Job
	c.handleEvent(now, p, berylgang.Arm{Members: req.Members, Index: req.Index, ArmTimeout: req.ArmTimeout})
	return &berylmessage.StartReply{}, nil
}

// checkStart returns an error unless the request is addressed to this process.
func (c *control) checkStart(req *berylmessage.Start) error {
	if req.Index < 0 || req.Index >= len(req.Members) {
		return berylerror.Invalid.Errorf("index %d is out of range of %d members", req.Index, len(req.Members))
	}
	m := req.Members[req.Index]
	if m.Agent != c.agent.settings.Name || m.Incarnation != c.agent.Incarnation {
		return berylerror.NotRun.Errorf("start is addressed to incarnation %s of agent %s, not to %s of %s", m.Incarnation, m.Agent, c.agent.Incarnation, c.agent.settings.Name)
	}
	return nil
}

// stop handles Stop requests.
func (c *control) stop(now time.Time, req *berylmessage.Stop) (*berylmessage.StopReply, error) {
	if err := c.host.ObserveTerm(req.Term); err != nil {
		return nil, err
	}
	if !c.tasksKnown {
		return nil, berylerror.Unavailable.Errorf("tasks of the worker have not been listed yet")
	}
	if p := c.parts[berylhost.Key{Job: req.Job, Attempt: req.Attempt}]; p != nil {
		c.handleEvent(now, p, berylgang.Stop{Checkpoint: req.Checkpoint, Reason: req.Reason})
	}
	return &berylmessage.StopReply{}, nil
}

// gang handles Gang requests, which are heartbeats from members to their
// anchor.
func (c *control) gang(now time.Time, req *berylmessage.Gang) (*berylmessage.GangReply, error) {
	if !c.tasksKnown {
		return nil, berylerror.Unavailable.Errorf("tasks of the worker have not been listed yet")
	}
	p := c.parts[berylhost.Key{Job: req.Job, Attempt: req.Attempt}]
	if p == nil {
		reply := berylgang.UnknownGangReply(*req)
		return &reply, nil
	}
	reply := c.handleEvent(now, p, berylgang.HeartbeatReceived{Gang: *req})
	return &reply, nil
}

// handleEvent passes an event to a part and carries out the effects. It returns
// the reply to a member's heartbeat if the event was one.
func (c *control) handleEvent(now time.Time, p *gangPart, e berylgang.Event) berylmessage.GangReply {
	var reply berylmessage.GangReply
	oldPhase := p.Phase
	for _, effect := range p.Handle(now, e) {
		switch effect := effect.(type) {
		case berylgang.Launch:
			c.launch(now, p)
		case berylgang.Renew:
			c.renew(now, p)
		case berylgang.Halt:
			c.halt(now, p, effect.Checkpoint)
		case berylgang.SendHeartbeat:
			c.sendToAnchor(p, effect.Gang)
		case berylgang.Reply:
			reply = effect.GangReply
		case berylgang.Free:
			c.host.Release(now, p.key())
		}
	}
	if p.Phase == berylgang.Ending && p.cancel != nil {
		p.cancel()
	}
	if p.Closed && p.closedAt.IsZero() {
		p.closedAt = now
	}
	if p.Phase != oldPhase {
		c.phaseChanged(p)
	}
	return reply
}

func (c *control) phaseChanged(p *gangPart) {
	name := phaseName(p.Part)
	c.agent.metrics.gangs.WithLabelValues(name).Inc()
	klog.InfoS("gang part changed phase", "job", p.Job, "attempt", p.Attempt, "index", p.Index, "phase", name, "reason", p.Reason)
	if p.Phase == berylgang.Ended && len(p.Members) == 0 {
		delete(c.parts, p.key())
	}
}

// phaseName returns the name of a part's phase for logs, metrics and dumps.
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

// tick triggers the periodic work of the control actor.
type tick struct{}

func (tick) apply(now time.Time, c *control) {
	c.host.Expire(now)
	c.stopIsolated(now)
	for key, p := range c.parts {
		c.handleEvent(now, p, berylgang.Tick{})
		if p.Index != 0 && !p.closedAt.IsZero() && now.Sub(p.closedAt) > _closedRetention {
			delete(c.parts, key)
		}
	}
	c.agent.hasTasks.Store(c.hasTasks())
}

// stopIsolated stops the gangs that must not run twice when no entry has
// replied for so long that the leader will consider them ended.
func (c *control) stopIsolated(now time.Time) {
	if c.entryAnswered.IsZero() {
		c.entryAnswered = now
	}
	if now.Sub(c.entryAnswered) < _isolationTimeout {
		return
	}
	cfg := c.agent.gate.cfg.Load()
	for _, p := range c.parts {
		if !cfg.Classes[p.job.Class].Idempotent {
			c.handleEvent(now, p, berylgang.Stop{Checkpoint: true, Reason: "agent " + p.Agent + " has no contact with any entry"})
		}
	}
}

// hasTasks reports whether any part has tasks.
func (c *control) hasTasks() bool {
	for _, p := range c.parts {
		if p.Phase == berylgang.Running || p.Phase == berylgang.Ending {
			return true
		}
	}
	return false
}

// forgetRecorded drops ended parts, identified as "job/attempt", whose end is
// recorded in the log.
func (c *control) forgetRecorded(names []string) {
	for _, name := range names {
		for key, p := range c.parts {
			if p.Phase == berylgang.Ended && key.Job+"/"+strconv.Itoa(key.Attempt) == name {
				delete(c.parts, key)
			}
		}
	}
}
