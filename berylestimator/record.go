package berylestimator

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"berylglade/berylerror"
)

const (
	// _recordVersion is raised when the meaning of a record changes. Records of other
	// versions are not read.
	_recordVersion = 1
	// _maxRecord is the largest record that is read, in bytes.
	_maxRecord = 64 << 10
	// _sampleSize is the size of a run in a record: the codes of run time and ratio.
	_sampleSize = 4
	// _cutBit marks the run time of a run that was cut; codes of run times are less.
	_cutBit = 1 << 15
	// _keyOverhead is more than the size of a key in a record without names and runs.
	_keyOverhead = 40
)

// record is the encoded form of an Estimator.
type record struct {
	Version int         `cbor:"v"`
	Keys    []recordKey `cbor:"k"`
}

type recordKey struct {
	Level        int    `cbor:"l"`
	Service      string `cbor:"s,omitempty"`
	Queue        string `cbor:"q,omitempty"`
	CountClass   int    `cbor:"n,omitempty"`
	Accelerators int    `cbor:"a,omitempty"`
	Step         int    `cbor:"p,omitempty"`
	Gang         bool   `cbor:"g,omitempty"`
	Account      string `cbor:"o,omitempty"`
	Image        string `cbor:"i,omitempty"`
	// Runs are the newest runs, from the oldest.
	Runs []byte `cbor:"r"`
}

// Encode returns a record of the runs, of at most size bytes. Keys that do not fit are
// omitted: the finest first, and of these the least recently used.
func (e *Estimator) Encode(size int) ([]byte, error) {
	keys := make([]key, 0, len(e.histories))
	for k := range e.histories {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.level, b.level), e.histories[b].usedAt.Compare(e.histories[a].usedAt), a.compare(b))
	})
	r := record{Version: _recordVersion}
	size -= _keyOverhead
	for _, k := range keys {
		rk := recordOf(k, e.histories[k])
		size -= _keyOverhead + len(k.service) + len(k.queue) + len(k.account) + len(k.image) + len(rk.Runs)
		if size < 0 {
			break
		}
		r.Keys = append(r.Keys, rk)
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, berylerror.Internal.Wrap(err, "encode run times")
	}
	return data, nil
}

func recordOf(k key, h *history) recordKey {
	rk := recordKey{
		Level: int(k.level), Service: k.service, Queue: k.queue, Account: k.account, Image: k.image,
		CountClass: k.shape.CountClass, Accelerators: k.shape.Accelerators, Step: k.shape.Step, Gang: k.shape.Gang,
		Runs: make([]byte, 0, len(h.runs)*_sampleSize),
	}
	for i := range h.runs {
		s := h.runs[(h.next+i)%len(h.runs)]
		took := s.took
		if s.cut {
			took |= _cutBit
		}
		rk.Runs = binary.BigEndian.AppendUint16(rk.Runs, took)
		rk.Runs = binary.BigEndian.AppendUint16(rk.Runs, s.ratio)
	}
	return rk
}

// Decode replaces the runs by those of a record. If the record is of another version or
// malformed, it returns an error of kind Invalid and changes nothing.
func (e *Estimator) Decode(now time.Time, data []byte) error {
	if len(data) > _maxRecord {
		return berylerror.Invalid.Errorf("record of run times has %d bytes; the maximum is %d", len(data), _maxRecord)
	}
	var r record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return berylerror.Invalid.Wrap(err, "decode run times")
	}
	if r.Version != _recordVersion {
		return berylerror.Invalid.Errorf("record of run times has version %d; expected %d", r.Version, _recordVersion)
	}
	if len(r.Keys) > _maxKeys {
		return berylerror.Invalid.Errorf("record of run times has %d keys; the maximum is %d", len(r.Keys), _maxKeys)
	}
	histories := make(map[key]*history, len(r.Keys))
	for i := range r.Keys {
		k, h, err := r.Keys[i].decode()
		if err != nil {
			return err
		}
		// Keys of a level are in the order of their last use.
		h.usedAt = now.Add(-time.Duration(i))
		histories[k] = h
	}
	e.histories = histories
	return nil
}

// decode returns the key and its runs.
func (rk *recordKey) decode() (key, *history, error) {
	t := Task{
		Service: rk.Service, Queue: rk.Queue, Account: rk.Account, Image: rk.Image,
		Shape: Shape{CountClass: rk.CountClass, Accelerators: rk.Accelerators, Step: rk.Step, Gang: rk.Gang},
	}
	l := level(rk.Level)
	if l < 0 || l >= _levels {
		return key{}, nil, berylerror.Invalid.Errorf("record of run times has a key of level %d", rk.Level)
	}
	k, ok := t.key(l)
	if !ok {
		return key{}, nil, berylerror.Invalid.Errorf("record of run times has a key of level %s without its field", l)
	}
	n := len(rk.Runs) / _sampleSize
	if len(rk.Runs)%_sampleSize != 0 || n == 0 || n > _window {
		return key{}, nil, berylerror.Invalid.Errorf("record of run times has %d bytes of runs for a key", len(rk.Runs))
	}
	h := &history{runs: make([]sample, 0, n)}
	for b := rk.Runs; len(b) > 0; b = b[_sampleSize:] {
		took := binary.BigEndian.Uint16(b)
		h.runs = append(h.runs, sample{
			took: min(took&^_cutBit, encodeTime(float64(_maxRunTime))), cut: took&_cutBit != 0, ratio: binary.BigEndian.Uint16(b[2:]),
		})
	}
	h.update()
	return k, h, nil
}
