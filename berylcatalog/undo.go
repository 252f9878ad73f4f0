package berylcatalog

import "time"

// save keeps a job as it was before its first change after each undecided
// claim.
func (c *Catalog) save(id string) {
	for _, saved := range c.undo {
		if _, ok := saved[id]; !ok {
			saved[id] = c.jobs[id]
		}
	}
}

// pruneUndo drops what was kept for claims that are not undecided any more.
func (c *Catalog) pruneUndo(now time.Time) {
	for offset := range c.undo {
		if !c.ClaimPending(now, offset) {
			delete(c.undo, offset)
		}
	}
}

// void takes back what records of lower terms above an offset did: a reader
// that starts behind retention believed in their term until a record of a
// higher term proved that they were written after its claim.
func (c *Catalog) void(offset int64) []Event {
	saved := c.undo[offset]
	clear(c.undo)
	var events []Event
	for _, id := range c.ids() {
		j := c.jobs[id]
		if j.offset <= offset || j.term == 0 || j.term >= c.Number {
			continue
		}
		events = append(events, c.restore(id, j, saved))
	}
	return events
}

// restore puts a job back to its last valid state.
func (c *Catalog) restore(id string, j *job, saved map[string]*job) Event {
	c.remove(id)
	before := saved[id]
	if before == nil && j.submitted != nil {
		before = &job{state: *j.submitted, offset: j.offset, read: j.read, submitted: j.submitted}
	}
	if before == nil {
		return JobDropped{Job: id}
	}
	next := *before
	next.cancelled = j.cancelled
	c.put(id, &next)
	return JobChanged{State: next.state}
}
