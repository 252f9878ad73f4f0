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

// newSite has one rack of three workers in each failure domain.
func newSite(t *testing.T, domains int, o berylscheduler.Options) *model {
	m := newModel(t, o)
	m.site(domains, 3)
	m.config(nil)
	return m
}

func (m *model) wait(d time.Duration) { m.now = m.now.Add(d) }

// steps decides and stops preempted gangs once a second.
func (m *model) steps(n int) {
	for range n {
		m.decide()
		m.begin()
		m.stop()
		m.wait(time.Second)
	}
	m.decide()
}

// running restores a gang on given workers, as after a change of the leader.
func (m *model) running(id, account, class string, s berylshape.Shape, on ...string) {
	r := &run{State: beryljob.State{Phase: beryljob.Decided, Attempt: 1, Job: beryljob.Job{
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

// TestUrgent guards against urgent work that waits for work that could be stopped.
func TestUrgent(t *testing.T) {
	tests := []struct {
		give       string
		preempted  bool
		checkpoint bool
	}{
		{give: "quick", preempted: true, checkpoint: true},
		{give: "batch", preempted: true}, // its stop time is longer than the target
		{give: "routine"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			is := is.New(t)
			m := newSite(t, 1, berylscheduler.Options{})
			m.submit("low", "x", tt.give, 3, gpus(8), _anywhere)
			m.steps(2)
			m.submit("now", "y", "urgent", 1, gpus(2), _anywhere)
			m.decide()
			is.Equal(m.jobs["low"].preempt != nil, tt.preempted)
			if tt.preempted {
				is.Equal(m.jobs["low"].preempt.Checkpoint, tt.checkpoint)
				is.True(!m.jobs["now"].placed()) // the capacity is not free yet
				m.stop()
				m.decide()
			}
			is.Equal(m.jobs["now"].placed(), tt.preempted)
		})
	}
}

// stream submits a small firm job every 10 minutes that declares 6 minutes and runs
// for an hour.
func (m *model) stream(hours int, ends map[string]time.Time) {
	for range hours * 6 {
		id := fmt.Sprintf("small%03d", len(m.jobs))
		m.submit(id, "x", "routine", 3, gpus(4), _anywhere)
		m.jobs[id].Declared = berylduration.Duration(6 * time.Minute)
		m.steps(1)
		m.wait(10 * time.Minute)
		for _, id := range m.placedIDs() {
			if strings.HasPrefix(id, "small") && ends[id].IsZero() {
				ends[id] = m.now.Add(time.Hour)
			}
			if !ends[id].IsZero() && m.now.After(ends[id]) {
				m.end(id, true, "")
			}
		}
	}
}

// TestReservation guards against a large gang that starves behind small jobs whose
// run times are declared ten times too short. The reservation must not hold up small
// jobs either, nor wait for an idle rack that is guaranteed to others.
func TestReservation(t *testing.T) {
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
			m := newSite(t, tt.domains, tt.give)
			m.guarantee("g", tt.guarantees...)
			ends := map[string]time.Time{}
			m.stream(2, ends)
			m.submit("large", "y", "routine", 3, gpus(8), _rack)
			m.stream(6, ends)
			is.Equal(m.jobs["large"].starts > 0, tt.want)
			small := 0
			for _, r := range m.jobs {
				small += r.starts
			}
			is.True(small >= 10) // small jobs went on beside the reservation
		})
	}
}

// TestReservationAvoidsGuarantees guards against a reservation that waits for an idle
// rack which is guaranteed to others and never becomes free.
func TestReservationAvoidsGuarantees(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 3, berylscheduler.Options{})
	for _, w := range []string{"w1-00", "w2-00"} {
		m.running("busy"+w, "x", "routine", gpus(1), w)
	}
	m.guarantee("g", berylconfig.Guarantee{Shape: gpus(8), Count: 3, Adjacent: _rack})
	m.guarantee("u", berylconfig.Guarantee{Shape: gpus(7), Count: 2}) // one unit fits beside each busy gang
	m.steps(2)
	m.submit("large", "y", "routine", 3, gpus(8), _rack)
	m.steps(2)
	st := m.s.State()
	is.Equal(len(st.Unmet), 0)
	is.Equal(st.ReservedFor, "large")
	for _, name := range st.ReservedWorkers {
		is.True(m.workers[name].Domain != "d0") // the only rack that g can have
	}
}

// TestBackfillStops guards against a reservation that leaves its workers idle, and
// against backfill that delays its holder.
func TestBackfillStops(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 1, berylscheduler.Options{})
	m.submit("first", "x", "routine", 1, gpus(8), _anywhere)
	m.steps(1)
	m.submit("large", "y", "routine", 3, gpus(8), _rack)
	m.steps(1)
	is.Equal(m.s.State().ReservedFor, "large")
	m.submit("firm", "x", "routine", 1, gpus(1), _anywhere)
	m.submit("fill", "x", "batch", 2, gpus(8), _anywhere)
	m.steps(1)
	is.True(!m.jobs["firm"].placed()) // could not be stopped
	is.True(m.jobs["fill"].placed())
	m.end("first", true, "")
	m.steps(2)
	is.True(m.jobs["large"].placed())
	is.True(!m.jobs["fill"].placed())
}

// TestReservedGangsDoNotStopEachOther guards against a gang that is taken for
// backfill of the next reservation, because it had to wait for others to stop. Two
// such gangs stopped each other for ever.
func TestReservedGangsDoNotStopEachOther(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 1, berylscheduler.Options{})
	m.submit("first", "x", "routine", 1, gpus(8), _anywhere)
	m.steps(1)
	m.submit("one", "y", "batch", 3, gpus(8), _rack)
	m.wait(time.Second)
	m.submit("two", "y", "batch", 3, gpus(8), _rack)
	m.steps(1)
	m.submit("fill", "x", "batch", 2, gpus(8), _anywhere)
	m.steps(1)
	is.True(m.jobs["fill"].placed())
	m.end("first", true, "")
	m.steps(10)
	is.True(m.jobs["one"].placed())
	is.Equal(m.jobs["one"].starts, 1)
	is.Equal(m.jobs["two"].starts, 0)
}

// TestReclaim guards against reclaim that stops more work than needed, parts of a
// gang, or the more expensive gang.
func TestReclaim(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 1, berylscheduler.Options{})
	m.guarantee("g", berylconfig.Guarantee{Shape: gpus(8), Count: 2})
	m.submit("two", "x", "batch", 2, gpus(8), _anywhere)
	m.submit("one", "x", "quick", 1, gpus(8), _anywhere)
	m.steps(2)
	is.True(m.jobs["two"].placed() && m.jobs["one"].placed()) // both borrow
	m.submit("firm", "x", "routine", 1, gpus(1), _anywhere)
	m.submit("mine", "g", "routine", 1, gpus(8), _anywhere)
	m.decide()
	is.True(m.jobs["one"].preempt != nil)
	is.True(m.jobs["two"].preempt == nil)
	m.stop()
	m.decide()
	is.True(m.jobs["mine"].placed())
	is.True(!m.jobs["firm"].placed()) // the rest is guaranteed or held
}

// TestFirmNeverBorrows guards against work without a checkpoint on guaranteed
// capacity, and shows what the check is for.
func TestFirmNeverBorrows(t *testing.T) {
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
		m.site(1, 3)
		m.guarantee("g", berylconfig.Guarantee{Shape: gpus(8), Count: 2})
		for i := range 3 {
			m.submit(fmt.Sprintf("firm%d", i), "x", "routine", 1, gpus(8), _anywhere)
		}
		m.steps(1)
		is.Equal(len(m.placedIDs()), tt.want)
	}
}

// TestSpare guards against a spare guarantee that a failure domain's outage breaks.
func TestSpare(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 3, berylscheduler.Options{})
	m.guarantee("g", berylconfig.Guarantee{Shape: gpus(8), Count: 3, Spare: true})
	for i := range 9 {
		m.submit(fmt.Sprintf("firm%d", i), "x", "routine", 1, gpus(8), _anywhere)
	}
	m.steps(1)
	is.Equal(len(m.s.State().Unmet), 0)
	for _, d := range []string{"d0", "d1", "d2"} {
		free := 0
		for name, w := range m.workers {
			if _, held := m.use()[name]; !held && w.Domain != d {
				free++
			}
		}
		is.True(free >= 3) // the units fit without the domain
	}
	is.Equal(len(m.placedIDs()), 4) // 9 workers less 3 units and 2 spares for the largest domain share
}

// TestDomainOut guards against work that starts in a domain that is out, is stopped
// there before it has room elsewhere, or stays beyond the grace time; and against
// all capacity coming back at once.
func TestDomainOut(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 2, berylscheduler.Options{})
	m.running("soon", "x", "soon", gpus(8), "w0-00")
	m.running("batch", "x", "batch", gpus(8), "w0-01")
	m.running("fixed", "x", "routine", gpus(8), "w0-02")
	m.running("full", "x", "routine", gpus(8), "w1-00", "w1-01")
	m.steps(1)
	out := func(out bool) {
		m.config(func(c *berylconfig.Config) {
			c.Domains["d0"] = berylconfig.FailureDomain{Out: out, Grace: berylduration.Duration(5 * time.Minute)}
		})
	}
	out(true)
	acts := m.decide()
	is.Equal(len(acts), 2) // both can be checkpointed, and there is room for one at a time
	is.Equal(acts[0].(berylscheduler.Preempt).Job, "soon")
	m.stop()
	m.steps(3)
	is.True(m.jobs["soon"].placed())
	m.wait(5 * time.Minute)
	m.decide()
	is.True(m.jobs["fixed"].preempt != nil)
	is.True(!m.jobs["fixed"].preempt.Checkpoint)
	m.stop()
	m.steps(1)
	out(false)
	m.steps(1)
	is.True(m.s.State().Usable < 6)
	is.Equal(m.s.State().Returning, []string{"d0"})
	m.steps(60)
	is.Equal(m.s.State().Usable, 6)
}

// TestSmallDomainBack guards against a failure domain with fewer workers than
// steps that gets no work in the first steps after it is back.
func TestSmallDomainBack(t *testing.T) {
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
			m.site(1, tt.give)
			m.config(nil)
			m.steps(1)
			for _, out := range []bool{true, false} {
				m.config(func(c *berylconfig.Config) {
					c.Domains["d0"] = berylconfig.FailureDomain{Out: out}
				})
			}
			for _, want := range tt.want {
				m.steps(1)
				is.Equal(m.s.State().Usable, want)
				m.wait(9 * time.Second)
			}
		})
	}
}

// TestReject guards against jobs that wait for ever, and against rejecting jobs that
// only wait for workers that are away.
func TestReject(t *testing.T) {
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
			m := newSite(t, 1, berylscheduler.Options{})
			m.config(func(c *berylconfig.Config) {
				c.Accounts["x"] = berylconfig.ClientAccount{Quota: berylshape.Shape{Accelerators: tt.quota}}
			})
			m.steps(1)
			if tt.lost {
				m.wait(4 * time.Minute)
				m.gone["w0-00"] = true
				m.handle(berylscheduler.WorkerLost{Worker: "w0-00"})
			}
			m.submit("a", "x", "routine", tt.tasks, gpus(tt.gpus), tt.a)
			m.decide()
			m.wait(tt.wait)
			if tt.lost {
				m.wait(-4 * time.Minute)
			}
			m.decide()
			got := m.jobs["a"].rejected
			is.True(strings.Contains(got, tt.want))
			is.Equal(got == "", tt.want == "")
		})
	}
}

// TestLateOnce guards against targets that are missed silently, or reported again.
func TestLateOnce(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 1, berylscheduler.Options{})
	m.running("full", "x", "routine", gpus(8), "w0-00", "w0-01", "w0-02")
	m.submit("a", "x", "soon", 1, gpus(8), _anywhere)
	m.submit("b", "x", "urgent", 1, gpus(8), _anywhere)
	m.steps(1)
	is.Equal(len(m.late), 0)
	m.steps(3)
	is.Equal(m.late, map[string]int{"b": 1})
	m.wait(2 * time.Hour)
	m.steps(5)
	is.Equal(m.late, map[string]int{"a": 1, "b": 1})
	is.Equal(m.s.State().Waiting, 2) // late work is not dropped
}

// TestQuota guards against an account that holds more than its quota.
func TestQuota(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 1, berylscheduler.Options{})
	m.config(func(c *berylconfig.Config) {
		c.Accounts["x"] = berylconfig.ClientAccount{Quota: gpus(8)}
	})
	for i := range 4 {
		m.submit(fmt.Sprintf("x%d", i), "x", "routine", 1, gpus(4), _anywhere)
	}
	m.submit("y", "y", "routine", 1, gpus(4), _anywhere)
	m.steps(1)
	is.Equal(m.placedIDs(), []string{"x0", "x1", "y"}) // others are not held up
	m.end("x0", true, "")
	m.steps(1)
	is.Equal(m.placedIDs(), []string{"x1", "x2", "y"})
}

// TestQuarantine guards against a worker that fails everything and gets ever more
// work because it is always free, and against jobs that are blamed for it.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 1, berylscheduler.Options{})
	probes := 0
	for i := range 60 {
		id := fmt.Sprintf("j%02d", i)
		m.submit(id, "x", "routine", 1, gpus(8), _anywhere)
		for _, a := range m.decide() {
			if _, ok := a.(berylscheduler.Probe); ok {
				probes++
			}
		}
		m.begin()
		for _, id := range m.placedIDs() {
			if on := m.jobs[id].members[0].Agent; on == "w0-00" {
				m.end(id, false, on)
			} else {
				m.end(id, true, "")
			}
		}
		m.wait(10 * time.Second)
	}
	is.Equal(m.s.State().Quarantine, []string{"w0-00"})
	is.True(probes > 0)
	for _, r := range m.jobs {
		is.Equal(r.rejected, "")
	}
}

// TestBadJob guards against a job that fails everywhere and runs for ever, or puts
// good workers into quarantine.
func TestBadJob(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 3, berylscheduler.Options{})
	m.submit("bad", "x", "routine", 1, gpus(8), _anywhere)
	for i := range 10 {
		m.submit(fmt.Sprintf("j%02d", i), "x", "routine", 1, gpus(8), _anywhere)
		m.decide()
		m.begin()
		for _, id := range m.placedIDs() {
			r := m.jobs[id]
			if on := r.members[0].Agent; id == "bad" {
				r.Blamed = append(r.Blamed, on)
				m.end(id, false, on)
			} else {
				m.end(id, true, "")
			}
		}
		m.wait(10 * time.Second)
	}
	is.True(strings.Contains(m.jobs["bad"].rejected, "failed on 3 workers"))
	is.Equal(len(m.s.State().Quarantine), 0)
}

// TestUsage guards against placing work on a worker that something unknown fills, and
// against trusting a single report, which may be older than the last change.
func TestUsage(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 1, berylscheduler.Options{})
	report := func(n int) {
		for name := range m.workers {
			m.handle(berylscheduler.UsageReported{Worker: name, Used: gpus(n)})
		}
	}
	report(6)
	m.submit("a", "x", "routine", 1, gpus(8), _anywhere)
	m.steps(1)
	is.True(m.jobs["a"].placed())
	report(0)
	report(6)
	report(6)
	m.submit("b", "x", "routine", 1, gpus(4), _anywhere)
	m.steps(1)
	is.True(!m.jobs["b"].placed())
	report(0)
	m.steps(1)
	is.True(m.jobs["b"].placed())
}

// TestCompaction guards against a guarantee that waits because a few gangs lie badly.
func TestCompaction(t *testing.T) {
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
		m.site(2, 3)
		m.guarantee("x", berylconfig.Guarantee{Shape: gpus(4), Count: 2})
		m.running("x0", "x", "batch", gpus(4), "w0-00")
		m.running("x1", "x", "batch", gpus(4), "w1-00")
		m.steps(1)
		m.guarantee("y", berylconfig.Guarantee{Shape: gpus(8), Count: 3, Adjacent: _rack})
		m.steps(5)
		is.Equal(len(m.s.State().Unmet), tt.want)
		is.True(m.jobs["x0"].placed() && m.jobs["x1"].placed())
	}
}

// TestRestart guards against a new leader that forgets what running gangs hold.
func TestRestart(t *testing.T) {
	is := is.New(t)
	m := newModel(t, berylscheduler.Options{})
	m.running("g0", "g", "routine", gpus(8), "w0-00", "w0-01") // before its workers are seen
	m.site(1, 3)
	m.guarantee("g", berylconfig.Guarantee{Shape: gpus(8), Count: 2})
	m.submit("a", "x", "routine", 1, gpus(8), _anywhere)
	m.submit("b", "x", "routine", 1, gpus(8), _anywhere)
	m.steps(1)
	is.Equal(len(m.s.State().Unmet), 0) // the running gang is the use of the guarantee
	is.Equal(m.placedIDs(), []string{"a", "g0"})
}

// TestAgeing guards against best-effort work that starves behind a stream of work with
// targets.
func TestAgeing(t *testing.T) {
	tests := []struct {
		give berylscheduler.Options
		want bool
	}{
		{want: true},
		{give: berylscheduler.Options{NoAgeing: true}},
	}
	for _, tt := range tests {
		is := is.New(t)
		m := newSite(t, 1, tt.give)
		m.submit("old", "x", "routine", 1, gpus(8), _anywhere)
		m.running("full", "x", "routine", gpus(8), "w0-00", "w0-01", "w0-02")
		for i := range 200 {
			for k := range 4 {
				m.submit(fmt.Sprintf("s%03d%d", i, k), "y", "soon", 1, gpus(8), _anywhere)
			}
			for _, id := range m.placedIDs() {
				m.end(id, true, "")
			}
			m.steps(1)
			m.wait(10 * time.Minute)
		}
		is.Equal(m.jobs["old"].starts > 0, tt.want)
	}
}

// TestFragmentation guards against small jobs that break up whole workers.
func TestFragmentation(t *testing.T) {
	tests := []struct {
		give berylscheduler.Options
		want bool
	}{
		{want: true},
		{give: berylscheduler.Options{NoFragmentation: true}},
	}
	for _, tt := range tests {
		is := is.New(t)
		m := newSite(t, 2, tt.give)
		m.running("half", "x", "routine", gpus(6), "w1-02")
		m.submit("small", "x", "routine", 1, gpus(2), _anywhere)
		m.steps(1)
		m.submit("l0", "y", "routine", 3, gpus(8), _rack)
		m.submit("l1", "y", "routine", 2, gpus(8), _rack)
		m.steps(1)
		is.Equal(m.jobs["l0"].placed() && m.jobs["l1"].placed(), tt.want)
	}
}

// TestOverdueStop guards against a checkpoint that never ends and blocks a reclaim.
func TestOverdueStop(t *testing.T) {
	is := is.New(t)
	m := newSite(t, 1, berylscheduler.Options{})
	m.submit("low", "x", "quick", 3, gpus(8), _anywhere)
	m.steps(1)
	m.guarantee("g", berylconfig.Guarantee{Shape: gpus(8), Count: 1})
	m.submit("mine", "g", "routine", 1, gpus(8), _anywhere)
	m.decide()
	is.True(m.jobs["low"].preempt.Checkpoint)
	m.wait(20 * time.Second)
	m.decide()
	is.True(!m.jobs["low"].preempt.Checkpoint)
}
