package berylmeasure

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/beryladjacency"
	"berylglade/berylclock"
	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylscheduler"
	"berylglade/berylshape"
	"berylglade/berylworkload"
)

// scripted is a policy that places each queued job on fixed members, not before a
// given time.
type scripted struct {
	members []beryljob.Member
	after   time.Time
	queued  []string
}

func (p *scripted) Handle(_ time.Time, ev berylscheduler.Event) {
	if ev, ok := ev.(berylscheduler.JobQueued); ok {
		p.queued = append(p.queued, ev.State.ID)
	}
}

func (p *scripted) Decide(now time.Time) []berylscheduler.Action {
	if now.Before(p.after) {
		return nil
	}
	var actions []berylscheduler.Action
	for _, id := range p.queued {
		actions = append(actions, berylscheduler.Place{Job: id, Attempt: 1, Members: p.members})
	}
	p.queued = nil
	return actions
}

func start() time.Time { return time.Date(2026, time.May, 4, 0, 0, 0, 0, time.UTC) }

// newWorkload returns a workload with two workers in two failure domains and the
// given number of jobs.
func newWorkload(jobs int) *berylworkload.Workload {
	w := &berylworkload.Workload{
		Name: "test", Start: start(), End: start().Add(time.Hour),
		Config: &berylconfig.Config{
			Classes:  map[string]berylconfig.Class{"c": {}},
			Accounts: map[string]berylconfig.ClientAccount{"a": {}},
			Domains:  map[string]berylconfig.FailureDomain{"d1": {}, "d2": {}},
		},
	}
	for _, name := range []string{"1", "2"} {
		w.Workers = append(w.Workers, berylscheduler.Worker{
			Name: "w" + name, Domain: "d" + name, Rack: "r" + name,
			Total: berylshape.Shape{Accelerators: 8},
		})
	}
	for i := range jobs {
		w.Jobs = append(w.Jobs, berylworkload.Arrival{Run: time.Minute, Job: beryljob.Job{
			ID: string(rune('a' + i)), Account: "a", Class: "c", Tasks: 2,
			Shape: berylshape.Shape{Accelerators: 2}, Accepted: start().Add(time.Minute),
		}})
	}
	return w
}

func member(worker string, tasks int) beryljob.Member {
	return beryljob.Member{Agent: worker, Tasks: tasks}
}

// Guards against a simulation that does not detect when a policy violates an
// invariant.
func TestViolationsAreCounted(t *testing.T) {
	tests := []struct {
		name   string
		jobs   int
		policy scripted
		change func(w *berylworkload.Workload)
		want   Violations
	}{
		{name: "clean", jobs: 1, policy: scripted{members: []beryljob.Member{member("w1", 2)}}},
		{
			name: "partial", jobs: 1, policy: scripted{members: []beryljob.Member{member("w1", 1)}},
			want: Violations{Partial: 1},
		},
		{
			name: "capacity", jobs: 3, policy: scripted{members: []beryljob.Member{member("w1", 2)}},
			want: Violations{Capacity: 1},
		},
		{
			name: "adjacency", jobs: 1,
			policy: scripted{members: []beryljob.Member{member("w1", 1), member("w2", 1)}},
			change: func(w *berylworkload.Workload) { w.Jobs[0].Job.Adjacent = beryladjacency.Rack },
			want:   Violations{Adjacency: 1},
		},
		{
			name: "out", jobs: 1,
			policy: scripted{members: []beryljob.Member{member("w1", 2)}, after: start().Add(2 * time.Minute)},
			change: func(w *berylworkload.Workload) {
				w.Faults = append(w.Faults, berylworkload.DomainOut{At: start(), Domain: "d1", Grace: time.Hour})
			},
			want: Violations{Out: 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorkload(tt.jobs)
			if tt.change != nil {
				tt.change(w)
			}
			got := New(w, &tt.policy, berylclock.System()).Run()
			is.Equal(got.Violations, tt.want)
		})
	}
}

// Guards against not detecting work on guaranteed capacity that can't be reclaimed.
func TestGuaranteeViolationIsCounted(t *testing.T) {
	is := is.New(t)
	w := newWorkload(1)
	w.Config.Accounts["b"] = berylconfig.ClientAccount{Guarantees: []berylconfig.Guarantee{
		{Shape: berylshape.Shape{Accelerators: 8}, Count: 2},
	}}
	got := New(w, &scripted{members: []beryljob.Member{member("w1", 2)}}, berylclock.System()).Run()
	is.True(got.Violations.Guarantee > 0)

	w.Config.Classes["c"] = berylconfig.Class{Checkpoint: true}
	got = New(w, &scripted{members: []beryljob.Member{member("w1", 2)}}, berylclock.System()).Run()
	is.Equal(got.Violations.Guarantee, 0)
}

// Guards against wrong completion times and wrong figures for the work done while a
// failure domain is out.
func TestTimesAndOutage(t *testing.T) {
	is := is.New(t)
	w := newWorkload(1)
	w.Faults = []berylworkload.Fault{
		berylworkload.DomainOut{At: start(), Domain: "d2", Grace: time.Minute},
		berylworkload.DomainBack{At: start().Add(10 * time.Minute), Domain: "d2"},
	}
	got := New(w, &scripted{members: []beryljob.Member{member("w1", 2)}}, berylclock.System()).Run()
	is.Equal(got.Classes[0].Done, 1)
	is.True(got.Classes[0].Mean > 60 && got.Classes[0].Mean < 60.5)
	is.Equal(got.Outage.Work, 240.0) // 4 accelerators for 60 s
	is.True(got.Outage.Possible > 240 && got.Outage.Possible < 242)
}
