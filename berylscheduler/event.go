// Package berylscheduler decides which gang runs on which workers.
//
// The owner passes every change to [Scheduler.Handle] as an [Event] and calls
// [Scheduler.Decide] for the next actions. The scheduler is deterministic: it
// reads no clock, does no I/O, starts no goroutine and makes no random choice, so
// the same events at the same times give the same actions. It combines the
// decision packages berylqueue, berylguarantee, berylplacement, berylestimator
// and berylquarantine.
//
// A gang starts on free capacity, on units of its account's guarantee, by
// preempting work with checkpoints, or on workers that a reservation collects for
// it.
package berylscheduler

import (
	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylshape"
)

// Event is a change that affects scheduling. The variants are the types of this
// file with an isEvent method.
type Event interface {
	isEvent()
}

// JobQueued reports that a job waits for a placement. It is sent again with a
// higher attempt when an attempt ended and the job has to run again.
type JobQueued struct {
	State beryljob.State
}

// JobRestored reports a job that a new leader found in the log as decided; its
// members hold resources.
type JobRestored struct {
	State beryljob.State
}

// JobEnded reports that a job is done, failed or cancelled. It may arrive in any
// phase of the job.
type JobEnded struct {
	Job string
	// Phase is a final phase.
	Phase beryljob.Phase
}

// GangStarted reports that every member of an attempt runs.
type GangStarted struct {
	Job     string
	Attempt int
}

// GangEnded reports that no member of an attempt holds resources any more.
type GangEnded struct {
	Job     string
	Attempt int
	// OK is set if every task succeeded. Otherwise JobQueued or JobEnded follows.
	OK bool
	// Blamed is the worker on which the first failure occurred; empty if the
	// attempt was stopped or the worker was lost.
	Blamed string
}

// PlacementRefused reports that a Place action was not carried out. No member
// holds resources.
type PlacementRefused struct {
	Job     string
	Attempt int
	// Worker is the one whose agent refused the reservation; empty if the owner
	// could not carry out the action.
	Worker string
}

// WorkerSeen reports that a worker is available. It is sent again when a field
// changes.
type WorkerSeen struct {
	Worker Worker
}

// WorkerLost reports that a worker is gone, with everything on it.
type WorkerLost struct {
	Worker string
}

// UsageReported is a delayed report of the resources that a worker's tasks use.
type UsageReported struct {
	Worker string
	Used   berylshape.Shape
}

// ConfigChanged carries a newer configuration, which the receiver does not
// modify.
type ConfigChanged struct {
	Config *berylconfig.Config
}

func (JobQueued) isEvent()        {}
func (JobRestored) isEvent()      {}
func (JobEnded) isEvent()         {}
func (GangStarted) isEvent()      {}
func (GangEnded) isEvent()        {}
func (PlacementRefused) isEvent() {}
func (WorkerSeen) isEvent()       {}
func (WorkerLost) isEvent()       {}
func (UsageReported) isEvent()    {}
func (ConfigChanged) isEvent()    {}

// Worker is a VM with accelerators that is managed by an agent.
type Worker struct {
	// Name is the agent's name, which is unique.
	Name        string
	Incarnation string
	Addr        string
	Domain      string
	// Rack is unique over all failure domains.
	Rack  string
	Total berylshape.Shape
	// Draining workers get no new work.
	Draining bool
	// Gangs are the parts of gangs that the agent reported.
	Gangs []berylmessage.GangReport
}

// Action is a decision that the owner has to carry out. The variants are the
// types of this file with an isAction method.
type Action interface {
	isAction()
}

// Place asks the owner to reserve resources for a gang and start it. The
// scheduler counts the resources as used until GangEnded or PlacementRefused.
type Place struct {
	Job     string
	Attempt int
	// Members holds all tasks of the gang. The first member is the anchor, whose
	// agent coordinates the gang.
	Members []beryljob.Member
}

// Preempt asks the owner to stop a whole gang and queue it again.
type Preempt struct {
	Job     string
	Attempt int
	// Checkpoint asks for the gang's progress to be saved first.
	Checkpoint bool
	Reason     string
}

// Reject asks the owner to end a job that can never run.
type Reject struct {
	Job    string
	Reason string
}

// Late reports, once per job, that its target can no longer be met.
type Late struct {
	Job string
}

// Probe reports that a quarantined worker is tested: the scheduler may place one
// gang of one task there.
type Probe struct {
	Worker string
}

func (Place) isAction()   {}
func (Preempt) isAction() {}
func (Reject) isAction()  {}
func (Late) isAction()    {}
func (Probe) isAction()   {}
