package berylsettings

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylerror"
)

const _entry = `{
	// An entry with every key.
	"role": "entry",
	"dump": "127.0.0.1:7102",
	"entry": {
		"name": "entry-1",
		"domain": "ware-east",
		"bind": "127.0.0.1:7100",
		"http": "127.0.0.1:7101",
		"entries": ["127.0.0.1:7100", "127.0.0.1:7110"],
		"log": "127.0.0.1:7000",
		"operators": {"ops": "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"},
		"retention": "24h",
	},
}`

const _agent = `{
	"role": "agent",
	"dump": "127.0.0.1:7201",
	"agent": {
		"name": "agent-1",
		"domain": "ware-east",
		"rack": "ware-east-r1",
		"bind": "127.0.0.1:7200",
		"entries": ["127.0.0.1:7100"],
		"worker": {"addr": "127.0.0.1:7300", "shape": {"accelerators": 8, "cores": 64, "memory": "128GB"}},
		"runner": {"addr": "127.0.0.1:7400", "slots": 8},
	},
}`

const _runner = `{
	"role": "runner",
	"dump": "127.0.0.1:7401",
	"runner": {"bind": "127.0.0.1:7400", "slots": 8, "delay": "20ms"},
}`

// Guards against rejecting valid settings, and against wrong values.
func TestParse(t *testing.T) {
	is := is.New(t)
	e, err := Parse("e", []byte(_entry))
	is.NoErr(err)
	is.Equal(e.Role, RoleEntry)
	is.Equal(e.Entry.Retention.Std(), 24*time.Hour)
	is.Equal(len(e.Entry.Entries), 2)
	a, err := Parse("a", []byte(_agent))
	is.NoErr(err)
	is.Equal(a.Agent.Worker.Shape.Accelerators, 8)
	_, err = Parse("r", []byte(_runner))
	is.NoErr(err)
}

// Guards against accepting invalid settings, and against errors that do not name
// the line and the key of the mistake.
func TestParseErrors(t *testing.T) {
	bare, _, _ := strings.Cut(_agent, `"worker"`)
	tests := []struct {
		name string
		give string
		// old is replaced by with in give; an empty old replaces all of it.
		old, with string
		want      string
	}{
		{name: "syntax", give: _entry, old: `"role":`, with: `"role"`, want: "f: line 3, column 9: "},
		{name: "empty file", give: _entry, want: "f: line 1, column 1: "},
		{name: "not an object", with: `[]`, want: "f:1: needs an object, not a list"},
		{name: "no role", with: `{}`, want: "f:1: role: is missing"},
		{name: "unknown role", give: _entry, old: `"role": "entry"`, with: `"role": "boss"`, want: `f:3: role: role "boss" is not one of`},
		{name: "role is a number", give: _entry, old: `"role": "entry"`, with: `"role": 1`, want: "f:3: role: needs a string, not 1"},
		{name: "unknown key", give: _entry, old: `"domain":`, with: `"zone":`, want: "f:7: entry.zone: unknown key; known are name, domain,"},
		{name: "key case", give: _entry, old: `"domain":`, with: `"Domain":`, want: "f:7: entry.Domain: unknown key"},
		{name: "duplicate key", give: _entry, old: `"domain":`, with: `"name":`, want: "f:7: entry.name: occurs twice"},
		{name: "missing section", with: `{"role": "entry", "dump": "127.0.0.1:1"}`, want: "f:1: entry: is missing"},
		{name: "wrong section", give: _entry, old: `"role": "entry"`, with: `"role": "agent"`, want: "f:5: entry: does not belong to role agent"},
		{name: "missing name", give: _entry, old: `"name": "entry-1",`, want: "f:5: entry.name: is missing"},
		{name: "name with dot", give: _entry, old: `"entry-1"`, with: `"entry.1"`, want: `f:6: entry.name: name "entry.1" is not made of`},
		{name: "missing dump address", give: _entry, old: `"dump": "127.0.0.1:7102",`, want: "f:1: dump: is missing"},
		{name: "missing address", give: _entry, old: `"log": "127.0.0.1:7000",`, want: "f:5: entry.log: is missing"},
		{name: "host name", give: _entry, old: `127.0.0.1:7000`, with: "localhost:7000", want: `f:11: entry.log: address "localhost:7000" is not a numeric IP address`},
		{name: "no port", give: _entry, old: `127.0.0.1:7000`, with: "127.0.0.1", want: `f:11: entry.log: address "127.0.0.1" has no port`},
		{name: "port too high", give: _entry, old: `127.0.0.1:7000`, with: "127.0.0.1:70000", want: `f:11: entry.log: port "70000" of address "127.0.0.1:70000" is not between 1 and 65535`},
		{name: "port zero", give: _entry, old: `127.0.0.1:7000`, with: "127.0.0.1:0", want: `f:11: entry.log: port "0"`},
		{name: "address is a number", give: _entry, old: `"127.0.0.1:7000"`, with: "7000", want: `f:11: entry.log: needs an address such as "10.0.0.1:7100", not 7000`},
		{name: "entries is a string", give: _entry, old: `["127.0.0.1:7100", "127.0.0.1:7110"]`, with: `"127.0.0.1:7100"`, want: "f:10: entry.entries: needs a list"},
		{name: "bad address in list", give: _entry, old: `127.0.0.1:7110`, with: "x", want: `f:10: entry.entries[1]: address "x" has no port`},
		{name: "duplicate address", give: _entry, old: `127.0.0.1:7110`, with: "127.0.0.1:7100", want: "f:10: entry.entries[1]: address 127.0.0.1:7100 is listed twice"},
		{name: "own address not listed", give: _entry, old: `"127.0.0.1:7100", `, want: "f:10: entry.entries: does not list"},
		{name: "token not hashed", give: _entry, old: `"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"`, with: `"secret"`, want: "f:12: entry.operators.ops: is not a SHA-256"},
		{name: "no retention", give: _entry, old: `"retention": "24h",`, want: "f:5: entry.retention: is missing"},
		{name: "duration without unit", give: _entry, old: `"24h"`, with: `"24"`, want: `f:13: entry.retention: duration "24" has no valid unit`},
		{name: "duration is a number", give: _entry, old: `"24h"`, with: `24`, want: `f:13: entry.retention: needs a duration with a unit such as "1.6s", not 24`},
		{name: "too little memory", give: _entry, old: `"24h"`, with: `"24h", "memory": "10MB"`, want: "f:13: entry.memory: is below 64MB"},
		{name: "negative duration", give: _entry, old: `"24h"`, with: `"-1h"`, want: `f:13: entry.retention: duration "-1h" is below zero`},
		{name: "size without unit", give: _agent, old: `"128GB"`, with: `"128"`, want: `f:10: agent.worker.shape.memory: size "128" has no unit`},
		{name: "size with binary unit", give: _agent, old: `"128GB"`, with: `"128GiB"`, want: `f:10: agent.worker.shape.memory: size "128GiB" is not`},
		{name: "size is a number", give: _agent, old: `"128GB"`, with: `128`, want: `f:10: agent.worker.shape.memory: needs a size`},
		{name: "fraction of a core", give: _agent, old: `"cores": 64`, with: `"cores": 6.4`, want: "f:10: agent.worker.shape.cores: needs a whole number, not 6.4"},
		{name: "number as string", give: _agent, old: `"cores": 64`, with: `"cores": "64"`, want: `f:10: agent.worker.shape.cores: needs a whole number, not "64"`},
		{name: "negative amount", give: _agent, old: `"cores": 64`, with: `"cores": -1`, want: "f:10: agent.worker.shape: shape"},
		{name: "string is a list", give: _agent, old: `"ware-east-r1"`, with: `[]`, want: "f:7: agent.rack: needs a string, not a list"},
		{name: "null", give: _agent, old: `"ware-east-r1"`, with: `null`, want: "f:7: agent.rack: needs a string, not null"},
		{name: "no worker and no runner", give: bare, old: `["127.0.0.1:7100"],`, with: `["127.0.0.1:7100"]}}`, want: "f:4: agent: has neither worker nor runner"},
		{name: "no slots", give: _runner, old: `"slots": 8`, with: `"slots": 0`, want: "f:4: runner.slots: 0 is below 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			data := strings.Replace(tt.give, tt.old, tt.with, 1)
			if tt.old == "" {
				data = tt.with
			}
			_, err := Parse("f", []byte(data))
			is.True(err != nil)
			is.Equal(berylerror.Of(err), berylerror.Invalid)
			t.Log(err)
			is.True(strings.HasPrefix(err.Error(), tt.want))
			is.True(!strings.Contains(err.Error(), "\n"))
		})
	}
}

// Guards against reporting a missing file as a mistake in the file.
func TestLoadMissing(t *testing.T) {
	is := is.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "none"))
	is.Equal(berylerror.Of(err), berylerror.Missing)
}

// Guards against accepting an invalid configuration, against errors that do not name
// the line and the key of the mistake, and against values that are changed.
func TestParseConfig(t *testing.T) {
	tests := []struct {
		name string
		give string
		want string
	}{
		{name: "valid", give: `{"classes": {"drafts": {"target": {"within": "2s"}}}, "domains": {"a": {"out": true}, "old": null}}`},
		{name: "not an object", give: `1`, want: "f:1: needs an object"},
		{name: "unknown kind", give: "{\n\"zones\": {}}", want: "f:2: zones: unknown key; known are classes, accounts, domains"},
		{name: "unknown key", give: "{\"classes\": {\"a\": {\n\"weight\": 1}}}", want: "f:2: classes.a.weight: unknown key"},
		{name: "wrong unit", give: "{\"classes\": {\"a\": {\n\"timeout\": \"1x\"}}}", want: "f:2: classes.a.timeout: duration"},
		{name: "invalid time of day", give: "{\"classes\": {\n\"a\": {\"target\": {\"by\": \"25:00\"}}}}", want: "f:2: classes/a: "},
		{name: "unknown time zone", give: `{"classes": {"a": {"target": {"by": "05:00", "zone": "Mars/Base"}}}}`, want: "f:1: classes/a: "},
		{name: "slash in a name", give: `{"domains": {"a/b": {}}}`, want: "f:1: domains/a/b: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			set, err := ParseConfig("f", []byte(tt.give))
			if tt.want == "" {
				is.NoErr(err)
				is.Equal(string(set["domains/old"]), "null")
				is.Equal(string(set["classes/drafts"]), `{"target":{"within":"2s"}}`)
				return
			}
			is.True(err != nil)
			is.Equal(berylerror.Of(err), berylerror.Invalid)
			t.Log(err)
			is.True(strings.HasPrefix(err.Error(), tt.want))
		})
	}
}

// FuzzParse guards against panics, and against errors without a kind.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{_entry, _agent, _runner, `{"classes": {"a": null}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Parse("f", data); err != nil && berylerror.Of(err) != berylerror.Invalid {
			t.Errorf("settings: %v", err)
		}
		if _, err := ParseConfig("f", data); err != nil && berylerror.Of(err) != berylerror.Invalid {
			t.Errorf("configuration: %v", err)
		}
	})
}
