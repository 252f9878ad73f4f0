package berylkeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylexecutor"
	"berylglade/berylreport"
)

// The agent restarts while its backend server is draining, and a new leader, which does
// not know yet that a run was started, orders it again. Guards against a run that is
// reported as absent though it exists: its task would run twice at the same time.
func TestRunOfEarlierProcessWhileDraining(t *testing.T) {
	run := berylreport.Run{Key: key("a.0.0.0")}
	tests := []struct {
		name        string
		orderFirst  bool
		runs        []berylreport.Run
		wantStopped bool
	}{
		{name: "listed, then ordered", runs: []berylreport.Run{run}},
		{name: "ordered, then listed", orderFirst: true, runs: []berylreport.Run{run}},
		{name: "start may still be carried out", wantStopped: true},
		{name: "ordered first, start may still be carried out", orderFirst: true, wantStopped: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := New("side-1", "10.0.0.1:7000", 78, limits())
			k.Heartbeat(now, Heartbeat{
				Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 5}, Addr: "10.0.0.1:80", Seq: 12, Clock: 10_000, Draining: true,
			})
			first := only[berylexecutor.RenewCall](is, k.Calls(now))
			order := func() { k.Orders(now, orders(now, k, []string{"a.0.0.0"}, nil)) }
			if tt.orderFirst {
				order()
				is.Equal(len(k.Report(now).Absent), 0)
				is.Equal(len(callsOf[berylexecutor.StopCall](k.Calls(now))), 0)
			}
			k.Outcome(now, Outcome{Call: first.Call, Seq: first.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5, Runs: tt.runs}})
			if !tt.orderFirst {
				order()
			}
			is.Equal(len(k.Report(now).Absent), 0)
			calls := k.Calls(now)
			is.Equal(len(callsOf[berylexecutor.StartCall](calls)), 0)
			stops := callsOf[berylexecutor.StopCall](calls)
			is.Equal(len(stops) == 1, tt.wantStopped)
			if !tt.wantStopped {
				return
			}
			k.Outcome(now, Outcome{Call: stops[0].Call, Seq: stops[0].Seq})
			is.Equal(len(k.Report(now).Absent), 0)
			listAfter(is, now, k, stops[0])
			is.Equal(k.Report(now).Absent, []berylreport.Key{key("a.0.0.0")})
		})
	}
}

// The agent has no contact with a leader for some seconds after it received a start.
// Guards against a start that is carried out with the next contact: the leader may have
// given up the run and started its task elsewhere.
func TestStartIsDroppedWhenLate(t *testing.T) {
	tests := []struct {
		name string
		// sent is true if the start was sent once, without an outcome.
		sent bool
	}{
		{name: "never sent"},
		{name: "outcome unknown", sent: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := readyKeeper(is, now)
			if !tt.sent {
				now = now.Add(limits().LeaderTimeout + limits().Lease + time.Second)
			}
			k.Orders(now, orders(now, k, []string{"a.0.0.0"}, nil))
			starts := callsOf[berylexecutor.StartCall](k.Calls(now))
			is.Equal(len(starts) == 1, tt.sent)
			if tt.sent {
				k.Outcome(now, Outcome{Call: starts[0].Call, Seq: starts[0].Seq, Err: timeoutError()})
			}
			now = now.Add(_startValidity + time.Millisecond)
			k.Answer(berylreport.Answer{Epoch: 3, FromLeader: true}, k.Incarnation(), k.BackendClock(now))
			calls := k.Calls(now)
			is.Equal(len(callsOf[berylexecutor.StartCall](calls)), 0)
			is.Equal(len(callsOf[berylexecutor.StopCall](calls)) == 1, tt.sent)
			is.Equal(len(k.Report(now).Absent) == 1, !tt.sent)
		})
	}
}

// Orders wait in the connection to an agent that is cut off, and are delivered after the
// leader has given up the run and started its task elsewhere. Guards against a start whose
// validity counts from its delivery.
func TestStartDeliveredAfterCutIsRefused(t *testing.T) {
	l := limits()
	tests := []struct {
		name string
		// age is the age of the report on which the orders are based.
		age  time.Duration
		want bool
	}{
		{name: "at once", want: true},
		{name: "within the leader timeout", age: l.LeaderTimeout, want: true},
		{name: "after the leader timeout", age: l.LeaderTimeout + time.Millisecond},
		{name: "after the lease", age: l.LeaderTimeout + l.Lease + 3*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := readyKeeper(is, now)
			o := orders(now, k, []string{"a.0.0.0"}, nil)
			now = now.Add(tt.age)
			k.Answer(berylreport.Answer{Epoch: 3, FromLeader: true}, k.Incarnation(), k.BackendClock(now))
			k.Changed()
			is.Equal(k.Orders(now, o).Late, !tt.want)
			starts := callsOf[berylexecutor.StartCall](k.Calls(now))
			is.Equal(len(starts) == 1, tt.want)
			// A refusal is reported, so that the leader orders again what it still wants.
			is.Equal(k.Changed(), !tt.want)
		})
	}
}

// The agent is suspended between the decision to send a start and its delivery. Guards
// against a backend server that carries out a start later than the leader relies on.
func TestDeadlineOfStartEndsWithItsBasis(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	o := orders(now, k, []string{"a.0.0.0"}, nil)
	until := o.Basis + limits().LeaderTimeout.Milliseconds()
	now = now.Add(limits().LeaderTimeout - time.Second)
	k.Answer(berylreport.Answer{Epoch: 3, FromLeader: true}, k.Incarnation(), k.BackendClock(now))
	k.Orders(now, o)
	is.Equal(only[berylexecutor.StartCall](is, k.Calls(now)).Call.(berylexecutor.StartCall).Deadline, until)
}

// A start waits for contact until its report is old, and the leader repeats the order.
// Guards against a repeated order that is dropped because of the first one.
func TestRepeatedOrderRenewsStart(t *testing.T) {
	is := is.New(t)
	now := start()
	k := newKeeper(now)
	first := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: first.Call, Seq: first.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5}})
	old := orders(now, k, []string{"a.0.0.0"}, nil)
	now = now.Add(limits().LeaderTimeout - 100*time.Millisecond)
	k.Orders(now, old)
	k.Orders(now, orders(now, k, []string{"a.0.0.0"}, nil))
	now = now.Add(time.Second)
	k.Answer(berylreport.Answer{Epoch: 3, FromLeader: true}, k.Incarnation(), k.BackendClock(now))
	is.Equal(len(callsOf[berylexecutor.StartCall](k.Calls(now))), 1)
}

// The agent reports that the lease has expired, so the leader gives up all runs, while a
// start waits to be sent or is still under way to the agent. Guards against a start that is
// sent when the backend server answers again: its task may run elsewhere.
func TestExpiredLeaseDropsStarts(t *testing.T) {
	tests := []struct {
		name string
		// received is true if the order reached the agent before the report.
		received bool
		// inFlight is true if a start call has no outcome at the time of the report.
		inFlight  bool
		wantStops int
	}{
		{name: "order received", received: true},
		{name: "start call in flight", received: true, inFlight: true, wantStops: 1},
		{name: "order under way"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := readyKeeper(is, now)
			o := orders(now, k, []string{"a.0.0.0"}, nil)
			now = now.Add(10 * time.Millisecond)
			var started IssuedCall
			if tt.inFlight {
				k.Orders(now, o)
			}
			calls := k.Calls(now)
			if tt.inFlight {
				started = only[berylexecutor.StartCall](is, calls)
			}
			poll := only[berylexecutor.RenewCall](is, calls)
			k.Outcome(now, Outcome{Call: poll.Call, Seq: poll.Seq, Err: berylexecutor.ErrDown})
			if tt.received {
				k.Orders(now, o)
			}
			is.True(k.Report(now).LeaseExpired)
			if !tt.received {
				is.True(k.Orders(now, o).Late)
			}
			if tt.inFlight {
				k.Outcome(now, Outcome{Call: started.Call, Seq: started.Seq, Err: timeoutError()})
			}
			now = now.Add(_retryPause)
			stops := 0
			for range 2 {
				calls = k.Calls(now)
				is.Equal(len(callsOf[berylexecutor.StartCall](calls)), 0)
				stops += len(callsOf[berylexecutor.StopCall](calls))
				for _, c := range callsOf[berylexecutor.RenewCall](calls) {
					k.Outcome(now, Outcome{Call: c.Call, Seq: c.Seq, Listing: berylexecutor.Listing{Clock: k.BackendClock(now), StartedAt: 5}})
				}
			}
			is.Equal(stops, tt.wantStops)
			is.True(!k.Report(now).LeaseExpired)
			is.True(!k.Orders(now, orders(now, k, []string{"b.0.0.0"}, nil)).Late)
		})
	}
}

// A start is called absent by an agent that then restarts, while a repeated order for it is
// still on its way. Guards against a start that the new process carries out although its
// task runs elsewhere.
func TestStartForEarlierProcessIsRefused(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	o := orders(now, k, []string{"a.0.0.0"}, nil)
	k.Boot++
	is.True(k.Orders(now, o).Late)
	is.Equal(len(callsOf[berylexecutor.StartCall](k.Calls(now))), 0)
	is.True(!k.Orders(now, orders(now, k, []string{"a.0.0.0"}, nil)).Late)
}

// A backend server restarts under its name while a start call is still on its way to it.
// Guards against a new incarnation that carries out the start until its first heartbeat,
// while the task runs elsewhere: only a higher fence makes it refuse the call.
func TestFenceIsRaisedBeforeFirstHeartbeat(t *testing.T) {
	restarted := berylexecutor.Listing{Clock: 10, StartedAt: 6}
	tests := []struct {
		name string
		give []Outcome
	}{
		{name: "no process listens", give: []Outcome{{Err: berylexecutor.ErrDown}}},
		{name: "another incarnation lists its runs", give: []Outcome{{Listing: restarted}}},
		{name: "both, and again", give: []Outcome{{Err: berylexecutor.ErrDown}, {Listing: restarted}, {Listing: restarted}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := readyKeeper(is, now)
			k.Orders(now, orders(now, k, []string{"a.0.0.0"}, nil))
			calls := k.Calls(now)
			held := only[berylexecutor.StartCall](is, calls).Call.(berylexecutor.StartCall)
			polls := callsOf[berylexecutor.RenewCall](calls)
			k.Outcome(now, Outcome{Call: held, Err: timeoutError()})
			for _, o := range tt.give {
				now = now.Add(limits().Poll)
				is.True(len(polls) > 0)
				for _, poll := range polls {
					o.Call, o.Seq = poll.Call, poll.Seq
					k.Outcome(now, o)
				}
				polls = callsOf[berylexecutor.RenewCall](k.Calls(now.Add(_retryPause)))
			}
			is.True(len(polls) > 0)
			call := polls[0].Call.(berylexecutor.RenewCall)
			is.True(call.Fence > held.Fence)
			is.True(call.Fence <= held.Fence+2)
		})
	}
}

// A start call gets no answer and is repeated; the run ends done and the leader records that,
// while the repeated call is in flight. Guards against an end that is acknowledged before that
// call has an outcome: a backend server that restarts would carry it out, after the end.
func TestEndIsKeptWhileItsStartIsInFlight(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	k.Orders(now, orders(now, k, []string{"a.0.0.0"}, nil))
	calls := k.Calls(now)
	first, poll := only[berylexecutor.StartCall](is, calls), only[berylexecutor.RenewCall](is, calls)
	now = now.Add(_callTimeout)
	k.Outcome(now, Outcome{Call: first.Call, Seq: first.Seq, Err: timeoutError()})
	k.Outcome(now, Outcome{Call: poll.Call, Seq: poll.Seq, Listing: berylexecutor.Listing{Clock: k.BackendClock(now), StartedAt: 5}})
	next := func() []IssuedCall {
		now = now.Add(_retryPause)
		return k.Calls(now)
	}
	list := func(calls []IssuedCall, ends ...berylreport.End) (acked int64) {
		for _, c := range callsOf[berylexecutor.RenewCall](calls) {
			acked = c.Call.(berylexecutor.RenewCall).Acked
			k.Outcome(now, Outcome{Call: c.Call, Seq: c.Seq, Listing: berylexecutor.Listing{Clock: k.BackendClock(now), StartedAt: 5, Ends: ends}})
		}
		return acked
	}
	list(next())
	calls = next()
	second := only[berylexecutor.StartCall](is, calls)
	ends := []berylreport.End{
		{Key: key("b.0.0.0"), Seq: 1, Reason: berylreport.Stopped}, {Key: key("a.0.0.0"), Seq: 2, Reason: berylreport.Done},
	}
	list(calls, ends...)
	k.ack(2)
	is.Equal(list(next(), ends...), int64(1))
	k.Outcome(now, Outcome{Call: second.Call, Seq: second.Seq, Err: timeoutError()})
	is.Equal(list(next(), ends...), int64(2))
}

// A call is answered "fence" because the agent has raised its fence while the call was in
// flight. Guards against a fence that is raised beyond that of the agent's next process: a new
// incarnation of the backend server would not refuse late starts of this one.
func TestOwnRaiseOfFenceIsNoHigherFence(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	k.Orders(now, orders(now, k, []string{"a.0.0.0"}, nil))
	calls := k.Calls(now)
	started, poll := only[berylexecutor.StartCall](is, calls), only[berylexecutor.RenewCall](is, calls)
	fence := k.fence
	k.Outcome(now, Outcome{Call: poll.Call, Seq: poll.Seq, Listing: berylexecutor.Listing{Clock: 10, StartedAt: 6}})
	is.Equal(k.fence, fence+1)
	k.Outcome(now, Outcome{Call: started.Call, Seq: started.Seq, Err: berylexecutor.ErrFenced})
	is.Equal(k.fence, fence+1)
	// An answer to the present fence means that an earlier process had a higher one.
	now = now.Add(_retryPause)
	poll = callsOf[berylexecutor.RenewCall](k.Calls(now))[0]
	k.Outcome(now, Outcome{Call: poll.Call, Seq: poll.Seq, Err: berylexecutor.ErrFenced})
	is.Equal(k.fence, fence+1+_fenceStep)
}

// Guards against a lease on the clock of an incarnation that is gone, for one whose clock
// starts anew.
func TestNoLeaseWhileServerIsDown(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	poll := only[berylexecutor.RenewCall](is, k.Calls(now))
	is.True(poll.Call.(berylexecutor.RenewCall).Deadline > 0)
	k.Outcome(now, Outcome{Call: poll.Call, Seq: poll.Seq, Err: berylexecutor.ErrDown})
	now = now.Add(_retryPause)
	poll = only[berylexecutor.RenewCall](is, k.Calls(now))
	is.Equal(poll.Call.(berylexecutor.RenewCall).Deadline, int64(0))
}

// Guards against a new incarnation that carries out a late start because it gets its first
// call, with the higher fence, long after its start: with an agent that knows the previous
// incarnation, and with one that has just started.
func TestFirstCallSoonAfterRestart(t *testing.T) {
	fresh := New("side-1", "10.0.0.1:7000", 77, limits())
	fresh.ServerAddr = "10.0.0.1:80"
	for _, k := range []*Keeper{readyKeeper(is.New(t), start()), fresh} {
		is := is.New(t)
		now := start()
		poll := only[berylexecutor.RenewCall](is, k.Calls(now))
		k.Outcome(now, Outcome{Call: poll.Call, Seq: poll.Seq, Err: berylexecutor.ErrDown})
		now = now.Add(DownPause)
		poll = only[berylexecutor.RenewCall](is, k.Calls(now))
		// No late start is left, as on a VM without a backend server.
		now = now.Add(_lateCallWindow)
		k.Outcome(now, Outcome{Call: poll.Call, Seq: poll.Seq, Err: berylexecutor.ErrDown})
		is.Equal(len(callsOf[berylexecutor.RenewCall](k.Calls(now.Add(DownPause)))), 0)
		is.Equal(len(callsOf[berylexecutor.RenewCall](k.Calls(now.Add(_retryPause)))), 1)
	}
}

// An agent and its backend server start again together, while a start call of the earlier
// process is still on its way. Guards against a start that is carried out before the first
// heartbeat, when the agent knows no instance to call.
func TestFenceBeforeAnyHeartbeat(t *testing.T) {
	is := is.New(t)
	now := start()
	k := New("side-1", "10.0.0.1:7000", 77, limits())
	is.Equal(len(k.Calls(now)), 0)
	k.ServerAddr = "10.0.0.1:80"
	first := only[berylexecutor.RenewCall](is, k.Calls(now))
	is.Equal(first.Call, berylexecutor.Call(berylexecutor.RenewCall{Target: berylexecutor.Target{Addr: "10.0.0.1:80", Fence: 77}}))
	is.Equal(len(k.Calls(now)), 0)
	k.Outcome(now, Outcome{Call: first.Call, Seq: first.Seq, Err: berylexecutor.ErrFenced})
	now = now.Add(_retryPause)
	second := only[berylexecutor.RenewCall](is, k.Calls(now))
	is.True(second.Call.(berylexecutor.RenewCall).Fence > 77)
	is.True(!k.Reportable(now))
	// The heartbeat takes effect while the call is under way.
	k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 5}, Addr: "10.0.0.1:80", Seq: 1, Clock: 10_000})
	third := only[berylexecutor.RenewCall](is, k.Calls(now))
	is.Equal(third.Call.(berylexecutor.RenewCall).Instance, "i-1")
	k.Outcome(now, Outcome{Call: second.Call, Seq: second.Seq, Listing: berylexecutor.Listing{Clock: 1, StartedAt: 4}})
	is.True(!k.Report(now).Listed)
	k.Outcome(now, Outcome{Call: third.Call, Seq: third.Seq, Listing: berylexecutor.Listing{Clock: 10_000, StartedAt: 5}})
	is.True(k.Report(now).Listed)
}
