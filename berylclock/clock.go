// Package berylclock is the only place that reads the system's clock. Processes
// read it once per event and pass the time on as an argument.
package berylclock

import "time"

// Clock returns the current time. Differences between its results are
// monotonic; results of different processes are never compared for safety.
type Clock func() time.Time

// System returns the clock of the operating system.
func System() Clock { return time.Now }
