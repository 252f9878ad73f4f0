package beryldirector

import (
	"strconv"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylpolicy"
	"berylglade/berylreport"
	"berylglade/berylwork"
)

// lastingApart returns a step of long-running tasks, at most one on each backend server.
func lastingApart(count, accelerators int) berylwork.Step {
	s := lasting(count, accelerators, 0)
	s.MaxPerHost = 1
	return s
}

// _promptStart is within how long a job starts that has room.
const _promptStart = 500 * time.Millisecond

// A long-running task holds one accelerator of each backend server, and gangs that need all
// of them wait. Guards against capacity that is kept for a gang although nobody knows that it
// comes free: jobs that need one of the idle accelerators would never run.
func TestGangBehindLongRunningTasksKeepsNothingIdle(t *testing.T) {
	tests := []struct {
		name  string
		gangs map[string]string // The queue of each gang.
	}{
		{name: "no gang"},
		{name: "routine gang", gangs: map[string]string{"g1": "gangs"}},
		{name: "urgent gang", gangs: map[string]string{"g1": "urgent"}},
		{name: "gangs of both queues", gangs: map[string]string{"g1": "gangs", "g2": "urgent", "g3": "gangs", "g4": "gangs", "g5": "urgent"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDays(t, 3)
			d.job("lasting", "urgent", 0, lastingApart(3, 1))
			d.play(time.Second)
			for id, queue := range tt.gangs {
				d.job(id, queue, 8*time.Second, gang(3, 8))
			}
			d.play(2 * time.Second)
			for i := range 20 {
				id := "small" + strconv.Itoa(i)
				d.job(id, "routine", 500*time.Millisecond, step(1, 1))
				d.play(time.Second)
				d.is.True(d.waited(id) <= _promptStart)
			}
			for id := range tt.gangs {
				d.is.True(d.started[id].IsZero())
			}
		})
	}
}

// Four gangs can't start beside long-running tasks, and a fifth one can beside a steady
// stream of small jobs. Guards against reservations that are used up by gangs for which no
// capacity comes free.
func TestReservationIsNotUsedUpByGangsWithoutStart(t *testing.T) {
	d := newDays(t, 3)
	d.job("lasting", "urgent", 0, lastingApart(3, 1))
	d.play(time.Second)
	for i := range 4 {
		d.job("never"+strconv.Itoa(i), "gangs", 8*time.Second, gang(3, 8))
	}
	d.play(500 * time.Millisecond)
	next := d.stream(0, 15*time.Second, 1500*time.Millisecond, step(1, 1))
	d.job("gang", "gangs", 2*time.Second, gang(3, 7))
	d.stream(next, 15*time.Second, 1500*time.Millisecond, step(1, 1))
	d.is.True(!d.started["gang"].IsZero())
}

// stream submits a small job twice in each step of the day, for a time, each of which takes
// took, and returns the number of the next one.
func (d *days) stream(first int, total, took time.Duration, small berylwork.Step) (next int) {
	next = first
	for end := d.now.Add(total); d.now.Before(end); d.play(_dayStep) {
		for range 2 {
			d.job("small"+strconv.Itoa(next), "routine", took, small)
			next++
		}
	}
	return next
}

// longJob submits an urgent job of tasks that hold one accelerator each, on backend servers
// of their own, and run as long as they declare, and lets it start.
func (d *days) longJob(count int, took time.Duration) {
	s := step(count, 1)
	s.MaxPerHost, s.Estimate = 1, took.Milliseconds()
	d.job("long", "urgent", took, s)
	d.play(time.Second)
}

// A job that holds one accelerator of each backend server is cancelled, and a gang waits for
// all of them, beside a stream of small jobs that need more than is left. Guards against a
// gang that never starts because each accelerator that comes free goes to a small job, or that
// waits for long jobs which were started while it was blocked.
func TestGangStartsAfterLongRunningTasks(t *testing.T) {
	for _, took := range []time.Duration{1500 * time.Millisecond, 100 * time.Second} {
		t.Run(took.String(), func(t *testing.T) {
			d := newDays(t, 3)
			d.job("lasting", "urgent", 0, lastingApart(3, 1))
			d.play(time.Second)
			d.job("gang", "gangs", 2*time.Second, gang(3, 8))
			d.play(2 * time.Second)
			next := d.stream(0, 10*time.Second, took, step(1, 1))
			d.is.True(d.started["gang"].IsZero())
			d.cancel("lasting")
			d.stream(next, 2*time.Second, took, step(1, 1))
			d.is.True(!d.started["gang"].IsZero())
		})
	}
}

// cancel records the cancel of a job.
func (d *days) cancel(id string) {
	r, err := (&berylbook.Cancel{At: d.now.UnixMilli()}).Record(id)
	d.is.NoErr(err)
	d.append(r)
	d.settle()
}

// Runs of 80 s hold one accelerator of each backend server, and a gang needs all of them.
// Guards against capacity that is idle until a far end: short jobs run beside the runs, and
// long ones after a short wait. Also guards against a gang that does not start at that end,
// because of the work that was started meanwhile.
func TestFarReservationIsLent(t *testing.T) {
	tests := []struct {
		name, queue string
		// took is how long the small jobs run, and declared what they declare.
		took, declared time.Duration
		// within is how long they may wait.
		within time.Duration
	}{
		{name: "short jobs", queue: "gangs", took: 500 * time.Millisecond, declared: 500 * time.Millisecond, within: _promptStart},
		{name: "short jobs, urgent gang", queue: "urgent", took: 500 * time.Millisecond, declared: 500 * time.Millisecond, within: _promptStart},
		{name: "short jobs that declare too much", queue: "gangs", took: 500 * time.Millisecond, declared: 200 * time.Second, within: 3 * time.Second},
		{name: "short jobs that declare nothing", queue: "gangs", took: 500 * time.Millisecond, within: 3 * time.Second},
		{name: "long jobs", queue: "gangs", took: 200 * time.Second, declared: 200 * time.Second, within: 3 * time.Second},
		{name: "long jobs that declare too little", queue: "gangs", took: 200 * time.Second, declared: time.Second, within: _promptStart},
		{name: "long jobs, urgent gang", queue: "urgent", took: 200 * time.Second, declared: 200 * time.Second, within: 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDays(t, 3)
			d.longJob(3, 80*time.Second)
			d.job("gang", tt.queue, 8*time.Second, gang(3, 8))
			d.play(3 * time.Second)
			for i := range 20 {
				small := step(1, 1)
				small.Estimate = tt.declared.Milliseconds()
				id := "small" + strconv.Itoa(i)
				d.job(id, "routine", tt.took, small)
				d.play(2 * time.Second)
			}
			for i := range 20 {
				d.is.True(d.waited("small"+strconv.Itoa(i)) <= tt.within)
			}
			d.is.True(d.playUntil(60*time.Second, func() bool { return !d.ended["long"].IsZero() }))
			d.is.True(d.playUntil(2*time.Second, func() bool { return !d.started["gang"].IsZero() }))
		})
	}
}

// A run holds one accelerator of one of three backend servers longer than its progress
// promises, without an end, and a gang needs all. Guards against capacity that is idle while
// an end is expected at any moment.
func TestRunPastItsEndKeepsNothingIdle(t *testing.T) {
	tests := []struct {
		name     string
		progress float64
	}{
		{name: "stalled at the start", progress: 0},
		{name: "stalled near the end", progress: 99},
		{name: "complete and not ended", progress: 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDays(t, 3)
			d.list = func(r *berylreport.Run) {
				if r.Task == "stuck.0.0.0" {
					r.Progress = tt.progress
				}
			}
			d.job("stuck", "urgent", 0, step(1, 1))
			d.play(time.Second)
			d.job("gang", "gangs", 8*time.Second, gang(3, 8))
			d.play(3 * time.Second)
			for i := range 20 {
				id := "small" + strconv.Itoa(i)
				d.job(id, "routine", 3*time.Second, step(1, 1))
				d.play(time.Second)
			}
			for i := range 20 {
				d.is.True(d.waited("small"+strconv.Itoa(i)) <= 3*time.Second)
			}
		})
	}
}

// A less urgent gang waits beside a steady stream of small jobs, which fill what is free.
// Guards against a gang that never starts because each accelerator that comes free goes to a
// small job, whatever the small jobs declare, and against capacity that is lent for good.
func TestGangStartsBesideStream(t *testing.T) {
	tests := []struct {
		name, queue    string
		took, declared time.Duration
		servers        int
		tasks          int
	}{
		{name: "short jobs", queue: "gangs", took: 1500 * time.Millisecond, declared: 1500 * time.Millisecond, servers: 3, tasks: 3},
		{name: "urgent gang", queue: "urgent", took: 1500 * time.Millisecond, declared: 1500 * time.Millisecond, servers: 3, tasks: 3},
		{name: "jobs that declare a tenth", queue: "gangs", took: 5 * time.Second, declared: 500 * time.Millisecond, servers: 3, tasks: 3},
		{name: "jobs that declare ten times", queue: "gangs", took: 1500 * time.Millisecond, declared: 15 * time.Second, servers: 3, tasks: 3},
		{name: "jobs that declare nothing", queue: "gangs", took: 1500 * time.Millisecond, servers: 3, tasks: 3},
		{name: "long jobs", queue: "gangs", took: 20 * time.Second, declared: 20 * time.Second, servers: 3, tasks: 3},
		{name: "part of the servers", queue: "gangs", took: 5 * time.Second, declared: 5 * time.Second, servers: 6, tasks: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDays(t, tt.servers)
			small := step(1, 1)
			small.Estimate = tt.declared.Milliseconds()
			next := d.stream(0, 4*time.Second, tt.took, small)
			d.job("gang", tt.queue, 4*time.Second, gang(tt.tasks, 8))
			d.stream(next, 30*time.Second, tt.took, small)
			d.is.True(!d.started["gang"].IsZero())
			d.is.True(d.waited("gang") <= tt.took+5*time.Second)
		})
	}
}

// Long-running tasks of a less urgent queue are lent the capacity that is reserved for a gang.
// Guards against a gang that they keep from starting for good, and against the stop of more of
// them than may be unavailable.
func TestLongRunningBorrowersGiveWay(t *testing.T) {
	tests := []struct {
		name           string
		maxUnavailable int
		want           bool
	}{
		{name: "any may be stopped", want: true},
		{name: "all but one may be unavailable", maxUnavailable: 2, want: true},
		{name: "one may be unavailable", maxUnavailable: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDays(t, 3)
			d.list = func(r *berylreport.Run) {
				if r.Task[:2] == "b." {
					r.Progress = _fullWork
				}
			}
			d.longJob(3, 20*time.Second)
			d.job("gang", "gangs", 2*time.Second, gang(2, 8))
			d.play(2 * time.Second)
			s := lastingApart(3, 2)
			s.MaxUnavailable = tt.maxUnavailable
			d.job("b", "routine", 0, s)
			d.play(3 * time.Second)
			d.is.True(!d.started["b"].IsZero())
			d.is.True(d.playUntil(30*time.Second, func() bool { return !d.ended["long"].IsZero() }))
			d.play(2 * time.Second)
			d.is.Equal(!d.started["gang"].IsZero(), tt.want)
			d.is.True(tt.maxUnavailable == 0 || d.stopped["b"] <= tt.maxUnavailable)
		})
	}
}

// An urgent job within its account's guarantee is lent the capacity that is reserved for a
// gang. Guards against a stop of guaranteed work for the gang.
func TestGuaranteedBorrowerIsNotStopped(t *testing.T) {
	tests := []struct {
		name       string
		guaranteed int
		want       int
	}{
		{name: "within the guarantee", guaranteed: 8, want: 0},
		{name: "no guarantee", want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDays(t, 2)
			d.d.Policy.Accounts = []berylpolicy.Account{{Name: "a", Guaranteed: tt.guaranteed}}
			d.longJob(2, 20*time.Second)
			// The gang goes before the job, also by the time at which the job claims its start.
			g := gang(2, 8)
			g.Estimate = 9000
			d.job("gang", "urgent", 2*time.Second, g)
			d.play(2500 * time.Millisecond)
			d.took["j"] = 60 * time.Second
			s := step(1, 2)
			s.Estimate = 60_000
			d.submitFor("a", "j", "urgent", s)
			d.is.True(d.playUntil(10*time.Second, func() bool { return !d.started["j"].IsZero() }))
			d.is.True(d.playUntil(30*time.Second, func() bool { return !d.ended["long"].IsZero() }))
			d.play(2 * time.Second)
			d.is.Equal(d.stopped["j"], tt.want)
		})
	}
}

// A leader is lost while capacity is lent. Guards against a successor that keeps the capacity
// idle again for good, or that never starts the gang beside the stream because it does not
// know the borrowers.
func TestLeaderLostWhileCapacityIsLent(t *testing.T) {
	d := newDays(t, 3)
	var topic berylbook.Book
	d.copyTo = &topic
	d.longJob(3, 30*time.Second)
	d.job("gang", "gangs", 2*time.Second, gang(3, 8))
	next := d.stream(0, 8*time.Second, 1500*time.Millisecond, step(1, 1))

	policy := d.d.Policy
	d.d = New(Self{Node: "entry-2", Boot: 1, Addr: "10.0.0.8:7000"}, testLimits())
	d.d.Policy = policy
	d.d.Restore(d.now, topic, d.topicEnd)
	d.copyTo = nil
	d.play(3 * time.Second)
	d.is.True(d.d.Leading())
	first := next
	next = d.stream(next, 10*time.Second, 1500*time.Millisecond, step(1, 1))
	d.is.True(d.waited("small"+strconv.Itoa(first)) <= _idleBound)
	d.is.True(d.started["gang"].IsZero())
	for d.ended["long"].IsZero() {
		next = d.stream(next, time.Second, 1500*time.Millisecond, step(1, 1))
	}
	d.stream(next, 5*time.Second, 1500*time.Millisecond, step(1, 1))
	d.is.True(!d.started["gang"].IsZero())
}

// Long jobs use what is reserved for a gang until runs with a known progress end. Guards
// against a gang that waits for the stop of the borrowers although the end was expected.
func TestBorrowersAreStoppedInTime(t *testing.T) {
	d := newDays(t, 3)
	d.longJob(3, 20*time.Second)
	d.job("gang", "gangs", 8*time.Second, gang(3, 8))
	d.play(3 * time.Second)
	small := step(6, 2)
	small.Estimate = 200_000
	d.job("small", "routine", 200*time.Second, small)
	d.is.True(d.playUntil(30*time.Second, func() bool { return !d.ended["long"].IsZero() }))
	d.is.Equal(d.stopped["small"], 6)
	d.is.Equal(d.phase("gang", 0), berylbook.Ordered)
}

// A backend server goes on with a run that it was told to stop for an urgent gang, which needs
// this server and another one. Guards against capacity of the other one that is idle until the
// stop is carried out, and against a gang that does not start then.
func TestStopWithoutEndKeepsNothingIdle(t *testing.T) {
	d := newDays(t, 3)
	d.unstoppable["stuck"] = true
	stuck := step(1, 2)
	stuck.Estimate = 60_000
	d.job("stuck", "routine", 0, stuck)
	d.play(time.Second)
	urgent := gang(3, 8)
	urgent.Estimate = 6000
	d.job("gang", "urgent", 2*time.Second, urgent)
	d.play(time.Second)
	d.is.Equal(d.phase("stuck", 0), berylbook.Stopping)
	for i := range 20 {
		id := "small" + strconv.Itoa(i)
		d.job(id, "routine", 60*time.Second, step(1, 1))
		d.play(time.Second)
	}
	for i := range 20 {
		d.is.True(d.waited("small"+strconv.Itoa(i)) <= _idleBound)
	}
	d.is.True(d.started["gang"].IsZero())
	d.unstoppable["stuck"] = false
	d.play(2 * time.Second)
	d.is.True(!d.started["gang"].IsZero())
}
