package berylagent

import (
	"strings"

	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
)

// Settings configure one agent process.
type Settings struct {
	// Name is unique among agents and stays the same across restarts. It
	// contains no dot, since it is part of call ids.
	Name string `json:"name"`
	// Domain is the failure domain of the host.
	Domain string `json:"domain"`
	// Rack is unique across all failure domains.
	Rack string `json:"rack"`
	// Listen is the IP address and port for other berylglade processes.
	Listen string `json:"listen"`
	// Entries are the addresses of all entries.
	Entries []string `json:"entries"`
	// Runner is the base URL of the backend server; empty if there is none.
	Runner string `json:"runner,omitempty"`
	// Slots is the number of calls that the backend server runs concurrently.
	Slots int `json:"slots,omitempty"`
	// Queue is the number of calls that may wait for a slot; zero means four
	// per slot.
	Queue int `json:"queue,omitempty"`
	// Worker is the base URL of the worker; empty if there is none.
	Worker string `json:"worker,omitempty"`
	// Total is the total capacity of the worker.
	Total berylshape.Shape `json:"total,omitzero"`
	// Drain is how long running gangs may continue after the shutdown has
	// begun.
	Drain berylduration.Duration `json:"drain,omitempty"`
}

func (s *Settings) check() error {
	switch {
	case s.Name == "" || strings.Contains(s.Name, "."):
		return berylerror.Invalid.Errorf("agent name %q is empty or contains a dot", s.Name)
	case s.Domain == "":
		return berylerror.Invalid.Errorf("agent %s has no failure domain", s.Name)
	case s.Runner != "" && s.Slots < 1:
		return berylerror.Invalid.Errorf("agent %s has a backend server without slots", s.Name)
	case s.Queue < 0:
		return berylerror.Invalid.Errorf("agent %s has a negative queue limit", s.Name)
	case s.Worker != "":
		return s.Total.Check()
	default:
		return nil
	}
}
