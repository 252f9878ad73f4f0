package berylfreshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylerror"
	"berylglade/berylmessage"
)

func at(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }

func valid(offset int64, age float64) berylmessage.Confirmation {
	return berylmessage.Confirmation{Offset: offset, Age: time.Duration(age * float64(time.Second)), Valid: true}
}

// Guards against starts with a configuration that may have been replaced, and
// against rejecting starts while it is known to be the newest.
func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		give func(*Freshness)
		now  float64
		want bool
	}{
		{name: "nothing known", give: func(*Freshness) {}},
		{name: "just confirmed", give: func(f *Freshness) { f.Confirm(at(1), at(1), valid(5, 0), 5) }, now: 1, want: true},
		{name: "at the limit", give: func(f *Freshness) { f.Confirm(at(1), at(1), valid(5, 0), 5) }, now: 4, want: true},
		{name: "past the limit", give: func(f *Freshness) { f.Confirm(at(1), at(1), valid(5, 0), 5) }, now: 4.1},
		{name: "age counts from the request", give: func(f *Freshness) { f.Confirm(at(3), at(1), valid(5, 0), 5) }, now: 4.1},
		{name: "reported age is added", give: func(f *Freshness) { f.Confirm(at(1), at(1), valid(5, 2.5), 5) }, now: 2},
		{name: "latest confirmation counts", give: func(f *Freshness) {
			f.Confirm(at(1), at(1), valid(5, 0), 5)
			f.Confirm(at(2), at(2), valid(5, 2.5), 5)
		}, now: 4, want: true},
		{name: "not valid", give: func(f *Freshness) { f.Confirm(at(1), at(1), berylmessage.Confirmation{Offset: 5}, 5) }, now: 1},
		{name: "own is older", give: func(f *Freshness) { f.Confirm(at(1), at(1), valid(6, 0), 5) }, now: 1},
		{name: "own has become stale", give: func(f *Freshness) {
			f.Confirm(at(1), at(1), valid(5, 0), 5)
			f.Confirm(at(2), at(2), berylmessage.Confirmation{Offset: 6}, 5)
		}, now: 2},
		{name: "own has been updated", give: func(f *Freshness) {
			f.Confirm(at(1), at(1), valid(6, 0), 5)
			f.Confirm(at(2), at(2), valid(6, 0.5), 6)
		}, now: 2, want: true},
		{name: "own is newer", give: func(f *Freshness) { f.Confirm(at(1), at(1), valid(4, 0), 5) }, now: 1, want: true},
		{name: "malformed age", give: func(f *Freshness) { f.Confirm(at(1), at(1), valid(5, -9), 5) }, now: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var f Freshness
			tt.give(&f)
			err := f.Check(at(tt.now))
			is.Equal(err == nil, tt.want)
			if err != nil {
				is.Equal(berylerror.Of(err), berylerror.NotRun)
			}
		})
	}
}

// Guards against starts in an outage while some entry may know of a newer
// configuration.
func TestConfirmDuringOutage(t *testing.T) {
	down := func(offset int64) berylmessage.PeerStatusReply {
		return berylmessage.PeerStatusReply{Confirmation: valid(offset, 60)}
	}
	reachable := down(5)
	reachable.Reachable = true
	restarted := down(5)
	restarted.Valid = false
	listed := []string{"a", "b"}
	tests := []struct {
		name   string
		listed []string
		give   map[string]berylmessage.PeerStatusReply
		own    int64
		want   bool
	}{
		{name: "all report it", listed: listed, give: map[string]berylmessage.PeerStatusReply{"a": down(5), "b": down(5)}, own: 5, want: true},
		{name: "one did not answer", listed: listed, give: map[string]berylmessage.PeerStatusReply{"a": down(5)}, own: 5},
		{name: "unlisted one answered", listed: listed, give: map[string]berylmessage.PeerStatusReply{"a": down(5), "c": down(5)}, own: 5},
		{name: "one reaches the log", listed: listed, give: map[string]berylmessage.PeerStatusReply{"a": down(5), "b": reachable}, own: 5},
		{name: "one has restarted", listed: listed, give: map[string]berylmessage.PeerStatusReply{"a": down(5), "b": restarted}, own: 5},
		{name: "one has a newer configuration", listed: listed, give: map[string]berylmessage.PeerStatusReply{"a": down(5), "b": down(6)}, own: 5},
		{name: "one has an older configuration", listed: listed, give: map[string]berylmessage.PeerStatusReply{"a": down(5), "b": down(4)}, own: 5, want: true},
		{name: "none listed", own: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var f Freshness
			is.Equal(f.ConfirmDuringOutage(at(1), at(1), tt.listed, tt.give, tt.own), tt.want)
			is.Equal(f.Check(at(4)) == nil, tt.want)
			is.True(f.Check(at(4.1)) != nil)
		})
	}
}

// Guards against a chain of relays, with pauses and delays, that makes a
// confirmation look younger than it is.
func TestRelaysNeverReduceAge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(label string) time.Duration {
			return time.Duration(rapid.IntRange(0, 2000).Draw(rt, label)) * time.Millisecond
		}
		now := at(0)
		var source Freshness
		source.Confirm(now, now, valid(1, 0), 1)
		relayed := source
		for range rapid.IntRange(0, 5).Draw(rt, "hops") {
			sent := now.Add(ms("before"))
			answered := sent.Add(ms("there"))
			c := relayed.Confirmation(answered)
			now = answered.Add(ms("back"))
			relayed = Freshness{}
			relayed.Confirm(now, sent, c, 1)
		}
		now = now.Add(ms("after"))
		if relayed.Confirmation(now).Age < source.Confirmation(now).Age {
			rt.Fatalf("age %v, true age %v", relayed.Confirmation(now).Age, source.Confirmation(now).Age)
		}
	})
}
