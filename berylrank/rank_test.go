package berylrank

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A burst of urgent jobs is more than the cluster can run in time. Guards against late jobs
// that make those late which could be on time, against late jobs that wait without bound,
// against guaranteed work that waits because its job is late, and against work that waits
// because its declared time is far too short.
func TestOrderUnderOverload(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	ranks := map[string]Rank{
		"late":           {Exact: true, LatestStart: at(-2), LastUsefulStart: at(5)},
		"later":          {Exact: true, LatestStart: at(-1), LastUsefulStart: at(6)},
		"soon":           {Exact: true, LatestStart: at(0.5), LastUsefulStart: at(8)},
		"ample":          {Exact: true, LatestStart: at(3), LastUsefulStart: at(10)},
		"perhaps":        {Exact: true, LatestStart: at(-0.1), LastUsefulStart: at(8), Uncertainty: 200 * time.Millisecond},
		"claimed":        {Exact: true, LatestStart: at(-3), LastUsefulStart: at(4), ClaimedStart: at(0.2)},
		"useless":        {Exact: true, LatestStart: at(-9), LastUsefulStart: at(-1.5)},
		"routine":        {Priority: 1, LatestStart: at(0.1), LastUsefulStart: at(40)},
		"seems late":     {Priority: 1, LatestStart: at(-3), LastUsefulStart: at(9)},
		"less important": {Exact: true, Priority: 2, LatestStart: at(-1), LastUsefulStart: at(0)},
	}
	var names []string
	for name := range ranks {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return ranks[a].Compare(now, ranks[b]) })
	is.New(t).Equal(names, []string{"claimed", "useless", "perhaps", "soon", "ample", "late", "later", "seems late", "routine", "less important"})
}
