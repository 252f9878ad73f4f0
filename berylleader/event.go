// Package berylleader is the control leader's part of an entry's control state.
//
// The entry passes changes to [Leader.Handle] as an [Event] and carries out the
// returned [Effect] values in goroutines outside the control actor; their
// results come back as events. The leader reserves, decides in the log and
// starts gangs, and asks the scheduler which gang goes where.
package berylleader

import (
	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylrecord"
)

// Event is a change that the leader has to know. The variants are the types of
// this file with an isEvent method.
type Event interface {
	isEvent()
}

// Elected says that this process leads a term, with all jobs of the log so far.
type Elected struct {
	Term   int64
	Jobs   []beryljob.State
	Config *berylconfig.Config
}

// Deposed says that this process does not lead any more.
type Deposed struct{}

// JobChanged says that a valid JobState was read from the log.
type JobChanged struct {
	State beryljob.State
}

// JobCancelled says that a Cancel record of a known job was read.
type JobCancelled struct {
	Job string
}

// ConfigChanged carries a newer configuration, which must not be changed.
type ConfigChanged struct {
	Config *berylconfig.Config
}

// HeartbeatReceived is a heartbeat of an agent.
type HeartbeatReceived struct {
	Heartbeat berylmessage.Beat
}

// AgentLost says that an agent is dead or has left.
type AgentLost struct {
	Agent       string
	Incarnation string
}

// Reserved is the result of SendReserve.
type Reserved struct {
	Job         string
	Attempt     int
	Index       int
	Incarnation string
	Err         error
}

// Appended is the result of Append. Success says nothing about validity;
// JobChanged follows when a valid record has been read back.
type Appended struct {
	State beryljob.State
	Err   error
}

// Started is the result of SendStart.
type Started struct {
	Job     string
	Attempt int
	Index   int
	Err     error
}

// Tick arrives several times a second.
type Tick struct{}

func (Elected) isEvent()           {}
func (Deposed) isEvent()           {}
func (JobChanged) isEvent()        {}
func (JobCancelled) isEvent()      {}
func (ConfigChanged) isEvent()     {}
func (HeartbeatReceived) isEvent() {}
func (AgentLost) isEvent()         {}
func (Reserved) isEvent()          {}
func (Appended) isEvent()          {}
func (Started) isEvent()           {}
func (Tick) isEvent()              {}

// Effect is something that the entry has to carry out. The variants are the
// types of this file with an isEffect method.
type Effect interface {
	isEffect()
}

// SendReserve sends a reservation to an agent; the result is Reserved.
type SendReserve struct {
	Addr    string
	Index   int
	Reserve berylmessage.Reserve
}

// SendStart arms a member; the result is Started.
type SendStart struct {
	Addr  string
	Start berylmessage.Start
}

// SendStop releases or stops a member. It has no result: the agent's
// heartbeats show when the part has ended, and the leader sends it again until
// then.
type SendStop struct {
	Addr string
	Stop berylmessage.Stop
}

// Append writes a job's state to the log; the result is Appended.
type Append struct {
	Record berylrecord.JobState
}

func (SendReserve) isEffect() {}
func (SendStart) isEffect()   {}
func (SendStop) isEffect()    {}
func (Append) isEffect()      {}
