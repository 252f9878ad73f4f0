// Package berylclock is the only place that reads the system's clock. Processes
// read it once per event and pass the time on as an argument.
package berylclock

import (
	"context"
	"time"
)

// Clock returns the current time. Differences between its results are
// monotonic; results of different processes are never compared for safety.
type Clock func() time.Time

// System returns the clock of the operating system.
func System() Clock { return time.Now }

// Age returns how long ago then was. The steady clock stands still while a VM is
// suspended and the time of day may jump, so the larger difference counts: a
// belief may be taken for older than it is, but not for fresher.
func Age(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// Pause waits and reports whether ctx has not ended meanwhile.
func Pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
