package berylstore

// Limits are the sizes that the store accepts, in bytes.
type Limits struct {
	// Record is the maximum size of one record, as given by Record.Size.
	Record int
	// Call is the maximum size of the records of one append together, with
	// RecordOverhead bytes for each. It is at least Record plus that.
	Call int
}

const (
	// RecordOverhead is the size of a record's length prefix in a call, in bytes.
	RecordOverhead = 4
	// _maxKey is the maximum size of a key in bytes: its length is one byte.
	_maxKey = 255
)

// DefaultLimits returns the limits of a store whose settings name none.
func DefaultLimits() Limits { return Limits{Record: 256 << 10, Call: 2 << 20} }

// Size returns the size of the record's content in bytes: the length of the key, the key and
// the value.
func (r Record) Size() int { return 1 + len(r.Key) + len(r.Value) }

// CallSize returns the size that the record takes in a call, in bytes.
func (r Record) CallSize() int { return RecordOverhead + r.Size() }

// Accepts reports whether the store takes the record.
func (l Limits) Accepts(r Record) bool { return len(r.Key) <= _maxKey && r.Size() <= l.Record }

// AcceptsCall reports whether the store takes the records in one call.
func (l Limits) AcceptsCall(records []Record) bool {
	size := 0
	for _, r := range records {
		size += r.CallSize()
		if !l.Accepts(r) {
			return false
		}
	}
	return size <= l.Call
}
