// Package berylleader implements the control leader: it moves each gang through
// reservation, decision and start, and stops its members at the end.
//
// The entry's control actor passes changes to [Leader.Handle] as an [Event] and
// runs the returned [Effect] values in goroutines; their results come back as
// events. For each gang the leader reserves resources on agents, appends the
// decision to the log and starts the members. The [Policy] chooses the workers.
package berylleader

import (
	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylmessage"
	"berylglade/berylrecord"
)

// Event is an input of the leader. The variants are the types in this file that
// have an isEvent method.
type Event interface {
	isEvent()
}

// Elected reports that this process leads a term. Jobs are all jobs that have
// been read from the log.
type Elected struct {
	Term   int64
	Jobs   []beryljob.State
	Config *berylconfig.Config
}

// Deposed reports that this process no longer leads.
type Deposed struct{}

// JobChanged reports that a valid JobState record was read from the log.
type JobChanged struct {
	State beryljob.State
}

// JobCancelled reports that a Cancel record of a known job was read.
type JobCancelled struct {
	Job string
}

// ConfigChanged carries a newer configuration. The receiver must not modify it.
type ConfigChanged struct {
	Config *berylconfig.Config
}

// HeartbeatReceived carries the heartbeat of an agent.
type HeartbeatReceived struct {
	Heartbeat berylmessage.Heartbeat
}

// AgentLost reports that an agent is dead or has left.
type AgentLost struct {
	Agent       string
	Incarnation string
}

// Reserved is the result of a SendReserve effect.
type Reserved struct {
	Job         string
	Attempt     int
	Index       int
	Incarnation string
	Err         error
}

// Appended is the result of an Append effect. Success does not mean that the
// record is valid; JobChanged follows once a valid record has been read back.
type Appended struct {
	State beryljob.State
	Err   error
}

// Started is the result of a SendStart effect.
type Started struct {
	Job     string
	Attempt int
	Index   int
	Err     error
}

// Tick arrives several times a second and drives timeouts and scheduling.
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

// Effect is an action that the entry runs for the leader. The variants are the
// types in this file that have an isEffect method.
type Effect interface {
	isEffect()
}

// SendReserve sends a reservation to an agent. Its result is Reserved.
type SendReserve struct {
	Addr    string
	Index   int
	Reserve berylmessage.Reserve
}

// SendStart tells an agent to arm a gang member. Its result is Started.
type SendStart struct {
	Addr  string
	Start berylmessage.Start
}

// SendStop tells an agent to release or stop a gang member. It has no result:
// the leader sends it again until the agent's heartbeats show that the member
// has ended.
type SendStop struct {
	Addr string
	Stop berylmessage.Stop
}

// Append appends the state of a job to the log. Its result is Appended.
type Append struct {
	Record berylrecord.JobState
}

func (SendReserve) isEffect() {}
func (SendStart) isEffect()   {}
func (SendStop) isEffect()    {}
func (Append) isEffect()      {}
