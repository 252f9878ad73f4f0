// Package berylshape defines amounts of resources: what a task needs or a worker
// offers.
package berylshape

import (
	"fmt"

	"berylglade/berylerror"
	"berylglade/berylsize"
)

// Shape is an amount of every resource. The zero value means no resources. Only
// results of [Shape.Sub] may have negative amounts.
type Shape struct {
	// Accelerators is a number of whole accelerators.
	Accelerators int `json:"accelerators,omitempty" cbor:"a,omitempty"`
	// Cores is a number of whole processor cores.
	Cores int `json:"cores,omitempty" cbor:"c,omitempty"`
	// Memory is a number of bytes.
	Memory berylsize.Size `json:"memory,omitempty" cbor:"m,omitempty"`
}

// Add returns the sum of s and o.
func (s Shape) Add(o Shape) Shape {
	return Shape{
		Accelerators: s.Accelerators + o.Accelerators,
		Cores:        s.Cores + o.Cores,
		Memory:       s.Memory + o.Memory,
	}
}

// Sub returns s minus o. Amounts of the result may be negative.
func (s Shape) Sub(o Shape) Shape {
	return Shape{
		Accelerators: s.Accelerators - o.Accelerators,
		Cores:        s.Cores - o.Cores,
		Memory:       s.Memory - o.Memory,
	}
}

// Times returns n times s.
func (s Shape) Times(n int) Shape {
	return Shape{
		Accelerators: s.Accelerators * n,
		Cores:        s.Cores * n,
		Memory:       s.Memory * berylsize.Size(n),
	}
}

// Fits reports whether s fits into o.
func (s Shape) Fits(o Shape) bool {
	return s.Accelerators <= o.Accelerators && s.Cores <= o.Cores && s.Memory <= o.Memory
}

// Count returns how many times s fits into o, or zero if s is empty.
func (s Shape) Count(o Shape) int {
	n := -1
	n = least(n, s.Accelerators, o.Accelerators)
	n = least(n, s.Cores, o.Cores)
	n = least(n, int(s.Memory), int(o.Memory))
	return max(n, 0)
}

// least returns the smaller of n and have/need. A negative n means that there is
// no limit yet.
func least(n, need, have int) int {
	if need <= 0 {
		return n
	}
	c := max(have, 0) / need
	if n < 0 || c < n {
		return c
	}
	return n
}

// Empty reports whether all amounts are zero.
func (s Shape) Empty() bool { return s == Shape{} }

// Limits of one shape. They are far above any worker or quota, and low enough
// that the sum of 65,536 such shapes does not overflow. An overflowed sum would
// be below every quota.
const (
	_maxUnits  = 1 << 30
	_maxMemory = 100_000 * berylsize.GB
)

// Check returns an error if an amount is negative or above its limit, or if all
// amounts are zero.
func (s Shape) Check() error {
	if s.Accelerators < 0 || s.Cores < 0 || s.Memory < 0 {
		return berylerror.Invalid.Errorf("shape %v has a negative amount", s)
	}
	if s.Accelerators > _maxUnits || s.Cores > _maxUnits || s.Memory > _maxMemory {
		return berylerror.Invalid.Errorf("shape %v exceeds the limit of %v", s, Shape{Accelerators: _maxUnits, Cores: _maxUnits, Memory: _maxMemory})
	}
	if s.Empty() {
		return berylerror.Invalid.Errorf("shape requests no resources")
	}
	return nil
}

// String returns the shape in readable form, for messages.
func (s Shape) String() string {
	text, _ := s.Memory.MarshalText()
	return fmt.Sprintf("%d accelerators, %d cores, %s", s.Accelerators, s.Cores, text)
}
