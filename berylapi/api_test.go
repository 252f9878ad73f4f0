package berylapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"berylglade/berylanswer"
	"berylglade/berylcall"
	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/beryljob"
)

// fakeEntry counts the requests that reach the entry and returns fixed replies.
type fakeEntry struct {
	requests int
	call     berylcall.Call
	key      string
	job      beryljob.Job
	domain   berylconfig.FailureDomain
	answer   berylanswer.Answer
	err      error
	// noConfig is set if the entry has no configuration yet.
	noConfig bool
}

var _ Entry = (*fakeEntry)(nil)

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (f *fakeEntry) Config() *berylconfig.Config {
	if f.noConfig {
		return &berylconfig.Config{}
	}
	return &berylconfig.Config{
		Classes: map[string]berylconfig.Class{"write": {}, "small": {Body: 10, Idempotent: true}},
		Accounts: map[string]berylconfig.ClientAccount{
			"quabbin": {Hash: hash("qt")},
			"closed":  {},
		},
	}
}

func (f *fakeEntry) Call(_ context.Context, call berylcall.Call) (berylanswer.Answer, error) {
	f.requests++
	f.call = call
	return f.answer, f.err
}

func (f *fakeEntry) Find(context.Context, string, string, time.Duration) (berylanswer.Answer, error) {
	f.requests++
	return f.answer, f.err
}

func (f *fakeEntry) FindKey(_ context.Context, _, key string, _ time.Duration) (berylanswer.Answer, error) {
	f.requests++
	f.key = key
	return f.answer, f.err
}

func (f *fakeEntry) Submit(_ context.Context, job beryljob.Job) (beryljob.State, error) {
	f.requests++
	f.job = job
	return beryljob.State{Job: job, Phase: beryljob.Queued}, f.err
}

func (f *fakeEntry) Job(context.Context, string, string) (beryljob.State, error) {
	f.requests++
	return beryljob.State{}, f.err
}

func (f *fakeEntry) Jobs(context.Context, string) ([]beryljob.State, error) {
	f.requests++
	return nil, f.err
}

func (f *fakeEntry) Cancel(context.Context, string, string) (beryljob.State, error) {
	f.requests++
	return beryljob.State{}, f.err
}

func (f *fakeEntry) Publish(context.Context, Change) (int64, error) {
	f.requests++
	return 7, f.err
}

func (f *fakeEntry) SetDomain(_ context.Context, _, _ string, d berylconfig.FailureDomain) (int64, error) {
	f.requests++
	f.domain = d
	return 7, f.err
}

func (f *fakeEntry) Drain(context.Context, string) error {
	f.requests++
	return f.err
}

func (f *fakeEntry) Agents(context.Context) ([]Agent, error) {
	f.requests++
	return nil, f.err
}

func send(f *fakeEntry, method, path string, body io.Reader, headers ...string) (*httptest.ResponseRecorder, Error) {
	req := httptest.NewRequest(method, path, body)
	req.Header.Set("Authorization", "Bearer qt")
	req.Header.Set(HeaderAccount, "quabbin")
	for i := 0; i < len(headers); i += 2 {
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
			continue
		}
		req.Header.Add(headers[i], headers[i+1])
		if headers[i] == "Authorization" || headers[i] == HeaderAccount {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	w := httptest.NewRecorder()
	New(f, map[string]string{"jo": hash("op")}).ServeHTTP(w, req)
	var e Error
	_ = json.Unmarshal(w.Body.Bytes(), &e)
	return w, e
}

// brokenReader ends with io.ErrUnexpectedEOF, like a connection that is cut.
type brokenReader struct{ io.Reader }

func (r brokenReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Guards against an invalid request that reaches the entry, where it would run,
// record or publish something, and against an error reply without a text.
func TestInvalidRequestsRejected(t *testing.T) {
	const job = `{"class":"write","tasks":1,"shape":{"cores":1}}`
	op := []string{"Authorization", "Bearer op"}
	long := strings.Repeat("x", _maxKeyLength+1)
	tests := []struct {
		name    string
		method  string
		path    string
		body    string
		broken  bool
		headers []string
		want    berylerror.Kind
	}{
		{name: "no token", path: "/v1/calls?class=write", headers: []string{"Authorization", ""}, want: berylerror.Denied},
		{name: "other scheme", path: "/v1/calls?class=write", headers: []string{"Authorization", "Basic qt"}, want: berylerror.Denied},
		{name: "wrong token", path: "/v1/calls?class=write", headers: []string{"Authorization", "Bearer x"}, want: berylerror.Denied},
		{name: "no account", path: "/v1/calls?class=write", headers: []string{HeaderAccount, ""}, want: berylerror.Denied},
		{name: "unknown account", path: "/v1/calls?class=write", headers: []string{HeaderAccount, "x"}, want: berylerror.Denied},
		{name: "account without hash", path: "/v1/calls?class=write", headers: []string{HeaderAccount, "closed"}, want: berylerror.Denied},
		{name: "no class", path: "/v1/calls", want: berylerror.Missing},
		{name: "unknown class", path: "/v1/calls?class=x", want: berylerror.Missing},
		{name: "repeated class", path: "/v1/calls?class=write&class=small", want: berylerror.Invalid},
		{name: "unknown parameter", path: "/v1/calls?class=write&prio=1", want: berylerror.Invalid},
		{name: "malformed query", path: "/v1/calls?class=%zz", want: berylerror.Invalid},
		{name: "body above the class limit", path: "/v1/calls?class=small", body: strings.Repeat("x", 11), want: berylerror.Oversize},
		{name: "chunked body above the limit", path: "/v1/calls?class=small", body: strings.Repeat("x", 11), broken: true, want: berylerror.Oversize},
		{name: "body above the default", path: "/v1/calls?class=write", body: strings.Repeat("x", _defaultMaxBody+1), want: berylerror.Oversize},
		{name: "truncated body", path: "/v1/calls?class=write", body: "x", broken: true, want: berylerror.Invalid},
		{name: "two keys", path: "/v1/calls?class=write", headers: []string{HeaderKey, "a", HeaderKey, "b"}, want: berylerror.Invalid},
		{name: "long key", path: "/v1/calls?class=write", headers: []string{HeaderKey, long}, want: berylerror.Invalid},
		{name: "key with a space", path: "/v1/calls?class=write", headers: []string{HeaderKey, "a b"}, want: berylerror.Invalid},
		{name: "timeout without unit", path: "/v1/calls?class=write", headers: []string{HeaderTimeout, "5"}, want: berylerror.Invalid},
		{name: "negative timeout", path: "/v1/calls?class=write", headers: []string{HeaderTimeout, "-5s"}, want: berylerror.Invalid},
		{name: "zero timeout", path: "/v1/calls?class=write", headers: []string{HeaderTimeout, "0s"}, want: berylerror.Invalid},
		{name: "malformed wait", method: "GET", path: "/v1/calls/x?wait=1", want: berylerror.Invalid},
		{name: "malformed wait for a key", method: "GET", path: "/v1/keys/x?wait=-1s", want: berylerror.Invalid},
		{name: "key with a space in the path", method: "GET", path: "/v1/keys/a%20b", want: berylerror.Invalid},
		{name: "key in the path that is not UTF-8", method: "GET", path: "/v1/keys/%ff", want: berylerror.Invalid},
		{name: "job not JSON", path: "/v1/jobs", body: "{", want: berylerror.Invalid},
		{name: "job empty", path: "/v1/jobs", body: "", want: berylerror.Invalid},
		{name: "job with an unknown field", path: "/v1/jobs", body: `{"class":"write","tasks":1,"shape":{"cores":1},"prio":1}`, want: berylerror.Invalid},
		{name: "job with data after it", path: "/v1/jobs", body: job + "{}", want: berylerror.Invalid},
		{name: "job of an unknown class", path: "/v1/jobs", body: `{"class":"x","tasks":1,"shape":{"cores":1}}`, want: berylerror.Missing},
		{name: "job without tasks", path: "/v1/jobs", body: `{"class":"write","shape":{"cores":1}}`, want: berylerror.Impossible},
		{name: "job with too many tasks", path: "/v1/jobs", body: `{"class":"write","tasks":513,"shape":{"cores":1}}`, want: berylerror.Impossible},
		{name: "job without shape", path: "/v1/jobs", body: `{"class":"write","tasks":1}`, want: berylerror.Invalid},
		{name: "job with a negative shape", path: "/v1/jobs", body: `{"class":"write","tasks":1,"shape":{"cores":-1}}`, want: berylerror.Invalid},
		{name: "job memory without unit", path: "/v1/jobs", body: `{"class":"write","tasks":1,"shape":{"memory":"7"}}`, want: berylerror.Invalid},
		{name: "job with unknown adjacency", path: "/v1/jobs", body: `{"class":"write","tasks":1,"shape":{"cores":1},"adjacent":"room"}`, want: berylerror.Invalid},
		{name: "job oversize", path: "/v1/jobs", body: strings.Repeat(" ", _defaultMaxBody) + job, want: berylerror.Oversize},
		{name: "operator function for an account", method: "GET", path: "/v1/config", want: berylerror.Denied},
		{name: "no operator's token", method: "GET", path: "/v1/config", headers: []string{"Authorization", ""}, want: berylerror.Denied},
		{name: "agents for an account", method: "GET", path: "/v1/agents", want: berylerror.Denied},
		{name: "drain for an account", path: "/v1/agents/a/drain", want: berylerror.Denied},
		{name: "out for an account", path: "/v1/domains/d/out", want: berylerror.Denied},
		{name: "change without base", path: "/v1/config", headers: op, body: `{"by":"x","set":{"domains/d":{}}}`, want: berylerror.Invalid},
		{name: "change with negative base", path: "/v1/config", headers: op, body: `{"base":-1,"by":"x","set":{"domains/d":{}}}`, want: berylerror.Invalid},
		{name: "change without by", path: "/v1/config", headers: op, body: `{"base":0,"set":{"domains/d":{}}}`, want: berylerror.Invalid},
		{name: "change without keys", path: "/v1/config", headers: op, body: `{"base":0,"by":"x","set":{}}`, want: berylerror.Invalid},
		{name: "change with an unknown field", path: "/v1/config", headers: op, body: `{"base":0,"by":"x","sets":{}}`, want: berylerror.Invalid},
		{name: "grace without unit", path: "/v1/domains/d/out", headers: op, body: `{"grace":"7"}`, want: berylerror.Invalid},
		{name: "unknown path", path: "/v1/x", want: berylerror.Missing},
		{name: "unknown method", method: "PUT", path: "/v1/jobs", want: berylerror.Missing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			method := tt.method
			if method == "" {
				method = "POST"
			}
			var body io.Reader = strings.NewReader(tt.body)
			if tt.broken {
				body = brokenReader{Reader: body}
			}
			f := &fakeEntry{}
			w, e := send(f, method, tt.path, body, tt.headers...)
			is.Equal(e.Kind, tt.want.String())
			is.Equal(w.Code, tt.want.Status())
			is.True(e.Text != "")
			is.Equal(f.requests, 0)
		})
	}
}

// Guards against fields of a valid request that are lost or changed.
func TestValidRequestsDecoded(t *testing.T) {
	is := is.New(t)
	f := &fakeEntry{answer: berylanswer.New("c1", "quabbin", 200, []byte("rows"))}
	w, _ := send(f, "POST", "/v1/calls?class=small", strings.NewReader("body"), HeaderKey, "k", HeaderTimeout, "2s")
	is.Equal(w.Code, 200)
	is.Equal(w.Body.String(), "rows")
	is.Equal(w.Header().Get(HeaderCall), "c1")
	is.Equal(f.call, berylcall.Call{
		Account: "quabbin", Class: "small", Key: "k", Idempotent: true, Budget: 2 * time.Second, Body: []byte("body"),
	})

	w, _ = send(f, "POST", "/v1/jobs", strings.NewReader(`{"class":"write","tasks":2,"shape":{"accelerators":1,"memory":"2GB"},"adjacent":"rack"}`), HeaderKey, "k")
	is.Equal(w.Code, 200)
	is.Equal(f.job.Tasks, 2)
	is.Equal(f.job.Adjacent.String(), "rack")
	spaced := f.job.Sum
	send(f, "POST", "/v1/jobs", strings.NewReader(`{"class":"write", "tasks":2, "shape":{"accelerators":1,"memory":"2GB"}, "adjacent":"rack"}`), HeaderKey, "k")
	is.Equal(f.job.Sum, spaced)

	w, _ = send(f, "POST", "/v1/domains/ware-east/out", strings.NewReader(`{"grace":"10m"}`), "Authorization", "Bearer op")
	is.Equal(w.Body.String(), `{"offset":7}`)
	is.True(f.domain.Out)
	is.Equal(f.domain.Grace.Std(), 10*time.Minute)
	send(f, "POST", "/v1/domains/ware-east/back", http.NoBody, "Authorization", "Bearer op")
	is.True(!f.domain.Out)
}

// Guards against a backend server's error status that looks like one of the
// entry: the caller would retry a call that has run.
func TestErrorReplies(t *testing.T) {
	tests := []struct {
		name  string
		entry fakeEntry
		want  Error
	}{
		{
			name:  "backend status",
			entry: fakeEntry{answer: berylanswer.New("c1", "quabbin", 503, []byte("full"))},
			want:  Error{Kind: "failed", Text: "backend server answered with status 503", ID: "c1", Status: 503, Body: []byte("full")},
		},
		{
			name:  "backend redirect",
			entry: fakeEntry{answer: berylanswer.New("c1", "quabbin", 302, nil)},
			want:  Error{Kind: "failed", Text: "backend server answered with status 302", ID: "c1", Status: 302},
		},
		{
			name:  "outcome unknown",
			entry: fakeEntry{answer: berylanswer.Answer{ID: "c1"}, err: berylerror.Unknown.Errorf("lost")},
			want:  Error{Kind: "unknown", Text: "lost", ID: "c1"},
		},
		{
			name:  "not run",
			entry: fakeEntry{err: berylerror.NotRun.Errorf("full")},
			want:  Error{Kind: "notrun", Text: "full"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, e := send(&tt.entry, "POST", "/v1/calls?class=write", http.NoBody)
			is.Equal(e, tt.want)
			is.Equal(w.Code, berylerror.Parse(tt.want.Kind).Status())
		})
	}
}

// Guards against a newly started entry, which has no configuration, replying
// that the token is wrong: callers do not retry after that.
func TestRequestsWithoutConfiguration(t *testing.T) {
	tests := []struct {
		method string
		path   string
		key    string
		want   berylerror.Kind
	}{
		{method: "POST", path: "/v1/calls?class=write", want: berylerror.NotRun},
		{method: "POST", path: "/v1/calls?class=write", key: "k", want: berylerror.Unknown},
		{method: "POST", path: "/v1/jobs", want: berylerror.NotRun},
		{method: "GET", path: "/v1/keys/k", want: berylerror.Unavailable},
		{method: "DELETE", path: "/v1/jobs/j", want: berylerror.Unavailable},
	}
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.path+tt.key, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := &fakeEntry{noConfig: true}
			resp, e := send(f, tt.method, tt.path, strings.NewReader("x"), HeaderKey, tt.key)
			is.Equal(resp.Code, tt.want.Status())
			is.Equal(e.Kind, tt.want.String())
			is.Equal(f.requests, 0)
		})
	}
}

// deadlineRecorder records the write deadlines that are set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadlines = append(d.deadlines, t)
	return nil
}

// Guards against a caller that does not read its reply and occupies a connection
// forever, and against the deadline of an earlier reply on the same connection.
func TestWriteDeadline(t *testing.T) {
	is := is.New(t)
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	New(&fakeEntry{}, nil).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/agents", http.NoBody))
	is.Equal(len(w.deadlines), 2)
	is.True(w.deadlines[0].IsZero())
	remaining := time.Until(w.deadlines[1])
	is.True(remaining > 0 && remaining <= _writeTimeout)
}
