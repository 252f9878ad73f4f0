package berylmerge

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylconfig"
	"berylglade/berylrecord"
)

const (
	domainOut = `{"out":true}`
	domainIn  = `{}`
)

// change returns a record that sets keys to values, given as alternating arguments.
func change(base int64, pairs ...string) berylrecord.Record {
	set := map[string]json.RawMessage{}
	for i := 0; i < len(pairs); i += 2 {
		set[pairs[i]] = json.RawMessage(pairs[i+1])
	}
	return berylrecord.Record{Base: base, Body: berylrecord.Change{By: "op", Set: set}}
}

// TestApply guards against an accepted change that is silently reverted, and two
// conflicting changes that are both accepted.
func TestApply(t *testing.T) {
	tests := []struct {
		name   string
		give   []berylrecord.Record
		want   []Verdict
		winner int64
		offset int64
		out    bool
	}{
		{name: "one change", give: []berylrecord.Record{change(0, "domains/a", domainOut)}, want: []Verdict{Accepted}, offset: 1, out: true},
		{
			name: "conflict", give: []berylrecord.Record{change(0, "domains/a", domainOut), change(0, "domains/a", domainIn)},
			want: []Verdict{Accepted, Conflict}, winner: 1, offset: 1, out: true,
		},
		{
			name: "duplicate", give: []berylrecord.Record{change(0, "domains/a", domainOut), change(0, "domains/a", domainOut)},
			want: []Verdict{Accepted, Conflict}, winner: 1, offset: 1, out: true,
		},
		{
			name: "duplicate after a newer change",
			give: []berylrecord.Record{change(0, "domains/a", domainIn), change(1, "domains/a", domainOut), change(0, "domains/a", domainIn)},
			want: []Verdict{Accepted, Accepted, Conflict}, winner: 2, offset: 2, out: true,
		},
		{
			name: "based on the earlier change", give: []berylrecord.Record{change(0, "domains/a", domainOut), change(1, "domains/a", domainIn)},
			want: []Verdict{Accepted, Accepted}, offset: 2,
		},
		{
			name: "other key", give: []berylrecord.Record{change(0, "domains/a", domainOut), change(0, "domains/b", domainOut)},
			want: []Verdict{Accepted, Accepted}, offset: 2, out: true,
		},
		{
			name: "rejected as a whole",
			give: []berylrecord.Record{change(0, "domains/b", domainOut), change(0, "domains/a", domainOut, "domains/b", domainIn)},
			want: []Verdict{Accepted, Conflict}, winner: 1, offset: 1,
		},
		{
			name: "rejected change causes no conflict", give: []berylrecord.Record{change(0, "domains/b", domainOut), change(0, "domains/a", domainIn, "domains/b", domainIn), change(1, "domains/a", domainOut)},
			want: []Verdict{Accepted, Conflict, Accepted}, winner: 1, offset: 3, out: true,
		},
		{
			name: "removed key still conflicts",
			give: []berylrecord.Record{change(0, "domains/a", domainOut), change(1, "domains/a", "null"), change(1, "domains/a", domainOut)},
			want: []Verdict{Accepted, Accepted, Conflict}, winner: 2, offset: 2,
		},
		{name: "value does not decode", give: []berylrecord.Record{change(0, "domains/a", `{"up":1}`)}, want: []Verdict{Ignored}},
		{name: "one value does not decode", give: []berylrecord.Record{change(0, "domains/a", domainOut, "classes/c", `{"target":{"by":"25:00"}}`)}, want: []Verdict{Ignored}},
		{name: "unknown key", give: []berylrecord.Record{change(0, "weights/a", domainOut)}, want: []Verdict{Ignored}},
		{name: "no key", give: []berylrecord.Record{change(0)}, want: []Verdict{Ignored}},
		{name: "base above the offset", give: []berylrecord.Record{change(7, "domains/a", domainOut)}, want: []Verdict{Ignored}},
		{name: "record of another stream", give: []berylrecord.Record{{Body: berylrecord.Renewal{Term: 1}}}, want: []Verdict{Ignored}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var m Merge
			var got []Verdict
			winner := int64(0)
			for i, r := range tt.give {
				if c, ok := r.Body.(berylrecord.Change); ok && r.Base <= m.Upto() {
					is.Equal(m.Check(r.Base, c).Verdict, tt.want[i])
				}
				o := m.Apply(int64(i)+1, r)
				got = append(got, o.Verdict)
				winner = max(winner, o.Winner)
			}
			is.Equal(got, tt.want)
			is.Equal(winner, tt.winner)
			is.Equal(m.Config().Offset, tt.offset)
			is.Equal(m.Config().Domains["a"].Out, tt.out)
		})
	}
}

// TestAdopt guards against a peer's configuration that replaces a newer one.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	var m Merge
	m.Apply(1, change(0, "domains/a", domainOut))
	is.True(!m.Adopt(nil))
	is.True(!m.Adopt(&berylconfig.Config{Offset: 1}))
	is.True(m.Adopt(&berylconfig.Config{Offset: 3}))
	is.Equal(m.Config().Offset, int64(3))
	m.Apply(2, change(0, "domains/b", domainOut))
	is.Equal(m.Config().Offset, int64(3)) // the log has been read only up to offset 2
	m.Apply(3, change(2, "domains/c", domainOut))
	m.Apply(4, change(3, "domains/d", domainOut))
	is.Equal(m.Config().Offset, int64(4))
	is.Equal(len(m.Config().Domains), 4)
}

// TestSnapshot guards against snapshots that leave out changes or that no correct
// writer can have written.
func TestSnapshot(t *testing.T) {
	tests := []struct {
		name string
		give berylrecord.Snapshot
		want Verdict
	}{
		{name: "up to the dropped records", give: berylrecord.Snapshot{Upto: 9}, want: Accepted},
		{name: "after the dropped records", give: berylrecord.Snapshot{Upto: 11}, want: Accepted},
		{name: "change missing before the first record", give: berylrecord.Snapshot{Upto: 8}, want: Ignored},
		{name: "covers offsets above its own", give: berylrecord.Snapshot{Upto: 12}, want: Ignored},
		{name: "configuration newer than the covered offsets", give: berylrecord.Snapshot{Upto: 9, Config: berylconfig.Config{Offset: 10}}, want: Ignored},
		{name: "key changed after the covered offsets", give: berylrecord.Snapshot{Upto: 9, Changed: map[string]int64{"domains/a": 10}}, want: Ignored},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var m Merge
			m.Truncate(10)
			is.Equal(m.Apply(10, change(8, "domains/a", domainOut)).Verdict, Pending)
			is.Equal(m.Apply(11, change(8, "domains/a", domainIn)).Verdict, Pending)
			is.Equal(m.Check(11, berylrecord.Change{}).Verdict, Pending)
			_, ok := m.Snapshot()
			is.True(!ok)
			is.Equal(m.Apply(12, berylrecord.Record{Body: tt.give}).Verdict, tt.want)
			is.Equal(m.NeedsSnapshot(), tt.want != Accepted)
			// The buffered change at offset 10 is applied unless the snapshot
			// covers it.
			is.Equal(m.Config().Domains["a"].Out, tt.want == Accepted && tt.give.Upto < 10)
		})
	}
}

// TestRebuild guards against a log that stays unusable because it has no usable
// snapshot, and a rebuilt configuration that does not replace older ones.
func TestRebuild(t *testing.T) {
	is := is.New(t)
	var m, other Merge
	_, ok := m.Rebuild()
	is.True(!ok)
	m.Adopt(&berylconfig.Config{Offset: 5, Domains: map[string]berylconfig.FailureDomain{"a": {Out: true}}})
	m.Truncate(10)
	other.Truncate(10)
	r := change(9, "domains/b", domainOut)
	m.Apply(10, r)
	other.Apply(10, r)
	rebuilt, ok := m.Rebuild()
	is.True(ok)
	is.Equal(m.Apply(11, rebuilt).Verdict, Accepted)
	is.Equal(other.Apply(11, rebuilt).Verdict, Accepted)
	is.Equal(m.Config(), other.Config())
	is.Equal(m.Config().Offset, int64(10))
	is.Equal(len(m.Config().Domains), 2)
	is.Equal(m.Apply(12, change(9, "domains/a", domainIn)).Verdict, Conflict)
	is.Equal(m.Apply(13, change(12, "domains/a", domainIn)).Verdict, Accepted)
}

// TestBufferIsBounded guards against a buffer that grows without bound while no
// snapshot arrives.
func TestBufferIsBounded(t *testing.T) {
	is := is.New(t)
	var m Merge
	m.Truncate(10)
	r := change(9, "domains/a", domainOut)
	for i := range int64(_maxBufferedChanges + 1) {
		m.Apply(10+i, r)
	}
	is.True(len(m.buffer) <= _maxBufferedChanges)
	is.Equal(m.Apply(1<<20, berylrecord.Record{Body: berylrecord.Snapshot{Upto: 10}}).Verdict, Ignored)
	is.Equal(m.Apply(1<<20+1, berylrecord.Record{Body: berylrecord.Snapshot{Upto: m.first}}).Verdict, Accepted)
}

// reader reads the stream at its own pace.
type reader struct {
	Merge
	lastOffset int64
}

func (r *reader) read(rt *rapid.T, log []berylrecord.Record, first int64, n int, known map[string]bool) {
	r.Truncate(first)
	for ; n > 0 && r.Upto() < int64(len(log)); n-- {
		rec := log[r.Upto()]
		if known != nil && known[rec.ID] {
			r.Confirm(r.Upto() + 1)
			continue
		}
		if known != nil {
			known[rec.ID] = true
		}
		r.Apply(r.Upto()+1, rec)
		if r.Config().Offset < r.lastOffset {
			rt.Fatalf("configuration at offset %d replaced by one at offset %d", r.lastOffset, r.Config().Offset)
		}
		r.lastOffset = r.Config().Offset
	}
}

// TestReadersAgree guards against readers that end with different configurations,
// depending on where they started, how they batched their reads, which duplicates
// they read and what they adopted, and against a configuration that reverts.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		var log, inFlight []berylrecord.Record
		first, lastSnapshot := int64(1), int64(0)
		readers := []*reader{{}, {}, {}, {}}
		// The first reader drops duplicates, the others apply them.
		known := map[string]bool{}
		read := func(i, n int) {
			if i == 0 {
				readers[0].read(rt, log, first, n, known)
				return
			}
			readers[i].read(rt, log, first, n, nil)
		}
		for step := range rapid.IntRange(0, 120).Draw(rt, "steps") {
			i := pick("reader", len(readers))
			r := readers[i]
			var rec berylrecord.Record
			switch pick("step", 8) {
			case 0:
				read(i, pick("n", 5))
			case 1:
				read(i, len(log))
			case 2, 3:
				value := []string{domainOut, domainIn, "null", "{"}[pick("value", 4)]
				rec = change(r.Upto(), fmt.Sprint("domains/d", pick("key", 3)), value, fmt.Sprint("domains/d", pick("key", 3)), domainOut)
			case 4:
				rec, _ = r.Snapshot()
			case 5, 6:
				if len(inFlight) > 0 {
					j := pick("flight", len(inFlight))
					if s, ok := inFlight[j].Body.(berylrecord.Snapshot); ok {
						lastSnapshot = max(lastSnapshot, s.Upto)
					}
					log = append(log, inFlight[j])
					if pick("again", 4) > 0 {
						inFlight = append(inFlight[:j], inFlight[j+1:]...)
					}
				}
			default:
				switch {
				case i > 0 && pick("restart", 2) == 0:
					*r = reader{}
					r.Adopt(readers[0].Config())
					r.lastOffset = r.Config().Offset
				case lastSnapshot >= first:
					first += int64(pick("trim", int(lastSnapshot+2-first)))
				}
			}
			if rec.Body != nil {
				rec.ID = fmt.Sprint("r", step)
				inFlight = append(inFlight, rec)
			}
		}
		read(0, len(log))
		want := readers[0].Config()
		for i := 1; i < len(readers); i++ {
			read(i, len(log))
			if got := readers[i].Config(); !readers[i].NeedsSnapshot() && fmt.Sprint(got) != fmt.Sprint(want) {
				rt.Fatalf("reader %d has %v, want %v", i, got, want)
			}
		}
	})
}
