package berylfit

import (
	"cmp"
	"slices"
)

// candidate is a host with capacity for some of the tasks.
type candidate struct {
	index, count int
	// share is the share of the host that is available, by its scarcest resource, and
	// rackShare the sum of the shares of its rack.
	share, rackShare float64
	// class is that of the host's speed; zero if speeds don't matter.
	class           int
	avoid, sameRack bool
}

// pack fills one host after the other. It prefers hosts with a lower fault score,
// then hosts that need not be avoided, then those in the rack of the data, then those of
// the preferred speed, and then those of which the least is available. Among equal ones it
// takes those in the fullest rack, so that whole racks stay free for gangs.
func (d *Demand) pack(hosts []Host, among []int, capacity resourcesFunc) ([]int, bool) {
	candidates, total := d.candidates(hosts, among, capacity)
	if total < d.Count {
		return nil, false
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		x, y := &hosts[a.index], &hosts[b.index]
		return cmp.Or(
			cmp.Compare(x.FaultScore, y.FaultScore),
			cmp.Compare(boolToInt(a.avoid), boolToInt(b.avoid)),
			-cmp.Compare(boolToInt(a.sameRack), boolToInt(b.sameRack)),
			d.compareSpeed(a.class, b.class),
			cmp.Compare(a.share, b.share),
			cmp.Compare(a.rackShare, b.rackShare),
			cmp.Compare(x.Node, y.Node),
		)
	})
	places := make([]int, 0, d.Count)
	for _, c := range candidates {
		for range min(c.count, d.Count-len(places)) {
			places = append(places, c.index)
		}
	}
	return places, true
}

// candidates returns the hosts that have capacity for a task, and for how many tasks
// they have it in total. Most hosts of a busy site have none, so that they need not be
// sorted.
func (d *Demand) candidates(hosts []Host, among []int, capacity resourcesFunc) ([]candidate, int) {
	var list []candidate
	total := 0
	racks := rackShares(hosts, among, capacity)
	for _, i := range among {
		h := &hosts[i]
		available := capacity(h)
		n := d.count(h, available)
		if n <= 0 {
			continue
		}
		total += n
		c := candidate{index: i, count: n, share: available.MinShare(h.Total), rackShare: racks[h.Rack], avoid: d.Avoid[h.Node], sameRack: h.Rack == d.Rack}
		if d.Prefer != AnySpeed {
			c.class = SpeedClass(h.Speed)
		}
		list = append(list, c)
	}
	return list, total
}

// rackShares returns how many hosts' worth of capacity is available in each rack.
func rackShares(hosts []Host, among []int, capacity resourcesFunc) map[string]float64 {
	shares := map[string]float64{}
	for _, i := range among {
		shares[hosts[i].Rack] += capacity(&hosts[i]).MinShare(hosts[i].Total)
	}
	return shares
}
