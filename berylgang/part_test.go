package berylgang

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/beryljob"
	"berylglade/berylmessage"
)

// Guards against a part that runs after another one has ended, a go that is
// withdrawn, a second launch, and a reported end while tasks still run. The
// model has lost and delayed messages, broken links, paused and restarted
// processes and workers that do not answer.
func TestGangNeverRunsPartially(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		node := func(t *rapid.T) int { return rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node") }
		run := func(t *rapid.T) {
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				w.t = t
				w.advance()
			}
		}
		end := func(state taskState) func(*rapid.T) {
			return func(t *rapid.T) {
				if n := w.nodes[node(t)]; n.tasks == tasksRunning {
					n.tasks = state
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":   run,
			"run 2": run,
			"run 3": run,
			"cut or join link": func(t *rapid.T) {
				i := node(t)
				w.cut[[2]int{0, i}] = !w.cut[[2]int{0, i}]
			},
			"freeze or thaw": func(t *rapid.T) {
				n := w.nodes[node(t)]
				n.paused = !n.paused && !n.dead
				w.disrupted = true
			},
			"crash": func(t *rapid.T) { w.crash(node(t)) },
			"restart": func(t *rapid.T) {
				if i := node(t); w.nodes[i].dead {
					w.restart(i, w.members())
				}
			},
			"worker": func(t *rapid.T) {
				n := w.nodes[node(t)]
				n.workerUp = !n.workerUp
				w.disrupted = true
			},
			"tasks done":   end(tasksDone),
			"tasks done 2": end(tasksDone),
			"tasks fail":   end(tasksFailed),
			"stop": func(t *rapid.T) {
				i := node(t)
				if n := w.nodes[i]; !n.paused && rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
					w.t = t
					w.handle(i, Stop{Reason: "cancelled"})
				}
			},
		})
		// No fault is repaired: everything that still runs has to end by its
		// own timeouts.
		w.t = t
		for range 80 * time.Second / _step {
			w.advance()
		}
	})
}

func twoMembers() []beryljob.Member {
	return []beryljob.Member{{Agent: "a", Tasks: 1}, {Agent: "b", Tasks: 1}}
}

func armed(now time.Time, index int) *Part {
	p := New(now, twoMembers()[index].Agent, berylmessage.Reserve{Job: "j", Attempt: 1, Tasks: 1, Hold: HeartbeatTimeout})
	p.Handle(now, Arm{Members: twoMembers(), Index: index})
	return p
}

func has[E Effect](effects []Effect) bool {
	for _, e := range effects {
		if _, ok := e.(E); ok {
			return true
		}
	}
	return false
}

// Guards against transitions of a member other than the intended ones.
func TestMember(t *testing.T) {
	goAt := func(d time.Duration) (time.Duration, Event) {
		return d, HeartbeatAnswered{GangReply: berylmessage.GangReply{Verdict: berylmessage.VerdictGo}}
	}
	type step struct {
		at time.Duration
		e  Event
	}
	at := func(d time.Duration, e Event) step { return step{at: d, e: e} }
	first, verdict := goAt(time.Second)
	tests := []struct {
		name  string
		give  []step
		want  Phase
		ok    bool
		cause string
	}{
		{name: "armed", want: Armed},
		{name: "no go in time", give: []step{at(HeartbeatTimeout, Tick{})}, want: Ended, cause: "not all members were armed in time"},
		{name: "go after the timeout", give: []step{at(HeartbeatTimeout, verdict)}, want: Ended, cause: "not all members were armed in time"},
		{name: "go", give: []step{at(first, verdict)}, want: Running},
		{
			name: "stop while armed", give: []step{at(first, HeartbeatAnswered{GangReply: berylmessage.GangReply{Verdict: berylmessage.VerdictStop, Reason: "x"}})},
			want: Ended, cause: "x",
		},
		{
			name: "no reply from the anchor", give: []step{at(first, verdict), at(first, Launched{OK: true}), at(2*HeartbeatTimeout, Tick{})},
			want: Ending, cause: "no go from anchor a for more than 5s",
		},
		{name: "paused before launch", give: []step{at(first, verdict), at(time.Hour, Launched{OK: true})}, want: Ending, cause: "no go from anchor a for more than 5s"},
		{name: "launch failed", give: []step{at(first, verdict), at(first, Launched{Reason: "x", Blame: true})}, want: Ending, cause: "x"},
		{name: "done", give: []step{at(first, verdict), at(first, Launched{OK: true}), at(first, Finished{OK: true})}, want: Ended, ok: true},
		{name: "task failed", give: []step{at(first, verdict), at(first, Launched{OK: true}), at(first, Finished{Reason: "x"})}, want: Ending, cause: "x"},
		{
			name: "halted", give: []step{at(first, verdict), at(first, Launched{OK: true}), at(first, Stop{Reason: "x"}), at(first, Halted{})},
			want: Ended, cause: "x",
		},
		{
			name: "no answer from the worker", give: []step{
				at(first, verdict), at(first, Launched{OK: true}), at(first, Stop{Reason: "x"}), at(time.Minute, Tick{}),
			},
			want: Ended, cause: "x",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			p := armed(now, 1)
			for _, s := range tt.give {
				e := s.e
				if answer, ok := e.(HeartbeatAnswered); ok {
					answer.Sent = now.Add(s.at)
					e = answer
				}
				p.Handle(now.Add(s.at), e)
			}
			is.Equal(p.Phase, tt.want)
			is.Equal(p.OK, tt.ok)
			is.Equal(p.Reason, tt.cause)
		})
	}
}

// Guards against an anchor that replies go too early, withdraws it, or reports
// the end of the gang before it is certain.
func TestAnchor(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := armed(now, 0)
	heartbeat := func(at time.Duration, phase berylmessage.GangPhase) berylmessage.Verdict {
		effects := p.Handle(now.Add(at), HeartbeatReceived{Gang: berylmessage.Gang{Job: "j", Attempt: 1, Index: 1, Phase: phase}})
		return effects[len(effects)-1].(Reply).Verdict
	}
	is.Equal(p.Phase, Armed)
	is.Equal(heartbeat(time.Second, berylmessage.GangArmed), berylmessage.VerdictGo)
	is.Equal(heartbeat(time.Second, berylmessage.GangArmed), berylmessage.VerdictGo)
	p.Handle(now.Add(time.Second), Launched{OK: true})
	is.True(!p.Report(now).AllMembers)
	is.Equal(heartbeat(2*time.Second, berylmessage.GangRunning), berylmessage.VerdictGo)
	is.True(p.Report(now).AllMembers)
	is.True(has[Renew](p.Handle(now.Add(5*time.Second), Tick{})))
	timeout := 2*time.Second + HeartbeatTimeout + 1
	is.True(has[Halt](p.Handle(now.Add(timeout), Tick{})))
	is.Equal(heartbeat(timeout, berylmessage.GangArmed), berylmessage.VerdictStop)
	p.Handle(now.Add(timeout), Halted{})
	report := p.Report(now.Add(timeout + TerminationTime))
	is.Equal(report.Phase, berylmessage.GangFailed)
	is.Equal(report.Reason, "no heartbeat from member b for more than 5s")
	is.True(!report.AllMembers)
	is.True(p.Report(now.Add(timeout + TerminationTime + 1)).AllMembers)
}

// Guards against a restarted agent that renews leases for a gang that ended
// during the restart.
func TestRestoredPartRenewsOnlyAfterContact(t *testing.T) {
	for index := range 2 {
		is := is.New(t)
		now := time.Now()
		p := Restore(now, Part{Job: "j", Attempt: 1, Agent: twoMembers()[index].Agent, Members: twoMembers(), Index: index})
		is.True(!has[Renew](p.Handle(now, Tick{})))
		effects := p.Handle(now, HeartbeatAnswered{Sent: now, GangReply: berylmessage.GangReply{Verdict: berylmessage.VerdictGo}})
		effects = append(effects, p.Handle(now, HeartbeatReceived{Gang: berylmessage.Gang{Index: 1, Phase: berylmessage.GangRunning}})...)
		is.True(has[Renew](effects))
	}
}

// Guards against a reservation that does not expire and against an expired one
// that claims to be the gang's anchor.
func TestReservationExpires(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := New(now, "a", berylmessage.Reserve{Job: "j", Attempt: 1, Tasks: 1, Hold: HeartbeatTimeout})
	p.Extend(now.Add(time.Second), HeartbeatTimeout)
	is.Equal(len(p.Handle(now.Add(HeartbeatTimeout), Tick{})), 0)
	is.True(has[Free](p.Handle(now.Add(HeartbeatTimeout+time.Second), Tick{})))
	is.True(p.Closed)
	is.True(!p.Report(now).Anchor)
}
