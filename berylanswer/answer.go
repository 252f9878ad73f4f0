// Package berylanswer has answers to calls. An answer carries the id, length
// and checksum by which each receiver proves that it is whole and its own.
package berylanswer

import (
	"github.com/cespare/xxhash/v2"

	"berylglade/berylerror"
)

// Answer is the result of one call.
type Answer struct {
	// ID is the id of the call that was answered.
	ID string `cbor:"i"`
	// Account owns the call.
	Account string `cbor:"a"`
	// Status is the HTTP status of the backend server.
	Status int `cbor:"s"`
	// Length is the number of bytes of the whole body.
	Length int `cbor:"l"`
	// Sum is the xxHash64 of the whole body.
	Sum uint64 `cbor:"x"`
	// Body is complete only if Length and Sum match.
	Body []byte `cbor:"y"`
}

// New returns a whole answer.
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

// Check returns an error unless the answer is whole and belongs to the call.
func (a *Answer) Check(id, account string) error {
	switch {
	case a.ID != id:
		return berylerror.Unknown.Errorf("answer of call %s arrived for call %s", a.ID, id)
	case a.Account != account:
		return berylerror.Missing.Errorf("no call %s of this client account", id)
	case a.Length != len(a.Body):
		return berylerror.Unknown.Errorf("answer of call %s has %d of %d bytes", id, len(a.Body), a.Length)
	case a.Sum != xxhash.Sum64(a.Body):
		return berylerror.Unknown.Errorf("answer of call %s fails its checksum", id)
	default:
		return nil
	}
}
