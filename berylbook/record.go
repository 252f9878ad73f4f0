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

// Progress records the complete progress of one job.
type Progress struct {
	// Epoch is the epoch of the leader that wrote the record.
	Epoch   int64      `cbor:"e"`
	State   State      `cbor:"s,omitempty"`
	EndedAt int64      `cbor:"n,omitempty"`
	Tasks   [][][]Task `cbor:"t,omitempty"`
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

// Record returns the record of the submission.
func (s *Submission) Record() (berylstore.Record, error) {
	return record(_submissionPrefix+s.Work.ID, s)
}

// Record returns the record that cancels the given job.
func (c *Cancel) Record(id string) (berylstore.Record, error) { return record(_cancelPrefix+id, c) }

// Record returns the record of the claim.
func (c *Claim) Record() (berylstore.Record, error) { return record(_leaderKey, c) }

// Record returns the record of the job's progress, written under epoch. Once
// the job is final and has no active run, the record omits the tasks.
func (j *Job) Record(epoch int64) (berylstore.Record, error) {
	p := Progress{Epoch: epoch, State: j.State, EndedAt: j.EndedAt}
	if !j.State.Final() || j.Active() {
		p.Tasks = j.Tasks
	}
	return record(_progressPrefix+j.Work.ID, &p)
}

// Tombstones returns the records that delete a job.
func Tombstones(id string) []berylstore.Record {
	return []berylstore.Record{{Key: _submissionPrefix + id}, {Key: _cancelPrefix + id}, {Key: _progressPrefix + id}}
}

func record(key string, v any) (berylstore.Record, error) {
	value, err := cbor.Marshal(v)
	return berylstore.Record{Key: key, Value: value}, err
}

// IsProgress reports whether r records the progress of a job.
func IsProgress(r berylstore.Record) bool { return strings.HasPrefix(r.Key, _progressPrefix) }

// IsClaim reports whether r records a claim to leadership.
func IsClaim(r berylstore.Record) bool { return r.Key == _leaderKey }
