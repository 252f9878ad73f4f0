package berylentry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylanswer"
	"berylglade/berylapi"
	"berylglade/berylcall"
	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/beryllog"
	"berylglade/berylrecord"
	"berylglade/berylstandlog"
)

// startLog serves a stand-in for the platform's log until the test ends.
func startLog(t *testing.T) (*berylstandlog.Log, string) {
	t.Helper()
	is := is.New(t)
	l, err := berylstandlog.New(berylstandlog.Settings{}, berylclock.System())
	is.NoErr(err)
	srv := httptest.NewServer(l)
	t.Cleanup(srv.Close)
	return l, srv.URL
}

// publishConfig appends the test configuration to the log as an operator's tool
// would.
func publishConfig(t *testing.T, url string) {
	t.Helper()
	is := is.New(t)
	cfg := testConfig()
	set := map[string]any{}
	for name, v := range cfg.Classes {
		set["classes/"+name] = v
	}
	for name, v := range cfg.Accounts {
		set["accounts/"+name] = v
	}
	for name, v := range cfg.Domains {
		set["domains/"+name] = v
	}
	data, err := berylrecord.Encode(berylrecord.New(0, berylrecord.Change{By: "jo", Set: encodeValues(t, set)}))
	is.NoErr(err)
	client := beryllog.NewClient(url, "test")
	defer client.Close()
	_, err = client.Append(context.Background(), berylrecord.StreamConfig, data)
	is.NoErr(err)
}

// startWithLog runs an entry on a log and waits for its configuration.
func startWithLog(t *testing.T, name, url string) *Entry {
	t.Helper()
	s := testSettings(name)
	s.Log = url
	e := startEntry(t, s, nil)
	eventually(t, "configuration", func() bool { return e.Config().Offset > 0 })
	return e
}

// eventually waits up to ten seconds until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("no %s after 10 s", what)
}

// Guards against a key whose call runs twice, and against a key that returns
// the answer to another request.
func TestKeyBindsOneRequest(t *testing.T) {
	is := is.New(t)
	_, url := startLog(t)
	publishConfig(t, url)
	e1, e2 := startWithLog(t, "e1", url), startWithLog(t, "e2", url)
	a := newFakeAgent(t, "a1")
	a.announce(t, e1, nil)
	a.announce(t, e2, nil)

	first := request(t, e1, "POST", "/v1/calls?class=write", "rows", berylapi.HeaderKey, "k1")
	is.Equal(first.body, "echo rows")
	again := request(t, e2, "POST", "/v1/calls?class=write", "rows", berylapi.HeaderKey, "k1")
	is.Equal(again.body, "echo rows")
	is.Equal(again.id, first.id)
	is.Equal(a.ran(), 1)

	other := request(t, e2, "POST", "/v1/calls?class=write", "other", berylapi.HeaderKey, "k1")
	is.Equal(other.err.Kind, "conflict")
	is.Equal(a.ran(), 1)

	byKey := request(t, e2, "GET", "/v1/keys/k1", "")
	is.Equal(byKey.body, "echo rows")
	foreign := request(t, e2, "GET", "/v1/keys/k1", "", berylapi.HeaderAccount, "ribnica", "Authorization", "Bearer rt")
	is.Equal(foreign.err.Kind, "missing")
	same := request(t, e2, "POST", "/v1/calls?class=write", "rows", berylapi.HeaderKey, "k1",
		berylapi.HeaderAccount, "ribnica", "Authorization", "Bearer rt")
	is.Equal(same.body, "echo rows")
	is.Equal(a.ran(), 2)
}

// Guards against a new attempt for a key while its first call ID may still run.
func TestKeyedRetryAfterFailure(t *testing.T) {
	tests := []struct {
		name  string
		serve func(a *fakeAgent, call berylcall.Call) (berylanswer.Answer, error)
		// want has the error kinds of three requests with the same key.
		want []string
		ran  int
	}{
		{name: "refused once", serve: failNth(map[int]berylerror.Kind{1: berylerror.NotRun}), want: []string{"", "", ""}, ran: 1},
		{name: "unknown", serve: failNth(map[int]berylerror.Kind{1: berylerror.Unknown}), want: []string{"unknown", "unknown", "unknown"}, ran: 1},
		{name: "failed", serve: failNth(map[int]berylerror.Kind{1: berylerror.Failed}), want: []string{"failed", "failed", "failed"}, ran: 1},
		{name: "reply lost", serve: func(a *fakeAgent, call berylcall.Call) (berylanswer.Answer, error) {
			a.closeConns()
			return echo(a, call)
		}, want: []string{"", "", ""}, ran: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, url := startLog(t)
			publishConfig(t, url)
			e := startWithLog(t, "e1", url)
			a := newFakeAgent(t, "a1")
			a.serve = tt.serve
			a.announce(t, e, nil)
			for _, want := range tt.want {
				got := request(t, e, "POST", "/v1/calls?class=write", "rows", berylapi.HeaderKey, "k1")
				is.Equal(got.err.Kind, want)
			}
			is.Equal(a.ran(), tt.ran)
		})
	}
}

// failNth fails the calls whose numbers are in kinds.
func failNth(kinds map[int]berylerror.Kind) func(*fakeAgent, berylcall.Call) (berylanswer.Answer, error) {
	var mu sync.Mutex
	n := 0
	return func(a *fakeAgent, call berylcall.Call) (berylanswer.Answer, error) {
		mu.Lock()
		n++
		k, ok := kinds[n]
		mu.Unlock()
		if ok {
			return berylanswer.Answer{}, k.Errorf("scripted")
		}
		return echo(a, call)
	}
}

// Guards against running a keyed call whose intent could not be recorded.
func TestKeyedCallIsRefusedWithoutLog(t *testing.T) {
	is := is.New(t)
	l, url := startLog(t)
	publishConfig(t, url)
	e := startWithLog(t, "e1", url)
	a := newFakeAgent(t, "a1")
	a.announce(t, e, nil)
	l.SetFaults(berylstandlog.Faults{Down: true})
	got := request(t, e, "POST", "/v1/calls?class=write", "rows", berylapi.HeaderKey, "k1", berylapi.HeaderTimeout, "500ms")
	is.Equal(got.err.Kind, "notrun")
	is.Equal(a.ran(), 0)
	unkeyed := request(t, e, "POST", "/v1/calls?class=write", "rows")
	is.Equal(unkeyed.body, "echo rows")
	l.SetFaults(berylstandlog.Faults{LoseReplies: 1})
	got = request(t, e, "POST", "/v1/calls?class=write", "rows", berylapi.HeaderKey, "k1")
	is.Equal(got.body, "echo rows")
	is.Equal(a.ran(), 2)
}

// serveScript makes the backend server handle the calls of each key according
// to a list of steps.
type serveScript struct {
	mu    sync.Mutex
	steps map[string][]string
	// ran has the call IDs that a backend server has run, by key.
	ran map[string]map[string]bool
}

func (s *serveScript) serve(a *fakeAgent, call berylcall.Call) (berylanswer.Answer, error) {
	key := string(call.Body)
	s.mu.Lock()
	step := "answer"
	if steps := s.steps[key]; len(steps) > 0 {
		step, s.steps[key] = steps[0], steps[1:]
	}
	if step != "refuse" {
		if s.ran[key] == nil {
			s.ran[key] = map[string]bool{}
		}
		s.ran[key][call.ID] = true
	}
	s.mu.Unlock()
	switch step {
	case "refuse":
		return berylanswer.Answer{}, berylerror.NotRun.Errorf("scripted")
	case "slow":
		time.Sleep(30 * time.Millisecond)
	case "cut":
		a.closeConns()
	case "unknown":
		return berylanswer.Answer{}, berylerror.Unknown.Errorf("scripted")
	}
	return echo(a, call)
}

// Guards against a key that is dispatched to two agents, or under two call IDs,
// without a tombstone in between, in any schedule of lost replies, refusals and
// retries at two entries.
func TestKeyRunsAtMostOnce(t *testing.T) {
	l, url := startLog(t)
	publishConfig(t, url)
	entries := []*Entry{startWithLog(t, "e1", url), startWithLog(t, "e2", url)}
	s := &serveScript{steps: map[string][]string{}, ran: map[string]map[string]bool{}}
	for _, name := range []string{"a1", "a2", "a3"} {
		a := newFakeAgent(t, name)
		a.serve = s.serve
		for _, e := range entries {
			a.announce(t, e, nil)
		}
	}
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		n++
		key := fmt.Sprintf("key-%d", n)
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"answer", "refuse", "cut", "slow", "unknown"}), 0, 4).Draw(rt, "steps")
		lose := rapid.IntRange(0, 2).Draw(rt, "lost appends")
		s.mu.Lock()
		s.steps[key] = steps
		s.mu.Unlock()
		l.SetFaults(berylstandlog.Faults{LoseReplies: lose})
		kinds := make([]string, rapid.IntRange(1, 4).Draw(rt, "requests"))
		var wg sync.WaitGroup
		for i := range kinds {
			e := entries[rapid.IntRange(0, 1).Draw(rt, "entry")]
			pause := time.Duration(rapid.IntRange(0, 60).Draw(rt, "pause")) * time.Millisecond
			wg.Go(func() {
				time.Sleep(pause)
				got := request(t, e, "POST", "/v1/calls?class=write", key, berylapi.HeaderKey, key, berylapi.HeaderTimeout, "1s")
				kinds[i] = got.err.Kind
				if got.err.Kind == "" && got.body != "echo "+key {
					t.Errorf("answer %q to %q", got.body, key)
				}
			})
		}
		wg.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if ran := len(s.ran[key]); ran > 1 {
			rt.Fatalf("key ran %d times; error kinds %s", ran, strings.Join(kinds, ","))
		}
		if len(s.ran[key]) > 0 && !slices.ContainsFunc(kinds, func(k string) bool { return k != "notrun" }) {
			rt.Fatalf("key ran but every answer is notrun")
		}
		for _, kind := range kinds {
			if kind == "" && len(s.ran[key]) != 1 {
				rt.Fatalf("got an answer but the key did not run exactly once")
			}
			if kind != "" && kind != "unknown" && kind != "notrun" {
				rt.Fatalf("unexpected error kind %s", kind)
			}
		}
	})
}
