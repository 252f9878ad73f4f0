package berylerror

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against a kind without a name, status or exit code, and against two
// kinds that share a name or an exit code.
func TestKindsAreComplete(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	exits := map[int]bool{}
	for _, k := range Kinds() {
		is.True(k.String() != "")
		is.True(k.Status() >= 400)
		is.True(k.Exit() > 0)
		is.True(!names[k.String()])
		is.True(!exits[k.Exit()])
		is.Equal(Parse(k.String()), k)
		names[k.String()] = true
		exits[k.Exit()] = true
	}
}

// Guards against losing the kind when an error is wrapped.
func TestOf(t *testing.T) {
	tests := []struct {
		name string
		give error
		want Kind
	}{
		{name: "plain", give: errors.New("x"), want: Internal},
		{name: "direct", give: NotRun.Errorf("busy"), want: NotRun},
		{name: "wrapped", give: errors.Wrap(Missing.Errorf("no such job"), "status"), want: Missing},
		{name: "outermost wins", give: Unknown.Wrap(NotRun.Errorf("busy"), "call"), want: Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Of(tt.give), tt.want)
		})
	}
}
