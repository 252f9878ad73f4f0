package berylclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylapi"
	"berylglade/berylerror"
)

// Guards against an error kind that is not passed on to the caller, above all a
// lost reply that is reported as not run: the caller would retry a call that may
// have run.
func TestCallErrors(t *testing.T) {
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			w.Write([]byte(body))
		}
	}
	tests := []struct {
		name string
		give http.HandlerFunc
		want berylerror.Kind
		id   string
		body string
	}{
		{name: "not run", give: reply(503, `{"kind":"notrun","text":"full"}`), want: berylerror.NotRun},
		{name: "unknown", give: reply(504, `{"kind":"unknown","text":"lost","id":"c1"}`), want: berylerror.Unknown, id: "c1"},
		{name: "failed with body", give: reply(502, `{"kind":"failed","text":"x","id":"c1","status":500,"body":"Ym9vbQ=="}`), want: berylerror.Failed, id: "c1", body: "boom"},
		{name: "reply is not from an entry", give: reply(503, "busy"), want: berylerror.Unknown},
		{name: "kind of a newer version", give: reply(500, `{"kind":"x","text":"y"}`), want: berylerror.Internal},
		{name: "connection cut", give: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: berylerror.Unknown},
		{name: "body cut", give: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			w.Write([]byte("x"))
		}, want: berylerror.Unknown, body: "x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(tt.give)
			defer srv.Close()
			c := Client{Base: srv.URL, Account: "quabbin", Token: "qt"}
			got, err := c.Call(context.Background(), Call{Class: "write"})
			is.Equal(berylerror.Of(err), tt.want)
			is.Equal(got.ID, tt.id)
			is.Equal(string(got.Body), tt.body)
		})
	}
}

// Guards against kind unknown for a request that was never sent, and against kind not run for
// one with a key: an earlier request with it may have run, and the caller would take the call
// for not run.
func TestUnreachable(t *testing.T) {
	timeUp := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}}
	tests := []struct {
		name string
		key  string
		http *http.Client
		want berylerror.Kind
	}{
		{name: "nothing listens", want: berylerror.NotRun},
		{name: "nothing listens, with a key", key: "k", want: berylerror.Unknown},
		{name: "no connection in time", http: timeUp, want: berylerror.NotRun},
		{name: "no connection in time, with a key", key: "k", http: timeUp, want: berylerror.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			c := Client{Base: "http://127.0.0.1:1", HTTP: tt.http}
			_, err := c.Call(ctx, Call{Class: "write", Key: tt.key})
			is.Equal(berylerror.Of(err), tt.want)
			_, err = c.Submit(ctx, tt.key, berylapi.Submission{})
			is.Equal(berylerror.Of(err), tt.want)
			_, err = c.Find(ctx, "c1", 0)
			is.Equal(berylerror.Of(err), berylerror.Unavailable)
		})
	}
}

// Guards against parameters of a request that are lost or not escaped.
func TestRequestParameters(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		w.Header().Set(berylapi.HeaderCall, "c1")
		w.Write([]byte(`{"offset":7}`))
	}))
	defer srv.Close()
	c := Client{Base: srv.URL, Account: "quabbin", Token: "qt"}
	answer, err := c.Call(context.Background(), Call{Class: "a b", Key: "k", Timeout: time.Second})
	is.NoErr(err)
	is.Equal(answer.ID, "c1")
	is.Equal(got.URL.Query().Get("class"), "a b")
	is.Equal(got.Header.Get("Idempotency-Key"), "k")
	is.Equal(got.Header.Get("X-Timeout"), "1s")
	is.Equal(got.Header.Get("Authorization"), "Bearer qt")
	_, err = c.FindKey(context.Background(), "a/b", time.Second)
	is.NoErr(err)
	is.Equal(got.URL.EscapedPath(), "/v1/keys/a%2Fb")
	is.Equal(got.URL.Query().Get("wait"), "1s")
	offset, err := c.TakeDomainOut(context.Background(), "ware-east", berylapi.OutRequest{})
	is.NoErr(err)
	is.Equal(offset, int64(7))
	is.Equal(got.URL.Path, "/v1/domains/ware-east/out")
}

// Guards against an endless reply that exhausts the caller's memory, and against
// a reply that is truncated at the limit and then treated as complete.
func TestReadReplyLimit(t *testing.T) {
	is := is.New(t)
	data, err := readReply(strings.NewReader("1234"), 4)
	is.NoErr(err)
	is.Equal(string(data), "1234")
	_, err = readReply(strings.NewReader("12345"), 4)
	is.Equal(berylerror.Of(err), berylerror.Oversize)
}
