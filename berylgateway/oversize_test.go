package berylgateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylerror"
	"berylglade/berylintake"
	"berylglade/berylstore"
)

// largeSubmission returns a request with a spec of the given size.
func largeSubmission(id string, size int) berylintake.Request {
	r := submit(id)
	r.Work.Spec = strings.Repeat("x", size)
	return r
}

// serveWithin serves a request until it is not answered with an unknown outcome.
func serveWithin(t *testing.T, limit time.Duration, e *testEntry, r berylintake.Request) berylintake.Reply {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	for {
		try, stop := context.WithTimeout(ctx, 3*time.Second)
		reply := e.Intake.Serve(try, r)
		stop()
		if (reply.Kind != berylerror.Unknown && reply.Kind != berylerror.NotRun) || ctx.Err() != nil {
			return reply
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A client submits a job whose record is larger than one record of the store may be. Guards
// against a job of legal size that is refused, or not known at each entry.
func TestJobLargerThanARecordIsAccepted(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	m.limits = berylstore.Limits{Record: 16 << 10, Call: 128 << 10}
	m.real = m.limits
	entries := startEntries(t, m, 2)
	for i, e := range entries {
		id := "j" + string(rune('0'+i))
		is.Equal(serveWithin(t, 10*time.Second, e, largeSubmission(id, 40_000)), berylintake.Reply{})
		for _, other := range entries {
			await(t, 2*time.Second, "the job at each entry", func() bool { return other.View.Job(id).Known })
		}
	}
	// An entry that reads the newest records of the topic knows the jobs too.
	var book berylbook.Book
	for _, r := range m.records {
		book.Apply(r)
	}
	is.Equal(len(book.Jobs), 2)
	is.Equal(serveWithin(t, 5*time.Second, entries[0], largeSubmission("j9", 200_000)).Kind, berylerror.Oversize)
}

// The store refuses a record for its size, which its settings don't say. Guards against an
// append that is repeated for ever: no entry accepted a job or answered for one any more.
func TestRefusedRecordHoldsUpNoOthers(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	m.real = berylstore.Limits{Record: 16 << 10, Call: 2 << 20}
	entries := startEntries(t, m, 2)
	is.Equal(serveWithin(t, 10*time.Second, entries[0], submit("j1")), berylintake.Reply{})
	for i, e := range entries {
		is.Equal(serveWithin(t, 10*time.Second, e, largeSubmission("large"+string(rune('0'+i)), 40_000)).Kind, berylerror.Oversize)
	}
	for i, e := range entries {
		is.Equal(serveWithin(t, 10*time.Second, e, submit("k"+string(rune('0'+i)))), berylintake.Reply{})
		is.Equal(serveWithin(t, 10*time.Second, e, berylintake.Request{Verb: berylintake.State, ID: "j1"}).Kind, berylerror.Kind(0))
	}
}
