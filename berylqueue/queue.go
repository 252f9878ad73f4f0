// Package berylqueue orders waiting jobs by slack.
//
// Slack is deadline − now − run time; [Item.Slack] returns it without ageing. Unless
// ageing is disabled, the queue orders by the slack minus the time already waited. Either
// value decreases at the same rate for all items, so the order of two items never
// changes: the queue computes a fixed key for each item and sorts each item only once.
package berylqueue

import (
	"cmp"
	"slices"
	"time"
)

// BestEffortDeadline is the time from the start of the wait to the deadline that items
// without a deadline get.
const BestEffortDeadline = 12 * time.Hour

// Item is a waiting job.
type Item struct {
	// ID is unique in the queue.
	ID string
	// Deadline is the latest end, or the latest start if RunTime is zero. The zero
	// time means best effort.
	Deadline time.Time
	// RunTime is the expected run time.
	RunTime time.Duration
	// WaitingSince is the start of the wait.
	WaitingSince time.Time
}

// Queue is a set of items ordered by slack. The zero value is an empty queue with
// ageing.
type Queue struct {
	// NoAgeing disables ageing. Best-effort items then come after all others.
	NoAgeing bool

	byID   map[string]*entry
	sorted []*entry
	// unmerged are new entries that have not been merged into sorted.
	unmerged []*entry
	// removed counts removed entries that are still in sorted or unmerged.
	removed int
}

type entry struct {
	Item
	orderKey int64
	removed  bool
}

// Put adds an item or replaces the item with the same ID.
func (q *Queue) Put(it Item) {
	if q.byID == nil {
		q.byID = map[string]*entry{}
	}
	q.Remove(it.ID)
	e := &entry{Item: it, orderKey: q.orderKey(it)}
	q.byID[it.ID] = e
	q.unmerged = append(q.unmerged, e)
}

// Remove removes an item in constant time and reports whether it was in the queue.
func (q *Queue) Remove(id string) bool {
	e, ok := q.byID[id]
	if !ok {
		return false
	}
	e.removed = true
	q.removed++
	delete(q.byID, id)
	return true
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.byID) }

// Has reports whether an item is in the queue.
func (q *Queue) Has(id string) bool {
	_, ok := q.byID[id]
	return ok
}

// Walk calls f for each item in order of increasing slack until f returns false. f may
// remove and put items; items put during the walk are not visited.
func (q *Queue) Walk(f func(Item) bool) {
	q.merge()
	for _, e := range q.sorted {
		if e.removed {
			continue
		}
		if !f(e.Item) {
			return
		}
	}
}

// Slack returns the item's slack without ageing.
func (it Item) Slack(now time.Time) time.Duration {
	if it.Deadline.IsZero() {
		return it.WaitingSince.Add(BestEffortDeadline).Sub(now)
	}
	return it.Deadline.Sub(now) - it.RunTime
}

// orderKey returns the part of the slack with ageing that does not depend on the
// present time. As
//
//	slack(now) = deadline − run time − now − (now − waiting since)
//
// this is deadline − run time + waiting since. The unit is milliseconds so that the
// sum of two times does not overflow.
func (q *Queue) orderKey(it Item) int64 {
	since := it.WaitingSince.UnixMilli()
	if q.NoAgeing {
		if it.Deadline.IsZero() {
			return 1<<62 + since
		}
		return it.Deadline.UnixMilli() - it.RunTime.Milliseconds()
	}
	if it.Deadline.IsZero() {
		return 2*since + BestEffortDeadline.Milliseconds()
	}
	return it.Deadline.UnixMilli() - it.RunTime.Milliseconds() + since
}

// compareEntries orders entries by key, then by start of the wait, then by ID.
func compareEntries(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.orderKey, b.orderKey),
		a.WaitingSince.Compare(b.WaitingSince),
		cmp.Compare(a.ID, b.ID),
	)
}

// merge merges new entries into sorted and deletes removed ones. It does nothing if
// there are no new entries and at most half of the sorted ones are removed.
func (q *Queue) merge() {
	if len(q.unmerged) == 0 && q.removed*2 <= len(q.sorted) {
		return
	}
	isRemoved := func(e *entry) bool { return e.removed }
	q.unmerged = slices.DeleteFunc(q.unmerged, isRemoved)
	slices.SortFunc(q.unmerged, compareEntries)
	merged := make([]*entry, 0, len(q.byID))
	i, j := 0, 0
	for i < len(q.sorted) || j < len(q.unmerged) {
		switch {
		case i < len(q.sorted) && q.sorted[i].removed:
			i++
		case j == len(q.unmerged) || i < len(q.sorted) && compareEntries(q.sorted[i], q.unmerged[j]) < 0:
			merged = append(merged, q.sorted[i])
			i++
		default:
			merged = append(merged, q.unmerged[j])
			j++
		}
	}
	q.sorted, q.unmerged, q.removed = merged, nil, 0
}
