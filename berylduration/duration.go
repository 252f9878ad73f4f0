// Package berylduration has durations that are written with a unit in settings
// and configuration, such as "1.6s".
package berylduration

import (
	"time"

	"berylglade/berylerror"
)

// Duration is a time.Duration in the text form of time.ParseDuration.
type Duration time.Duration

// Std returns d as a standard duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration with a unit, not below zero.
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
