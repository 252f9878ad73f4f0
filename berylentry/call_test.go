package berylentry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylanswer"
	"berylglade/berylapi"
	"berylglade/berylcall"
	"berylglade/berylerror"
	"berylglade/berylid"
	"berylglade/berylmessage"
)

type response struct {
	status int
	id     string
	body   string
	err    berylapi.Error
}

// request sends one HTTP request to the entry.
func request(t *testing.T, e *Entry, method, path, body string, headers ...string) response {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest(method, "http://"+e.HTTPAddr+path, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set(berylapi.HeaderAccount, "quabbin")
	req.Header.Set("Authorization", "Bearer qt")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	r := response{status: resp.StatusCode, id: resp.Header.Get(berylapi.HeaderCall), body: string(data)}
	if resp.StatusCode >= 400 {
		is.NoErr(json.Unmarshal(data, &r.err))
	}
	return r
}

// Guards against a wrong error kind on the call path. A caller that gets notrun
// sends the call again, which runs it twice if the kind is wrong.
func TestErrorKindOfCall(t *testing.T) {
	tests := []struct {
		name  string
		class string
		serve func(a *fakeAgent, call berylcall.Call) (berylanswer.Answer, error)
		want  string
		// ran is the number of calls that the backend server ran.
		ran int
	}{
		{name: "answer", class: "write", want: "", ran: 1},
		{name: "refused", class: "write", want: "notrun", serve: failWith(berylerror.NotRun)},
		{name: "outcome unknown at the agent", class: "write", want: "unknown", ran: 1, serve: failWith(berylerror.Unknown)},
		{name: "failed", class: "write", want: "failed", ran: 1, serve: failWith(berylerror.Failed)},
		{name: "oversize answer", class: "write", want: "oversize", ran: 1, serve: failWith(berylerror.Oversize)},
		{name: "reply lost", class: "write", want: "", ran: 1, serve: func(a *fakeAgent, call berylcall.Call) (berylanswer.Answer, error) {
			a.closeConns()
			return echo(a, call)
		}},
		{name: "backend status", class: "write", want: "failed", ran: 1, serve: func(_ *fakeAgent, call berylcall.Call) (berylanswer.Answer, error) {
			return berylanswer.New(call.ID, call.Account, 500, []byte("boom")), nil
		}},
		{name: "answer of another call", class: "write", want: "unknown", ran: 1, serve: func(_ *fakeAgent, call berylcall.Call) (berylanswer.Answer, error) {
			return berylanswer.New(call.ID+"0", call.Account, 200, call.Body), nil
		}},
		{name: "truncated answer", class: "write", want: "unknown", ran: 1, serve: func(a *fakeAgent, call berylcall.Call) (berylanswer.Answer, error) {
			answer, _ := echo(a, call)
			answer.Body = answer.Body[1:]
			return answer, nil
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startWithoutLog(t, testSettings("e1"))
			a := newFakeAgent(t, "a1")
			a.serve = tt.serve
			a.announce(t, e, nil)
			got := request(t, e, "POST", "/v1/calls?class="+tt.class, "rows", berylapi.HeaderTimeout, "1s")
			is.Equal(got.err.Kind, tt.want)
			is.Equal(a.ran(), tt.ran)
			if tt.want == "" {
				is.Equal(got.body, "echo rows")
			}
			if tt.ran > 0 {
				is.True(got.id != "")
			}
		})
	}
}

func failWith(k berylerror.Kind) func(*fakeAgent, berylcall.Call) (berylanswer.Answer, error) {
	return func(*fakeAgent, berylcall.Call) (berylanswer.Answer, error) {
		return berylanswer.Answer{}, k.Errorf("scripted")
	}
}

// Guards against losing an idempotent call whose first agent fails, and against
// running a non-idempotent one twice.
func TestRetryOnAnotherAgent(t *testing.T) {
	tests := []struct {
		name  string
		class string
		kind  berylerror.Kind
		want  string
	}{
		{name: "idempotent unknown", class: "read", kind: berylerror.Unknown, want: ""},
		{name: "refused", class: "write", kind: berylerror.NotRun, want: ""},
		{name: "unknown", class: "write", kind: berylerror.Unknown, want: "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startWithoutLog(t, testSettings("e1"))
			var served atomic.Int32
			script := func(a *fakeAgent, call berylcall.Call) (berylanswer.Answer, error) {
				if served.Add(1) == 1 {
					return berylanswer.Answer{}, tt.kind.Errorf("scripted")
				}
				return echo(a, call)
			}
			for _, name := range []string{"a1", "a2"} {
				a := newFakeAgent(t, name)
				a.serve = script
				a.announce(t, e, nil)
			}
			got := request(t, e, "POST", "/v1/calls?class="+tt.class, "x", berylapi.HeaderTimeout, "1s")
			is.Equal(got.err.Kind, tt.want)
		})
	}
}

// Guards against an answer that another client account can read.
func TestAnswerIsVisibleOnlyToItsAccount(t *testing.T) {
	is := is.New(t)
	e := startWithoutLog(t, testSettings("e1"))
	a := newFakeAgent(t, "a1")
	a.announce(t, e, nil)
	call := request(t, e, "POST", "/v1/calls?class=write", "x")
	is.Equal(call.status, 200)
	own := request(t, e, "GET", "/v1/calls/"+call.id, "")
	is.Equal(own.body, "echo x")
	other := request(t, e, "GET", "/v1/calls/"+call.id, "", berylapi.HeaderAccount, "ribnica", "Authorization", "Bearer rt")
	is.Equal(other.err.Kind, "missing")
	gone := request(t, e, "GET", "/v1/calls/"+strings.Replace(call.id, "a1", "a9", 1), "")
	is.Equal(gone.err.Kind, "unavailable")
}

// Guards against notrun for a call whose agent cannot be reached: the caller
// would send the call again.
func TestFindAtUnreachableAgent(t *testing.T) {
	is := is.New(t)
	e := startWithoutLog(t, testSettings("e1"))
	a := newFakeAgent(t, "a1")
	a.announce(t, e, func(b *berylmessage.Heartbeat) { b.Addr = "127.0.0.1:1" })
	id := berylid.New("a1", a.incarnation, 1).String()
	is.Equal(request(t, e, "GET", "/v1/calls/"+id, "").err.Kind, "unavailable")
	restarted := berylid.New("a1", "i0", 1).String()
	is.Equal(request(t, e, "GET", "/v1/calls/"+restarted, "").err.Kind, "unknown")
}

// Guards against dispatching to agents that must not get work, and against a
// caller that waits long although no backend server is available.
func TestNoWorkForUnusableAgents(t *testing.T) {
	is := is.New(t)
	e := startWithoutLog(t, testSettings("e1"))
	begin := time.Now()
	got := request(t, e, "POST", "/v1/calls?class=write", "x", berylapi.HeaderTimeout, "200ms")
	is.Equal(got.err.Kind, "notrun")
	is.True(time.Since(begin) < time.Second)

	a := newFakeAgent(t, "a1")
	a.announce(t, e, nil)
	is.Equal(request(t, e, "POST", "/v1/calls?class=write", "x").status, 200)
	is.Equal(operatorRequest(t, e, "/v1/agents/a1/drain", "").status, 200)
	is.Equal(operatorRequest(t, e, "/v1/agents/a9/drain", "").err.Kind, "missing")
	got = request(t, e, "POST", "/v1/calls?class=write", "x", berylapi.HeaderTimeout, "200ms")
	is.Equal(got.err.Kind, "notrun")
	agents := request(t, e, "GET", "/v1/agents", "", "Authorization", "Bearer op")
	is.True(strings.Contains(agents.body, `"draining":true`))
	is.Equal(a.ran(), 1)
}

// Guards against an account that exceeds its rate at the expense of other
// accounts.
func TestAccountRateLimit(t *testing.T) {
	is := is.New(t)
	e := startWithoutLog(t, testSettings("e1"))
	a := newFakeAgent(t, "a1")
	a.announce(t, e, nil)
	limited := []string{berylapi.HeaderAccount, "slow", "Authorization", "Bearer st"}
	is.Equal(request(t, e, "POST", "/v1/calls?class=write", "x", limited...).status, 200)
	is.Equal(request(t, e, "POST", "/v1/calls?class=write", "x", limited...).err.Kind, "notrun")
	is.Equal(request(t, e, "POST", "/v1/calls?class=write", "x").status, 200)
	is.Equal(a.ran(), 2)
}
