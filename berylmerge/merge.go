// Package berylmerge builds the configuration from the records of the config
// stream.
//
// A [Merge] applies changes in offset order. A change is accepted if none of
// its keys was changed after its base, which is the offset up to which the
// writer of the change had read the stream; every reader decides alike. If the
// log dropped records before they were read, the reader needs a snapshot, a
// record with the whole configuration up to an offset. Changes after that
// offset may stand before the snapshot in the log; the reader buffers changes
// until it reads the snapshot and then applies the newer ones to it. Until
// then, and during an outage, a configuration can be adopted from a peer; the
// newest configuration is used.
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

// Verdict is the decision on a record.
type Verdict uint8

const (
	// Ignored means that the record has no effect: it is malformed, or a
	// snapshot that this reader does not need.
	Ignored Verdict = iota + 1
	// Accepted means that the change or snapshot was applied.
	Accepted
	// Conflict means that another change of the same key was accepted first.
	Conflict
	// Pending means that the change can only be decided after a snapshot.
	Pending
)

// Outcome is the effect of a record.
type Outcome struct {
	Verdict Verdict
	// Winner is the offset of the accepted change that caused a Conflict.
	Winner int64
	// Key is the configuration key in conflict.
	Key string
	// Err says why a record was ignored.
	Err error
}

// Merge is the state of the config stream. The zero value has read nothing.
type Merge struct {
	// logConfig is the configuration from the log's records, or nil before the first.
	logConfig *berylconfig.Config
	// peerConfig is the newest adopted configuration, or nil.
	peerConfig *berylconfig.Config
	// changed has the offset of the last accepted change of each key that was
	// ever set. Removed keys stay, as a change with an old base must still be
	// rejected.
	changed map[string]int64
	// upto is the last offset that was read. If unread records were dropped or the
	// buffer overflowed, first is the first offset after the missing records,
	// otherwise zero.
	upto  int64
	first int64
	// needsSnapshot is set when unread records were dropped, until a snapshot is
	// applied.
	needsSnapshot bool
	// buffer has the changes that were read while needsSnapshot is set.
	buffer []bufferedChange
}

// Config returns the newest known configuration, which must not be modified. Its
// offset never decreases.
func (m *Merge) Config() *berylconfig.Config {
	switch {
	case m.logConfig == nil && m.peerConfig == nil:
		return (&berylconfig.Config{}).Clone()
	case m.logConfig == nil || (m.peerConfig != nil && m.peerConfig.Offset > m.logConfig.Offset):
		return m.peerConfig
	default:
		return m.logConfig
	}
}

// Adopt uses a configuration from a peer if it is newer than the known one, and
// reports whether it is.
func (m *Merge) Adopt(cfg *berylconfig.Config) bool {
	if cfg == nil || cfg.Offset <= m.Config().Offset {
		return false
	}
	m.peerConfig = cfg
	return true
}

// Truncate applies the log's retention, before the records of the same read are
// applied; first is the first offset that the log still has.
func (m *Merge) Truncate(first int64) {
	if first <= m.upto+1 {
		return
	}
	m.first = first
	m.upto = first - 1
	m.needsSnapshot = true
	m.buffer = nil
}

// Confirm records the last offset that was read, including records that the reader
// dropped.
func (m *Merge) Confirm(upto int64) { m.upto = max(m.upto, upto) }

// Upto returns the last offset that was read, which is the base of a new change.
func (m *Merge) Upto() int64 { return m.upto }

// NeedsSnapshot reports whether the reader cannot apply changes before it has read
// a snapshot.
func (m *Merge) NeedsSnapshot() bool { return m.needsSnapshot }

// Apply applies the record at an offset. Offsets increase from call to call; an
// offset that was already read has no effect.
func (m *Merge) Apply(offset int64, r berylrecord.Record) Outcome {
	if offset <= m.upto {
		return ignored(berylerror.Invalid.Errorf("offset %d was already read", offset))
	}
	m.upto = offset
	switch body := r.Body.(type) {
	case berylrecord.Change:
		return m.applyChange(offset, r.Base, body)
	case berylrecord.Snapshot:
		return m.applySnapshot(offset, body)
	default:
		return ignored(berylerror.Invalid.Errorf("record does not belong to stream config"))
	}
}

// Check returns the effect that a change would have if it were appended now,
// without applying it.
func (m *Merge) Check(base int64, c berylrecord.Change) Outcome {
	if m.needsSnapshot {
		return Outcome{Verdict: Pending}
	}
	_, out := m.evaluate(max(m.upto, base)+1, base, c)
	return out
}

func (m *Merge) applyChange(offset, base int64, c berylrecord.Change) Outcome {
	if m.needsSnapshot {
		m.bufferChange(bufferedChange{offset: offset, base: base, change: c})
		return Outcome{Verdict: Pending}
	}
	next, out := m.evaluate(offset, base, c)
	if out.Verdict != Accepted {
		return out
	}
	if m.changed == nil {
		m.changed = map[string]int64{}
	}
	for key := range c.Set {
		m.changed[key] = offset
	}
	m.logConfig = next
	return out
}

// evaluate decides on a change and returns the new configuration if it is
// accepted.
func (m *Merge) evaluate(offset, base int64, c berylrecord.Change) (*berylconfig.Config, Outcome) {
	if len(c.Set) == 0 {
		return nil, ignored(berylerror.Invalid.Errorf("change sets no key"))
	}
	if base < 0 || base >= offset {
		return nil, ignored(berylerror.Invalid.Errorf("base %d of the change at offset %d is not below it", base, offset))
	}
	next, err := withChange(m.baseConfig(), c)
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

// withChange returns a copy of cfg with the keys of a change set.
func withChange(cfg *berylconfig.Config, c berylrecord.Change) (*berylconfig.Config, error) {
	next := cfg.Clone()
	for _, key := range slices.Sorted(maps.Keys(c.Set)) {
		if err := next.Set(key, c.Set[key]); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// baseConfig returns the configuration that changes are applied to.
func (m *Merge) baseConfig() *berylconfig.Config {
	if m.logConfig == nil {
		return &berylconfig.Config{}
	}
	return m.logConfig
}

func ignored(err error) Outcome { return Outcome{Verdict: Ignored, Err: err} }
