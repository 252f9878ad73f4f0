// Package berylmerge builds the configuration from the records of stream config.
//
// A [Merge] applies changes in offset order. A change is accepted if none of its
// keys was changed after its base, and every reader decides alike. A reader that
// starts behind retention needs a snapshot, which may come after newer changes:
// those are kept in a buffer and applied on top of it. Until then, and during an
// outage, a configuration from a peer can be adopted; the newest one counts.
//
// The file snapshot.go has snapshots and the buffer.
package berylmerge

import (
	"maps"
	"slices"

	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/berylrecord"
)

// Verdict says what a record did.
type Verdict uint8

const (
	// Ignored means that the record has no effect: it is malformed, or a
	// snapshot that this reader does not need.
	Ignored Verdict = iota + 1
	// Accepted means that the change or snapshot was applied.
	Accepted
	// Conflict means that another change of the same key was accepted first.
	Conflict
	// Pending means that the change can only be judged after a snapshot.
	Pending
)

// Outcome is what a record did.
type Outcome struct {
	Verdict Verdict
	// Winner is the offset of the accepted change that caused a Conflict.
	Winner int64
	// Key is the configuration key in conflict.
	Key string
	// Err says why a record was ignored.
	Err error
}

// Merge is the state of stream config. The zero value has read nothing.
type Merge struct {
	// own is what the log's records gave, nil if there was none.
	own *berylconfig.Config
	// peer is the newest adopted configuration, or nil.
	peer *berylconfig.Config
	// changed has the offset of the last accepted change of each key that was
	// ever set. Removed keys stay, as a change with an old base must still be
	// rejected.
	changed map[string]int64
	// upto is the last offset that was read, first the first one after the
	// last gap.
	upto  int64
	first int64
	// waiting is set after a gap until a snapshot has been applied.
	waiting bool
	// buffer has the changes that were read while waiting.
	buffer []buffered
}

// Config returns the newest known configuration. It must not be changed. Its
// offset never decreases.
func (m *Merge) Config() *berylconfig.Config {
	switch {
	case m.own == nil && m.peer == nil:
		return (&berylconfig.Config{}).Clone()
	case m.own == nil || (m.peer != nil && m.peer.Offset > m.own.Offset):
		return m.peer
	default:
		return m.own
	}
}

// Adopt takes over a configuration from a peer if it is newer, and reports
// whether it is.
func (m *Merge) Adopt(cfg *berylconfig.Config) bool {
	if cfg == nil || cfg.Offset <= m.Config().Offset {
		return false
	}
	m.peer = cfg
	return true
}

// Truncate tells the first offset that the log keeps, before the records of the same
// read are applied.
func (m *Merge) Truncate(first int64) {
	if first <= m.upto+1 {
		return
	}
	m.first = first
	m.upto = first - 1
	m.waiting = true
	m.buffer = nil
}

// Confirm tells the last offset that was read, counting records that were
// dropped by the reader.
func (m *Merge) Confirm(upto int64) { m.upto = max(m.upto, upto) }

// Upto returns the last offset that was read, the base of a new change.
func (m *Merge) Upto() int64 { return m.upto }

// NeedsSnapshot reports whether the reader needs a snapshot.
func (m *Merge) NeedsSnapshot() bool { return m.waiting }

// Apply applies the record at an offset. Offsets grow from call to call; an
// offset that was applied before has no effect.
func (m *Merge) Apply(offset int64, r berylrecord.Record) Outcome {
	if offset <= m.upto {
		return ignored(berylerror.Invalid.Errorf("offset %d was read before", offset))
	}
	m.upto = offset
	switch body := r.Body.(type) {
	case berylrecord.Change:
		return m.change(offset, r.Base, body)
	case berylrecord.Snapshot:
		return m.snapshot(offset, body)
	default:
		return ignored(berylerror.Invalid.Errorf("record is not of stream config"))
	}
}

// Check returns what a change would do if it were appended now, without
// applying it.
func (m *Merge) Check(base int64, c berylrecord.Change) Outcome {
	if m.waiting {
		return Outcome{Verdict: Pending}
	}
	_, out := m.judge(max(m.upto, base)+1, base, c)
	return out
}

func (m *Merge) change(offset, base int64, c berylrecord.Change) Outcome {
	if m.waiting {
		m.keep(buffered{offset: offset, base: base, change: c})
		return Outcome{Verdict: Pending}
	}
	next, out := m.judge(offset, base, c)
	if out.Verdict != Accepted {
		return out
	}
	if m.changed == nil {
		m.changed = map[string]int64{}
	}
	for key := range c.Set {
		m.changed[key] = offset
	}
	m.own = next
	return out
}

// judge returns the configuration after a change, if it is accepted.
func (m *Merge) judge(offset, base int64, c berylrecord.Change) (*berylconfig.Config, Outcome) {
	if len(c.Set) == 0 {
		return nil, ignored(berylerror.Invalid.Errorf("change sets no key"))
	}
	if base < 0 || base >= offset {
		return nil, ignored(berylerror.Invalid.Errorf("base %d of the change at offset %d is not below it", base, offset))
	}
	next, err := set(m.base(), c)
	if err != nil {
		return nil, ignored(err)
	}
	out := Outcome{Verdict: Accepted}
	for _, key := range slices.Sorted(maps.Keys(c.Set)) {
		if at := m.changed[key]; at > base && at > out.Winner {
			out = Outcome{Verdict: Conflict, Winner: at, Key: key}
		}
	}
	if out.Verdict == Conflict {
		return nil, out
	}
	next.Offset = offset
	return next, out
}

// set returns cfg with the keys of a change.
func set(cfg *berylconfig.Config, c berylrecord.Change) (*berylconfig.Config, error) {
	next := cfg.Clone()
	for _, key := range slices.Sorted(maps.Keys(c.Set)) {
		if err := next.Set(key, c.Set[key]); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// base returns the configuration that changes are applied to.
func (m *Merge) base() *berylconfig.Config {
	if m.own == nil {
		return &berylconfig.Config{}
	}
	return m.own
}

func ignored(err error) Outcome { return Outcome{Verdict: Ignored, Err: err} }
