package berylcatalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/beryljob"
	"berylglade/berylrecord"
)

type entry struct {
	base int64
	body berylrecord.Body
}

func at(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }

func state(term int64, id string, phase beryljob.Phase, attempt int) berylrecord.JobState {
	s := beryljob.State{Job: beryljob.Job{ID: id, Tasks: 1}, Phase: phase, Attempt: attempt}
	if phase == beryljob.Decided {
		s.Members = []beryljob.Member{{Agent: "w", Tasks: 1}}
	}
	return berylrecord.JobState{Term: term, State: s}
}

func renewal(term int64, by string, since int64) berylrecord.Renewal {
	return berylrecord.Renewal{Term: term, Lead: berylrecord.Lead{By: by, Since: since}}
}

func keyed(term int64, id, key string) berylrecord.JobState {
	s := state(term, id, beryljob.Queued, 0)
	s.State.Account, s.State.Key = "acc", key
	return s
}

func replay(first int64, entries []entry) (*Catalog, [][]Event) {
	c := &Catalog{}
	c.Truncate(first)
	var events [][]Event
	for i, e := range entries {
		events = append(events, c.Apply(at(float64(i)), first+int64(i), berylrecord.Record{Base: e.base, Body: e.body}))
	}
	return c, events
}

// TestJobStates guards against applying job states of a deposed leader, of a
// duplicate record or of a malformed one.
func TestJobStates(t *testing.T) {
	claim := entry{0, berylrecord.Claim{Term: 1, By: "a"}}
	next := func(base int64) entry { return entry{base, berylrecord.Claim{Term: 2, By: "b"}} }
	malformed := state(1, "j", beryljob.Decided, 1)
	malformed.State.Members = nil
	tests := []struct {
		name    string
		first   int64
		give    []entry
		want    beryljob.Phase
		attempt int
	}{
		{name: "submitted", give: []entry{claim, {1, state(0, "j", beryljob.Queued, 0)}}, want: beryljob.Queued},
		{name: "submitted as decided", give: []entry{claim, {1, state(0, "j", beryljob.Decided, 1)}}},
		{name: "decided", give: []entry{claim, {1, state(1, "j", beryljob.Decided, 1)}}, want: beryljob.Decided, attempt: 1},
		{name: "duplicate submission", give: []entry{claim, {1, state(1, "j", beryljob.Decided, 1)}, {1, state(0, "j", beryljob.Queued, 0)}}, want: beryljob.Decided, attempt: 1},
		{name: "deposed leader", give: []entry{claim, next(1), {1, state(1, "j", beryljob.Decided, 1)}}},
		{name: "no leader", give: []entry{{0, state(1, "j", beryljob.Decided, 1)}}},
		{name: "decision abandoned", give: []entry{claim, {1, state(1, "j", beryljob.Decided, 1)}, {2, state(1, "j", beryljob.Queued, 1)}}, want: beryljob.Queued, attempt: 1},
		{name: "duplicate after an abandoned decision", give: []entry{claim, {1, state(1, "j", beryljob.Queued, 1)}, {1, state(1, "j", beryljob.Decided, 1)}}, want: beryljob.Queued, attempt: 1},
		{name: "next attempt", give: []entry{claim, {1, state(1, "j", beryljob.Queued, 1)}, {2, state(1, "j", beryljob.Decided, 2)}}, want: beryljob.Decided, attempt: 2},
		{name: "ended is final", give: []entry{claim, {1, state(1, "j", beryljob.Done, 1)}, {2, state(1, "j", beryljob.Decided, 2)}}, want: beryljob.Done, attempt: 1},
		{name: "ended is final in the next term", give: []entry{claim, {1, state(1, "j", beryljob.Done, 1)}, next(2), {3, state(2, "j", beryljob.Decided, 2)}}, want: beryljob.Done, attempt: 1},
		{name: "decided without members", give: []entry{claim, {1, malformed}}},
		{name: "no id", give: []entry{claim, {1, state(1, "", beryljob.Queued, 0)}}},
		{
			name: "records dropped, late state of a deposed leader", first: 50,
			give: []entry{{40, state(1, "j", beryljob.Done, 1)}, {49, renewal(2, "b", 45)}},
		},
		{
			name: "records dropped, late duplicate of a state before the end", first: 50,
			give: []entry{{40, state(1, "j", beryljob.Decided, 1)}},
		},
		{
			name: "records dropped, next leader replaces an invalid state", first: 50,
			give: []entry{{49, state(1, "j", beryljob.Decided, 1)}, {50, berylrecord.Claim{Term: 2, By: "b"}}, {51, state(2, "j", beryljob.Queued, 0)}},
			want: beryljob.Queued,
		},
		{
			name: "records dropped, invalid state after submission", first: 50,
			give: []entry{{49, state(0, "j", beryljob.Queued, 0)}, {40, state(1, "j", beryljob.Done, 1)}, {50, renewal(2, "b", 45)}},
			want: beryljob.Queued,
		},
		{
			name: "records dropped, state before a claim that later proves valid", first: 50,
			give: []entry{{49, state(1, "j", beryljob.Done, 1)}, {48, berylrecord.Claim{Term: 2, By: "b"}}, {51, renewal(2, "b", 51)}},
			want: beryljob.Done, attempt: 1,
		},
		{
			name: "records dropped, state after a claim that later proves valid", first: 50,
			give: []entry{{49, state(1, "j", beryljob.Decided, 1)}, {48, berylrecord.Claim{Term: 2, By: "b"}}, {49, state(1, "j", beryljob.Done, 1)}, {51, renewal(2, "b", 51)}},
			want: beryljob.Decided, attempt: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, _ := replay(max(tt.first, 1), tt.give)
			got, ok := c.Find("j")
			is.Equal(ok, tt.want != 0)
			is.Equal(got.Phase, tt.want)
			is.Equal(got.Attempt, tt.attempt)
		})
	}
}

// TestKeys guards against two jobs for one idempotency key.
func TestKeys(t *testing.T) {
	ended := keyed(1, "j1", "k")
	ended.State.Phase = beryljob.Done
	tests := []struct {
		name  string
		first int64
		give  []entry
		want  string
	}{
		{name: "first submission wins", give: []entry{{0, keyed(0, "j1", "k")}, {0, keyed(0, "j2", "k")}}, want: "j1"},
		{name: "other key", give: []entry{{0, keyed(0, "j1", "x")}, {0, keyed(0, "j2", "k")}}, want: "j2"},
		{name: "log may have dropped an earlier submission", first: 50, give: []entry{{40, keyed(0, "j2", "k")}}},
		{
			name: "late duplicate of an ended state does not bind the key", first: 50,
			give: []entry{{40, ended}, {49, keyed(0, "j2", "k")}}, want: "j2",
		},
		{
			name: "leader writes a state of the earlier job", first: 50,
			give: []entry{{49, keyed(0, "j2", "k")}, {49, keyed(7, "j1", "k")}}, want: "j1",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, _ := replay(max(tt.first, 1), tt.give)
			got, _ := c.FindKey("acc", "k")
			is.Equal(got.ID, tt.want)
		})
	}
}

// TestCancel guards against a cancellation that is lost because the reader
// reads the job's state later, and one that is reported twice.
func TestCancel(t *testing.T) {
	is := is.New(t)
	c, events := replay(50, []entry{
		{49, berylrecord.Cancel{Job: "j", By: "op"}},
		{50, state(7, "j", beryljob.Decided, 1)},
		{51, berylrecord.Cancel{Job: "j", By: "op"}},
	})
	is.Equal(events[0], nil)
	is.Equal(events[1][1:], []Event{JobChanged{State: state(7, "j", beryljob.Decided, 1).State}, JobCancelRequested{Job: "j", By: "op"}})
	is.Equal(events[2], nil)
	is.Equal(c.CancelRequested(), []string{"j"})
	c.Apply(at(0), 53, berylrecord.Record{Base: 52, Body: state(7, "j", beryljob.Cancelled, 1)})
	is.Equal(c.CancelRequested(), nil)
}

// TestTruncate guards against ended jobs that are never forgotten, live jobs
// that are forgotten, and jobs that remain known although the log dropped unread
// records that may have ended them.
func TestTruncate(t *testing.T) {
	is := is.New(t)
	c, _ := replay(1, []entry{
		{0, berylrecord.Claim{Term: 1, By: "a"}},
		{1, state(1, "ended", beryljob.Done, 1)},
		{2, state(1, "live", beryljob.Decided, 1)},
		{3, berylrecord.Cancel{Job: "unknown"}},
	})
	is.Equal(c.Truncate(2), nil)
	is.Equal(len(c.All()), 2)
	is.Equal(c.Truncate(5), nil)
	is.Equal(len(c.All()), 1)
	is.Equal(len(c.orphanCancels)+len(c.ended), 0)
	is.Equal(c.Truncate(6), []Event{LeaderChanged{Term: 1}, JobDropped{Job: "live"}})
	is.Equal(len(c.All()), 0)
}

// TestDueForRefresh guards against live jobs whose last record the log drops.
func TestDueForRefresh(t *testing.T) {
	is := is.New(t)
	c, _ := replay(1, []entry{
		{0, berylrecord.Claim{Term: 1, By: "a"}},
		{1, state(1, "old", beryljob.Decided, 1)},
		{2, state(1, "ended", beryljob.Done, 1)},
		{3, berylrecord.Claim{Term: 2, By: "b"}},
		{4, state(2, "new", beryljob.Decided, 1)},
		{5, state(0, "submitted", beryljob.Queued, 0)},
	})
	ids := func(states []beryljob.State) []string {
		var ids []string
		for _, s := range states {
			ids = append(ids, s.ID)
		}
		return ids
	}
	is.Equal(ids(c.DueForRefresh(at(5), time.Minute, 9)), []string{"old"})
	is.Equal(ids(c.DueForRefresh(at(65), time.Minute, 9)), []string{"old", "new", "submitted"})
	is.Equal(ids(c.DueForRefresh(at(65), time.Minute, 2)), []string{"old", "new"})
}
