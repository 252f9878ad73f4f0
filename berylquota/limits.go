package berylquota

import "time"

// Limits bound the connections of one listener. All amounts are positive.
type Limits struct {
	// Bytes bounds what all connections hold; Connection, Account and Address are the
	// shares of one connection, client account and client address.
	Bytes, Connection, Account, Address int64
	// Conns is the maximum number of connections, ConnsPerAddress of one address.
	Conns, ConnsPerAddress int
	// Base is what each open connection holds, in bytes.
	Base int64
}

// NewLimits returns the limits for a budget of bytes and connections. The shares leave
// room for other connections, accounts and addresses.
func NewLimits(bytes int64, conns int) Limits {
	return Limits{
		Bytes: bytes, Connection: min(bytes, max(bytes/4, _fullRequest)), Account: bytes / 2, Address: bytes * 3 / 4,
		Conns: conns, ConnsPerAddress: max(1, conns*3/4), Base: _base,
	}
}

// _fullRequest is room for one request with a header of 16 KiB in the shortest lines and
// a body of 256 KiB, in bytes.
const _fullRequest = 4 << 20

// _base covers the buffers and stacks of a connection, in bytes.
const _base = 16 << 10

// ReadTimeout returns how long the process waits for further bytes of a request's body,
// of which it has received some and for which it has waited before. It is not positive
// if the client was too slow.
func ReadTimeout(received int64, waited time.Duration) time.Duration {
	return _bodyGrace + time.Duration(received)*time.Second/_bodyRate - waited
}

const (
	// _bodyGrace is how long a client may keep the process waiting for any body, and
	// _bodyRate the bytes per second that allow it more time. A client on a poor link
	// is faster.
	_bodyGrace = 5 * time.Second
	_bodyRate  = 4 << 10
)
