package berylsidecar

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"berylglade/berylexecutor"
	"berylglade/berylreport"
)

// busyServer is a fake backend server with 1000 runs that answers each call at once.
type busyServer struct {
	runs     []berylreport.Run
	listings atomic.Int64
}

func (s *busyServer) Do(context.Context, berylexecutor.Call) (berylexecutor.Listing, error) {
	return berylexecutor.Listing{Clock: s.listings.Add(1), StartedAt: 5, Runs: s.runs}, nil
}

// Guards against a delayed listing that waits for the next tick: ends on a server with many
// runs would be seen 100 ms late.
func TestAgentWakesForDelayedListing(t *testing.T) {
	s := &busyServer{}
	for i := range 1000 {
		s.runs = append(s.runs, berylreport.Run{Key: berylreport.Key{Task: fmt.Sprintf("a.0.0.%d", i), Run: 1}})
	}
	startAgentOf(t, s)
	// Ticks alone ask for 30 in that time, and wakes for some 160.
	await(t, 3*time.Second, "40 listings", func() bool { return s.listings.Load() >= 40 })
}
