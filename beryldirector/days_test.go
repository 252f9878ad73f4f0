package beryldirector

import (
	"cmp"
	"slices"
	"strconv"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylpolicy"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// days plays jobs on backend servers of eight accelerators in virtual time.
type days struct {
	*harness
	t     *testing.T
	nodes []string
	// took is how long the tasks of a job run, by job. Those of a job that is missing run
	// until they are stopped.
	took map[string]time.Duration
	// unstoppable has the jobs whose tasks don't end when they are stopped.
	unstoppable map[string]bool
	// list changes what is listed of a run, if it is set.
	list func(r *berylreport.Run)
	runs map[berylreport.Key]*playedRun
	ends map[string]int64
	// started is when a task of each job first started, and ended when the job was done.
	started, ended map[string]time.Time
	// stopped counts the runs that ended because they were stopped, by job.
	stopped map[string]int
}

// playedRun is a run on a backend server.
type playedRun struct {
	job       string
	node      string
	startedAt time.Time
	stopAt    time.Time
}

const (
	_dayStep = 100 * time.Millisecond
	// _dayStop is how long a stop takes.
	_dayStop = 200 * time.Millisecond
)

func newDays(t *testing.T, nodes int) *days {
	d := &days{
		t: t, harness: newHarness(t), took: map[string]time.Duration{}, unstoppable: map[string]bool{}, runs: map[berylreport.Key]*playedRun{},
		ends: map[string]int64{}, started: map[string]time.Time{}, ended: map[string]time.Time{}, stopped: map[string]int{},
	}
	d.d.Policy.Queues = append(d.d.Policy.Queues, berylpolicy.Queue{Name: "gangs", Service: "s", Priority: 1, Attempts: 2, Stretch: 3})
	for i := range nodes {
		d.nodes = append(d.nodes, "n"+strconv.Itoa(i+1))
	}
	d.play(_dayStep)
	return d
}

// job submits a job whose tasks take a time; zero means until they are stopped.
func (d *days) job(id, queue string, took time.Duration, steps ...berylwork.Step) {
	if took > 0 {
		d.took[id] = took
	}
	d.submit(id, queue, steps...)
}

// play lets the time pass.
func (d *days) play(total time.Duration) {
	for end := d.now.Add(total); d.now.Before(end); {
		d.advance(_dayStep)
		for _, node := range d.nodes {
			d.reportRuns(node)
		}
	}
}

// playUntil lets the time pass until done returns true, and returns false if it does not
// within limit.
func (d *days) playUntil(limit time.Duration, done func() bool) bool {
	for end := d.now.Add(limit); !done(); d.play(_dayStep) {
		if !d.now.Before(end) {
			return false
		}
	}
	return true
}

// reportRuns starts the ordered runs of a node, ends those that are over, and reports all.
func (d *days) reportRuns(node string) {
	absent := d.startRuns(node)
	var ends []berylreport.End
	var runs []berylreport.Run
	for _, k := range d.keys(node) {
		run := d.runs[k]
		how, over := d.over(run)
		if over {
			delete(d.runs, k)
			d.ends[node]++
			ends = append(ends, end(d.ends[node], k.Task, k.Run, how))
			continue
		}
		listed := berylreport.Run{Key: k, Progress: d.progress(run)}
		if d.list != nil {
			d.list(&listed)
		}
		runs = append(runs, listed)
	}
	d.report(node, func(r *berylreport.Report) { r.Runs, r.Ends, r.Absent = runs, ends, absent })
	for id, j := range d.d.Book.Jobs {
		if j.State.Final() && d.ended[id].IsZero() {
			d.ended[id] = d.now
		}
	}
}

// startRuns starts the ordered runs of a node, and returns those that are stopped before.
func (d *days) startRuns(node string) (absent []berylreport.Key) {
	for _, j := range d.d.Book.Sorted() {
		j.Each(func(ref berylwork.Ref, t *berylbook.Task) {
			k := berylreport.Key{Task: ref.String(), Run: t.Run}
			if !t.Phase.Active() || t.Incarnation.Node != node {
				return
			}
			run := d.runs[k]
			if run == nil && t.Phase == berylbook.Ordered {
				run = &playedRun{job: ref.Job, node: node, startedAt: d.now}
				d.runs[k] = run
				if d.started[ref.Job].IsZero() {
					d.started[ref.Job] = d.now
				}
			}
			switch {
			case t.Phase != berylbook.Stopping || d.unstoppable[ref.Job]:
			case run == nil:
				absent = append(absent, k)
			case run.stopAt.IsZero():
				run.stopAt = d.now.Add(_dayStop)
			}
		})
	}
	return absent
}

func (d *days) keys(node string) []berylreport.Key {
	var keys []berylreport.Key
	for k, run := range d.runs {
		if run.node == node {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b berylreport.Key) int { return cmp.Compare(a.Task, b.Task) })
	return keys
}

func (d *days) over(run *playedRun) (how berylreport.EndReason, over bool) {
	took := d.took[run.job]
	switch {
	case !run.stopAt.IsZero() && !d.now.Before(run.stopAt):
		d.stopped[run.job]++
		return berylreport.Stopped, true
	case took > 0 && d.now.Sub(run.startedAt) >= took:
		return berylreport.Done, true
	default:
		return 0, false
	}
}

// progress returns the progress of a run in whole percents, as backend servers list it.
func (d *days) progress(run *playedRun) float64 {
	took := d.took[run.job]
	if took == 0 {
		return 0
	}
	return float64(int64(100 * d.now.Sub(run.startedAt) / took))
}

// waited returns how long a job waited for its first start; the time until now if it has
// not started.
func (d *days) waited(id string) time.Duration {
	accepted := time.UnixMilli(d.d.Book.Jobs[id].Work.Accepted)
	if at := d.started[id]; !at.IsZero() {
		return at.Sub(accepted)
	}
	return d.now.Sub(accepted)
}
