package berylestimator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylestimator"
)

func between(got, low, high time.Duration) bool { return got >= low && got <= high }

// TestRunTime guards against using declared values that are wrong by a factor of ten
// although there are observations, and against estimates from too few observations.
func TestRunTime(t *testing.T) {
	tests := []struct {
		name     string
		give     berylestimator.Estimator
		observed []time.Duration
		account  string
		declared time.Duration
		low      time.Duration
		high     time.Duration
	}{
		{name: "no observations", declared: time.Minute, low: time.Minute, high: time.Minute},
		{name: "no observations and nothing declared", low: time.Hour, high: time.Hour},
		{name: "too few observations", observed: repeated(7, time.Hour), declared: time.Minute, low: time.Minute, high: time.Minute},
		{name: "enough observations", observed: repeated(8, time.Hour), account: "x", declared: 6 * time.Minute, low: 55 * time.Minute, high: 70 * time.Minute},
		{name: "other account of the class", observed: repeated(8, time.Hour), account: "y", declared: 6 * time.Minute, low: 55 * time.Minute, high: 70 * time.Minute},
		{name: "high quantile", observed: append(repeated(80, time.Minute), repeated(20, time.Hour)...), account: "x", low: 55 * time.Minute, high: 70 * time.Minute},
		{name: "rare long runs", observed: append(repeated(98, time.Minute), repeated(2, time.Hour)...), account: "x", low: 50 * time.Second, high: 70 * time.Second},
		{name: "disabled", give: berylestimator.Estimator{Disabled: true}, observed: repeated(8, time.Hour), declared: time.Minute, low: time.Minute, high: time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			for _, d := range tt.observed {
				tt.give.Observe(now, "c", "x", d)
			}
			got := tt.give.RunTime("c", tt.account, tt.declared)
			is.True(between(got, tt.low, tt.high))
		})
	}
}

func repeated(n int, d time.Duration) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

// TestDecay guards against an estimate that never adapts to new run times, and against
// one that falls back to the declared value after some hours without observations.
func TestDecay(t *testing.T) {
	is := is.New(t)
	e := &berylestimator.Estimator{}
	now := time.Unix(0, 0)
	for range 100 {
		e.Observe(now, "c", "x", 10*time.Hour)
	}
	now = now.Add(12 * time.Hour)
	e.Observe(now, "c", "x", time.Minute)
	is.True(between(e.RunTime("c", "x", time.Second), 9*time.Hour, 11*time.Hour)) // 100 old observations decayed to 25 still outweigh one
	now = now.Add(18 * time.Hour)
	for range 40 {
		e.Observe(now, "c", "x", time.Minute)
	}
	is.True(between(e.RunTime("c", "x", time.Second), 50*time.Second, 70*time.Second))
	is.True(e.Learned("c", "x"))
}
