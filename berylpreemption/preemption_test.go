package berylpreemption

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A burst of urgent gangs meets a full cluster. Guards against preemptions that make no
// job on time, against waiting for capacity that comes too late, and against a guarantee
// that isn't kept because its job is late.
func TestDecide(t *testing.T) {
	base := Case{
		Waited: 600 * time.Millisecond, Patience: 500 * time.Millisecond, Slack: time.Second,
		GuaranteeWait: 1500 * time.Millisecond, FreeIn: 4 * time.Second, Known: true, PreemptionTime: 500 * time.Millisecond,
	}
	tests := []struct {
		name    string
		give    func(c *Case)
		preempt bool
		reason  string
	}{
		{name: "late without", give: func(*Case) {}, preempt: true, reason: "late without"},
		{name: "not due", give: func(c *Case) { c.Waited = 400 * time.Millisecond }, reason: "not due"},
		{name: "capacity in time", give: func(c *Case) { c.FreeIn = 300 * time.Millisecond }, reason: "capacity in time"},
		{name: "capacity just too late", give: func(c *Case) { c.FreeIn = 700 * time.Millisecond }, preempt: true, reason: "late without"},
		{name: "capacity at no time", give: func(c *Case) { c.FreeIn, c.Known = 0, false }, preempt: true, reason: "late without"},
		{name: "late anyway", give: func(c *Case) { c.Slack = 400 * time.Millisecond }, reason: "late anyway"},
		{name: "late anyway, and capacity idle", give: func(c *Case) { c.Slack, c.MostlyIdle = 400*time.Millisecond, true }, preempt: true, reason: "capacity idle"},
		{name: "late anyway, and capacity idle for a moment", give: func(c *Case) {
			c.Slack, c.MostlyIdle, c.FreeIn = 400*time.Millisecond, true, 500*time.Millisecond
		}, reason: "late anyway"},
		{name: "perhaps on time", give: func(c *Case) { c.Slack, c.Uncertainty = 400*time.Millisecond, 200*time.Millisecond }, preempt: true, reason: "late without"},
		{name: "late anyway within the guarantee", give: func(c *Case) {
			c.Slack, c.Guaranteed, c.Waited = -time.Second, true, 1500*time.Millisecond
		}, preempt: true, reason: "guarantee"},
		{name: "capacity too late for the guarantee", give: func(c *Case) {
			c.Slack, c.Guaranteed, c.Waited, c.FreeIn = 5*time.Second, true, time.Second, 600*time.Millisecond
		}, preempt: true, reason: "late without"},
		{name: "capacity in time for the guarantee", give: func(c *Case) {
			c.Slack, c.Guaranteed, c.Waited, c.FreeIn = 5*time.Second, true, time.Second, 400*time.Millisecond
		}, reason: "capacity in time"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := base
			tt.give(&c)
			preempt, reason := c.Decide()
			is.Equal(preempt, tt.preempt)
			is.Equal(reason, tt.reason)
		})
	}
}
