package beryldirector

import (
	"berylglade/berylbook"
	"berylglade/berylwork"
)

// activeTask is a task whose newest run may exist.
type activeTask struct {
	job  *berylbook.Job
	ref  berylwork.Ref
	task *berylbook.Task
	// name is the task's name as backend servers know it.
	name string
}

// index has the lookups that are needed for each event, so that an event does not
// iterate over all tasks of all jobs. It is rebuilt after a change of a task.
type index struct {
	version int64
	// live has the jobs that may still change.
	live   []*berylbook.Job
	active []activeTask
	byNode map[string][]activeTask
}

// currentIndex returns the index of the current version.
func (d *Director) currentIndex() *index {
	if d.index != nil && d.index.version == d.version {
		return d.index
	}
	x := &index{version: d.version, byNode: map[string][]activeTask{}}
	for _, j := range d.Book.Sorted() {
		if j.Quiescent() {
			continue
		}
		x.live = append(x.live, j)
		j.Each(func(ref berylwork.Ref, t *berylbook.Task) {
			if !t.Phase.Active() {
				return
			}
			s := activeTask{job: j, ref: ref, task: t, name: ref.String()}
			x.active = append(x.active, s)
			x.byNode[t.Incarnation.Node] = append(x.byNode[t.Incarnation.Node], s)
		})
	}
	d.index = x
	return x
}
