// Package berylroom defines the capacity of a backend server and the demand of
// a task, in the units of the users' platform.
//
// Unlike berylshape, it counts processor time in thousandths of a core, because
// tasks of the users' platform request fractions of a core.
package berylroom

// Resources is an amount of each resource. The zero value is nothing.
type Resources struct {
	// Millicores is processor time in thousandths of a core.
	Millicores int `cbor:"c,omitempty"`
	// Megabytes is memory.
	Megabytes int `cbor:"m,omitempty"`
	// Accelerators is the number of whole accelerators.
	Accelerators int `cbor:"a,omitempty"`
	// Tasks is the number of tasks. Each takes some processor time and memory of the agent
	// and of its backend server, even if it asks for nothing.
	Tasks int `cbor:"t,omitempty"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	r.Millicores += o.Millicores
	r.Megabytes += o.Megabytes
	r.Accelerators += o.Accelerators
	r.Tasks += o.Tasks
	return r
}

// Sub returns r minus o; an amount may become negative.
func (r Resources) Sub(o Resources) Resources {
	r.Millicores -= o.Millicores
	r.Megabytes -= o.Megabytes
	r.Accelerators -= o.Accelerators
	r.Tasks -= o.Tasks
	return r
}

// Mul returns n times r.
func (r Resources) Mul(n int) Resources {
	r.Millicores *= n
	r.Megabytes *= n
	r.Accelerators *= n
	r.Tasks *= n
	return r
}

// Fits reports whether r fits into o.
func (r Resources) Fits(o Resources) bool {
	return r.Millicores <= o.Millicores && r.Megabytes <= o.Megabytes && r.Accelerators <= o.Accelerators &&
		r.Tasks <= o.Tasks
}

// MaxShare returns how much of total r is, by the resource of which it is most.
func (r Resources) MaxShare(total Resources) float64 {
	return max(share(r.Millicores, total.Millicores), share(r.Megabytes, total.Megabytes), share(r.Accelerators, total.Accelerators),
		share(r.Tasks, total.Tasks))
}

// MinShare returns how much of total r is, by the resource of which it is least; zero if an
// amount of r is negative. Resources that total has none of don't count.
func (r Resources) MinShare(total Resources) float64 {
	least := 1.0
	for _, s := range [][2]int{{r.Millicores, total.Millicores}, {r.Megabytes, total.Megabytes}, {r.Accelerators, total.Accelerators}, {r.Tasks, total.Tasks}} {
		if s[1] > 0 {
			least = min(least, share(s[0], s[1]))
		}
	}
	return max(least, 0)
}

func share(part, total int) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// Count returns how many times r fits into o, at most limit.
func (r Resources) Count(o Resources, limit int) int {
	n := limit
	n = limitBy(n, r.Millicores, o.Millicores)
	n = limitBy(n, r.Megabytes, o.Megabytes)
	n = limitBy(n, r.Accelerators, o.Accelerators)
	n = limitBy(n, r.Tasks, o.Tasks)
	return max(n, 0)
}

func limitBy(n, need, have int) int {
	if need <= 0 {
		return n
	}
	return min(n, have/need)
}
