package berylgang

import (
	"time"

	"berylglade/beryljob"
	"berylglade/berylmessage"
)

// Event is a change that the part has to know. The variants are the types of
// this file with an isEvent method.
type Event interface {
	isEvent()
}

// Tick arrives several times a second.
type Tick struct{}

// Arm says that the leader has started the gang and that the reservation was
// turned into a part in use.
type Arm struct {
	Members []beryljob.Member
	Index   int
	// Timeout is how long the part waits for go; zero means Bound.
	Timeout time.Duration
}

// HeartbeatReceived is a member's heartbeat at the anchor. Its last effect is a Reply.
type HeartbeatReceived struct {
	Gang berylmessage.Gang
}

// HeartbeatAnswered is the anchor's answer to a heartbeat that was sent at a time.
type HeartbeatAnswered struct {
	Sent time.Time
	berylmessage.GangReply
}

// Launched is the result of Launch.
type Launched struct {
	OK bool
	// Blame is set if the worker is the cause of the failure.
	Blame  bool
	Reason string
}

// Renewed says that the worker renewed every lease after a Renew that was given
// at a time.
type Renewed struct {
	Sent time.Time
}

// Finished says that all tasks have ended with success, or that one has not.
type Finished struct {
	OK bool
	// Blame is set if the worker may be the cause of the failure.
	Blame  bool
	Reason string
}

// Halted says that certainly no task runs any more.
type Halted struct{}

// Stop asks to end the part in any phase.
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

// Effect is something that the agent has to carry out. The variants are the
// types of this file with an isEffect method.
type Effect interface {
	isEffect()
}

// Launch starts the tasks; the result is Launched. It has to be over within
// Bound, or else fail, and is cancelled when the part enters phase Ending.
type Launch struct{}

// Renew renews the leases of the tasks; the result is Renewed. It has no effect
// after RequestTime.
type Renew struct{}

// Halt stops the tasks; the result is Halted. It is repeated until then and
// never given while a Launch is under way.
type Halt struct {
	Checkpoint bool
}

// SendHeartbeat sends a heartbeat to the anchor; the result is Answered.
type SendHeartbeat struct {
	Gang berylmessage.Gang
}

// Reply answers the heartbeat that was heard.
type Reply struct {
	berylmessage.GangReply
}

// Free frees the resources of the part, on which nothing runs any more.
type Free struct{}

func (Launch) isEffect()        {}
func (Renew) isEffect()         {}
func (Halt) isEffect()          {}
func (SendHeartbeat) isEffect() {}
func (Reply) isEffect()         {}
func (Free) isEffect()          {}
