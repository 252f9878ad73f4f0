// Package berylintent holds the state of the calls stream: the valid intent of
// each idempotency key. An intent is a record that binds a key to the id of one
// call ([berylrecord.Intent]).
//
// An [Index] applies intents in offset order; every reader that applies the
// same records finds the same valid intent. Keys are stored for the log's
// retention: [Index.Truncate] forgets intents that the log has dropped. It is
// called before the records of the same read are applied. When a reader applies
// a record, it has therefore forgotten every intent that the writer had
// forgotten when it wrote the record, as the log's first offset never
// decreases.
//
// If the log dropped records before they were read, the reader cannot know
// their intents. It relies on the writer of a later intent, who has checked the
// key in all records up to the base of its record, which is the offset up to
// which it had read the stream: if all records after the base are known, the
// intent is valid unless another one for the key lies between the base and the
// intent. Otherwise the key is uncertain until a later intent settles it or the
// log drops it.
package berylintent

import (
	"crypto/sha256"

	"berylglade/berylrecord"
)

// Verdict is the decision on an intent.
type Verdict uint8

const (
	// Rejected means that another intent for the key is valid, or that the record
	// is malformed, has already been read or is not an intent.
	Rejected Verdict = iota + 1
	// Accepted means that the intent is the valid one of its key.
	Accepted
	// Uncertain means that it is not known whether the intent is valid.
	Uncertain
)

// Binding is what is known about an idempotency key.
type Binding struct {
	// Call is the call id of the valid intent, and Sum the checksum of its
	// request.
	Call string
	Sum  string
	// Offset is the offset of the intent.
	Offset int64
	// Uncertain is set if it is not known which intent is valid. A call with
	// this key must neither be dispatched nor be rejected as certainly not run.
	Uncertain bool
}

// Index is the state of the calls stream. The zero value has read nothing.
type Index struct {
	intents map[key]Binding
	// order has the key of each stored intent, in offset order.
	order []orderedKey
	first int64
	upto  int64
}

// key is the truncated hash of account and key. It has a fixed size, while callers
// choose keys of any length.
type key [16]byte

type orderedKey struct {
	key    key
	offset int64
}

// Truncate applies the log's retention; first is the first offset that the log
// still has.
func (x *Index) Truncate(first int64) {
	x.first = max(x.first, first)
	x.upto = max(x.upto, first-1)
	n := 0
	for n < len(x.order) && x.order[n].offset < first {
		k := x.order[n]
		if x.intents[k.key].Offset == k.offset {
			delete(x.intents, k.key)
		}
		n++
	}
	x.order = x.order[n:]
}

// Apply applies the record at an offset. Offsets increase from call to call; an
// offset that was already read has no effect.
func (x *Index) Apply(offset int64, r berylrecord.Record) Verdict {
	body, ok := r.Body.(berylrecord.Intent)
	if !ok || offset <= x.upto {
		return Rejected
	}
	x.upto = offset
	if body.Key == "" || body.Call == "" || r.Base < 0 || r.Base >= offset {
		return Rejected
	}
	k := keyOf(body.Account, body.Key)
	v := x.evaluate(k, r.Base, body)
	if v == Rejected {
		return v
	}
	if x.intents == nil {
		x.intents = map[key]Binding{}
	}
	x.intents[k] = Binding{Call: body.Call, Sum: body.Sum, Offset: offset, Uncertain: v == Uncertain}
	x.order = append(x.order, orderedKey{key: k, offset: offset})
	return v
}

func (x *Index) evaluate(k key, base int64, body berylrecord.Intent) Verdict {
	cur, known := x.intents[k]
	switch {
	case known && !cur.Uncertain:
		if body.Prev != cur.Call {
			return Rejected
		}
		return Accepted
	case known && base < cur.Offset:
		return Uncertain
	case known:
		return Accepted
	case base < x.first-1:
		return Uncertain
	case x.first <= 1 && body.Prev != "":
		return Rejected
	default:
		return Accepted
	}
}

// Confirm records the last offset that was read, including records that the reader
// dropped.
func (x *Index) Confirm(upto int64) { x.upto = max(x.upto, upto) }

// Find returns the binding of a client account's key.
func (x *Index) Find(account, name string) (Binding, bool) {
	f, ok := x.intents[keyOf(account, name)]
	return f, ok
}

// NewIntent returns a record with the intent to run a call for a key that is not
// known, or whose known call has a confirmed tombstone.
func (x *Index) NewIntent(account, name, sum, call string) berylrecord.Record {
	prev := x.intents[keyOf(account, name)].Call
	return berylrecord.New(x.upto, berylrecord.Intent{Key: name, Account: account, Sum: sum, Call: call, Prev: prev})
}

// Len returns the number of keys.
func (x *Index) Len() int { return len(x.intents) }

func keyOf(account, name string) key {
	sum := sha256.Sum256([]byte(account + "\x00" + name))
	return key(sum[:len(key{})])
}
