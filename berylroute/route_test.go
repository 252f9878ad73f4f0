package berylroute

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/berylmember"
	"berylglade/berylmessage"
)

func member(name, domain string, busy int) berylmember.Member {
	return berylmember.Member{
		Heartbeat: berylmessage.Heartbeat{Agent: name, Incarnation: "i", Addr: name + ":1", Domain: domain, Slots: 8, Busy: busy},
		LastSeen:  time.Unix(1, 0),
		State:     berylmember.Alive,
	}
}

// TestChoose guards against calls to unusable agents, and against choices that
// ignore load or latency.
func TestChoose(t *testing.T) {
	suspect, draining, leaving, worker := member("a1", "d1", 0), member("a1", "d1", 0), member("a1", "d1", 0), member("a1", "d1", 0)
	suspect.State = berylmember.Suspect
	draining.Draining = true
	leaving.Leaving = true
	worker.Slots = 0
	tests := []struct {
		name    string
		give    []berylmember.Member
		latency map[string]time.Duration
		out     []string
		exclude []string
		want    string
	}{
		{name: "no agents"},
		{name: "suspect", give: []berylmember.Member{suspect}},
		{name: "draining", give: []berylmember.Member{draining}},
		{name: "leaving", give: []berylmember.Member{leaving}},
		{name: "no backend server", give: []berylmember.Member{worker}},
		{name: "failure domain out", give: []berylmember.Member{member("a1", "d1", 0)}, out: []string{"d1"}},
		{name: "failure domain not in the configuration", give: []berylmember.Member{member("a1", "d9", 0)}, want: "a1"},
		{name: "least load", give: []berylmember.Member{member("a1", "d1", 7), member("a2", "d1", 1)}, want: "a2"},
		{
			name: "lower latency", give: []berylmember.Member{member("a1", "d1", 0), member("a2", "d2", 0)},
			latency: map[string]time.Duration{"d1": 1500 * time.Microsecond}, want: "a2",
		},
		{
			name: "higher latency but less load", give: []berylmember.Member{member("a1", "d1", 0), member("a2", "d2", 8)},
			latency: map[string]time.Duration{"d1": 1500 * time.Microsecond}, want: "a1",
		},
		{name: "excluded", give: []berylmember.Member{member("a1", "d1", 0), member("a2", "d1", 8)}, exclude: []string{"a1"}, want: "a2"},
		{name: "only excluded agents", give: []berylmember.Member{member("a1", "d1", 0)}, exclude: []string{"a1"}, want: "a1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := &berylconfig.Config{Domains: map[string]berylconfig.FailureDomain{}}
			for _, d := range tt.out {
				cfg.Domains[d] = berylconfig.FailureDomain{Out: true}
			}
			r := Router{Latency: tt.latency}
			r.Update(tt.give, cfg)
			got, err := r.Choose(time.Now(), tt.exclude)
			if tt.want == "" {
				is.Equal(berylerror.Of(err), berylerror.NotRun)
				return
			}
			is.NoErr(err)
			is.Equal(got.Agent, tt.want)
		})
	}
}

// TestEjection guards against sending calls to a backend server that fails or is
// slow, and against never using it again.
func TestEjection(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		took    time.Duration
		calls   int
		want    bool
	}{
		{name: "failing", outcome: Failure, took: time.Millisecond, calls: _failuresToEject, want: true},
		{name: "few failures", outcome: Failure, took: time.Millisecond, calls: _failuresToEject - 1},
		{name: "slow", outcome: OK, took: time.Second, calls: _slowSamples, want: true},
		{name: "refused", outcome: Refused, took: time.Millisecond, calls: 100},
		{name: "abandoned", outcome: Abandoned, took: time.Second, calls: 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			var r Router
			r.Update([]berylmember.Member{member("a1", "d", 0), member("a2", "d", 0), member("a3", "d", 0)}, &berylconfig.Config{})
			finish := func(name string, o Outcome, took time.Duration) {
				p, err := r.Choose(now, without(name))
				is.NoErr(err)
				is.Equal(p.Agent, name)
				r.Done(now, p, o, took)
			}
			for range _slowSamples {
				finish("a2", OK, 30*time.Millisecond)
				finish("a3", OK, 30*time.Millisecond)
			}
			for range tt.calls {
				finish("a1", tt.outcome, tt.took)
			}
			is.Equal(slices.Contains(r.Ejected(now), "a1"), tt.want)
			if !tt.want {
				return
			}
			now = now.Add(_firstEjection)
			for range _probationSuccesses {
				finish("a1", OK, time.Millisecond)
			}
			is.Equal(len(r.Ejected(now)), 0)
		})
	}
}

func without(name string) []string {
	return slices.DeleteFunc([]string{"a1", "a2", "a3"}, func(n string) bool { return n == name })
}

// TestSlowCallIsForgotten guards against a backend server that never gets a call again because
// of one slow call, such as the first one after its start: its mean service time could not
// fall.
func TestSlowCallIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var r Router
	r.Update([]berylmember.Member{member("a1", "d", 0), member("a2", "d", 0), member("a3", "d", 0)}, &berylconfig.Config{})
	call := func(took func(agent string) time.Duration, exclude ...string) string {
		p, err := r.Choose(now, exclude)
		is.NoErr(err)
		r.Done(now, p, OK, took(p.Agent))
		return p.Agent
	}
	usual := func(string) time.Duration { return 5 * time.Millisecond }
	calls := func(n int) map[string]int {
		count := map[string]int{}
		for range n {
			count[call(usual)]++
		}
		return count
	}
	call(usual, "a1", "a2")
	call(usual, "a1", "a3")
	call(func(string) time.Duration { return 300 * time.Millisecond }, "a2", "a3")
	is.Equal(calls(50)["a1"], 0)
	now = now.Add(_meanValidity + time.Millisecond)
	is.True(calls(50)["a1"] > 0)
	is.True(calls(50)["a1"] > 0)
}

// TestEjectionKeepsHalf guards against ejecting every backend server when the fault
// is in the requests.
func TestEjectionKeepsHalf(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var r Router
	r.Update([]berylmember.Member{member("a1", "d", 0), member("a2", "d", 0), member("a3", "d", 0)}, &berylconfig.Config{})
	for range 100 {
		p, err := r.Choose(now, nil)
		is.NoErr(err)
		r.Done(now, p, Failure, 0)
	}
	is.Equal(len(r.Ejected(now)), 1)
}

// TestProbationTakesOneCallAtATime guards against a second concurrent call to a
// backend server on probation.
func TestProbationTakesOneCallAtATime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var r Router
	r.Update([]berylmember.Member{member("a1", "d", 0), member("a2", "d", 8), member("a3", "d", 8)}, &berylconfig.Config{})
	for range _failuresToEject {
		p, err := r.Choose(now, without("a1"))
		is.NoErr(err)
		r.Done(now, p, Failure, 0)
	}
	now = now.Add(_firstEjection)
	first, err := r.Choose(now, nil)
	is.NoErr(err)
	is.Equal(first.Agent, "a1")
	second, err := r.Choose(now, nil)
	is.NoErr(err)
	is.True(second.Agent != "a1")
	r.Done(now, first, Failure, 0)
	is.Equal(r.Ejected(now.Add(_firstEjection*3/2)), []string{"a1"})
}

// simulate returns the mean and 99th percentile time of calls at the given load. Three
// entries choose among ten servers with eight slots, which send a heartbeat once a
// second.
func simulate(sample int, load float64) (mean, p99 time.Duration) {
	const entries, servers, slots, calls = 3, 10, 8, 20_000
	service := 20 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	routers := make([]*Router, entries)
	for i := range routers {
		routers[i] = &Router{Sample: sample}
	}
	type flight struct {
		router *Router
		pick   Pick
		end    time.Duration
		took   time.Duration
	}
	free := make([][]time.Duration, servers)
	for i := range free {
		free[i] = make([]time.Duration, slots)
	}
	var flights []flight
	busy := make([]int, servers)
	base := time.Now()
	var at, nextHeartbeat time.Duration
	times := make([]time.Duration, 0, calls)
	interval := float64(service) / (load * servers * slots)
	for range calls {
		at += time.Duration(rng.ExpFloat64() * interval)
		flights = slices.DeleteFunc(flights, func(f flight) bool {
			if f.end > at {
				return false
			}
			i, _ := strconv.Atoi(f.pick.Agent)
			busy[i]--
			f.router.Done(base.Add(f.end), f.pick, OK, f.took)
			return true
		})
		if at >= nextHeartbeat {
			nextHeartbeat = at + time.Second
			var members []berylmember.Member
			for i := range servers {
				m := member(strconv.Itoa(i), "d", busy[i])
				m.LastSeen = base.Add(at)
				members = append(members, m)
			}
			for _, r := range routers {
				r.Update(members, &berylconfig.Config{})
			}
		}
		r := routers[rng.IntN(entries)]
		p, _ := r.Choose(base.Add(at), nil)
		i, _ := strconv.Atoi(p.Agent)
		busy[i]++
		slot := slices.Index(free[i], slices.Min(free[i]))
		begin := max(at, free[i][slot])
		end := begin + time.Duration(rng.ExpFloat64()*float64(service))
		free[i][slot] = end
		took := end - at
		times = append(times, took)
		flights = append(flights, flight{router: r, pick: p, end: end, took: took})
	}
	slices.Sort(times)
	var sum time.Duration
	for _, d := range times {
		sum += d
	}
	return sum / calls, times[calls*99/100]
}

// TestFullScanIsNotWorseThanTwoChoices guards the choice of comparing all agents. It
// was worse than comparing two random ones while entries used only the last
// heartbeat, which is up to a second old.
func TestFullScanIsNotWorseThanTwoChoices(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.5, 0.8, 0.95} {
		scan, scan99 := simulate(0, load)
		two, two99 := simulate(2, load)
		t.Logf("load %.2f: full scan mean %s p99 %s; two choices mean %s p99 %s", load, scan, scan99, two, two99)
		is.True(scan99 <= two99)
		is.True(scan <= two)
	}
}
