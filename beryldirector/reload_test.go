package beryldirector

import (
	"testing"
	"time"

	"berylglade/berylstore"
)

// An event panics while a claim is under way, so that the director is replaced by one that
// has not read the jobs yet. Guards against an entry that leads without knowing a job: it
// would stop all work and acknowledge ends that it has not recorded.
func TestClaimBeforeReloadDoesNotLead(t *testing.T) {
	h := newHarness(t)
	h.submit("j1", "routine", step(1, 1))
	d := New(h.d.Self, testLimits())
	d.Policy = testPolicy()
	d.Deposed()
	c := h.d.Book.Claim
	c.Epoch++
	r, err := c.Record()
	h.is.NoErr(err)
	d.ApplyRecords(h.now, []berylstore.Record{r}, h.topicEnd+1)
	h.is.True(!d.Leading())
	book := h.d.Book
	book.Apply(r)
	d.Restore(h.now, book, h.topicEnd+1)
	d.Effects()
	claimed := false
	for range 60 {
		h.now = h.now.Add(50 * time.Millisecond)
		d.ApplyRecords(h.now, nil, h.topicEnd+1)
		d.Step(h.now)
		for _, e := range d.Effects() {
			if e, ok := e.(Claim); ok {
				claimed = true
				h.is.Equal(e.Claim.Epoch, c.Epoch+1)
			}
		}
	}
	h.is.True(claimed)
}
