package berylsize

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylerror"
)

// Guards against sizes that overflow and are accepted as small or negative ones.
func TestUnmarshal(t *testing.T) {
	tests := []struct {
		give string
		want Size
	}{
		{give: "0B"},
		{give: "9223372036GB", want: 9_223_372_036 * GB},
		{give: "9223372036854775807B", want: math.MaxInt64},
		{give: "9223372037GB", want: -1},
		{give: "9223372036854776KB", want: -1},
		{give: "549755813887GB", want: -1},
		{give: "-1KB", want: -1},
		{give: "1.5GB", want: -1},
		{give: "7", want: -1},
		{give: "GB", want: -1},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			is := is.New(t)
			var s Size
			err := s.UnmarshalText([]byte(tt.give))
			if tt.want < 0 {
				is.Equal(berylerror.Of(err), berylerror.Invalid)
				return
			}
			is.NoErr(err)
			is.Equal(s, tt.want)
		})
	}
}

// Guards against a size that changes or is rejected after it was marshalled.
func TestSizeRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		unit := rapid.SampledFrom([]Size{1, KB, MB, GB}).Draw(rt, "unit")
		want := Size(rapid.Int64Range(0, int64(math.MaxInt64/unit)).Draw(rt, "count")) * unit
		text, _ := want.MarshalText()
		var got Size
		if err := got.UnmarshalText(text); err != nil || got != want {
			rt.Fatalf("%d is marshalled as %s and unmarshalled as %d, %v", want, text, got, err)
		}
	})
}
