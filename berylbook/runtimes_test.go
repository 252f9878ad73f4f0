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
	is := is.New(t)
	var b Book
	for _, want := range []RunTimes{{Epoch: 3, Data: []byte("a")}, {Epoch: 2, Data: []byte("b")}} {
		r, err := want.Record()
		is.NoErr(err)
		for _, r := range []berylstore.Record{r, {Key: "e/later", Value: []byte{0xff}}, {Key: "zz"}} {
			is.Equal(b.Apply(r), "")
		}
		is.Equal(b.RunTimes, want)
	}
	b.Apply(berylstore.Record{Key: "e/run-times", Value: []byte{0xff}})
	is.Equal(b.RunTimes, RunTimes{})
}
