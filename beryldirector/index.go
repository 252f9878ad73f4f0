package beryldirector

import (
	"slices"

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

// on reports whether the newest run of the task may exist on the node.
func (s *activeTask) on(node string) bool {
	return s.task.Phase.Active() && s.task.Incarnation.Node == node
}

// index has the lookups that are needed for each event, so that an event does not
// iterate over all tasks of all jobs. A start adds to it; runs that have ended are
// dropped with the next placement pass.
type index struct {
	// live has the jobs that may still change, ordered by id; nil if it has to be
	// built again.
	live []*berylbook.Job
	// nodes are the keys of byNode in order, and byNode has the tasks that were active
	// on each node. Some may have ended or moved.
	nodes  []string
	byNode map[string][]activeTask
}

// currentIndex returns the index of the Book.
func (d *Director) currentIndex() *index {
	if d.index != nil {
		return d.index
	}
	d.index = &index{live: d.findLiveJobs(), byNode: map[string][]activeTask{}}
	for _, j := range d.index.live {
		j.Each(func(ref berylwork.Ref, t *berylbook.Task) {
			if t.Phase.Active() {
				d.index.add(j, ref, t)
			}
		})
	}
	return d.index
}

// liveJobs returns the jobs that may still change, ordered by id. Some may have ended
// since the last submission.
func (d *Director) liveJobs() []*berylbook.Job {
	x := d.currentIndex()
	if x.live == nil {
		x.live = d.findLiveJobs()
	}
	return x.live
}

// findLiveJobs returns the jobs of the Book that may still change; it is not nil.
func (d *Director) findLiveJobs() []*berylbook.Job {
	live := []*berylbook.Job{}
	for _, j := range d.Book.Sorted() {
		if !j.Quiescent() {
			live = append(live, j)
		}
	}
	return live
}

// add adds a task whose newest run was ordered.
func (x *index) add(j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) {
	node := t.Incarnation.Node
	tasks, known := x.byNode[node]
	if !known {
		i, _ := slices.BinarySearch(x.nodes, node)
		x.nodes = slices.Insert(x.nodes, i, node)
	}
	if slices.ContainsFunc(tasks, func(s activeTask) bool { return s.task == t }) {
		return
	}
	x.byNode[node] = append(tasks, activeTask{job: j, ref: ref, task: t, name: ref.String()})
}

// compact drops the tasks that have ended or moved.
func (x *index) compact() {
	for _, node := range x.nodes {
		x.byNode[node] = slices.DeleteFunc(x.byNode[node], func(s activeTask) bool { return !s.on(node) })
	}
}

// eachActive calls f for each task whose newest run may exist, ordered by node.
func (d *Director) eachActive(f func(s activeTask)) {
	for _, node := range d.currentIndex().nodes {
		d.eachActiveOn(node, f)
	}
}

// eachActiveOn calls f for each task whose newest run may exist on the node.
func (d *Director) eachActiveOn(node string, f func(s activeTask)) {
	for _, s := range d.currentIndex().byNode[node] {
		if s.on(node) {
			f(s)
		}
	}
}
