package berylreservation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A unit waits, and other work would fit into what is reserved for it. Guards against
// capacity that is idle without a bound because the expected end is far off or has passed,
// and against work that is lent capacity at once although it would have to be stopped.
func TestLends(t *testing.T) {
	tests := []struct {
		name string
		// since is for how long capacity has been reserved, idle for how long most of it has
		// been free, and freeIn how long it takes until all of it is.
		since, idle, freeIn time.Duration
		// near is for how long freeIn has been near.
		near time.Duration
		run  time.Duration
		want bool
	}{
		{name: "ends before", freeIn: 5 * time.Second, run: 4 * time.Second, want: true},
		{name: "ends just after", freeIn: 5 * time.Second, run: 4800 * time.Millisecond},
		{name: "ends after", freeIn: 5 * time.Second, run: 20 * time.Second},
		{name: "no known end", freeIn: 5 * time.Second},
		{name: "about to be free", run: 100 * time.Millisecond},
		{name: "no known end, far off", freeIn: time.Hour},
		{name: "no known end, far off, held for long", since: 10 * time.Second, freeIn: time.Hour, want: true},
		{name: "most is idle", since: 3 * time.Second, idle: time.Second, freeIn: 5 * time.Second, run: time.Hour},
		{name: "most has been idle", since: 3 * time.Second, idle: 2 * time.Second, freeIn: 5 * time.Second, run: time.Hour, want: true},
		{name: "most has been idle before, for another unit", idle: 2 * time.Second, freeIn: 5 * time.Second, run: time.Hour, want: true},
		{name: "most has been idle, and the end has just become near", since: 3 * time.Second, idle: 2 * time.Second, near: time.Millisecond, freeIn: 500 * time.Millisecond, run: time.Second},
		{name: "most has been idle, and the end does not come", since: 3 * time.Second, idle: 2800 * time.Millisecond, near: 800 * time.Millisecond, freeIn: 500 * time.Millisecond, run: time.Second, want: true},
		{name: "the expected end has passed", since: 9 * time.Second, freeIn: -8 * time.Second, run: time.Second},
		{name: "the expected end has long passed", since: 10 * time.Second, freeIn: -9 * time.Second, run: time.Second, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			r := Reservation{Since: now.Add(-tt.since), FreeAt: now.Add(tt.freeIn)}
			if tt.idle > 0 {
				r.IdleSince = now.Add(-tt.idle)
			}
			if tt.near > 0 {
				r.NearSince = now.Add(-tt.near)
			}
			is.New(t).Equal(r.Lends(now, tt.run), tt.want)
		})
	}
}
