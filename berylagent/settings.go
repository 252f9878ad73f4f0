package berylagent

import (
	"strings"

	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
)

// Settings describe one agent process.
type Settings struct {
	// Name is unique among agents and stays the same over restarts. It has no
	// dot, since it is part of call ids.
	Name string `json:"name"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Rack is unique over all failure domains.
	Rack string `json:"rack"`
	// Listen is the IP address and port for our other processes.
	Listen string `json:"listen"`
	// Entries are the addresses of all entries.
	Entries []string `json:"entries"`
	// Runner is the base URL of the backend server; empty if there is none.
	Runner string `json:"runner,omitempty"`
	// Slots is the number of calls that the backend server runs at once.
	Slots int `json:"slots,omitempty"`
	// Queue is the number of calls that may wait for a slot; zero means four
	// for each slot.
	Queue int `json:"queue,omitempty"`
	// Worker is the base URL of the worker; empty if there is none.
	Worker string `json:"worker,omitempty"`
	// Total is the whole worker.
	Total berylshape.Shape `json:"total,omitzero"`
	// Drain is how long running gangs may continue after the process was asked
	// to stop.
	Drain berylduration.Duration `json:"drain,omitempty"`
}

func (s *Settings) check() error {
	switch {
	case s.Name == "" || strings.Contains(s.Name, "."):
		return berylerror.Invalid.Errorf("agent name %q is empty or has a dot", s.Name)
	case s.Domain == "":
		return berylerror.Invalid.Errorf("agent %s has no failure domain", s.Name)
	case s.Runner != "" && s.Slots < 1:
		return berylerror.Invalid.Errorf("agent %s has a backend server without slots", s.Name)
	case s.Queue < 0:
		return berylerror.Invalid.Errorf("agent %s has a queue below zero", s.Name)
	case s.Worker != "":
		return s.Total.Check()
	default:
		return nil
	}
}
