package berylentry

import (
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylsize"
)

// Settings are the settings of an entry.
type Settings struct {
	// Name is unique among the entries.
	Name string `json:"name"`
	// Domain is the entry's own failure domain.
	Domain string `json:"domain"`
	// HTTP is the address for callers and operators.
	HTTP string `json:"http"`
	// Peer is the address for other berylglade processes.
	Peer string `json:"peer"`
	// Entries are the peer addresses of the other entries.
	Entries []string `json:"entries,omitempty"`
	// Log is the URL of the platform's log.
	Log string `json:"log"`
	// Operators has the SHA-256 of the token of each operator, in hexadecimal,
	// by the operator's name.
	Operators map[string]string `json:"operators,omitempty"`
	// Retention is how long the log retains records.
	Retention berylduration.Duration `json:"retention"`
	// Drain is the longest time that a planned stop waits for calls in
	// progress. Zero means 30 s.
	Drain berylduration.Duration `json:"drain,omitempty"`
	// Memory is the memory of the VM; zero means 512 MB.
	Memory berylsize.Size `json:"memory,omitempty"`
	// Latency is the one-way delay to each failure domain.
	Latency map[string]berylduration.Duration `json:"latency,omitempty"`
}

func (s *Settings) check() error {
	switch {
	case s.Name == "":
		return berylerror.Invalid.Errorf("settings: name of the entry is missing")
	case s.HTTP == "" || s.Peer == "":
		return berylerror.Invalid.Errorf("settings: entry %s needs http and peer addresses", s.Name)
	case s.Retention <= 0:
		return berylerror.Invalid.Errorf("settings: log retention is missing")
	case s.Memory < 0:
		return berylerror.Invalid.Errorf("settings: memory is negative")
	default:
		return nil
	}
}
