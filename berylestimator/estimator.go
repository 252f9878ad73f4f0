// Package berylestimator estimates run times per class and client account.
//
// Declared run times are often wrong by a factor of ten, so an [Estimator] returns a
// high quantile of the observed run times. It uses the observations of the class and
// account if there are enough, else those of the class, else the declared value.
package berylestimator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// _percentile is high because an estimate that is too short makes a job miss its
	// target, while one that is too long only makes it start early.
	_percentile = 90
	// _halfLife is the time after which the weight of an observation is halved.
	_halfLife = 6 * time.Hour
	// _minObservations is the decayed number of observations from which a histogram
	// is used.
	_minObservations = 8
	// _keepObservations is the decayed number of observations below which a histogram
	// is no longer used.
	_keepObservations = 2
	// _observationWeight is the count of a new observation. It is a power of two so
	// that it can be halved repeatedly without rounding.
	_observationWeight = 1 << 6
	// _maxRunTime is the longest run time that histograms distinguish.
	_maxRunTime = 30 * 24 * time.Hour
	// _defaultRunTime is the estimate for a job without a declared run time.
	_defaultRunTime = time.Hour
	// _significantDigits is the precision of a histogram; one digit keeps it at
	// about 4 KB.
	_significantDigits = 1
)

// Estimator estimates run times from observations. The zero value has none.
type Estimator struct {
	// Disabled makes RunTime ignore observations.
	Disabled bool

	histories map[key]*history
}

type key struct{ class, account string }

// history is the decayed histogram of the observations for one key, in milliseconds.
type history struct {
	hist *hdrhistogram.Histogram
	// decayedAt is the time up to which decay has been applied.
	decayedAt time.Time
	// learned is set once there are _minObservations and stays set while at least
	// _keepObservations remain, so that a few hours without jobs do not bring back
	// the declared values.
	learned bool
	// estimate is the quantile, computed at each observation.
	estimate time.Duration
}

// Observe records the run time of a gang that completed successfully.
func (e *Estimator) Observe(now time.Time, class, account string, run time.Duration) {
	if e.histories == nil {
		e.histories = map[key]*history{}
	}
	e.observe(now, key{class: class, account: account}, run)
	e.observe(now, key{class: class}, run)
}

func (e *Estimator) observe(now time.Time, k key, run time.Duration) {
	h, ok := e.histories[k]
	if !ok {
		h = &history{hist: newHist(), decayedAt: now}
		e.histories[k] = h
	}
	h.decay(now)
	ms := min(max(run, time.Millisecond), _maxRunTime).Milliseconds()
	_ = h.hist.RecordValues(ms, _observationWeight) // ms is within the histogram's range
	total := h.hist.TotalCount()
	h.learned = total >= _minObservations*_observationWeight || h.learned && total >= _keepObservations*_observationWeight
	h.estimate = time.Duration(h.hist.ValueAtQuantile(_percentile)) * time.Millisecond
}

func newHist() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, _maxRunTime.Milliseconds(), _significantDigits)
}

// decay halves all counts once for each half-life that has passed.
func (h *history) decay(now time.Time) {
	n := int(now.Sub(h.decayedAt) / _halfLife)
	if n <= 0 {
		return
	}
	h.decayedAt = h.decayedAt.Add(time.Duration(n) * _halfLife)
	old := h.hist
	h.hist = newHist()
	for _, b := range old.Distribution() {
		if c := b.Count >> min(n, 62); c > 0 {
			_ = h.hist.RecordValues(b.To, c) // the old histogram has the same range
		}
	}
}

// RunTime returns the estimated run time of a job.
func (e *Estimator) RunTime(class, account string, declared time.Duration) time.Duration {
	if h := e.history(class, account); h != nil {
		return h.estimate
	}
	if declared <= 0 {
		return _defaultRunTime
	}
	return declared
}

// Learned reports whether RunTime returns an estimate from observations.
func (e *Estimator) Learned(class, account string) bool { return e.history(class, account) != nil }

func (e *Estimator) history(class, account string) *history {
	if e.Disabled {
		return nil
	}
	for _, k := range []key{{class: class, account: account}, {class: class}} {
		if h, ok := e.histories[k]; ok && h.learned {
			return h
		}
	}
	return nil
}
