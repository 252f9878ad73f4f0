package berylworker

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylglade/berylerror"
)

// FuzzReply guards against panics, errors without a kind, and replies that
// claim that the request was never sent.
func FuzzReply(f *testing.F) {
	f.Add(200, []byte(`{"tasks":[{"id":"a","state":"running","lease":"1s"}]}`))
	f.Add(200, []byte(`{"used":{"memory":"1GB"}}`))
	f.Add(409, []byte(`{"kind":"conflict","text":"ended"}`))
	f.Add(503, []byte(`{"kind":"notrun"}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		for _, out := range []any{nil, &List{}, &Usage{}} {
			err := decode(status, bytes.NewReader(body), out)
			if err == nil && (status < 200 || status > 299) {
				t.Fatalf("status %d is treated as success", status)
			}
			if err != nil && (berylerror.Of(err) == berylerror.NotRun || berylerror.Of(err).String() == "") {
				t.Fatal(err)
			}
		}
	})
}

// Guards against taking a start as successful, or as never sent, because of a
// reply that says neither.
func TestReplyKinds(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   berylerror.Kind
	}{
		{name: "created", status: 201},
		{name: "kind reported by the worker", status: 409, body: `{"kind":"conflict"}`, want: berylerror.Conflict},
		{name: "no kind", status: 500, body: `x`, want: berylerror.Unknown},
		{name: "unknown kind", status: 500, body: `{"kind":"odd"}`, want: berylerror.Unknown},
		{name: "kind of an unsent request", status: 503, body: `{"kind":"notrun"}`, want: berylerror.Unknown},
		{name: "redirect", status: 304, want: berylerror.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := decode(tt.status, strings.NewReader(tt.body), nil)
			if tt.want == 0 {
				is.NoErr(err)
				return
			}
			is.Equal(berylerror.Of(err), tt.want)
		})
	}
}
