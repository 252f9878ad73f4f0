// Package berylreport has the messages between an agent and the leader.
//
// An agent sends a [Report] of all that it knows of its backend server, often
// and after each change. The leader answers with an [Answer] and sends
// [Orders] when it has decided something. Both messages carry whole states, so
// that a lost or repeated one does no harm.
package berylreport

import (
	"berylglade/berylbook"
	"berylglade/berylmessage"
	"berylglade/berylroom"
)

const (
	// MethodReport carries a Report from an agent to an entry.
	MethodReport berylmessage.Method = "report"
	// MethodOrders carries Orders from the leader to an agent.
	MethodOrders berylmessage.Method = "orders"
	// MethodLead carries Lead from a new leader to an agent.
	MethodLead berylmessage.Method = "lead"
)

// Report is what an agent knows of its backend server.
type Report struct {
	Node string `cbor:"n"`
	// Addr takes Orders.
	Addr string `cbor:"a"`
	// Seq grows with each report of one agent process; late ones are dropped.
	Seq int64 `cbor:"q"`
	// Boot tells agent processes apart; a later process has a higher one.
	Boot int64 `cbor:"b"`
	// Incarnation is the life of the backend server; its Instance is empty while none
	// is known.
	Incarnation   berylbook.Incarnation `cbor:"p"`
	Service string          `cbor:"v,omitempty"`
	Zone    string          `cbor:"z,omitempty"`
	Labels  []string        `cbor:"l,omitempty"`
	Capacity    berylroom.Resources  `cbor:"r"`
	// Draining means that the backend server is about to leave.
	Draining bool `cbor:"d,omitempty"`
	// Remaining is the least time until it leaves, in milliseconds.
	Remaining int64 `cbor:"m,omitempty"`
	// Listed is true once Runs and Ends were read in this life.
	Listed bool `cbor:"k,omitempty"`
	// Unresponsive is true while the backend server does not answer.
	Unresponsive bool `cbor:"s,omitempty"`
	// LeaseExpired is true if nothing can run on the backend server any more, as its
	// lease has run out without an answer.
	LeaseExpired bool  `cbor:"x,omitempty"`
	Runs   []Run `cbor:"u,omitempty"`
	Ends   []End `cbor:"e,omitempty"`
	// PastEnds are the ends of the last life of the backend server that were listed
	// and not noted when it ended.
	PastEnds PastEnds `cbor:"j,omitempty"`
	// Absent are ordered runs that do not exist and never will.
	Absent []Key `cbor:"t,omitempty"`
	// Received are starts of which the agent has heard, so that the leader need
	// not send them again.
	Received []Key `cbor:"h,omitempty"`
}

// PastEnds has ends of an earlier life of a backend server.
type PastEnds struct {
	Incarnation berylbook.Incarnation `cbor:"p"`
	Ends  []End           `cbor:"e,omitempty"`
}

// Key names one run of a task.
type Key struct {
	Task string `cbor:"t"`
	Run  int    `cbor:"r"`
}

// Run is a run that exists.
type Run struct {
	Key
	// Checkpoint is its newest checkpoint.
	Checkpoint string `cbor:"s,omitempty"`
	// Progress is the part of its work that is done, in percent; for a lasting
	// task, the share at which it works.
	Progress float64 `cbor:"p,omitempty"`
	// Load is a rough figure for the last half second: the tail latency in
	// milliseconds of a task that serves, otherwise the processor time in use in
	// thousandths of a core.
	Load float64 `cbor:"l,omitempty"`
}

// EndReason says in which way a run ended.
type EndReason uint8

const (
	// Done means that the task is done.
	Done EndReason = iota + 1
	// Failed means a fault of the task or of the backend server.
	Failed
	// Stopped means that it was stopped on order.
	Stopped
	// LeaseExpired means that the lease ran out.
	LeaseExpired
	// GangBroken means that another member of the gang ended.
	GangBroken
	// GangIncomplete means that the other members of the gang did not come.
	GangIncomplete
)

// String returns the name in logs.
func (h EndReason) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[min(h, GangIncomplete)]
}

// End is a run that has ended and was not taken note of yet.
type End struct {
	Key
	// Seq numbers the ends of one life of the backend server, from one.
	Seq     int64  `cbor:"n"`
	Reason   EndReason    `cbor:"h"`
	Checkpoint string `cbor:"s,omitempty"`
}

// Answer is the reply to a report.
type Answer struct {
	// Epoch is that of the leader, or of the newest claim known.
	Epoch int64 `cbor:"e"`
	// Leader is where reports go; empty if it is not known.
	Leader string `cbor:"l,omitempty"`
	// FromLeader is true if the process that answers leads.
	FromLeader bool `cbor:"d,omitempty"`
	// Acked is the number up to which ends are recorded for good.
	Acked int64 `cbor:"n,omitempty"`
}

// Start is a task to start.
type Start struct {
	Key
	Spec  string `cbor:"s,omitempty"`
	Checkpoint string `cbor:"c,omitempty"`
}

// Orders are what the leader wants of one backend server.
type Orders struct {
	Epoch int64           `cbor:"e"`
	Incarnation berylbook.Incarnation `cbor:"p"`
	Start []Start         `cbor:"s,omitempty"`
	Stop  []Key           `cbor:"x,omitempty"`
	// Acked is the number up to which ends are recorded for good.
	Acked int64 `cbor:"n,omitempty"`
}

// Lead tells an agent which entry leads from now on.
type Lead struct {
	Epoch int64 `cbor:"e"`
	// Leader is where reports go.
	Leader string `cbor:"l"`
}

// Receipt confirms Orders and Lead.
type Receipt struct {
	// Epoch is the highest one that the agent has seen.
	Epoch int64 `cbor:"e"`
}
