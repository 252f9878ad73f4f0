package berylheadroom

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Replays urgent gangs of two hosts and 2.5 s at a steady rate, and then none. Guards
// against headroom that is kept although urgent work uses its share already or has ceased,
// and against headroom without a bound.
func TestKeep(t *testing.T) {
	tests := []struct {
		name string
		// every is the time between two arrivals in 30 s, after which quiet passes.
		every, quiet time.Duration
		inUse        float64
		// want is the headroom of 60 hosts.
		want float64
	}{
		{name: "none is running", every: time.Second, want: 5},
		{name: "some is running", every: time.Second, inUse: 3, want: 2},
		{name: "all is running", every: time.Second, inUse: 6, want: 0},
		{name: "burst", every: 250 * time.Millisecond, inUse: 10, want: 10},
		{name: "bounded", every: 100 * time.Millisecond, want: 15},
		{name: "ceased", every: 250 * time.Millisecond, quiet: 20 * time.Second, want: 0},
		{name: "no arrivals", every: time.Minute, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var h Headroom
			now := time.UnixMilli(1_000_000)
			for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(tt.every) {
				if tt.every < 30*time.Second {
					h.Arrive(now, 2, 2500*time.Millisecond)
				}
			}
			// The average is exact halfway between two arrivals.
			now = now.Add(tt.quiet - min(tt.every, time.Second)/2)
			is.Equal(h.Keep(now, tt.inUse, 60), tt.want)
		})
	}
}
