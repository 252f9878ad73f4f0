package berylsite

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"berylglade/berylerror"
	"berylglade/beryllint"
	"berylglade/berylpolicy"
	"berylglade/platform"
)

type checkCmd struct {
	File         string `arg:"" optional:"" help:"Desired state to be checked; without it the settings file is checked."`
	Against      string `name:"against" help:"Desired state in force; prints what the file changes in it."`
	Accelerators int    `name:"accelerators" help:"Number of accelerators of the site, for guarantees; 0 if it is not known."`
	Strict       bool   `name:"strict" help:"Exit with 1 if there are warnings."`
	Format       string `name:"format" enum:"text,json" default:"text" help:"Format of the output: text or json."`
}

// errWarnings means that a desired state is valid but has warnings, with --strict.
var errWarnings = errors.New("there are warnings")

// _warningsExit is the exit code for warnings with --strict.
const _warningsExit = 1

// checkResult describes a desired state.
type checkResult struct {
	File     string              `json:"file"`
	Version  int64               `json:"version"`
	Findings []beryllint.Finding `json:"findings,omitempty"`
	Changes  []beryllint.Change  `json:"changes,omitempty"`
}

// Run checks the desired state, or the settings file if none is named.
func (c *checkCmd) Run() error {
	if c.File == "" {
		s, err := platform.Load(os.Getenv(platform.EnvSettings))
		if err != nil {
			return err
		}
		fmt.Printf("%+v\n", s)
		return nil
	}
	p, err := loadPolicy(c.File)
	if err != nil {
		return err
	}
	r := checkResult{File: c.File, Version: p.Version, Findings: beryllint.Policy(p, c.Accelerators)}
	if c.Against != "" {
		inForce, err := loadPolicy(c.Against)
		if err != nil {
			return err
		}
		r.Changes = beryllint.PolicyChanges(inForce, p)
	}
	if err := c.print(&r); err != nil {
		return err
	}
	mistakes := 0
	for _, f := range r.Findings {
		if f.Error {
			mistakes++
		}
	}
	switch {
	case mistakes > 0:
		return berylerror.Invalid.Errorf("%d errors, %d warnings", mistakes, len(r.Findings)-mistakes)
	case len(r.Findings) > 0 && c.Strict:
		return errWarnings
	default:
		return nil
	}
}

func (c *checkCmd) print(r *checkResult) error {
	if c.Format == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	for _, f := range r.Findings {
		fmt.Println(r.File + beryllint.Line(f))
	}
	for _, d := range r.Changes {
		fmt.Printf("%s: %s %s: %s\n", r.File, d.Kind, d.Place, d.Text)
	}
	fmt.Printf("%s: version %d, %d findings\n", r.File, r.Version, len(r.Findings))
	return nil
}

func loadPolicy(file string) (*berylpolicy.Policy, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, berylerror.Missing.Wrap(err, "read desired state")
	}
	p, err := platform.DecodePolicy(data)
	if err != nil {
		return nil, berylerror.Invalid.Wrap(err, file)
	}
	return p, nil
}
