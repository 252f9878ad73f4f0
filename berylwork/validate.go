package berylwork

import (
	"berylglade/berylerror"
	"berylglade/berylroom"
)

const (
	// _maxStepTasks is the maximum number of tasks in one step; the largest gangs have
	// 512.
	_maxStepTasks = 20_000
	// _maxTasks is the maximum number of tasks of all steps and occurrences. Each entry
	// keeps about 150 bytes for a task with progress, and the smallest VM has 144 MB.
	_maxTasks = 100_000
)

// Validate returns an error of kind Invalid if the job can't be scheduled: it has no
// tasks, too many, negative amounts, or a step that depends on a later one.
func (w *Work) Validate() error {
	if len(w.Steps) == 0 {
		return berylerror.Invalid.Errorf("job has no steps")
	}
	if w.Times < 0 || w.Interval < 0 {
		return berylerror.Invalid.Errorf("job has %d occurrences, one every %d ms", w.Times, w.Interval)
	}
	// The number of occurrences is bounded first, as the product may overflow.
	if w.Occurrences() > _maxTasks {
		return berylerror.Invalid.Errorf("job has %d occurrences; the maximum is %d", w.Times, _maxTasks)
	}
	tasks := 0
	for i := range w.Steps {
		if err := w.Steps[i].Validate(i); err != nil {
			return err
		}
		tasks += w.Steps[i].Count * w.Occurrences()
		if tasks > _maxTasks {
			return berylerror.Invalid.Errorf("job has more than %d tasks in all steps and occurrences", _maxTasks)
		}
	}
	return nil
}

// Validate returns an error of kind Invalid if the step with the given index can't be
// scheduled.
func (s *Step) Validate(index int) error {
	if s.Count <= 0 || s.Count > _maxStepTasks {
		return berylerror.Invalid.Errorf("step %d has %d tasks; the allowed range is 1 to %d", index, s.Count, _maxStepTasks)
	}
	if !(berylroom.Resources{}).Fits(s.Need) || s.Estimate < 0 || s.MaxPerHost < 0 {
		return berylerror.Invalid.Errorf("step %d has a negative amount", index)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return berylerror.Invalid.Errorf("step %d: after has %d, which is not the index of an earlier step", index, a)
		}
	}
	return nil
}
