// Package beryljob defines jobs: gangs of equal tasks that run all together or
// not at all.
//
// A [Job] is the caller's request and never changes. A [State] is the complete
// state of a job at one offset of the log, so a later record of the job replaces
// all earlier ones.
package beryljob

import (
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
)

// MaxTasks is the largest number of tasks in a gang.
const MaxTasks = 512

// Job is a gang of equal tasks.
type Job struct {
	// ID is unique. It is set by the entry that accepts the job.
	ID string `json:"id" cbor:"i"`
	// Account is the client account that owns the job.
	Account string `json:"account" cbor:"a"`
	// Class is the name of a class in the configuration.
	Class string `json:"class" cbor:"c"`
	// Tasks is the number of tasks, between one and MaxTasks.
	Tasks int `json:"tasks" cbor:"n"`
	// Shape is what each task needs.
	Shape berylshape.Shape `json:"shape" cbor:"s"`
	// Adjacent says how close together the tasks must run.
	Adjacent beryladjacency.Adjacency `json:"adjacent,omitempty" cbor:"j,omitempty"`
	// Declared is the caller's estimate of the run time. It is often far off.
	Declared berylduration.Duration `json:"declared,omitempty" cbor:"d,omitempty"`
	// Key is the caller's idempotency key; empty if none.
	Key string `json:"key,omitempty" cbor:"k,omitempty"`
	// Sum is the checksum of the submitted request. It distinguishes a repeated
	// submission from a different one with the same key.
	Sum string `json:"sum,omitempty" cbor:"u,omitempty"`
	// Payload is passed to each task unchanged.
	Payload string `json:"payload,omitempty" cbor:"p,omitempty"`
	// Accepted is the wall-clock time of acceptance. Targets are relative to it;
	// no decision about safety uses it.
	Accepted time.Time `json:"accepted" cbor:"t"`
}

// Check returns an error if the job can't run under any configuration.
func (j *Job) Check() error {
	if j.Tasks < 1 || j.Tasks > MaxTasks {
		return berylerror.Impossible.Errorf("number of tasks %d is not between 1 and %d", j.Tasks, MaxTasks)
	}
	return j.Shape.Check()
}

// Phase is the state of a job in its life cycle.
type Phase uint8

const (
	// Queued means that the job is accepted and not placed.
	Queued Phase = iota + 1
	// Decided means that a placement with its members is recorded in the log.
	Decided
	// Done means that every task succeeded.
	Done
	// Failed means that the job ended without success and is not retried.
	Failed
	// Cancelled means that the caller or an operator cancelled the job.
	Cancelled
)

func phases() []string { return []string{"", "queued", "decided", "done", "failed", "cancelled"} }

// String returns the name of the phase as written in answers.
func (p Phase) String() string {
	if int(p) >= len(phases()) {
		return ""
	}
	return phases()[p]
}

// MarshalText returns the name of the phase.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the name of a phase.
func (p *Phase) UnmarshalText(text []byte) error {
	for i, name := range phases() {
		if i > 0 && name == string(text) {
			*p = Phase(i)
			return nil
		}
	}
	return berylerror.Invalid.Errorf("unknown phase %q", text)
}

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p >= Done }

// State is the complete state of a job.
type State struct {
	Job `cbor:"j"`
	// Phase does not change any more once it is final.
	Phase Phase `json:"phase" cbor:"ph"`
	// Attempt is the number of placements so far. It increases with each one.
	Attempt int `json:"attempt,omitempty" cbor:"at,omitempty"`
	// Members are the agents of the current attempt; the first is the anchor.
	// It is empty unless Phase is Decided.
	Members []Member `json:"members,omitempty" cbor:"mb,omitempty"`
	// Reason says why the job failed or the last attempt ended.
	Reason string `json:"reason,omitempty" cbor:"rs,omitempty"`
	// Blamed lists the workers on which earlier attempts failed.
	Blamed []string `json:"blamed,omitempty" cbor:"bl,omitempty"`
	// Late means that the target can't be met any more.
	Late bool `json:"late,omitempty" cbor:"lt,omitempty"`
}

// Member is the part of a gang that runs on one agent.
type Member struct {
	// Agent is the agent's name.
	Agent string `json:"agent" cbor:"a"`
	// Incarnation is the agent process that granted the reservation.
	Incarnation string `json:"incarnation" cbor:"i"`
	// Addr is the agent's address for messages from entries and agents.
	Addr string `json:"addr" cbor:"d"`
	// Tasks is the number of tasks on this agent, at least one.
	Tasks int `json:"tasks" cbor:"n"`
}
