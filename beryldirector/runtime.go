package beryldirector

import (
	"maps"
	"math/bits"
	"time"

	"berylglade/berylbook"
	"berylglade/berylestimator"
	"berylglade/berylreport"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// RunTimeSeen tells the entry about a finished run: its time, and the one that was
// expected. It is for metrics only.
type RunTimeSeen struct {
	Queue          string
	Took, Expected time.Duration
}

func (RunTimeSeen) effect() {}

// taskOf returns what is known of the tasks of a step before they run.
func (d *Director) taskOf(w *berylwork.Work, step int) berylestimator.Task {
	s := &w.Steps[step]
	service := w.Terms.Service
	if q, ok := d.queueOf(w); ok {
		service = q.Service
	}
	return berylestimator.Task{
		Service: service, Queue: w.Queue, Account: w.Account, Image: s.Image,
		Shape:    berylestimator.Shape{CountClass: bits.Len(uint(s.Count)), Accelerators: s.Need.Accelerators, Step: step, Gang: s.Gang},
		Declared: time.Duration(s.Estimate) * time.Millisecond,
	}
}

// expect returns the run time that is expected for the tasks of a step on a sound
// backend server near their data.
func (d *Director) expect(w *berylwork.Work, step int) berylestimator.Expectation {
	if w.Steps[step].LongRunning {
		declared := time.Duration(w.Steps[step].Estimate) * time.Millisecond
		return berylestimator.Expectation{Median: declared, High: declared, From: "declared"}
	}
	return d.runTimes.Expect(d.taskOf(w, step))
}

// declaredRunTime returns the run time that is expected for the tasks of a step: the
// declared one until finished runs tell more.
func (d *Director) declaredRunTime(j *berylbook.Job, step int) time.Duration {
	return d.expect(j.Work, step).Median
}

// learnsFrom reports whether the time of a run tells about others of its kind. A run that
// resumed from a checkpoint had only part of the work to do, and one away from its data
// took longer than the step would elsewhere. The tasks of a step are alike and have one
// declared time: only the first one by index counts, which is not the fastest one as the
// first to end is. Otherwise a wide step would displace all others, and two of them would
// seem to tell how much run times vary.
func (d *Director) learnsFrom(j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) bool {
	step := &j.Work.Steps[ref.Step]
	if step.LongRunning || t.Checkpoint != "" || !step.Gang && ref.Index > 0 {
		return false
	}
	return !d.awayFromData(j, ref, t)
}

// observeEnd learns from the end of a run, which is not applied yet.
func (d *Director) observeEnd(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	took := time.Duration(now.UnixMilli()-t.OrderedAt) * time.Millisecond
	p := d.agents[t.Incarnation.Node].progressOf(berylreport.Key{Task: ref.String(), Run: t.Run})
	if work := p.workTime(); work > 0 {
		// Declared times and targets are those of the work too.
		took = min(took, work)
	}
	if took <= 0 || !d.learnsFrom(j, ref, t) {
		return
	}
	x := d.expect(j.Work, ref.Step)
	d.effects = append(d.effects, RunTimeSeen{Queue: j.Work.Queue, Took: took, Expected: x.Median})
	d.runTimes.Add(now, d.taskOf(j.Work, ref.Step), berylestimator.Run{Took: took, Speed: d.unitSpeed(now, j, ref)})
	d.unsavedRuns++
}

// observeCut learns from a run that is over without a result: it would have taken longer
// than the time until it was last listed. Only the first member of a gang counts.
func (d *Director) observeCut(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	a := d.agents[t.Incarnation.Node]
	if a == nil || j.Work.Steps[ref.Step].Gang && ref.Index > 0 || !d.learnsFrom(j, ref, t) {
		return
	}
	p := a.progressOf(berylreport.Key{Task: ref.String(), Run: t.Run})
	if p.lastListed.IsZero() {
		return
	}
	took := p.lastListed.Sub(time.UnixMilli(t.OrderedAt))
	d.runTimes.Add(now, d.taskOf(j.Work, ref.Step), berylestimator.Run{Took: took, Speed: d.unitSpeed(now, j, ref), Cut: true})
}

// awayFromData reports whether a run is slower than a run of its step in one rack with
// its data, or may be.
func (d *Director) awayFromData(j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) bool {
	step := &j.Work.Steps[ref.Step]
	rack := d.rackOf(t)
	if step.Rack != "" && rack != step.Rack {
		return true
	}
	if !step.OneRack || !step.Gang {
		return false
	}
	return !j.Step(ref.Occurrence, ref.Step).Each(func(_ int, other *berylbook.Task) bool {
		return other.Run != t.Run || d.rackOf(other) == rack
	})
}

// rackOf returns the rack of the backend server of a run; empty if it is unknown.
func (d *Director) rackOf(t *berylbook.Task) string {
	if a := d.agents[t.Incarnation.Node]; a != nil {
		return a.rack
	}
	return ""
}

// expectedPaths returns for each step the expected time of the longest chain of steps that
// starts with it, in milliseconds.
func (d *Director) expectedPaths(w *berylwork.Work, capacity int) []int64 {
	known := d.largePaths[w]
	if known.paths != nil && known.capacity == capacity && d.now.Sub(known.at) < _pathsTTL {
		return known.paths
	}
	paths := criticalPaths(w, capacity, func(step int) int64 { return d.expect(w, step).Median.Milliseconds() })
	if len(w.Steps) >= _largeJob {
		d.largePaths[w] = knownPaths{paths: paths, capacity: capacity, at: d.now}
	}
	return paths
}

// knownPaths are the expected paths of a job as of some time.
type knownPaths struct {
	paths    []int64
	capacity int
	at       time.Time
}

// forgetLargeJobs deletes what is kept for large jobs and not used any more.
func (d *Director) forgetLargeJobs(now time.Time) {
	maps.DeleteFunc(d.nextSteps, func(j *berylbook.Job, _ int) bool { return j.State.Final() })
	maps.DeleteFunc(d.largePaths, func(_ *berylwork.Work, known knownPaths) bool { return now.Sub(known.at) >= _pathsTTL })
}

// restoreRunTimes takes over what an earlier leader has learned. A record that is lost or
// malformed costs no more than that knowledge.
func (d *Director) restoreRunTimes(now time.Time) {
	r := d.Book.RunTimes
	switch {
	case len(r.Data) == 0:
		return
	case r.Epoch == d.savedEpoch:
		// This process wrote the record, and has learned more since then.
		return
	}
	if err := d.runTimes.Decode(now, r.Data); err != nil {
		d.note("run times not restored", "epoch", r.Epoch, "err", err)
		return
	}
	d.note("run times restored", "epoch", r.Epoch, "bytes", len(r.Data))
}

// runTimeRecords returns the record of what was learned, if enough has been since the last
// one.
func (d *Director) runTimeRecords(now time.Time) []berylstore.Record {
	if d.unsavedRuns < _minUnsavedRuns || now.Sub(d.runTimesSavedAt) < _saveInterval {
		return nil
	}
	return d.saveRunTimes(now)
}

// saveRunTimes returns the record of what was learned.
func (d *Director) saveRunTimes(now time.Time) []berylstore.Record {
	d.runTimesSavedAt = now
	data, err := d.runTimes.Encode(_maxRunTimesSize)
	if err == nil {
		var r berylstore.Record
		r, err = (&berylbook.RunTimes{Epoch: d.epoch, Data: data}).Record()
		if err == nil {
			d.unsavedRuns = 0
			d.savedEpoch = d.epoch
			return []berylstore.Record{r}
		}
	}
	d.note("run times can't be encoded", "err", err)
	return nil
}

// RunTimes returns what is known of the run times of a queue, or of all if it is empty. An
// entry that does not lead knows what the leader has recorded.
func (d *Director) RunTimes(now time.Time, queue string) []berylestimator.Known {
	if d.Leading() {
		return d.runTimes.Known(queue)
	}
	var recorded berylestimator.Estimator
	if len(d.Book.RunTimes.Data) > 0 {
		// A malformed record is reported by the entry that becomes the leader.
		_ = recorded.Decode(now, d.Book.RunTimes.Data)
	}
	return recorded.Known(queue)
}

const (
	// _largeJob is the number of steps from which the expected paths of a job are kept for
	// _pathsTTL. They are needed in each placement pass.
	_largeJob = 128
	_pathsTTL = time.Second
	// _saveInterval and _minUnsavedRuns limit how often what was learned is recorded: a
	// new leader may miss the newest ends.
	_saveInterval   = 5 * time.Second
	_minUnsavedRuns = 16
	// _maxRunTimesSize is the size of the record in bytes, which each entry reads.
	_maxRunTimesSize = 8 << 10
)
