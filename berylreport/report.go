// Package berylreport defines the messages between an agent and the leader.
//
// An agent sends a [Report] of everything it knows about its backend server,
// periodically and after each change. The leader replies with an [Answer] and
// sends [Orders] when it has made decisions. Reports and orders carry complete
// state, so a lost or repeated message does no harm. An Answer here is a reply to a
// report; the answers to clients' calls are in berylanswer.
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

// Report is the state of a backend server as its agent knows it.
type Report struct {
	Node string `cbor:"n"`
	// Addr is the agent's address for Orders.
	Addr string `cbor:"a"`
	// Relay asks an entry that does not lead to pass the report on to the leader, as
	// the agent can't reach it.
	Relay bool `cbor:"y,omitempty"`
	// Via is the address of the entry that has passed the report on, which also
	// relays orders to the agent; empty if the agent has sent it to the leader.
	Via string `cbor:"w,omitempty"`
	// Seq increases with each report of one agent process; a report with a lower
	// number than an earlier one is ignored.
	Seq int64 `cbor:"q"`
	// Boot distinguishes agent processes; a later process has a higher value.
	Boot int64 `cbor:"b"`
	// Clock is the clock of the backend server when the report was made, in
	// milliseconds; zero while it is unknown.
	Clock int64 `cbor:"c,omitempty"`
	// Incarnation is that of the backend server; its Instance is empty while no
	// backend server is known.
	Incarnation berylbook.Incarnation `cbor:"p"`
	Service     string                `cbor:"v,omitempty"`
	Zone        string                `cbor:"z,omitempty"`
	Labels      []string              `cbor:"l,omitempty"`
	Capacity    berylroom.Resources   `cbor:"r"`
	// Draining means that the backend server is about to shut down.
	Draining bool `cbor:"d,omitempty"`
	// Remaining is the minimum time until it shuts down, in milliseconds.
	Remaining int64 `cbor:"m,omitempty"`
	// Listed is true once Runs and Ends were read in this incarnation.
	Listed bool `cbor:"k,omitempty"`
	// Unresponsive is true while the backend server does not answer.
	Unresponsive bool `cbor:"s,omitempty"`
	// LeaseExpired is true if no run can exist on the backend server any more: it
	// is down, or its lease has expired without an answer.
	LeaseExpired bool  `cbor:"x,omitempty"`
	Runs         []Run `cbor:"u,omitempty"`
	Ends         []End `cbor:"e,omitempty"`
	// Truncated is true if there may be further ends than Ends has. A run that is in
	// neither list may then have ended.
	Truncated bool `cbor:"f,omitempty"`
	// PastEnds has the ends of the previous incarnation that were listed but not
	// acknowledged when it ended.
	PastEnds PastEnds `cbor:"j,omitempty"`
	// Absent lists ordered runs that do not exist and will never start.
	Absent []Key `cbor:"t,omitempty"`
	// Received lists starts that the agent has received, so that the leader need
	// not send them again.
	Received []Key `cbor:"h,omitempty"`
}

// PastEnds has ends of an earlier incarnation of a backend server.
type PastEnds struct {
	Incarnation berylbook.Incarnation `cbor:"p"`
	Ends        []End                 `cbor:"e,omitempty"`
}

// Key identifies one run of a task.
type Key struct {
	Task string `cbor:"t"`
	Run  int    `cbor:"r"`
}

// Run is an existing run.
type Run struct {
	Key
	// Checkpoint is its newest checkpoint.
	Checkpoint string `cbor:"s,omitempty"`
	// Progress is the completed part of its work in percent; for a long-running
	// task, the share of its full rate at which it works.
	Progress float64 `cbor:"p,omitempty"`
	// Load is a rough figure for the last half second: the tail latency in
	// milliseconds of a task that serves requests, otherwise the processor time in
	// use in thousandths of a core.
	Load float64 `cbor:"l,omitempty"`
}

// EndReason is the way in which a run ended.
type EndReason uint8

const (
	// Done means that the task is done.
	Done EndReason = iota + 1
	// Failed means that the task or the backend server failed.
	Failed
	// Stopped means that the run was stopped by an order.
	Stopped
	// LeaseExpired means that the lease expired.
	LeaseExpired
	// GangBroken means that another member of the gang ended.
	GangBroken
	// GangIncomplete means that the other members of the gang did not start.
	GangIncomplete
)

// String returns the name used by backend servers and in logs.
func (r EndReason) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[min(r, GangIncomplete)]
}

// End is a run that has ended and whose end is not yet acknowledged.
type End struct {
	Key
	// Seq numbers the ends of one incarnation, from one.
	Seq        int64     `cbor:"n"`
	Reason     EndReason `cbor:"h"`
	Checkpoint string    `cbor:"s,omitempty"`
}

// Answer is the reply to a report.
type Answer struct {
	// Epoch is that of the leader, or of the newest claim known.
	Epoch int64 `cbor:"e"`
	// Leader is the address for reports; empty if it is unknown.
	Leader string `cbor:"l,omitempty"`
	// FromLeader is true if the answering process is the leader.
	FromLeader bool `cbor:"d,omitempty"`
	// Acked is the number up to which ends are recorded durably.
	Acked int64 `cbor:"n,omitempty"`
}

// Start is an order to start a run.
type Start struct {
	Key
	Spec       string `cbor:"s,omitempty"`
	Checkpoint string `cbor:"c,omitempty"`
}

// Orders are the starts and stops that the leader wants of one backend server.
type Orders struct {
	Epoch       int64                 `cbor:"e"`
	Incarnation berylbook.Incarnation `cbor:"p"`
	// Basis is the Clock of the last report that the leader answered as the leader; zero
	// if there is none. The agent refuses starts with an old basis: the leader counts
	// from that answer when it gives up the runs, and orders may wait until then for
	// their record or in a connection.
	Basis int64 `cbor:"b,omitempty"`
	// Boot is that of the agent process whose report is the basis. Another process doesn't
	// know which starts the first one has called absent.
	Boot  int64   `cbor:"g,omitempty"`
	Start []Start `cbor:"s,omitempty"`
	Stop  []Key   `cbor:"x,omitempty"`
	// Acked is the number up to which ends are recorded durably.
	Acked int64 `cbor:"n,omitempty"`
}

// Lead tells an agent which entry is the new leader.
type Lead struct {
	Epoch int64 `cbor:"e"`
	// Leader is the address for reports.
	Leader string `cbor:"l"`
}

// Receipt confirms Orders and Lead.
type Receipt struct {
	// Epoch is the highest epoch that the agent has seen.
	Epoch int64 `cbor:"e"`
	// Late is true if the agent refused the starts of the orders because of their basis.
	Late bool `cbor:"l,omitempty"`
}
