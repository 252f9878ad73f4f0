package berylbook

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"berylglade/berylstore"
	"berylglade/berylwork"
)

func records(is *is.I) []berylstore.Record {
	work := berylwork.Work{ID: "j1", Queue: "q", Account: "a", Steps: []berylwork.Step{{Count: 2}}, Times: 2}
	j := NewJob(&work)
	first, err := (&Submission{Work: work}).Record()
	is.NoErr(err)
	j.Tasks[0][0][1] = Task{Run: 3, Phase: Working, Incarnation: Incarnation{Node: "n", Instance: "i", StartedAt: 4}, Failures: 1, Checkpoint: "s"}
	second, err := j.Record(7)
	is.NoErr(err)
	j.Tasks[0][0][1].Phase = Done
	third, err := j.Record(7)
	is.NoErr(err)
	cancel, err := (&Cancel{At: 9}).Record("j1")
	is.NoErr(err)
	claim, err := (&Claim{Epoch: 7, Node: "e"}).Record()
	is.NoErr(err)
	return []berylstore.Record{first, second, third, cancel, claim}
}

// Guards against a state that depends on how the records are read: the newest
// record of each key, in any order as after a restart, must give the same state
// as the whole log.
func TestNewestRecordsSuffice(t *testing.T) {
	is := is.New(t)
	var all Book
	for _, r := range records(is) {
		all.Apply(r)
	}
	newest := slices.Delete(records(is), 1, 2)
	for range 20 {
		rand.Shuffle(len(newest), func(i, j int) { newest[i], newest[j] = newest[j], newest[i] })
		var some Book
		for _, r := range newest {
			some.Apply(r)
		}
		is.Equal(some.Jobs["j1"].Tasks, all.Jobs["j1"].Tasks)
		is.Equal(some.Jobs["j1"].ClientState(), Cancelled)
		is.Equal(some.Claim, all.Claim)
	}
}

// Guards against a repeated submission that resets its job, and against a job
// that remains after its tombstones.
func TestSubmissionIsAppliedOnceAndRemovable(t *testing.T) {
	is := is.New(t)
	var b Book
	list := records(is)
	for _, r := range list[:2] {
		b.Apply(r)
	}
	b.Apply(list[0])
	is.Equal(b.Jobs["j1"].Tasks[0][0][1].Run, 3)
	is.Equal(len(b.Sorted()), 1)
	for _, r := range Tombstones("j1") {
		b.Apply(r)
	}
	is.Equal(len(b.Jobs), 0)
	is.Equal(len(b.Sorted()), 0)
}

// Guards against an undecodable record of another writer that corrupts the
// state.
func TestUndecodableRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	var b Book
	list := records(is)
	b.Apply(list[0])
	for _, key := range []string{"j/j1", "s/j1", "c/j1", "leader", "other"} {
		b.Apply(berylstore.Record{Key: key, Value: []byte{0xff, 0x00}})
	}
	is.Equal(b.Undecodable, 3)
	is.Equal(b.Jobs["j1"].ClientState(), Pending)
}

// Guards against counting jobs as waiting that have started, were cancelled or
// are scheduled.
func TestWaitingCountsUnstartedJobs(t *testing.T) {
	is := is.New(t)
	var b Book
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		w := berylwork.Work{ID: id, Queue: "q", Steps: []berylwork.Step{{Count: 1}}}
		if id == "j4" {
			w.Times = 3
		}
		r, err := (&Submission{Work: w}).Record()
		is.NoErr(err)
		b.Apply(r)
	}
	is.Equal(b.Waiting("q"), 3)
	b.Jobs["j1"].Tasks[0][0][0].Run = 1
	b.Jobs["j2"].CancelledAt = 5
	is.Equal(b.Waiting("q"), 1)
	is.Equal(b.Waiting("other"), 0)
}
