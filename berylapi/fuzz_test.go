package berylapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"berylglade/berylanswer"
	"berylglade/berylerror"
)

// FuzzRequest guards against panics, errors without a kind, and malformed
// requests that reach the entry.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/v1/calls?class=small", "Bearer qt", "k", "2s", []byte("body"))
	f.Add("GET", "/v1/keys/a%20b?wait=1s", "Bearer qt", "", "", []byte{})
	f.Add("GET", "/v1/calls/x?wait=1s", "Bearer qt", "", "", []byte{})
	f.Add("POST", "/v1/jobs", "Bearer qt", "k", "", []byte(`{"class":"write","tasks":1,"shape":{"cores":1},"adjacent":"rack"}`))
	f.Add("POST", "/v1/config", "Bearer op", "", "", []byte(`{"base":0,"by":"x","set":{"domains/d":{}}}`))
	f.Add("POST", "/v1/domains/d/out", "Bearer op", "", "", []byte(`{"grace":"1m"}`))
	f.Fuzz(func(t *testing.T, method, path, auth, key, timeout string, body []byte) {
		u, err := url.ParseRequestURI(path)
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		req := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(body)))
		req.Method = method
		req.URL = u
		req.Header = http.Header{"Authorization": {auth}, HeaderAccount: {"quabbin"}}
		if key != "" {
			req.Header[HeaderKey] = []string{key}
		}
		if timeout != "" {
			req.Header[HeaderTimeout] = []string{timeout}
		}
		entry := &fakeEntry{answer: berylanswer.Answer{Status: http.StatusOK}}
		w := httptest.NewRecorder()
		New(entry, map[string]string{"jo": hash("op")}).ServeHTTP(w, req)
		checkReached(t, entry)
		if w.Code < http.StatusBadRequest {
			return
		}
		var e Error
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil || berylerror.Parse(e.Kind).String() != e.Kind {
			t.Fatalf("reply with status %d and body %q has no error kind", w.Code, w.Body)
		}
		if entry.requests != 0 {
			t.Fatalf("rejected request reached the entry: %q", w.Body)
		}
	})
}

// checkReached fails the test if a call or job that reached the entry is
// invalid.
func checkReached(t *testing.T, entry *fakeEntry) {
	t.Helper()
	for _, key := range []string{entry.call.Key, entry.job.Key, entry.key} {
		if key != "" && checkKey(key) != nil {
			t.Fatalf("invalid key %q reached the entry", key)
		}
	}
	if entry.call.Class != "" && (entry.call.Budget <= 0 || entry.call.Budget > _defaultTimeout || len(entry.call.Body) > _defaultMaxBody) {
		t.Fatalf("call outside the limits reached the entry: %+v", entry.call)
	}
	if entry.job.Class != "" && entry.job.Check() != nil {
		t.Fatalf("invalid job reached the entry: %+v", entry.job)
	}
}
