package beryldirector

import (
	"slices"
	"testing"
	"time"
)

// A gang waits for runs of 80 s, another one for long-running tasks, and small jobs run
// meanwhile. Guards against capacity that is kept for work, or work that waits, without an
// operator who can see for whom, since when and until when.
func TestHeld(t *testing.T) {
	tests := []struct {
		name    string
		took    time.Duration
		blocked bool
		want    []string // The log lines but for those of each start and end.
	}{
		{name: "far end", took: 30 * time.Second, want: []string{"reserve", "borrow", "reclaim", "preempt", "reservation over"}},
		{name: "no end", blocked: true, want: []string{"blocked", "reserve", "reclaim", "preempt", "reservation over"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDays(t, 2)
			var lines []string
			d.onNote = func(n Note) {
				switch n.Text {
				case "start", "end", "job ended", "stop job", "member":
				default:
					lines = append(lines, n.Text)
				}
			}
			before := lastingApart(2, 1)
			before.LongRunning, before.Estimate = tt.blocked, tt.took.Milliseconds()
			d.job("before", "urgent", tt.took, before)
			d.play(time.Second)
			accepted := d.now
			d.job("gang", "gangs", time.Second, gang(2, 8))
			d.play(2 * time.Second)
			small := step(1, 1)
			small.Estimate = 200_000
			d.job("small", "routine", 200*time.Second, small)
			d.play(5 * time.Second)

			held := d.d.Held()
			d.is.Equal(len(held), 1)
			h := held[0]
			d.is.Equal(h.Unit, "gang.0.0.0")
			d.is.Equal(h.Queue, "gangs")
			d.is.Equal(h.Service, "s")
			d.is.Equal(h.Blocked, tt.blocked)
			d.is.Equal(h.Borrowers, 1)
			if !tt.blocked {
				d.is.Equal(h.Accelerators, 16)
				d.is.Equal(h.Nodes, []string{"n1", "n2"})
				since := time.UnixMilli(h.Since).Sub(accepted)
				d.is.True(since >= _reserveAfter && since <= _reserveAfter+_promptStart)
				d.is.True(time.UnixMilli(h.Free).After(d.now.Add(15 * time.Second)))
				d.is.True(!time.UnixMilli(h.Open).After(d.now))
			}
			if tt.blocked {
				d.cancel("before")
			}
			d.is.True(d.playUntil(40*time.Second, func() bool { return !d.started["gang"].IsZero() }))
			d.play(500 * time.Millisecond)
			d.is.Equal(len(d.d.Held()), 0)
			d.is.Equal(slices.Compact(lines), tt.want)
		})
	}
}
