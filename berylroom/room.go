// Package berylroom has the capacity of a backend server and the demand of a
// task in the units in which the platform states them.
//
// It differs from berylshape in that processor time is counted in thousandths
// of a core: tasks of the platform ask for fractions of a core.
package berylroom

// Room is an amount of each resource. The zero value is nothing.
type Room struct {
	// Millicores is processor time in thousandths of a core.
	Millicores int `cbor:"c,omitempty"`
	// Megabytes is memory.
	Megabytes int `cbor:"m,omitempty"`
	// Accelerators is a number of whole accelerators.
	Accelerators int `cbor:"a,omitempty"`
}

// Add returns the sum of r and o.
func (r Room) Add(o Room) Room {
	r.Millicores += o.Millicores
	r.Megabytes += o.Megabytes
	r.Accelerators += o.Accelerators
	return r
}

// Sub returns r less o; an amount may fall below zero.
func (r Room) Sub(o Room) Room {
	r.Millicores -= o.Millicores
	r.Megabytes -= o.Megabytes
	r.Accelerators -= o.Accelerators
	return r
}

// Times returns n times r.
func (r Room) Times(n int) Room {
	r.Millicores *= n
	r.Megabytes *= n
	r.Accelerators *= n
	return r
}

// Fits reports whether r fits into o.
func (r Room) Fits(o Room) bool {
	return r.Millicores <= o.Millicores && r.Megabytes <= o.Megabytes && r.Accelerators <= o.Accelerators
}

// Count returns how many times r fits into o, at most limit.
func (r Room) Count(o Room, limit int) int {
	n := limit
	n = least(n, r.Millicores, o.Millicores)
	n = least(n, r.Megabytes, o.Megabytes)
	n = least(n, r.Accelerators, o.Accelerators)
	return max(n, 0)
}

func least(n, need, have int) int {
	if need <= 0 {
		return n
	}
	return min(n, have/need)
}
