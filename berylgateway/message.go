package berylgateway

import (
	"fmt"
	"runtime/debug"

	"berylglade/beryldirector"
	"berylglade/berylestimator"
	"berylglade/berylfollower"
	"berylglade/berylpolicy"
	"berylglade/berylreport"
	"berylglade/berylstore"
)

// message is an event for the control actor.
type message interface{ message() }

type (
	// jobsEvent is an event of the jobs topic.
	jobsEvent struct{ event berylfollower.Event }
	// policyChanged carries a new version of the desired state.
	policyChanged struct{ policy *berylpolicy.Policy }
	// reportReceived is a report of an agent.
	reportReceived struct {
		report berylreport.Report
		reply  func(berylreport.Answer)
	}
	// recordReceived is a client's record for the next append.
	recordReceived struct {
		record berylstore.Record
		reply  func(error)
	}
	// appendFinished is the outcome of the leader's append. If err is set, the store has
	// refused the append for good: its epoch is fenced, its sequence number does not
	// match, or its content is invalid.
	appendFinished struct {
		epoch int64
		err   error
	}
	// storeUnreachable means that the store answers the peer but not this entry.
	storeUnreachable struct {
		epoch int64
		peer  string
	}
	// leadReleased means that the leader of the epoch has resigned in favour of this
	// entry.
	leadReleased struct{ epoch int64 }
	// claimConflict means that a claim was refused because the topic had grown.
	claimConflict struct{ claim beryldirector.Claim }
	// leaderUnreachable means that the leader of the epoch does not answer or does not
	// lead any more.
	leaderUnreachable struct{ epoch int64 }
	// leadAsked asks under which epoch this entry leads.
	leadAsked struct{ reply func(int64) }
	// runTimesAsked asks what is known of the run times of a queue.
	runTimesAsked struct {
		queue string
		reply func([]berylestimator.Known)
	}
	// tick is sent periodically.
	tick struct{}
	// stepDue triggers the scheduling pass that the director has deferred.
	stepDue struct{}
	// resignRequested asks the director to resign.
	resignRequested struct {
		reply func(resignation)
	}
)

// restartDirector replaces the director after a panic, whose state may be partly
// changed, with one that has to read the jobs again and does not lead. The process and
// its requests go on. It has to be deferred.
func (g *Gateway) restartDirector(msg message) {
	r := recover()
	if r == nil {
		return
	}
	g.cfg.CountDecision("panic")
	g.cfg.Log.Error("event panicked; reading the jobs again", "event", fmt.Sprintf("%T", msg), "epoch", g.director.Epoch(),
		"panic", fmt.Sprint(r), "stack", string(debug.Stack()))
	policy := g.director.Policy
	g.director = beryldirector.New(g.cfg.Self, g.cfg.Limits)
	g.director.Policy = policy
	g.director.Deposed()
	if g.shuttingDown {
		_, _ = g.director.Resign()
	}
	g.leading.Store(false)
	g.stepScheduled = false
	g.pendingReplies.resolveAll(errDeposed)
	g.jobs.Reload()
}

// resignation is the last append of a leader with its sequence number.
type resignation struct {
	persist beryldirector.Persist
	seq     int64
}

func (jobsEvent) message()         {}
func (policyChanged) message()     {}
func (reportReceived) message()    {}
func (appendFinished) message()    {}
func (storeUnreachable) message()  {}
func (leadReleased) message()      {}
func (claimConflict) message()     {}
func (leaderUnreachable) message() {}
func (leadAsked) message()         {}
func (recordReceived) message()    {}
func (runTimesAsked) message()     {}
func (tick) message()              {}
func (stepDue) message()           {}
func (resignRequested) message()   {}
