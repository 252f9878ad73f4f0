package berylterm

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/beryljob"
	"berylglade/berylrecord"
)

func at(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }

type entry struct {
	base int64
	body berylrecord.Body
}

func renewal(term int64, by string, since int64) berylrecord.Renewal {
	return berylrecord.Renewal{Term: term, Lead: berylrecord.Lead{By: by, Addr: by + ":1", Since: since}}
}

func jobState(term int64) berylrecord.JobState {
	return berylrecord.JobState{Term: term, State: beryljob.State{Phase: beryljob.Queued}}
}

// TestApply guards against two readers, or a reader and a candidate, that
// disagree on the leader. Offsets start at first.
func TestApply(t *testing.T) {
	claim := func(term int64, by string) berylrecord.Claim {
		return berylrecord.Claim{Term: term, By: by, Addr: by + ":1"}
	}
	tests := []struct {
		name      string
		first     int64
		give      []entry
		wantTerm  int64
		wantBy    string
		wantValid []bool
	}{
		{name: "first claim", give: []entry{{0, claim(1, "a")}}, wantTerm: 1, wantBy: "a", wantValid: []bool{true}},
		{name: "duplicate claim", give: []entry{{0, claim(1, "a")}, {0, claim(1, "a")}}, wantTerm: 1, wantBy: "a", wantValid: []bool{true, false}},
		{name: "two claims of one term", give: []entry{{0, claim(1, "a")}, {0, claim(1, "b")}}, wantTerm: 1, wantBy: "a", wantValid: []bool{true, false}},
		{
			name:     "claim races with renewal",
			give:     []entry{{0, claim(1, "a")}, {1, berylrecord.Renewal{Term: 1}}, {1, claim(2, "b")}},
			wantTerm: 1, wantBy: "a", wantValid: []bool{true, true, false},
		},
		{
			name:     "claim races with job state",
			give:     []entry{{0, claim(1, "a")}, {1, jobState(1)}, {1, claim(2, "b")}},
			wantTerm: 1, wantBy: "a", wantValid: []bool{true, true, false},
		},
		{
			name:     "claim after renewal was read",
			give:     []entry{{0, claim(1, "a")}, {1, berylrecord.Renewal{Term: 1}}, {2, claim(2, "b")}},
			wantTerm: 2, wantBy: "b", wantValid: []bool{true, true, true},
		},
		{
			name:     "claim of a higher term races with the valid one",
			give:     []entry{{0, claim(1, "a")}, {1, claim(2, "b")}, {1, claim(3, "c")}},
			wantTerm: 2, wantBy: "b", wantValid: []bool{true, true, false},
		},
		{
			name:     "renewal of a deposed leader",
			give:     []entry{{0, claim(1, "a")}, {1, claim(2, "b")}, {1, renewal(1, "a", 45)}, {2, claim(3, "c")}},
			wantTerm: 3, wantBy: "c", wantValid: []bool{true, true, false, true},
		},
		{
			name:     "job state of a deposed leader",
			give:     []entry{{0, claim(1, "a")}, {1, claim(2, "b")}, {1, jobState(1)}, {2, jobState(2)}},
			wantTerm: 2, wantBy: "b", wantValid: []bool{true, true, false, true},
		},
		{
			name:     "submission is not a record of the leader",
			give:     []entry{{0, claim(1, "a")}, {1, jobState(0)}, {1, claim(2, "b")}},
			wantTerm: 2, wantBy: "b", wantValid: []bool{true, false, true},
		},
		{
			name:     "unclaimed term",
			give:     []entry{{0, claim(1, "a")}, {1, renewal(2, "b", 45)}},
			wantTerm: 1, wantBy: "a", wantValid: []bool{true, false},
		},
		{
			name:     "malformed claims",
			give:     []entry{{0, claim(9, "a")}, {7, claim(1, "a")}, {0, claim(1, "")}, {-1, claim(1, "a")}},
			wantTerm: 0, wantValid: []bool{false, false, false, false},
		},
		{
			name: "records dropped, renewal names the leader", first: 50,
			give:     []entry{{48, renewal(7, "a", 45)}},
			wantTerm: 7, wantBy: "a", wantValid: []bool{true},
		},
		{
			name: "records dropped, late renewal of a deposed leader", first: 50,
			give:     []entry{{40, renewal(6, "a", 45)}, {48, renewal(7, "b", 45)}},
			wantTerm: 7, wantBy: "b", wantValid: []bool{true, true},
		},
		{
			name: "records dropped, claim stays pending", first: 50,
			give:     []entry{{40, claim(8, "a")}, {50, renewal(7, "b", 45)}},
			wantTerm: 7, wantBy: "b", wantValid: []bool{false, true},
		},
		{
			name: "records dropped, claim later proves valid", first: 50,
			give:     []entry{{40, claim(8, "a")}, {50, renewal(8, "a", 45)}},
			wantTerm: 8, wantBy: "a", wantValid: []bool{false, true},
		},
		{
			name: "records dropped, claim may have lost to a dropped one", first: 50,
			give:     []entry{{40, claim(8, "a")}, {50, jobState(8)}},
			wantTerm: 8, wantBy: "", wantValid: []bool{false, true},
		},
		{
			name: "records dropped, claim after all known records", first: 50,
			give:     []entry{{49, renewal(7, "a", 45)}, {50, claim(8, "b")}, {50, renewal(9, "c", 45)}},
			wantTerm: 8, wantBy: "b", wantValid: []bool{true, true, false},
		},
		{
			name: "records dropped, claim without a known term", first: 50,
			give:     []entry{{49, claim(50, "a")}},
			wantTerm: 50, wantBy: "a", wantValid: []bool{true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var term Term
			first := max(tt.first, 1)
			term.Truncate(first)
			var valid []bool
			for i, e := range tt.give {
				out := term.Apply(at(0), first+int64(i), berylrecord.Record{Base: e.base, Body: e.body})
				valid = append(valid, out.Valid)
			}
			is.Equal(valid, tt.wantValid)
			is.Equal(term.Number, tt.wantTerm)
			is.Equal(term.Leader, tt.wantBy)
		})
	}
}

// TestMayClaim guards against a claim while the leader is alive, and against a
// candidate that never claims.
func TestMayClaim(t *testing.T) {
	lead := func(term *Term) {
		term.Apply(at(0), 1, berylrecord.Record{Body: berylrecord.Claim{Term: 1, By: "a"}})
	}
	tests := []struct {
		name string
		give func(*Term)
		now  float64
		want bool
	}{
		{name: "nothing read", give: func(*Term) {}},
		{name: "empty stream", give: func(term *Term) { term.Confirm(at(0), 0, true) }, want: true},
		{name: "stream not read to its end", give: func(term *Term) { term.Confirm(at(0), 0, false) }},
		{name: "leader is silent for less than the lease", give: func(term *Term) {
			lead(term)
			term.Confirm(at(3.9), 1, true)
		}, now: 3.9},
		{name: "leader is silent for the lease", give: func(term *Term) {
			lead(term)
			term.Confirm(at(4), 1, true)
		}, now: 4, want: true},
		{name: "no read confirms the silence", give: func(term *Term) {
			lead(term)
			term.ReadFailed()
			term.Confirm(at(9), 1, true)
		}, now: 9},
		{name: "reads confirm the silence after an outage", give: func(term *Term) {
			lead(term)
			term.ReadFailed()
			term.Confirm(at(9), 1, true)
			term.Confirm(at(13), 1, true)
		}, now: 13, want: true},
		{name: "candidate was paused after its read", give: func(term *Term) {
			lead(term)
			term.Confirm(at(4), 1, true)
		}, now: 9},
		{name: "handover", give: func(term *Term) {
			lead(term)
			term.Apply(at(1), 2, berylrecord.Record{Base: 1, Body: berylrecord.Handover{Term: 1}})
			term.Confirm(at(1), 2, true)
		}, now: 1, want: true},
		{name: "handover of an earlier term", give: func(term *Term) {
			lead(term)
			term.Apply(at(1), 2, berylrecord.Record{Base: 1, Body: berylrecord.Claim{Term: 2, By: "c"}})
			term.Apply(at(1), 3, berylrecord.Record{Base: 1, Body: berylrecord.Handover{Term: 1}})
			term.Confirm(at(1), 3, true)
		}, now: 1},
		{name: "records dropped, no leader known", give: func(term *Term) {
			term.Truncate(9)
			term.Confirm(at(0), 8, true)
		}},
		{name: "records dropped, silent for the lease", give: func(term *Term) {
			term.Truncate(9)
			term.Confirm(at(0), 8, true)
			term.Confirm(at(4), 8, true)
		}, now: 4, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var term Term
			tt.give(&term)
			is.New(t).Equal(term.MayClaim(at(tt.now), "b"), tt.want)
		})
	}
}

// TestMayAct guards against a leader that acts after it was deposed, was paused or
// has handed over.
func TestMayAct(t *testing.T) {
	is := is.New(t)
	var term Term
	r := term.Claim("a", "a:1")
	is.True(!term.MayAct(at(0), "a"))
	term.Apply(at(0), 1, r)
	term.Confirm(at(0), 1, true)
	is.True(term.MayAct(at(3.9), "a"))
	is.True(!term.MayAct(at(3.9), "b"))
	is.True(!term.MayAct(at(4), "a")) // paused for the lease
	is.True(!term.ShouldRenew(at(0.9), "a"))
	is.True(term.ShouldRenew(at(1), "a"))
	term.Apply(at(4), 2, term.Renewal())
	term.Confirm(at(4), 2, true)
	is.True(term.MayAct(at(4), "a"))
	before := term
	term.Apply(at(5), 3, term.Handover())
	is.True(!term.MayAct(at(5), "a"))
	is.True(!term.ShouldRenew(at(9), "a"))
	before.Apply(at(5), 3, berylrecord.Record{Base: 2, Body: berylrecord.Claim{Term: 2, By: "b"}})
	is.True(!before.MayAct(at(5), "a"))
	before.Truncate(9)
	is.True(!before.MayAct(at(5), "b")) // a dropped claim may have deposed the leader
}

// TestClaimAfterDroppedRecords guards against a candidate that has not read
// dropped records and claims a term below the current one, which readers that had
// read them would reject.
func TestClaimAfterDroppedRecords(t *testing.T) {
	is := is.New(t)
	full := Term{Number: 40, Leader: "a", lastLeaderOffset: 45, applied: 48}
	var fresh Term
	fresh.Truncate(47)
	fresh.Apply(at(0), 47, berylrecord.Record{Base: 30, Body: renewal(39, "old", 45)})
	fresh.Confirm(at(0), 48, true)
	r := fresh.Claim("b", "b:1")
	is.True(full.Apply(at(0), 49, r).Valid)
	is.True(fresh.Apply(at(0), 49, r).Valid)
	is.Equal(full.Number, fresh.Number)
	is.Equal(fresh.Claim("c", "c:1").Body, berylrecord.Claim{Term: fresh.Number + 1, By: "c", Addr: "c:1"})
}
