package berylkeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylexecutor"
	"berylglade/berylreport"
)

func doneEnd(n int64, task string) berylreport.End {
	return berylreport.End{Key: key(task), Seq: n, Reason: berylreport.Done}
}

// answerListings answers all listing calls that the keeper issues with l.
func answerListings(now time.Time, k *Keeper, l berylexecutor.Listing) {
	for _, c := range callsOf[berylexecutor.RenewCall](k.Calls(now)) {
		k.Outcome(now, Outcome{Call: c.Call, Seq: c.Seq, Listing: l})
	}
}

// answerCalls answers all calls that the keeper issues: a start as superseded, a stop with
// success, and a listing call with l.
func answerCalls(now time.Time, k *Keeper, l berylexecutor.Listing) {
	for _, c := range k.Calls(now) {
		o := Outcome{Call: c.Call, Seq: c.Seq}
		switch c.Call.(type) {
		case berylexecutor.StartCall:
			o.Err = berylexecutor.ErrSuperseded
		case berylexecutor.StopCall:
		case berylexecutor.RenewCall:
			o.Listing = l
		}
		k.Outcome(now, o)
	}
}

// A run was stopped or its start refused as superseded while more ends are unacknowledged
// than a listing has. Guards against a run that is reported as absent although its end is
// not listed yet: its task would run again after it was done.
func TestRunBeyondTruncatedEndsIsNotAbsent(t *testing.T) {
	const task = "a.0.0.0"
	tests := []struct {
		name          string
		starts, stops []string
	}{
		{name: "stopped", stops: []string{task}},
		{name: "superseded", starts: []string{task}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := readyKeeper(is, now)
			k.Orders(now, orders(now, k, tt.starts, tt.stops))
			truncated := berylexecutor.Listing{Clock: 10_100, StartedAt: 5, Ends: []berylreport.End{doneEnd(1, "b.0.0.0")}, Truncated: true}
			for range 10 {
				now = now.Add(200 * time.Millisecond)
				truncated.Clock += 200
				answerCalls(now, k, truncated)
				r := k.Report(now)
				is.Equal(len(r.Absent), 0)
				is.True(r.Truncated)
			}
			now = now.Add(200 * time.Millisecond)
			is.Equal(k.runs[key(task)].phase, stopped)
			answerCalls(now, k, berylexecutor.Listing{Clock: 13_000, StartedAt: 5, Ends: []berylreport.End{doneEnd(2, task)}})
			r := k.Report(now)
			is.Equal(len(r.Absent), 0)
			is.Equal(r.Ends, []berylreport.End{doneEnd(2, task)})
		})
	}
}

// A listing call waits for an end while another one is answered. Guards against the reply to
// the first one that is dropped, if it arrives last, although it alone tells of the end; and
// against an older state that replaces a newer one.
func TestNewerReplyCountsInEitherOrder(t *testing.T) {
	before := berylexecutor.Listing{Clock: 10_300, StartedAt: 5, Runs: []berylreport.Run{{Key: key("a.0.0.0")}}}
	after := berylexecutor.Listing{Clock: 10_301, StartedAt: 5, Ends: []berylreport.End{doneEnd(1, "a.0.0.0")}}
	sameClock := after
	sameClock.Clock = before.Clock
	tests := []struct {
		name string
		// waited is the reply to the call that waits for an end, relisted that to the one
		// that was issued later.
		waited, relisted berylexecutor.Listing
		waitedFirst      bool
	}{
		{name: "end in the waiting call, handled last", waited: after, relisted: before},
		{name: "end in the waiting call, handled first", waited: after, relisted: before, waitedFirst: true},
		{name: "end in the later call, handled last", waited: before, relisted: after, waitedFirst: true},
		{name: "end in the later call, handled first", waited: before, relisted: after},
		{name: "within a millisecond", waited: sameClock, relisted: before},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := start()
			k := readyKeeper(is, now)
			first := only[berylexecutor.RenewCall](is, k.Calls(now))
			k.relist = true
			second := only[berylexecutor.RenewCall](is, k.Calls(now))
			outcomes := []Outcome{
				{Call: second.Call, Seq: second.Seq, Listing: tt.relisted}, {Call: first.Call, Seq: first.Seq, Listing: tt.waited},
			}
			if tt.waitedFirst {
				outcomes[0], outcomes[1] = outcomes[1], outcomes[0]
			}
			for _, o := range outcomes {
				k.Outcome(now, o)
			}
			r := k.Report(now)
			is.Equal(r.Ends, after.Ends)
			is.Equal(len(r.Runs), 0)
		})
	}
}

// The clock of a backend server steps back. Guards against listings that are ignored from
// then on.
func TestListingCountsAfterClockStep(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	answerListings(now, k, berylexecutor.Listing{Clock: 50_000, StartedAt: 5})
	answerListings(now, k, berylexecutor.Listing{Clock: 20_000, StartedAt: 5, Ends: []berylreport.End{doneEnd(1, "a.0.0.0")}})
	is.Equal(len(k.Report(now).Ends), 1)
}

// A backend server ends just after it has listed an end. Guards against a report that says
// that nothing runs there before the reply is handled: the task would be started again.
func TestReplyOfEndedServerCountsBeforeItsLoss(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	waiting := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.relist = true
	refused := only[berylexecutor.RenewCall](is, k.Calls(now))
	k.Outcome(now, Outcome{Call: refused.Call, Seq: refused.Seq, Err: berylexecutor.ErrDown})
	is.True(!k.Reportable(now))
	is.True(k.Reportable(now.Add(_lateReplyWindow)))
	k.Outcome(now, Outcome{Call: waiting.Call, Seq: waiting.Seq, Listing: berylexecutor.Listing{
		Clock: 10_200, StartedAt: 5, Ends: []berylreport.End{doneEnd(1, "a.0.0.0")},
	}})
	is.True(k.Reportable(now))
	is.Equal(len(k.Report(now).Ends), 1)
}

// A reply of the previous incarnation arrives after the heartbeat of the next one. Guards
// against its ends that are lost, and against a reply that is taken for a third incarnation.
func TestLateReplyOfPreviousIncarnation(t *testing.T) {
	for _, instance := range []string{"i-1", "i-2"} {
		is := is.New(t)
		now := start()
		k := readyKeeper(is, now)
		c := only[berylexecutor.RenewCall](is, k.Calls(now))
		k.Heartbeat(now, Heartbeat{Incarnation: berylbook.Incarnation{Instance: instance, StartedAt: 9}, Addr: "10.0.0.1:80", Seq: 1, Clock: 50})
		fence := k.target().Fence
		listing := berylexecutor.Listing{Clock: 10_200, StartedAt: 5, Ends: []berylreport.End{doneEnd(1, "a.0.0.0")}}
		k.Outcome(now, Outcome{Call: c.Call, Seq: c.Seq, Listing: listing})
		is.Equal(k.Report(now).PastEnds.Ends, listing.Ends)
		is.Equal(k.target().Fence, fence)
	}
}
