package berylagent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"berylglade/berylcontrol"
	"berylglade/berylshape"
)

// State is a dump of an agent's state for operators.
type State struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Addr        string `json:"addr"`
	Draining    bool   `json:"draining"`
	// Refusal says why no new work is accepted; it is empty if work may start.
	Refusal string `json:"refusal,omitempty"`
	// Offset is the offset of the agent's configuration.
	Offset int64 `json:"offset"`
	Term   int64 `json:"term"`
	Epoch  int64 `json:"epoch"`
	// Slots, Busy and Queued are the capacity for calls, the calls at the
	// backend server and the calls that wait for a slot.
	Slots  int `json:"slots"`
	Busy   int `json:"busy"`
	Queued int `json:"queued"`
	// Worker is false if no worker is configured or it does not answer.
	Worker bool             `json:"worker"`
	Total  berylshape.Shape `json:"total"`
	Free   berylshape.Shape `json:"free"`
	Usage  berylshape.Shape `json:"usage"`
	Gangs  []GangState      `json:"gangs"`
}

// GangState describes one part of a gang in a dump.
type GangState struct {
	Job     string           `json:"job"`
	Attempt int              `json:"attempt"`
	Index   int              `json:"index"`
	Members int              `json:"members"`
	Tasks   int              `json:"tasks"`
	Shape   berylshape.Shape `json:"shape"`
	Phase   string           `json:"phase"`
	Reason  string           `json:"reason,omitempty"`
	Blamed  string           `json:"blamed,omitempty"`
	// AllMembers is set at the anchor if the phase holds for every member.
	AllMembers bool `json:"whole,omitempty"`
}

// State returns a dump of the current state. It may be called while Run is
// active.
func (a *Agent) State(ctx context.Context) (State, error) {
	return berylcontrol.Ask(ctx, a.loop, func(reply func(State)) message {
		return stateQuery{reply: reply}
	})
}

type stateQuery struct {
	reply func(State)
}

func (m stateQuery) apply(now time.Time, c *control) { m.reply(c.state(now)) }

func (c *control) state(now time.Time) State {
	a := c.agent
	s := State{
		Agent:       a.settings.Name,
		Incarnation: a.Incarnation,
		Addr:        a.Addr,
		Draining:    a.gate.draining.Load(),
		Offset:      a.gate.cfg.Load().Offset,
		Term:        c.host.Term(),
		Epoch:       a.calls.epoch(),
		Slots:       a.settings.Slots,
		Busy:        len(a.calls.slots),
		Queued:      int(a.calls.queued.Load()),
		Worker:      a.worker != nil && c.checkWorker(now) == nil,
		Total:       a.settings.Total,
		Free:        c.host.Free(now),
		Usage:       c.usage,
		Gangs:       make([]GangState, 0, len(c.parts)),
	}
	if err := a.gate.admit(now); err != nil {
		s.Refusal = err.Error()
	}
	for _, p := range c.parts {
		s.Gangs = append(s.Gangs, GangState{
			Job:        p.Job,
			Attempt:    p.Attempt,
			Index:      p.Index,
			Members:    len(p.Members),
			Tasks:      p.Tasks,
			Shape:      p.Shape,
			Phase:      phaseName(p.Part),
			Reason:     p.Reason,
			Blamed:     p.Blamed,
			AllMembers: p.Report(now).AllMembers,
		})
	}
	slices.SortFunc(s.Gangs, func(a, b GangState) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt))
	})
	return s
}
