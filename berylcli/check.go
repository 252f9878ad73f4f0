package berylcli

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"berylglade/berylconfig"
	"berylglade/berylconfiglint"
	"berylglade/berylerror"
	"berylglade/beryllint"
	"berylglade/berylsettings"
)

type checkCmd struct {
	Files   []string `arg:"" name:"file" help:"Settings of a process (with a role), or a configuration file (with classes, accounts or domains)."`
	Against string   `name:"against" help:"Configuration file in force; prints what the files change in it."`
	Strict  bool     `name:"strict" help:"Exit with 1 if there are warnings."`
	Format  string   `name:"format" enum:"text,json" default:"text" help:"Format of the output: text or json."`
}

// checkResult describes one file.
type checkResult struct {
	File string `json:"file"`
	// Role is empty for a configuration file.
	Role string `json:"role,omitempty"`
	// Keys is the number of configuration keys.
	Keys     int                 `json:"keys,omitempty"`
	Findings []beryllint.Finding `json:"findings,omitempty"`
	Changes  []beryllint.Change  `json:"changes,omitempty"`
	// Mistakes are errors that keep the file from being read, one line each.
	Mistakes []string `json:"mistakes,omitempty"`
}

// Run checks each file, prints the findings and returns an error for the exit code.
func (c *checkCmd) Run(o *output) error {
	results := make([]checkResult, 0, len(c.Files))
	for _, file := range c.Files {
		r, err := c.checkFile(file)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	o.json = o.json || c.Format == "json"
	if err := o.print(results, func(w io.Writer) {
		for _, r := range results {
			if onlyMistake(results) {
				return
			}
			r.print(w)
		}
	}); err != nil {
		return err
	}
	return c.outcome(results)
}

// outcome returns nil if the files can be used.
func (c *checkCmd) outcome(results []checkResult) error {
	mistakes, warnings := 0, 0
	for _, r := range results {
		mistakes += len(r.Mistakes)
		for _, f := range r.Findings {
			if f.Error {
				mistakes++
			} else {
				warnings++
			}
		}
	}
	switch {
	case onlyMistake(results):
		return berylerror.Invalid.Errorf("%s", results[0].Mistakes[0])
	case mistakes > 0:
		return berylerror.Invalid.Errorf("%d errors, %d warnings", mistakes, warnings)
	case warnings > 0 && c.Strict:
		return &warningsError{count: warnings}
	default:
		return nil
	}
}

// onlyMistake reports whether one file was checked that can't be read for one reason, which
// is the text of the error then.
func onlyMistake(results []checkResult) bool {
	return len(results) == 1 && len(results[0].Mistakes) == 1
}

// warningsError means that files are valid but have warnings, with --strict.
type warningsError struct{ count int }

func (e *warningsError) Error() string { return strconv.Itoa(e.count) + " warnings" }

// _warningsExit is the exit code for warnings with --strict.
const _warningsExit = 1

func (r *checkResult) print(w io.Writer) {
	for _, m := range r.Mistakes {
		_, _ = fmt.Fprintf(w, "%s\n", m)
	}
	for _, f := range r.Findings {
		_, _ = fmt.Fprintln(w, r.File+beryllint.Line(f))
	}
	for _, c := range r.Changes {
		_, _ = fmt.Fprintf(w, "%s: %s %s: %s\n", r.File, c.Kind, c.Place, c.Text)
	}
	if len(r.Mistakes) > 0 {
		return
	}
	summary := "role " + r.Role
	if r.Role == "" {
		summary = strconv.Itoa(r.Keys) + " configuration keys"
	}
	verdict := "ok"
	if len(r.Findings) > 0 {
		verdict = strconv.Itoa(len(r.Findings)) + " findings"
	}
	_, _ = fmt.Fprintf(w, "%s: %s, %s\n", r.File, verdict, summary)
}

func (c *checkCmd) checkFile(file string) (checkResult, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return checkResult{}, berylerror.Missing.Wrap(err, "read file")
	}
	r := checkResult{File: file}
	if berylsettings.IsConfig(data) {
		return r, c.checkConfig(&r, data)
	}
	s, err := berylsettings.Parse(file, data)
	if err != nil {
		r.Mistakes = []string{err.Error()}
		return r, nil
	}
	r.Role = s.Role.String()
	return r, nil
}

// checkConfig checks a configuration file.
func (c *checkCmd) checkConfig(r *checkResult, data []byte) error {
	set, lines, errs := berylsettings.CheckConfig(r.File, data)
	for _, err := range errs {
		r.Mistakes = append(r.Mistakes, err.Error())
	}
	if len(errs) > 0 {
		return nil
	}
	r.Keys = len(set)
	cfg := new(berylconfig.Config).Clone()
	for key, value := range set {
		if err := cfg.Set(key, value); err != nil {
			return err
		}
	}
	r.Findings = berylconfiglint.Check(cfg)
	for i := range r.Findings {
		r.Findings[i].Line = lines[r.Findings[i].Place]
	}
	if c.Against == "" {
		return nil
	}
	inForce, err := berylsettings.LoadConfig(c.Against)
	if err != nil {
		return err
	}
	r.Changes = berylconfiglint.Changes(inForce, set)
	return nil
}
