package beryllog

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"testing"

	"berylglade/berylerror"
)

// cannedReply is a transport that answers every request without a connection.
type cannedReply struct {
	status int
	body   []byte
}

func (c cannedReply) RoundTrip(req *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	return &http.Response{StatusCode: c.status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(c.body))}, nil
}

// FuzzReply guards against panics, notrun for an append whose status is not a
// rejection, and batches that make a reader skip records.
func FuzzReply(f *testing.F) {
	f.Add(200, []byte(`{"offset":7}`))
	f.Add(200, []byte(`{"first":1,"next":3,"entries":[{"offset":1,"data":"eA=="},{"offset":2,"data":"eA=="}]}`))
	f.Add(200, []byte(`{"first":-1,"next":9,"entries":[{"offset":5}]}`))
	f.Add(503, []byte("down"))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		c := &Client{base: "http://127.0.0.1:1", http: &http.Client{Transport: cannedReply{status: status, body: body}}}
		offset, err := c.Append(t.Context(), "s", []byte("x"))
		refused := slices.Contains([]int{429, 503}, status)
		switch {
		case err == nil && (offset < 1 || status != 200):
			t.Fatalf("append succeeded with status %d and offset %d", status, offset)
		case err != nil && (berylerror.Of(err) == berylerror.NotRun) != refused:
			t.Fatalf("append with status %d: %v", status, err)
		}
		b, err := c.Read(t.Context(), "s", 1, 0)
		if err != nil {
			if berylerror.Of(err) != berylerror.Unavailable {
				t.Fatal(err)
			}
			return
		}
		for i, e := range b.Entries {
			if e.Offset != b.First+int64(i) || e.Offset >= b.Next {
				t.Fatalf("read accepted a batch with gaps: %+v", b)
			}
		}
	})
}

// TestReadRejectsBatch guards against a reply that confirms an empty stream or
// hides records: the reader would then allow starts under an old configuration.
func TestReadRejectsBatch(t *testing.T) {
	tests := []struct {
		name string
		give string
	}{
		{name: "empty object", give: `{}`},
		{name: "null", give: `null`},
		{name: "first below one", give: `{"first":0,"next":1}`},
		{name: "next below first", give: `{"first":5,"next":4}`},
		{name: "gap", give: `{"first":1,"next":9,"entries":[{"offset":1},{"offset":3}]}`},
		{name: "before from", give: `{"first":1,"next":9,"entries":[{"offset":0}]}`},
		{name: "beyond next", give: `{"first":1,"next":2,"entries":[{"offset":1},{"offset":2}]}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &Client{base: "http://127.0.0.1:1", http: &http.Client{Transport: cannedReply{status: 200, body: []byte(tt.give)}}}
			if _, err := c.Read(t.Context(), "s", 1, 0); berylerror.Of(err) != berylerror.Unavailable {
				t.Fatalf("got error %v, want kind unavailable", err)
			}
		})
	}
}
