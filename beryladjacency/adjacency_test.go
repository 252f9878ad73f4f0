package beryladjacency

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against an accepted name that is marshalled as another one.
func TestAdjacencyRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.OneOf(rapid.SampledFrom(names()), rapid.String()).Draw(rt, "name")
		var a Adjacency
		if a.UnmarshalText([]byte(name)) != nil {
			return
		}
		if text, _ := a.MarshalText(); string(text) != name {
			rt.Fatalf("%q is marshalled as %q", name, text)
		}
	})
}
