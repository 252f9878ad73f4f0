package berylsettings

import (
	"encoding/json"
	"os"

	"github.com/tailscale/hujson"

	"berylglade/berylconfig"
	"berylglade/berylerror"
)

// configFile is the schema of a configuration file. The file is decoded into it
// only to report the line of a mistake; the values are published unchanged.
type configFile struct {
	Classes  map[string]berylconfig.Class         `json:"classes"`
	Accounts map[string]berylconfig.ClientAccount `json:"accounts"`
	Domains  map[string]berylconfig.FailureDomain `json:"domains"`
}

// LoadConfig reads a configuration file. See [ParseConfig].
func LoadConfig(path string) (map[string]json.RawMessage, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, berylerror.Missing.Wrap(err, "read configuration")
	}
	return ParseConfig(path, data)
}

// ParseConfig parses a configuration file with the objects classes, accounts and
// domains and returns the values by configuration key. The value null removes a
// key from the configuration. The name of the file is used in errors only.
func ParseConfig(file string, data []byte) (map[string]json.RawMessage, error) {
	set, _, errs := CheckConfig(file, data)
	if len(errs) > 0 {
		return nil, errs[0]
	}
	return set, nil
}

// CheckConfig is like ParseConfig, but also returns the line of each key, and the errors of
// all keys. Of the errors of types it returns the first.
func CheckConfig(file string, data []byte) (set map[string]json.RawMessage, lines map[string]int, errs []error) {
	doc, err := parseDocument(file, data)
	if err != nil {
		return nil, nil, []error{err}
	}
	kinds, err := doc.members(&doc.root, "")
	if err != nil {
		return nil, nil, []error{err}
	}
	set, lines = map[string]json.RawMessage{}, map[string]int{}
	var entries []configEntry
	for i := range kinds {
		members, err := doc.members(&kinds[i].Value, memberName(&kinds[i]))
		if err != nil {
			return nil, nil, []error{err}
		}
		for j := range members {
			e := configEntry{key: memberName(&kinds[i]) + "/" + memberName(&members[j]), offset: members[j].Name.StartOffset}
			set[e.key] = standardJSON(&members[j].Value)
			lines[e.key] = doc.line(e.offset)
			entries = append(entries, e)
		}
	}
	if err := doc.checkTypes(); err != nil {
		return nil, nil, []error{err}
	}
	cfg := new(berylconfig.Config).Clone()
	for _, e := range entries {
		if err := cfg.Set(e.key, set[e.key]); err != nil {
			errs = append(errs, doc.errorAtOffset(e.offset, e.key, err.Error()))
		}
	}
	return set, lines, errs
}

// configEntry is a key of a configuration file and where it stands.
type configEntry struct {
	key    string
	offset int
}

// checkTypes decodes the file without the values that are null, to find unknown
// keys and values of the wrong type.
func (d *document) checkTypes() error {
	pruned := document{file: d.file, data: d.data, root: d.root.Clone()}
	root, _ := pruned.root.Value.(*hujson.Object)
	for i := range root.Members {
		kind, ok := root.Members[i].Value.Value.(*hujson.Object)
		if !ok {
			continue
		}
		remaining := kind.Members[:0]
		for _, m := range kind.Members {
			if lit, ok := m.Value.Value.(hujson.Literal); !ok || lit.Kind() != 'n' {
				remaining = append(remaining, m)
			}
		}
		kind.Members = remaining
	}
	return pruned.decode(new(configFile))
}

// standardJSON returns a value as JSON without comments and trailing commas.
func standardJSON(v *hujson.Value) json.RawMessage {
	c := v.Clone()
	c.Minimize()
	return json.RawMessage(c.Pack())
}

// IsConfig reports whether a file is a configuration file rather than a settings
// file. A file that can't be parsed counts as a settings file.
func IsConfig(data []byte) bool {
	root, err := hujson.Parse(data)
	if err != nil {
		return false
	}
	for _, key := range []string{"classes", "accounts", "domains"} {
		if child(&root, key) != nil {
			return child(&root, "role") == nil
		}
	}
	return false
}
