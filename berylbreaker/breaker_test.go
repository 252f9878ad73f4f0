package berylbreaker

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func failure(server, step string, works bool) Failure {
	return Failure{Server: server, Servers: 16, Step: step, Works: works}
}

// Runs of two steps fail at once on a server. Guards against a server that gets work while it
// fails all of it, against one that gets none when it has recovered, and against the runs
// that were started before the first failure prolonging the pause.
func TestServerIsProbed(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	var table Table
	is.Equal(table.State(now, "s"), Closed)
	is.True(table.Fail(now, failure("s", "a", true)))
	is.True(!table.Fail(now, failure("s", "b", true)))
	for _, pause := range []time.Duration{500, 1000, 2000, 4000, 4000} {
		is.Equal(table.State(now.Add(pause*time.Millisecond-1), "s"), Open)
		now = now.Add(pause * time.Millisecond)
		is.Equal(table.State(now, "s"), HalfOpen)
		table.Probe(now, "s")
		is.Equal(table.State(now, "s"), Open)
		now = now.Add(50 * time.Millisecond)
		is.True(table.Fail(now, failure("s", "a", true)))
	}
	is.True(!table.Advance("s", now.Add(-time.Second))) // Says nothing of runs that are started now.
	is.True(table.Advance("s", now.Add(time.Second)))
	is.True(table.AllClosed())
	is.Equal(table.State(now, "s"), Closed)
}

// Guards against a server that stays out of use because no work may probe it, or because a
// probe was stopped.
func TestBreakerIsNotOpenForEver(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	var table Table
	table.Fail(now, failure("s", "a", true))
	now = now.Add(_firstPause)
	table.Probe(now, "s")
	is.Equal(table.State(now.Add(_probeTimeout), "s"), HalfOpen)
	is.Equal(table.State(now.Add(_memory), "s"), Closed)
	now = now.Add(_memory)
	is.True(table.Fail(now, failure("s", "a", true)))
	is.Equal(table.State(now.Add(_firstPause), "s"), HalfOpen) // It begins anew.
	table.ForgetServer("s")
	is.True(table.AllClosed())
}

// A step fails at once wherever it runs. Guards against one such job that takes all servers
// out of use, and against one that hides servers on which the work of others fails too.
func TestFaultyStepOpensFewBreakers(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	var table Table
	opened := 0
	for i := range 16 {
		if table.Fail(now, failure("s"+strconv.Itoa(i), "bad", false)) {
			opened++
		}
	}
	is.Equal(opened, 16/_blamedDivisor)
	is.Equal(table.State(now, "s15"), Closed)
	is.True(table.Fail(now, failure("s15", "other", false)))
	is.Equal(table.State(now, "s15"), Open)
}
