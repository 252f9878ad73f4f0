package berylid

import (
	"testing"

	"github.com/matryer/is"

	"berylglade/berylerror"
)

// Guards against ids that change when they are formatted and parsed.
func TestParseRoundTrip(t *testing.T) {
	is := is.New(t)
	id := New("agent-1", "01JE", 7)
	got, err := Parse(id.String())
	is.NoErr(err)
	is.Equal(got, id)
}

// Guards against accepting text that would route a call to the wrong agent.
func TestParseRejectsMalformed(t *testing.T) {
	tests := []struct {
		name string
		give string
	}{
		{name: "empty", give: ""},
		{name: "no agent", give: New("", "i", 1).String()},
		{name: "no incarnation", give: New("a", "", 1).String()},
		{name: "bad ulid", give: "xyz.a.i.1"},
		{name: "bad epoch", give: New("a", "i", -1).String()},
		{name: "epoch with a sign", give: New("a", "i", 1).Unique + ".a.i.+1"},
		{name: "epoch with a leading zero", give: New("a", "i", 1).Unique + ".a.i.01"},
		{name: "ulid in lower case", give: "01arz3ndektsv4rrffq69g5fav.a.i.1"},
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

// FuzzParse guards against panics, errors without a kind, and two texts that
// parse to the same id.
func FuzzParse(f *testing.F) {
	f.Add("01ARZ3NDEKTSV4RRFFQ69G5FAV.a.i.1")
	f.Add("01arz3ndektsv4rrffq69g5fav.a.i.+1")
	f.Add("...")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		switch {
		case err != nil && berylerror.Of(err) != berylerror.Invalid:
			t.Fatal(err)
		case err == nil && id.String() != text:
			t.Fatalf("%q is parsed as %q", text, id)
		}
	})
}
