// Package berylestimator learns run times per class and client account.
//
// Declared run times are often wrong by a factor of ten, so an [Estimator] uses
// a high quantile of observed ones as soon as it has enough: first those of the
// class and account, then those of the class, and the declared value until then.
package berylestimator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// _quantile is high because an estimate that is too short breaks a target,
	// while one that is too long only starts work early.
	_quantile = 90
	// _halfLife is the time after which an observation counts half.
	_halfLife = 6 * time.Hour
	// _enough is the number of observations from which a histogram is used.
	_enough = 8
	// _few is the decayed number of observations below which a histogram is
	// not used any more.
	_few = 2
	// _weight is the count of a fresh observation; a power of two so that it
	// survives that many halvings.
	_weight = 1 << 6
	// _longest is the longest run time that is told apart.
	_longest = 30 * 24 * time.Hour
	// _unknown is used for a job that declares nothing.
	_unknown = time.Hour
	// _digits of precision keep a histogram at about 4 KB.
	_digits = 1
)

// Estimator is the learned state. The zero value has learned nothing.
type Estimator struct {
	// Disabled makes Run return declared values only.
	Disabled bool

	by map[key]*history
}

type key struct{ class, account string }

type history struct {
	hist  *hdrhistogram.Histogram
	since time.Time
	// learned stays set while decay leaves at least a few observations, so that
	// a quiet night does not bring back the declared values.
	learned bool
	// run is the quantile, computed once for each observation.
	run time.Duration
}

// Observe records the run time of a gang that ended well.
func (e *Estimator) Observe(now time.Time, class, account string, run time.Duration) {
	if e.by == nil {
		e.by = map[key]*history{}
	}
	e.observe(now, key{class: class, account: account}, run)
	e.observe(now, key{class: class}, run)
}

func (e *Estimator) observe(now time.Time, k key, run time.Duration) {
	h, ok := e.by[k]
	if !ok {
		h = &history{hist: newHist(), since: now}
		e.by[k] = h
	}
	h.decay(now)
	ms := min(max(run, time.Millisecond), _longest).Milliseconds()
	_ = h.hist.RecordValues(ms, _weight) // within the range by the line above
	total := h.hist.TotalCount()
	h.learned = total >= _enough*_weight || h.learned && total >= _few*_weight
	h.run = time.Duration(h.hist.ValueAtQuantile(_quantile)) * time.Millisecond
}

func newHist() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, _longest.Milliseconds(), _digits)
}

// decay halves all counts for each half-life that has passed.
func (h *history) decay(now time.Time) {
	n := int(now.Sub(h.since) / _halfLife)
	if n <= 0 {
		return
	}
	h.since = h.since.Add(time.Duration(n) * _halfLife)
	old := h.hist
	h.hist = newHist()
	for _, b := range old.Distribution() {
		if c := b.Count >> min(n, 62); c > 0 {
			_ = h.hist.RecordValues(b.To, c) // taken from a histogram of the same range
		}
	}
}

// RunTime returns the expected run time of a job.
func (e *Estimator) RunTime(class, account string, declared time.Duration) time.Duration {
	if h := e.history(class, account); h != nil {
		return h.run
	}
	if declared <= 0 {
		return _unknown
	}
	return declared
}

// Learned reports whether Run returns a learned value.
func (e *Estimator) Learned(class, account string) bool { return e.history(class, account) != nil }

func (e *Estimator) history(class, account string) *history {
	if e.Disabled {
		return nil
	}
	for _, k := range []key{{class: class, account: account}, {class: class}} {
		if h, ok := e.by[k]; ok && h.learned {
			return h
		}
	}
	return nil
}
