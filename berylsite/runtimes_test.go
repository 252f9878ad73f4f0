package berylsite

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylglade/berylestimator"
)

// Guards against a line that shows times of a key that is not used, or that puts fields
// under the wrong heading.
func TestPrintRunTimes(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	is.NoErr(printRunTimes(&b, []berylestimator.Known{
		{Level: "queue", Service: "s", Queue: "q", Ends: 9, Cuts: 2, Used: true, MedianMS: 2500, HighMS: 9000, Ratio: 1.5, ByRatio: true},
		{Level: "shape", Service: "s", Queue: "q", Shape: berylestimator.Shape{CountClass: 3, Accelerators: 8, Gang: true}, Ends: 1},
	}))
	is.Equal(strings.Fields(b.String()), strings.Fields(`
		LEVEL SERVICE QUEUE TASKS ACCELERATORS GANG STEP ACCOUNT IMAGE ENDS CUT MEDIAN HIGH RATIO BY
		queue s q - - - - - - 9 2 2.5s 9s 1.50 ratio
		shape s q 4+ 8 true 0 - - 1 0 - - - -`))
}
