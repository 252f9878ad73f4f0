// Package berylsize defines byte sizes, which settings and configuration write
// with a unit, such as "128GB".
package berylsize

import (
	"math"
	"strconv"
	"strings"

	"berylglade/berylerror"
)

// Size is a number of bytes.
type Size int64

// Units of a size.
const (
	// KB is a thousand bytes.
	KB Size = 1000
	// MB is a million bytes.
	MB = 1000 * KB
	// GB is a thousand million bytes.
	GB = 1000 * MB
)

// MarshalText returns the size in the largest unit that divides it.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range units() {
		if s%u.size == 0 {
			return []byte(strconv.FormatInt(int64(s/u.size), 10) + u.name), nil
		}
	}
	return []byte(strconv.FormatInt(int64(s), 10) + "B"), nil
}

// UnmarshalText parses a whole number with one of the units B, KB, MB and GB.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range units() {
		digits, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/int64(u.size) {
			return berylerror.Invalid.Errorf("size %q is not a whole number with a unit B, KB, MB or GB", text)
		}
		*s = Size(n) * u.size
		return nil
	}
	return berylerror.Invalid.Errorf("size %q has no unit; use B, KB, MB or GB", text)
}

type unit struct {
	name string
	size Size
}

// units returns the units from the largest to the smallest. "B" comes last
// because every other suffix ends in it.
func units() []unit {
	return []unit{
		{name: "GB", size: GB},
		{name: "MB", size: MB},
		{name: "KB", size: KB},
		{name: "B", size: 1},
	}
}
