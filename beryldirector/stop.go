package beryldirector

import (
	"maps"
	"time"

	"berylglade/berylbook"
)

// stop is the stop of a run, as this leader has seen it.
type stop struct {
	run   int
	since time.Time
	// overdue is true once it was logged that the stop takes too long.
	overdue bool
}

// stopOverdue reports whether the stop of a run takes so long that its capacity is not
// expected to come free any more. A backend server may go on with a run that it was told to
// stop.
func (d *Director) stopOverdue(now time.Time, s activeTask) bool {
	st, ok := d.stops[s.task]
	if !ok || st.run != s.task.Run {
		st = stop{run: s.task.Run, since: now}
		d.stops[s.task] = st
	}
	waited := now.Sub(st.since)
	if waited <= d.Limits.maxStopTime() {
		return false
	}
	if !st.overdue {
		st.overdue = true
		d.stops[s.task] = st
		d.note("stop overdue", "task", s.name, "run", s.task.Run, "node", s.task.Incarnation.Node, "ms", waited.Milliseconds())
	}
	return true
}

// forgetStops drops the stops of runs that have ended.
func (d *Director) forgetStops() {
	maps.DeleteFunc(d.stops, func(t *berylbook.Task, st stop) bool { return t.Run != st.run || t.Phase != berylbook.Stopping })
}
