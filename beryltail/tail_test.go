package beryltail

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/beryllog"
	"berylglade/berylrecord"
	"berylglade/berylstandlog"
)

// follow runs a tail on a stand-in log and returns its events.
func follow(t *testing.T, s berylstandlog.Settings, before ...[]byte) (*Tail, *berylstandlog.Log, *beryllog.Client, <-chan Event) {
	t.Helper()
	is := is.New(t)
	l, err := berylstandlog.New(s, berylclock.System())
	is.NoErr(err)
	srv := httptest.NewServer(l)
	c := beryllog.NewClient(srv.URL, "test")
	for _, data := range before {
		_, err := c.Append(t.Context(), "s", data)
		is.NoErr(err)
	}
	events := make(chan Event, 1000)
	tail := New(c, "s", berylclock.System(), 20*time.Millisecond, func(e Event) { events <- e })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tail.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		c.Close()
		srv.Close()
	})
	return tail, l, c, events
}

func encode(t *testing.T, id string) []byte {
	t.Helper()
	data, err := berylrecord.Encode(berylrecord.Record{ID: id, Body: berylrecord.Renewal{Term: 1}})
	is.New(t).NoErr(err)
	return data
}

// until returns all records up to an offset, and the last read.
func until(t *testing.T, events <-chan Event, upto int64) ([]Record, Read) {
	t.Helper()
	var records []Record
	timeout := time.After(10 * time.Second)
	for {
		select {
		case e := <-events:
			r, ok := e.(Read)
			if !ok {
				continue
			}
			records = append(records, r.Records...)
			if r.Upto >= upto {
				return records, r
			}
		case <-timeout:
			t.Fatal("tail did not reach the offset")
		}
	}
}

// TestDropsRepeatedAndMalformed guards against a record that is applied twice, and
// against one malformed record that stops the reader.
func TestDropsRepeatedAndMalformed(t *testing.T) {
	is := is.New(t)
	tail, _, c, events := follow(t, berylstandlog.Settings{},
		encode(t, "a"), []byte("not a record"), encode(t, "b"), encode(t, "a"))
	_, err := c.Append(t.Context(), "s", encode(t, "b"), encode(t, "c"))
	is.NoErr(err)
	records, last := until(t, events, 6)
	var ids []string
	var offsets []int64
	for _, r := range records {
		ids = append(ids, r.ID)
		offsets = append(offsets, r.Offset)
	}
	is.Equal(ids, []string{"a", "b", "c"})
	is.Equal(offsets, []int64{1, 3, 6})
	is.True(last.CaughtUp())
	is.Equal(tail.Repeated.Load(), int64(2))
	is.Equal(tail.Malformed.Load(), int64(1))
}

// TestReportsRetention guards against a reader that does not notice that records
// were dropped before it read them.
func TestReportsRetention(t *testing.T) {
	is := is.New(t)
	_, _, _, events := follow(t, berylstandlog.Settings{MaxRecords: 2}, encode(t, "a"), encode(t, "b"), encode(t, "c"))
	records, last := until(t, events, 3)
	is.Equal(len(records), 2)
	is.Equal(records[0].Offset, int64(2))
	is.Equal(last.First, int64(2))
}

// TestOutage guards against an outage that is not reported or that ends the reader.
func TestOutage(t *testing.T) {
	is := is.New(t)
	_, l, c, events := follow(t, berylstandlog.Settings{}, encode(t, "a"))
	until(t, events, 1)
	l.SetFaults(berylstandlog.Faults{Down: true})
	for {
		if f, ok := (<-events).(ReadFailed); ok {
			is.Equal(berylerror.Of(f.Err), berylerror.Unavailable)
			break
		}
	}
	l.SetFaults(berylstandlog.Faults{})
	_, err := c.Append(t.Context(), "s", encode(t, "b"))
	is.NoErr(err)
	records, _ := until(t, events, 2)
	is.Equal(len(records), 1)
}

// TestCheckBatch guards against batches from a faulty log that would skip or repeat
// records.
func TestCheckBatch(t *testing.T) {
	tests := []struct {
		name string
		give beryllog.Batch
		want bool
	}{
		{name: "empty", give: beryllog.Batch{First: 1, Next: 5}, want: true},
		{name: "next record", give: beryllog.Batch{First: 1, Next: 6, Entries: []beryllog.Entry{{Offset: 5}}}, want: true},
		{name: "after dropped records", give: beryllog.Batch{First: 8, Next: 9, Entries: []beryllog.Entry{{Offset: 8}}}, want: true},
		{name: "all records dropped", give: beryllog.Batch{First: 9, Next: 9}, want: true},
		{name: "log lost its last records", give: beryllog.Batch{First: 1, Next: 4}},
		{name: "first offset missing", give: beryllog.Batch{Next: 5}},
		{name: "skipped", give: beryllog.Batch{First: 1, Next: 9, Entries: []beryllog.Entry{{Offset: 6}}}},
		{name: "repeated", give: beryllog.Batch{First: 1, Next: 9, Entries: []beryllog.Entry{{Offset: 5}, {Offset: 5}}}},
		{name: "beyond the end", give: beryllog.Batch{First: 1, Next: 5, Entries: []beryllog.Entry{{Offset: 5}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tail := &Tail{next: 5}
			is.New(t).Equal(tail.checkBatch(tt.give) == nil, tt.want)
		})
	}
}

// TestIDsAreBounded guards against stored ids that grow without bound.
func TestIDsAreBounded(t *testing.T) {
	is := is.New(t)
	tail := &Tail{seen: map[key]struct{}{}}
	for i := range int64(_maxSeenIDs + 10) {
		is.True(tail.markSeen(i, time.Duration(i).String()))
	}
	is.Equal(len(tail.seen), _maxSeenIDs)
	is.True(!tail.markSeen(0, time.Duration(_maxSeenIDs).String()))
	tail.forgetBelow(_maxSeenIDs + 5)
	is.Equal(len(tail.seen), 5)
	is.Equal(len(tail.seenOrder), 5)
}

// TestFirstReadDoesNotWait guards against a reader of an idle stream that learns
// only after a whole long poll that there is nothing to read.
func TestFirstReadDoesNotWait(t *testing.T) {
	is := is.New(t)
	l, err := berylstandlog.New(berylstandlog.Settings{}, berylclock.System())
	is.NoErr(err)
	srv := httptest.NewServer(l)
	defer srv.Close()
	c := beryllog.NewClient(srv.URL, "test")
	defer c.Close()
	events := make(chan Event, 10)
	tail := New(c, "s", berylclock.System(), time.Minute, func(e Event) { events <- e })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- tail.Run(ctx) }()
	select {
	case e := <-events:
		r, ok := e.(Read)
		is.True(ok && r.CaughtUp())
	case <-time.After(10 * time.Second):
		t.Error("no read within 10 s")
	}
	cancel()
	is.NoErr(<-done)
}
