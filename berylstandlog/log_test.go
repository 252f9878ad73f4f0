package berylstandlog

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylclock"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/beryllog"
)

// start serves a log over HTTP and returns it with a client and its URL.
func start(t *testing.T, s Settings, clock berylclock.Clock) (*Log, *beryllog.Client, string) {
	t.Helper()
	is := is.New(t)
	l, err := New(s, clock)
	is.NoErr(err)
	srv := httptest.NewServer(l)
	c := beryllog.NewClient(srv.URL, "test")
	t.Cleanup(func() {
		c.Close()
		srv.Close()
	})
	return l, c, srv.URL
}

// Guards against retention that stores too many or too few records, or reports a
// wrong first offset.
func TestRetention(t *testing.T) {
	tests := []struct {
		name      string
		give      Settings
		wantFirst int64
	}{
		{name: "none", wantFirst: 1},
		{name: "by count", give: Settings{MaxRecords: 2}, wantFirst: 4},
		{name: "by time", give: Settings{Retention: berylduration.Duration(3 * time.Second)}, wantFirst: 4},
		{name: "all", give: Settings{Retention: berylduration.Duration(time.Nanosecond)}, wantFirst: 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			_, c, _ := start(t, tt.give, func() time.Time { return now })
			for i := range int64(5) {
				offset, err := c.Append(t.Context(), "s", []byte{byte(i)})
				is.NoErr(err)
				is.Equal(offset, i+1)
				now = now.Add(time.Second)
			}
			b, err := c.Read(t.Context(), "s", 1, 0)
			is.NoErr(err)
			is.Equal(b.First, tt.wantFirst)
			is.Equal(b.Next, int64(6))
			is.Equal(len(b.Entries), int(6-tt.wantFirst))
			for i, e := range b.Entries {
				is.Equal(e.Offset, b.First+int64(i))
				is.Equal(e.Data, []byte{byte(e.Offset - 1)})
			}
		})
	}
}

// Guards against faults that give the client a wrong error kind: an append that
// took effect must not be reported as not run.
func TestFaults(t *testing.T) {
	tests := []struct {
		name        string
		give        Faults
		wantAppend  berylerror.Kind
		wantRead    berylerror.Kind
		wantRecords int64
	}{
		{name: "none", wantRecords: 1},
		{name: "down", give: Faults{Down: true}, wantAppend: berylerror.NotRun, wantRead: berylerror.Unavailable},
		{name: "refused", give: Faults{RefuseClients: []string{"test"}}, wantAppend: berylerror.NotRun, wantRead: berylerror.Unavailable},
		{name: "other refused", give: Faults{RefuseClients: []string{"other"}}, wantRecords: 1},
		{name: "reply lost", give: Faults{LoseReplies: 1}, wantAppend: berylerror.Unknown, wantRecords: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, c, _ := start(t, Settings{}, berylclock.System())
			l.SetFaults(tt.give)
			_, err := c.Append(t.Context(), "s", []byte("x"))
			is.Equal(err == nil, tt.wantAppend == 0)
			if err != nil {
				is.Equal(berylerror.Of(err), tt.wantAppend)
			}
			_, err = c.Read(t.Context(), "s", 1, 0)
			is.Equal(err == nil, tt.wantRead == 0)
			if err != nil {
				is.Equal(berylerror.Of(err), tt.wantRead)
			}
			l.SetFaults(Faults{})
			b, err := c.Read(t.Context(), "s", 1, 0)
			is.NoErr(err)
			is.Equal(b.Next-1, tt.wantRecords)
		})
	}
}

// Guards against a rate limit that accepts too many appends within one second,
// and against wrong counts in the stats.
func TestRateAndStats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l, c, _ := start(t, Settings{Rate: 3}, func() time.Time { return now })
	refused := 0
	for range 10 {
		_, err := c.Append(t.Context(), "s", []byte("x"), []byte("y"))
		if err != nil {
			is.Equal(berylerror.Of(err), berylerror.NotRun)
			refused++
		}
		now = now.Add(200 * time.Millisecond)
	}
	is.Equal(refused, 4) // in each second, those at 0, 200, 400 ms pass and at 600, 800 ms do not
	is.Equal(l.Stats(), Stats{Appends: 6, Records: 12, Refused: 4, Peak: 5})
}

// Guards against a long poll that does not return on an append, and against one
// that continues during an outage, so that readers detect the outage late.
func TestLongPoll(t *testing.T) {
	is := is.New(t)
	l, c, _ := start(t, Settings{}, berylclock.System())
	type res struct {
		b   beryllog.Batch
		err error
	}
	poll := func(from int64) <-chan res {
		ch := make(chan res, 1)
		go func() {
			b, err := c.Read(context.Background(), "s", from, 20*time.Second)
			ch <- res{b, err}
		}()
		for n := l.Stats().Reads; l.Stats().Reads == n; {
			time.Sleep(time.Millisecond)
		}
		return ch
	}
	first := poll(1)
	_, err := c.Append(t.Context(), "s", []byte("x"))
	is.NoErr(err)
	got := <-first
	is.NoErr(got.err)
	is.Equal(len(got.b.Entries), 1)

	second := poll(2)
	l.SetFaults(Faults{Down: true})
	is.Equal(berylerror.Of((<-second).err), berylerror.Unavailable)
}

// Guards against a delayed append that is dropped when its sender disconnects: it
// must take effect late, as in a slow log.
func TestSlowAppendTakesEffectLate(t *testing.T) {
	is := is.New(t)
	l, c, _ := start(t, Settings{}, berylclock.System())
	l.SetFaults(Faults{AppendDelay: berylduration.Duration(200 * time.Millisecond)})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Append(ctx, "s", []byte("x"))
	is.Equal(berylerror.Of(err), berylerror.Unknown)
	b, err := c.Read(t.Context(), "s", 1, 0)
	is.NoErr(err)
	is.Equal(b.Next, int64(1))
	b, err = c.Read(t.Context(), "s", 1, 5*time.Second)
	is.NoErr(err)
	is.Equal(b.Next, int64(2))
}

// Guards against malformed requests that take effect or are not rejected.
func TestMalformed(t *testing.T) {
	tests := []struct {
		name, method, path, body string
	}{
		{name: "append without body", method: http.MethodPost, path: "/streams/s/records"},
		{name: "append without records", method: http.MethodPost, path: "/streams/s/records", body: `{"records":[]}`},
		{name: "read without from", method: http.MethodGet, path: "/streams/s/records"},
		{name: "read with bad wait", method: http.MethodGet, path: "/streams/s/records?from=1&wait=x"},
		{name: "unknown fault", method: http.MethodPost, path: "/faults", body: `{"up":true}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, _, url := start(t, Settings{}, berylclock.System())
			req, err := http.NewRequestWithContext(t.Context(), tt.method, url+tt.path, strings.NewReader(tt.body))
			is.NoErr(err)
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusBadRequest)
			is.Equal(l.Stats().Appends, int64(0))
			is.Equal(l.state.getFaults().Down, false)
		})
	}
}

// Guards against a Run that does not return after its context is cancelled.
func TestRunStops(t *testing.T) {
	is := is.New(t)
	l, err := New(Settings{Listen: "127.0.0.1:0"}, berylclock.System())
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.NoErr(l.Run(ctx))
}
