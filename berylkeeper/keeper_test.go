package berylkeeper

import (
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

// fresh returns a keeper whose backend server has just sent its first heartbeat.
func fresh(now time.Time) *Keeper {
	k := New("side-1", "10.0.0.1:7000", 77, limits())
	k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 5}, Addr: "10.0.0.1:80", Seq: 1, Clock: 10_000})
	return k
}

// ready returns a keeper that has listed its backend server and is in contact
// with a leader.
func ready(is *is.I, now time.Time) *Keeper {
	k := fresh(now)
	first := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: first.Call, Seq: first.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5}})
	k.Answer(berylreport.Answer{Epoch: 3, FromLeader: true}, k.Incarnation(), k.BackendClock(now))
	return k
}

// only returns the one task with a call of type C.
func only[C berylexecutor.Call](is *is.I, tasks []IssuedCall) IssuedCall {
	is.Helper()
	found := of[C](tasks)
	is.Equal(len(found), 1)
	return found[0]
}

func of[C berylexecutor.Call](tasks []IssuedCall) []IssuedCall {
	var found []IssuedCall
	for _, t := range tasks {
		if _, ok := t.Call.(C); ok {
			found = append(found, t)
		}
	}
	return found
}

func key(task string) berylreport.Key { return berylreport.Key{Task: task, Run: 1} }

func orders(k *Keeper, starts []string, stops []string) berylreport.Orders {
	o := berylreport.Orders{Epoch: 3, Incarnation: k.Incarnation()}
	for _, s := range starts {
		o.Start = append(o.Start, berylreport.Start{Key: key(s)})
	}
	for _, s := range stops {
		o.Stop = append(o.Stop, key(s))
	}
	return o
}

// Guards against a listing loop that ends for good when replies overtake each
// other: leases would run out and ends go unseen.
func TestListingGoesOnAfterOvertaking(t *testing.T) {
	is := is.New(t)
	now := start()
	k := fresh(now)
	first := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.recheck = true
	second := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: second.Call, Seq: second.Seq, Listing: berylexecutor.Listing{Clock: 10_001, StartedAt: 5}})
	k.Outcome(now, Outcome{Call: first.Call, Seq: first.Seq, Listing: berylexecutor.Listing{Clock: 10_001, StartedAt: 5}})
	is.Equal(len(of[berylexecutor.RenewCall](k.Calls(now))), 1)
}

// Guards against a lease that reaches further than the leader counts on when it
// gives the tasks of a silent agent to others.
func TestLeaseEndsWithContact(t *testing.T) {
	is := is.New(t)
	now := start()
	k := ready(is, now)
	l := limits()
	bound := 10_000 + (l.LeaderTimeout + l.Lease).Milliseconds()
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		for _, task := range k.Calls(now) {
			if c, ok := task.Call.(berylexecutor.RenewCall); ok {
				is.True(c.Deadline <= bound)
				k.Outcome(now, Outcome{Call: task.Call, Seq: task.Seq, Listing: berylexecutor.Listing{Clock: k.BackendClock(now), StartedAt: 5}})
			}
		}
	}
}

// Guards against contact through an answer that does not count: of an entry that
// does not lead, of an older leader, or for an earlier life.
func TestAnswersThatAreNoContact(t *testing.T) {
	tests := []struct {
		name string
		give berylreport.Answer
		born int64
	}{
		{name: "not led", give: berylreport.Answer{Epoch: 3}, born: 5},
		{name: "older epoch", give: berylreport.Answer{Epoch: 2, FromLeader: true}, born: 5},
		{name: "earlier life", give: berylreport.Answer{Epoch: 3, FromLeader: true}, born: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := fresh(now)
			k.epoch = 3
			k.Answer(tt.give, berylbook.Incarnation{Node: "side-1", Instance: "i-1", StartedAt: tt.born}, 10_000)
			is.Equal(k.lease(now), int64(0))
		})
	}
}

// Guards against a start that is given up while it may still be carried out: the
// task would run twice.
func TestRefusalAfterSilenceStopsFirst(t *testing.T) {
	tests := []struct {
		name string
		// silent is true if an earlier try had no answer.
		silent bool
		want   phase
	}{
		{name: "first try refused", want: absent},
		{name: "earlier try unanswered", silent: true, want: stopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := ready(is, now)
			k.Orders(now, orders(k, []string{"a.0.0.0"}, nil))
			if tt.silent {
				c := only[berylexecutor.StartCall](is, k.Calls(now))
				k.Outcome(now, Outcome{Call: c.Call, Seq: c.Seq, Err: context()})
				now = now.Add(50 * time.Millisecond)
				list(now, k, 5)
			}
			c := only[berylexecutor.StartCall](is, k.Calls(now))
			k.Outcome(now, Outcome{Call: c.Call, Seq: c.Seq, Err: berylexecutor.ErrRefused})
			is.Equal(k.runs[key("a.0.0.0")].phase, tt.want)
		})
	}
}

// list answers all listings that the keeper asks for.
func list(now time.Time, k *Keeper, born int64, runs ...berylreport.Run) {
	for _, t := range of[berylexecutor.RenewCall](k.Calls(now)) {
		k.Outcome(now, Outcome{Call: t.Call, Seq: t.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: born, Runs: runs}})
	}
}

// Guards against a start that reaches a backend server which was born again
// unnoticed: after a broken call nothing is started before a listing, and calls
// are not repeated without a pause (soak seeds 9 and 11).
func TestNoStartWhileTheLifeIsInDoubt(t *testing.T) {
	is := is.New(t)
	now := start()
	k := ready(is, now)
	k.Orders(now, orders(k, []string{"a.0.0.0"}, nil))
	c := only[berylexecutor.StartCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: c.Call, Seq: c.Seq, Err: context()})
	is.Equal(len(of[berylexecutor.StartCall](k.Calls(now))), 0)
	now = now.Add(time.Second)
	is.Equal(len(of[berylexecutor.StartCall](k.Calls(now))), 0)
	k.recheck = true
	list(now, k, 5)
	is.Equal(len(of[berylexecutor.StartCall](k.Calls(now))), 1)
}

// Guards against telling the leader of a new life while a call of the last one has
// started a task there: the leader takes the task for over and starts it elsewhere
// (soak seeds 9 and 11).
func TestNewLifeIsToldWithoutStrays(t *testing.T) {
	is := is.New(t)
	now := start()
	k := ready(is, now)
	is.True(k.Reportable())
	k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 9}, Addr: "10.0.0.1:80", Seq: 1, Clock: 50})
	is.True(!k.Reportable())
	list(now, k, 9, berylreport.Run{Key: key("a.0.0.0")})
	is.True(!k.Reportable())
	stop := only[berylexecutor.StopCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: stop.Call, Seq: stop.Seq})
	k.recheck = true
	now = now.Add(time.Second)
	list(now, k, 9)
	is.True(k.Reportable())
}

// Guards against a run that is called absent by a listing from before the stop.
func TestStopIsSettledByALaterListing(t *testing.T) {
	is := is.New(t)
	now := start()
	k := ready(is, now)
	before := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.Orders(now, orders(k, nil, []string{"a.0.0.0"}))
	stop := only[berylexecutor.StopCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: stop.Call, Seq: stop.Seq})
	k.Outcome(now, Outcome{Call: before.Call, Seq: before.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5}})
	is.Equal(len(k.Report(now).Absent), 0)
	after := of[berylexecutor.RenewCall](k.Calls(now))
	is.True(len(after) > 0)
	k.Outcome(now, Outcome{Call: after[0].Call, Seq: after[0].Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5}})
	is.Equal(k.Report(now).Absent, []berylreport.Key{key("a.0.0.0")})
}

// Guards against orders of a deposed leader and for an earlier life being
// carried out.
func TestOrdersThatAreNotForThisLife(t *testing.T) {
	tests := []struct {
		name  string
		epoch int64
		born  int64
		want  int
	}{
		{name: "current", epoch: 3, born: 5, want: 1},
		{name: "deposed leader", epoch: 2, born: 5},
		{name: "earlier life", epoch: 3, born: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := ready(is, now)
			o := orders(k, []string{"a.0.0.0"}, nil)
			o.Epoch = tt.epoch
			o.Incarnation.StartedAt = tt.born
			k.Orders(now, o)
			is.Equal(len(of[berylexecutor.StartCall](k.Calls(now))), tt.want)
		})
	}
}

// Guards against late starts of the last life on a backend server that was born
// again under the same name.
func TestRebirthRaisesTheFence(t *testing.T) {
	is := is.New(t)
	now := start()
	k := ready(is, now)
	k.Calls(now)
	old := k.target().Fence
	is.True(k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 9}, Addr: "10.0.0.1:80", Seq: 1, Clock: 50}))
	is.True(k.target().Fence > old)
	// The listing that raises the fence does not wait for the one under way.
	is.True(of[berylexecutor.RenewCall](k.Calls(now))[0].Call.(berylexecutor.RenewCall).Fence > old)
	is.True(!k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 5}, Addr: "10.0.0.1:80", Seq: 9, Clock: 10_500}))
	is.Equal(k.Incarnation().StartedAt, int64(9))
}

// Guards against a start on a backend server that has said that it leaves.
func TestNoStartWhileDraining(t *testing.T) {
	is := is.New(t)
	now := start()
	k := ready(is, now)
	k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 5}, Addr: "10.0.0.1:80", Seq: 2, Clock: 10_000, Draining: true})
	k.Orders(now, orders(k, []string{"a.0.0.0"}, nil))
	is.Equal(len(of[berylexecutor.StartCall](k.Calls(now))), 0)
	is.Equal(k.Report(now).Absent, []berylreport.Key{key("a.0.0.0")})
}

// Guards against telling that nothing can run while a lease may hold.
func TestLapsedOnlyAfterTheLease(t *testing.T) {
	is := is.New(t)
	now := start()
	k := ready(is, now)
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		for _, task := range k.Calls(now) {
			k.Outcome(now, Outcome{Call: task.Call, Seq: task.Seq, Err: context()})
		}
		if !k.Report(now).LeaseExpired {
			continue
		}
		// A clock that is 2% slow must have passed the last deadline too.
		elapsed := float64(now.Sub(start()).Milliseconds()) * 0.98
		is.True(10_000+int64(elapsed) > k.deadline)
		return
	}
	t.Fatal("never lapsed")
}

type timeout struct{}

func (timeout) Error() string { return "timeout" }

// context returns the error of a call without an answer.
func context() error { return timeout{} }

// Guards against an end that was listed and is forgotten when the backend server
// is born again before the leader has heard of it.
func TestEndsOutliveTheLife(t *testing.T) {
	is := is.New(t)
	now := start()
	k := ready(is, now)
	done := berylreport.End{Key: key("a.0.0.0"), Seq: 1, Reason: berylreport.Done}
	for _, task := range of[berylexecutor.RenewCall](k.Calls(now)) {
		k.Outcome(now, Outcome{Call: task.Call, Seq: task.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5, Ends: []berylreport.End{done}}})
	}
	old := k.Incarnation()
	k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 9}, Addr: "10.0.0.1:80", Seq: 1, Clock: 50})
	is.Equal(k.Report(now).PastEnds, berylreport.PastEnds{Incarnation: old, Ends: []berylreport.End{done}})
	is.Equal(len(k.Report(now).Ends), 0)
}
