package berylfit

import (
	"testing"

	"github.com/matryer/is"
)

// Tasks are placed on hosts of three speeds. Guards against gangs that waste a fast host
// beside a slow one, urgent tasks on slow hosts, and routine tasks that take the fast ones.
func TestPlaceBySpeed(t *testing.T) {
	hosts := []Host{host("n1", "r1", 8), host("n2", "r1", 8), host("n3", "r1", 4), host("n4", "r2", 8), host("n5", "r2", 8)}
	speeds := []float64{0.6, 1.6, 1.0, 1.6, 0.6}
	faulty := 3
	tests := []struct {
		name   string
		give   Demand
		faulty bool
		// even is true if the speeds are not known.
		even bool
		want []string
	}{
		{name: "urgent task", give: Demand{Count: 1, Resources: resources(1), Prefer: PreferFast}, want: []string{"n4"}},
		{name: "routine task", give: Demand{Count: 1, Resources: resources(1), Prefer: PreferSlow}, want: []string{"n5"}},
		{name: "speeds unknown", give: Demand{Count: 1, Resources: resources(1), Prefer: PreferFast}, even: true, want: []string{"n3"}},
		{name: "data before speed", give: Demand{Count: 1, Resources: resources(1), Prefer: PreferSlow, Rack: "r2"}, want: []string{"n5"}},
		{name: "faulty host last", give: Demand{Count: 2, Resources: resources(8), Prefer: PreferFast, Together: true}, faulty: true, want: []string{"n2", "n5"}},
		{name: "urgent gang", give: Demand{Count: 2, Resources: resources(8), Prefer: PreferFast, Together: true}, want: []string{"n2", "n4"}},
		{name: "urgent gang of two speeds", give: Demand{Count: 3, Resources: resources(4), Prefer: PreferFast, Together: true, OneRack: true}, want: []string{"n2", "n2", "n3"}},
		{name: "routine gang", give: Demand{Count: 2, Resources: resources(8), Prefer: PreferSlow, Together: true}, want: []string{"n1", "n5"}},
		{name: "routine gang that fits on fast hosts only", give: Demand{Count: 4, Resources: resources(4), Prefer: PreferSlow, Together: true, OneRack: true}, want: []string{"n5", "n5", "n4", "n4"}},
		{name: "gang of all hosts", give: Demand{Count: 4, Resources: resources(8), Prefer: PreferSlow, Together: true}, want: []string{"n5", "n1", "n4", "n2"}},
		{name: "no capacity", give: Demand{Count: 5, Resources: resources(8), Prefer: PreferSlow, Together: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for i := range hosts {
				hosts[i].Speed = speeds[i]
				if tt.even {
					hosts[i].Speed = 0
				}
				hosts[i].FaultScore = 0
			}
			if tt.faulty {
				hosts[faulty].FaultScore = 2
			}
			places, ok := tt.give.Place(hosts)
			is.Equal(ok, tt.want != nil)
			is.Equal(names(hosts, places), tt.want)
		})
	}
}
