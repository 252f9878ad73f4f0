// Package berylcall defines calls: short requests that one backend server
// answers.
package berylcall

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Call is one request of a client account.
type Call struct {
	// ID is the text form of a berylid.ID.
	ID string `cbor:"i"`
	// Account is the client account that owns the call. Only this account may
	// read the answer.
	Account string `cbor:"a"`
	// Class is the name of a class in the configuration.
	Class string `cbor:"c"`
	// Key is the caller's idempotency key; empty if none.
	Key string `cbor:"k,omitempty"`
	// Idempotent is copied from the class when the call is admitted. An
	// idempotent call may run more than once.
	Idempotent bool `cbor:"d,omitempty"`
	// Budget is the time left until the caller's timeout. It is a duration
	// because clocks of different processes are never compared.
	Budget time.Duration `cbor:"b"`
	// Body is passed to the backend server unchanged.
	Body []byte `cbor:"y"`
}

// Sum returns a checksum of a call. It distinguishes a repeated call from a
// different call with the same idempotency key.
func Sum(account, class string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write([]byte(class))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
