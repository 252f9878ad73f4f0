package berylestimator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylestimator"
)

func now() time.Time { return time.Unix(1000, 0) }

func task() berylestimator.Task {
	return berylestimator.Task{
		Service: "s", Queue: "q", Shape: berylestimator.Shape{CountClass: 2, Accelerators: 1}, Account: "a", Image: "i",
	}
}

// load is a number of equal runs, in the order in which they end.
type load struct {
	n    int
	task func(t *berylestimator.Task)
	run  berylestimator.Run
}

func replay(e *berylestimator.Estimator, loads []load) {
	for _, l := range loads {
		for range l.n {
			t := task()
			if l.task != nil {
				l.task(&t)
			}
			e.Add(now(), t, l.run)
		}
	}
}

func declare(d time.Duration) func(*berylestimator.Task) {
	return func(t *berylestimator.Task) { t.Declared = d }
}

func ended(took time.Duration) berylestimator.Run { return berylestimator.Run{Took: took, Speed: 1} }

func cut(took time.Duration) berylestimator.Run {
	return berylestimator.Run{Took: took, Speed: 1, Cut: true}
}

// Replays loads. Guards against estimates that follow single runs, lag behind a shift,
// take stopped runs for ends or slow backend servers for long tasks, and against a fine
// key that is used too early or a coarse one that is used too long.
func TestExpect(t *testing.T) {
	const s = time.Second
	known := []load{{n: 8, run: ended(2 * s)}}
	other := func(t *berylestimator.Task) { t.Account, t.Image = "b", "" }
	tests := []struct {
		name     string
		give     []load
		ask      func(t *berylestimator.Task)
		want     time.Duration
		wantHigh time.Duration // Like want if zero.
		wantFrom string
	}{
		{name: "nothing seen", ask: declare(7 * s), want: 7 * s, wantFrom: "declared"},
		{name: "too few ends", give: []load{{n: 7, run: ended(2 * s)}}, ask: declare(7 * s), want: 7 * s, wantFrom: "declared"},
		{name: "enough ends", give: known, ask: declare(7 * s), want: 2 * s, wantFrom: "image"},
		{name: "one outlier", give: []load{{n: 7, run: ended(2 * s)}, {n: 1, run: ended(90 * s)}}, want: 2 * s, wantFrom: "image"},
		{name: "heavy tail", give: []load{{n: 27, run: ended(2 * s)}, {n: 5, run: ended(14 * s)}}, want: 2 * s, wantHigh: 14 * s, wantFrom: "image"},
		{name: "shift up", give: []load{{n: 100, run: ended(2 * s)}, {n: 20, run: ended(6 * s)}}, want: 6 * s, wantFrom: "image"},
		{name: "shift down", give: []load{{n: 100, run: ended(6 * s)}, {n: 30, run: ended(2 * s)}}, want: 2 * s, wantFrom: "image"},
		{name: "short runs were stopped", give: []load{{n: 12, run: cut(s)}, {n: 8, run: ended(5 * s)}}, want: 5 * s, wantFrom: "image"},
		{name: "long runs were stopped", give: []load{{n: 10, run: ended(2 * s)}, {n: 20, run: cut(5 * s)}}, want: 5 * s, wantFrom: "image"},
		{name: "only stopped runs", give: []load{{n: 40, run: cut(s)}}, ask: declare(7 * s), want: 7 * s, wantFrom: "declared"},
		{name: "slow backend server", give: []load{{n: 8, run: berylestimator.Run{Took: 10 * s, Speed: 0.5}}}, want: 5 * s, wantFrom: "image"},
		{name: "other image of the account", give: known, ask: func(t *berylestimator.Task) { t.Image = "new" }, want: 2 * s, wantFrom: "account"},
		{name: "other account", give: known, ask: func(t *berylestimator.Task) { t.Account = "b" }, want: 2 * s, wantFrom: "shape"},
		{name: "other shape", give: known, ask: func(t *berylestimator.Task) { t.Shape.Gang = true }, want: 2 * s, wantFrom: "queue"},
		{name: "other queue", give: known, ask: func(t *berylestimator.Task) { t.Queue, t.Declared = "new", 7*s }, want: 7 * s, wantFrom: "declared"},
		{name: "an account of its own kind", give: []load{{n: 30, run: ended(2 * s)}, {n: 8, task: other, run: ended(9 * s)}}, ask: other, want: 9 * s, wantFrom: "account"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var e berylestimator.Estimator
			replay(&e, tt.give)
			q := task()
			if tt.ask != nil {
				tt.ask(&q)
			}
			got := e.Expect(q)
			is.Equal(got.From, tt.wantFrom)
			is.Equal(got.Median.Round(20*time.Millisecond), tt.want)
			is.Equal(got.High.Round(20*time.Millisecond), max(tt.wantHigh, tt.want))
		})
	}
}

// Replays run times that vary by a factor of four, with declared times of different
// quality. Guards against trust in declared times that say nothing, and against a mean run
// time where the declared times are exact or wrong by a constant factor.
func TestRunTimeOrRatio(t *testing.T) {
	tests := []struct {
		name string
		// factor returns the declared time of a task divided by its run time.
		factor   func(r *rand.Rand) float64
		wantFrom string
	}{
		{name: "exact", factor: func(*rand.Rand) float64 { return 1 }, wantFrom: "queue ratio"},
		{name: "a tenth", factor: func(*rand.Rand) float64 { return 0.1 }, wantFrom: "queue ratio"},
		{name: "off by a fifth", factor: func(r *rand.Rand) float64 { return 0.8 + 0.4*r.Float64() }, wantFrom: "queue ratio"},
		{name: "off by nine tenths", factor: func(r *rand.Rand) float64 { return 0.1 + 1.8*r.Float64() }, wantFrom: "queue"},
	}
	for _, tt := range tests {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(tt.name, " ", seed), func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 1))
				var e berylestimator.Estimator
				for range 60 {
					d := float64(time.Second) * (1 + 3*r.Float64())
					e.Add(now(), berylestimator.Task{Queue: "q", Declared: time.Duration(d * tt.factor(r))}, ended(time.Duration(d)))
				}
				is.New(t).Equal(e.Expect(berylestimator.Task{Queue: "q", Declared: time.Second}).From, tt.wantFrom)
			})
		}
	}
}

// An account declares a tenth of the run time, always or now and then, to be placed
// earlier. Guards against a shorter expectation than that of an honest account.
func TestFalseDeclarationGainsNothing(t *testing.T) {
	for _, falseEvery := range []int{1, 2, 5} {
		is := is.New(t)
		r := rand.New(rand.NewPCG(1, 2))
		var e berylestimator.Estimator
		account := func(name string, declared time.Duration) berylestimator.Task {
			return berylestimator.Task{Service: "s", Queue: "q", Account: name, Declared: declared}
		}
		for i := range 200 {
			// Run times of one kind of work vary by a third.
			took := time.Duration(float64(3*time.Second) * (0.67 + 0.67*r.Float64()))
			e.Add(now(), account("honest", took), ended(took))
			declared := took
			if i%falseEvery == 0 {
				declared /= 10
			}
			e.Add(now(), account("false", declared), ended(took))
		}
		honest := e.Expect(account("honest", 3*time.Second))
		gainer := e.Expect(account("false", 300*time.Millisecond))
		is.True(gainer.Median.Seconds() >= 0.85*honest.Median.Seconds()) // the spread of 32 run times
	}
}

// Guards against memory that grows with the names that clients choose, and against names
// of one account that displace what is known of another.
func TestNamesAreBounded(t *testing.T) {
	is := is.New(t)
	var e berylestimator.Estimator
	replay(&e, []load{{n: 8, run: ended(2 * time.Second)}})
	for i := range 5000 {
		q := task()
		q.Account, q.Image = "b", fmt.Sprint("image-", i)
		e.Add(now().Add(time.Duration(i+1)), q, ended(9*time.Second))
	}
	long := task()
	long.Image = string(make([]byte, 4096))
	e.Add(now(), long, ended(time.Second))
	is.Equal(len(e.Known("")), 512)
	is.Equal(e.Expect(task()).From, "account")
	is.Equal(e.Expect(long).From, "account") // a long name is no key
}
