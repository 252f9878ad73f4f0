package beryldirector

import (
	"berylglade/berylbook"
	"berylglade/berylwork"
)

// slot is a task whose newest run may exist.
type slot struct {
	job  *berylbook.Job
	ref  berylwork.Ref
	task *berylbook.Task
	// name is the task's name towards backend servers.
	name string
}

// index has what is looked up for each event, so that an event does not walk all
// tasks of all jobs. It is made again when a task has changed.
type index struct {
	version int64
	live    []*berylbook.Job
	active  []slot
	byNode  map[string][]slot
}

// look returns the index of the present state.
func (d *Director) look() *index {
	if d.index != nil && d.index.version == d.version {
		return d.index
	}
	x := &index{version: d.version, byNode: map[string][]slot{}}
	for _, j := range d.Book.Sorted() {
		if j.Quiescent() {
			continue
		}
		x.live = append(x.live, j)
		j.Each(func(ref berylwork.Ref, t *berylbook.Task) {
			if !t.Phase.Active() {
				return
			}
			s := slot{job: j, ref: ref, task: t, name: ref.String()}
			x.active = append(x.active, s)
			x.byNode[t.Incarnation.Node] = append(x.byNode[t.Incarnation.Node], s)
		})
	}
	d.index = x
	return x
}
