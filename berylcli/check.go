package berylcli

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"berylglade/berylerror"
	"berylglade/berylsettings"
)

type checkCmd struct {
	Files []string `arg:"" name:"file" help:"Settings of a process (with a role), or a configuration file (with classes, accounts or domains)."`
}

// checkResult describes a valid file.
type checkResult struct {
	File string `json:"file"`
	// Role is empty for a configuration file.
	Role string `json:"role,omitempty"`
	// Keys is the number of configuration keys.
	Keys int `json:"keys,omitempty"`
}

// Run checks each file and stops at the first error.
func (c *checkCmd) Run(o *output) error {
	results := make([]checkResult, 0, len(c.Files))
	for _, file := range c.Files {
		r, err := checkFile(file)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	return o.print(results, func(w io.Writer) {
		for _, r := range results {
			summary := "role " + r.Role
			if r.Role == "" {
				summary = strconv.Itoa(r.Keys) + " configuration keys"
			}
			_, _ = fmt.Fprintf(w, "%s: ok, %s\n", r.File, summary)
		}
	})
}

func checkFile(file string) (checkResult, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return checkResult{}, berylerror.Missing.Wrap(err, "read file")
	}
	if berylsettings.IsConfig(data) {
		set, err := berylsettings.ParseConfig(file, data)
		return checkResult{File: file, Keys: len(set)}, err
	}
	s, err := berylsettings.Parse(file, data)
	if err != nil {
		return checkResult{}, err
	}
	return checkResult{File: file, Role: s.Role.String()}, nil
}
