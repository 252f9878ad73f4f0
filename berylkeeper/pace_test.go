package berylkeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylexecutor"
)

// startSome confirms the starts of n further tasks at the given pace, answers listing calls
// with l, and returns the number of listing calls.
func startSome(now time.Time, k *Keeper, tasks []string, pace time.Duration, l berylexecutor.Listing) int {
	listings := 0
	for _, t := range tasks {
		now = now.Add(pace)
		k.Orders(now, orders(now, k, []string{t}, nil))
		for range 2 {
			for _, c := range k.Calls(now) {
				o := Outcome{Call: c.Call, Seq: c.Seq}
				if r, ok := c.Call.(berylexecutor.RenewCall); ok {
					listings++
					if r.Wait > 0 {
						// It is answered later.
						continue
					}
					l.Clock++
					o.Listing = l
				}
				k.Outcome(now, o)
			}
		}
	}
	return listings
}

// Guards against an agent that decodes a listing of thousands of runs for each of thousands
// of starts, so that the starts and stops of other jobs wait for it (review/13).
func TestLongListingsArePaced(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	tasks := taskNames(2200)
	startAll(now, k, tasks[:2000])
	now = now.Add(time.Second)
	l := k.listing
	answerListings(now, k, l)
	n := startSome(now, k, tasks[2000:], time.Millisecond, l)
	is.True(n > 0)
	// 200 starts in 200 ms. The pause after a listing of 2000 rows is 38 ms.
	is.True(n <= 7)
}

// Guards against a short listing that is delayed: an end or a stop would be seen later.
func TestShortListingsAreNotPaced(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	tasks := taskNames(_freeRows + 50)
	startAll(now, k, tasks[:_freeRows])
	is.Equal(k.ListingPause(), time.Duration(0))
	n := startSome(now, k, tasks[_freeRows:], time.Millisecond, k.listing)
	is.True(n >= 50)
}

// Guards against a delayed listing that nothing asks for again: a run that was stopped would
// count as present until another event.
func TestDelayedListingIsDue(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	is.Equal(k.Paused(now), time.Duration(0))
	tasks := taskNames(2000)
	startAll(now, k, tasks)
	l := k.listing
	now = now.Add(time.Second)
	answerListings(now, k, l)
	k.relist = true
	is.Equal(len(k.Calls(now)), 0)
	pause := k.Paused(now)
	is.True(pause > 0)
	is.True(pause <= k.ListingPause())
	now = now.Add(pause)
	is.True(len(callsOf[berylexecutor.RenewCall](k.Calls(now))) > 0)
	is.Equal(k.Paused(now), time.Duration(0))
}
