package berylestimator

import (
	"math"
	"slices"
	"time"
)

const (
	// _window is the number of newest runs that count. Half of it moves the median to a
	// new run time.
	_window = 32
	// _minEnds is the number of ends from which a key is used.
	_minEnds = 8
	// _minEndsOfFull is the same for a full window, in which runs that were cut may have
	// displaced ends. They tell how long the run time is at least.
	_minEndsOfFull = 4
	// _highQuantile is exceeded by one run in ten.
	_highQuantile = 0.9
	// _rangeFactor is by how much a prediction from a declared run time may leave the
	// range of the run times that were seen.
	_rangeFactor = 2
	// _maxDeviation bounds the weight of one outlier in the choice between run time and
	// ratio: three octaves.
	_maxDeviation = 3 * _octave
	// _octave is the number of codes for a factor of two; the precision is 0.07%.
	_octave = 1 << 10
	// _maxRunTime is the longest run time that codes distinguish.
	_maxRunTime = 30 * 24 * time.Hour
	// _ratioOne is the code of the ratio one. Code zero means that there is no ratio.
	_ratioOne = 1 << 15
)

// sample is a run. Its values are logarithms, so that quantiles are exact within the
// precision and a run takes six bytes.
type sample struct {
	// took is the run time at nominal speed.
	took uint16
	// ratio is that to the declared run time; zero if there is none.
	ratio uint16
	// cut is true if the true values are larger than took and ratio.
	cut bool
}

func newSample(declared time.Duration, r Run) sample {
	speed := r.Speed
	if speed <= 0 || math.IsNaN(speed) || math.IsInf(speed, 0) {
		speed = 1
	}
	took := float64(r.Took) * speed
	s := sample{took: encodeTime(took), cut: r.Cut}
	if declared > 0 {
		octaves := math.Log2(took / float64(declared))
		s.ratio = uint16(min(max(math.Round(octaves*_octave)+_ratioOne, 1), math.MaxUint16))
	}
	return s
}

func encodeTime(d float64) uint16 {
	ms := min(max(d, float64(time.Millisecond)), float64(_maxRunTime)) / float64(time.Millisecond)
	return uint16(math.Round(math.Log2(ms) * _octave))
}

func decodeTime(code uint16) time.Duration {
	return time.Duration(math.Exp2(float64(code)/_octave) * float64(time.Millisecond))
}

func decodeRatio(code uint16) float64 { return math.Exp2((float64(code) - _ratioOne) / _octave) }

// history has the newest runs of one key.
type history struct {
	// runs is a ring once it is full; next is then the oldest.
	runs []sample
	next int
	// usedAt is when the last run was added.
	usedAt time.Time

	// The following are computed when a run is added.
	learned bool
	// took and ratio are the values at the quantiles.
	took, ratio quantiles
	// shortest is that of the ends, and longest that of all runs.
	shortest, longest uint16
	// byRatio is true if the ratio predicts better than the run time.
	byRatio bool
}

// quantiles are codes of the values at the median and at the high quantile.
type quantiles struct{ median, high uint16 }

func (h *history) add(s sample) {
	if len(h.runs) < _window {
		h.runs = append(h.runs, s)
	} else {
		h.runs[h.next] = s
		h.next = (h.next + 1) % _window
	}
	h.update()
}

// update computes what follows from the runs.
func (h *history) update() {
	took := make([]value, 0, _window)
	ratio := make([]value, 0, _window)
	ends := 0
	shortest := uint16(math.MaxUint16)
	for _, s := range h.runs {
		if !s.cut {
			ends++
			shortest = min(shortest, s.took)
		}
		took = append(took, value{s.took, s.cut})
		if s.ratio != 0 {
			ratio = append(ratio, value{s.ratio, s.cut})
		}
	}
	h.learned = ends >= _minEnds || len(h.runs) == _window && ends >= _minEndsOfFull
	if !h.learned {
		return
	}
	h.took = quantilesOf(took)
	h.shortest, h.longest = shortest, took[len(took)-1].code
	h.byRatio, h.ratio = false, quantiles{}
	if len(ratio) < len(took) {
		// Some tasks have no declared run time.
		return
	}
	h.ratio = quantilesOf(ratio)
	// On a tie the run time is preferred, which clients can't influence.
	h.byRatio = deviation(ratio, h.ratio.median) < deviation(took, h.took.median)
}

// value is the code of a run time or ratio, or one that is known to be larger.
type value struct {
	code uint16
	cut  bool
}

// quantilesOf sorts the values and returns the codes at the median and at the high
// quantile. The estimate is that of Kaplan and Meier: a run that was cut counts among
// those that are longer than its time, and not among the ends.
func quantilesOf(values []value) quantiles {
	slices.SortFunc(values, func(a, b value) int {
		switch {
		case a.code != b.code:
			return int(a.code) - int(b.code)
		case a.cut == b.cut:
			return 0
		case a.cut:
			return 1
		default:
			return -1
		}
	})
	n := len(values)
	// With few values a single outlier is not taken for the high quantile.
	high := min(_highQuantile, float64(n-1)/float64(n))
	last := values[n-1].code
	q := quantiles{median: last, high: last}
	longer := 1.0
	foundMedian := false
	for i, v := range values {
		if v.cut {
			continue
		}
		longer *= 1 - 1/float64(n-i)
		if !foundMedian && longer <= 0.5+_rounding {
			q.median, foundMedian = v.code, true
		}
		if longer <= 1-high+_rounding {
			q.high = v.code
			break
		}
	}
	return q
}

// _rounding is more than the rounding errors of quantilesOf.
const _rounding = 1e-9

// deviation returns the mean deviation of the ends from the median.
func deviation(values []value, median uint16) float64 {
	sum, n := 0, 0
	for _, v := range values {
		if !v.cut {
			sum += min(abs(int(v.code)-int(median)), _maxDeviation)
			n++
		}
	}
	return float64(sum) / float64(max(n, 1))
}

func abs(n int) int { return max(n, -n) }

// expect returns the expected run time of a task with the given declared one, from the
// runs of a key of level l.
func (h *history) expect(declared time.Duration, l level) Expectation {
	x := Expectation{Median: decodeTime(h.took.median), High: decodeTime(h.took.high), From: l.String()}
	if !h.byRatio || declared <= 0 {
		return x
	}
	// A declared time that is out of the range of what was seen has little weight: it
	// may have been chosen to gain a better place in the order.
	low, high := decodeTime(h.shortest)/_rangeFactor, decodeTime(h.longest)*_rangeFactor
	x.Median = min(max(time.Duration(float64(declared)*decodeRatio(h.ratio.median)), low), high)
	x.High = min(max(time.Duration(float64(declared)*decodeRatio(h.ratio.high)), x.Median), high)
	x.From = [...]string{"queue ratio", "shape ratio", "account ratio", "image ratio"}[l]
	return x
}
