// Package berylmember holds the agents that an entry knows from their
// heartbeats. Nothing is persisted: after a restart the entry learns of the
// agents again within one heartbeat interval.
//
// The owner passes heartbeats to [Members.Heartbeat], calls [Members.Tick]
// several times a second, and forwards the returned [Event] values. The zero
// value of [Members] is ready to use.
package berylmember

import (
	"maps"
	"slices"
	"time"

	"berylglade/berylmessage"
)

// Times without a heartbeat after which a member becomes suspect or is removed.
// Agents send a heartbeat once a second, so a single lost heartbeat makes no
// member suspect.
const (
	SuspectAfter = 2 * time.Second
	DeadAfter    = 4 * time.Second
)

// _maxRetired bounds the retired incarnations that are stored for each agent
// name. A late heartbeat of one of them must not replace its successor.
const _maxRetired = 16

// State says whether heartbeats of a member arrive in time.
type State uint8

const (
	// Alive members sent a heartbeat within SuspectAfter.
	Alive State = iota + 1
	// Suspect members get no new work.
	Suspect
)

// String returns the name used in API responses.
func (s State) String() string {
	if s == Alive {
		return "alive"
	}
	return "suspect"
}

// Member is one agent.
type Member struct {
	// Heartbeat is the last one received. Draining is also set if an operator asked
	// this entry to drain the agent.
	berylmessage.Heartbeat
	// LastSeen is the time at which the last heartbeat arrived.
	LastSeen time.Time
	// State follows from LastSeen.
	State State
}

// Usable reports whether the member may be assigned new work.
func (m *Member) Usable() bool { return m.State == Alive && !m.Draining && !m.Leaving }

// Event is a membership change, one of Joined, Changed and Lost.
type Event interface {
	isEvent()
}

// Joined reports that an agent has become known: a new incarnation, or one that
// sends heartbeats again after it was removed as dead.
type Joined struct {
	Member Member
}

// Changed reports that a member became alive or suspect, or started or stopped
// draining.
type Changed struct {
	Member Member
}

// Lost reports that an incarnation is dead, has left or was replaced.
type Lost struct {
	Agent       string
	Incarnation string
	Reason      string
}

func (Joined) isEvent()  {}
func (Changed) isEvent() {}
func (Lost) isEvent()    {}

// Members holds the agents by name.
type Members struct {
	members map[string]*Member
	// retired holds the replaced and departed incarnations of each name.
	retired map[string][]string
	// drained holds the incarnation of each agent that an operator asked to drain.
	drained map[string]string
}

// Heartbeat records a heartbeat. A late one of a replaced incarnation has no
// effect.
func (m *Members) Heartbeat(now time.Time, heartbeat berylmessage.Heartbeat) []Event {
	m.init()
	if slices.Contains(m.retired[heartbeat.Agent], heartbeat.Incarnation) {
		return nil
	}
	old := m.members[heartbeat.Agent]
	var events []Event
	if old != nil && old.Incarnation != heartbeat.Incarnation {
		events = append(events, m.remove(old, "replaced by a new incarnation"))
		old = nil
	}
	if heartbeat.Leaving {
		if old != nil {
			events = append(events, m.remove(old, "left"))
		}
		m.retire(heartbeat.Agent, heartbeat.Incarnation)
		return events
	}
	if m.drained[heartbeat.Agent] == heartbeat.Incarnation {
		heartbeat.Draining = true
	}
	next := &Member{Heartbeat: heartbeat, LastSeen: now, State: Alive}
	m.members[heartbeat.Agent] = next
	switch {
	case old == nil:
		events = append(events, Joined{Member: *next})
	case old.State != next.State || old.Draining != next.Draining:
		events = append(events, Changed{Member: *next})
	}
	return events
}

// Tick marks members without recent heartbeats as suspect and removes dead ones.
func (m *Members) Tick(now time.Time) []Event {
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		member := m.members[name]
		sinceHeartbeat := now.Sub(member.LastSeen)
		switch {
		case sinceHeartbeat >= DeadAfter:
			// The incarnation is not retired: an agent that was only cut off
			// from the network still has it and may join again with it.
			delete(m.members, name)
			events = append(events, Lost{Agent: name, Incarnation: member.Incarnation, Reason: "silent"})
		case sinceHeartbeat >= SuspectAfter && member.State == Alive:
			member.State = Suspect
			events = append(events, Changed{Member: *member})
		}
	}
	return events
}

// Drain stops the assignment of new work to an agent at an operator's request,
// until a new incarnation joins. It reports whether the agent is known.
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
		m.retired = map[string][]string{}
		m.drained = map[string]string{}
	}
}

func (m *Members) remove(old *Member, reason string) Lost {
	delete(m.members, old.Agent)
	m.retire(old.Agent, old.Incarnation)
	return Lost{Agent: old.Agent, Incarnation: old.Incarnation, Reason: reason}
}

func (m *Members) retire(agent, incarnation string) {
	past := m.retired[agent]
	if slices.Contains(past, incarnation) {
		return
	}
	past = append(past, incarnation)
	if len(past) > _maxRetired {
		past = past[1:]
	}
	m.retired[agent] = past
	if m.drained[agent] == incarnation {
		delete(m.drained, agent)
	}
}
