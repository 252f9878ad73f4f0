// Package berylquota decides how much memory the connections of one listener may use,
// and which of them are closed when it runs low.
//
// A [Quota] does no input or output and is not safe for concurrent use. Package
// beryllistener executes its decisions.
package berylquota

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection is doing.
type Phase uint8

const (
	// Reading means that a request is being read, or that none has begun yet on a new
	// connection.
	Reading Phase = iota + 1
	// Serving means that a request was received completely. Its connection is not
	// closed, as the request may have taken effect.
	Serving
	// Idle means that the connection waits for its next request.
	Idle
)

// Reason is the limit that a refused or closed connection has met.
type Reason uint8

const (
	// None means that no limit was met.
	None Reason = iota
	// ByConnection is the share of one connection.
	ByConnection
	// ByAccount is the share of one client account.
	ByAccount
	// ByAddress is the share of one client address, in bytes or connections.
	ByAddress
	// ByMemory is the budget of all connections in bytes.
	ByMemory
	// ByCount is the maximum number of connections.
	ByCount
)

// String returns the name in logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "connection", "account", "address", "memory", "connections"}[min(r, ByCount)]
}

// Decision is the answer to a reservation.
type Decision struct {
	// Granted means that the reservation is in effect.
	Granted bool
	// Wait means that the reservation may be granted when connections that are being
	// closed have ended. If neither Granted nor Wait is set, it is refused.
	Wait bool
	// Reason is the limit in the way; None if the reservation is granted, or its own
	// connection is being closed.
	Reason Reason
	// Close lists connections to close, the first to close first. They hold their
	// bytes until End.
	Close []uint64
}

// Quota holds the reservations of the connections of a listener.
type Quota struct {
	Limits Limits

	last      uint64
	conns     map[uint64]*conn
	total     usage
	addresses map[string]*usage
	accounts  map[string]*usage
}

type conn struct {
	id               uint64
	address, account string
	phase            Phase
	// since is the start of the phase.
	since time.Time
	held  int64
	// closing means that the connection was to be closed and has not ended yet.
	closing bool
}

// usage sums up connections.
type usage struct {
	conns, closingConns int
	bytes, closingBytes int64
}

func (u *usage) add(conns int, bytes int64, closing bool) {
	u.conns += conns
	u.bytes += bytes
	if closing {
		u.closingConns += conns
		u.closingBytes += bytes
	}
}

// New returns a quota without connections.
func New(l Limits) *Quota {
	return &Quota{Limits: l, conns: map[uint64]*conn{}, addresses: map[string]*usage{}, accounts: map[string]*usage{}}
}

// Held returns the number of open connections and the bytes that they hold.
func (q *Quota) Held() (conns int, bytes int64) { return q.total.conns, q.total.bytes }

// Open admits a connection of a client address. The id is valid if it is granted.
func (q *Quota) Open(now time.Time, address string) (uint64, Decision) {
	sum := q.addresses[address]
	if sum == nil {
		sum = &usage{}
	}
	l := q.Limits
	d := Decision{Granted: true}
	switch {
	case sum.conns >= l.ConnsPerAddress:
		d = q.makeRoom(need{reason: ByAddress, conns: sum.conns + 1 - l.ConnsPerAddress, sum: *sum, in: func(c *conn) bool { return c.address == address }})
	case sum.bytes+l.Base > l.Address:
		d = q.makeRoom(need{reason: ByAddress, bytes: sum.bytes + l.Base - l.Address, sum: *sum, in: func(c *conn) bool { return c.address == address }})
	case q.total.conns >= l.Conns:
		d = q.makeRoom(need{reason: ByCount, conns: q.total.conns + 1 - l.Conns, sum: q.total, in: q.inHeaviest(byConns), rest: anyConn})
	case q.total.bytes+l.Base > l.Bytes:
		d = q.makeRoom(need{reason: ByMemory, bytes: q.total.bytes + l.Base - l.Bytes, sum: q.total, in: q.inHeaviest(byBytes), rest: anyConn})
	}
	if !d.Granted {
		return 0, d
	}
	q.addresses[address] = sum
	q.last++
	c := &conn{id: q.last, address: address, phase: Reading, since: now, held: l.Base}
	q.conns[c.id] = c
	q.total.add(1, c.held, false)
	sum.add(1, c.held, false)
	return c.id, d
}

// Reserve reserves n more bytes for a connection.
func (q *Quota) Reserve(id uint64, n int64) Decision {
	c := q.conns[id]
	if c == nil || c.closing {
		return Decision{}
	}
	l := q.Limits
	account, address := q.accounts[c.account], q.addresses[c.address]
	d := Decision{Granted: true}
	switch {
	case c.held+n > l.Connection:
		return Decision{Reason: ByConnection}
	case account != nil && account.bytes+n > l.Account:
		d = q.makeRoom(need{reason: ByAccount, bytes: account.bytes + n - l.Account, sum: *account, in: func(o *conn) bool { return o != c && o.account == c.account }})
	case address.bytes+n > l.Address:
		d = q.makeRoom(need{reason: ByAddress, bytes: address.bytes + n - l.Address, sum: *address, in: func(o *conn) bool { return o != c && o.address == c.address }})
	case q.total.bytes+n > l.Bytes:
		heaviest := q.inHeaviest(byBytes)
		d = q.makeRoom(need{reason: ByMemory, bytes: q.total.bytes + n - l.Bytes, sum: q.total, in: func(o *conn) bool { return o != c && heaviest(o) }, rest: func(o *conn) bool { return o != c }})
	}
	if d.Granted {
		q.add(c, n)
	}
	return d
}

// Return gives n bytes of a connection back.
func (q *Quota) Return(id uint64, n int64) {
	if c := q.conns[id]; c != nil {
		q.add(c, -n)
	}
}

// Available returns how many bytes the connection may still reserve within its own
// share.
func (q *Quota) Available(id uint64) int64 {
	c := q.conns[id]
	if c == nil {
		return 0
	}
	return q.Limits.Connection - c.held
}

// Enter begins a phase of a connection.
func (q *Quota) Enter(now time.Time, id uint64, p Phase) {
	if c := q.conns[id]; c != nil {
		c.phase, c.since = p, now
	}
}

// Finish makes a connection idle after a request. It keeps the base and the given bytes
// for data of the next request that was already read.
func (q *Quota) Finish(now time.Time, id uint64, buffered int64) {
	c := q.conns[id]
	if c == nil {
		return
	}
	q.SetAccount(id, "")
	q.add(c, min(c.held, q.Limits.Base+buffered)-c.held)
	c.phase, c.since = Idle, now
}

// SetAccount sets the client account of the current request; empty for none.
func (q *Quota) SetAccount(id uint64, account string) {
	c := q.conns[id]
	if c == nil || c.account == account {
		return
	}
	if sum := q.accounts[c.account]; sum != nil {
		sum.add(-1, -c.held, c.closing)
		if sum.conns == 0 {
			delete(q.accounts, c.account)
		}
	}
	c.account = account
	if account == "" {
		return
	}
	if q.accounts[account] == nil {
		q.accounts[account] = &usage{}
	}
	q.accounts[account].add(1, c.held, c.closing)
}

// End removes a connection that has ended.
func (q *Quota) End(id uint64) {
	c := q.conns[id]
	if c == nil {
		return
	}
	q.SetAccount(id, "")
	delete(q.conns, id)
	q.total.add(-1, -c.held, c.closing)
	sum := q.addresses[c.address]
	sum.add(-1, -c.held, c.closing)
	if sum.conns == 0 {
		delete(q.addresses, c.address)
	}
}

func (q *Quota) add(c *conn, n int64) {
	c.held += n
	q.total.add(0, n, c.closing)
	q.addresses[c.address].add(0, n, c.closing)
	if c.account != "" {
		q.accounts[c.account].add(0, n, c.closing)
	}
}

// need is what a reservation lacks in the usage of some connections.
type need struct {
	reason Reason
	conns  int
	bytes  int64
	sum    usage
	// in reports whether closing the connection helps. If rest is not nil, it selects
	// the connections that are closed if in selects none that may be closed.
	in, rest func(c *conn) bool
}

// makeRoom decides which connections are closed: those whose request is incomplete,
// then idle ones, each the oldest first.
func (q *Quota) makeRoom(n need) Decision {
	d := Decision{Reason: n.reason, Wait: n.sum.closingConns > 0}
	if n.sum.closingConns >= n.conns && n.sum.closingBytes >= n.bytes {
		return d
	}
	// More than needed is closed at a time, so that not every reservation has to look
	// for connections.
	conns := n.conns - n.sum.closingConns + n.sum.conns/_spareShare
	bytes := n.bytes - n.sum.closingBytes + n.sum.bytes/_spareShare
	candidates := q.candidates(n.in)
	if len(candidates) == 0 && n.rest != nil {
		candidates = q.candidates(n.rest)
	}
	for _, c := range candidates {
		if (n.conns == 0 || conns <= 0) && (n.bytes == 0 || bytes <= 0) {
			break
		}
		conns--
		bytes -= c.held
		q.close(c)
		d.Close = append(d.Close, c.id)
		d.Wait = true
	}
	return d
}

// candidates returns the connections that may be closed in the order in which they are.
func (q *Quota) candidates(in func(c *conn) bool) []*conn {
	var found []*conn
	for _, c := range q.conns {
		if c.phase != Serving && !c.closing && in(c) {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(a.phase, b.phase), a.since.Compare(b.since), cmp.Compare(a.id, b.id))
	})
	return found
}

// close marks a connection as being closed.
func (q *Quota) close(c *conn) {
	c.closing = true
	for _, sum := range []*usage{&q.total, q.addresses[c.address], q.accounts[c.account]} {
		if sum != nil {
			sum.closingConns++
			sum.closingBytes += c.held
		}
	}
}

func anyConn(*conn) bool { return true }

func byConns(u *usage) int64 { return int64(u.conns - u.closingConns) }

func byBytes(u *usage) int64 { return u.bytes - u.closingBytes }

// inHeaviest returns a function that reports whether a connection is of the address
// that uses most.
func (q *Quota) inHeaviest(by func(u *usage) int64) func(c *conn) bool {
	var most string
	for address, sum := range q.addresses {
		if most == "" || by(sum) > by(q.addresses[most]) || by(sum) == by(q.addresses[most]) && address < most {
			most = address
		}
	}
	return func(c *conn) bool { return c.address == most }
}

// _spareShare is the divisor for the part of the usage that is closed beyond the need.
const _spareShare = 16
