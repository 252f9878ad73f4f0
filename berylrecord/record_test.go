package berylrecord

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"berylglade/beryljob"
)

// TestRoundTrip guards against a body type that is missing in Encode or Decode.
func TestRoundTrip(t *testing.T) {
	tests := []struct {
		name string
		give Body
	}{
		{name: "claim", give: Claim{Term: 3, By: "e1", Addr: "127.0.0.1:1"}},
		{name: "renewal", give: Renewal{Term: 3}},
		{name: "handover", give: Handover{Term: 3}},
		{name: "job", give: JobState{State: beryljob.State{Job: beryljob.Job{ID: "j", Tasks: 2}, Phase: beryljob.Queued}}},
		{name: "cancel", give: Cancel{Job: "j", By: "op"}},
		{name: "intent", give: Intent{Key: "k", Account: "a", Call: "c"}},
		{name: "change", give: Change{By: "op", Set: map[string]json.RawMessage{"domains/x": json.RawMessage(`{"out":true}`)}}},
		{name: "snapshot", give: Snapshot{Upto: 4, Changed: map[string]int64{"domains/x": 2}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := New(9, tt.give)
			data, err := Encode(r)
			is.NoErr(err)
			got, err := Decode(data)
			is.NoErr(err)
			is.Equal(got, r)
		})
	}
}

// FuzzDecode guards against a crash on records of another program.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"1","base":0,"kind":"claim","body":{"term":1}}`))
	f.Add([]byte(`{"id":"1","kind":"job","body":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(r); err != nil {
			t.Fatal(err)
		}
	})
}
