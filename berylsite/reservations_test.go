package berylsite

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"berylglade/beryldirector"
)

func testHeld() (time.Time, []beryldirector.Held) {
	now := time.UnixMilli(1_000_000)
	return now, []beryldirector.Held{
		{Unit: "a.0.0.0", Queue: "q", Account: "x", Accelerators: 16, Nodes: []string{"n1", "n2"}, Since: 995_000, Free: 1_030_000, Open: 997_000, Borrowers: 3},
		{Unit: "b.0.0.0", Queue: "q", Accelerators: 8, Nodes: []string{"n3"}, Since: 999_000, Free: 999_500, Open: 1_009_000},
		{Unit: "c.0.0.0", Queue: "r", Blocked: true, Borrowers: 2},
	}
}

// Guards against metrics that don't tell how much capacity is reserved, since when and until
// when, or that add up the times of units.
func TestReservationMetrics(t *testing.T) {
	is := is.New(t)
	now, held := testHeld()
	registry := prometheus.NewRegistry()
	registry.MustRegister(newReservations(func() time.Time { return now }, func() []beryldirector.Held { return held }))
	families, err := registry.Gather()
	is.NoErr(err)
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			got[f.GetName()+" "+m.GetLabel()[0].GetValue()] = m.GetGauge().GetValue()
		}
	}
	is.Equal(got, map[string]float64{
		"berylglade_reserved_accelerators q":    24,
		"berylglade_reservation_age_seconds q":  5,
		"berylglade_reservation_free_seconds q": 30,
		"berylglade_blocked_units q":            0,
		"berylglade_borrowing_units q":          3,
		"berylglade_reserved_accelerators r":    0,
		"berylglade_reservation_age_seconds r":  0,
		"berylglade_reservation_free_seconds r": 0,
		"berylglade_blocked_units r":            1,
		"berylglade_borrowing_units r":          2,
	})
}

// Guards against a line that puts times under the wrong heading, or that shows times for a
// unit for which nothing is expected.
func TestPrintReservations(t *testing.T) {
	is := is.New(t)
	now, held := testHeld()
	var b strings.Builder
	is.NoErr(printReservations(&b, now, held))
	is.Equal(strings.Fields(b.String()), strings.Fields(`
		UNIT QUEUE ACCOUNT ACCELERATORS SINCE FREE LENT BORROWERS NODES
		a.0.0.0 q x 16 -5s 30s -3s 3 n1,n2
		b.0.0.0 q - 8 -1s -500ms 9s 0 n3
		c.0.0.0 r - - - unknown now 2 -`))
}
