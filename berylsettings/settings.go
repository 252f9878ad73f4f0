// Package berylsettings reads the settings of one process: JSON with comments,
// decoded strictly.
//
// [Load] reads a file and [Parse] parses its contents. The first mistake is
// returned as an error of kind invalid that names the file, the line and the key.
// [ParseConfig] parses a configuration file of operators in the same way.
// Addresses are numeric because the system uses no name service.
package berylsettings

import (
	"net/netip"
	"os"

	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
	"berylglade/berylsize"
)

// Settings are the settings of one process.
type Settings struct {
	// Role determines which of the sections below is present.
	Role Role `json:"role"`
	// Dump is the listen address for state dump, metrics and health.
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
	// Bind is the listen address for entries and agents.
	Bind netip.AddrPort `json:"bind"`
	// HTTP is the listen address for callers and operators.
	HTTP netip.AddrPort `json:"http"`
	// Entries are the Bind addresses of all entries, including this one.
	Entries []netip.AddrPort `json:"entries"`
	// Log is the address of the platform's log.
	Log netip.AddrPort `json:"log"`
	// Operators maps the name of each operator to the SHA-256 of the operator's
	// bearer token in hexadecimal.
	Operators map[string]string `json:"operators,omitempty"`
	// Retention is how long the log keeps records.
	Retention berylduration.Duration `json:"retention"`
	// Drain is the longest time that a graceful stop waits for calls in flight;
	// zero means 30 s.
	Drain berylduration.Duration `json:"drain,omitempty"`
	// Memory is the memory of the VM, of which a quarter is for the connections of
	// callers; zero means 512 MB.
	Memory berylsize.Size `json:"memory,omitempty"`
	// Latency is the one-way delay from this entry to each failure domain.
	Latency map[string]berylduration.Duration `json:"latency,omitempty"`
}

// Agent are the settings of an agent. At least one of Worker and Runner is set.
type Agent struct {
	// Name is unique among the agents.
	Name string `json:"name"`
	// Domain is the failure domain of the VM.
	Domain string `json:"domain"`
	// Rack is the name of the rack, unique among all failure domains.
	Rack string `json:"rack"`
	// Bind is the listen address for entries and agents.
	Bind netip.AddrPort `json:"bind"`
	// Entries are the Bind addresses of all entries.
	Entries []netip.AddrPort `json:"entries"`
	// Drain is how long running gangs may continue after the agent was asked to
	// stop.
	Drain berylduration.Duration `json:"drain,omitempty"`
	// Worker is the worker that the agent manages, if any.
	Worker *Host `json:"worker,omitempty"`
	// Runner is the backend server that the agent manages, if any.
	Runner *Backend `json:"runner,omitempty"`
}

// Host are an agent's settings for its worker.
type Host struct {
	Addr netip.AddrPort `json:"addr"`
	// Shape is the capacity of the worker.
	Shape berylshape.Shape `json:"shape"`
}

// Backend are an agent's settings for its backend server.
type Backend struct {
	Addr netip.AddrPort `json:"addr"`
	// Slots is the number of calls that run at the same time.
	Slots int `json:"slots"`
}

// Log are the settings of the stand-in of the platform's log.
type Log struct {
	Bind netip.AddrPort `json:"bind"`
	// Retention is how long records are kept; zero means without limit.
	Retention berylduration.Duration `json:"retention,omitempty"`
	// Rate is the number of appends per second that the log accepts; zero means
	// no limit.
	Rate int `json:"rate,omitempty"`
}

// Worker are the settings of the stand-in of a worker.
type Worker struct {
	Bind netip.AddrPort `json:"bind"`
	// Shape is the capacity of the worker.
	Shape berylshape.Shape `json:"shape"`
}

// Runner are the settings of the stand-in of a backend server.
type Runner struct {
	Bind netip.AddrPort `json:"bind"`
	// Slots is the number of calls that run at the same time.
	Slots int `json:"slots"`
	// Delay is how long each call takes.
	Delay berylduration.Duration `json:"delay,omitempty"`
}

// Load reads a settings file. See [Parse].
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, berylerror.Missing.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses and checks settings. The name of the file is used in errors only.
func Parse(file string, data []byte) (*Settings, error) {
	doc, err := parseDocument(file, data)
	if err != nil {
		return nil, err
	}
	s := new(Settings)
	if err := doc.decode(s); err != nil {
		return nil, err
	}
	if f := s.check(); f != nil {
		return nil, doc.errorAtKey(f.key, f.text)
	}
	return s, nil
}
