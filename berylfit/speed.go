package berylfit

import (
	"cmp"
	"math"
	"slices"
)

// SpeedPreference chooses among hosts of different speeds.
type SpeedPreference uint8

const (
	// AnySpeed doesn't take speeds into account.
	AnySpeed SpeedPreference = iota
	// PreferFast is for tasks that miss their due time on slow hosts.
	PreferFast
	// PreferSlow is for tasks that have time, so that fast hosts remain for others.
	PreferSlow
)

// SpeedClass groups speeds that differ by less than the tasks of a step do.
func SpeedClass(speed float64) int {
	if speed <= 0 {
		return 0
	}
	return int(math.Round(math.Log(speed) / math.Log(_speedClassRatio)))
}

// compareSpeed orders the class of the preferred speed first.
func (d *Demand) compareSpeed(a, b int) int {
	switch d.Prefer {
	case PreferFast:
		return cmp.Compare(b, a)
	case PreferSlow:
		return cmp.Compare(a, b)
	default:
		return 0
	}
}

// searchEqual places tasks that end together on healthy hosts of one speed if it can, and
// otherwise such that the slowest of them is as fast as possible: a gang that mixes speeds
// wastes the fast hosts. It returns false if speeds don't matter, or if only all hosts
// together have the capacity.
func (d *Demand) searchEqual(hosts []Host, capacity resourcesFunc) ([]int, bool) {
	if !d.Together || d.Count == 1 || d.Prefer == AnySpeed || d.Rack != "" {
		return nil, false
	}
	healthy := d.trusted(hosts)
	classes := classesOf(hosts, healthy)
	if len(classes) < 2 {
		return nil, false
	}
	try := func(match func(class int) bool) ([]int, bool) {
		among := slices.DeleteFunc(slices.Clone(healthy), func(i int) bool { return !match(SpeedClass(hosts[i].Speed)) })
		if d.OneRack {
			return d.inOneRack(hosts, among, capacity)
		}
		return d.pack(hosts, among, capacity)
	}
	if d.Prefer == PreferSlow {
		for _, class := range slices.Backward(classes) {
			if places, ok := try(func(c int) bool { return c == class }); ok {
				return places, true
			}
		}
	}
	for _, class := range classes[:len(classes)-1] {
		if places, ok := try(func(c int) bool { return c >= class }); ok {
			return places, true
		}
	}
	return nil, false
}

// classesOf returns the speed classes of some of the hosts, the fastest first.
func classesOf(hosts []Host, among []int) []int {
	var list []int
	for _, i := range among {
		if c := SpeedClass(hosts[i].Speed); !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(b, a) })
	return list
}

// _speedClassRatio is the ratio of speeds of neighbouring classes.
const _speedClassRatio = 1.3
