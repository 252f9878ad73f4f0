package berylintake

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylerror"
	"berylglade/berylload"
	"berylglade/berylpolicy"
	"berylglade/berylproducer"
	"berylglade/berylstore"
	"berylglade/berylview"
	"berylglade/berylwork"
)

// Accepted jobs have as many tasks as the bound allows. Guards against a further job that is
// queued all the same, against jobs that this entry has accepted and not read yet that don't
// count, and against a refusal of a job that was recorded or may have been.
func TestLoadIsBoundedAtEachEntry(t *testing.T) {
	now := time.Now()
	large := func(id, account string) berylwork.Work {
		return berylwork.Work{ID: id, Account: account, Queue: "q", Steps: []berylwork.Step{{Count: 20_000}, {Count: 20_000}, {Count: 20_000}, {Count: 20_000}}}
	}
	tests := []struct {
		name string
		// read are the jobs in the topic, and first is submitted to this entry before.
		read, first []berylwork.Work
		give        berylwork.Work
		// unknown is true if first has no outcome.
		unknown bool
		want    berylerror.Kind
	}{
		{name: "in calm", give: large("j1", "a")},
		{name: "beside a job that was read", read: []berylwork.Work{large("j0", "a")}, give: large("j1", "a"), want: berylerror.Exhausted},
		{name: "beside a job that was not read yet", first: []berylwork.Work{large("j0", "a")}, give: large("j1", "a"), want: berylerror.Exhausted},
		{name: "small job of another account", read: []berylwork.Work{large("j0", "a"), large("j2", "b"), large("j3", "c")}, give: berylwork.Work{
			ID: "j1", Account: "d", Queue: "q", Steps: []berylwork.Step{{Count: berylload.Reserved / 2}},
		}},
		{name: "repeated", read: []berylwork.Work{large("j1", "a"), large("j0", "a")}, give: large("j1", "a")},
		{name: "may be recorded", read: []berylwork.Work{large("j0", "a")}, first: []berylwork.Work{large("j1", "a")}, unknown: true, give: large("j1", "a")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			view := &berylview.View{}
			var records []berylstore.Record
			for _, w := range tt.read {
				r, err := (&berylbook.Submission{Work: w}).Record()
				is.NoErr(err)
				records = append(records, r)
			}
			view.RecordRead(now, true)
			view.SetPolicy(&berylpolicy.Policy{Version: 1}, now)
			var appended []string
			unknown := tt.unknown
			i := &Intake{
				View: view, Clock: func() time.Time { return now }, Log: slog.New(slog.DiscardHandler),
				Producer: berylproducer.New(nil, func() time.Time { return now }, "jobs", "p"),
				Refresh:  func() { view.Apply(nil, now.Add(time.Millisecond)) },
				Append: func(_ context.Context, r berylstore.Record) error {
					appended = append(appended, berylbook.JobOf(r))
					if unknown {
						return berylerror.Unknown.Errorf("no answer")
					}
					return nil
				},
			}
			submit := func(w berylwork.Work) Reply {
				return i.Serve(t.Context(), Request{Verb: Submit, ID: w.ID, Account: w.Account, Work: &w, Queue: berylpolicy.Queue{Name: "q", Service: "s"}})
			}
			if tt.unknown {
				view.Replace(nil, now)
			} else {
				view.Replace(records, now)
			}
			for _, w := range tt.first {
				_ = submit(w)
			}
			view.Replace(records, now)
			appended, unknown = nil, false
			reply := submit(tt.give)
			is.Equal(reply.Kind, tt.want)
			is.Equal(len(appended) > 0, tt.want == 0 && tt.name != "repeated")
			is.Equal(reply.RetryAfter > 0, tt.want != 0)
		})
	}
}
