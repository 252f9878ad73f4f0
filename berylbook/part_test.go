package berylbook

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylglade/berylerror"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

func smallLimits() berylstore.Limits { return berylstore.Limits{Record: 4096, Call: 32 << 10} }

// largeSubmission returns the record of a submission with a spec of the given size.
func largeSubmission(is *is.I, id string, size int, accepted int64) berylstore.Record {
	spec := strings.Repeat("x", size)
	r, err := (&Submission{Work: berylwork.Work{ID: id, Spec: spec, Steps: []berylwork.Step{{Count: 1}}, Accepted: accepted}}).Record()
	is.NoErr(err)
	return r
}

// Guards against a submission of legal size that the store can't take, against a job that
// depends on the order in which its parts are read, and against parts of an earlier
// submission of the job, with another number of parts, that are mixed with them.
func TestLargeSubmissionIsSplit(t *testing.T) {
	limits := smallLimits()
	for seed := range uint64(50) {
		is := is.New(t)
		earlier, err := Split(largeSubmission(is, "j1", 12_000, 5), limits)
		is.NoErr(err)
		whole := largeSubmission(is, "j1", 9000, 6)
		parts, err := Split(whole, limits)
		is.NoErr(err)
		is.True(len(parts) > 1 && len(earlier) > len(parts))
		is.True(limits.AcceptsCall(parts))
		// The newest record of each key: the rest of the earlier submission stays.
		newest := slices.Concat(parts, earlier[len(parts):])
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(newest), func(a, b int) { newest[a], newest[b] = newest[b], newest[a] })
		var b, want Book
		for _, r := range newest {
			b.Apply(r)
		}
		want.Apply(whole)
		is.Equal(b.Jobs["j1"].Work, want.Jobs["j1"].Work)
		// Nothing of it is left in the topic after its removal.
		removed := map[string]bool{}
		for _, r := range b.Jobs["j1"].Tombstones() {
			removed[r.Key] = true
			b.Apply(r)
		}
		is.Equal(len(b.Jobs), 0)
		for _, r := range newest {
			is.True(removed[r.Key])
		}
	}
}

// Guards against a record that is queued although no append can hold it, and against a small
// one in another form than earlier builds read.
func TestSplitKeepsToTheLimits(t *testing.T) {
	is := is.New(t)
	small := largeSubmission(is, "j1", 100, 5)
	records, err := Split(small, smallLimits())
	is.NoErr(err)
	is.Equal(records, []berylstore.Record{small})
	_, err = Split(largeSubmission(is, "j1", 40<<10, 5), smallLimits())
	is.Equal(berylerror.Of(err), berylerror.Oversize)
	_, err = Split(berylstore.Record{Key: "c/j1", Value: make([]byte, 5000)}, smallLimits())
	is.Equal(berylerror.Of(err), berylerror.Oversize)
}

// Guards against a checkpoint that makes the record of its task larger than the store
// accepts: the job could never be recorded again.
func TestCheckpointThatNoRecordHolds(t *testing.T) {
	is := is.New(t)
	j := NewJob(&berylwork.Work{ID: "j1", Steps: []berylwork.Step{{Count: 1}}})
	*j.At(0, 0, 0) = workingTask()
	j.At(0, 0, 0).Checkpoint = strings.Repeat("x", 5000)
	list, _, err := j.Changes(1, &Recorded{}, Room{Records: 10, Bytes: 32 << 10, Limits: smallLimits()})
	is.NoErr(err)
	is.True(len(list) > 0)
	is.True(smallLimits().AcceptsCall(list))
}
