package berylsettings

import (
	"encoding/json"
	"os"

	"github.com/tailscale/hujson"

	"berylglade/berylconfig"
	"berylglade/berylerror"
)

// configFile is the form of a configuration file. It is decoded only to find
// the line of a mistake; the values are published as they are.
type configFile struct {
	Classes  map[string]berylconfig.Class         `json:"classes"`
	Accounts map[string]berylconfig.ClientAccount `json:"accounts"`
	Domains  map[string]berylconfig.FailureDomain `json:"domains"`
}

// LoadConfig reads a configuration file.
func LoadConfig(path string) (map[string]json.RawMessage, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, berylerror.Missing.Wrap(err, "read configuration")
	}
	return ParseConfig(path, data)
}

// ParseConfig reads a configuration file with the objects classes, accounts and
// domains and returns the values by configuration key. A value null removes the
// key.
func ParseConfig(file string, data []byte) (map[string]json.RawMessage, error) {
	doc, err := parse(file, data)
	if err != nil {
		return nil, err
	}
	set := map[string]json.RawMessage{}
	cfg := new(berylconfig.Config).Clone()
	kinds, err := doc.members(&doc.root, "")
	if err != nil {
		return nil, err
	}
	for i := range kinds {
		members, err := doc.members(&kinds[i].Value, name(&kinds[i]))
		if err != nil {
			return nil, err
		}
		for j := range members {
			key := name(&kinds[i]) + "/" + name(&members[j])
			set[key] = standard(&members[j].Value)
		}
	}
	if err := doc.checkForm(); err != nil {
		return nil, err
	}
	for i := range kinds {
		members, _ := doc.members(&kinds[i].Value, name(&kinds[i]))
		for j := range members {
			key := name(&kinds[i]) + "/" + name(&members[j])
			if err := cfg.Set(key, set[key]); err != nil {
				return nil, doc.fail(members[j].Name.StartOffset, key, err.Error())
			}
		}
	}
	return set, nil
}

// checkForm decodes the file with values that are null left out.
func (d *document) checkForm() error {
	pruned := document{file: d.file, data: d.data, root: d.root.Clone()}
	root, _ := pruned.root.Value.(*hujson.Object)
	for i := range root.Members {
		kind, ok := root.Members[i].Value.Value.(*hujson.Object)
		if !ok {
			continue
		}
		kept := kind.Members[:0]
		for _, m := range kind.Members {
			if lit, ok := m.Value.Value.(hujson.Literal); !ok || lit.Kind() != 'n' {
				kept = append(kept, m)
			}
		}
		kind.Members = kept
	}
	return pruned.decode(new(configFile))
}

func standard(v *hujson.Value) json.RawMessage {
	c := v.Clone()
	c.Minimize()
	return json.RawMessage(c.Pack())
}

// IsConfig reports whether a file has the form of a configuration file rather
// than of settings. Files that do not parse are taken as settings.
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
