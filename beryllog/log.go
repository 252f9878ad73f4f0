// Package beryllog has the interface to the platform's append-only log and its HTTP
// client. It belongs to the system's own interface; its counterpart on the users'
// platform is berylstore.
package beryllog

import (
	"context"
	"time"
)

// Log is the platform's log. The offsets of a stream start at one and increase by
// one with each record.
type Log interface {
	// Append adds records to a stream, together and in order, and returns the
	// offset of the first. After an error of kind unknown the records may still
	// have been added or be added later.
	Append(ctx context.Context, stream string, records ...[]byte) (int64, error)
	// Read returns the records from an offset on. If there are none yet, it waits
	// up to the given time for one.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}

// Batch is the result of one read.
type Batch struct {
	// First is the offset of the first record that the log still has, or Next if
	// it has none. If it is above the requested offset, the records in between
	// have been dropped.
	First int64 `json:"first"`
	// Next is the offset that the next append to the stream will get, at the
	// time of the read.
	Next int64 `json:"next"`
	// Entries are in order of offset and without gaps.
	Entries []Entry `json:"entries"`
}

// Entry is one record with its offset.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}
