package berylbook

// TaskList has the tasks of one step in one occurrence of a job. Tasks without progress take
// no memory: they are kept in chunks, and a chunk exists from the first change of one of its
// tasks on. The zero value is empty.
type TaskList struct {
	count int
	// released is true if all tasks are done and their progress is not kept.
	released bool
	// chunks is nil until a task is changed.
	chunks []*chunk
}

// chunk has up to _chunkSize consecutive tasks.
type chunk struct {
	// done is true if all tasks are known to be done, which doesn't change unless one is
	// changed with TaskList.At.
	done  bool
	tasks []Task
}

// _chunkSize is the number of tasks that get memory together.
const _chunkSize = 64

// Len returns the number of tasks.
func (l *TaskList) Len() int { return l.count }

// Get returns a copy of a task.
func (l *TaskList) Get(i int) Task {
	if l.chunks == nil || l.chunks[i/_chunkSize] == nil {
		return l.untouched()
	}
	return l.chunks[i/_chunkSize].tasks[i%_chunkSize]
}

// untouched returns a task that has no memory.
func (l *TaskList) untouched() Task {
	if l.released {
		return Task{Phase: Done}
	}
	return Task{}
}

// At returns a task that may be changed. It gives memory to the task.
func (l *TaskList) At(i int) *Task {
	if l.chunks == nil {
		l.chunks = make([]*chunk, (l.count+_chunkSize-1)/_chunkSize)
	}
	n := i / _chunkSize
	if l.chunks[n] == nil {
		tasks := make([]Task, min(_chunkSize, l.count-n*_chunkSize))
		for i := range tasks {
			tasks[i] = l.untouched()
		}
		l.chunks[n] = &chunk{tasks: tasks}
	}
	c := l.chunks[n]
	c.done = false
	return &c.tasks[i%_chunkSize]
}

// Each calls f for each task that has memory, among them all with progress, until f returns
// false. It reports whether all were visited.
func (l *TaskList) Each(f func(i int, t *Task) bool) bool {
	for n, c := range l.chunks {
		if c == nil {
			continue
		}
		for i := range c.tasks {
			if !f(n*_chunkSize+i, &c.tasks[i]) {
				return false
			}
		}
	}
	return true
}

// Done reports whether all tasks are done.
func (l *TaskList) Done() bool {
	if l.chunks == nil {
		return l.released || l.count == 0
	}
	for _, c := range l.chunks {
		if !c.allDone() && (c != nil || !l.released) {
			return false
		}
	}
	return true
}

func (c *chunk) allDone() bool {
	if c == nil {
		return false
	}
	if c.done {
		return true
	}
	for i := range c.tasks {
		if c.tasks[i].Phase != Done {
			return false
		}
	}
	c.done = true
	return true
}

// Idle returns the indexes of the first tasks that are idle, at most limit.
func (l *TaskList) Idle(limit int) []int {
	var idle []int
	for i := 0; i < l.count && len(idle) < limit; i++ {
		if i%_chunkSize == 0 && l.chunks != nil && l.chunks[i/_chunkSize].allDone() {
			i += _chunkSize - 1
			continue
		}
		if l.Get(i).Phase == Idle {
			idle = append(idle, i)
		}
	}
	return idle
}

// AllIdle reports whether no task has a run or is done.
func (l *TaskList) AllIdle() bool {
	return l.Each(func(_ int, t *Task) bool { return t.Phase == Idle })
}

// clear deletes the progress of a task, and gives back the memory of a chunk that has none.
func (l *TaskList) clear(i int) {
	if l.chunks == nil || l.chunks[i/_chunkSize] == nil {
		return
	}
	c := l.chunks[i/_chunkSize]
	c.done = false
	c.tasks[i%_chunkSize] = Task{}
	for n := range c.tasks {
		if c.tasks[n] != (Task{}) {
			return
		}
	}
	l.chunks[i/_chunkSize] = nil
}
