package berylspeed_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylspeed"
)

func startTime() time.Time { return time.UnixMilli(1_000_000) }

// observeSteps replays steps of 39 tasks on nine servers, whose speeds repeat, and whose
// work differs by up to uneven.
func observeSteps(table *berylspeed.Table, seed uint64, steps int, speeds []float64, uneven float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	for s := range steps {
		work := 5 + 10*r.Float64()
		var samples []berylspeed.Sample
		for i := range 39 {
			server := r.IntN(9)
			rate := 100 / (work * (1 + uneven*(2*r.Float64()-1))) * speeds[server%len(speeds)]
			samples = append(samples, berylspeed.Sample{Node: strconv.Itoa(server), Run: strconv.Itoa(s) + "." + strconv.Itoa(i), Rate: rate})
		}
		table.Observe(startTime().Add(time.Duration(s)*time.Second), samples)
	}
}

// Routine work runs on servers of different speeds. Guards against speeds that are learned
// too late or wrongly, and against differences that are seen among equal servers.
func TestSpeedsOfSteps(t *testing.T) {
	tests := []struct {
		name   string
		speeds []float64
		uneven float64
		steps  int
	}{
		{name: "three speeds", speeds: []float64{0.6, 1.0, 1.6}, uneven: 0.15, steps: 3},
		{name: "three speeds and uneven tasks", speeds: []float64{0.6, 1.0, 1.6}, uneven: 0.3, steps: 8},
		{name: "some fast", speeds: []float64{1.0, 1.0, 1.4}, uneven: 0.15, steps: 3},
		{name: "equal servers", speeds: []float64{1}, uneven: 0.15, steps: 3},
	}
	// A host's speed has to be known to a class of berylfit.
	const tolerance = 1.3
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				var table berylspeed.Table
				observeSteps(&table, seed, tt.steps, tt.speeds, tt.uneven)
				for server := range 9 {
					want := tt.speeds[server%len(tt.speeds)]
					got := table.Speed(startTime(), strconv.Itoa(server))
					is.True(max(got/want, want/got) <= tolerance)
					if math.Abs(got-want) > tolerance*want {
						t.Log(seed, server, got, want)
					}
				}
			}
		})
	}
}

// equalTasks returns samples of a step of which each server runs two tasks.
func equalTasks(run int, rates map[string]float64) []berylspeed.Sample {
	var samples []berylspeed.Sample
	for node, rate := range rates {
		for i := range 2 {
			samples = append(samples, berylspeed.Sample{Node: node, Run: strconv.Itoa(run) + node + strconv.Itoa(i), Rate: rate})
		}
	}
	return samples
}

// A server changes after its speed was learned. Guards against a fault that is taken for the
// speed of the server, which would hide it, and against a speed that is kept although every
// run contradicts it.
func TestChangeOfServer(t *testing.T) {
	tests := []struct {
		name string
		kind string
		rate float64
		want float64
	}{
		{name: "no change", rate: 16, want: 1.6},
		{name: "fault", rate: 2, want: 1.6},
		{name: "slower from now on", rate: 6, want: 0.6},
		{name: "usual from now on", rate: 10, want: 1},
		{name: "server of another kind", kind: "b", rate: 6, want: 0.6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var table berylspeed.Table
			for run := range 4 {
				table.Observe(startTime(), equalTasks(run, map[string]float64{"n1": 16, "n2": 10, "n3": 10, "n4": 10}))
			}
			for run := 4; run < 8; run++ {
				samples := equalTasks(run, map[string]float64{"n1": tt.rate, "n2": 10, "n3": 10, "n4": 10})
				for i := range samples {
					samples[i].Kind = tt.kind
				}
				table.Observe(startTime(), samples)
			}
			got := table.Speed(startTime(), "n1")
			is.True(math.Abs(got-tt.want) <= 0.1*tt.want)
			is.True(math.Abs(table.Speed(startTime().Add(24*time.Hour), "n1")-berylspeed.Usual) < 0.01) // forgotten in time
		})
	}
}

// Guards against speeds from too few tasks or from one server, of which the others can't be
// told, and against unbounded memory.
func TestBounds(t *testing.T) {
	is := is.New(t)
	var table berylspeed.Table
	table.Observe(startTime(), []berylspeed.Sample{{Node: "n1", Run: "1", Rate: 5}, {Node: "n2", Run: "2", Rate: 10}})
	table.Observe(startTime(), equalTasks(1, map[string]float64{"n1": 5}))
	is.Equal(len(table.Nodes()), 0)
	for i := range 2500 {
		node := strconv.Itoa(i)
		now := startTime().Add(time.Duration(i) * time.Second)
		table.Observe(now, equalTasks(i, map[string]float64{node: 16, "n1": 10, "n2": 10, "n3": 10}))
	}
	is.True(len(table.Nodes()) <= 2048)
	is.True(table.Looks("n1") <= 21)
	is.Equal(table.Looks("0"), 0) // the server that was not seen for longest
}
