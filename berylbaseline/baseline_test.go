package berylbaseline_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/beryladjacency"
	"berylglade/berylbaseline"
	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/beryljob"
	"berylglade/berylscheduler"
	"berylglade/berylshape"
)

type scheduler interface {
	Handle(now time.Time, ev berylscheduler.Event)
	Decide(now time.Time) []berylscheduler.Action
}

var (
	_ scheduler = (*berylbaseline.Baseline)(nil)
	_ scheduler = (*berylscheduler.Scheduler)(nil)
)

func addWorkers(s scheduler, now time.Time, workers int) {
	for i := range workers {
		s.Handle(now, berylscheduler.WorkerSeen{Worker: berylscheduler.Worker{
			Name: fmt.Sprintf("w%d", i), Domain: fmt.Sprintf("d%d", i%2), Rack: fmt.Sprintf("r%d", i%2),
			Total: berylshape.Shape{Accelerators: 8},
		}})
	}
}

func submit(s scheduler, now time.Time, id string, tasks, gpus int, declared time.Duration) {
	s.Handle(now, berylscheduler.JobQueued{State: beryljob.State{Phase: beryljob.Queued, Job: beryljob.Job{
		ID: id, Tasks: tasks, Shape: berylshape.Shape{Accelerators: gpus},
		Adjacent: beryladjacency.Anywhere, Declared: berylduration.Duration(declared), Accepted: now,
	}}})
}

func placedJobs(acts []berylscheduler.Action) []string {
	var out []string
	for _, a := range acts {
		if p, ok := a.(berylscheduler.Place); ok {
			out = append(out, p.Job)
		}
	}
	return out
}

// TestBackfill guards against an EASY baseline that delays the reservation of the
// first waiting job: it must place the short small job and not the long one, while
// first fit places both.
func TestBackfill(t *testing.T) {
	tests := []struct {
		give *berylbaseline.Baseline
		want []string
	}{
		{give: berylbaseline.New(), want: []string{"short", "long"}},
		{give: berylbaseline.NewEasy(), want: []string{"short"}},
	}
	for _, tt := range tests {
		is := is.New(t)
		now := time.Unix(1_000_000, 0)
		addWorkers(tt.give, now, 2)
		submit(tt.give, now, "running", 1, 8, time.Hour)
		is.Equal(placedJobs(tt.give.Decide(now)), []string{"running"})
		submit(tt.give, now, "large", 2, 8, time.Hour)
		submit(tt.give, now, "short", 1, 4, 30*time.Minute)
		submit(tt.give, now, "long", 1, 4, 2*time.Hour)
		is.Equal(placedJobs(tt.give.Decide(now)), tt.want)
	}
}

// TestDomainOut guards against baselines that start gangs in a failure domain that is
// out, or leave them running there after the grace time. The comparison with such a
// baseline would not be fair.
func TestDomainOut(t *testing.T) {
	is := is.New(t)
	b := berylbaseline.New()
	now := time.Unix(1_000_000, 0)
	addWorkers(b, now, 2)
	submit(b, now, "a", 2, 8, time.Hour)
	is.Equal(placedJobs(b.Decide(now)), []string{"a"})
	b.Handle(now, berylscheduler.ConfigChanged{Config: &berylconfig.Config{Offset: 1, Domains: map[string]berylconfig.FailureDomain{
		"d1": {Out: true, Grace: berylduration.Duration(time.Minute)},
	}}})
	is.Equal(len(b.Decide(now.Add(30*time.Second))), 0)
	acts := b.Decide(now.Add(61 * time.Second))
	is.Equal(len(acts), 1)
	is.Equal(acts[0].(berylscheduler.Preempt).Job, "a")
	b.Handle(now, berylscheduler.GangEnded{Job: "a", Attempt: 1})
	submit(b, now, "b", 2, 8, time.Hour)
	is.Equal(len(placedJobs(b.Decide(now.Add(62*time.Second)))), 0) // only one worker is left
}
