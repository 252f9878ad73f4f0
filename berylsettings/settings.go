// Package berylsettings reads the settings of one process: JSON with comments,
// decoded strictly.
//
// [Load] reads a file and [Parse] its bytes. Each mistake is one error of kind
// invalid that names file, line and key. [ParseConfig] reads a configuration
// file for operators in the same way. Addresses are numeric, as the system uses
// no name service.
package berylsettings

import (
	"net/netip"
	"os"

	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
)

// Settings are the settings of one process.
type Settings struct {
	// Role says which of the sections below is present.
	Role Role `json:"role"`
	// Dump is the listener for state dump, metrics and health.
	Dump netip.AddrPort `json:"dump"`
	// Entry is present if Role is RoleEntry.
	Entry *Entry `json:"entry,omitempty"`
	// Agent is present if Role is RoleAgent.
	Agent *Agent `json:"agent,omitempty"`
	// Log is present if Role is RoleLog.
	Log *Log `json:"log,omitempty"`
	// Worker is present if Role is RoleWorker.
	Worker *Worker `json:"worker,omitempty"`
	// Runner is present if Role is RoleRunner.
	Runner *Runner `json:"runner,omitempty"`
}

// Entry are the settings of an entry.
type Entry struct {
	// Name is unique among the entries.
	Name string `json:"name"`
	// Domain is the failure domain of the VM.
	Domain string `json:"domain"`
	// Bind is the listener for our processes.
	Bind netip.AddrPort `json:"bind"`
	// HTTP is the listener for callers and operators.
	HTTP netip.AddrPort `json:"http"`
	// Entries are the Bind addresses of all entries; it includes this one.
	Entries []netip.AddrPort `json:"entries"`
	// Log is the address of the platform's log.
	Log netip.AddrPort `json:"log"`
	// Operators has the SHA-256 of the bearer token of each operator, in
	// hexadecimal, by the operator's name.
	Operators map[string]string `json:"operators,omitempty"`
	// Retention is the time for which the log keeps records.
	Retention berylduration.Duration `json:"retention"`
	// Drain is the longest time that a planned stop waits for calls in
	// progress; zero means 30 s.
	Drain berylduration.Duration `json:"drain,omitempty"`
	// Latency is the one-way delay from this entry to each failure domain.
	Latency map[string]berylduration.Duration `json:"latency,omitempty"`
}

// Agent are the settings of an agent. At least one of Worker and Runner is set.
type Agent struct {
	// Name is unique among the agents.
	Name string `json:"name"`
	// Domain is the failure domain of the host.
	Domain string `json:"domain"`
	// Rack is unique over all failure domains.
	Rack string `json:"rack"`
	// Bind is the listener for our processes.
	Bind netip.AddrPort `json:"bind"`
	// Entries are the Bind addresses of all entries.
	Entries []netip.AddrPort `json:"entries"`
	// Drain is how long running gangs may go on after the agent was asked to
	// stop.
	Drain berylduration.Duration `json:"drain,omitempty"`
	// Worker is the worker beside the agent.
	Worker *Host `json:"worker,omitempty"`
	// Runner is the backend server beside the agent.
	Runner *Backend `json:"runner,omitempty"`
}

// Host is a worker as its agent sees it.
type Host struct {
	Addr netip.AddrPort `json:"addr"`
	// Shape is all that the worker offers.
	Shape berylshape.Shape `json:"shape"`
}

// Backend is a backend server as its agent sees it.
type Backend struct {
	Addr netip.AddrPort `json:"addr"`
	// Slots is the number of calls that run at the same time.
	Slots int `json:"slots"`
}

// Log are the settings of the stand-in of the platform's log.
type Log struct {
	Bind netip.AddrPort `json:"bind"`
	// Retention is the time for which records are kept; zero means for ever.
	Retention berylduration.Duration `json:"retention,omitempty"`
	// Rate is the number of appends a second that are accepted.
	Rate int `json:"rate,omitempty"`
}

// Worker are the settings of the stand-in of a worker.
type Worker struct {
	Bind netip.AddrPort `json:"bind"`
	// Shape is all that the worker offers.
	Shape berylshape.Shape `json:"shape"`
}

// Runner are the settings of the stand-in of a backend server.
type Runner struct {
	Bind netip.AddrPort `json:"bind"`
	// Slots is the number of calls that run at the same time.
	Slots int `json:"slots"`
	// Delay is the time that each call takes.
	Delay berylduration.Duration `json:"delay,omitempty"`
}

// Load reads the settings in a file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, berylerror.Missing.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse reads settings. The name of the file is used in errors only.
func Parse(file string, data []byte) (*Settings, error) {
	doc, err := parse(file, data)
	if err != nil {
		return nil, err
	}
	s := new(Settings)
	if err := doc.decode(s); err != nil {
		return nil, err
	}
	if f := s.check(); f != nil {
		return nil, doc.errorAt(f.key, f.text)
	}
	return s, nil
}
