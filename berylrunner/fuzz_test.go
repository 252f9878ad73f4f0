package berylrunner

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"berylglade/berylerror"
)

// FuzzRead guards against panics, and against returning an answer to another
// request or one whose status or body differs from what was received.
func FuzzRead(f *testing.F) {
	f.Add(200, "i", []byte("answer"))
	f.Add(200, "other", []byte("answer"))
	f.Add(0, "", []byte{})
	f.Fuzz(func(t *testing.T, status int, id string, body []byte) {
		resp := &http.Response{
			StatusCode: status,
			Header:     http.Header{HeaderID: {id}},
			Body:       io.NopCloser(bytes.NewReader(body)),
		}
		got, err := read("i", resp)
		switch {
		case err != nil && berylerror.Of(err) != berylerror.Unknown:
			t.Fatal(err)
		case err == nil && (id != "" && id != "i" || !bytes.Equal(got.Body, body) || got.Status != status):
			t.Fatalf("answer %+v to request %q is returned", got, id)
		}
	})
}
