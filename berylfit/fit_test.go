package berylfit

import (
	"testing"

	"github.com/matryer/is"

	"berylglade/berylroom"
)

func resources(n int) berylroom.Resources {
	return berylroom.Resources{Millicores: 1000 * n, Megabytes: 1000 * n, Accelerators: n}
}

func host(node, rack string, free int, victims ...Victim) Host {
	return Host{Node: node, Rack: rack, Labels: []string{"a", rack}, Total: resources(8), Free: resources(free), Victims: victims}
}

func victim(unit string, n int, loss float64) Victim {
	return Victim{Unit: unit, Resources: resources(n), Loss: loss}
}

func names(hosts []Host, places []int) []string {
	var list []string
	for _, i := range places {
		list = append(list, hosts[i].Node)
	}
	return list
}

// Guards against placements that violate a constraint or fragment free hosts
// that larger gangs need.
func TestPlace(t *testing.T) {
	hosts := []Host{host("n1", "r1", 8), host("n2", "r1", 2), host("n3", "r2", 4), host("n4", "r2", 4)}
	tests := []struct {
		name string
		give Demand
		// hosts replaces the usual ones, if any.
		hosts []Host
		want  []string
	}{
		{name: "host with the least free capacity first", give: Demand{Count: 1, Resources: resources(1)}, want: []string{"n2"}},
		{name: "whole host", give: Demand{Count: 1, Resources: resources(8)}, want: []string{"n1"}},
		{name: "rack of the data", give: Demand{Count: 1, Resources: resources(1), Rack: "r2"}, want: []string{"n3"}},
		{name: "one rack", give: Demand{Count: 2, Resources: resources(4), OneRack: true}, want: []string{"n3", "n4"}},
		{name: "no rack has enough capacity", give: Demand{Count: 3, Resources: resources(4), OneRack: true, Rack: "r2"}},
		{name: "spread over racks permitted", give: Demand{Count: 3, Resources: resources(4), OneRack: true, Spread: true, Rack: "r2"}, want: []string{"n3", "n4", "n1"}},
		{name: "label", give: Demand{Count: 1, Resources: resources(1), Label: "r2"}, want: []string{"n3"}},
		{name: "label that no host has", give: Demand{Count: 1, Resources: resources(1), Label: "b"}},
		{name: "limit per host", give: Demand{Count: 2, Resources: resources(1), MaxPerHost: 1}, want: []string{"n2", "n3"}},
		{name: "limit per host with tasks present", give: Demand{Count: 1, Resources: resources(1), MaxPerHost: 1, Present: map[string]int{"n2": 1}}, want: []string{"n3"}},
		{name: "host to be avoided", give: Demand{Count: 1, Resources: resources(1), Avoid: map[string]bool{"n2": true}}, want: []string{"n3"}},
		{name: "only host is to be avoided", give: Demand{Count: 1, Resources: resources(8), Avoid: map[string]bool{"n1": true}}, want: []string{"n1"}},
		{name: "whole host in the fullest rack", give: Demand{Count: 1, Resources: resources(8)}, hosts: []Host{
			host("n1", "r1", 8), host("n2", "r1", 8), host("n3", "r2", 8), host("n4", "r2", 1),
		}, want: []string{"n3"}},
		{name: "scarcest resource", give: Demand{Count: 1, Resources: resources(1)}, hosts: []Host{
			host("n1", "r1", 4),
			{Node: "n2", Rack: "r1", Total: resources(8), Free: berylroom.Resources{Millicores: 1000, Megabytes: 8000, Accelerators: 8}},
		}, want: []string{"n2"}},
		{name: "more tasks than capacity", give: Demand{Count: 19, Resources: resources(1)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			among := hosts
			if tt.hosts != nil {
				among = tt.hosts
			}
			places, ok := tt.give.Place(among)
			is.Equal(ok, tt.want != nil)
			is.Equal(names(among, places), tt.want)
		})
	}
}

// Urgent work arrives while every accelerator is in use. Guards against
// preempting more work than needed, or work with a higher loss.
func TestEvict(t *testing.T) {
	tests := []struct {
		name  string
		hosts []Host
		give  Demand
		want  []string
	}{
		{
			name:  "least loss",
			hosts: []Host{host("n1", "r1", 0, victim("a", 8, 50)), host("n2", "r1", 0, victim("b", 8, 9))},
			give:  Demand{Count: 1, Resources: resources(8)}, want: []string{"b"},
		},
		{
			name: "one large loss below many small ones",
			hosts: []Host{
				host("n1", "r1", 0, victim("a", 2, 4), victim("b", 2, 4), victim("c", 2, 4), victim("d", 2, 4)),
				host("n2", "r1", 0, victim("e", 8, 9)),
			},
			give: Demand{Count: 1, Resources: resources(8)}, want: []string{"e"},
		},
		{
			name:  "only what is needed",
			hosts: []Host{host("n1", "r1", 1, victim("a", 1, 1), victim("b", 2, 2), victim("c", 4, 3))},
			give:  Demand{Count: 1, Resources: resources(5)}, want: []string{"c"},
		},
		{
			name:  "one rack with fewer victims",
			hosts: []Host{host("n1", "r1", 0, victim("a", 8, 5)), host("n2", "r1", 0, victim("b", 8, 5)), host("n3", "r2", 0, victim("c", 8, 5)), host("n4", "r2", 8)},
			give:  Demand{Count: 2, Resources: resources(8), OneRack: true}, want: []string{"c"},
		},
		{
			name:  "a gang on two hosts is stopped once",
			hosts: []Host{host("n1", "r1", 0, victim("a", 8, 5)), host("n2", "r1", 0, victim("a", 8, 5))},
			give:  Demand{Count: 2, Resources: resources(8)}, want: []string{"a"},
		},
		{
			name:  "no choice of units frees enough capacity",
			hosts: []Host{host("n1", "r1", 0, victim("a", 4, 5))},
			give:  Demand{Count: 1, Resources: resources(8)},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			units, places, ok := tt.give.Evict(tt.hosts)
			is.Equal(ok, tt.want != nil)
			is.Equal(units, tt.want)
			is.Equal(len(places) == tt.give.Count, ok)
		})
	}
}

// Guards against assigning the capacity of runs that are being stopped twice.
func TestPlaceAfterStops(t *testing.T) {
	is := is.New(t)
	h := host("n1", "r1", 2)
	h.Releasing = resources(4)
	hosts := []Host{h}
	d := Demand{Count: 1, Resources: resources(6)}
	_, ok := d.Place(hosts)
	is.True(!ok)
	_, ok = d.PlaceAfterStops(hosts)
	is.True(ok)
	hosts[0].Free = hosts[0].Free.Sub(resources(6))
	_, ok = d.PlaceAfterStops(hosts)
	is.True(!ok)
}

// Routine runs of all ages fill two racks when a gang arrives. Guards against a reservation
// of hosts that come free late because few accelerators have to be released there.
func TestEarliest(t *testing.T) {
	hosts := []Host{
		host("n1", "r1", 6, victim("a", 2, 9)),
		host("n2", "r1", 0, victim("b", 4, 1), victim("c", 4, 1)),
		host("n3", "r2", 0, victim("d", 8, 3)),
		host("n4", "r2", 0, victim("e", 4, 2), victim("f", 4, 4)),
	}
	tests := []struct {
		name  string
		give  Demand
		after float64
		want  []string
	}{
		{name: "one task", give: Demand{Count: 1, Resources: resources(8)}, after: 1, want: []string{"n2"}},
		{name: "one rack", give: Demand{Count: 2, Resources: resources(8), OneRack: true}, after: 4, want: []string{"n3", "n4"}},
		{name: "any rack", give: Demand{Count: 2, Resources: resources(8)}, after: 3, want: []string{"n3", "n2"}},
		{name: "too large", give: Demand{Count: 5, Resources: resources(8)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			after, places, ok := tt.give.Earliest(hosts)
			is.Equal(ok, tt.want != nil)
			is.Equal(after, tt.after)
			is.Equal(names(hosts, places), tt.want)
		})
	}
}
