package berylanswer

import (
	"testing"

	"github.com/matryer/is"

	"berylglade/berylerror"
)

// Guards against returning another caller's answer or an incomplete one.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		damage func(a *Answer)
		want   berylerror.Kind
	}{
		{name: "complete", damage: func(*Answer) {}},
		{name: "other call", damage: func(a *Answer) { a.ID = "2" }, want: berylerror.Unknown},
		{name: "other account", damage: func(a *Answer) { a.Account = "b" }, want: berylerror.Missing},
		{name: "truncated", damage: func(a *Answer) { a.Body = a.Body[:2] }, want: berylerror.Unknown},
		{name: "changed", damage: func(a *Answer) { a.Body = []byte("abx") }, want: berylerror.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := New("1", "a", 200, []byte("abc"))
			tt.damage(&a)
			err := a.Check("1", "a")
			is.Equal(err != nil, tt.want != 0)
			if tt.want != 0 {
				is.Equal(berylerror.Of(err), tt.want)
			}
		})
	}
}
