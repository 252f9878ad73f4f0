package berylrunner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylrunner"
	"berylglade/berylstandrunner"
)

// Guards against reporting an outcome as known although it is not, and against
// a second run caused by a retry inside net/http.
func TestWorkOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		faults berylstandrunner.Faults
		status int
		kind   berylerror.Kind
	}{
		{name: "answered", status: http.StatusOK},
		{name: "error status passes through", faults: berylstandrunner.Faults{FailStatus: 500}, status: 500},
		{name: "truncated", faults: berylstandrunner.Faults{Truncate: true}, kind: berylerror.Unknown},
		{name: "closed without answer", faults: berylstandrunner.Faults{Close: true}, kind: berylerror.Unknown},
		{
			name:   "times out",
			faults: berylstandrunner.Faults{Delay: berylduration.Duration(400 * time.Millisecond)},
			kind:   berylerror.Unknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			stand := berylstandrunner.New(berylstandrunner.Settings{Slots: 1})
			srv := httptest.NewServer(stand)
			defer srv.Close()
			c := berylrunner.New(srv.URL, 1)
			defer c.Close()
			// The first request leaves an idle connection that the second one
			// reuses.
			_, err := c.Work(context.Background(), berylrunner.Request{ID: "first"})
			is.NoErr(err)
			stand.SetFaults(tt.faults)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			resp, err := c.Work(ctx, berylrunner.Request{ID: "i", Class: "c", Body: []byte("abc")})
			is.Equal(stand.Ledger().Counts["i"], 1)
			if tt.kind != 0 {
				is.Equal(berylerror.Of(err), tt.kind)
				return
			}
			is.NoErr(err)
			is.Equal(resp.Status, tt.status)
			is.Equal(resp.Body, berylstandrunner.Answer("i", []byte("abc")))
		})
	}
}

// Guards against the kind Unknown for a request that was certainly not sent,
// and against returning the answer to another request.
func TestWorkErrorKinds(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(berylrunner.HeaderID, "other")
	}))
	c := berylrunner.New(srv.URL, 1)
	defer c.Close()
	_, err := c.Work(context.Background(), berylrunner.Request{ID: "i"})
	is.Equal(berylerror.Of(err), berylerror.Unknown)
	srv.Close()
	// A new client has no idle connection that the server could have closed
	// while the request was sent on it.
	c = berylrunner.New(srv.URL, 1)
	_, err = c.Work(context.Background(), berylrunner.Request{ID: "i"})
	is.Equal(berylerror.Of(err), berylerror.NotRun)
}
