package berylcli

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylglade/berylsettings"
)

// run runs a command line and returns its exit code, standard output and standard
// error.
func run(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	c := CLI{In: strings.NewReader(""), Out: &out, Err: &errs}
	code := c.Run(t.Context(), args)
	return code, out.String(), errs.String()
}

// Guards against invalid example files, which operators copy.
func TestCheckExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.hujson")
	if err != nil || len(files) != 12 {
		t.Fatalf("found %d example files, want 12: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := run(t, "check", file)
			is.Equal(errs, "")
			is.Equal(code, 0)
			is.True(strings.Contains(out, ": ok, "))
		})
	}
}

// Guards against written settings that a process would reject.
func TestDevWrite(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	code, out, _ := run(t, "--json", "dev", "--write", dir)
	is.Equal(code, 0)
	var files []string
	is.NoErr(json.Unmarshal([]byte(out), &files))
	is.Equal(len(files), 14)
	code, _, errs := run(t, append([]string{"check"}, files...)...)
	is.Equal(errs, "")
	is.Equal(code, 0)
	set, err := berylsettings.LoadConfig(filepath.Join(dir, "configuration.hujson"))
	is.NoErr(err)
	is.Equal(len(set), 9)
}

// Guards against usage errors that start something, have a wrong exit code or do
// not say what is wrong.
func TestUsageErrors(t *testing.T) {
	tests := []struct {
		give []string
		want string
	}{
		{give: nil, want: "expected one of"},
		{give: []string{"fly"}, want: "unexpected argument fly"},
		{give: []string{"call"}, want: `expected "<class>"`},
		{give: []string{"call", "quick", "--color"}, want: "unknown flag --color"},
		{give: []string{"call", "quick", "--entry", "localhost:80"}, want: "is not a numeric IP address"},
		{give: []string{"call", "quick", "--timeout", "5"}, want: "--timeout"},
		{give: []string{"call", "quick", "--body", "x", "--file", "y"}, want: "can't be used together"},
		{give: []string{"submit", "urgent", "--memory", "5"}, want: "has no unit"},
		{give: []string{"submit", "urgent", "--adjacent", "street"}, want: "is not one of anywhere, domain, rack, worker"},
		{give: []string{"submit", "urgent", "--tasks", "many"}, want: "--tasks"},
		{give: []string{"domain", "out", "a", "--grace", "10"}, want: "has no valid unit"},
		{give: []string{"dump", "here"}, want: "is not a numeric IP address"},
		{give: []string{"dev", "--port", "65530"}, want: "--port 65530"},
		{give: []string{"bench", "--levels", "0"}, want: "below one"},
		{give: []string{"bench", "--entry", "127.0.0.1:1"}, want: "used together"},
		{give: []string{"bench", "--metrics", "10.0.0.1:1"}, want: "not a loopback address"},
	}
	for _, tt := range tests {
		t.Run(strings.Join(tt.give, " "), func(t *testing.T) {
			is := is.New(t)
			code, out, errs := run(t, tt.give...)
			t.Log(errs)
			is.Equal(code, 2)
			is.Equal(out, "")
			is.True(strings.HasPrefix(errs, "berylglade: invalid: "))
			is.True(strings.Contains(errs, tt.want))
			is.Equal(strings.Count(errs, "\n"), 1)
		})
	}
}

// Guards against errors that --json does not print as JSON.
func TestErrorAsJSON(t *testing.T) {
	is := is.New(t)
	code, _, errs := run(t, "--json", "call", "quick", "--entry", "127.0.0.1:1")
	is.Equal(code, 8)
	var p errorOutput
	is.NoErr(json.Unmarshal([]byte(errs), &p))
	is.Equal(p.Kind, "notrun")
}

// Guards against commands whose help fails.
func TestHelp(t *testing.T) {
	commands := []string{
		"", "entry", "agent", "standin log", "standin worker", "standin runner", "dev", "check", "call", "result",
		"submit", "status", "jobs", "cancel", "config show", "config publish", "domain out", "domain back", "drain",
		"agents", "dump", "bench",
	}
	for _, command := range commands {
		t.Run(command, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := run(t, append(strings.Fields(command), "--help")...)
			is.Equal(code, 0)
			is.Equal(errs, "")
			is.True(strings.HasPrefix(out, "Usage: berylglade"))
		})
	}
}
