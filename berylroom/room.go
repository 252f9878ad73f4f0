// Package berylroom has the capacity of a backend server and the demand of a
// task in the units in which the platform states them.
//
// It differs from berylshape in that processor time is counted in thousandths
// of a core: tasks of the platform ask for fractions of a core.
package berylroom

// Resources is an amount of each resource. The zero value is nothing.
type Resources struct {
	// Millicores is processor time in thousandths of a core.
	Millicores int `cbor:"c,omitempty"`
	// Megabytes is memory.
	Megabytes int `cbor:"m,omitempty"`
	// Accelerators is a number of whole accelerators.
	Accelerators int `cbor:"a,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	r.Millicores += o.Millicores
	r.Megabytes += o.Megabytes
	r.Accelerators += o.Accelerators
	return r
}

// Sub returns r less o; an amount may fall below zero.
func (r Resources) Sub(o Resources) Resources {
	r.Millicores -= o.Millicores
	r.Megabytes -= o.Megabytes
	r.Accelerators -= o.Accelerators
	return r
}

// Mul returns n times r.
func (r Resources) Mul(n int) Resources {
	r.Millicores *= n
	r.Megabytes *= n
	r.Accelerators *= n
	return r
}

// Fits reports whether r fits into o.
func (r Resources) Fits(o Resources) bool {
	return r.Millicores <= o.Millicores && r.Megabytes <= o.Megabytes && r.Accelerators <= o.Accelerators
}

// Count returns how many times r fits into o, at most limit.
func (r Resources) Count(o Resources, limit int) int {
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
