// Package berylclock is the only package that reads the system's clock. Processes
// read it once per event and pass the time as an argument.
package berylclock

import (
	"context"
	"time"
)

// Clock returns the current time with a monotonic reading. No decision about
// safety compares times of different processes.
type Clock func() time.Time

// System returns the clock of the operating system.
func System() Clock { return time.Now }

// Age returns the time that has passed since then: the larger of the differences
// by the monotonic clock and by the wall clock. The monotonic clock stops while a
// VM is suspended and the wall clock may jump, so information may appear older
// than it is, but not fresher.
func Age(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// Pause waits for d or until ctx is done. It reports whether d has passed.
func Pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
