// Package berylestimator estimates run times from finished runs.
//
// Declared run times are often wrong by a factor of ten. An [Estimator] keeps the newest
// runs of each queue of a service, shape of step, client account and image, and takes the
// finest of these that has enough ends. From its runs it predicts either the run time
// itself or the ratio of the run time to the declared one, whichever varies less. Without
// enough ends the declared value is the estimate.
package berylestimator

import (
	"cmp"
	"time"
)

const (
	// _defaultRunTime is the estimate for a job without a declared run time.
	_defaultRunTime = time.Hour
	// _maxKeys bounds the keys that are kept, some 300 bytes each.
	_maxKeys = 512
	// _maxName is the longest name, in bytes, by which runs are told apart, so that
	// names that clients choose do not use up memory. A key with a longer one is not kept.
	_maxName = 96
)

// Task says what is known of a task before it runs. An empty field is not distinguished.
type Task struct {
	Service, Queue string
	Shape          Shape
	Account, Image string
	// Declared is the declared run time; zero if there is none.
	Declared time.Duration
}

// Shape is the shape of a step. Steps of similar shape are often of the same kind.
type Shape struct {
	// CountClass is the number of tasks, as the length of its binary representation.
	CountClass int `json:"countClass"`
	// Accelerators is the number for each task.
	Accelerators int `json:"accelerators"`
	// Step is the position of the step in its job.
	Step int  `json:"step"`
	Gang bool `json:"gang"`
}

// Run is a run that is over.
type Run struct {
	Took time.Duration
	// Speed is that of the slowest backend server on which the task or its gang ran; one
	// is nominal. Zero counts as one.
	Speed float64
	// Cut is true if the run did not end by itself, so that the run time is known to be
	// longer than Took, or if it failed, so that the run time is unknown.
	Cut bool
}

// Expectation is an expected run time at nominal speed.
type Expectation struct {
	Median, High time.Duration
	// From names the source: "declared", or the finest key that has enough ends, with
	// " ratio" if the ratio to the declared run time predicts better.
	From string
}

// Learned reports whether the expectation comes from runs.
func (x Expectation) Learned() bool { return x.From != _fromDeclared }

// Estimator estimates run times. The zero value has seen no runs. It is not safe for
// concurrent use.
type Estimator struct {
	// Disabled makes the estimates ignore all runs.
	Disabled bool

	histories map[key]*history
}

// Add records a run that is over.
func (e *Estimator) Add(now time.Time, t Task, r Run) {
	if r.Took <= 0 {
		return
	}
	if e.histories == nil {
		e.histories = map[key]*history{}
	}
	s := newSample(t.Declared, r)
	for l := range _levels {
		k, ok := t.key(l)
		if !ok {
			continue
		}
		h, ok := e.histories[k]
		if !ok {
			if r.Cut {
				// Keys that never see an end would only displace others.
				continue
			}
			e.makeRoom()
			h = &history{}
			e.histories[k] = h
		}
		h.usedAt = now
		h.add(s)
	}
}

// makeRoom evicts a key if there are too many: of the finest level, as a coarser one
// covers it, the one that was used least recently. A client account that names an image
// for each job thus evicts other images only.
func (e *Estimator) makeRoom() {
	if len(e.histories) < _maxKeys {
		return
	}
	var victim key
	found := false
	for k, h := range e.histories {
		if !found || cmp.Or(cmp.Compare(victim.level, k.level), h.usedAt.Compare(e.histories[victim].usedAt), k.compare(victim)) < 0 {
			victim, found = k, true
		}
	}
	delete(e.histories, victim)
}

// Expect returns the expected run time of a task.
func (e *Estimator) Expect(t Task) Expectation {
	if !e.Disabled {
		for l := _levels - 1; l >= 0; l-- {
			k, ok := t.key(l)
			if !ok {
				continue
			}
			if h := e.histories[k]; h != nil && h.learned {
				return h.expect(t.Declared, l)
			}
		}
	}
	return Expectation{Median: t.Declared, High: t.Declared, From: _fromDeclared}
}

// Observe records the run time of a gang of a class that completed successfully.
func (e *Estimator) Observe(now time.Time, class, account string, run time.Duration) {
	e.Add(now, Task{Queue: class, Account: account}, Run{Took: run})
}

// RunTime returns a run time of a job of a class that few exceed. An estimate that is too
// short makes a job miss its target, while one that is too long only makes it start early.
func (e *Estimator) RunTime(class, account string, declared time.Duration) time.Duration {
	x := e.Expect(Task{Queue: class, Account: account, Declared: declared})
	if x.High <= 0 {
		return _defaultRunTime
	}
	return x.High
}

// Learned reports whether RunTime returns an estimate from observations.
func (e *Estimator) Learned(class, account string) bool {
	return e.Expect(Task{Queue: class, Account: account}).Learned()
}
