// Package beryllog has the port to the platform's append-only log and its HTTP
// client.
package beryllog

import (
	"context"
	"time"
)

// Log is the platform's log. Offsets of a stream start at one and grow by one
// with each record.
type Log interface {
	// Append adds records to a stream, together and in order, and returns the
	// offset of the first. After an error of kind unknown the records may have
	// been added all the same.
	Append(ctx context.Context, stream string, records ...[]byte) (int64, error)
	// Read returns records from an offset on. If there is none yet it waits up
	// to the given time for one.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}

// Batch is what one read returned.
type Batch struct {
	// First is the offset of the first record that the log still keeps, or
	// Next if it keeps none. If it is above the requested offset, the records
	// between have been dropped.
	First int64 `json:"first"`
	// Next is the offset that the next append to the stream will get, at the
	// time of the read.
	Next int64 `json:"next"`
	// Entries are in order and without gaps.
	Entries []Entry `json:"entries"`
}

// Entry is one record with its offset.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}
