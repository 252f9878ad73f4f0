package beryllog

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylerror"
)

// TestAppendKinds guards against notrun for an append that may have taken effect,
// and unknown for one that certainly has not.
func TestAppendKinds(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   berylerror.Kind
	}{
		{name: "ok", status: 200, body: `{"offset":7}`},
		{name: "rate limited", status: 429, want: berylerror.NotRun},
		{name: "unavailable", status: 503, want: berylerror.NotRun},
		{name: "malformed", status: 400, want: berylerror.Invalid},
		{name: "denied", status: 403, want: berylerror.Denied},
		{name: "too large", status: 413, want: berylerror.Oversize},
		{name: "server error", status: 500, want: berylerror.Unknown},
		{name: "gateway timeout", status: 504, want: berylerror.Unknown},
		{name: "reply without offset", status: 200, body: `{}`, want: berylerror.Unknown},
		{name: "truncated reply", status: 200, body: `{"off`, want: berylerror.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer srv.Close()
			c := NewClient(srv.URL, "test")
			defer c.Close()
			offset, err := c.Append(t.Context(), "s", []byte("x"))
			if tt.want == 0 {
				is.NoErr(err)
				is.Equal(offset, int64(7))
				return
			}
			is.Equal(berylerror.Of(err), tt.want)
			_, err = c.Read(t.Context(), "s", 1, 0)
			if tt.status != 200 {
				is.Equal(berylerror.Of(err), berylerror.Unavailable)
			}
		})
	}
}

// TestDialFailure guards against unknown for an append without a connection.
func TestDialFailure(t *testing.T) {
	is := is.New(t)
	c := NewClient("http://127.0.0.1:1", "test")
	_, err := c.Append(t.Context(), "s", []byte("x"))
	is.Equal(berylerror.Of(err), berylerror.NotRun)
	_, err = c.Read(t.Context(), "s", 1, 0)
	is.Equal(berylerror.Of(err), berylerror.Unavailable)
}

// TestAppendTimeout guards against a client that waits indefinitely for a log that
// does not reply.
func TestAppendTimeout(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-done }))
	defer srv.Close()
	defer close(done)
	c := NewClient(srv.URL, "test")
	defer c.Close()
	began := time.Now()
	_, err := c.Append(t.Context(), "s", []byte("x"))
	is.Equal(berylerror.Of(err), berylerror.Unknown)
	is.True(time.Since(began) < 2*_appendTimeout)
}
