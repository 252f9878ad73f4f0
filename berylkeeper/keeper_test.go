package berylkeeper

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylexecutor"
	"berylglade/berylreport"
)

func limits() Limits {
	return Limits{LeaderTimeout: 3500 * time.Millisecond, Lease: 5500 * time.Millisecond, Poll: 500 * time.Millisecond}
}

func start() time.Time { return time.UnixMilli(1_000_000) }

// newKeeper returns a keeper that has just received the first heartbeat of its
// backend server.
func newKeeper(now time.Time) *Keeper {
	k := New("side-1", "10.0.0.1:7000", 77, limits())
	k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 5}, Addr: "10.0.0.1:80", Seq: 1, Clock: 10_000})
	return k
}

// readyKeeper returns a keeper that has listed its backend server and is in
// contact with a leader.
func readyKeeper(is *is.I, now time.Time) *Keeper {
	k := newKeeper(now)
	first := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: first.Call, Seq: first.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5}})
	k.Answer(berylreport.Answer{Epoch: 3, FromLeader: true}, k.Incarnation(), k.BackendClock(now))
	return k
}

// only returns the single issued call of type C.
func only[C berylexecutor.Call](is *is.I, calls []IssuedCall) IssuedCall {
	is.Helper()
	found := callsOf[C](calls)
	is.Equal(len(found), 1)
	return found[0]
}

func callsOf[C berylexecutor.Call](calls []IssuedCall) []IssuedCall {
	var found []IssuedCall
	for _, t := range calls {
		if _, ok := t.Call.(C); ok {
			found = append(found, t)
		}
	}
	return found
}

func key(task string) berylreport.Key { return berylreport.Key{Task: task, Run: 1} }

func orders(now time.Time, k *Keeper, starts []string, stops []string) berylreport.Orders {
	o := berylreport.Orders{Epoch: 3, Incarnation: k.Incarnation(), Basis: k.BackendClock(now), Boot: k.Boot}
	for _, s := range starts {
		o.Start = append(o.Start, berylreport.Start{Key: key(s)})
	}
	for _, s := range stops {
		o.Stop = append(o.Stop, key(s))
	}
	return o
}

// Guards against a listing loop that stops when replies arrive out of order:
// leases would expire and ends would not be seen.
func TestListingContinuesAfterReorderedReplies(t *testing.T) {
	is := is.New(t)
	now := start()
	k := newKeeper(now)
	first := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.relist = true
	second := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: second.Call, Seq: second.Seq, Listing: berylexecutor.Listing{Clock: 10_001, StartedAt: 5}})
	k.Outcome(now, Outcome{Call: first.Call, Seq: first.Seq, Listing: berylexecutor.Listing{Clock: 10_001, StartedAt: 5}})
	is.Equal(len(callsOf[berylexecutor.RenewCall](k.Calls(now))), 1)
}

// Guards against a lease that extends beyond the bound after which the leader
// reassigns the tasks of an unresponsive agent.
func TestLeaseIsBoundedByLeaderContact(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	l := limits()
	bound := 10_000 + (l.LeaderTimeout + l.Lease).Milliseconds()
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		for _, issued := range k.Calls(now) {
			if c, ok := issued.Call.(berylexecutor.RenewCall); ok {
				is.True(c.Deadline <= bound)
				k.Outcome(now, Outcome{Call: issued.Call, Seq: issued.Seq, Listing: berylexecutor.Listing{Clock: k.BackendClock(now), StartedAt: 5}})
			}
		}
	}
}

// Guards against renewed contact by an answer that does not count: one of an
// entry that does not lead, of an older leader, or for an earlier incarnation.
func TestAnswerDoesNotRenewContact(t *testing.T) {
	tests := []struct {
		name      string
		give      berylreport.Answer
		startedAt int64
	}{
		{name: "not from the leader", give: berylreport.Answer{Epoch: 3}, startedAt: 5},
		{name: "older epoch", give: berylreport.Answer{Epoch: 2, FromLeader: true}, startedAt: 5},
		{name: "earlier incarnation", give: berylreport.Answer{Epoch: 3, FromLeader: true}, startedAt: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := newKeeper(now)
			k.epoch = 3
			k.Answer(tt.give, berylbook.Incarnation{Node: "side-1", Instance: "i-1", StartedAt: tt.startedAt}, 10_000)
			is.Equal(k.lease(now), int64(0))
		})
	}
}

// Guards against abandoning a start that may still be carried out: the task
// would run twice.
func TestRefusalAfterUnknownOutcomeStopsRun(t *testing.T) {
	tests := []struct {
		name string
		// unanswered is true if an earlier attempt got no answer.
		unanswered bool
		want       phase
	}{
		{name: "first attempt refused", want: absent},
		{name: "earlier attempt unanswered", unanswered: true, want: stopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := readyKeeper(is, now)
			k.Orders(now, orders(now, k, []string{"a.0.0.0"}, nil))
			if tt.unanswered {
				c := only[berylexecutor.StartCall](is, k.Calls(now))
				k.Outcome(now, Outcome{Call: c.Call, Seq: c.Seq, Err: timeoutError()})
				now = now.Add(50 * time.Millisecond)
				list(now, k, 5)
			}
			c := only[berylexecutor.StartCall](is, k.Calls(now))
			k.Outcome(now, Outcome{Call: c.Call, Seq: c.Seq, Err: berylexecutor.ErrRefused})
			is.Equal(k.runs[key("a.0.0.0")].phase, tt.want)
		})
	}
}

// list answers all listing calls that the keeper issues.
func list(now time.Time, k *Keeper, startedAt int64, runs ...berylreport.Run) {
	for _, t := range callsOf[berylexecutor.RenewCall](k.Calls(now)) {
		k.Outcome(now, Outcome{Call: t.Call, Seq: t.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: startedAt, Runs: runs}})
	}
}

// listAfter answers the first listing call that was issued after a stop, without runs.
func listAfter(is *is.I, now time.Time, k *Keeper, stop IssuedCall) {
	is.Helper()
	later := slices.DeleteFunc(callsOf[berylexecutor.RenewCall](k.Calls(now)), func(c IssuedCall) bool { return c.Seq <= stop.Seq })
	is.True(len(later) > 0)
	k.Outcome(now, Outcome{Call: later[0].Call, Seq: later[0].Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5}})
}

// Guards against a start that reaches a backend server after an unnoticed
// restart: after a failed call nothing is started before a listing, and calls
// are not repeated without a pause (soak seeds 9 and 11).
func TestNoStartWhileIncarnationIsUnverified(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	k.Orders(now, orders(now, k, []string{"a.0.0.0"}, nil))
	c := only[berylexecutor.StartCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: c.Call, Seq: c.Seq, Err: timeoutError()})
	is.Equal(len(callsOf[berylexecutor.StartCall](k.Calls(now))), 0)
	now = now.Add(time.Second)
	is.Equal(len(callsOf[berylexecutor.StartCall](k.Calls(now))), 0)
	k.relist = true
	list(now, k, 5)
	is.Equal(len(callsOf[berylexecutor.StartCall](k.Calls(now))), 1)
}

// Guards against reporting a new incarnation while a call meant for the
// previous one has started a task there: the leader would consider that task
// ended and start it elsewhere (soak seeds 9 and 11).
func TestNewIncarnationIsReportableWithoutStrays(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	is.True(k.Reportable(now))
	k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 9}, Addr: "10.0.0.1:80", Seq: 1, Clock: 50})
	is.True(!k.Reportable(now))
	list(now, k, 9, berylreport.Run{Key: key("a.0.0.0")})
	is.True(!k.Reportable(now))
	stop := only[berylexecutor.StopCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: stop.Call, Seq: stop.Seq})
	k.relist = true
	now = now.Add(time.Second)
	list(now, k, 9)
	is.True(k.Reportable(now))
}

// Guards against reporting a run as absent because of a listing made before the
// stop.
func TestStopIsSettledByLaterListing(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	before := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.Orders(now, orders(now, k, nil, []string{"a.0.0.0"}))
	stop := only[berylexecutor.StopCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: stop.Call, Seq: stop.Seq})
	k.Outcome(now, Outcome{Call: before.Call, Seq: before.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5}})
	is.Equal(len(k.Report(now).Absent), 0)
	listAfter(is, now, k, stop)
	is.Equal(k.Report(now).Absent, []berylreport.Key{key("a.0.0.0")})
}

// Guards against carrying out orders of a deposed leader, or orders for an
// earlier incarnation.
func TestOrdersOfOtherEpochOrIncarnationAreIgnored(t *testing.T) {
	tests := []struct {
		name      string
		epoch     int64
		startedAt int64
		want      int
	}{
		{name: "current", epoch: 3, startedAt: 5, want: 1},
		{name: "deposed leader", epoch: 2, startedAt: 5},
		{name: "earlier incarnation", epoch: 3, startedAt: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := readyKeeper(is, now)
			o := orders(now, k, []string{"a.0.0.0"}, nil)
			o.Epoch = tt.epoch
			o.Incarnation.StartedAt = tt.startedAt
			k.Orders(now, o)
			is.Equal(len(callsOf[berylexecutor.StartCall](k.Calls(now))), tt.want)
		})
	}
}

// Guards against late starts that were meant for the previous incarnation,
// after the backend server restarted under the same name.
func TestNewIncarnationRaisesFence(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	k.Calls(now)
	old := k.target().Fence
	is.True(k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 9}, Addr: "10.0.0.1:80", Seq: 1, Clock: 50}))
	is.True(k.target().Fence > old)
	// The listing that raises the fence does not wait for the one in flight.
	is.True(callsOf[berylexecutor.RenewCall](k.Calls(now))[0].Call.(berylexecutor.RenewCall).Fence > old)
	is.True(!k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 5}, Addr: "10.0.0.1:80", Seq: 9, Clock: 10_500}))
	is.Equal(k.Incarnation().StartedAt, int64(9))
}

// Guards against a start on a backend server that is draining.
func TestNoStartWhileDraining(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 5}, Addr: "10.0.0.1:80", Seq: 2, Clock: 10_000, Draining: true})
	k.Orders(now, orders(now, k, []string{"a.0.0.0"}, nil))
	is.Equal(len(callsOf[berylexecutor.StartCall](k.Calls(now))), 0)
	is.Equal(k.Report(now).Absent, []berylreport.Key{key("a.0.0.0")})
}

// Guards against a report between two heartbeats that gives the time until the
// departure as of the last one: runs would be kept beyond it.
func TestRemainingDecreasesBetweenHeartbeats(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 5}, Addr: "10.0.0.1:80", Seq: 2, Clock: 10_000, Draining: true, Remaining: 1000})
	is.Equal(k.Report(now).Remaining, int64(1000))
	is.Equal(k.Report(now.Add(700*time.Millisecond)).Remaining, int64(300))
	is.Equal(k.Report(now.Add(2*time.Second)).Remaining, int64(0))
}

// Guards against reporting that no run can exist while the lease may still be
// valid.
func TestLeaseExpiredOnlyAfterDeadline(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		for _, issued := range k.Calls(now) {
			k.Outcome(now, Outcome{Call: issued.Call, Seq: issued.Seq, Err: timeoutError()})
		}
		if !k.Report(now).LeaseExpired {
			continue
		}
		// A clock that is 2% slow must have passed the last deadline too.
		elapsed := float64(now.Sub(start()).Milliseconds()) * 0.98
		is.True(10_000+int64(elapsed) > k.deadline)
		return
	}
	t.Fatal("lease is never reported as expired")
}

type errTimeout struct{}

func (errTimeout) Error() string { return "timeout" }

// timeoutError returns the error of a call without an answer.
func timeoutError() error { return errTimeout{} }

// Guards against losing a listed end when the backend server restarts before
// the leader has received the end.
func TestUnackedEndsSurviveRestart(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	done := berylreport.End{Key: key("a.0.0.0"), Seq: 1, Reason: berylreport.Done}
	for _, issued := range callsOf[berylexecutor.RenewCall](k.Calls(now)) {
		k.Outcome(now, Outcome{Call: issued.Call, Seq: issued.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5, Ends: []berylreport.End{done}}})
	}
	old := k.Incarnation()
	k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 9}, Addr: "10.0.0.1:80", Seq: 1, Clock: 50})
	is.Equal(k.Report(now).PastEnds, berylreport.PastEnds{Incarnation: old, Ends: []berylreport.End{done}})
	is.Equal(len(k.Report(now).Ends), 0)
}
