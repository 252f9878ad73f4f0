// Package berylqueue orders waiting jobs by slack.
//
// Slack is deadline − now − run time, less a part of the time already waited.
// As every item's slack falls at the same rate, the order of two items never
// changes, so the queue keeps a fixed key for each and sorts once.
package berylqueue

import (
	"cmp"
	"slices"
	"time"
)

// BestEffortDeadline is the deadline, counted from acceptance, that ageing gives to work
// without a target.
const BestEffortDeadline = 12 * time.Hour

// Item is a waiting job.
type Item struct {
	// ID is unique in the queue.
	ID string
	// Deadline is the latest end, or the latest start if Run is zero. The zero
	// time means best effort.
	Deadline time.Time
	// RunTime is the expected run time.
	RunTime time.Duration
	// WaitingSince is when the wait began.
	WaitingSince time.Time
}

// Queue is an ordered set of items. The zero value is an empty queue with
// ageing.
type Queue struct {
	// NoAgeing turns ageing off: best-effort work then follows all other work.
	NoAgeing bool

	byID   map[string]*entry
	sorted []*entry
	// fresh are entries that have not been merged into sorted.
	fresh []*entry
	// dead counts removed entries that are still in sorted or fresh.
	dead int
}

type entry struct {
	Item
	key  int64
	gone bool
}

// Put adds an item or replaces the item of the same id.
func (q *Queue) Put(it Item) {
	if q.byID == nil {
		q.byID = map[string]*entry{}
	}
	q.Remove(it.ID)
	e := &entry{Item: it, key: q.key(it)}
	q.byID[it.ID] = e
	q.fresh = append(q.fresh, e)
}

// Remove takes an item out in constant time and reports whether it was there.
func (q *Queue) Remove(id string) bool {
	e, ok := q.byID[id]
	if !ok {
		return false
	}
	e.gone = true
	q.dead++
	delete(q.byID, id)
	return true
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.byID) }

// Has reports whether an item waits.
func (q *Queue) Has(id string) bool {
	_, ok := q.byID[id]
	return ok
}

// Walk calls f for each item, least slack first, until f returns false. f may
// remove items and put new ones; new ones are not visited in this walk.
func (q *Queue) Walk(f func(Item) bool) {
	q.settle()
	for _, e := range q.sorted {
		if e.gone {
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

// key is the part of the aged slack that does not depend on the time. With
// slack(now) = deadline − run − now − (now − since) the part is
// deadline − run + since. It counts in milliseconds so that the sum of two
// times does not overflow.
func (q *Queue) key(it Item) int64 {
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

func compare(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.key, b.key),
		a.WaitingSince.Compare(b.WaitingSince),
		cmp.Compare(a.ID, b.ID),
	)
}

// settle merges fresh entries and drops removed ones once they are many.
func (q *Queue) settle() {
	if len(q.fresh) == 0 && q.dead*2 <= len(q.sorted) {
		return
	}
	live := func(e *entry) bool { return e.gone }
	q.fresh = slices.DeleteFunc(q.fresh, live)
	slices.SortFunc(q.fresh, compare)
	merged := make([]*entry, 0, len(q.byID))
	i, j := 0, 0
	for i < len(q.sorted) || j < len(q.fresh) {
		switch {
		case i < len(q.sorted) && q.sorted[i].gone:
			i++
		case j == len(q.fresh) || i < len(q.sorted) && compare(q.sorted[i], q.fresh[j]) < 0:
			merged = append(merged, q.sorted[i])
			i++
		default:
			merged = append(merged, q.fresh[j])
			j++
		}
	}
	q.sorted, q.fresh, q.dead = merged, nil, 0
}
