package berylintent

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylrecord"
)

func intent(base int64, key, call, prev string) berylrecord.Record {
	return berylrecord.Record{Base: base, Body: berylrecord.Intent{Key: key, Account: "acc", Call: call, Prev: prev}}
}

// TestApply guards against two calls that are both accepted for one key.
func TestApply(t *testing.T) {
	tests := []struct {
		name      string
		first     int64
		give      []berylrecord.Record
		want      []Verdict
		call      string
		uncertain bool
	}{
		{name: "first", give: []berylrecord.Record{intent(0, "k", "c1", "")}, want: []Verdict{Accepted}, call: "c1"},
		{name: "two concurrent intents", give: []berylrecord.Record{intent(0, "k", "c1", ""), intent(0, "k", "c2", "")}, want: []Verdict{Accepted, Rejected}, call: "c1"},
		{name: "duplicate", give: []berylrecord.Record{intent(0, "k", "c1", ""), intent(0, "k", "c1", "")}, want: []Verdict{Accepted, Rejected}, call: "c1"},
		{name: "next attempt", give: []berylrecord.Record{intent(0, "k", "c1", ""), intent(1, "k", "c2", "c1")}, want: []Verdict{Accepted, Accepted}, call: "c2"},
		{
			name: "two concurrent next attempts",
			give: []berylrecord.Record{intent(0, "k", "c1", ""), intent(1, "k", "c2", "c1"), intent(1, "k", "c3", "c1")},
			want: []Verdict{Accepted, Accepted, Rejected}, call: "c2",
		},
		{name: "unknown predecessor", give: []berylrecord.Record{intent(0, "k", "c2", "c1")}, want: []Verdict{Rejected}},
		{name: "no key", give: []berylrecord.Record{intent(0, "", "c1", "")}, want: []Verdict{Rejected}},
		{name: "base above the offset", give: []berylrecord.Record{intent(1, "k", "c1", "")}, want: []Verdict{Rejected}},
		{name: "record of another stream", give: []berylrecord.Record{{Body: berylrecord.Renewal{Term: 1}}}, want: []Verdict{Rejected}},
		{name: "records dropped, base is known", first: 50, give: []berylrecord.Record{intent(49, "k", "c2", "c1")}, want: []Verdict{Accepted}, call: "c2"},
		{
			name: "records dropped, may include an earlier intent", first: 50,
			give: []berylrecord.Record{intent(48, "k", "c2", "")}, want: []Verdict{Uncertain}, call: "c2", uncertain: true,
		},
		{
			name: "records dropped, settled by the next attempt", first: 50,
			give: []berylrecord.Record{intent(48, "k", "c2", ""), intent(50, "k", "c3", "c2")}, want: []Verdict{Uncertain, Accepted}, call: "c3",
		},
		{
			name: "records dropped, two uncertain intents", first: 50,
			give: []berylrecord.Record{intent(48, "k", "c2", ""), intent(49, "k", "c3", "")}, want: []Verdict{Uncertain, Uncertain}, call: "c3", uncertain: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var x Index
			first := max(tt.first, 1)
			x.Truncate(first)
			var got []Verdict
			for i, r := range tt.give {
				got = append(got, x.Apply(first+int64(i), r))
			}
			is.Equal(got, tt.want)
			f, ok := x.Find("acc", "k")
			is.Equal(ok, tt.call != "")
			is.Equal(f.Call, tt.call)
			is.Equal(f.Uncertain, tt.uncertain)
			_, ok = x.Find("other", "k")
			is.True(!ok)
		})
	}
}

// TestTruncate guards against keys that are never forgotten, and a newer intent
// that is forgotten together with an older one.
func TestTruncate(t *testing.T) {
	is := is.New(t)
	var x Index
	x.Apply(1, intent(0, "a", "c1", ""))
	x.Apply(2, intent(1, "b", "c2", ""))
	x.Apply(3, intent(2, "a", "c3", "c1"))
	x.Truncate(3)
	is.Equal(x.Len(), 1)
	is.Equal(len(x.order), 1)
	f, _ := x.Find("acc", "a")
	is.Equal(f.Call, "c3")
	is.Equal(x.NewIntent("acc", "a", "s", "c4").Body, berylrecord.Intent{Key: "a", Account: "acc", Sum: "s", Call: "c4", Prev: "c3"})
	is.Equal(x.NewIntent("acc", "b", "s", "c5").Base, int64(3))
	x.Truncate(4)
	is.Equal(x.Len()+len(x.order), 0)
}

// reader reads the stream at its own pace.
type reader struct {
	Index
	known map[string]bool
}

func (r *reader) read(log []berylrecord.Record, first int64, n int) {
	r.Truncate(first)
	for ; n > 0 && r.upto < int64(len(log)); n-- {
		rec := log[r.upto]
		if r.known[rec.ID] {
			r.Confirm(r.upto + 1)
			continue
		}
		r.known[rec.ID] = true
		r.Apply(r.upto+1, rec)
	}
}

// TestReadersAgree guards against two entries that dispatch different calls for one
// key, wherever they started to read, whatever duplicates they read and however
// late the intents were appended.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		var log, inFlight []berylrecord.Record
		first := int64(1)
		readers := []*reader{{}, {}, {}}
		for i := range readers {
			readers[i].known = map[string]bool{}
		}
		for i := range rapid.IntRange(0, 100).Draw(rt, "steps") {
			r := readers[pick("reader", len(readers))]
			switch pick("step", 7) {
			case 0:
				r.read(log, first, pick("n", 5))
			case 1:
				r.read(log, first, len(log))
			case 2:
				key := fmt.Sprint("k", pick("key", 2))
				if f, _ := r.Find("acc", key); !f.Uncertain {
					rec := r.NewIntent("acc", key, "", fmt.Sprint("c", i))
					rec.ID = fmt.Sprint("r", i)
					inFlight = append(inFlight, rec)
				}
			case 3, 4:
				if len(inFlight) > 0 {
					j := pick("flight", len(inFlight))
					log = append(log, inFlight[j])
					if pick("again", 4) > 0 {
						inFlight = append(inFlight[:j], inFlight[j+1:]...)
					}
				}
			case 5:
				first += int64(pick("trim", int(int64(len(log))+2-first)))
			default:
				*r = reader{known: map[string]bool{}}
			}
		}
		for _, r := range readers {
			r.read(log, first, len(log))
		}
		for _, key := range []string{"k0", "k1"} {
			call := ""
			for _, r := range readers {
				f, ok := r.Find("acc", key)
				if !ok || f.Uncertain {
					continue
				}
				if call != "" && call != f.Call {
					rt.Fatalf("key %s: calls %s and %s", key, call, f.Call)
				}
				call = f.Call
			}
		}
	})
}
