// Package berylmessage defines the messages that entries and agents exchange.
// Each request has a method name of type [Method] and a reply type, which
// follows the request type.
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
	// MethodHeartbeat sends the heartbeat of an agent to an entry.
	MethodHeartbeat Method = "beat"
	// MethodConfig exchanges the newest configuration of two processes.
	MethodConfig Method = "config"
	// MethodPeerStatus asks another entry whether it can read the log and how fresh
	// its configuration is.
	MethodPeerStatus Method = "peek"
	// MethodKey asks another entry what it knows of an idempotency key.
	MethodKey Method = "key"
	// MethodRun runs a call on an agent.
	MethodRun Method = "run"
	// MethodFind fetches the answer to a call from an agent.
	MethodFind Method = "find"
	// MethodTombstone makes an agent record that a call must never run.
	MethodTombstone Method = "tombstone"
	// MethodDrain asks an agent to accept no new work.
	MethodDrain Method = "drain"
	// MethodReserve reserves resources for a gang.
	MethodReserve Method = "reserve"
	// MethodStart arms a member of a gang: the member is ready and starts its
	// tasks once the anchor decides so.
	MethodStart Method = "start"
	// MethodStop stops a gang's tasks on an agent or releases its reservation.
	MethodStop Method = "stop"
	// MethodGang sends the heartbeat of a gang member to the gang's anchor, the
	// first member, which decides for the whole gang.
	MethodGang Method = "gang"
)

// Confirmation tells how fresh the sender's configuration is.
type Confirmation struct {
	// Offset is the log offset of the newest configuration that the sender has.
	Offset int64 `cbor:"o"`
	// Age is the time since the sender's configuration was last confirmed to be
	// the newest. It is a duration because clocks of different processes are
	// never compared.
	Age time.Duration `cbor:"a"`
	// Valid is false if the configuration was never confirmed; Age then has no
	// meaning.
	Valid bool `cbor:"v,omitempty"`
}

// Heartbeat is the heartbeat of an agent.
type Heartbeat struct {
	Agent       string `cbor:"n"`
	Incarnation string `cbor:"i"`
	Addr        string `cbor:"d"`
	// Epoch is the epoch that new call ids for this agent must contain.
	Epoch  int64  `cbor:"e"`
	Domain string `cbor:"f"`
	Rack   string `cbor:"r"`
	// Term is the highest term that the agent has seen.
	Term int64 `cbor:"t"`
	// Draining is set if the agent accepts no new work.
	Draining bool `cbor:"g,omitempty"`
	// Leaving is set in the last heartbeat before the agent's process ends.
	Leaving bool `cbor:"v,omitempty"`
	// Slots is the number of calls that the agent's backend server runs at the
	// same time, and Busy the number that it runs now. Slots is zero if the
	// agent has no backend server.
	Slots int `cbor:"s,omitempty"`
	Busy  int `cbor:"b,omitempty"`
	// Total is the capacity of the agent's worker. It is empty if the agent has
	// no worker or the worker does not answer.
	Total berylshape.Shape `cbor:"w,omitzero"`
	// Usage is what the worker's tasks use according to the worker's last
	// report, which lags behind.
	Usage berylshape.Shape `cbor:"u,omitzero"`
	// Offset is the log offset of the newest configuration that the agent has.
	Offset int64 `cbor:"o"`
	// Gangs lists all gangs on this agent.
	Gangs []GangReport `cbor:"j,omitempty"`
}

// GangPhase is the state of one gang member.
type GangPhase uint8

const (
	// GangReserved means that resources are reserved and that no start has been
	// received.
	GangReserved GangPhase = iota + 1
	// GangArmed means that the member is ready and waits for the anchor's
	// decision.
	GangArmed
	// GangRunning means that the member has started its tasks.
	GangRunning
	// GangDone means that the member has ended successfully.
	GangDone
	// GangFailed means that the member has failed or was stopped.
	GangFailed
)

// GangReport is the state of one gang in an agent's heartbeat.
type GangReport struct {
	Job     string    `cbor:"j"`
	Attempt int       `cbor:"a"`
	Phase   GangPhase `cbor:"p"`
	Tasks   int       `cbor:"n"`
	// Anchor is set in the report of the gang's anchor. Only the anchor knows
	// whether the whole gang has ended.
	Anchor bool `cbor:"h,omitempty"`
	// AllMembers is set by the anchor if the phase applies to every member.
	AllMembers bool `cbor:"w,omitempty"`
	// Shape is what each task needs. A new leader computes the resources in use
	// from it.
	Shape berylshape.Shape `cbor:"s"`
	// Reason says why the gang failed.
	Reason string `cbor:"r,omitempty"`
	// Blamed names the agent on which the first failure was observed.
	Blamed string `cbor:"b,omitempty"`
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Confirmation `cbor:"c"`
	// Term is the newest term that the entry knows, and Leader the address of
	// its leader.
	Term   int64  `cbor:"t"`
	Leader string `cbor:"l,omitempty"`
	// Config is set if the agent's configuration is older than the entry's.
	Config *berylconfig.Config `cbor:"g,omitempty"`
	// WantConfig asks the agent to send its configuration because the entry's
	// is older.
	WantConfig bool `cbor:"w,omitempty"`
	// Forget lists ended gangs ("job/attempt") that the agent need not report
	// any more: their end is recorded in the log, or the job is unknown to a
	// leader that knows all jobs.
	Forget []string `cbor:"f,omitempty"`
}

// ConfigRequest asks for the receiver's configuration if it is newer than the
// sender's, which has the given Offset. Config is the sender's configuration if
// the receiver has asked for it.
type ConfigRequest struct {
	Offset int64               `cbor:"o"`
	Config *berylconfig.Config `cbor:"c,omitempty"`
}

// ConfigReply contains the receiver's configuration if it is newer than the
// sender's.
type ConfigReply struct {
	Config *berylconfig.Config `cbor:"c,omitempty"`
}

// PeerStatus asks an entry whether it can read the log, how fresh its configuration
// is and which term it knows.
type PeerStatus struct {
	From string `cbor:"f"`
}

// PeerStatusReply is the reply to a PeerStatus.
type PeerStatusReply struct {
	Confirmation `cbor:"c"`
	// Reachable is false if the last reads of the log failed.
	Reachable bool  `cbor:"r,omitempty"`
	Term      int64 `cbor:"t"`
}

// Key asks an entry what it knows of an idempotency key of an account.
type Key struct {
	Account string `cbor:"a"`
	Key     string `cbor:"k"`
}

// KeyReply tells what an entry knows of an idempotency key.
type KeyReply struct {
	// Call is the id of the call that the key is bound to; empty if the entry
	// knows none.
	Call string `cbor:"c,omitempty"`
	// Busy is set while the entry processes a request with the key.
	Busy bool `cbor:"b,omitempty"`
	// CaughtUp is set once the entry has read the log stream of calls to its end
	// and so knows every key that was bound before its process started.
	CaughtUp bool `cbor:"r,omitempty"`
}

// Run asks an agent to run a call.
type Run struct {
	Call berylcall.Call `cbor:"c"`
	// First is set if the sender created the id and has not sent it before. An
	// agent can't tell whether the id ran if the id names another incarnation
	// or an epoch that the agent no longer remembers. It then answers notrun if
	// First is set and unknown otherwise.
	First bool `cbor:"f,omitempty"`
}

// RunReply contains the answer to a call.
type RunReply struct {
	Answer berylanswer.Answer `cbor:"a"`
}

// Find asks for the answer to a call of an account.
type Find struct {
	Call    string `cbor:"c"`
	Account string `cbor:"a"`
	// Wait is the longest time to wait for a call that is still running.
	Wait time.Duration `cbor:"w,omitempty"`
}

// FindReply contains the answer to a call. An agent without an answer returns
// an error instead.
type FindReply struct {
	Answer berylanswer.Answer `cbor:"a"`
}

// Tombstone makes an agent record that a call must never run.
type Tombstone struct {
	Call    string `cbor:"c"`
	Account string `cbor:"a"`
}

// TombstoneReply tells whether the call will never run.
type TombstoneReply struct {
	// Confirmed is false if the call has already been started.
	Confirmed bool `cbor:"c,omitempty"`
}

// Drain asks an agent to accept no new work until it is restarted.
type Drain struct {
	// Incarnation is the agent process to drain. Any other process rejects the
	// request.
	Incarnation string `cbor:"i"`
}

// DrainReply confirms that the agent is draining. The heartbeats that follow
// have Draining set.
type DrainReply struct{}

// Reserve reserves resources for one member of a gang.
type Reserve struct {
	Term    int64            `cbor:"t"`
	Job     string           `cbor:"j"`
	Attempt int              `cbor:"a"`
	Tasks   int              `cbor:"n"`
	Shape   berylshape.Shape `cbor:"s"`
	// Hold is how long the agent keeps the reservation, measured by its own
	// clock.
	Hold time.Duration `cbor:"h"`
}

// ReserveReply names the agent process that granted the reservation.
type ReserveReply struct {
	Incarnation string `cbor:"i"`
}

// Start arms one member of a gang whose placement is recorded in the log.
type Start struct {
	Term    int64             `cbor:"t"`
	Job     beryljob.Job      `cbor:"j"`
	Attempt int               `cbor:"a"`
	Members []beryljob.Member `cbor:"m"`
	// Index is the receiver's index in Members; the member at zero is the
	// anchor.
	Index int `cbor:"x"`
	// ArmTimeout is how long a member stays armed before it stops if the gang
	// has not started.
	ArmTimeout time.Duration `cbor:"l"`
}

// StartReply confirms that the member is armed.
type StartReply struct{}

// Stop stops one member of a gang in any phase. It is idempotent.
type Stop struct {
	Term    int64  `cbor:"t"`
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
	// Checkpoint asks the member to save its progress before it stops.
	Checkpoint bool   `cbor:"k,omitempty"`
	Reason     string `cbor:"r,omitempty"`
}

// StopReply confirms that the member has begun to stop.
type StopReply struct{}

// Gang is the heartbeat of a gang member to the gang's anchor.
type Gang struct {
	Job     string    `cbor:"j"`
	Attempt int       `cbor:"a"`
	Index   int       `cbor:"x"`
	Phase   GangPhase `cbor:"p"`
	Reason  string    `cbor:"r,omitempty"`
	Blamed  string    `cbor:"b,omitempty"`
	// Checkpoint is set if the member was stopped and asked to save its progress
	// first. The anchor then asks the whole gang to do so.
	Checkpoint bool `cbor:"k,omitempty"`
}

// Verdict is the anchor's decision for the whole gang.
type Verdict uint8

const (
	// VerdictWait means that some members are not armed yet.
	VerdictWait Verdict = iota + 1
	// VerdictGo means that every member must run.
	VerdictGo
	// VerdictStop means that every member must stop.
	VerdictStop
)

// GangReply is the anchor's reply to a member's heartbeat.
type GangReply struct {
	Verdict Verdict `cbor:"v"`
	Reason  string  `cbor:"r,omitempty"`
	// Checkpoint asks the member to save its progress before it stops.
	Checkpoint bool `cbor:"k,omitempty"`
}
