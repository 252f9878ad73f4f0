package berylentry

import (
	"testing"

	"github.com/matryer/is"

	"berylglade/berylapi"
	"berylglade/berylstandlog"
)

// Guards against notrun for a key that another entry may have used: the caller
// would send the request with a new key, and it would run twice.
func TestRefusedKeyIsUnknownUnlessAllEntriesConfirm(t *testing.T) {
	tests := []struct {
		name string
		// during changes the other entry after the log has failed.
		during func(other *Entry, stop func())
		want   string
	}{
		{name: "all entries answer", during: func(*Entry, func()) {}, want: "notrun"},
		{name: "other entry is gone", during: func(_ *Entry, stop func()) { stop() }, want: "unknown"},
		{
			name:   "other entry works on the key",
			during: func(other *Entry, _ func()) { other.keysInUse.add(keyName("quabbin", "k")) },
			want:   "unknown",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, url := startLog(t)
			publishConfig(t, url)
			peers := []string{freeAddr(t), freeAddr(t)}
			entries := make([]*Entry, 2)
			stops := make([]func(), 2)
			for i := range entries {
				s := testSettings([]string{"e1", "e2"}[i])
				s.Log, s.Peer, s.Entries = url, peers[i], []string{peers[1-i]}
				entries[i], stops[i] = startStoppable(t, s, nil)
			}
			eventually(t, "entries that have read the log", func() bool {
				for _, e := range entries {
					found, err := e.findIntent(t.Context(), "quabbin", "k")
					if err != nil || !found.caughtUp || e.Config().Offset == 0 {
						return false
					}
				}
				return true
			})
			newFakeAgent(t, "a1").announce(t, entries[0], nil)
			l.SetFaults(berylstandlog.Faults{Down: true})
			tt.during(entries[1], stops[1])
			got := request(t, entries[0], "POST", "/v1/calls?class=write", "rows",
				berylapi.HeaderKey, "k", berylapi.HeaderTimeout, "500ms")
			is.Equal(got.err.Kind, tt.want)
		})
	}
}
