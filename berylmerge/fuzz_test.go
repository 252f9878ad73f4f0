package berylmerge

import (
	"bytes"
	"testing"

	"berylglade/berylrecord"
)

// FuzzApply guards against records of other programs that crash every process or
// revert the configuration, whether or not the log dropped earlier records.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"id":"1","kind":"change","body":{"set":{"domains/a":{"out":true},"classes/c":{"target":{"by":"05:30"}}}}}
{"id":"2","base":1,"kind":"change","body":{"set":{"domains/a":null}}}`), int64(1))
	f.Add([]byte(`{"id":"1","base":49,"kind":"change","body":{"set":{"accounts/a":{"rate":1}}}}
{"id":"2","kind":"snapshot","body":{"upto":49,"config":{"offset":7},"changed":{"domains/a":7}}}`), int64(50))
	f.Fuzz(func(t *testing.T, data []byte, first int64) {
		first = max(1, min(first, 1<<40))
		var m Merge
		m.Truncate(first)
		last := int64(0)
		for i, line := range bytes.Split(data, []byte("\n")) {
			r, err := berylrecord.Decode(line)
			if err != nil {
				continue
			}
			m.Apply(first+int64(i), r)
			if got := m.Config().Offset; got < last || got > m.Upto() {
				t.Fatalf("configuration has offset %d after %d, read up to %d", got, last, m.Upto())
			}
			last = m.Config().Offset
		}
		if _, ok := m.Snapshot(); ok == m.NeedsSnapshot() {
			t.Fatal("Snapshot and NeedsSnapshot disagree")
		}
	})
}
