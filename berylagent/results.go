package berylagent

import (
	"time"

	"berylglade/berylgang"
	"berylglade/berylhost"
	"berylglade/berylworker"
)

// partEvent is the result of an effect.
type partEvent struct {
	key   berylhost.Key
	event berylgang.Event
	// startUnknown is set if the Launch left a task whose start has an unknown
	// outcome.
	startUnknown bool
}

func (m partEvent) apply(now time.Time, c *control) {
	p := c.parts[m.key]
	if p == nil {
		return
	}
	p.startUnknown = p.startUnknown || m.startUnknown
	if _, ok := m.event.(berylgang.Launched); ok {
		p.cancel()
		p.cancel = nil
		p.launchedAt = now
	}
	c.handleEvent(now, p, m.event)
}

// tasksStopped is the result of a Halt.
type tasksStopped struct {
	key berylhost.Key
	// allStopped is set if no request to stop a task failed, and someMissing if
	// the worker did not know some of the tasks.
	allStopped, someMissing bool
}

func (m tasksStopped) apply(now time.Time, c *control) {
	p := c.parts[m.key]
	if p == nil {
		return
	}
	p.halting = false
	if m.allStopped && (!m.someMissing || !p.startUnknown) {
		c.handleEvent(now, p, berylgang.Halted{})
	}
}

// tasksListed is the worker's list of tasks, requested at the given time.
type tasksListed struct {
	sent  time.Time
	tasks []berylworker.Status
}

func (m tasksListed) apply(now time.Time, c *control) {
	c.workerAnswered = now
	byID := make(map[string]*berylworker.Status, len(m.tasks))
	for i := range m.tasks {
		byID[m.tasks[i].ID] = &m.tasks[i]
	}
	for _, p := range c.parts {
		if p.Phase == berylgang.Running && p.cancel == nil && m.sent.After(p.launchedAt) {
			c.checkTasks(now, p, byID)
		}
	}
}

// checkTasks reports the end of a running part's tasks to the part.
func (c *control) checkTasks(now time.Time, p *gangPart, byID map[string]*berylworker.Status) {
	for i := range p.Tasks {
		if p.done[i] {
			continue
		}
		t := byID[taskID(p.key(), p.Index, i)]
		switch {
		case t == nil:
			c.handleEvent(now, p, berylgang.Finished{Reason: "worker of " + p.Agent + " no longer lists task " + taskID(p.key(), p.Index, i)})
			return
		case t.State == berylworker.Running:
		case t.State == berylworker.Done:
			p.done[i] = true
		default:
			// A task whose lease expired or that was stopped on request does
			// not indicate a fault of the worker.
			blame := t.State == berylworker.Failed || t.State == berylworker.Exceeded
			c.handleEvent(now, p, berylgang.Finished{Blame: blame, Reason: "task on " + p.Agent + " " + t.State.String() + ": " + t.Reason})
			return
		}
	}
	if len(p.done) == p.Tasks {
		c.handleEvent(now, p, berylgang.Finished{OK: true})
	}
}

// usageReported is the resource usage that the worker reported, which lags
// behind the actual usage.
type usageReported struct {
	usage berylworker.Usage
}

func (m usageReported) apply(now time.Time, c *control) {
	c.workerAnswered = now
	c.usage = m.usage.Used
}

// stopAll stops all gangs before the process exits.
type stopAll struct{}

func (stopAll) apply(now time.Time, c *control) {
	for _, p := range c.parts {
		c.handleEvent(now, p, berylgang.Stop{Checkpoint: true, Reason: "agent " + p.Agent + " stops"})
	}
}

// settledQuery asks whether no gang needs this process any more.
type settledQuery struct {
	reply func(bool)
}

func (m settledQuery) apply(now time.Time, c *control) {
	for _, p := range c.parts {
		// A reservation need not be waited for, since a draining agent starts
		// nothing.
		if p.Phase != berylgang.Reserved && !p.Settled(now) {
			m.reply(false)
			return
		}
	}
	m.reply(true)
}
