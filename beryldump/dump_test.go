package beryldump

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"berylglade/berylerror"
)

// Guards against a listener that returns no state, reports a process as ready that
// is not, or keeps running after its context is done.
func TestListener(t *testing.T) {
	defer goleak.VerifyNone(t)
	var errState, errReady error
	l := &Listener{
		Registry: NewRegistry(),
		State: func(context.Context) (any, error) {
			return map[string]int{"calls": 3}, errState
		},
		Ready: func() error { return errReady },
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx, lis) }()

	tests := []struct {
		path            string
		state, ready    error
		wantStatus      int
		wantBody        string
		wantContentType string
	}{
		{path: "/dump", wantStatus: 200, wantBody: `"calls": 3`, wantContentType: "application/json"},
		{path: "/dump", state: berylerror.Unavailable.Errorf("stopping"), wantStatus: 503, wantBody: `"kind":"unavailable"`, wantContentType: "application/json"},
		{path: "/metrics", wantStatus: 200, wantBody: "process_resident_memory_bytes", wantContentType: "text/plain"},
		{path: "/healthz", wantStatus: 200, wantBody: "ok", wantContentType: "text/plain"},
		{path: "/readyz", wantStatus: 200, wantBody: "ready", wantContentType: "text/plain"},
		{path: "/readyz", ready: errors.New("no configuration"), wantStatus: 503, wantBody: "no configuration", wantContentType: "application/json"},
		{path: "/other", wantStatus: 404, wantBody: "not found", wantContentType: "text/plain"},
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			is := is.New(t)
			errState, errReady = tt.state, tt.ready
			resp, err := client.Get("http://" + lis.Addr().String() + tt.path)
			is.NoErr(err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.wantStatus)
			is.True(strings.Contains(string(body), tt.wantBody))
			is.True(strings.HasPrefix(resp.Header.Get("Content-Type"), tt.wantContentType))
		})
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a process that starts without its listener because the address
// is in use.
func TestRunAddressInUse(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close()
	l := &Listener{Addr: lis.Addr().String(), Registry: NewRegistry()}
	is.Equal(berylerror.Of(l.Run(t.Context())), berylerror.Unavailable)
}
