package berylbook

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"berylglade/berylstore"
	"berylglade/berylwork"
)

// Submission records an accepted job.
type Submission struct {
	Work berylwork.Work `cbor:"w"`
}

// Cancel records that a client cancelled a job.
type Cancel struct {
	At int64 `cbor:"a"`
}

// Progress records the state of one job.
type Progress struct {
	// Epoch is the epoch of the leader that wrote the record.
	Epoch   int64 `cbor:"e"`
	State   State `cbor:"s,omitempty"`
	EndedAt int64 `cbor:"n,omitempty"`
	// Separate means that the tasks have records of their own.
	Separate bool `cbor:"k,omitempty"`
	// Tasks are those of a record of an earlier version, which had all tasks. In a
	// final state without Tasks and without Separate, no run exists.
	Tasks [][][]Task `cbor:"t,omitempty"`
}

// Claim records which process leads. A claim with a lower epoch than the newest
// one is ignored.
type Claim struct {
	Epoch int64  `cbor:"e"`
	Node  string `cbor:"n"`
	// Boot distinguishes processes on the same VM.
	Boot int64 `cbor:"b"`
	// Addr is the leader's address for messages from other berylglade processes.
	Addr string `cbor:"a"`
	// Resigned means that the leader has stopped leading.
	Resigned bool `cbor:"x,omitempty"`
}

// RunTimes records what the leader has learned about run times. It is not needed for any
// rule; builds that do not know its key ignore it.
type RunTimes struct {
	// Epoch is the epoch of the leader that wrote the record.
	Epoch int64 `cbor:"e"`
	// Data is encoded by berylestimator.
	Data []byte `cbor:"d"`
}

// Record returns the record of the run times.
func (t *RunTimes) Record() (berylstore.Record, error) { return record(_runTimesKey, t) }

// Record returns the record of the submission.
func (s *Submission) Record() (berylstore.Record, error) {
	return record(_submissionPrefix+s.Work.ID, s)
}

// Record returns the record that cancels the given job.
func (c *Cancel) Record(id string) (berylstore.Record, error) { return record(_cancelPrefix+id, c) }

// Record returns the record of the claim.
func (c *Claim) Record() (berylstore.Record, error) { return record(_leaderKey, c) }

// Tombstones returns the records that delete a job, but for those of its tasks. They belong
// into one append, after those of the tasks.
func (j *Job) Tombstones() []berylstore.Record {
	id := j.Work.ID
	records := make([]berylstore.Record, 0, 3+j.parts)
	for i := range j.parts {
		records = append(records, berylstore.Record{Key: partKey(id, i)})
	}
	for _, prefix := range []string{_submissionPrefix, _cancelPrefix, _progressPrefix} {
		records = append(records, berylstore.Record{Key: prefix + id})
	}
	return records
}

// JobOf returns the id of the job that r submits, in whole or in part; empty if it is
// another record.
func JobOf(r berylstore.Record) string {
	if id, ok := strings.CutPrefix(r.Key, _submissionPrefix); ok {
		return id
	}
	if id, ok := strings.CutPrefix(r.Key, _partPrefix); ok {
		id, _, _ = strings.Cut(id, ".")
		return id
	}
	return ""
}

// TaskTombstones returns records that delete tasks of a quiescent job that the topic still
// has, because its leader was deposed before it deleted them. They are at most limit; more
// is true if others have to follow. The job is without these tasks afterwards.
func (j *Job) TaskTombstones(limit int) (records []berylstore.Record, more bool) {
	j.Each(func(ref berylwork.Ref, t *Task) {
		switch {
		case *t == (Task{}):
		case len(records) >= limit:
			more = true
		default:
			records = append(records, berylstore.Record{Key: _taskPrefix + ref.String()})
			*t = Task{}
		}
	})
	return records, more
}

func record(key string, v any) (berylstore.Record, error) {
	value, err := cbor.Marshal(v)
	return berylstore.Record{Key: key, Value: value}, err
}

// IsProgress reports whether r records the progress of a job or of a task.
func IsProgress(r berylstore.Record) bool {
	return strings.HasPrefix(r.Key, _progressPrefix) || strings.HasPrefix(r.Key, _taskPrefix)
}

// IsClaim reports whether r records a claim to leadership.
func IsClaim(r berylstore.Record) bool { return r.Key == _leaderKey }
