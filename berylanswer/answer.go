// Package berylanswer contains answers to calls. An answer carries the id,
// length and checksum with which each receiver verifies that it is complete and
// belongs to the expected call.
package berylanswer

import (
	"github.com/cespare/xxhash/v2"

	"berylglade/berylerror"
)

// Answer is the result of one call.
type Answer struct {
	// ID is the id of the call that was answered.
	ID string `cbor:"i"`
	// Account is the client account that owns the call.
	Account string `cbor:"a"`
	// Status is the HTTP status returned by the backend server.
	Status int `cbor:"s"`
	// Length is the size of the complete body in bytes.
	Length int `cbor:"l"`
	// Sum is the xxHash64 of the complete body.
	Sum uint64 `cbor:"x"`
	// Body is complete only if Length and Sum match.
	Body []byte `cbor:"y"`
}

// New returns an answer with the length and checksum of its body.
func New(id, account string, status int, body []byte) Answer {
	return Answer{
		ID:      id,
		Account: account,
		Status:  status,
		Length:  len(body),
		Sum:     xxhash.Sum64(body),
		Body:    body,
	}
}

// Check returns an error unless the answer is complete and belongs to the call.
func (a *Answer) Check(id, account string) error {
	switch {
	case a.ID != id:
		return berylerror.Unknown.Errorf("received answer to call %s instead of %s", a.ID, id)
	case a.Account != account:
		return berylerror.Missing.Errorf("no call %s of this client account", id)
	case a.Length != len(a.Body):
		return berylerror.Unknown.Errorf("answer to call %s truncated: got %d of %d bytes", id, len(a.Body), a.Length)
	case a.Sum != xxhash.Sum64(a.Body):
		return berylerror.Unknown.Errorf("answer to call %s has a wrong checksum", id)
	default:
		return nil
	}
}
