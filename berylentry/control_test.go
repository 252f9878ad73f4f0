package berylentry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylapi"
	"berylglade/berylduration"
	"berylglade/beryljob"
	"berylglade/berylleader"
	"berylglade/berylmessage"
	"berylglade/berylrecord"
	"berylglade/berylshape"
	"berylglade/berylstandlog"
)

// fakeLeader records events and returns effects that a test has queued.
type fakeLeader struct {
	mu      sync.Mutex
	events  []berylleader.Event
	effects []berylleader.Effect
}

func (l *fakeLeader) Handle(_ time.Time, ev berylleader.Event) []berylleader.Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := ev.(berylleader.Tick); !ok {
		l.events = append(l.events, ev)
	}
	effects := l.effects
	l.effects = nil
	return effects
}

func (l *fakeLeader) queueEffects(effects ...berylleader.Effect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects = append(l.effects, effects...)
}

// eventsOf returns the recorded events of type E.
func eventsOf[E berylleader.Event](l *fakeLeader) []E {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []E
	for _, ev := range l.events {
		if e, ok := ev.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

func operatorRequest(t *testing.T, e *Entry, path, body string) response {
	t.Helper()
	return request(t, e, "POST", path, body, "Authorization", "Bearer op")
}

const jobBody = `{"class":"write","tasks":2,"shape":{"cores":1}}`

// Guards against jobs that are lost, duplicated by a retry at another entry, or
// visible to another client account.
func TestJobSubmissionAndCancellation(t *testing.T) {
	is := is.New(t)
	_, url := startLog(t)
	publishConfig(t, url)
	e1, e2 := startWithLog(t, "e1", url), startWithLog(t, "e2", url)
	var states [2]beryljob.State
	var wg sync.WaitGroup
	for i, e := range []*Entry{e1, e2} {
		wg.Go(func() {
			got := request(t, e, "POST", "/v1/jobs", jobBody, berylapi.HeaderKey, "k1")
			if err := json.Unmarshal([]byte(got.body), &states[i]); err != nil || got.status != 200 {
				t.Errorf("submit: %d %s", got.status, got.body)
			}
		})
	}
	wg.Wait()
	is.Equal(states[0].ID, states[1].ID)
	is.Equal(states[0].Phase, beryljob.Queued)

	other := request(t, e2, "POST", "/v1/jobs", `{"class":"write","tasks":3,"shape":{"cores":1}}`, berylapi.HeaderKey, "k1")
	is.Equal(other.err.Kind, "conflict")
	tooLarge := request(t, e1, "POST", "/v1/jobs", `{"class":"write","tasks":3,"shape":{"cores":9}}`,
		berylapi.HeaderAccount, "small", "Authorization", "Bearer mt")
	is.Equal(tooLarge.err.Kind, "impossible")
	first := request(t, e1, "POST", "/v1/jobs", jobBody)
	second := request(t, e1, "POST", "/v1/jobs", jobBody)
	is.True(first.body != second.body)

	id := states[0].ID
	eventually(t, "job at the other entry", func() bool { return request(t, e2, "GET", "/v1/jobs/"+id, "").status == 200 })
	foreign := []string{berylapi.HeaderAccount, "ribnica", "Authorization", "Bearer rt"}
	is.Equal(request(t, e1, "GET", "/v1/jobs/"+id, "", foreign...).err.Kind, "missing")
	is.Equal(request(t, e1, "DELETE", "/v1/jobs/"+id, "", foreign...).err.Kind, "missing")
	is.Equal(request(t, e1, "GET", "/v1/jobs", "", foreign...).body, "[]")
	var list []beryljob.State
	is.NoErr(json.Unmarshal([]byte(request(t, e1, "GET", "/v1/jobs", "").body), &list))
	is.Equal(len(list), 3)
	is.Equal(request(t, e1, "GET", "/v1/jobs/nojob", "").err.Kind, "missing")
	is.Equal(request(t, e1, "DELETE", "/v1/jobs/"+id, "").status, 200)
}

// Guards against a rejected change that is reported as accepted, and against an
// accepted change that is lost.
func TestPublishReportsVerdict(t *testing.T) {
	is := is.New(t)
	l, url := startLog(t)
	publishConfig(t, url)
	e := startWithLog(t, "e1", url)
	base := e.Config().Offset
	change := func(base int64, key, value string) string {
		return fmt.Sprintf(`{"base":%d,"by":"jo","set":{%q:%s}}`, base, key, value)
	}
	tests := []struct {
		name string
		give string
		want string
	}{
		{name: "accepted", give: change(base, "classes/new", `{}`)},
		{name: "conflict", give: change(base, "classes/new", `{"idempotent":true}`), want: "conflict"},
		{name: "unknown kind of key", give: change(base, "racks/r", `{}`), want: "invalid"},
		{name: "unknown field", give: change(base, "classes/x", `{"prio":1}`), want: "invalid"},
		{name: "two targets", give: change(base, "classes/x", `{"target":{"within":"1s","start":"1s"}}`), want: "invalid"},
		{name: "base above the log", give: change(base+100, "classes/x", `{}`), want: "invalid"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := operatorRequest(t, e, "/v1/config", tt.give)
			is.Equal(got.err.Kind, tt.want)
		})
	}
	_, ok := e.Config().Classes["new"]
	is.True(ok)
	is.Equal(e.Config().Offset, base+1)

	is.Equal(operatorRequest(t, e, "/v1/domains/ware-east/out", `{"grace":"1m"}`).status, 200)
	is.True(e.Config().Domains["ware-east"].Out)
	is.Equal(operatorRequest(t, e, "/v1/domains/ware-west/out", "").err.Kind, "missing")
	is.Equal(operatorRequest(t, e, "/v1/domains/ware-east/back", "").status, 200)
	is.True(!e.Config().Domains["ware-east"].Out)

	before := e.Config().Offset
	l.SetFaults(berylstandlog.Faults{LoseReplies: 1})
	is.Equal(operatorRequest(t, e, "/v1/domains/ware-east/out", "").status, 200)
	is.Equal(e.Config().Offset, before+1)
	l.SetFaults(berylstandlog.Faults{Down: true})
	eventually(t, "outage noticed", func() bool { return e.view.Load().failing[berylrecord.StreamConfig] })
	is.Equal(operatorRequest(t, e, "/v1/domains/ware-east/back", "").err.Kind, "unavailable")
	is.Equal(request(t, e, "POST", "/v1/jobs", jobBody).err.Kind, "notrun")
}

// Guards against an operator's change that is acknowledged before the entry's own
// view has it: the operator's next question was answered from the old one.
func TestChangeIsAcknowledgedAfterTheView(t *testing.T) {
	is := is.New(t)
	_, url := startLog(t)
	publishConfig(t, url)
	e := startWithLog(t, "e1", url)
	base := e.Config().Offset
	seen := make(chan int64, 2)
	look := func() { seen <- e.view.Load().config.Offset }
	record := berylrecord.New(base, berylrecord.Change{By: "jo", Set: map[string]json.RawMessage{"classes/new": json.RawMessage(`{}`)}})
	e.loop.Tell(watchChange{id: record.ID, done: t.Context().Done(), reply: func(changeResult) { look() }})
	e.loop.Tell(awaitOffset{stream: berylrecord.StreamConfig, offset: base + 1, done: t.Context().Done(), reply: look})
	is.NoErr(e.append(t.Context(), berylrecord.StreamConfig, record))
	is.Equal(<-seen, base+1)
	is.Equal(<-seen, base+1)
}

// Guards against accepting a guarantee, or a job, that the workers can never
// hold.
func TestImpossibleGuaranteeIsRejected(t *testing.T) {
	is := is.New(t)
	_, url := startLog(t)
	publishConfig(t, url)
	e := startWithLog(t, "e1", url)
	for i, domain := range []string{"d1", "d1", "d2"} {
		a := newFakeAgent(t, fmt.Sprintf("a%d", i))
		a.announce(t, e, func(b *berylmessage.Heartbeat) {
			b.Domain, b.Rack = domain, domain+"-r"
			b.Total = berylshape.Shape{Accelerators: 8, Cores: 64}
		})
	}
	eventually(t, "settled entry", func() bool { return e.view.Load().settled })
	tests := []struct {
		name string
		give string
		want string
	}{
		{name: "all", give: `{"shape":{"accelerators":8},"count":3}`},
		{name: "too many", give: `{"shape":{"accelerators":8},"count":4}`, want: "impossible"},
		{name: "too large for a worker", give: `{"shape":{"accelerators":9},"count":1}`, want: "impossible"},
		{name: "one rack", give: `{"shape":{"accelerators":8},"count":2,"adjacent":"rack"}`},
		{name: "more than one rack", give: `{"shape":{"accelerators":8},"count":3,"adjacent":"rack"}`, want: "impossible"},
		{name: "spare", give: `{"shape":{"accelerators":8},"count":1,"spare":true}`},
		{name: "no spare", give: `{"shape":{"accelerators":8},"count":2,"spare":true}`, want: "impossible"},
		{name: "together", give: `{"shape":{"accelerators":8},"count":3},{"shape":{"accelerators":1},"count":1}`, want: "impossible"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			body := fmt.Sprintf(`{"base":%d,"by":"jo","set":{"accounts/new":{"guarantees":[%s]}}}`, e.Config().Offset, tt.give)
			is.Equal(operatorRequest(t, e, "/v1/config", body).err.Kind, tt.want)
		})
	}
	none := request(t, e, "POST", "/v1/jobs", `{"class":"write","tasks":1,"shape":{"accelerators":9}}`)
	is.Equal(none.err.Kind, "impossible")
}

// Guards against two leaders at the same time, against no leader after a
// planned stop, and against events and effect results that do not reach the
// leader.
func TestLeadershipHandover(t *testing.T) {
	is := is.New(t)
	_, url := startLog(t)
	publishConfig(t, url)
	leaders := []*fakeLeader{{}, {}}
	entries := make([]*Entry, 2)
	stops := make([]func(), 2)
	for i, l := range leaders {
		s := testSettings(fmt.Sprintf("e%d", i))
		s.Log = url
		entries[i], stops[i] = startStoppable(t, s, l)
	}
	elected := func(l *fakeLeader) bool { return len(eventsOf[berylleader.Elected](l)) > 0 }
	eventually(t, "leader", func() bool { return elected(leaders[0]) || elected(leaders[1]) })
	first := 0
	if elected(leaders[1]) {
		first = 1
	}
	second := 1 - first
	is.True(!elected(leaders[second]))

	got := request(t, entries[second], "POST", "/v1/jobs", jobBody, berylapi.HeaderKey, "k1")
	is.Equal(got.status, 200)
	var state beryljob.State
	is.NoErr(json.Unmarshal([]byte(got.body), &state))
	eventually(t, "job at the leader", func() bool { return len(eventsOf[berylleader.JobChanged](leaders[first])) == 1 })
	is.Equal(request(t, entries[second], "DELETE", "/v1/jobs/"+state.ID, "").status, 200)
	eventually(t, "cancellation at the leader", func() bool { return len(eventsOf[berylleader.JobCancelled](leaders[first])) == 1 })
	term := eventsOf[berylleader.Elected](leaders[first])[0].Term
	state.Phase = beryljob.Cancelled
	leaders[first].queueEffects(
		berylleader.Append{Record: berylrecord.JobState{Term: term, State: state}},
		berylleader.SendReserve{Addr: "127.0.0.1:1", Reserve: berylmessage.Reserve{Job: state.ID}},
	)
	eventually(t, "append result", func() bool { return len(eventsOf[berylleader.Appended](leaders[first])) == 1 })
	eventually(t, "reserve result", func() bool { return len(eventsOf[berylleader.Reserved](leaders[first])) == 1 })
	is.True(eventsOf[berylleader.Reserved](leaders[first])[0].Err != nil)
	eventually(t, "cancelled job at both entries", func() bool {
		var s beryljob.State
		_ = json.Unmarshal([]byte(request(t, entries[second], "GET", "/v1/jobs/"+state.ID, "").body), &s)
		return s.Phase == beryljob.Cancelled
	})

	stops[first]()
	begin := time.Now()
	eventually(t, "successor", func() bool { return elected(leaders[second]) })
	is.True(time.Since(begin) < 2*time.Second)
	is.Equal(len(eventsOf[berylleader.Deposed](leaders[first])), 1)
	is.Equal(eventsOf[berylleader.Elected](leaders[second])[0].Term, term+1)
}

// Guards against starts while an entry may have accepted a change, and against
// blocking all starts in an outage that every entry observes.
func TestUnanimousOutageAllowsStarts(t *testing.T) {
	is := is.New(t)
	l, url := startLog(t)
	publishConfig(t, url)
	peers := []string{freeAddr(t), freeAddr(t)}
	entries := make([]*Entry, 2)
	for i := range entries {
		s := testSettings(fmt.Sprintf("e%d", i))
		s.Log, s.Peer, s.Entries = url, peers[i], []string{peers[1-i]}
		entries[i] = startEntry(t, s, nil)
	}
	starts := func(i int) bool {
		state, err := entries[i].State(t.Context())
		is.NoErr(err)
		return state.(State).Starts == ""
	}
	eventually(t, "confirmed entries", func() bool { return starts(0) && starts(1) })
	// One entry can read the log, so the other gets its confirmation from it
	// and there is no unanimous report.
	l.SetFaults(berylstandlog.Faults{RefuseClients: []string{"e0"}})
	eventually(t, "entry without log", func() bool { return entries[0].view.Load().failing[berylrecord.StreamConfig] })
	time.Sleep(4 * time.Second)
	is.True(starts(0))
	state, err := entries[0].State(t.Context())
	is.NoErr(err)
	is.True(!state.(State).Outage)
	l.SetFaults(berylstandlog.Faults{Down: true})
	eventually(t, "unanimous report", func() bool {
		state, err := entries[0].State(t.Context())
		return err == nil && state.(State).Outage
	})
	time.Sleep(4 * time.Second)
	is.True(starts(0))
	is.True(starts(1))
}

// A caller sends a request on an idle connection when the entry has begun to stop.
// Guards against a connection that is closed with the request on its way.
func TestGracefulStopAnswersOnIdleConnections(t *testing.T) {
	is := is.New(t)
	s := testSettings("e1")
	s.Log = "http://127.0.0.1:1"
	s.Drain = berylduration.Duration(5 * time.Second)
	e, stop := startStoppable(t, s, nil)
	offerConfig(t, e, testConfig())
	var d net.Dialer
	conn, err := d.DialContext(t.Context(), "tcp", e.HTTPAddr)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	// exchange reports whether the reply closes the connection.
	exchange := func() bool {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.HTTPAddr+"/v1/config", nil)
		is.NoErr(err)
		is.NoErr(req.Write(conn))
		resp, err := http.ReadResponse(r, req)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.Close
	}
	is.True(!exchange())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	<-e.stopping
	time.Sleep(_closeTime / 5)
	is.True(exchange())
	<-stopped
}

// Guards against a planned stop that interrupts a call in progress, or that
// leaves the entry ready for new ones.
func TestGracefulStopFinishesCalls(t *testing.T) {
	is := is.New(t)
	s := testSettings("e1")
	s.Log = "http://127.0.0.1:1"
	s.Drain = berylduration.Duration(5 * time.Second)
	e, stop := startStoppable(t, s, nil)
	offerConfig(t, e, testConfig())
	a := newFakeAgent(t, "a1")
	began := make(chan struct{})
	a.serve = serveSlowly(began, 500*time.Millisecond)
	a.announce(t, e, nil)
	got := make(chan response, 1)
	go func() { got <- request(t, e, "POST", "/v1/calls?class=write", "rows") }()
	<-began
	stop()
	is.Equal((<-got).body, "echo rows")
	is.True(e.Ready() != nil)
}
