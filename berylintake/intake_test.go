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

// An entry does not reach the store, or the store is down. Guards against
// denying the existence of a job that stale state lacks, against blocking on a
// request that cannot be served, and against a second record for a known job.
func TestDecide(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	fresh, stale := now.Add(-time.Second), now.Add(-5*time.Second)
	known := berylview.Job{Known: true, State: berylbook.Running, Account: "a", At: fresh}
	tests := []struct {
		name           string
		verb           Verb
		job            berylview.Job
		advice         bool
		appendsFailing time.Duration
		readsFailing   time.Duration
		noPeers        bool
		forwarded      bool
		confirmed      bool
		record         bool
		forward        bool
		want           berylerror.Kind
		retry          time.Duration
	}{
		{name: "new job", verb: Submit, job: berylview.Job{At: fresh}, record: true},
		{name: "new job with stale state", verb: Submit, job: berylview.Job{At: stale}, noPeers: true, record: true},
		{name: "new job with stale state, with peers", readsFailing: time.Second, verb: Submit, job: berylview.Job{At: stale}, forward: true},
		{name: "state with stale state, with peers", readsFailing: time.Second, verb: State, job: berylview.Job{Known: true, State: berylbook.Running, Account: "a", At: stale}, forward: true},
		{name: "state after completion with stale state, with peers", readsFailing: time.Second, verb: State, job: berylview.Job{Known: true, State: berylbook.Completed, Account: "a", At: stale}},
		{name: "new job with stale state, forwarded", readsFailing: time.Second, verb: Submit, job: berylview.Job{At: stale}, noPeers: true, forwarded: true, want: berylerror.NotRun, retry: time.Second},
		{name: "new job in a long outage, forwarded", readsFailing: 3 * time.Second, verb: Submit, job: berylview.Job{At: stale}, noPeers: true, forwarded: true, want: berylerror.NotRun, retry: 3 * time.Second},
		{name: "new job, forwarded", verb: Submit, job: berylview.Job{At: fresh}, noPeers: true, forwarded: true, record: true},
		{name: "cancel while appends fail, with peers", verb: Cancel, job: known, appendsFailing: time.Second, forward: true},
		{name: "known job", verb: Submit, job: known},
		{name: "id of another account's job", verb: Submit, job: berylview.Job{Known: true, Account: "b", Queue: "q", At: fresh}, want: berylerror.Conflict},
		{name: "new job in a short outage", noPeers: true, verb: Submit, job: berylview.Job{At: fresh}, appendsFailing: 1500 * time.Millisecond, want: berylerror.NotRun, retry: 1500 * time.Millisecond},
		{name: "new job in a long outage", noPeers: true, verb: Submit, job: berylview.Job{At: stale}, appendsFailing: 9 * time.Second, want: berylerror.NotRun, retry: 4 * time.Second},
		{name: "known job in an outage", noPeers: true, verb: Submit, job: known, appendsFailing: 9 * time.Second},
		{name: "queue with advice", verb: Submit, job: berylview.Job{At: fresh}, advice: true, want: berylerror.NotRun, retry: time.Second},
		{name: "state", verb: State, job: known},
		{name: "state of another account's job", verb: State, job: berylview.Job{Known: true, Account: "b", At: fresh}, want: berylerror.Expired},
		{name: "state of unknown job", verb: State, job: berylview.Job{At: fresh}, confirmed: true, want: berylerror.Expired},
		{name: "state of unknown job with stale state", noPeers: true, verb: State, job: berylview.Job{At: stale}, want: berylerror.NotRun, retry: time.Second},
		{name: "cancel", verb: Cancel, job: known, record: true},
		{name: "state of unknown job, not read since", verb: State, job: berylview.Job{At: fresh}, forward: true},
		{name: "state of unknown job, not read since, no peers", noPeers: true, verb: State, job: berylview.Job{At: fresh}, want: berylerror.NotRun, retry: time.Second},
		{name: "cancel of unknown job, forwarded, not read since", noPeers: true, forwarded: true, verb: Cancel, job: berylview.Job{At: fresh}, want: berylerror.NotRun, retry: time.Second},
		{name: "cancel of unknown job", verb: Cancel, job: berylview.Job{At: fresh}, confirmed: true, want: berylerror.Expired},
		{name: "cancel after completion", verb: Cancel, job: berylview.Job{Known: true, State: berylbook.Completed, Account: "a", At: fresh}},
		{name: "cancel in an outage", noPeers: true, verb: Cancel, job: known, appendsFailing: 2 * time.Second, want: berylerror.NotRun, retry: 2 * time.Second},
		{name: "count", verb: Count, job: berylview.Job{At: fresh}},
		{name: "count with stale state", noPeers: true, verb: Count, job: berylview.Job{At: stale}, want: berylerror.NotRun, retry: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := Request{Verb: tt.verb, ID: "j", Account: "a", Queue: berylpolicy.Queue{Advised: tt.advice}}
			switch s := Decide(now, r, Facts{Job: tt.job, Confirmed: tt.confirmed, AppendsFailing: tt.appendsFailing, ReadsFailing: tt.readsFailing, CanForward: !tt.noPeers, Forwarded: tt.forwarded}).(type) {
			case Record:
				is.True(tt.record)
			case Forward:
				is.True(tt.forward)
			case Answer:
				is.True(!tt.record && !tt.forward)
				is.Equal(s.Kind, tt.want)
				is.Equal(s.RetryAfter, tt.retry)
			}
		})
	}
}

// The store is down for all entries, and a client tries its request five times, as often as
// the users' clients do. Guards against a client that has used up its retries before the
// store is back, because each refusal asks it to return after one second.
func TestRetriesOutlastOutage(t *testing.T) {
	const tries = 5
	for _, outage := range []time.Duration{2 * time.Second, 5 * time.Second, 9 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			is := is.New(t)
			start := time.UnixMilli(1_000_000)
			accepted := false
			// The first try arrives when the entries have just noticed the outage.
			at := 300 * time.Millisecond
			for range tries {
				now := start.Add(at)
				f := Facts{Job: berylview.Job{At: start}, Forwarded: true}
				if at < outage {
					f.ReadsFailing = at
				}
				switch d := Decide(now, Request{Verb: Submit, ID: "j"}, f).(type) {
				case Record:
					accepted = true
				case Answer:
					at += d.RetryAfter
				}
			}
			is.True(accepted)
		})
	}
}

// Guards against a client without a key that sees or cancels a client account's job through
// the prefix of a public queue, and against a client that loses its job because its queue
// has become public or is public no longer.
func TestOwnerOfJob(t *testing.T) {
	tests := []struct {
		name    string
		account string
		queue   string
		job     berylview.Job
		want    bool
	}{
		{name: "same account", account: "a", queue: "q", job: berylview.Job{Account: "a", Queue: "q"}, want: true},
		{name: "same account, other queue", account: "a", queue: "q", job: berylview.Job{Account: "a", Queue: "r"}, want: true},
		{name: "other account", account: "a", queue: "q", job: berylview.Job{Account: "b", Queue: "q"}},
		{name: "public queue", queue: "p", job: berylview.Job{Queue: "p"}, want: true},
		{name: "job of an account, asked through a public queue", queue: "p", job: berylview.Job{Account: "a", Queue: "q"}},
		{name: "public job, asked through an account's queue", account: "a", queue: "q", job: berylview.Job{Queue: "p"}},
		{name: "queue has become public", queue: "q", job: berylview.Job{Account: "a", Queue: "q"}, want: true},
		{name: "queue is public no longer", account: "a", queue: "q", job: berylview.Job{Queue: "q"}, want: true},
	}
	now := time.UnixMilli(1_000_000)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.job.Known, tt.job.State, tt.job.At = true, berylbook.Running, now
			r := Request{ID: "j", Account: tt.account, Queue: berylpolicy.Queue{Name: tt.queue}}
			r.Verb = State
			a, ok := Decide(now, r, Facts{Job: tt.job, Confirmed: true}).(Answer)
			is.True(ok)
			is.Equal(a.Kind == 0, tt.want)
			r.Verb = Cancel
			_, records := Decide(now, r, Facts{Job: tt.job, Confirmed: true}).(Record)
			is.Equal(records, tt.want)
		})
	}
}
