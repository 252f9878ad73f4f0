package berylconfiglint_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"berylglade/berylconfig"
	"berylglade/berylconfiglint"
)

const _sound = `{
	"classes/draft": {"target": {"within": "2s"}, "checkpoint": true, "stop": "1s"},
	"accounts/a": {"hash": "01", "quota": {"accelerators": 8}, "guarantees": [{"shape": {"accelerators": 2}, "count": 3, "spare": true}], "rate": 5, "burst": 9},
	"accounts/b": {"hash": "02"},
	"domains/x": {"out": true, "grace": "5s"},
	"domains/y": {}
}`

// configOf returns the configuration with the values of edit in place of those of the sound one.
func configOf(is *is.I, edit string) (*berylconfig.Config, map[string]json.RawMessage) {
	set := map[string]json.RawMessage{}
	is.NoErr(json.Unmarshal([]byte(_sound), &set))
	if edit != "" {
		is.NoErr(json.Unmarshal([]byte(edit), &set))
	}
	cfg := new(berylconfig.Config).Clone()
	for key, value := range set {
		is.NoErr(cfg.Set(key, value))
	}
	return cfg, set
}

// One test for each rule. Guards against configurations that are published with settings that
// have no effect or contradict each other, and against findings in one that is sound.
func TestRules(t *testing.T) {
	tests := []struct {
		rule, edit, place string
		warning           bool
	}{
		{rule: "stop-unused", edit: `{"classes/draft": {"stop": "1s"}}`, place: "classes/draft", warning: true},
		{rule: "stop-over-target", edit: `{"classes/draft": {"target": {"within": "2s"}, "checkpoint": true, "stop": "3s"}}`, place: "classes/draft"},
		{rule: "shared-key", edit: `{"accounts/b": {"hash": "01"}}`, place: "accounts/b"},
		{rule: "no-key", edit: `{"accounts/b": {}}`, place: "accounts/b", warning: true},
		{rule: "burst-unused", edit: `{"accounts/b": {"hash": "02", "burst": 3}}`, place: "accounts/b", warning: true},
		{rule: "spare-one-domain", edit: `{"domains/y": null}`, place: "accounts/a"},
		{rule: "quota-under-guarantee", edit: `{"accounts/a": {"hash": "01", "quota": {"accelerators": 5}, "guarantees": [{"shape": {"accelerators": 2}, "count": 3}]}}`, place: "accounts/a"},
		{rule: "grace-unused", edit: `{"domains/y": {"grace": "5s"}}`, place: "domains/y", warning: true},
		{rule: "all-out", edit: `{"domains/y": {"out": true}}`, place: "domains"},
	}
	cfg, _ := configOf(is.New(t), "")
	is.New(t).Equal(len(berylconfiglint.Check(cfg)), 0)
	for _, tt := range tests {
		t.Run(tt.rule, func(t *testing.T) {
			is := is.New(t)
			cfg, _ := configOf(is, tt.edit)
			found := false
			for _, f := range berylconfiglint.Check(cfg) {
				found = found || (f.Rule == tt.rule && f.Place == tt.place && f.Error != tt.warning)
			}
			is.True(found)
		})
	}
}

// Guards against a change that isn't listed or is listed behind a lesser one, and against
// hashes of tokens that are printed.
func TestChanges(t *testing.T) {
	is := is.New(t)
	_, inForce := configOf(is, "")
	_, set := configOf(is, `{"accounts/a": {"hash": "09", "rate": 2}, "accounts/b": null, "classes/new": {}, "domains/y": {"out": true}}`)
	var got []string
	for _, c := range berylconfiglint.Changes(inForce, set) {
		got = append(got, c.Kind+" "+c.Place+": "+c.Text)
	}
	is.Equal(got, []string{
		"removed accounts/b: was hash (hash)",
		"changed accounts/a: burst unset, was 9",
		`changed accounts/a: guarantees unset, was [{"shape": {"accelerators": 2}, "count": 3, "spare": true}]`,
		"changed accounts/a: hash (hash), was (hash)",
		`changed accounts/a: quota unset, was {"accelerators": 8}`,
		"changed accounts/a: rate 2, was 5",
		"changed domains/y: out true, was unset",
		"added classes/new: ",
	})
}
