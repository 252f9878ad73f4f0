// Package berylstore is the interface to the store of the users' platform: an
// append-only log whose keyed topics retain the newest record of each key
// indefinitely.
package berylstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Record is a keyed record. A nil value is a tombstone.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Append appends records to partition zero of a keyed topic, all or none.
type Append struct {
	Topic   string
	Records []Record
	// Producer, Epoch and Seq make a repeated append idempotent and fence
	// producers with a lower epoch.
	Producer string
	Epoch    int64
	Seq      int64
	// ExpectedEnd is the offset at which the topic must end; negative means any.
	ExpectedEnd int64
}

// Read is the reply to a read from an offset.
type Read struct {
	Records []Record
	// End is the offset after the newest record at the time of the reply.
	End int64
	// Next is the offset after the last record of this reply.
	Next int64
}

// Page is one page of the newest records, in the order of keys.
type Page struct {
	Records []Record
	// More is true if another page follows after the last key.
	More bool
	End  int64
}

// Definite errors of the store. After any other error it is unknown whether an
// append takes effect.
var (
	// ErrFenced means that a higher epoch of the producer has been seen.
	ErrFenced = errors.New("producer fenced by a higher epoch")
	// ErrEndMismatch means that the topic does not end at Append.ExpectedEnd.
	ErrEndMismatch = errors.New("topic does not end at the expected offset")
	// ErrSequence means that the sequence number does not follow the last one.
	ErrSequence = errors.New("sequence number does not follow the last one")
	// ErrGone means that records at the offset have been deleted.
	ErrGone = errors.New("records at the offset were deleted")
	// ErrRejected means that the store rejected the call and did nothing. The same call
	// may succeed later.
	ErrRejected = errors.New("store rejected the call")
	// ErrInvalid means that the store refused the call because of its content and did
	// nothing. The same call is always refused.
	ErrInvalid = errors.New("store refuses the content of the call")
)

// Outcome is what is known of an append after a call.
type Outcome uint8

const (
	// Appended means that the records are in the topic.
	Appended Outcome = iota + 1
	// Rejected means that this call did nothing, and a repetition may succeed.
	Rejected
	// Refused means that this call did nothing, and neither does a repetition.
	Refused
	// Superseded means that the producer's epoch or sequence number is not that of the
	// store any more. A repetition gets the same answer.
	Superseded
	// Unanswered means that the call may have taken effect, or may do so later.
	Unanswered
)

// OutcomeOf returns the outcome of an append that returned err.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Appended
	case errors.Is(err, ErrRejected):
		return Rejected
	case errors.Is(err, ErrInvalid), errors.Is(err, ErrEndMismatch):
		return Refused
	case errors.Is(err, ErrFenced), errors.Is(err, ErrSequence):
		return Superseded
	default:
		return Unanswered
	}
}

// Final reports whether the outcome stays the same however often the call is repeated.
func (o Outcome) Final() bool { return o == Appended || o == Refused || o == Superseded }

// Store is the platform's store. Implementations are safe for concurrent use.
type Store interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, a Append) (int64, error)
	// Read waits up to wait for a record at or after from.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Read, error)
	// Newest returns a page of the newest records whose keys follow after.
	Newest(ctx context.Context, topic, after string) (Page, error)
	// Limits returns the sizes that the store accepts.
	Limits() Limits
}
