package berylbook

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"berylglade/berylerror"
	"berylglade/berylstore"
)

// Part is a part of a submission whose record is larger than the store accepts. The parts of
// a submission are appended together. They have keys of their own, so that readers may get
// them in any order.
type Part struct {
	// Sum is the hash of the whole, which tells the parts of different submissions of one
	// job apart.
	Sum uint64 `cbor:"h"`
	// Of is the number of parts.
	Of   int    `cbor:"n"`
	Data []byte `cbor:"d"`
}

// Split returns the records in which the store takes r: r itself, or the parts of a
// submission that is larger than one record may be. An error of kind Oversize means that one
// append can't hold them.
func Split(r berylstore.Record, limits berylstore.Limits) ([]berylstore.Record, error) {
	id, submission := strings.CutPrefix(r.Key, _submissionPrefix)
	records := []berylstore.Record{r}
	if !limits.Accepts(r) && submission {
		var err error
		if records, err = split(id, r.Value, limits); err != nil {
			return nil, err
		}
	}
	if !limits.AcceptsCall(records) {
		return nil, berylerror.Oversize.Errorf("record %s has %d bytes; the store accepts %d in a record and %d in a call",
			r.Key, r.Size(), limits.Record, limits.Call)
	}
	return records, nil
}

func split(id string, value []byte, limits berylstore.Limits) ([]berylstore.Record, error) {
	// A read returns about as much as one record may have. Smaller parts fit into one
	// beside others.
	size := max(limits.Record/_partsPerRecord-_partOverhead, 1)
	n := (len(value) + size - 1) / size
	sum := xxhash.Sum64(value)
	records := make([]berylstore.Record, 0, n)
	for i := range n {
		data := value[i*size : min((i+1)*size, len(value))]
		r, err := record(partKey(id, i), &Part{Sum: sum, Of: n, Data: data})
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

func partKey(id string, index int) string {
	return fmt.Sprintf("%s%s.%d", _partPrefix, id, index)
}

// applyPart applies a part of a submission. It returns the id of the job if it is complete.
func (b *Book) applyPart(r berylstore.Record) string {
	id, number, _ := strings.Cut(strings.TrimPrefix(r.Key, _partPrefix), ".")
	index, err := strconv.Atoi(number)
	var p Part
	if err != nil || index < 0 || len(r.Value) == 0 || !b.decode(r, &p) {
		return ""
	}
	if j := b.Jobs[id]; j != nil {
		j.parts = max(j.parts, index+1)
		return ""
	}
	d := b.deferUpdate(id)
	if d.parts == nil {
		d.parts = map[int]Part{}
	}
	d.parts[index] = p
	value, ok := join(d.parts, p.Sum, p.Of)
	if !ok {
		return ""
	}
	known := slices.Max(slices.Collect(maps.Keys(d.parts))) + 1
	id = b.applySubmission(berylstore.Record{Key: _submissionPrefix + id, Value: value})
	if j := b.Jobs[id]; j != nil {
		j.parts = known
	}
	return id
}

// join returns the submission of which parts has all parts with the given sum.
func join(parts map[int]Part, sum uint64, of int) ([]byte, bool) {
	var value []byte
	for i := range of {
		p, ok := parts[i]
		if !ok || p.Sum != sum {
			return nil, false
		}
		value = append(value, p.Data...)
	}
	return value, len(value) > 0 && xxhash.Sum64(value) == sum
}

const (
	// _partsPerRecord is how many parts have about the size of the largest record.
	_partsPerRecord = 2
	// _partOverhead is the size of a part's key and encoding in bytes, with a reserve.
	_partOverhead = 128
)
