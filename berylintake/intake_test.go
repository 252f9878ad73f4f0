package berylintake

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylerror"
	"berylglade/berylpolicy"
	"berylglade/berylview"
)

// Replays requests at an entry that is cut off, or whose store is away. Guards
// against denying a job that an old state does not have, against holding a
// request that can't be served, and against a second record for a known job.
func TestDecide(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	fresh, old := now.Add(-time.Second), now.Add(-5*time.Second)
	known := berylview.Job{Known: true, State: berylbook.Running, Account: "a", At: fresh}
	tests := []struct {
		name   string
		verb   Verb
		job    berylview.Job
		advice bool
		fails  time.Duration
		unread time.Duration
		alone  bool
		passed bool
		record bool
		pass   bool
		want   berylerror.Kind
		retry  time.Duration
	}{
		{name: "new job", verb: Submit, job: berylview.Job{At: fresh}, record: true},
		{name: "new job at an old state", verb: Submit, job: berylview.Job{At: old}, alone: true, record: true},
		{name: "new job at an old state, with peers", unread: time.Second, verb: Submit, job: berylview.Job{At: old}, pass: true},
		{name: "state at an old state, with peers", unread: time.Second, verb: State, job: berylview.Job{Known: true, State: berylbook.Running, Account: "a", At: old}, pass: true},
		{name: "state after the end at an old state, with peers", unread: time.Second, verb: State, job: berylview.Job{Known: true, State: berylbook.Completed, Account: "a", At: old}},
		{name: "new job at an old state, passed on", unread: time.Second, verb: Submit, job: berylview.Job{At: old}, alone: true, passed: true, want: berylerror.NotRun, retry: time.Second},
		{name: "new job, passed on", verb: Submit, job: berylview.Job{At: fresh}, alone: true, passed: true, record: true},
		{name: "cancel while appends fail, with peers", verb: Cancel, job: known, fails: time.Second, pass: true},
		{name: "known job", verb: Submit, job: known},
		{name: "new job in a short outage", alone: true, verb: Submit, job: berylview.Job{At: fresh}, fails: 1500 * time.Millisecond, want: berylerror.NotRun, retry: 1500 * time.Millisecond},
		{name: "new job in a long outage", alone: true, verb: Submit, job: berylview.Job{At: old}, fails: 9 * time.Second, want: berylerror.NotRun, retry: 4 * time.Second},
		{name: "known job in an outage", alone: true, verb: Submit, job: known, fails: 9 * time.Second},
		{name: "queue with advice", verb: Submit, job: berylview.Job{At: fresh}, advice: true, want: berylerror.NotRun, retry: time.Second},
		{name: "state", verb: State, job: known},
		{name: "state of another account's job", verb: State, job: berylview.Job{Known: true, Account: "b", At: fresh}, want: berylerror.Expired},
		{name: "state of no job", verb: State, job: berylview.Job{At: fresh}, want: berylerror.Expired},
		{name: "state of no job at an old state", alone: true, verb: State, job: berylview.Job{At: old}, want: berylerror.NotRun, retry: time.Second},
		{name: "cancel", verb: Cancel, job: known, record: true},
		{name: "cancel of no job", verb: Cancel, job: berylview.Job{At: fresh}, want: berylerror.Expired},
		{name: "cancel after the end", verb: Cancel, job: berylview.Job{Known: true, State: berylbook.Completed, Account: "a", At: fresh}},
		{name: "cancel in an outage", alone: true, verb: Cancel, job: known, fails: 2 * time.Second, want: berylerror.NotRun, retry: 2 * time.Second},
		{name: "count", verb: Count, job: berylview.Job{At: fresh}},
		{name: "count at an old state", alone: true, verb: Count, job: berylview.Job{At: old}, want: berylerror.NotRun, retry: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := Request{Verb: tt.verb, ID: "j", Account: "a", Queue: berylpolicy.Queue{Advised: tt.advice}}
			switch s := Decide(now, r, Facts{Job: tt.job, AppendsFailing: tt.fails, ReadsFailing: tt.unread, CanForward: !tt.alone, Forwarded: tt.passed}).(type) {
			case Record:
				is.True(tt.record)
			case Forward:
				is.True(tt.pass)
			case Answer:
				is.True(!tt.record && !tt.pass)
				is.Equal(s.Kind, tt.want)
				is.Equal(s.RetryAfter, tt.retry)
			}
		})
	}
}
