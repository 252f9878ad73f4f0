package beryldirector

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// cluster plays backend servers with eight accelerators each, some of which fail each run
// at once.
type cluster struct {
	*harness
	nodes  []string
	faulty map[string]bool
	// began is when each run was started.
	began map[berylreport.Key]time.Time
	// lastEnd is the number of the last end of each server, and failed how many runs have
	// failed there.
	lastEnd map[string]int64
	failed  map[string]int
}

func newCluster(t *testing.T, sound, faulty int) *cluster {
	c := &cluster{
		harness: newHarness(t), faulty: map[string]bool{}, began: map[berylreport.Key]time.Time{},
		lastEnd: map[string]int64{}, failed: map[string]int{},
	}
	for i := range sound {
		c.nodes = append(c.nodes, "sound-"+strconv.Itoa(i))
	}
	for i := range faulty {
		node := "faulty-" + strconv.Itoa(i)
		c.nodes = append(c.nodes, node)
		c.faulty[node] = true
	}
	return c
}

// play lets all servers work for a time.
func (c *cluster) play(total time.Duration) {
	const tick = 100 * time.Millisecond
	for end := c.now.Add(total); c.now.Before(end); c.advance(tick) {
		for _, node := range c.nodes {
			c.report(node, c.work)
		}
	}
}

// work fills the report of a server with the state of its runs.
func (c *cluster) work(r *berylreport.Report) {
	c.d.eachActiveOn(r.Node, func(s activeTask) {
		k := berylreport.Key{Task: s.name, Run: s.task.Run}
		declared := time.Duration(s.job.Work.Steps[s.ref.Step].Estimate) * time.Millisecond
		if c.began[k].IsZero() {
			c.began[k] = c.now
		}
		took := c.now.Sub(c.began[k])
		switch {
		case s.task.Phase == berylbook.Stopping:
			c.end(r, k, berylreport.Stopped)
		case c.faulty[r.Node]:
			c.failed[r.Node]++
			c.end(r, k, berylreport.Failed)
		case took >= declared:
			c.end(r, k, berylreport.Done)
		default:
			r.Runs = append(r.Runs, berylreport.Run{Key: k, Progress: 100 * took.Seconds() / declared.Seconds()})
		}
	})
}

func (c *cluster) end(r *berylreport.Report, k berylreport.Key, how berylreport.EndReason) {
	c.lastEnd[r.Node]++
	r.Ends = append(r.Ends, berylreport.End{Seq: c.lastEnd[r.Node], Key: k, Reason: how})
}

// Three backend servers fail each run at once, and the others are full. The only free
// accelerators are those of the failed runs. Guards against sound jobs, of which each task
// can fail once, that use up their attempts there and are shown as failed.
func TestAttemptsUsedUpOnFaultyServers(t *testing.T) {
	tests := []struct {
		name  string
		queue string
		step  berylwork.Step
	}{
		{name: "wide routine job", queue: "routine", step: step(40, 1)},
		{name: "urgent gang", queue: "urgent", step: gang(3, 8)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 4, 3)
			background := step(32, 1)
			background.Estimate = 6000
			c.submit("background", "routine", background)
			for _, node := range c.nodes[:4] {
				c.report(node, nil)
			}
			c.play(time.Second)
			// The first work that the servers fail is that of other clients.
			c.submit("first", "routine", step(8, 1))
			c.play(200 * time.Millisecond)
			c.submit("j", tt.queue, tt.step)
			c.play(40 * time.Second)
			c.is.Equal(c.d.Book.Jobs["j"].State, berylbook.Completed)
		})
	}
}

// A backend server fails each run at once for a time. Guards against one that is sent work
// without bound while it fails, and against one that gets none when it has recovered.
func TestFaultyServerIsProbed(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.d.Policy.Queues[1].Attempts = 1000
	wide := step(400, 1)
	wide.Estimate = 4000
	c.submit("j", "routine", wide)
	c.play(10 * time.Second)
	const atOnce, probes = 8, 5 // Pauses of 0.5, 1, 2, 4 and 4 s.
	c.is.True(c.failed["faulty-0"] <= atOnce+probes)
	clear(c.faulty)
	c.play(6 * time.Second)
	used := 0
	c.d.eachActiveOn("faulty-0", func(activeTask) { used++ })
	c.is.Equal(used, 8)
}

// A job whose tasks fail at once wherever they run. Guards against such a job, which any
// client can submit, taking backend servers away from the others.
func TestFaultyJobTakesNoServers(t *testing.T) {
	c := newCluster(t, 6, 0)
	c.d.Policy.Queues[1].Attempts = 1000
	for _, node := range c.nodes {
		c.faulty[node] = true
	}
	c.submit("bad", "routine", step(200, 1))
	c.play(3 * time.Second)
	open := slices.DeleteFunc(slices.Collect(maps.Keys(c.d.agents)), func(node string) bool {
		return slices.ContainsFunc(c.d.hosts(c.now, "s"), func(h berylfit.Host) bool { return h.Node == node })
	})
	c.is.True(len(open) <= 2)
}
