package berylestimator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"berylglade/berylestimator"
)

func learned() *berylestimator.Estimator {
	var e berylestimator.Estimator
	replay(&e, []load{
		{n: 40, task: declare(time.Second), run: ended(2 * time.Second)},
		{n: 5, run: cut(time.Second)},
		{n: 10, task: func(t *berylestimator.Task) { t.Account = "b" }, run: ended(5 * time.Second)},
	})
	return &e
}

// Guards against a record that loses runs or keys, is larger than allowed, or drops coarse
// keys for fine ones.
func TestRecord(t *testing.T) {
	is := is.New(t)
	e := learned()
	for i := range 400 {
		q := task()
		q.Image = fmt.Sprint("image-", i)
		e.Add(now().Add(time.Duration(i)), q, ended(time.Second))
	}
	for _, size := range []int{0, 1000, 8 << 10, 64 << 10} {
		data, err := e.Encode(size)
		is.NoErr(err)
		is.True(len(data) <= max(size, 16))
		var got berylestimator.Estimator
		is.NoErr(got.Decode(now(), data))
		switch size {
		case 0:
		case 64 << 10:
			is.Equal(got.Known(""), e.Known(""))
		default:
			is.Equal(got.Expect(berylestimator.Task{Service: "s", Queue: "q"}).From, "queue")
		}
	}
}

// Guards against a record of another version or with impossible contents that is taken
// over, and against the loss of what was known before.
func TestDecodeRejects(t *testing.T) {
	type m = map[string]any
	entry := func(change m) m {
		k := m{"l": 0, "s": "s", "q": "q", "r": make([]byte, 32)}
		for name, v := range change {
			k[name] = v
		}
		return m{"v": 1, "k": []m{k}}
	}
	tests := []struct {
		name string
		give any
	}{
		{name: "other version", give: m{"v": 2}},
		{name: "no version", give: m{"k": []m{}}},
		{name: "no record", give: "text"},
		{name: "unknown level", give: entry(m{"l": 4})},
		{name: "negative level", give: entry(m{"l": -1})},
		{name: "key without its field", give: entry(m{"q": ""})},
		{name: "no runs", give: entry(m{"r": []byte{}})},
		{name: "part of a run", give: entry(m{"r": make([]byte, 6)})},
		{name: "too many runs", give: entry(m{"r": make([]byte, 33*4)})},
		{name: "too long", give: entry(m{"i": string(make([]byte, 70_000))})},
		{name: "too many keys", give: m{"v": 1, "k": make([]m, 513)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			data, err := cbor.Marshal(tt.give)
			is.NoErr(err)
			e := learned()
			before := e.Known("")
			is.True(e.Decode(now(), data) != nil)
			is.Equal(e.Known(""), before)
		})
	}
	is.New(t).NoErr((&berylestimator.Estimator{}).Decode(now(), must(cbor.Marshal(entry(nil)))))
}

func must(data []byte, _ error) []byte { return data }

// Guards against a panic, and against expectations that are negative or out of range, for
// any record.
func FuzzDecode(f *testing.F) {
	f.Add(must(learned().Encode(64 << 10)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var e berylestimator.Estimator
		if e.Decode(now(), data) != nil {
			return
		}
		for _, k := range e.Known("") {
			q := berylestimator.Task{
				Service: k.Service, Queue: k.Queue, Shape: k.Shape, Account: k.Account, Image: k.Image, Declared: 24 * time.Hour,
			}
			x := e.Expect(q)
			if x.Median <= 0 || x.High < x.Median || x.High > 100*24*time.Hour {
				t.Fatalf("expectation %+v of %+v", x, k)
			}
			e.Add(now(), q, ended(time.Second))
		}
		if data, err := e.Encode(8 << 10); err != nil || len(data) > 8<<10 {
			t.Fatalf("record of %d bytes: %v", len(data), err)
		}
	})
}
