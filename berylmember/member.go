// Package berylmember keeps the agents that an entry knows from their
// heartbeats. Nothing is stored: after a restart the agents announce themselves
// again within one heartbeat.
//
// The owner passes heartbeats to [Members.Heartbeat], calls [Members.Tick] several
// times a second, and passes the returned [Event] values on. The zero value of
// [Members] is ready to use.
package berylmember

import (
	"maps"
	"slices"
	"time"

	"berylglade/berylmessage"
)

// Times of silence after which a member changes state. Agents send a heartbeat
// once a second, so one lost heartbeat makes no member suspect.
const (
	SuspectAfter = 2 * time.Second
	DeadAfter    = 4 * time.Second
)

// _pastIncarnations bounds the replaced incarnations that are remembered for
// each agent name. A late heartbeat of one of them must not replace its
// successor.
const _pastIncarnations = 16

// State says whether a member was heard lately.
type State uint8

const (
	// Alive members were heard lately.
	Alive State = iota + 1
	// Suspect members get no new work.
	Suspect
)

// String returns the name used in answers.
func (s State) String() string {
	if s == Alive {
		return "alive"
	}
	return "suspect"
}

// Member is one agent.
type Member struct {
	// Beat is its last heartbeat. Draining is also set if an operator asked
	// this entry to drain the agent.
	berylmessage.Beat
	// LastSeen is when the last heartbeat arrived.
	LastSeen time.Time
	// State follows from Seen.
	State State
}

// Usable reports whether the member may get new work.
func (m *Member) Usable() bool { return m.State == Alive && !m.Draining && !m.Leaving }

// Event is a change of the membership. The variants are the types of this file
// with an isEvent method.
type Event interface {
	isEvent()
}

// Joined says that a new incarnation of an agent is there.
type Joined struct {
	Member Member
}

// Changed says that a member became alive or suspect, or began to drain.
type Changed struct {
	Member Member
}

// Lost says that an incarnation is dead, has left or was replaced.
type Lost struct {
	Agent       string
	Incarnation string
	Reason      string
}

func (Joined) isEvent()  {}
func (Changed) isEvent() {}
func (Lost) isEvent()    {}

// Members are the agents by name.
type Members struct {
	members map[string]*Member
	// past holds the replaced and departed incarnations of each name.
	past map[string][]string
	// drained holds the incarnation of each agent that an operator drains.
	drained map[string]string
}

// Heartbeat records a heartbeat. A late heartbeat of a replaced incarnation has no
// effect.
func (m *Members) Heartbeat(now time.Time, beat berylmessage.Beat) []Event {
	m.init()
	if slices.Contains(m.past[beat.Agent], beat.Incarnation) {
		return nil
	}
	old := m.members[beat.Agent]
	var events []Event
	if old != nil && old.Incarnation != beat.Incarnation {
		events = append(events, m.remove(old, "replaced by a new incarnation"))
		old = nil
	}
	if beat.Leaving {
		if old != nil {
			events = append(events, m.remove(old, "left"))
		}
		m.retire(beat.Agent, beat.Incarnation)
		return events
	}
	if m.drained[beat.Agent] == beat.Incarnation {
		beat.Draining = true
	}
	next := &Member{Beat: beat, LastSeen: now, State: Alive}
	m.members[beat.Agent] = next
	switch {
	case old == nil:
		events = append(events, Joined{Member: *next})
	case old.State != next.State || old.Draining != next.Draining:
		events = append(events, Changed{Member: *next})
	}
	return events
}

// Tick marks silent members suspect and removes dead ones.
func (m *Members) Tick(now time.Time) []Event {
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		member := m.members[name]
		silent := now.Sub(member.LastSeen)
		switch {
		case silent >= DeadAfter:
			// A member that was only cut off keeps its incarnation and may
			// join again with it.
			delete(m.members, name)
			events = append(events, Lost{Agent: name, Incarnation: member.Incarnation, Reason: "silent"})
		case silent >= SuspectAfter && member.State == Alive:
			member.State = Suspect
			events = append(events, Changed{Member: *member})
		}
	}
	return events
}

// Drain stops new work for an agent at an operator's request, until a new
// incarnation joins. It reports whether the agent is known.
func (m *Members) Drain(agent string) ([]Event, bool) {
	member, ok := m.members[agent]
	if !ok {
		return nil, false
	}
	m.drained[agent] = member.Incarnation
	if member.Draining {
		return nil, true
	}
	member.Draining = true
	return []Event{Changed{Member: *member}}, true
}

// All returns a copy of every member, sorted by name.
func (m *Members) All() []Member {
	all := make([]Member, 0, len(m.members))
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		all = append(all, *m.members[name])
	}
	return all
}

func (m *Members) init() {
	if m.members == nil {
		m.members = map[string]*Member{}
		m.past = map[string][]string{}
		m.drained = map[string]string{}
	}
}

func (m *Members) remove(old *Member, reason string) Lost {
	delete(m.members, old.Agent)
	m.retire(old.Agent, old.Incarnation)
	return Lost{Agent: old.Agent, Incarnation: old.Incarnation, Reason: reason}
}

func (m *Members) retire(agent, incarnation string) {
	past := m.past[agent]
	if slices.Contains(past, incarnation) {
		return
	}
	past = append(past, incarnation)
	if len(past) > _pastIncarnations {
		past = past[1:]
	}
	m.past[agent] = past
	if m.drained[agent] == incarnation {
		delete(m.drained, agent)
	}
}
