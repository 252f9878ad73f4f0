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

// bench is a worker whose clock a test moves, and the client that talks to it.
type bench struct {
	start  time.Time
	passed atomic.Int64
	stand  *berylstandworker.Server
	worker *berylworker.Client
	url    string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{start: time.Now()}
	b.stand = berylstandworker.New(berylstandworker.Settings{
		Total:    berylshape.Shape{Cores: 4, Memory: 8 * berylsize.GB},
		UsageLag: berylduration.Duration(5 * time.Second),
	}, func() time.Time { return b.start.Add(time.Duration(b.passed.Load())) })
	srv := httptest.NewServer(b.stand)
	t.Cleanup(srv.Close)
	b.url = srv.URL
	b.worker = berylworker.New(srv.URL)
	t.Cleanup(b.worker.Close)
	return b
}

func (b *bench) after(d time.Duration) { b.passed.Add(int64(d)) }

func newTask(id, payload string) berylworker.Task {
	return berylworker.Task{
		ID: id, Payload: payload, Lease: berylduration.Duration(_lease),
		Labels: map[string]string{"job": "j/1"},
		Shape:  berylshape.Shape{Cores: 1, Memory: 2 * berylsize.GB},
	}
}

// Guards against tasks that end in another way or at another time than their
// payload, lease and limits say.
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
		{name: "lease over", payload: "run=1h", want: berylworker.Expired, after: _lease},
		{name: "within memory", payload: "run=4s mem=2GB", want: berylworker.Done, after: 4 * time.Second},
		{name: "memory passed", payload: "run=4s mem=4GB", want: berylworker.Exceeded, after: 2 * time.Second},
		{name: "memory passed without run time", payload: "mem=4GB", want: berylworker.Exceeded, after: 500 * time.Millisecond},
		{name: "slow", payload: "run=2s", faults: berylstandworker.Faults{SlowFactor: 3}, want: berylworker.Done, after: 6 * time.Second},
		{name: "fails all", payload: "run=1h", faults: berylstandworker.Faults{Fail: true}, want: berylworker.Failed, after: 10 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.stand.SetFaults(tt.faults)
			is.NoErr(b.worker.Start(context.Background(), newTask("t", tt.payload)))
			b.after(tt.after - 1)
			is.Equal(b.stand.Ledger()[0].State, berylworker.Running)
			b.after(time.Minute)
			record := b.stand.Ledger()[0]
			is.Equal(record.State, tt.want)
			is.Equal(record.End.Sub(record.Start), tt.after)
		})
	}
}

// Guards against a protocol whose two sides differ, and against requests that
// are not idempotent.
func TestProtocol(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	ctx := context.Background()
	for range 2 {
		is.NoErr(b.worker.Start(ctx, newTask("j/1 0", "run=15s mem=2GB")))
	}
	b.after(6 * time.Second)
	is.NoErr(b.worker.Renew(ctx, "j/1 0", _lease))
	is.NoErr(b.worker.Throttle(ctx, "j/1 0"))
	is.NoErr(b.worker.Checkpoint(ctx, "j/1 0"))
	usage, err := b.worker.Usage(ctx)
	is.NoErr(err)
	is.Equal(usage.Used.Cores, 1)
	is.Equal(usage.Used.Memory, 2*berylsize.GB/15) // what it was 5 s ago

	b.after(9 * time.Second)
	list, err := b.worker.Tasks(ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].State, berylworker.Running)
	is.Equal(list[0].Labels["job"], "j/1")
	for range 2 {
		is.NoErr(b.worker.Stop(ctx, "j/1 0"))
	}
	is.Equal(berylerror.Of(b.worker.Renew(ctx, "j/1 0", _lease)), berylerror.Missing)
	is.Equal(berylerror.Of(b.worker.Start(ctx, newTask("j/1 0", ""))), berylerror.Conflict)
	is.Equal(berylerror.Of(b.worker.Stop(ctx, "other")), berylerror.Missing)
	is.Equal(b.stand.Ledger()[0].Checkpoints, 1)
	b.after(2 * time.Minute)
	list, err = b.worker.Tasks(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
}

// Guards against a worker that takes more than it has, and against an outage
// that looks like a refusal by the task's fault.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	ctx := context.Background()
	for _, id := range []string{"1", "2", "3", "4"} {
		is.NoErr(b.worker.Start(ctx, newTask(id, "")))
	}
	is.Equal(berylerror.Of(b.worker.Start(ctx, newTask("5", ""))), berylerror.Conflict)
	is.Equal(berylerror.Of(b.worker.Start(ctx, newTask("6", "run=x"))), berylerror.Conflict)
	is.NoErr(b.worker.Stop(ctx, "4"))
	is.Equal(berylerror.Of(b.worker.Start(ctx, newTask("6", "run=x"))), berylerror.Invalid)
	b.stand.SetFaults(berylstandworker.Faults{Down: true})
	_, err := b.worker.Tasks(ctx)
	is.Equal(berylerror.Of(err), berylerror.Unavailable)
	down := berylworker.New("http://127.0.0.1:1")
	is.Equal(berylerror.Of(down.Start(ctx, newTask("7", ""))), berylerror.NotRun)
}
