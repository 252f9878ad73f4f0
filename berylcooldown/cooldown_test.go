package berylcooldown

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A unit is preempted again and again by a series of bursts. Guards against a unit that
// starts at once in room that the next burst takes, against pauses without a bound, and
// against one that is never protected.
func TestCooldown(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	var c Cooldown
	is.True(!c.Pausing(now, "j1.0.0.0"))
	for i, pause := range []time.Duration{500, 1000, 2000, 4000, 4000, 4000} {
		is.Equal(c.Protected("j1.0.0.0"), i >= 3)
		c.Add(now, "j1.0.0.0")
		now = now.Add(pause*time.Millisecond - 1)
		is.True(c.Pausing(now, "j1.0.0.0"))
		now = now.Add(1)
		is.True(!c.Pausing(now, "j1.0.0.0"))
	}
	is.True(!c.Protected("j1.0.0.1"))
	c.Forget("j1.")
	is.True(!c.Protected("j1.0.0.0"))
}
