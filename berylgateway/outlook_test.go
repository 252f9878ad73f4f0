package berylgateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The leader of two entries is lost. Guards against an entry that never gets the summary of
// the load, and against one that rejects jobs by the summary of a deposed leader.
func TestOutlookComesWithRecords(t *testing.T) {
	is := is.New(t)
	entries := startEntries(t, newMemory(), 2)
	lead := leader(entries)
	follower := entries[0]
	if follower == lead {
		follower = entries[1]
	}
	n := 0
	hasOutlook := func() bool {
		n++
		follower.Intake.Serve(t.Context(), submit("j"+strconv.Itoa(n)))
		o, age := follower.currentOutlook(time.Now())
		return o != nil && age < time.Second && o.Epoch == follower.View.Claim().Epoch
	}
	await(t, 3*time.Second, "a summary", hasOutlook)
	lead.Close()
	await(t, 5*time.Second, "another leader", follower.Leading)
	o, _ := follower.currentOutlook(time.Now())
	is.True(o == nil || o.Epoch == follower.View.Claim().Epoch)
}
