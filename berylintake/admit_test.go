package berylintake

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylerror"
	"berylglade/beryloutlook"
	"berylglade/berylpolicy"
	"berylglade/berylproducer"
	"berylglade/berylroom"
	"berylglade/berylstore"
	"berylglade/berylview"
	"berylglade/berylwork"
)

// The load makes a submitted job useless. Guards against a rejection, which says that the
// job never runs, although an earlier submission of it was recorded or may have been; against
// one from a stale summary; and against a record of a rejected job.
func TestRejectedJobIsNotRecorded(t *testing.T) {
	now := time.Now()
	work := berylwork.Work{ID: "j", Account: "a", Queue: "q", Steps: []berylwork.Step{
		{Count: 1, Need: berylroom.Resources{Accelerators: 8}, Estimate: 1000},
	}}
	tests := []struct {
		name string
		age  time.Duration
		// accepted is true if another entry has accepted the job, which this one learns from
		// the next read, and silent if the store does not answer this read.
		accepted, silent bool
		// unknown is true if an earlier submission to this entry had no outcome.
		unknown bool
		want    berylerror.Kind
		records int
	}{
		{name: "new job", want: berylerror.NotRun},
		{name: "stale summary", age: 5 * time.Second, records: 1},
		{name: "accepted by another entry", accepted: true},
		{name: "read not answered", silent: true, records: 1},
		{name: "earlier submission without outcome", unknown: true, records: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			view := &berylview.View{}
			view.Replace(nil, now)
			view.RecordRead(now, true)
			view.SetPolicy(&berylpolicy.Policy{Version: 1}, now)
			s := beryloutlook.Service{Name: "s", Accelerators: 8}
			s.Add(0, time.Second, time.Hour)
			recorded, answered := 0, !tt.unknown
			i := &Intake{
				View: view, Clock: func() time.Time { return now }, Log: slog.New(slog.DiscardHandler),
				Producer: berylproducer.New(nil, func() time.Time { return now }, "jobs", "p"),
				Refresh: func() {
					if tt.silent {
						return
					}
					var records []berylstore.Record
					if tt.accepted {
						r, err := (&berylbook.Submission{Work: work}).Record()
						is.NoErr(err)
						records = append(records, r)
					}
					view.Apply(records, now.Add(time.Millisecond))
				},
				Append: func(context.Context, berylstore.Record) error {
					recorded++
					if tt.unknown && !answered {
						return berylerror.Unknown.Errorf("no answer")
					}
					return nil
				},
				Outlook: func(time.Time) (*beryloutlook.Outlook, time.Duration) {
					if !answered {
						return nil, 0
					}
					return &beryloutlook.Outlook{Services: []beryloutlook.Service{s}}, tt.age
				},
			}
			submitted := work
			r := Request{Verb: Submit, ID: "j", Account: "a", Work: &submitted, Queue: berylpolicy.Queue{Name: "q", Service: "s", Stretch: 1}}
			if tt.unknown {
				is.Equal(i.Serve(t.Context(), r).Kind, berylerror.Unknown)
				recorded, answered = 0, true
			}
			reply := i.Serve(t.Context(), r)
			is.Equal(reply.Kind, tt.want)
			is.Equal(recorded, tt.records)
			is.Equal(reply.RetryAfter > 0, tt.want == berylerror.NotRun)
		})
	}
}

// A burst of jobs is rejected. Guards against clients that all return at the same time, when
// there is room for one of them, and against clients that are told to wait without bound.
func TestRejectedClientsReturnInTurn(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	var a admission
	r := beryloutlook.Rejection{Wait: 2 * time.Second, Room: 500 * time.Millisecond}
	const entries = 4
	for n := range 5 {
		is.Equal(a.returnAfter(now, &r, entries), 2*time.Second+time.Duration(n)*entries*r.Room)
	}
	for range 100 {
		is.True(a.returnAfter(now, &r, entries) <= time.Minute)
	}
	now = now.Add(5 * time.Minute)
	is.Equal(a.returnAfter(now, &r, entries), 2*time.Second) // the room was not used meanwhile
}
