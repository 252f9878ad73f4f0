package berylid

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against ids that change on their way through a caller.
func TestParseRoundTrip(t *testing.T) {
	is := is.New(t)
	id := New("agent-1", "01JE", 7)
	got, err := Parse(id.String())
	is.NoErr(err)
	is.Equal(got, id)
}

// Guards against accepting text that would route a call to the wrong agent.
func TestParseRefusesMalformed(t *testing.T) {
	tests := []struct {
		name string
		give string
	}{
		{name: "empty", give: ""},
		{name: "no agent", give: New("", "i", 1).String()},
		{name: "no incarnation", give: New("a", "", 1).String()},
		{name: "bad ulid", give: "xyz.a.i.1"},
		{name: "bad epoch", give: New("a", "i", -1).String()},
		{name: "too many parts", give: New("a.b", "i", 1).String()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(tt.give)
			is.True(err != nil)
		})
	}
}
