package berylmerge

import (
	"maps"

	"berylglade/berylerror"
	"berylglade/berylrecord"
)

// _maxBuffer bounds the changes kept while waiting for a snapshot. One comes at
// least every third of the retention time; the target is 3,200 changes a day.
const _maxBuffer = 1 << 16

// buffered is a change that waits for a snapshot.
type buffered struct {
	offset int64
	base   int64
	change berylrecord.Change
}

// keep buffers a change. If the buffer is full, the reader goes on as if it had
// fallen behind the oldest half of it.
func (m *Merge) keep(b buffered) {
	m.buffer = append(m.buffer, b)
	if len(m.buffer) > _maxBuffer {
		m.buffer = append([]buffered(nil), m.buffer[_maxBuffer/2:]...)
		m.first = m.buffer[0].offset
	}
}

// Snapshot returns the record to append again, or false if this reader needs a
// snapshot itself.
func (m *Merge) Snapshot() (berylrecord.Record, bool) {
	if m.waiting {
		return berylrecord.Record{}, false
	}
	return m.record(), true
}

func (m *Merge) record() berylrecord.Record {
	return berylrecord.New(m.upto, berylrecord.Snapshot{
		Upto:    m.upto,
		Config:  *m.base().Clone(),
		Changed: maps.Clone(m.changed),
	})
}

// snapshot applies a snapshot if the reader waits for one and it leaves no hole
// before the first known record.
func (m *Merge) snapshot(offset int64, s berylrecord.Snapshot) Outcome {
	switch {
	case !m.waiting:
		return ignored(nil)
	case s.Upto < m.first-1:
		return ignored(berylerror.Invalid.Errorf("snapshot up to offset %d is behind retention", s.Upto))
	}
	if err := check(offset, s); err != nil {
		return ignored(err)
	}
	m.restore(s)
	return Outcome{Verdict: Accepted}
}

// check refuses snapshots that no writer that follows the rules can have
// written.
func check(offset int64, s berylrecord.Snapshot) error {
	if s.Upto >= offset || s.Config.Offset < 0 || s.Config.Offset > s.Upto {
		return berylerror.Invalid.Errorf("snapshot at offset %d is of offset %d up to %d", offset, s.Config.Offset, s.Upto)
	}
	for key, at := range s.Changed {
		if at < 1 || at > s.Upto {
			return berylerror.Invalid.Errorf("snapshot up to offset %d has a change of %s at %d", s.Upto, key, at)
		}
	}
	return nil
}

// restore takes over a snapshot and applies the changes that came after it.
func (m *Merge) restore(s berylrecord.Snapshot) {
	if m.own != nil && (m.peer == nil || m.peer.Offset < m.own.Offset) {
		m.peer = m.own
	}
	m.own = s.Config.Clone()
	m.changed = maps.Clone(s.Changed)
	m.waiting = false
	changes := m.buffer
	m.buffer = nil
	for _, b := range changes {
		if b.offset > s.Upto {
			m.change(b.offset, b.base, b.change)
		}
	}
}

// Rebuild returns a snapshot of the newest known configuration for the case
// that the log keeps no usable one, because no process wrote one for longer than
// the retention time. Its version is the last offset that was read, so it
// counts everywhere as the newest. It returns false if the reader does not
// wait. Only the leader uses it, after it has waited for the snapshot of any
// other process longer than their interval.
func (m *Merge) Rebuild() (berylrecord.Record, bool) {
	if !m.waiting {
		return berylrecord.Record{}, false
	}
	cfg := m.Config().Clone()
	for _, b := range m.buffer {
		if b.offset <= cfg.Offset {
			continue
		}
		if next, err := set(cfg, b.change); err == nil {
			cfg = next
		}
	}
	cfg.Offset = m.upto
	s := berylrecord.Snapshot{Upto: m.upto, Config: *cfg, Changed: map[string]int64{}}
	for _, key := range cfg.Keys() {
		s.Changed[key] = m.upto
	}
	return berylrecord.New(m.upto, s), true
}
