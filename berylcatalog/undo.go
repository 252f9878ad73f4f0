package berylcatalog

import "time"

// saveUndo stores the state of a job before its first change after each pending
// claim.
func (c *Catalog) saveUndo(id string) {
	for _, saved := range c.undo {
		if _, ok := saved[id]; !ok {
			saved[id] = c.jobs[id]
		}
	}
}

// pruneUndo deletes the states stored for claims that are no longer pending.
func (c *Catalog) pruneUndo(now time.Time) {
	for offset := range c.undo {
		if !c.ClaimPending(now, offset) {
			delete(c.undo, offset)
		}
	}
}

// revertVoid undoes the changes made by records of lower terms after an offset.
// A reader that has not read the claim of the current term accepts such records
// until a record of a higher term proves that they follow that term's claim.
func (c *Catalog) revertVoid(offset int64) []Event {
	saved := c.undo[offset]
	clear(c.undo)
	var events []Event
	for _, id := range c.sortedIDs() {
		j := c.jobs[id]
		if j.offset <= offset || j.term == 0 || j.term >= c.Number {
			continue
		}
		events = append(events, c.restore(id, j, saved))
	}
	return events
}

// restore returns a job to its last valid state, or drops it if there is none.
func (c *Catalog) restore(id string, j *job, saved map[string]*job) Event {
	c.remove(id)
	before := saved[id]
	if before == nil && j.submitted != nil {
		before = &job{state: *j.submitted, offset: j.offset, readAt: j.readAt, submitted: j.submitted}
	}
	if before == nil {
		return JobDropped{Job: id}
	}
	next := *before
	next.cancelRequested = j.cancelRequested
	c.put(id, &next)
	return JobChanged{State: next.state}
}
