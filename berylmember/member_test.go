package berylmember

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylmessage"
)

// TestMembers guards against assigning work to suspect, dead, draining or
// replaced agents, and against a late heartbeat that restores an old incarnation.
func TestMembers(t *testing.T) {
	base := time.Now()
	newHeartbeat := func(incarnation string) berylmessage.Heartbeat {
		return berylmessage.Heartbeat{Agent: "a", Incarnation: incarnation}
	}
	draining, leaving := newHeartbeat("i1"), newHeartbeat("i1")
	draining.Draining = true
	leaving.Leaving = true
	type step struct {
		at        time.Duration
		heartbeat *berylmessage.Heartbeat
		drain     bool
	}
	i1, i2 := newHeartbeat("i1"), newHeartbeat("i2")
	tests := []struct {
		name string
		give []step
		// want are the events; usable reports whether the agent may be assigned work.
		want        []string
		incarnation string
		usable      bool
	}{
		{name: "joins", give: []step{{heartbeat: &i1}}, want: []string{"joined i1"}, incarnation: "i1", usable: true},
		{
			name: "one heartbeat lost", give: []step{{heartbeat: &i1}, {at: 1900 * time.Millisecond}},
			want: []string{"joined i1"}, incarnation: "i1", usable: true,
		},
		{
			name: "suspect", give: []step{{heartbeat: &i1}, {at: SuspectAfter}},
			want: []string{"joined i1", "changed i1"}, incarnation: "i1",
		},
		{
			name: "suspect and back", give: []step{{heartbeat: &i1}, {at: SuspectAfter}, {at: SuspectAfter, heartbeat: &i1}},
			want: []string{"joined i1", "changed i1", "changed i1"}, incarnation: "i1", usable: true,
		},
		{name: "dead", give: []step{{heartbeat: &i1}, {at: DeadAfter}}, want: []string{"joined i1", "lost i1"}},
		{
			name: "cut off and back", give: []step{{heartbeat: &i1}, {at: DeadAfter}, {at: DeadAfter, heartbeat: &i1}},
			want: []string{"joined i1", "lost i1", "joined i1"}, incarnation: "i1", usable: true,
		},
		{
			name: "draining", give: []step{{heartbeat: &i1}, {heartbeat: &draining}},
			want: []string{"joined i1", "changed i1"}, incarnation: "i1",
		},
		{
			name: "drained by an operator", give: []step{{heartbeat: &i1}, {drain: true}, {heartbeat: &i1}},
			want: []string{"joined i1", "changed i1"}, incarnation: "i1",
		},
		{
			name: "restarted after a drain", give: []step{{heartbeat: &i1}, {drain: true}, {heartbeat: &i2}},
			want: []string{"joined i1", "changed i1", "lost i1", "joined i2"}, incarnation: "i2", usable: true,
		},
		{
			name: "leaves", give: []step{{heartbeat: &i1}, {heartbeat: &leaving}, {heartbeat: &i1}},
			want: []string{"joined i1", "lost i1"},
		},
		{
			name: "late heartbeat of the old incarnation", give: []step{{heartbeat: &i1}, {heartbeat: &i2}, {heartbeat: &i1}},
			want: []string{"joined i1", "lost i1", "joined i2"}, incarnation: "i2", usable: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var m Members
			var got []string
			for _, s := range tt.give {
				var events []Event
				switch {
				case s.heartbeat != nil:
					events = m.Heartbeat(base.Add(s.at), *s.heartbeat)
				case s.drain:
					var ok bool
					events, ok = m.Drain("a")
					is.True(ok)
				default:
					events = m.Tick(base.Add(s.at))
				}
				for _, e := range events {
					got = append(got, describe(e))
				}
			}
			is.Equal(got, tt.want)
			all := m.All()
			if tt.incarnation == "" {
				is.Equal(len(all), 0)
				return
			}
			is.Equal(len(all), 1)
			is.Equal(all[0].Incarnation, tt.incarnation)
			is.Equal(all[0].Usable(), tt.usable)
		})
	}
}

func describe(e Event) string {
	switch e := e.(type) {
	case Joined:
		return "joined " + e.Member.Incarnation
	case Changed:
		return "changed " + e.Member.Incarnation
	case Lost:
		return "lost " + e.Incarnation
	default:
		return "unknown event"
	}
}
