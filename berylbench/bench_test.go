package berylbench

import (
	"bytes"
	"context"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylclock"
	"berylglade/beryldump"
	"berylglade/berylerror"
)

// Guards against a report that mixes up routes or levels, or counts errors as
// successful calls.
func TestLatency(t *testing.T) {
	is := is.New(t)
	b := Bench{
		Clock: berylclock.System(),
		Routes: []Route{
			{Name: "fast", Send: func(context.Context) error { time.Sleep(time.Millisecond); return nil }},
			{Name: "slow", Send: func(context.Context) error { time.Sleep(20 * time.Millisecond); return nil }},
			{Name: "broken", Send: func(context.Context) error { return berylerror.NotRun.Errorf("refused") }},
		},
		Levels: []int{1, 4},
		Calls:  20,
		Limit:  10 * time.Second,
		Rounds: 2,
	}
	rows, err := b.Latency(t.Context())
	is.NoErr(err)
	is.Equal(len(rows), 6)
	for i, r := range rows {
		is.Equal(r.Level, b.Levels[i/3])
		is.Equal(r.Route, b.Routes[i%3].Name)
	}
	is.Equal(rows[0].Calls, int64(20))
	is.Equal(rows[0].Ratio50, 1.0)
	is.True(rows[1].P50 >= rows[0].P50)
	is.True(rows[1].P50.Std() >= 19*time.Millisecond)
	is.True(rows[1].Ratio50 > 1)
	is.Equal(rows[2].Calls, int64(0))
	is.Equal(rows[2].Errors["notrun"], int64(20))
	var text bytes.Buffer
	WriteLatency(&text, rows)
	is.Equal(strings.Count(text.String(), "\n"), 7)
}

// Guards against a benchmark that runs past its time limit, or counts calls that
// the limit interrupts.
func TestLatencyLimit(t *testing.T) {
	is := is.New(t)
	b := Bench{
		Clock:  berylclock.System(),
		Routes: []Route{{Name: "stuck", Send: func(ctx context.Context) error { <-ctx.Done(); return nil }}},
		Levels: []int{3},
		Calls:  1000,
		Limit:  50 * time.Millisecond,
		Rounds: 1,
	}
	rows, err := b.Latency(t.Context())
	is.NoErr(err)
	is.Equal(rows[0].Calls, int64(0))
}

// Guards against figures that are not those of the measured process.
func TestIdle(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	l := &beryldump.Listener{Registry: beryldump.NewRegistry()}
	go func() { done <- l.Serve(ctx, lis) }()
	sources := []Source{PID(os.Getpid()), Addr(lis.Addr().String())}
	costs, err := Idle(t.Context(), berylclock.System(), 100*time.Millisecond, sources)
	is.NoErr(err)
	is.Equal(len(costs), 2)
	for _, c := range costs {
		is.True(c.Memory > 1_000_000)
		is.True(c.CPU >= 0)
		is.True(c.Bytes > 0)
	}
	var text bytes.Buffer
	WriteIdle(&text, costs)
	is.Equal(strings.Count(text.String(), "\n"), 4)
	cancel()
	is.NoErr(<-done)
}

// Guards against a wrong error kind for a process that does not exist or can't be
// reached.
func TestIdleMissingProcess(t *testing.T) {
	is := is.New(t)
	_, err := Idle(t.Context(), berylclock.System(), time.Millisecond, []Source{PID(1 << 30)})
	is.Equal(berylerror.Of(err), berylerror.Missing)
	_, err = Idle(t.Context(), berylclock.System(), time.Millisecond, []Source{Addr("127.0.0.1:1")})
	is.Equal(berylerror.Of(err), berylerror.Unavailable)
}
