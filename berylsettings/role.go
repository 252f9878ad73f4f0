package berylsettings

import "berylglade/berylerror"

// Role selects what a process does.
type Role uint8

const (
	// RoleEntry is an entry, which serves callers and operators.
	RoleEntry Role = iota + 1
	// RoleAgent is the agent of a worker, a backend server, or both.
	RoleAgent
	// RoleLog is the stand-in of the platform's log.
	RoleLog
	// RoleWorker is the stand-in of a worker.
	RoleWorker
	// RoleRunner is the stand-in of a backend server.
	RoleRunner
)

func roles() []string { return []string{"", "entry", "agent", "log", "worker", "runner"} }

// String returns the name as written in settings.
func (r Role) String() string {
	if int(r) >= len(roles()) {
		return ""
	}
	return roles()[r]
}

// MarshalText returns the name of the role.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the name of a role.
func (r *Role) UnmarshalText(text []byte) error {
	for i, name := range roles() {
		if i > 0 && name == string(text) {
			*r = Role(i)
			return nil
		}
	}
	return berylerror.Invalid.Errorf("role %q is not one of entry, agent, log, worker, runner", text)
}
