package berylstandworker_test

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
	"berylglade/berylsize"
	"berylglade/berylstandworker"
	"berylglade/berylworker"
)

const _lease = 10 * time.Second

// fixture has a worker whose clock the test advances, and a client for it.
type fixture struct {
	start   time.Time
	elapsed atomic.Int64
	server  *berylstandworker.Server
	worker  *berylworker.Client
	url     string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{start: time.Now()}
	f.server = berylstandworker.New(berylstandworker.Settings{
		Total:    berylshape.Shape{Cores: 4, Memory: 8 * berylsize.GB},
		UsageLag: berylduration.Duration(5 * time.Second),
	}, func() time.Time { return f.start.Add(time.Duration(f.elapsed.Load())) })
	srv := httptest.NewServer(f.server)
	t.Cleanup(srv.Close)
	f.url = srv.URL
	f.worker = berylworker.New(srv.URL)
	t.Cleanup(f.worker.Close)
	return f
}

func (f *fixture) advance(d time.Duration) { f.elapsed.Add(int64(d)) }

func newTask(id, payload string) berylworker.Task {
	return berylworker.Task{
		ID: id, Payload: payload, Lease: berylduration.Duration(_lease),
		Labels: map[string]string{"job": "j/1"},
		Shape:  berylshape.Shape{Cores: 1, Memory: 2 * berylsize.GB},
	}
}

// Guards against tasks whose end differs in state or time from what payload, lease
// and memory limit require.
func TestEnds(t *testing.T) {
	tests := []struct {
		name    string
		payload string
		faults  berylstandworker.Faults
		want    berylworker.State
		after   time.Duration
	}{
		{name: "done", payload: "run=2s", want: berylworker.Done, after: 2 * time.Second},
		{name: "failed", payload: "run=2s fail", want: berylworker.Failed, after: 2 * time.Second},
		{name: "lease expired", payload: "run=1h", want: berylworker.Expired, after: _lease},
		{name: "within memory", payload: "run=4s mem=2GB", want: berylworker.Done, after: 4 * time.Second},
		{name: "memory limit exceeded", payload: "run=4s mem=4GB", want: berylworker.Exceeded, after: 2 * time.Second},
		{name: "memory limit exceeded without run time", payload: "mem=4GB", want: berylworker.Exceeded, after: 500 * time.Millisecond},
		{name: "slow", payload: "run=2s", faults: berylstandworker.Faults{SlowFactor: 3}, want: berylworker.Done, after: 6 * time.Second},
		{name: "every task fails", payload: "run=1h", faults: berylstandworker.Faults{Fail: true}, want: berylworker.Failed, after: 10 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.server.SetFaults(tt.faults)
			is.NoErr(f.worker.Start(context.Background(), newTask("t", tt.payload)))
			f.advance(tt.after - 1)
			is.Equal(f.server.Ledger()[0].State, berylworker.Running)
			f.advance(time.Minute)
			record := f.server.Ledger()[0]
			is.Equal(record.State, tt.want)
			is.Equal(record.End.Sub(record.Start), tt.after)
		})
	}
}

// Guards against a protocol in which client and stand-in differ, and against
// start and stop requests that are not idempotent.
func TestProtocol(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ctx := context.Background()
	for range 2 {
		is.NoErr(f.worker.Start(ctx, newTask("j/1 0", "run=15s mem=2GB")))
	}
	f.advance(6 * time.Second)
	is.NoErr(f.worker.Renew(ctx, "j/1 0", _lease))
	is.NoErr(f.worker.Throttle(ctx, "j/1 0"))
	is.NoErr(f.worker.Checkpoint(ctx, "j/1 0"))
	usage, err := f.worker.Usage(ctx)
	is.NoErr(err)
	is.Equal(usage.Used.Cores, 1)
	is.Equal(usage.Used.Memory, 2*berylsize.GB/15) // the use 5 s ago

	f.advance(9 * time.Second)
	list, err := f.worker.Tasks(ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].State, berylworker.Running)
	is.Equal(list[0].Labels["job"], "j/1")
	for range 2 {
		is.NoErr(f.worker.Stop(ctx, "j/1 0"))
	}
	is.Equal(berylerror.Of(f.worker.Renew(ctx, "j/1 0", _lease)), berylerror.Missing)
	is.Equal(berylerror.Of(f.worker.Start(ctx, newTask("j/1 0", ""))), berylerror.Conflict)
	is.Equal(berylerror.Of(f.worker.Stop(ctx, "other")), berylerror.Missing)
	is.Equal(f.server.Ledger()[0].Checkpoints, 1)
	f.advance(2 * time.Minute)
	list, err = f.worker.Tasks(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
}

// Guards against a worker that starts tasks beyond its capacity, and against an
// outage that is reported as if the task were at fault.
func TestRejections(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ctx := context.Background()
	for _, id := range []string{"1", "2", "3", "4"} {
		is.NoErr(f.worker.Start(ctx, newTask(id, "")))
	}
	is.Equal(berylerror.Of(f.worker.Start(ctx, newTask("5", ""))), berylerror.Conflict)
	is.Equal(berylerror.Of(f.worker.Start(ctx, newTask("6", "run=x"))), berylerror.Conflict)
	is.NoErr(f.worker.Stop(ctx, "4"))
	is.Equal(berylerror.Of(f.worker.Start(ctx, newTask("6", "run=x"))), berylerror.Invalid)
	f.server.SetFaults(berylstandworker.Faults{Down: true})
	_, err := f.worker.Tasks(ctx)
	is.Equal(berylerror.Of(err), berylerror.Unavailable)
	down := berylworker.New("http://127.0.0.1:1")
	is.Equal(berylerror.Of(down.Start(ctx, newTask("7", ""))), berylerror.NotRun)
}
