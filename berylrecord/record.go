// Package berylrecord defines the records in the platform's log and their JSON
// encoding.
//
// A [Record] is an envelope with a unique id around one [Body]. The body types
// are a closed set, over which readers use type switches. Readers drop records
// with an id that they have already read, since a writer that received no reply
// may have appended a record twice.
package berylrecord

import (
	"encoding/json"

	"github.com/oklog/ulid/v2"

	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/beryljob"
)

// Streams of the platform's log.
const (
	// StreamConfig holds Change and Snapshot records.
	StreamConfig = "config"
	// StreamControl holds Claim, Renewal, Handover, JobState and Cancel records.
	StreamControl = "control"
	// StreamCalls holds Intent records.
	StreamCalls = "calls"
)

// Record is one record of a stream.
type Record struct {
	// ID is unique; a second record with the same ID has no effect.
	ID string
	// Base is the offset up to which the writer had read the stream.
	Base int64
	// Body is the content of the record.
	Body Body
}

// New returns a record with a new id.
func New(base int64, body Body) Record {
	return Record{ID: ulid.Make().String(), Base: base, Body: body}
}

// Body is one of Claim, Renewal, Handover, JobState, Cancel, Intent, Change and
// Snapshot.
type Body interface {
	isBody()
}

// Claim requests the leadership for a term.
type Claim struct {
	// Term is higher than any term that the writer had read.
	Term int64 `json:"term"`
	// By is the unique name of the claiming process.
	By string `json:"by"`
	// Addr is its address for the other processes of the system.
	Addr string `json:"addr"`
}

// Renewal renews the lease of the leader of a term. It repeats the leader's data,
// as the log may have dropped the claim.
type Renewal struct {
	Term int64 `json:"term"`
	Lead
}

// Handover ends a term before the lease expires.
type Handover struct {
	Term int64 `json:"term"`
	Lead
}

// Lead describes the leader of a term.
type Lead struct {
	// By and Addr are the leader's name and address from its valid claim.
	By   string `json:"by,omitempty"`
	Addr string `json:"addr,omitempty"`
	// Since is the offset of that claim.
	Since int64 `json:"since,omitempty"`
}

// JobState is the complete state of a job. With Term zero it submits a new job and
// is valid only if the job id is not known. Otherwise it is valid only if Term is
// the current term at its offset.
type JobState struct {
	Term  int64          `json:"term,omitempty"`
	State beryljob.State `json:"state"`
}

// Cancel requests the cancellation of a job.
type Cancel struct {
	Job string `json:"job"`
	By  string `json:"by"`
}

// Intent binds the idempotency key of a call to one call id. It is valid only if
// Prev is the call id of the key's current valid intent, or empty if there is
// none.
type Intent struct {
	Key     string `json:"key"`
	Account string `json:"account"`
	Sum     string `json:"sum"`
	Call    string `json:"call"`
	Prev    string `json:"prev,omitempty"`
}

// Change is a configuration change published by an operator. It is accepted only
// if none of its keys was changed after the record's Base.
type Change struct {
	By  string                     `json:"by"`
	Set map[string]json.RawMessage `json:"set"`
}

// Snapshot is the complete configuration as of an offset.
type Snapshot struct {
	Upto   int64              `json:"upto"`
	Config berylconfig.Config `json:"config"`
	// Changed has the offset of the last accepted change of each key.
	Changed map[string]int64 `json:"changed"`
}

func (Claim) isBody()    {}
func (Renewal) isBody()  {}
func (Handover) isBody() {}
func (JobState) isBody() {}
func (Cancel) isBody()   {}
func (Intent) isBody()   {}
func (Change) isBody()   {}
func (Snapshot) isBody() {}

// envelope is the JSON form of a record.
type envelope struct {
	ID   string          `json:"id"`
	Base int64           `json:"base"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// Encode returns the JSON form of r.
func Encode(r Record) ([]byte, error) {
	kind, err := kindOf(r.Body)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(r.Body)
	if err != nil {
		return nil, berylerror.Internal.Wrap(err, "encode record")
	}
	data, err := json.Marshal(envelope{ID: r.ID, Base: r.Base, Kind: kind, Body: body})
	if err != nil {
		return nil, berylerror.Internal.Wrap(err, "encode record")
	}
	return data, nil
}

func kindOf(b Body) (string, error) {
	switch b.(type) {
	case Claim:
		return "claim", nil
	case Renewal:
		return "renewal", nil
	case Handover:
		return "handover", nil
	case JobState:
		return "job", nil
	case Cancel:
		return "cancel", nil
	case Intent:
		return "intent", nil
	case Change:
		return "change", nil
	case Snapshot:
		return "snapshot", nil
	default:
		return "", berylerror.Internal.Errorf("record body %T has no kind", b)
	}
}

// Decode parses the JSON form of a record. Operators may write to the log with
// programs of their own, so the input can be any bytes.
func Decode(data []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Record{}, berylerror.Invalid.Wrap(err, "decode record")
	}
	if e.ID == "" {
		return Record{}, berylerror.Invalid.Errorf("record has no id")
	}
	body, err := decodeBody(e.Kind, e.Body)
	if err != nil {
		return Record{}, err
	}
	return Record{ID: e.ID, Base: e.Base, Body: body}, nil
}

func decodeBody(kind string, data json.RawMessage) (Body, error) {
	switch kind {
	case "claim":
		return decode[Claim](data)
	case "renewal":
		return decode[Renewal](data)
	case "handover":
		return decode[Handover](data)
	case "job":
		return decode[JobState](data)
	case "cancel":
		return decode[Cancel](data)
	case "intent":
		return decode[Intent](data)
	case "change":
		return decode[Change](data)
	case "snapshot":
		return decode[Snapshot](data)
	default:
		return nil, berylerror.Invalid.Errorf("record kind %q is not known", kind)
	}
}

func decode[B Body](data json.RawMessage) (Body, error) {
	var b B
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, berylerror.Invalid.Wrap(err, "decode record body")
	}
	return b, nil
}
