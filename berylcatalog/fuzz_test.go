package berylcatalog

import (
	"bytes"
	"testing"

	"berylglade/berylrecord"
)

// FuzzApply guards against records of other programs that crash every entry or
// leave a key that maps to no job, whether or not the log dropped earlier
// records.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"id":"1","kind":"claim","body":{"term":1,"by":"a"}}
{"id":"2","base":1,"kind":"job","body":{"term":1,"state":{"id":"j","account":"a","key":"k","tasks":1,"phase":"decided","attempt":1,"members":[{"agent":"w"}]}}}
{"id":"3","base":2,"kind":"cancel","body":{"job":"j"}}
{"id":"4","base":3,"kind":"handover","body":{"term":1}}`), int64(1))
	f.Add([]byte(`{"id":"1","base":49,"kind":"job","body":{"term":2,"state":{"id":"j","tasks":1,"phase":"done"}}}
{"id":"2","base":40,"kind":"claim","body":{"term":3,"by":"b"}}
{"id":"3","base":51,"kind":"renewal","body":{"term":3,"by":"b","since":51}}`), int64(50))
	f.Fuzz(func(t *testing.T, data []byte, first int64) {
		first = max(1, min(first, 1<<40))
		var c Catalog
		c.Truncate(first)
		for i, line := range bytes.Split(data, []byte("\n")) {
			r, err := berylrecord.Decode(line)
			if err != nil {
				continue
			}
			c.Apply(at(float64(i)), first+int64(i), r)
		}
		c.Truncate(first + 2)
		for key, id := range c.keys {
			if j := c.jobs[id]; j == nil || keyOf(j.state) != key {
				t.Fatalf("key %v maps to job %s, which is unknown or has another key", key, id)
			}
		}
		if c.Number > c.upto {
			t.Fatalf("term %d is above the last offset %d", c.Number, c.upto)
		}
	})
}
