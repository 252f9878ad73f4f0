package berylduration

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a duration that changes or is rejected after it was marshalled.
func TestDurationRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := Duration(rapid.Int64Range(0, math.MaxInt64).Draw(rt, "duration"))
		text, _ := want.MarshalText()
		var got Duration
		if err := got.UnmarshalText(text); err != nil || got != want {
			rt.Fatalf("%d is marshalled as %s and unmarshalled as %d, %v", want, text, got, err)
		}
	})
}

// FuzzUnmarshal guards against accepted text whose value changes when it is
// marshalled and unmarshalled again.
func FuzzUnmarshal(f *testing.F) {
	f.Add("1h2m3.5s")
	f.Add("+.5us")
	f.Fuzz(func(t *testing.T, text string) {
		var want, got Duration
		if want.UnmarshalText([]byte(text)) != nil {
			return
		}
		again, _ := want.MarshalText()
		if err := got.UnmarshalText(again); err != nil || got != want || got < 0 {
			t.Fatalf("%q is %d, and %d, %v after a round trip", text, want, got, err)
		}
	})
}
