package berylduration

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a duration that changes or is refused after it was written.
func TestDurationSurvives(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := Duration(rapid.Int64Range(0, math.MaxInt64).Draw(rt, "duration"))
		text, _ := want.MarshalText()
		var got Duration
		if err := got.UnmarshalText(text); err != nil || got != want {
			rt.Fatalf("%d was written as %s and read as %d, %v", want, text, got, err)
		}
	})
}

// FuzzUnmarshal guards against text that is accepted and then changes.
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
			t.Fatalf("%q is %d, then %d, %v", text, want, got, err)
		}
	})
}
