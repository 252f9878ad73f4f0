package berylquota

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"
)

// step is one call to a quota with limits of 1,000 bytes.
type step struct {
	// open is the address of a new connection, which gets the next id.
	open string
	// reserve is the number of bytes that the connection id reserves.
	reserve int64
	id      uint64
	account string
	phase   Phase
	finish  bool
	end     bool
	want    Decision
}

func granted() Decision { return Decision{Granted: true} }

func run(q *Quota, now time.Time, s step) Decision {
	switch {
	case s.open != "":
		_, d := q.Open(now, s.open)
		return d
	case s.reserve > 0:
		return q.Reserve(s.id, s.reserve)
	case s.account != "":
		q.SetAccount(s.id, s.account)
	case s.phase != 0:
		q.Enter(now, s.id, s.phase)
	case s.finish:
		q.Finish(now, s.id, 5)
	case s.end:
		q.End(s.id)
	}
	return granted()
}

// Guards against crowds that take the room of others: too much is granted, a wrong
// connection is closed, or a request is cut off that may have taken effect.
func TestQuota(t *testing.T) {
	tests := []struct {
		name  string
		most  int
		steps []step
		conns int
		bytes int64
	}{
		{name: "share of a connection", conns: 1, bytes: 260, steps: []step{
			{open: "a", want: granted()},
			{id: 1, reserve: 250, want: granted()},
			{id: 1, reserve: 1, want: Decision{Reason: ByConnection}},
		}},
		{name: "the oldest incomplete request of the address is closed", conns: 4, bytes: 715, steps: []step{
			{open: "a", want: granted()},
			{open: "a", want: granted()},
			{open: "a", want: granted()},
			{open: "a", want: granted()},
			{id: 4, reserve: 240, want: granted()},
			{id: 3, reserve: 240, want: granted()},
			{id: 2, reserve: 230, want: granted()},
			{id: 2, finish: true, want: granted()},
			{id: 2, reserve: 200, want: granted()},
			{id: 2, reserve: 30, want: Decision{Wait: true, Reason: ByAddress, Close: []uint64{1, 3}}},
			{id: 2, reserve: 30, want: Decision{Wait: true, Reason: ByAddress}},
			{id: 3, end: true, want: granted()},
			{id: 3, reserve: 1, want: Decision{}},
			{id: 2, reserve: 30, want: granted()},
			{open: "a", want: granted()},
			{id: 5, reserve: 200, want: granted()},
		}},
		{name: "a request that may have taken effect is not closed", conns: 3, bytes: 750, steps: []step{
			{open: "a", want: granted()},
			{open: "a", want: granted()},
			{open: "a", want: granted()},
			{id: 1, reserve: 240, want: granted()},
			{id: 2, reserve: 240, want: granted()},
			{id: 3, reserve: 240, want: granted()},
			{id: 1, phase: Serving, want: granted()},
			{id: 2, phase: Serving, want: granted()},
			{id: 3, reserve: 1, want: Decision{Reason: ByAddress}},
		}},
		{name: "the address that holds most gives way", conns: 4, bytes: 760, steps: []step{
			{open: "b", want: granted()},
			{open: "a", want: granted()},
			{open: "a", want: granted()},
			{open: "a", want: granted()},
			{id: 2, reserve: 240, want: granted()},
			{id: 3, reserve: 240, want: granted()},
			{id: 4, reserve: 240, want: granted()},
			{id: 1, reserve: 240, want: granted()},
			{open: "c", want: Decision{Wait: true, Reason: ByMemory, Close: []uint64{2}}},
			{id: 2, end: true, want: granted()},
			{open: "c", want: granted()},
		}},
		{name: "idle connections are closed last, but before requests that may have taken effect", most: 4, conns: 3, bytes: 30, steps: []step{
			{open: "a", want: granted()},
			{open: "a", want: granted()},
			{open: "a", want: granted()},
			{id: 1, phase: Serving, want: granted()},
			{id: 2, phase: Idle, want: granted()},
			{open: "a", want: Decision{Wait: true, Reason: ByAddress, Close: []uint64{3}}},
			{id: 3, end: true, want: granted()},
			{open: "a", want: granted()},
			{id: 4, phase: Serving, want: granted()},
			{open: "a", want: Decision{Wait: true, Reason: ByAddress, Close: []uint64{2}}},
		}},
		{name: "share of an account", conns: 3, bytes: 510, steps: []step{
			{open: "a", want: granted()},
			{open: "b", want: granted()},
			{open: "c", want: granted()},
			{id: 1, account: "x", want: granted()},
			{id: 2, account: "x", want: granted()},
			{id: 1, reserve: 240, want: granted()},
			{id: 2, reserve: 240, want: granted()},
			{id: 1, phase: Serving, want: granted()},
			{id: 2, reserve: 1, want: Decision{Reason: ByAccount}},
			{id: 3, account: "x", want: granted()},
			{id: 3, reserve: 1, want: Decision{Wait: true, Reason: ByAccount, Close: []uint64{2}}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLimits(1000, cmp.Or(tt.most, 6))
			l.Base = 10
			l.Connection = 260
			q := New(l)
			for i, s := range tt.steps {
				is.Equal(run(q, time.Unix(int64(i), 0), s), s.want)
			}
			conns, bytes := q.Held()
			is.Equal(conns, tt.conns)
			is.Equal(bytes, tt.bytes)
		})
	}
}

// Guards against connections beyond the descriptors, and against sums that don't return
// to zero.
func TestQuotaOfConnections(t *testing.T) {
	is := is.New(t)
	q := New(Limits{Bytes: 1000, Connection: 1000, Account: 1000, Address: 1000, Conns: 3, ConnsPerAddress: 2, Base: 1})
	for _, address := range []string{"a", "a", "b"} {
		_, d := q.Open(time.Unix(0, 0), address)
		is.True(d.Granted)
	}
	_, d := q.Open(time.Unix(1, 0), "a")
	is.Equal(d, Decision{Wait: true, Reason: ByAddress, Close: []uint64{1}})
	_, d = q.Open(time.Unix(1, 0), "c")
	is.Equal(d, Decision{Wait: true, Reason: ByCount})
	for id := uint64(1); id <= 3; id++ {
		q.End(id)
	}
	is.Equal(q.total, usage{})
	is.Equal(len(q.addresses)+len(q.accounts)+len(q.conns), 0)
}

// Guards against a body that keeps the process waiting for ever, and against a slow
// client that is cut off although it makes progress.
func TestReadTimeout(t *testing.T) {
	tests := []struct {
		received     int64
		waited, want time.Duration
	}{
		{want: 5 * time.Second},
		{received: 1000, waited: 6 * time.Second, want: -755859375},
		{received: 256 << 10, waited: 60 * time.Second, want: 9 * time.Second},
	}
	for _, tt := range tests {
		is.New(t).Equal(ReadTimeout(tt.received, tt.waited), tt.want)
	}
}
