package berylconfig

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/beryladjacency"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
	"berylglade/berylsize"
)

// Guards against values that processes interpret differently, or that let an
// account exceed its limits.
func TestSetRejectsInvalidValues(t *testing.T) {
	tests := []struct {
		name string
		key  string
		give string
	}{
		{name: "data after the value", key: "domains/d", give: `{"out":true}{}`},
		{name: "zone of the VM", key: "classes/c", give: `{"target":{"by":"05:30","zone":"Local"}}`},
		{name: "negative quota", key: "accounts/a", give: `{"quota":{"cores":-1}}`},
		{name: "count that overflows", key: "accounts/a", give: `{"guarantees":[{"shape":{"cores":4},"count":4611686018427387904}]}`},
		{name: "shape that overflows", key: "accounts/a", give: `{"guarantees":[{"shape":{"cores":4611686018427387904},"count":4}]}`},
		{name: "body above the largest message", key: "classes/c", give: `{"body":"8001KB"}`},
		{name: "timeout above the limit", key: "classes/c", give: `{"timeout":"61m"}`},
		{name: "size that overflows", key: "classes/c", give: `{"body":"10000000000GB"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c Config
			is.Equal(berylerror.Of(c.Set(tt.key, json.RawMessage(tt.give))), berylerror.Invalid)
			is.Equal(len(c.Keys()), 0)
		})
	}
}

// FuzzSet guards against panics, errors without a kind, and accepted values
// that change when they are encoded for the log or for messages.
func FuzzSet(f *testing.F) {
	f.Add("domains/d", []byte(`{"out":true,"grace":"10m"}`))
	f.Add("classes/c", []byte(`{"target":{"by":"05:30","zone":"Europe/Ljubljana"},"body":"1MB"}`))
	f.Add("accounts/a", []byte(`{"hash":"00","rate":1.5,"quota":{"cores":4},"guarantees":[{"shape":{"memory":"2GB"},"count":2,"adjacent":"rack"}]}`))
	f.Add("accounts/a", []byte(`null`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		var c Config
		if err := c.Set(key, value); err != nil {
			if berylerror.Of(err) != berylerror.Invalid || len(c.Keys()) != 0 {
				t.Fatal(err)
			}
			return
		}
		checkRoundTrip(t, &c)
	})
}

type fataler interface {
	Fatalf(format string, args ...any)
}

// checkRoundTrip encodes and decodes a configuration in the format of the log
// and in that of messages, and checks that it is unchanged.
func checkRoundTrip(t fataler, c *Config) {
	want, err := json.Marshal(c)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	var fromText, fromBinary Config
	if err := json.Unmarshal(want, &fromText); err != nil {
		t.Fatalf("decode %s: %v", want, err)
	}
	data, err := cbor.Marshal(c)
	if err == nil {
		err = cbor.Unmarshal(data, &fromBinary)
	}
	if err != nil {
		t.Fatalf("encode and decode %s as CBOR: %v", want, err)
	}
	for _, got := range []*Config{&fromText, &fromBinary} {
		if text, err := json.Marshal(got); err != nil || string(text) != string(want) {
			t.Fatalf("got %s, %v after encoding and decoding %s", text, err, want)
		}
	}
}

// Guards against an accepted configuration that changes when it is encoded for
// the log or for messages.
func TestConfigRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		amount := rapid.IntRange(1, 1<<20)
		shape := func(label string) berylshape.Shape {
			return berylshape.Shape{
				Cores:  amount.Draw(rt, label+" cores"),
				Memory: berylsize.Size(rapid.Int64Range(0, 1<<46).Draw(rt, label+" memory")),
			}
		}
		duration := func(label string) berylduration.Duration {
			return berylduration.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(rt, label))
		}
		values := map[string]any{
			"classes/c": Class{
				Target:  Target{Within: duration("within")},
				Stop:    duration("stop"),
				Timeout: berylduration.Duration(rapid.Int64Range(0, int64(_maxTimeout)).Draw(rt, "timeout")),
				Body:    berylsize.Size(rapid.Int64Range(0, int64(_maxBody)).Draw(rt, "body")),
			},
			"accounts/a": ClientAccount{
				Hash:  rapid.String().Draw(rt, "hash"),
				Quota: shape("quota"),
				Rate:  rapid.Float64Range(0, math.MaxFloat64).Draw(rt, "rate"),
				Burst: rapid.IntRange(0, math.MaxInt).Draw(rt, "burst"),
				Guarantees: []Guarantee{{
					Shape:    shape("guarantee"),
					Count:    rapid.IntRange(1, _maxCount).Draw(rt, "count"),
					Adjacent: rapid.SampledFrom([]beryladjacency.Adjacency{0, beryladjacency.Rack}).Draw(rt, "adjacent"),
				}},
			},
			"domains/d": FailureDomain{Out: rapid.Bool().Draw(rt, "out"), Grace: duration("grace")},
		}
		var c Config
		for key, value := range values {
			data, err := json.Marshal(value)
			if err == nil {
				err = c.Set(key, data)
			}
			if err != nil {
				rt.Fatalf("%s %s: %v", key, data, err)
			}
		}
		checkRoundTrip(rt, &c)
	})
}
