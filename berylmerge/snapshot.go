package berylmerge

import (
	"maps"

	"berylglade/berylerror"
	"berylglade/berylrecord"
)

// _maxBufferedChanges bounds the changes that are buffered until a snapshot is
// read. A snapshot is appended at least every third of the retention time; the
// target is 3,200 changes a day.
const _maxBufferedChanges = 1 << 16

// bufferedChange is a change that waits for a snapshot.
type bufferedChange struct {
	offset int64
	base   int64
	change berylrecord.Change
}

// bufferChange buffers a change. If the buffer is full, it discards the older
// half, as if the log had dropped those records before they were read.
func (m *Merge) bufferChange(b bufferedChange) {
	m.buffer = append(m.buffer, b)
	if len(m.buffer) > _maxBufferedChanges {
		m.buffer = append([]bufferedChange(nil), m.buffer[_maxBufferedChanges/2:]...)
		m.first = m.buffer[0].offset
	}
}

// Snapshot returns a snapshot record for the leader to append, or false if this
// reader needs a snapshot itself.
func (m *Merge) Snapshot() (berylrecord.Record, bool) {
	if m.needsSnapshot {
		return berylrecord.Record{}, false
	}
	return m.snapshotRecord(), true
}

func (m *Merge) snapshotRecord() berylrecord.Record {
	return berylrecord.New(m.upto, berylrecord.Snapshot{
		Upto:    m.upto,
		Config:  *m.baseConfig().Clone(),
		Changed: maps.Clone(m.changed),
	})
}

// applySnapshot applies a snapshot if the reader needs one and no change is
// missing between the snapshot and the first known record.
func (m *Merge) applySnapshot(offset int64, s berylrecord.Snapshot) Outcome {
	switch {
	case !m.needsSnapshot:
		return ignored(nil)
	case s.Upto < m.first-1:
		return ignored(berylerror.Invalid.Errorf("snapshot up to offset %d does not cover all dropped records", s.Upto))
	}
	if err := checkSnapshot(offset, s); err != nil {
		return ignored(err)
	}
	m.restore(s)
	return Outcome{Verdict: Accepted}
}

// checkSnapshot rejects snapshots that no correct writer can have written.
func checkSnapshot(offset int64, s berylrecord.Snapshot) error {
	if s.Upto >= offset || s.Config.Offset < 0 || s.Config.Offset > s.Upto {
		return berylerror.Invalid.Errorf("snapshot at offset %d has version %d and covers offsets up to %d", offset, s.Config.Offset, s.Upto)
	}
	for key, at := range s.Changed {
		if at < 1 || at > s.Upto {
			return berylerror.Invalid.Errorf("snapshot up to offset %d has a change of %s at offset %d", s.Upto, key, at)
		}
	}
	return nil
}

// restore replaces the state by a snapshot and applies the later changes.
func (m *Merge) restore(s berylrecord.Snapshot) {
	if m.logConfig != nil && (m.peerConfig == nil || m.peerConfig.Offset < m.logConfig.Offset) {
		m.peerConfig = m.logConfig
	}
	m.logConfig = s.Config.Clone()
	m.changed = maps.Clone(s.Changed)
	m.needsSnapshot = false
	changes := m.buffer
	m.buffer = nil
	for _, b := range changes {
		if b.offset > s.Upto {
			m.applyChange(b.offset, b.base, b.change)
		}
	}
}

// Rebuild returns a snapshot of the newest known configuration, for a log that
// has no usable snapshot because no process appended one within the retention
// time. Its version is the last offset that was read, so that every reader takes
// it as the newest. It returns false if the reader needs no snapshot. Only the
// leader uses it, after it has waited for the snapshot of another process longer
// than their interval.
func (m *Merge) Rebuild() (berylrecord.Record, bool) {
	if !m.needsSnapshot {
		return berylrecord.Record{}, false
	}
	cfg := m.Config().Clone()
	for _, b := range m.buffer {
		if b.offset <= cfg.Offset {
			continue
		}
		if next, err := withChange(cfg, b.change); err == nil {
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
