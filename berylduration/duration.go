// Package berylduration defines durations, which settings and configuration write
// with a unit, such as "1.6s".
package berylduration

import (
	"time"

	"berylglade/berylerror"
)

// Duration is a time.Duration whose text form is that of time.ParseDuration.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration with a unit. Negative durations are an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return berylerror.Invalid.Errorf("duration %q has no valid unit; use for example 250ms, 1.6s or 4h", text)
	}
	if v < 0 {
		return berylerror.Invalid.Errorf("duration %q is below zero", text)
	}
	*d = Duration(v)
	return nil
}
