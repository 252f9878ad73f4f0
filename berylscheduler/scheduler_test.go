package berylscheduler_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/beryljob"
	"berylglade/berylscheduler"
	"berylglade/berylshape"
)

const (
	_anywhere = beryladjacency.Anywhere
	_rack     = beryladjacency.Rack
)

// newRacks returns a model with one rack of three workers in each failure domain.
func newRacks(t *testing.T, domains int, o berylscheduler.Options) *model {
	m := newModel(t, o)
	m.addWorkers(domains, 3)
	m.changeConfig(nil)
	return m
}

func (m *model) advance(d time.Duration) { m.now = m.now.Add(d) }

// runSteps runs n rounds, one second apart, in which placed gangs start and preempted
// ones end.
func (m *model) runSteps(n int) {
	for range n {
		m.decide()
		m.startGangs()
		m.stopPreempted()
		m.advance(time.Second)
	}
	m.decide()
}

// restoreRunning restores a running gang on the given workers, as after a change of
// the leader.
func (m *model) restoreRunning(id, account, class string, s berylshape.Shape, on ...string) {
	r := &modelJob{State: beryljob.State{Phase: beryljob.Decided, Attempt: 1, Job: beryljob.Job{
		ID: id, Account: account, Class: class, Tasks: len(on), Shape: s, Accepted: m.now,
	}}}
	for _, w := range on {
		r.members = append(r.members, beryljob.Member{Agent: w, Incarnation: "1", Addr: w + ":1", Tasks: 1})
	}
	r.Members = r.members
	m.jobs[id] = r
	m.handle(berylscheduler.JobRestored{State: r.State})
	m.handle(berylscheduler.GangStarted{Job: id, Attempt: 1})
}

// TestUrgentPreempts guards against urgent work that waits for preemptible work, and
// against a checkpoint that takes longer than the urgent work can wait.
func TestUrgentPreempts(t *testing.T) {
	tests := []struct {
		give       string
		preempted  bool
		checkpoint bool
	}{
		{give: "quick", preempted: true, checkpoint: true},
		{give: "batch", preempted: true}, // its stop time is longer than the target of the urgent job
		{give: "routine"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			is := is.New(t)
			m := newRacks(t, 1, berylscheduler.Options{})
			m.submit("low", "x", tt.give, 3, gpus(8), _anywhere)
			m.runSteps(2)
			m.submit("now", "y", "urgent", 1, gpus(2), _anywhere)
			m.decide()
			is.Equal(m.jobs["low"].preemption != nil, tt.preempted)
			if tt.preempted {
				is.Equal(m.jobs["low"].preemption.Checkpoint, tt.checkpoint)
				is.True(!m.jobs["now"].placed()) // the capacity is not free yet
				m.stopPreempted()
				m.decide()
			}
			is.Equal(m.jobs["now"].placed(), tt.preempted)
		})
	}
}

// submitStream submits a small non-preemptible job every 10 minutes that declares
// 6 minutes and runs for an hour.
func (m *model) submitStream(hours int, ends map[string]time.Time) {
	for range hours * 6 {
		id := fmt.Sprintf("small%03d", len(m.jobs))
		m.submit(id, "x", "routine", 3, gpus(4), _anywhere)
		m.jobs[id].Declared = berylduration.Duration(6 * time.Minute)
		m.runSteps(1)
		m.advance(10 * time.Minute)
		for _, id := range m.placedIDs() {
			if strings.HasPrefix(id, "small") && ends[id].IsZero() {
				ends[id] = m.now.Add(time.Hour)
			}
			if !ends[id].IsZero() && m.now.After(ends[id]) {
				m.endGang(id, true, "")
			}
		}
	}
}

// TestReservationPreventsStarvation guards against a large gang that starves behind
// small jobs whose declared run times are ten times too short. The reservation must
// neither block small jobs nor wait for an idle rack that is guaranteed to others.
func TestReservationPreventsStarvation(t *testing.T) {
	tests := []struct {
		name       string
		give       berylscheduler.Options
		guarantees []berylconfig.Guarantee
		domains    int
		want       bool
	}{
		{name: "on", domains: 2, want: true},
		{name: "off", domains: 2, give: berylscheduler.Options{NoReservation: true}},
		{
			name: "beside a guaranteed rack", domains: 3, want: true,
			guarantees: []berylconfig.Guarantee{{Shape: gpus(8), Count: 3, Adjacent: _rack}},
		},
		{
			name: "with single units in the way", domains: 3, want: true,
			guarantees: []berylconfig.Guarantee{{Shape: gpus(8), Count: 3, Adjacent: _rack}, {Shape: gpus(2), Count: 2}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newRacks(t, tt.domains, tt.give)
			m.setGuarantees("g", tt.guarantees...)
			ends := map[string]time.Time{}
			m.submitStream(2, ends)
			m.submit("large", "y", "routine", 3, gpus(8), _rack)
			m.submitStream(6, ends)
			is.Equal(m.jobs["large"].starts > 0, tt.want)
			small := 0
			for _, r := range m.jobs {
				small += r.starts
			}
			is.True(small >= 10) // small jobs still start during the reservation
		})
	}
}

// TestReservationAvoidsGuarantees guards against a reservation of an idle rack that
// is guaranteed to others and never becomes available.
func TestReservationAvoidsGuarantees(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 3, berylscheduler.Options{})
	for _, w := range []string{"w1-00", "w2-00"} {
		m.restoreRunning("busy"+w, "x", "routine", gpus(1), w)
	}
	m.setGuarantees("g", berylconfig.Guarantee{Shape: gpus(8), Count: 3, Adjacent: _rack})
	m.setGuarantees("u", berylconfig.Guarantee{Shape: gpus(7), Count: 2}) // one unit fits beside each busy gang
	m.runSteps(2)
	m.submit("large", "y", "routine", 3, gpus(8), _rack)
	m.runSteps(2)
	st := m.s.State()
	is.Equal(len(st.Unmet), 0)
	is.Equal(st.ReservedFor, "large")
	for _, name := range st.ReservedWorkers {
		is.True(m.workers[name].Domain != "d0") // the only rack where the guarantee of g fits
	}
}

// TestBackfillIsPreempted guards against a reservation that leaves its workers idle,
// and against backfill that delays the holder of the reservation.
func TestBackfillIsPreempted(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 1, berylscheduler.Options{})
	m.submit("first", "x", "routine", 1, gpus(8), _anywhere)
	m.runSteps(1)
	m.submit("large", "y", "routine", 3, gpus(8), _rack)
	m.runSteps(1)
	is.Equal(m.s.State().ReservedFor, "large")
	m.submit("firm", "x", "routine", 1, gpus(1), _anywhere)
	m.submit("fill", "x", "batch", 2, gpus(8), _anywhere)
	m.runSteps(1)
	is.True(!m.jobs["firm"].placed()) // it could not be preempted
	is.True(m.jobs["fill"].placed())
	m.endGang("first", true, "")
	m.runSteps(2)
	is.True(m.jobs["large"].placed())
	is.True(!m.jobs["fill"].placed())
}

// TestReservationLendsToShortWork guards against small non-preemptible jobs that wait beside
// idle workers until a far end because a gang holds the reservation, and against such a job
// that is only declared to be short.
func TestReservationLendsToShortWork(t *testing.T) {
	tests := []struct {
		name  string
		learn time.Duration // The run time of earlier jobs of the class; zero if there are none.
		want  bool
	}{
		{name: "ends before", learn: time.Minute, want: true},
		{name: "ends after", learn: 2 * time.Hour},
		{name: "declared only"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newRacks(t, 1, berylscheduler.Options{})
			for i := range 12 {
				if tt.learn == 0 {
					break
				}
				id := "earlier" + strconv.Itoa(i)
				m.submit(id, "x", "routine", 1, gpus(1), _anywhere)
				m.runSteps(1)
				m.advance(tt.learn)
				m.endGang(id, true, "")
			}
			m.restoreRunning("busy", "y", "mapping", gpus(1), "w0-00", "w0-01", "w0-02")
			m.submit("large", "y", "routine", 3, gpus(8), _anywhere)
			m.runSteps(2)
			is.Equal(m.s.State().ReservedFor, "large")
			m.submit("small", "x", "routine", 1, gpus(1), _anywhere)
			m.jobs["small"].Declared = berylduration.Duration(time.Second)
			m.runSteps(2)
			is.Equal(m.jobs["small"].placed(), tt.want)
			if tt.want {
				m.endGang("small", true, "")
			}
			m.endGang("busy", true, "")
			m.runSteps(2)
			is.True(m.jobs["large"].placed())
		})
	}
}

// TestReservedGangsDoNotPreemptEachOther guards against a gang that counts as backfill
// of the next reservation because it had to wait for others to stop. Two such gangs
// then preempt each other without end.
func TestReservedGangsDoNotPreemptEachOther(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 1, berylscheduler.Options{})
	m.submit("first", "x", "routine", 1, gpus(8), _anywhere)
	m.runSteps(1)
	m.submit("one", "y", "batch", 3, gpus(8), _rack)
	m.advance(time.Second)
	m.submit("two", "y", "batch", 3, gpus(8), _rack)
	m.runSteps(1)
	m.submit("fill", "x", "batch", 2, gpus(8), _anywhere)
	m.runSteps(1)
	is.True(m.jobs["fill"].placed())
	m.endGang("first", true, "")
	m.runSteps(10)
	is.True(m.jobs["one"].placed())
	is.Equal(m.jobs["one"].starts, 1)
	is.Equal(m.jobs["two"].starts, 0)
}

// TestReclaimStopsLeastWork guards against a reclaim that stops more work than needed,
// part of a gang, or the gang that loses more work.
func TestReclaimStopsLeastWork(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 1, berylscheduler.Options{})
	m.setGuarantees("g", berylconfig.Guarantee{Shape: gpus(8), Count: 2})
	m.submit("two", "x", "batch", 2, gpus(8), _anywhere)
	m.submit("one", "x", "quick", 1, gpus(8), _anywhere)
	m.runSteps(2)
	is.True(m.jobs["two"].placed() && m.jobs["one"].placed()) // both borrow guaranteed capacity
	m.submit("firm", "x", "routine", 1, gpus(1), _anywhere)
	m.submit("mine", "g", "routine", 1, gpus(8), _anywhere)
	m.decide()
	is.True(m.jobs["one"].preemption != nil)
	is.True(m.jobs["two"].preemption == nil)
	m.stopPreempted()
	m.decide()
	is.True(m.jobs["mine"].placed())
	is.True(!m.jobs["firm"].placed()) // the rest is guaranteed or in use
}

// TestNonPreemptibleWorkAvoidsGuarantees guards against work without checkpoints on
// guaranteed capacity. With NoGuarantee set, such work fills all workers.
func TestNonPreemptibleWorkAvoidsGuarantees(t *testing.T) {
	tests := []struct {
		give berylscheduler.Options
		want int
	}{
		{want: 1},
		{give: berylscheduler.Options{NoGuarantee: true}, want: 3},
	}
	for _, tt := range tests {
		is := is.New(t)
		m := newModel(t, tt.give)
		m.addWorkers(1, 3)
		m.setGuarantees("g", berylconfig.Guarantee{Shape: gpus(8), Count: 2})
		for i := range 3 {
			m.submit(fmt.Sprintf("firm%d", i), "x", "routine", 1, gpus(8), _anywhere)
		}
		m.runSteps(1)
		is.Equal(len(m.placedIDs()), tt.want)
	}
}

// TestSpareSurvivesOutage guards against a spare guarantee that can't be met during
// the outage of one failure domain.
func TestSpareSurvivesOutage(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 3, berylscheduler.Options{})
	m.setGuarantees("g", berylconfig.Guarantee{Shape: gpus(8), Count: 3, Spare: true})
	for i := range 9 {
		m.submit(fmt.Sprintf("firm%d", i), "x", "routine", 1, gpus(8), _anywhere)
	}
	m.runSteps(1)
	is.Equal(len(m.s.State().Unmet), 0)
	for _, d := range []string{"d0", "d1", "d2"} {
		free := 0
		for name, w := range m.workers {
			if _, held := m.usage()[name]; !held && w.Domain != d {
				free++
			}
		}
		is.True(free >= 3) // the units fit on the other domains
	}
	is.Equal(len(m.placedIDs()), 4) // 9 workers less 3 units and 2 spares for the domain with the most units
}

// TestOutageEvacuatesDomain guards against work that starts in a failure domain that
// is out, is stopped there before it fits elsewhere, or stays beyond the grace time;
// and against all capacity returning at once.
func TestOutageEvacuatesDomain(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 2, berylscheduler.Options{})
	m.restoreRunning("soon", "x", "soon", gpus(8), "w0-00")
	m.restoreRunning("batch", "x", "batch", gpus(8), "w0-01")
	m.restoreRunning("fixed", "x", "routine", gpus(8), "w0-02")
	m.restoreRunning("full", "x", "routine", gpus(8), "w1-00", "w1-01")
	m.runSteps(1)
	setOut := func(out bool) {
		m.changeConfig(func(c *berylconfig.Config) {
			c.Domains["d0"] = berylconfig.FailureDomain{Out: out, Grace: berylduration.Duration(5 * time.Minute)}
		})
	}
	setOut(true)
	acts := m.decide()
	is.Equal(len(acts), 2) // both can be checkpointed, and each alone fits elsewhere
	is.Equal(acts[0].(berylscheduler.Preempt).Job, "soon")
	m.stopPreempted()
	m.runSteps(3)
	is.True(m.jobs["soon"].placed())
	m.advance(5 * time.Minute)
	m.decide()
	is.True(m.jobs["fixed"].preemption != nil)
	is.True(!m.jobs["fixed"].preemption.Checkpoint)
	m.stopPreempted()
	m.runSteps(1)
	setOut(false)
	m.runSteps(1)
	is.True(m.s.State().Usable < 6)
	is.Equal(m.s.State().Returning, []string{"d0"})
	m.runSteps(60)
	is.Equal(m.s.State().Usable, 6)
}

// TestSmallDomainRamp guards against a failure domain with fewer workers than steps
// that gets no work in the first steps after an outage.
func TestSmallDomainRamp(t *testing.T) {
	tests := []struct {
		give int
		want []int
	}{
		{give: 1, want: []int{1, 1, 1, 1, 1}},
		{give: 3, want: []int{1, 2, 2, 3, 3}},
		{give: 5, want: []int{1, 2, 3, 4, 5}},
	}
	for _, tt := range tests {
		t.Run(strconv.Itoa(tt.give), func(t *testing.T) {
			is := is.New(t)
			m := newModel(t, berylscheduler.Options{})
			m.addWorkers(1, tt.give)
			m.changeConfig(nil)
			m.runSteps(1)
			for _, out := range []bool{true, false} {
				m.changeConfig(func(c *berylconfig.Config) {
					c.Domains["d0"] = berylconfig.FailureDomain{Out: out}
				})
			}
			for _, want := range tt.want {
				m.runSteps(1)
				is.Equal(m.s.State().Usable, want)
				m.advance(9 * time.Second)
			}
		})
	}
}

// TestRejectInfeasible guards against jobs that can never run and wait for ever, and
// against the rejection of jobs that fit on workers that are missing for a short time.
func TestRejectInfeasible(t *testing.T) {
	tests := []struct {
		name  string
		tasks int
		gpus  int
		a     beryladjacency.Adjacency
		quota int
		lost  bool
		wait  time.Duration
		want  string
	}{
		{name: "too early", tasks: 4, gpus: 8, a: _rack, wait: time.Minute},
		{name: "rack too small", tasks: 4, gpus: 8, a: _rack, wait: 6 * time.Minute, want: "do not fit on the known workers"},
		{name: "shape too large", tasks: 1, gpus: 16, wait: 6 * time.Minute, want: "do not fit on the known workers"},
		{name: "above quota", tasks: 2, gpus: 8, quota: 8, want: "quota"},
		{name: "too many tasks", tasks: 513, gpus: 1, want: "tasks 513"},
		{name: "worker away", tasks: 3, gpus: 8, a: _rack, lost: true, wait: 6 * time.Minute},
		{name: "worker gone", tasks: 3, gpus: 8, a: _rack, lost: true, wait: 12 * time.Minute, want: "do not fit on the known workers"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newRacks(t, 1, berylscheduler.Options{})
			m.changeConfig(func(c *berylconfig.Config) {
				c.Accounts["x"] = berylconfig.ClientAccount{Quota: berylshape.Shape{Accelerators: tt.quota}}
			})
			m.runSteps(1)
			if tt.lost {
				m.advance(4 * time.Minute)
				m.lost["w0-00"] = true
				m.handle(berylscheduler.WorkerLost{Worker: "w0-00"})
			}
			m.submit("a", "x", "routine", tt.tasks, gpus(tt.gpus), tt.a)
			m.decide()
			m.advance(tt.wait)
			if tt.lost {
				m.advance(-4 * time.Minute)
			}
			m.decide()
			got := m.jobs["a"].rejected
			is.True(strings.Contains(got, tt.want))
			is.Equal(got == "", tt.want == "")
		})
	}
}

// TestLateReportedOnce guards against missed targets that are not reported or are
// reported again.
func TestLateReportedOnce(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 1, berylscheduler.Options{})
	m.restoreRunning("full", "x", "routine", gpus(8), "w0-00", "w0-01", "w0-02")
	m.submit("a", "x", "soon", 1, gpus(8), _anywhere)
	m.submit("b", "x", "urgent", 1, gpus(8), _anywhere)
	m.runSteps(1)
	is.Equal(len(m.late), 0)
	m.runSteps(3)
	is.Equal(m.late, map[string]int{"b": 1})
	m.advance(2 * time.Hour)
	m.runSteps(5)
	is.Equal(m.late, map[string]int{"a": 1, "b": 1})
	is.Equal(m.s.State().Waiting, 2) // late jobs stay in the queue
}

// TestQuota guards against an account that holds more than its quota.
func TestQuota(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 1, berylscheduler.Options{})
	m.changeConfig(func(c *berylconfig.Config) {
		c.Accounts["x"] = berylconfig.ClientAccount{Quota: gpus(8)}
	})
	for i := range 4 {
		m.submit(fmt.Sprintf("x%d", i), "x", "routine", 1, gpus(4), _anywhere)
	}
	m.submit("y", "y", "routine", 1, gpus(4), _anywhere)
	m.runSteps(1)
	is.Equal(m.placedIDs(), []string{"x0", "x1", "y"}) // other accounts are not blocked
	m.endGang("x0", true, "")
	m.runSteps(1)
	is.Equal(m.placedIDs(), []string{"x1", "x2", "y"})
}

// TestQuarantineFailingWorker guards against a worker that fails every job and gets
// more work because it is always free, and against the rejection of these jobs.
func TestQuarantineFailingWorker(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 1, berylscheduler.Options{})
	probes := 0
	for i := range 60 {
		id := fmt.Sprintf("j%02d", i)
		m.submit(id, "x", "routine", 1, gpus(8), _anywhere)
		for _, a := range m.decide() {
			if _, ok := a.(berylscheduler.Probe); ok {
				probes++
			}
		}
		m.startGangs()
		for _, id := range m.placedIDs() {
			if on := m.jobs[id].members[0].Agent; on == "w0-00" {
				m.endGang(id, false, on)
			} else {
				m.endGang(id, true, "")
			}
		}
		m.advance(10 * time.Second)
	}
	is.Equal(m.s.State().Quarantine, []string{"w0-00"})
	is.True(probes > 0)
	for _, r := range m.jobs {
		is.Equal(r.rejected, "")
	}
}

// TestFailingJobIsRejected guards against a job that fails on every worker and is
// retried for ever, or causes the quarantine of healthy workers.
func TestFailingJobIsRejected(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 3, berylscheduler.Options{})
	m.submit("bad", "x", "routine", 1, gpus(8), _anywhere)
	for i := range 10 {
		m.submit(fmt.Sprintf("j%02d", i), "x", "routine", 1, gpus(8), _anywhere)
		m.decide()
		m.startGangs()
		for _, id := range m.placedIDs() {
			r := m.jobs[id]
			if on := r.members[0].Agent; id == "bad" {
				r.Blamed = append(r.Blamed, on)
				m.endGang(id, false, on)
			} else {
				m.endGang(id, true, "")
			}
		}
		m.advance(10 * time.Second)
	}
	is.True(strings.Contains(m.jobs["bad"].rejected, "failed on 3 workers"))
	is.Equal(len(m.s.State().Quarantine), 0)
}

// TestReportedUsage guards against placements on a worker that is filled by unknown
// work, and against acting on a single report, which may be stale.
func TestReportedUsage(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 1, berylscheduler.Options{})
	report := func(n int) {
		for name := range m.workers {
			m.handle(berylscheduler.UsageReported{Worker: name, Used: gpus(n)})
		}
	}
	report(6)
	m.submit("a", "x", "routine", 1, gpus(8), _anywhere)
	m.runSteps(1)
	is.True(m.jobs["a"].placed())
	report(0)
	report(6)
	report(6)
	m.submit("b", "x", "routine", 1, gpus(4), _anywhere)
	m.runSteps(1)
	is.True(!m.jobs["b"].placed())
	report(0)
	m.runSteps(1)
	is.True(m.jobs["b"].placed())
}

// TestCompactionFreesGuarantee guards against a guarantee that has no place because a
// few gangs fragment the capacity.
func TestCompactionFreesGuarantee(t *testing.T) {
	tests := []struct {
		give berylscheduler.Options
		want int
	}{
		{want: 0},
		{give: berylscheduler.Options{NoCompaction: true}, want: 1},
	}
	for _, tt := range tests {
		is := is.New(t)
		m := newModel(t, tt.give)
		m.addWorkers(2, 3)
		m.setGuarantees("x", berylconfig.Guarantee{Shape: gpus(4), Count: 2})
		m.restoreRunning("x0", "x", "batch", gpus(4), "w0-00")
		m.restoreRunning("x1", "x", "batch", gpus(4), "w1-00")
		m.runSteps(1)
		m.setGuarantees("y", berylconfig.Guarantee{Shape: gpus(8), Count: 3, Adjacent: _rack})
		m.runSteps(5)
		is.Equal(len(m.s.State().Unmet), tt.want)
		is.True(m.jobs["x0"].placed() && m.jobs["x1"].placed())
	}
}

// TestRestartRestoresGangs guards against a new leader that ignores the resources of
// running gangs.
func TestRestartRestoresGangs(t *testing.T) {
	is := is.New(t)
	m := newModel(t, berylscheduler.Options{})
	m.restoreRunning("g0", "g", "routine", gpus(8), "w0-00", "w0-01") // before its workers register
	m.addWorkers(1, 3)
	m.setGuarantees("g", berylconfig.Guarantee{Shape: gpus(8), Count: 2})
	m.submit("a", "x", "routine", 1, gpus(8), _anywhere)
	m.submit("b", "x", "routine", 1, gpus(8), _anywhere)
	m.runSteps(1)
	is.Equal(len(m.s.State().Unmet), 0) // the running gang uses the guarantee
	is.Equal(m.placedIDs(), []string{"a", "g0"})
}

// TestAgeingPreventsStarvation guards against best-effort work that starves behind a
// stream of work with targets.
func TestAgeingPreventsStarvation(t *testing.T) {
	tests := []struct {
		give berylscheduler.Options
		want bool
	}{
		{want: true},
		{give: berylscheduler.Options{NoAgeing: true}},
	}
	for _, tt := range tests {
		is := is.New(t)
		m := newRacks(t, 1, tt.give)
		m.submit("old", "x", "routine", 1, gpus(8), _anywhere)
		m.restoreRunning("full", "x", "routine", gpus(8), "w0-00", "w0-01", "w0-02")
		for i := range 200 {
			for k := range 4 {
				m.submit(fmt.Sprintf("s%03d%d", i, k), "y", "soon", 1, gpus(8), _anywhere)
			}
			for _, id := range m.placedIDs() {
				m.endGang(id, true, "")
			}
			m.runSteps(1)
			m.advance(10 * time.Minute)
		}
		is.Equal(m.jobs["old"].starts > 0, tt.want)
	}
}

// TestPlacementAvoidsFragmentation guards against small jobs that fragment workers
// which a large gang needs as a whole.
func TestPlacementAvoidsFragmentation(t *testing.T) {
	tests := []struct {
		give berylscheduler.Options
		want bool
	}{
		{want: true},
		{give: berylscheduler.Options{NoFragmentation: true}},
	}
	for _, tt := range tests {
		is := is.New(t)
		m := newRacks(t, 2, tt.give)
		m.restoreRunning("half", "x", "routine", gpus(6), "w1-02")
		m.submit("small", "x", "routine", 1, gpus(2), _anywhere)
		m.runSteps(1)
		m.submit("l0", "y", "routine", 3, gpus(8), _rack)
		m.submit("l1", "y", "routine", 2, gpus(8), _rack)
		m.runSteps(1)
		is.Equal(m.jobs["l0"].placed() && m.jobs["l1"].placed(), tt.want)
	}
}

// TestOverdueCheckpointIsKilled guards against a checkpoint that never completes and
// blocks a reclaim.
func TestOverdueCheckpointIsKilled(t *testing.T) {
	is := is.New(t)
	m := newRacks(t, 1, berylscheduler.Options{})
	m.submit("low", "x", "quick", 3, gpus(8), _anywhere)
	m.runSteps(1)
	m.setGuarantees("g", berylconfig.Guarantee{Shape: gpus(8), Count: 1})
	m.submit("mine", "g", "routine", 1, gpus(8), _anywhere)
	m.decide()
	is.True(m.jobs["low"].preemption.Checkpoint)
	m.advance(20 * time.Second)
	m.decide()
	is.True(!m.jobs["low"].preemption.Checkpoint)
}
