package berylagent

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylgang"
	"berylglade/berylhost"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
	"berylglade/berylworker"
)

const (
	// _taskPollInterval is how often the worker's tasks are listed while any
	// are running.
	_taskPollInterval = 500 * time.Millisecond
	// _usagePollInterval is how often usage is polled, which also shows that
	// the worker is available.
	_usagePollInterval = 2 * time.Second
	// _workerTimeout is the time without an answer of the worker after which
	// the agent accepts no new gangs.
	_workerTimeout = 3 * _usagePollInterval
	// _anchorTimeout limits a heartbeat to the anchor. The next heartbeat is
	// due after that time.
	_anchorTimeout = time.Second
	// _maxParallelRequests is the maximum number of concurrent requests to the
	// worker for the tasks of one part.
	_maxParallelRequests = 16
	// _maxCheckpointTime is half of the lease, because leases are not renewed
	// while a part ends.
	_maxCheckpointTime = berylgang.TaskLease / 2
)

// Labels of a task, from which a restarted agent restores its part of a gang.
const (
	_labelJob     = "job"
	_labelAccount = "account"
	_labelClass   = "class"
	_labelAttempt = "attempt"
	_labelIndex   = "index"
	_labelTasks   = "tasks"
	_labelMembers = "members"
)

// taskID returns the id of a task. It is the same for every repetition of the
// start, which makes the start idempotent.
func taskID(key berylhost.Key, index, task int) string {
	return key.Job + "-" + strconv.Itoa(key.Attempt) + "-" + strconv.Itoa(index) + "-" + strconv.Itoa(task)
}

// tasks returns the tasks of a part.
func (p *gangPart) tasks() ([]berylworker.Task, error) {
	members, err := json.Marshal(p.Members)
	if err != nil {
		return nil, berylerror.Internal.Wrap(err, "encode members")
	}
	labels := map[string]string{
		_labelJob:     p.Job,
		_labelAccount: p.job.Account,
		_labelClass:   p.job.Class,
		_labelAttempt: strconv.Itoa(p.Attempt),
		_labelIndex:   strconv.Itoa(p.Index),
		_labelTasks:   strconv.Itoa(p.Tasks),
		_labelMembers: string(members),
	}
	tasks := make([]berylworker.Task, 0, p.Tasks)
	for i := range p.Tasks {
		tasks = append(tasks, berylworker.Task{
			ID:      taskID(p.key(), p.Index, i),
			Labels:  labels,
			Shape:   p.Shape,
			Lease:   berylduration.Duration(berylgang.TaskLease),
			Payload: p.job.Payload,
		})
	}
	return tasks, nil
}

// ids returns the ids of the tasks that are not known to have ended
// successfully.
func (p *gangPart) ids() []string {
	ids := make([]string, 0, p.Tasks)
	for i := range p.Tasks {
		if !p.done[i] {
			ids = append(ids, taskID(p.key(), p.Index, i))
		}
	}
	return ids
}

// launch starts the tasks. The deadline is measured from the decision, so a
// process that was paused in between starts nothing.
func (c *control) launch(now time.Time, p *gangPart) {
	ctx, cancel := context.WithDeadline(c.effectCtx, now.Add(berylgang.HeartbeatTimeout))
	p.cancel = cancel
	tasks, err := p.tasks()
	key, a := p.key(), c.agent
	a.effects.Go(func() {
		startUnknown := false
		if err == nil {
			startUnknown, err = a.startTasks(ctx, tasks)
		}
		event := berylgang.Launched{OK: err == nil}
		if err != nil {
			event.Reason = err.Error()
			// The worker is not to blame if the agent itself rejected the
			// start.
			event.Blame = ctx.Err() == nil && berylerror.Of(err) != berylerror.NotRun
		}
		a.loop.Tell(partEvent{key: key, event: event, startUnknown: startUnknown})
	})
}

// startTasks starts the tasks in sequence until one start fails. The first
// result is true if the failed start has an unknown outcome.
func (a *Agent) startTasks(ctx context.Context, tasks []berylworker.Task) (bool, error) {
	for i := range tasks {
		err := a.startTask(ctx, tasks[i])
		if berylerror.Of(err) == berylerror.Unknown {
			// A retry is safe, because an id starts at most one task.
			err = a.startTask(ctx, tasks[i])
		}
		if err != nil {
			return berylerror.Of(err) == berylerror.Unknown, err
		}
	}
	return false, nil
}

func (a *Agent) startTask(ctx context.Context, t berylworker.Task) error {
	if err := a.gate.permit(a.clock()); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return berylerror.NotRun.Wrap(err, "start of task "+t.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, berylgang.RequestTimeout)
	defer cancel()
	err := a.worker.Start(ctx, t)
	a.metrics.task("start", err)
	return err
}

// renew renews the leases of the tasks that have not ended.
func (c *control) renew(now time.Time, p *gangPart) {
	ids, key, a := p.ids(), p.key(), c.agent
	ctx, cancel := context.WithDeadline(c.effectCtx, now.Add(berylgang.RequestTimeout))
	a.effects.Go(func() {
		defer cancel()
		err := forEach(ids, func(id string) error {
			err := a.worker.Renew(ctx, id, berylgang.TaskLease)
			a.metrics.task("renew", err)
			// The next list of tasks shows how the task ended.
			if berylerror.Of(err) == berylerror.Missing {
				return nil
			}
			return err
		})
		if err == nil {
			a.loop.Tell(partEvent{key: key, event: berylgang.Renewed{Sent: now}})
		}
	})
}

// forEach calls f concurrently for all ids, with a limit, and returns the first
// error.
func forEach(ids []string, f func(id string) error) error {
	var g errgroup.Group
	g.SetLimit(_maxParallelRequests)
	for _, id := range ids {
		g.Go(func() error { return f(id) })
	}
	return g.Wait()
}

// halt stops the tasks, unless the previous request to stop them is still in
// progress.
func (c *control) halt(now time.Time, p *gangPart, checkpoint bool) {
	if p.halting {
		return
	}
	p.halting = true
	ids, key, a := p.ids(), p.key(), c.agent
	limit := a.checkpointTime(p.job.Class)
	a.effects.Go(func() {
		if checkpoint {
			ctx, cancel := context.WithDeadline(c.effectCtx, now.Add(limit))
			// Tasks are stopped even if their checkpoint fails.
			_ = forEach(ids, func(id string) error {
				err := a.worker.Checkpoint(ctx, id)
				a.metrics.task("checkpoint", err)
				return nil
			})
			cancel()
		}
		a.loop.Tell(a.stopTasks(c.effectCtx, key, ids))
	})
}

// checkpointTime returns the longest time for a checkpoint of a class.
func (a *Agent) checkpointTime(class string) time.Duration {
	limit := a.gate.cfg.Load().Classes[class].Stop.Std()
	if limit == 0 {
		limit = berylgang.RequestTimeout
	}
	return min(limit, _maxCheckpointTime)
}

func (a *Agent) stopTasks(ctx context.Context, key berylhost.Key, ids []string) tasksStopped {
	ctx, cancel := context.WithTimeout(ctx, berylgang.RequestTimeout)
	defer cancel()
	var mu sync.Mutex
	m := tasksStopped{key: key}
	err := forEach(ids, func(id string) error {
		err := a.worker.Stop(ctx, id)
		a.metrics.task("stop", err)
		if berylerror.Of(err) != berylerror.Missing {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		m.someMissing = true
		return nil
	})
	m.allStopped = err == nil
	return m
}

// sendToAnchor sends a heartbeat to the anchor.
func (c *control) sendToAnchor(p *gangPart, g berylmessage.Gang) {
	addr, key, a := p.Members[0].Addr, p.key(), c.agent
	ctx, cancel := context.WithTimeout(c.effectCtx, _anchorTimeout)
	a.effects.Go(func() {
		defer cancel()
		sent := a.clock()
		reply, err := berylrpc.Call[berylmessage.Gang, berylmessage.GangReply](ctx, a.client, addr, berylmessage.MethodGang, &g)
		if err == nil {
			a.loop.Tell(partEvent{key: key, event: berylgang.HeartbeatAnswered{Sent: sent, GangReply: *reply}})
		}
	})
}

// watchWorker restores the state from the worker's tasks and then polls its
// tasks and usage until ctx is cancelled.
func (a *Agent) watchWorker(ctx context.Context) {
	tasks, err := backoff.Retry(ctx, func() ([]berylworker.Status, error) {
		ctx, cancel := context.WithTimeout(ctx, berylgang.RequestTimeout)
		defer cancel()
		return a.worker.Tasks(ctx)
	}, backoff.WithBackOff(backoff.NewConstantBackOff(_taskPollInterval)), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return
	}
	a.loop.Tell(initialTasks{tasks: tasks})
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, _taskPollInterval, a.pollTasks) })
	wg.Go(func() { every(ctx, _usagePollInterval, a.pollUsage) })
	wg.Wait()
}

// every calls f at an interval until ctx is cancelled.
func every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) pollTasks(ctx context.Context) {
	if !a.hasTasks.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, berylgang.RequestTimeout)
	defer cancel()
	sent := a.clock()
	tasks, err := a.worker.Tasks(ctx)
	a.metrics.task("list", err)
	if err == nil {
		a.loop.Tell(tasksListed{sent: sent, tasks: tasks})
	}
}

func (a *Agent) pollUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, berylgang.RequestTimeout)
	defer cancel()
	usage, err := a.worker.Usage(ctx)
	a.metrics.task("usage", err)
	if err == nil {
		a.loop.Tell(usageReported{usage: usage})
	}
}

// initialTasks is the first list of the worker's tasks after the agent's start.
type initialTasks struct {
	tasks []berylworker.Status
}

func (m initialTasks) apply(now time.Time, c *control) {
	c.tasksKnown = true
	c.workerAnswered = now
	for i := range m.tasks {
		if err := c.restorePart(now, &m.tasks[i]); err != nil {
			klog.ErrorS(err, "cannot restore gang part from task of worker", "task", m.tasks[i].ID)
		}
	}
}

// restorePart restores the part that a task belongs to, unless another task of
// that part has already restored it.
func (c *control) restorePart(now time.Time, t *berylworker.Status) error {
	p, err := partFromLabels(t)
	if err != nil {
		return err
	}
	p.Agent = c.agent.settings.Name
	key := berylhost.Key{Job: p.Job, Attempt: p.Attempt}
	if c.parts[key] != nil {
		return nil
	}
	c.parts[key] = &gangPart{
		Part:       berylgang.Restore(now, p),
		job:        beryljob.Job{ID: p.Job, Account: t.Labels[_labelAccount], Class: t.Labels[_labelClass], Payload: t.Payload},
		launchedAt: now,
		done:       map[int]bool{},
	}
	c.host.Restore(berylhost.Part{Key: key, Tasks: p.Tasks, Shape: p.Shape})
	klog.InfoS("gang part restored", "job", p.Job, "attempt", p.Attempt, "index", p.Index)
	return nil
}

// partFromLabels decodes a part from the labels of one of its tasks.
func partFromLabels(t *berylworker.Status) (berylgang.Part, error) {
	p := berylgang.Part{Job: t.Labels[_labelJob], Shape: t.Shape}
	for label, n := range map[string]*int{_labelAttempt: &p.Attempt, _labelIndex: &p.Index, _labelTasks: &p.Tasks} {
		v, err := strconv.Atoi(t.Labels[label])
		if err != nil {
			return p, berylerror.Invalid.Wrap(err, "label "+label)
		}
		*n = v
	}
	if err := json.Unmarshal([]byte(t.Labels[_labelMembers]), &p.Members); err != nil {
		return p, berylerror.Invalid.Wrap(err, "label "+_labelMembers)
	}
	if p.Index < 0 || p.Index >= len(p.Members) {
		return p, berylerror.Invalid.Errorf("index %d is out of range of %d members", p.Index, len(p.Members))
	}
	return p, nil
}
