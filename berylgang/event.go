package berylgang

import (
	"time"

	"berylglade/beryljob"
	"berylglade/berylmessage"
)

// Event is an input of the state machine. Its variants are the types of this
// file with an isEvent method.
type Event interface {
	isEvent()
}

// Tick triggers timeouts and periodic effects.
type Tick struct{}

// Arm says that the leader has started the gang and that the reservation was
// committed.
type Arm struct {
	Members []beryljob.Member
	Index   int
	// ArmTimeout is how long the part waits for go; zero means HeartbeatTimeout.
	ArmTimeout time.Duration
}

// HeartbeatReceived is a member's heartbeat, received by the anchor. Its last
// effect is a Reply.
type HeartbeatReceived struct {
	Gang berylmessage.Gang
}

// HeartbeatAnswered is the anchor's reply to a heartbeat that was sent at the
// given time.
type HeartbeatAnswered struct {
	Sent time.Time
	berylmessage.GangReply
}

// Launched is the result of a Launch.
type Launched struct {
	OK bool
	// Blame is set if the worker caused the failure.
	Blame  bool
	Reason string
}

// Renewed says that the worker has renewed every lease. Sent is when the Renew
// was emitted.
type Renewed struct {
	Sent time.Time
}

// Finished says that all tasks have succeeded, or that one has ended without
// success.
type Finished struct {
	OK bool
	// Blame is set if the worker may have caused the failure.
	Blame  bool
	Reason string
}

// Halted says that certainly no task runs any more.
type Halted struct{}

// Stop ends the part in any phase.
type Stop struct {
	Checkpoint bool
	Reason     string
}

func (Tick) isEvent()              {}
func (Arm) isEvent()               {}
func (HeartbeatReceived) isEvent() {}
func (HeartbeatAnswered) isEvent() {}
func (Launched) isEvent()          {}
func (Renewed) isEvent()           {}
func (Finished) isEvent()          {}
func (Halted) isEvent()            {}
func (Stop) isEvent()              {}

// Effect is an action that the agent has to carry out. Its variants are the
// types of this file with an isEffect method.
type Effect interface {
	isEffect()
}

// Launch starts the tasks; the result is Launched. It has to complete within
// HeartbeatTimeout, or else fail, and is cancelled when the part enters phase
// Ending.
type Launch struct{}

// Renew renews the leases of the tasks; the result is Renewed. A renewal that
// takes longer than RequestTimeout must have no effect.
type Renew struct{}

// Halt stops the tasks; the result is Halted. It is repeated until then, and
// never emitted while a Launch is in progress.
type Halt struct {
	Checkpoint bool
}

// SendHeartbeat sends a heartbeat to the anchor; the result is
// HeartbeatAnswered.
type SendHeartbeat struct {
	Gang berylmessage.Gang
}

// Reply is the reply to the heartbeat that was received.
type Reply struct {
	berylmessage.GangReply
}

// Free releases the resources of the part, on which nothing runs any more.
type Free struct{}

func (Launch) isEffect()        {}
func (Renew) isEffect()         {}
func (Halt) isEffect()          {}
func (SendHeartbeat) isEffect() {}
func (Reply) isEffect()         {}
func (Free) isEffect()          {}
