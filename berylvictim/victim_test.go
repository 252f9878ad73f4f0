package berylvictim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An urgent gang arrives while routine tasks of all ages occupy every accelerator. Guards
// against a choice by run time alone, which throws away the work of tasks that save
// nothing although others would lose little.
func TestLossOrdersVictims(t *testing.T) {
	base := Victim{Cores: 10, Ran: 4 * time.Second, Remaining: 5 * time.Second, Restore: 600 * time.Millisecond, Vacant: 500 * time.Millisecond, Slack: time.Minute}
	with := func(change func(v *Victim)) Victim {
		v := base
		change(&v)
		return v
	}
	tests := []struct {
		name             string
		cheap, expensive Victim
	}{
		{
			name:      "saved progress",
			cheap:     with(func(v *Victim) { v.Checkpoints = true }),
			expensive: with(func(v *Victim) { v.Ran = time.Second }),
		},
		{
			name:      "just started",
			cheap:     with(func(v *Victim) { v.Ran = 200 * time.Millisecond }),
			expensive: with(func(v *Victim) { v.Checkpoints = true }),
		},
		{
			name:      "about to end",
			cheap:     with(func(v *Victim) { v.Checkpoints = true }),
			expensive: with(func(v *Victim) { v.Checkpoints, v.Remaining = true, 300*time.Millisecond }),
		},
		{
			name:      "made late",
			cheap:     base,
			expensive: with(func(v *Victim) { v.Slack = 8 * time.Second }),
		},
		{
			name:      "late anyway",
			cheap:     with(func(v *Victim) { v.Slack = time.Second }),
			expensive: with(func(v *Victim) { v.Slack = 8 * time.Second }),
		},
		{
			name:      "smaller",
			cheap:     base,
			expensive: with(func(v *Victim) { v.Cores = 20 }),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(tt.cheap.Loss() < tt.expensive.Loss())
		})
	}
}
