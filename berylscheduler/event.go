// Package berylscheduler decides which gang runs where.
//
// The owner passes every change to [Scheduler.Handle] as an [Event] and asks
// [Scheduler.Decide] for the next actions. The scheduler reads no clock, does
// no I/O, starts no goroutine and makes no random choice: the same events at the
// same times give the same actions. It combines the smaller deciding packages:
// queue, guarantee, placement, estimator and quarantine.
package berylscheduler

import (
	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylshape"
)

// Event is a change that the scheduler has to know. The variants are the types
// of this file with an isEvent method.
type Event interface {
	isEvent()
}

// JobQueued says that a job waits for a placement. It is sent again with a
// higher attempt when an attempt ended and the job has to run again.
type JobQueued struct {
	State beryljob.State
}

// JobRestored says that a decided job was found in the log by a new leader; its
// members hold resources.
type JobRestored struct {
	State beryljob.State
}

// JobEnded says that a job is done, failed or cancelled in any phase.
type JobEnded struct {
	Job string
	// Phase is final.
	Phase beryljob.Phase
}

// GangStarted says that every member of an attempt runs.
type GangStarted struct {
	Job     string
	Attempt int
}

// GangEnded says that no member of an attempt holds resources any more.
type GangEnded struct {
	Job     string
	Attempt int
	// OK is set if every task ended well. Otherwise JobQueued or JobEnded
	// follows.
	OK bool
	// Blamed is the worker on which the first failure was seen; empty if the
	// attempt ended because it was stopped, or the worker was lost.
	Blamed string
}

// PlacementRefused says that a member refused its reservation.
type PlacementRefused struct {
	Job     string
	Attempt int
	Worker  string
}

// WorkerSeen says that a worker is there. It is sent again when a field changes.
type WorkerSeen struct {
	Worker Worker
}

// WorkerLost says that a worker is gone, with everything on it.
type WorkerLost struct {
	Worker string
}

// UsageReported is a lagging report of what a worker's tasks use.
type UsageReported struct {
	Worker string
	Used   berylshape.Shape
}

// ConfigChanged carries a newer configuration, which must not be changed.
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

// Worker is a host with accelerators and the agent beside it.
type Worker struct {
	// Name is the agent's name and unique.
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

// Action is what the owner has to carry out. The variants are the types of this
// file with an isAction method.
type Action interface {
	isAction()
}

// Place reserves and starts a gang. The scheduler counts its resources as used
// until GangEnded or PlacementRefused.
type Place struct {
	Job     string
	Attempt int
	// Members holds all tasks of the gang; the first member is the anchor.
	Members []beryljob.Member
}

// Preempt stops a whole gang, which is queued again afterwards.
type Preempt struct {
	Job     string
	Attempt int
	// Checkpoint asks to save progress first.
	Checkpoint bool
	Reason     string
}

// Reject ends a job that can never run.
type Reject struct {
	Job    string
	Reason string
}

// Late reports, once per job, that its target cannot be met any more.
type Late struct {
	Job string
}

// Probe asks for a test of a quarantined worker: the owner may let one small
// gang run there.
type Probe struct {
	Worker string
}

func (Place) isAction()   {}
func (Preempt) isAction() {}
func (Reject) isAction()  {}
func (Late) isAction()    {}
func (Probe) isAction()   {}
