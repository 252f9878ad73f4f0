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

// Progress records the whole progress of one job.
type Progress struct {
	// Epoch is that of the leader that wrote it.
	Epoch int64      `cbor:"e"`
	State State      `cbor:"s,omitempty"`
	EndedAt int64      `cbor:"n,omitempty"`
	Tasks [][][]Task `cbor:"t,omitempty"`
}

// Claim records who leads. A higher epoch replaces a lower one.
type Claim struct {
	Epoch int64  `cbor:"e"`
	Node  string `cbor:"n"`
	// Boot tells processes on the same VM apart.
	Boot int64 `cbor:"b"`
	// Addr takes messages of our own processes.
	Addr string `cbor:"a"`
	// Resigned means that the leader has stopped leading.
	Resigned bool `cbor:"x,omitempty"`
}

// Record returns the record of a submission.
func (s *Submission) Record() (berylstore.Record, error) { return record(_submission+s.Work.ID, s) }

// Record returns the record of a cancel of the given job.
func (c *Cancel) Record(id string) (berylstore.Record, error) { return record(_cancel+id, c) }

// Record returns the record of the claim.
func (c *Claim) Record() (berylstore.Record, error) { return record(_leader, c) }

// Record returns the record of the job's progress, written under epoch.
func (j *Job) Record(epoch int64) (berylstore.Record, error) {
	p := Progress{Epoch: epoch, State: j.State, EndedAt: j.EndedAt}
	if !j.State.Final() || j.Active() {
		p.Tasks = j.Tasks
	}
	return record(_progress+j.Work.ID, &p)
}

// Tombstones returns the records that remove a job.
func Tombstones(id string) []berylstore.Record {
	return []berylstore.Record{{Key: _submission + id}, {Key: _cancel + id}, {Key: _progress + id}}
}

func record(key string, v any) (berylstore.Record, error) {
	value, err := cbor.Marshal(v)
	return berylstore.Record{Key: key, Value: value}, err
}

// IsProgress reports whether r is a record of a job's progress.
func IsProgress(r berylstore.Record) bool { return strings.HasPrefix(r.Key, _progress) }

// IsClaim reports whether r is a record of a claim.
func IsClaim(r berylstore.Record) bool { return r.Key == _leader }
