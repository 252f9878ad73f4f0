// Package beryljob has jobs: gangs of equal tasks that run all together or not
// at all.
//
// A [Job] is what the caller asked for and never changes. A [State] is its
// whole state at one point of the log, so that writing the newest state again
// replaces every earlier record of the job.
package beryljob

import (
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
)

// MaxTasks is the largest gang.
const MaxTasks = 512

// Job is a gang of equal tasks.
type Job struct {
	// ID is unique and set by the entry that accepted the job.
	ID string `json:"id" cbor:"i"`
	// Account is the client account that owns the job.
	Account string `json:"account" cbor:"a"`
	// Class names a class of the configuration.
	Class string `json:"class" cbor:"c"`
	// Tasks is between one and MaxTasks.
	Tasks int `json:"tasks" cbor:"n"`
	// Shape is what each task needs.
	Shape berylshape.Shape `json:"shape" cbor:"s"`
	// Adjacent says how close together the tasks must run.
	Adjacent beryladjacency.Adjacency `json:"adjacent,omitempty" cbor:"j,omitempty"`
	// Declared is the caller's guess of the run time, often far off.
	Declared berylduration.Duration `json:"declared,omitempty" cbor:"d,omitempty"`
	// Key is the caller's idempotency key; empty if none.
	Key string `json:"key,omitempty" cbor:"k,omitempty"`
	// Sum is the checksum of the submitted request, to tell a repeated
	// submission from a different one with the same key.
	Sum string `json:"sum,omitempty" cbor:"u,omitempty"`
	// Payload is passed to each task unchanged.
	Payload string `json:"payload,omitempty" cbor:"p,omitempty"`
	// Accepted is the wall-clock time of acceptance. Targets count from it;
	// no decision about safety does.
	Accepted time.Time `json:"accepted" cbor:"t"`
}

// Check returns an error if the job can never run in any configuration.
func (j *Job) Check() error {
	if j.Tasks < 1 || j.Tasks > MaxTasks {
		return berylerror.Impossible.Errorf("tasks %d is not between 1 and %d", j.Tasks, MaxTasks)
	}
	return j.Shape.Check()
}

// Phase is how far a job has come.
type Phase uint8

const (
	// Queued means accepted and not placed.
	Queued Phase = iota + 1
	// Decided means that an attempt with its members is in the log.
	Decided
	// Done means that every task ended well.
	Done
	// Failed means that the job ended for good without being done.
	Failed
	// Cancelled means that the caller or an operator ended it.
	Cancelled
)

func phases() []string { return []string{"", "queued", "decided", "done", "failed", "cancelled"} }

// String returns the name used in answers.
func (p Phase) String() string {
	if int(p) >= len(phases()) {
		return ""
	}
	return phases()[p]
}

// MarshalText writes the name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads the name.
func (p *Phase) UnmarshalText(text []byte) error {
	for i, name := range phases() {
		if i > 0 && name == string(text) {
			*p = Phase(i)
			return nil
		}
	}
	return berylerror.Invalid.Errorf("phase %q is not known", text)
}

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p >= Done }

// State is the whole state of a job.
type State struct {
	Job `cbor:"j"`
	// Phase never leaves a final phase.
	Phase Phase `json:"phase" cbor:"ph"`
	// Attempt counts placements; it grows with each decision.
	Attempt int `json:"attempt,omitempty" cbor:"at,omitempty"`
	// Members are the agents of the current attempt; the first is the anchor.
	// It is empty unless Phase is Decided.
	Members []Member `json:"members,omitempty" cbor:"mb,omitempty"`
	// Reason says why the job failed or the last attempt ended.
	Reason string `json:"reason,omitempty" cbor:"rs,omitempty"`
	// Blamed are workers on which earlier attempts failed.
	Blamed []string `json:"blamed,omitempty" cbor:"bl,omitempty"`
	// Late means that the target cannot be met any more.
	Late bool `json:"late,omitempty" cbor:"lt,omitempty"`
}

// Member is one agent's part of a gang.
type Member struct {
	// Agent is the agent's name.
	Agent string `json:"agent" cbor:"a"`
	// Incarnation is the agent process that granted the reservation.
	Incarnation string `json:"incarnation" cbor:"i"`
	// Addr is the agent's address between our processes.
	Addr string `json:"addr" cbor:"d"`
	// Tasks is the number of tasks on this agent, at least one.
	Tasks int `json:"tasks" cbor:"n"`
}
