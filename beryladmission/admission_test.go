package beryladmission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylconfig"
	"berylglade/berylerror"
)

func ready(t *Ticket) bool {
	select {
	case <-t.Ready:
		return true
	default:
		return false
	}
}

// TestBurstDoesNotDelayOthers guards against a burst of one account that delays
// another account's call.
func TestBurstDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var a Admission
	a.Resize(now, 8)
	enter := func(account string) *Ticket {
		ticket, err := a.Enter(now, Request{Account: account, Class: "c"})
		is.NoErr(err)
		return ticket
	}
	first := enter("b")
	a.Leave(now, first, true)
	for range 600 {
		enter("a")
	}
	is.True(ready(enter("b")))
}

// TestFreedPermitGoesToAccountWithFewest guards against an account whose burst gets
// every freed permit.
func TestFreedPermitGoesToAccountWithFewest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var a Admission
	a.Resize(now, 8)
	var burst []*Ticket
	for range 20 {
		ticket, err := a.Enter(now, Request{Account: "a", Class: "c"})
		is.NoErr(err)
		burst = append(burst, ticket)
	}
	is.True(ready(burst[11]))
	is.True(!ready(burst[12]))
	late, err := a.Enter(now, Request{Account: "b", Class: "c"})
	is.NoErr(err)
	is.True(!ready(late))
	a.Leave(now, burst[0], true)
	is.True(ready(late))
	is.True(!ready(burst[12]))
}

// TestEnterRejections guards against rejecting calls that would meet their deadline,
// and against accepting calls that cannot.
func TestEnterRejections(t *testing.T) {
	tests := []struct {
		name     string
		config   berylconfig.ClientAccount
		entries  int
		service  time.Duration
		deadline time.Duration
		calls    int
		accepted int
	}{
		{name: "no limits", calls: 100, accepted: 100, deadline: time.Minute},
		{name: "burst", config: berylconfig.ClientAccount{Rate: 10, Burst: 20}, calls: 100, accepted: 20, deadline: time.Minute},
		{name: "burst of this entry", config: berylconfig.ClientAccount{Rate: 10, Burst: 20}, entries: 2, calls: 100, accepted: 10, deadline: time.Minute},
		{name: "rate without burst", config: berylconfig.ClientAccount{Rate: 5}, calls: 100, accepted: 5, deadline: time.Minute},
		{name: "queue too long for the deadline", service: time.Second, deadline: 3 * time.Second, calls: 100, accepted: 24},
		{name: "meets the deadline", service: time.Millisecond, deadline: 3 * time.Second, calls: 100, accepted: 100},
		{name: "service time alone exceeds the deadline", service: 10 * time.Second, deadline: time.Second, calls: 1, accepted: 1},
		{name: "queue is full", calls: _maxQueue + 100, accepted: _maxQueue + 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			a := Admission{Entries: tt.entries}
			a.Resize(now, 8)
			if tt.service > 0 {
				ticket, err := a.Enter(now, Request{Account: "a", Class: "c"})
				is.NoErr(err)
				a.Leave(now.Add(tt.service), ticket, true)
			}
			accepted := 0
			for range tt.calls {
				r := Request{Account: "a", Config: tt.config, Class: "c"}
				if tt.deadline > 0 {
					r.Deadline = now.Add(tt.deadline)
				}
				_, err := a.Enter(now, r)
				if err == nil {
					accepted++
					continue
				}
				is.Equal(berylerror.Of(err), berylerror.NotRun)
			}
			is.Equal(accepted, tt.accepted)
		})
	}
}

// TestPermitsAreConserved guards against permits that are lost or granted twice:
// calls would then wait forever, or overload the backend servers.
func TestPermitsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		var a Admission
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		a.Resize(now, slots)
		var open []*Ticket
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			if len(open) == 0 || rapid.Bool().Draw(t, "enter") {
				account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
				ticket, err := a.Enter(now, Request{Account: account, Class: "c"})
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, ticket)
			} else {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "leave")
				a.Leave(now, open[i], rapid.Bool().Draw(t, "ok"))
				open = append(open[:i], open[i+1:]...)
			}
			held := 0
			for _, ticket := range open {
				if ready(ticket) {
					held++
				}
			}
			inflight, queued := a.Load()
			if held != inflight || held+queued != len(open) {
				t.Fatalf("%d held, %d in flight, %d queued, %d open", held, inflight, queued, len(open))
			}
			if float64(inflight) >= float64(slots)*_permitsPerSlot+1 {
				t.Fatalf("%d in flight for %d slots", inflight, slots)
			}
		}
		for _, ticket := range open {
			a.Leave(now, ticket, true)
		}
		if inflight, queued := a.Load(); inflight+queued != 0 {
			t.Fatalf("%d in flight and %d queued at the end", inflight, queued)
		}
	})
}
