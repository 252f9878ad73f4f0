// Package berylmessage has the messages between our processes. Each request
// type has a method name in [Method] and its reply type beside it.
package berylmessage

import (
	"time"

	"berylglade/berylanswer"
	"berylglade/berylcall"
	"berylglade/berylconfig"
	"berylglade/beryljob"
	"berylglade/berylshape"
)

// Method is the name of a remote procedure.
type Method string

const (
	// MethodBeat is the heartbeat from an agent to an entry.
	MethodBeat Method = "beat"
	// MethodConfig fetches the newest configuration of a process.
	MethodConfig Method = "config"
	// MethodPeek asks an entry what it knows of the log.
	MethodPeek Method = "peek"
	// MethodKey asks an entry whether it knows of requests with a key.
	MethodKey Method = "key"
	// MethodRun runs a call on an agent.
	MethodRun Method = "run"
	// MethodFind asks an agent for the answer to a call.
	MethodFind Method = "find"
	// MethodTombstone asks an agent never to run a call.
	MethodTombstone Method = "tombstone"
	// MethodDrain asks an agent to take no new work.
	MethodDrain Method = "drain"
	// MethodReserve holds resources for a gang.
	MethodReserve Method = "reserve"
	// MethodStart arms a member of a gang.
	MethodStart Method = "start"
	// MethodStop ends or releases a gang's part on an agent.
	MethodStop Method = "stop"
	// MethodGang is the heartbeat from a gang member to the gang's anchor.
	MethodGang Method = "gang"
)

// Confirmation says how fresh the sender's view of the configuration is.
type Confirmation struct {
	// Offset is the newest configuration that the sender has.
	Offset int64 `cbor:"o"`
	// Age is the time since the sender's view was last confirmed as the newest.
	// It is a duration because clocks of processes are never compared.
	Age time.Duration `cbor:"a"`
	// Valid is false if the view was never confirmed; Age then has no meaning.
	Valid bool `cbor:"v,omitempty"`
}

// Beat is the heartbeat of an agent.
type Beat struct {
	Agent       string `cbor:"n"`
	Incarnation string `cbor:"i"`
	Addr        string `cbor:"d"`
	// Epoch is the epoch that new call ids for this agent must carry.
	Epoch  int64  `cbor:"e"`
	Domain string `cbor:"f"`
	Rack   string `cbor:"r"`
	// Term is the highest term that the agent has seen.
	Term int64 `cbor:"t"`
	// Draining agents take no new work.
	Draining bool `cbor:"g,omitempty"`
	// Leaving is set in the last heartbeat of an agent that stops.
	Leaving bool `cbor:"v,omitempty"`
	// Slots and Busy describe the backend server beside the agent; Slots is
	// zero if there is none.
	Slots int `cbor:"s,omitempty"`
	Busy  int `cbor:"b,omitempty"`
	// Total is the whole worker beside the agent, empty if there is none.
	// It is also empty while the worker does not answer.
	Total berylshape.Shape `cbor:"w,omitzero"`
	// Usage is the worker's lagging report of what its tasks use.
	Usage berylshape.Shape `cbor:"u,omitzero"`
	// Offset is the newest configuration that the agent has.
	Offset int64 `cbor:"o"`
	// Gangs are all gangs on this agent.
	Gangs []GangReport `cbor:"j,omitempty"`
}

// GangPhase is the state of a gang's part on one agent.
type GangPhase uint8

const (
	// GangReserved holds resources and has not been decided.
	GangReserved GangPhase = iota + 1
	// GangArmed is ready and waits for the anchor's decision.
	GangArmed
	// GangRunning has started its tasks.
	GangRunning
	// GangDone has ended with success.
	GangDone
	// GangFailed has ended without success, or was stopped.
	GangFailed
)

// GangReport is one gang in a heartbeat.
type GangReport struct {
	Job     string    `cbor:"j"`
	Attempt int       `cbor:"a"`
	Phase   GangPhase `cbor:"p"`
	Tasks   int       `cbor:"n"`
	// Anchor is set in the report of the gang's anchor, which alone knows
	// that the whole gang has ended.
	Anchor bool `cbor:"h,omitempty"`
	// Whole is set by the anchor when the phase holds for every member.
	Whole bool `cbor:"w,omitempty"`
	// Shape of each task, so that a new leader can rebuild what is in use.
	Shape berylshape.Shape `cbor:"s"`
	// Reason says why the gang failed.
	Reason string `cbor:"r,omitempty"`
	// Blamed names the agent on which the first failure was seen.
	Blamed string `cbor:"b,omitempty"`
}

// BeatReply answers a heartbeat.
type BeatReply struct {
	Confirmation `cbor:"c"`
	// Term and Leader are the newest that the entry knows.
	Term   int64  `cbor:"t"`
	Leader string `cbor:"l,omitempty"`
	// Config is set if the agent is behind.
	Config *berylconfig.Config `cbor:"g,omitempty"`
	// WantConfig asks the agent to send its configuration, since the entry is behind.
	WantConfig bool `cbor:"w,omitempty"`
	// Forget lists ended gangs ("job/attempt") that the log has recorded, so
	// the agent need not report them any more.
	Forget []string `cbor:"f,omitempty"`
}

// ConfigRequest carries the sender's configuration if it is newer than Offset
// of the receiver, and asks for the receiver's.
type ConfigRequest struct {
	Offset int64               `cbor:"o"`
	Config *berylconfig.Config `cbor:"c,omitempty"`
}

// ConfigReply carries the receiver's configuration if it is newer.
type ConfigReply struct {
	Config *berylconfig.Config `cbor:"c,omitempty"`
}

// Peek asks an entry what it knows.
type Peek struct {
	From string `cbor:"f"`
}

// PeekReply says whether the entry can read the log.
type PeekReply struct {
	Confirmation `cbor:"c"`
	// Reachable is false if the last reads of the log failed.
	Reachable bool  `cbor:"r,omitempty"`
	Term      int64 `cbor:"t"`
}

// Key asks an entry about the idempotency key of an account.
type Key struct {
	Account string `cbor:"a"`
	Key     string `cbor:"k"`
}

// KeyReply says what an entry knows of a key.
type KeyReply struct {
	// Call is the id that the key is bound to; empty if none is known.
	Call string `cbor:"c,omitempty"`
	// Busy is set while the entry works on a request with the key.
	Busy bool `cbor:"b,omitempty"`
	// CaughtUp is set once the entry has read stream calls to its end, so that it
	// knows every key that was bound before its process started.
	CaughtUp bool `cbor:"r,omitempty"`
}

// Run asks an agent to run a call.
type Run struct {
	Call berylcall.Call `cbor:"c"`
	// First is set if the sender made the id and has not sent it before. An
	// agent that cannot tell whether the id ran, because it is another
	// incarnation or has forgotten the epoch, then answers notrun and
	// otherwise unknown.
	First bool `cbor:"f,omitempty"`
}

// RunReply carries the answer.
type RunReply struct {
	Answer berylanswer.Answer `cbor:"a"`
}

// Find asks for the answer to a call of an account.
type Find struct {
	Call    string `cbor:"c"`
	Account string `cbor:"a"`
	// Wait is the longest time to wait for a call that still runs.
	Wait time.Duration `cbor:"w,omitempty"`
}

// FindReply carries the answer; an error says that there is none.
type FindReply struct {
	Answer berylanswer.Answer `cbor:"a"`
}

// Tombstone asks an agent never to run a call.
type Tombstone struct {
	Call    string `cbor:"c"`
	Account string `cbor:"a"`
}

// TombstoneReply says whether the call will never run.
type TombstoneReply struct {
	// Confirmed is false if the call has been started already.
	Confirmed bool `cbor:"c,omitempty"`
}

// Drain asks an agent to take no new work until it is restarted.
type Drain struct {
	// Incarnation is the process to drain; another one refuses.
	Incarnation string `cbor:"i"`
}

// DrainReply says that the agent drains and its heartbeats will show it.
type DrainReply struct{}

// Reserve holds resources for one member of a gang.
type Reserve struct {
	Term    int64            `cbor:"t"`
	Job     string           `cbor:"j"`
	Attempt int              `cbor:"a"`
	Tasks   int              `cbor:"n"`
	Shape   berylshape.Shape `cbor:"s"`
	// Hold is how long the agent keeps the reservation by its own clock.
	Hold time.Duration `cbor:"h"`
}

// ReserveReply names the agent process that granted the reservation.
type ReserveReply struct {
	Incarnation string `cbor:"i"`
}

// Start arms one member of a decided gang.
type Start struct {
	Term    int64             `cbor:"t"`
	Job     beryljob.Job      `cbor:"j"`
	Attempt int               `cbor:"a"`
	Members []beryljob.Member `cbor:"m"`
	// Index is the receiver's place in Members; zero is the anchor.
	Index int `cbor:"x"`
	// ArmTimeout is how long the anchor waits for all members to be armed.
	ArmTimeout time.Duration `cbor:"l"`
}

// StartReply says that the member is armed.
type StartReply struct{}

// Stop ends a gang's part on an agent in any phase. It is idempotent.
type Stop struct {
	Term    int64  `cbor:"t"`
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
	// Checkpoint asks to save progress first.
	Checkpoint bool   `cbor:"k,omitempty"`
	Reason     string `cbor:"r,omitempty"`
}

// StopReply says that the stop has begun.
type StopReply struct{}

// Gang is a member's heartbeat to the anchor.
type Gang struct {
	Job     string    `cbor:"j"`
	Attempt int       `cbor:"a"`
	Index   int       `cbor:"x"`
	Phase   GangPhase `cbor:"p"`
	Reason  string    `cbor:"r,omitempty"`
	Blamed  string    `cbor:"b,omitempty"`
	// Checkpoint is set if the member was stopped and asked to save progress
	// first; the whole gang then does so.
	Checkpoint bool `cbor:"k,omitempty"`
}

// Verdict is the anchor's decision for the whole gang.
type Verdict uint8

const (
	// VerdictWait means that not all members are armed yet.
	VerdictWait Verdict = iota + 1
	// VerdictGo means that every member runs.
	VerdictGo
	// VerdictStop means that every member stops.
	VerdictStop
)

// GangReply is the anchor's answer.
type GangReply struct {
	Verdict Verdict `cbor:"v"`
	Reason  string  `cbor:"r,omitempty"`
	// Checkpoint asks to save progress before stopping.
	Checkpoint bool `cbor:"k,omitempty"`
}
