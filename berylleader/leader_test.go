package berylleader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylscheduler"
	"berylglade/berylshape"
)

// fakePolicy places every queued job on two fixed agents.
type fakePolicy struct {
	queued []string
	events []berylscheduler.Event
}

func (p *fakePolicy) Handle(_ time.Time, ev berylscheduler.Event) {
	p.events = append(p.events, ev)
	switch ev := ev.(type) {
	case berylscheduler.JobQueued:
		p.queued = append(p.queued, ev.State.ID)
	case berylscheduler.PlacementRefused:
		p.queued = append(p.queued, ev.Job)
	case berylscheduler.JobEnded:
		p.queued = slices.DeleteFunc(p.queued, func(id string) bool { return id == ev.Job })
	}
}

func (p *fakePolicy) Decide(time.Time) []berylscheduler.Action {
	var actions []berylscheduler.Action
	for _, id := range p.queued {
		actions = append(actions, berylscheduler.Place{Job: id, Attempt: 1, Members: []beryljob.Member{
			{Agent: "a1", Addr: "addr1", Tasks: 1}, {Agent: "a2", Addr: "addr2", Tasks: 1},
		}})
	}
	p.queued = nil
	return actions
}

// harness drives a leader with two simulated agents and a simulated log.
type harness struct {
	t      *testing.T
	l      *Leader
	policy *fakePolicy
	now    time.Time
	// effects are the effects since the last call of takeEffects.
	effects []Effect
	// reportedPhase is the phase of job j in the heartbeats of both agents.
	reportedPhase berylmessage.GangPhase
	class         berylconfig.Class
}

func newHarness(t *testing.T, class berylconfig.Class, jobs ...beryljob.State) *harness {
	t.Helper()
	h := &harness{t: t, policy: &fakePolicy{}, now: time.Unix(1000, 0), class: class}
	h.l = New(func() Policy { return h.policy })
	cfg := &berylconfig.Config{Classes: map[string]berylconfig.Class{"c": class}}
	h.handle(Elected{Term: 5, Jobs: jobs, Config: cfg})
	return h
}

func (h *harness) handle(ev Event) {
	h.effects = append(h.effects, h.l.Handle(h.now, ev)...)
}

// advance advances the time while the given agents send heartbeats.
func (h *harness) advance(d time.Duration, agents ...string) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(500 * time.Millisecond)
		for _, name := range agents {
			h.handle(HeartbeatReceived{Heartbeat: h.heartbeat(name)})
		}
		h.handle(Tick{})
	}
}

func (h *harness) heartbeat(name string) berylmessage.Heartbeat {
	b := berylmessage.Heartbeat{
		Agent: name, Incarnation: "i-" + name, Addr: "addr" + name[1:],
		Total: berylshape.Shape{Accelerators: 8},
	}
	if h.reportedPhase != 0 {
		b.Gangs = []berylmessage.GangReport{{
			Job: "j", Attempt: 1, Phase: h.reportedPhase, Anchor: name == "a1", AllMembers: name == "a1",
		}}
	}
	return b
}

func (h *harness) takeEffects() []Effect {
	effects := h.effects
	h.effects = nil
	return effects
}

// grantReservations grants every reservation that the leader has requested.
func (h *harness) grantReservations() {
	for _, e := range h.takeEffects() {
		if r, ok := e.(SendReserve); ok {
			h.handle(Reserved{Job: r.Reserve.Job, Attempt: r.Reserve.Attempt, Index: r.Index, Incarnation: fmt.Sprint("i-a", r.Index+1)})
		}
	}
}

// commitAppends confirms and reads back every record that the leader has
// appended.
func (h *harness) commitAppends() []beryljob.Phase {
	var phases []beryljob.Phase
	for _, e := range h.takeEffects() {
		if a, ok := e.(Append); ok {
			phases = append(phases, a.Record.State.Phase)
			h.handle(Appended{State: a.Record.State})
			h.handle(JobChanged{State: a.Record.State})
		}
	}
	return phases
}

func countOf[E Effect](effects []Effect) int {
	n := 0
	for _, e := range effects {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

func queuedJob() beryljob.State {
	return beryljob.State{
		Job:   beryljob.Job{ID: "j", Account: "a", Class: "c", Tasks: 2, Shape: berylshape.Shape{Accelerators: 1}},
		Phase: beryljob.Queued,
	}
}

// newRunningHarness returns a harness with job j in the running stage.
func newRunningHarness(t *testing.T, class berylconfig.Class) *harness {
	t.Helper()
	h := newHarness(t, class, queuedJob())
	h.advance(3*time.Second, "a1", "a2")
	h.grantReservations()
	is.New(t).Equal(h.commitAppends(), []beryljob.Phase{beryljob.Decided})
	h.reportedPhase = berylmessage.GangRunning
	h.advance(time.Second, "a1", "a2")
	h.takeEffects()
	return h
}

// Guards against starts without a decision in the log, and against losing the
// end of a gang.
func TestJobRunsToCompletion(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, berylconfig.Class{}, queuedJob())
	h.advance(time.Second, "a1", "a2")
	is.Equal(len(h.takeEffects()), 0) // no placement during the settle time

	h.advance(2*time.Second, "a1", "a2")
	is.Equal(countOf[SendReserve](h.effects), 2)
	h.grantReservations()
	is.Equal(countOf[SendStart](h.effects), 0) // no start before the decision is read back
	is.Equal(h.commitAppends(), []beryljob.Phase{beryljob.Decided})
	is.Equal(countOf[SendStart](h.takeEffects()), 2)

	h.reportedPhase = berylmessage.GangRunning
	h.advance(time.Second, "a1", "a2")
	h.reportedPhase = berylmessage.GangDone
	h.advance(time.Second, "a1", "a2")
	is.Equal(h.commitAppends(), []beryljob.Phase{beryljob.Done})
	is.Equal(h.l.State().Stages, map[string]int{})
	is.Equal(h.l.Counts, Counts{Placed: 1, Decided: 1, Started: 1, Done: 1})
	is.Equal(len(h.l.gangs), 0)
}

// Guards against a partial gang when one member refuses its reservation: the
// leader must release the others and let the policy place the job again.
func TestRefusedReservationReleasesAll(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, berylconfig.Class{}, queuedJob())
	h.advance(3*time.Second, "a1", "a2")
	h.takeEffects()
	h.handle(Reserved{Job: "j", Attempt: 1, Index: 0, Incarnation: "i-a1"})
	h.handle(Reserved{Job: "j", Attempt: 1, Index: 1, Err: berylerror.NotRun.Errorf("full")})
	is.Equal(countOf[SendStop](h.effects), 2)
	is.Equal(countOf[Append](h.takeEffects()), 0)
	h.advance(time.Second, "a1", "a2")
	is.Equal(countOf[SendReserve](h.takeEffects()), 2) // the policy places the job again
}

// Guards against starting a gang, or reserving for it again, while it is
// unknown whether its decision is in the log.
func TestUnconfirmedDecisionEndsAttempt(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, berylconfig.Class{}, queuedJob())
	h.advance(3*time.Second, "a1", "a2")
	h.grantReservations()
	effects := h.takeEffects()
	is.Equal(countOf[Append](effects), 1)
	decided := effects[len(effects)-1].(Append).Record.State
	h.handle(Appended{State: decided, Err: berylerror.Unknown.Errorf("reply lost")})
	h.advance(2*time.Second, "a1", "a2")
	effects = h.takeEffects()
	is.Equal(countOf[SendStart](effects)+countOf[SendReserve](effects), 0)
	is.Equal(countOf[Append](effects), 1)
	h.handle(JobChanged{State: decided}) // the decision was in the log after all
	is.Equal(countOf[SendStart](h.effects), 2)
	for _, e := range effects {
		if a, ok := e.(Append); ok {
			is.Equal(a.Record.State.Phase, beryljob.Queued)
			h.handle(Appended{State: a.Record.State})
			h.handle(JobChanged{State: a.Record.State})
		}
	}
	is.True(countOf[SendStop](h.takeEffects()) >= 2) // every member is stopped
}

// Guards against a deposed leader that keeps acting, for example after its
// process was paused.
func TestDeposedLeaderDoesNothing(t *testing.T) {
	is := is.New(t)
	h := newRunningHarness(t, berylconfig.Class{})
	h.handle(Deposed{})
	h.handle(JobCancelled{Job: "j"})
	h.advance(time.Minute, "a1")
	is.Equal(len(h.takeEffects()), 0)
}

// Guards against a new leader that forgets decided jobs or runs them twice.
func TestNewLeaderRestoresDecidedJob(t *testing.T) {
	is := is.New(t)
	s := queuedJob()
	s.Phase = beryljob.Decided
	s.Attempt = 1
	s.Members = []beryljob.Member{{Agent: "a1", Addr: "addr1", Tasks: 1}, {Agent: "a2", Addr: "addr2", Tasks: 1}}
	h := newHarness(t, berylconfig.Class{}, s)
	is.Equal(countOf[SendStart](h.takeEffects()), 2)
	h.reportedPhase = berylmessage.GangRunning
	h.advance(30*time.Second, "a1", "a2")
	is.Equal(countOf[SendReserve](h.effects), 0)
	is.Equal(countOf[SendStop](h.effects), 0)
	is.Equal(h.l.Counts.Started, 1)
}

// Guards against a second run of a job that must not run twice, and against
// losing a job that may, when an agent is lost.
func TestLostMemberRequeuesOrFailsJob(t *testing.T) {
	tests := []struct {
		name string
		give berylconfig.Class
		want beryljob.Phase
	}{
		{name: "idempotent", give: berylconfig.Class{Idempotent: true}, want: beryljob.Queued},
		{name: "checkpoint", give: berylconfig.Class{Checkpoint: true}, want: beryljob.Queued},
		{name: "once", want: beryljob.Failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newRunningHarness(t, tt.give)
			h.advance(35*time.Second, "a1")
			is.Equal(countOf[Append](h.takeEffects()), 0)
			h.advance(10*time.Second, "a1")
			is.Equal(h.commitAppends(), []beryljob.Phase{tt.want})
			is.True(countOf[SendStop](h.takeEffects()) >= 2)
		})
	}
}

// Guards against a second attempt while an isolated agent may still run the
// first one.
func TestNextAttemptWaitsForPreviousMembers(t *testing.T) {
	is := is.New(t)
	h := newRunningHarness(t, berylconfig.Class{Checkpoint: true})
	h.advance(45*time.Second, "a1")
	is.Equal(h.commitAppends(), []beryljob.Phase{beryljob.Queued})
	h.reportedPhase = berylmessage.GangFailed
	h.advance(time.Minute, "a1")
	is.Equal(countOf[SendReserve](h.takeEffects()), 0) // a2 may be partitioned and still running
	h.advance(3*time.Second, "a1", "a2")
	is.Equal(countOf[SendReserve](h.takeEffects()), 2)
}

// Guards against resources that stay in use after a cancellation in any stage.
func TestCancelInEveryStage(t *testing.T) {
	tests := []struct {
		name string
		give func(h *harness)
	}{
		{name: "queued", give: func(*harness) {}},
		{name: "reserving", give: func(h *harness) { h.advance(3*time.Second, "a1", "a2") }},
		{name: "deciding", give: func(h *harness) {
			h.advance(3*time.Second, "a1", "a2")
			h.grantReservations()
		}},
		{name: "starting", give: func(h *harness) {
			h.advance(3*time.Second, "a1", "a2")
			h.grantReservations()
			h.commitAppends()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, berylconfig.Class{Idempotent: true}, queuedJob())
			tt.give(h)
			h.handle(JobCancelled{Job: "j"})
			var phases []beryljob.Phase
			for range 5 {
				phases = append(phases, h.commitAppends()...)
				h.advance(2*time.Second, "a1", "a2")
			}
			is.Equal(phases[len(phases)-1], beryljob.Cancelled)
			is.Equal(len(h.l.gangs), 0)
			is.Equal(len(h.policy.queued), 0)
		})
	}
}

// Guards against an append at every tick while the log is down.
func TestFailedAppendsAreRateLimited(t *testing.T) {
	is := is.New(t)
	h := newRunningHarness(t, berylconfig.Class{Idempotent: true})
	h.handle(JobCancelled{Job: "j"})
	for range 20 {
		for _, e := range h.takeEffects() {
			if a, ok := e.(Append); ok {
				h.handle(Appended{State: a.Record.State, Err: berylerror.NotRun.Errorf("log is down")})
			}
		}
		h.advance(500*time.Millisecond, "a1", "a2")
	}
	is.True(h.l.gangs["j"] != nil)
	appends := 0
	for range 20 {
		effects := h.takeEffects()
		appends += countOf[Append](effects)
		for _, e := range effects {
			if a, ok := e.(Append); ok {
				h.handle(Appended{State: a.Record.State, Err: berylerror.NotRun.Errorf("log is down")})
			}
		}
		h.advance(500*time.Millisecond, "a1", "a2")
	}
	is.True(appends <= 11) // at most one per second over 10 s
}

// Guards against members of an old attempt that keep holding resources.
func TestStaleAttemptIsStopped(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, berylconfig.Class{})
	h.reportedPhase = berylmessage.GangRunning
	h.advance(time.Second, "a1")
	is.Equal(countOf[SendStop](h.takeEffects()), 0) // a new leader waits for the log
	h.advance(2*time.Second, "a1")
	is.True(countOf[SendStop](h.takeEffects()) > 0)
}

// A leader is suspended when it has reserved members for a job but not decided it, and the
// next one stops them. Guards against a policy that counts their resources as used for ever,
// so that nothing is placed on these agents.
func TestPolicyLearnsThatStrayIsGone(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, berylconfig.Class{Idempotent: true}, beryljob.State{Job: beryljob.Job{ID: "j", Class: "c", Tasks: 2}, Phase: beryljob.Queued})
	gangsOf := func(agent string) (n int) {
		for _, ev := range h.policy.events {
			if seen, ok := ev.(berylscheduler.WorkerSeen); ok && seen.Worker.Name == agent {
				n = len(seen.Worker.Gangs)
			}
		}
		return n
	}
	h.reportedPhase = berylmessage.GangReserved
	h.advance(_settleTime, "a1", "a2")
	is.Equal(gangsOf("a1"), 1)
	is.True(slices.ContainsFunc(h.takeEffects(), func(e Effect) bool {
		stop, ok := e.(SendStop)
		return ok && stop.Stop.Attempt == 1
	}))
	h.reportedPhase = 0
	h.advance(time.Second, "a1", "a2")
	is.Equal(gangsOf("a1"), 0)
	is.Equal(gangsOf("a2"), 0)
	events := len(h.policy.events)
	h.advance(time.Second, "a1", "a2")
	is.Equal(len(h.policy.events), events)
}
