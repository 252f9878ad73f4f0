package berylcli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a mistake that hides others of the same file, a finding without its place,
// and exit codes from which a script can't tell mistakes from warnings.
func TestCheckConfiguration(t *testing.T) {
	const warned = "{\n\t\"accounts\": {\n\t\t\"a\": {},\n\t},\n}"
	tests := []struct {
		name, give string
		args       []string
		code       int
		want       []string
	}{
		{name: "sound", give: `{"domains": {"x": {}}}`, want: []string{": ok, 1 configuration keys"}},
		{name: "warning", give: warned, want: []string{":3: warning: accounts/a: ", "(no-key)"}},
		{name: "warning with strict", give: warned, args: []string{"--strict"}, code: 1, want: []string{"(no-key)"}},
		{name: "two mistakes", give: "{\"classes\": {\n\"a\": {\"target\": {\"by\": \"9\"}},\n\"b\": {\"target\": {\"by\": \"8\"}}}}", code: 2, want: []string{":2: classes/a", ":3: classes/b"}},
		{name: "contradiction", give: `{"domains": {"x": {"out": true}}}`, code: 2, want: []string{"(all-out)"}},
		{name: "difference", give: `{"domains": {"x": {"out": false}}}`, args: []string{"--against"}, want: []string{"changed domains/x: out false, was true"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			file, inForce := filepath.Join(dir, "new.hujson"), filepath.Join(dir, "old.hujson")
			is.NoErr(os.WriteFile(file, []byte(tt.give), 0o600))
			is.NoErr(os.WriteFile(inForce, []byte(`{"domains": {"x": {"out": true}}}`), 0o600))
			args := append([]string{"check", file}, tt.args...)
			if len(tt.args) == 1 && tt.args[0] == "--against" {
				args = append(args, inForce)
			}
			code, out, _ := run(t, args...)
			is.Equal(code, tt.code)
			for _, text := range tt.want {
				is.True(strings.Contains(out, text))
			}
			code, out, _ = run(t, append(args, "--format", "json")...)
			is.Equal(code, tt.code)
			var results []checkResult
			is.NoErr(json.Unmarshal([]byte(out), &results))
		})
	}
}
