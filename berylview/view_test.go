package berylview

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylpolicy"
)

// Guards against a desired state that reverts to a lower version, or that becomes
// older, when the store and a peer confirm it in turn.
func TestPolicyNeverReverts(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	tests := []struct {
		name        string
		version     int64
		asOf        time.Time
		wantVersion int64
		wantAt      time.Time
	}{
		{name: "newer version", version: 4, asOf: at(6), wantVersion: 4, wantAt: at(6)},
		{name: "newer version, confirmed earlier", version: 4, asOf: at(3), wantVersion: 4, wantAt: at(5)},
		{name: "same version", version: 3, asOf: at(6), wantVersion: 3, wantAt: at(6)},
		{name: "lower version", version: 2, asOf: at(6), wantVersion: 3, wantAt: at(5)},
		{name: "confirmed", asOf: at(6), wantVersion: 3, wantAt: at(6)},
		{name: "confirmed earlier", asOf: at(4), wantVersion: 3, wantAt: at(5)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var v View
			v.SetPolicy(&berylpolicy.Policy{Version: 3}, at(5))
			var p *berylpolicy.Policy
			if tt.version > 0 {
				p = &berylpolicy.Policy{Version: tt.version}
			}
			v.SetPolicy(p, tt.asOf)
			got, confirmed := v.Policy()
			is.Equal(got.Version, tt.wantVersion)
			is.Equal(confirmed, tt.wantAt)
		})
	}
}
