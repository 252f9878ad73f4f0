package berylbook

import (
	"testing"

	"github.com/matryer/is"

	"berylglade/berylstore"
)

// Guards against an entry that keeps an older record of run times than the newest one, or
// one that fails at a record that is lost, malformed, or of a key that this build does not
// know.
func TestNewestRunTimesAreKept(t *testing.T) {
	first := RunTimes{Epoch: 3, Data: []byte("a")}
	second := RunTimes{Epoch: 2, Data: []byte("b")}
	record := func(r RunTimes) berylstore.Record {
		out, err := r.Record()
		is.New(t).NoErr(err)
		return out
	}
	tests := []struct {
		name string
		give []berylstore.Record
		want RunTimes
	}{
		{name: "newest", give: []berylstore.Record{record(first), record(second)}, want: second},
		{name: "deleted", give: []berylstore.Record{record(first), {Key: "e/run-times"}}},
		{name: "malformed", give: []berylstore.Record{record(first), {Key: "e/run-times", Value: []byte{0xff}}}},
		{name: "unknown key", give: []berylstore.Record{record(first), {Key: "e/later", Value: []byte{0xff}}, {Key: "zz", Value: []byte{1}}}, want: first},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var b Book
			for _, r := range tt.give {
				is.Equal(b.Apply(r), "")
			}
			is.Equal(b.RunTimes, tt.want)
			is.Equal(len(b.Jobs), 0)
		})
	}
}
