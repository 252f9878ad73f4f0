package berylkeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylexecutor"
	"berylglade/berylreport"
)

func doneEnd(n int64, task string) berylreport.End {
	return berylreport.End{Key: key(task), Seq: n, Reason: berylreport.Done}
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
