package berylsettings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"berylglade/berylduration"
	"berylglade/berylshape"
	"berylglade/berylsize"
)

// keyError says that the value of a key is invalid. The line is added by
// [document.errorAtKey].
type keyError struct {
	key  string
	text string
}

// firstError returns the first error that is not nil.
func firstError(errs ...*keyError) *keyError {
	for _, f := range errs {
		if f != nil {
			return f
		}
	}
	return nil
}

func (s *Settings) check() *keyError {
	if s.Role == 0 {
		return &keyError{key: "role", text: "is missing; use entry, agent, log, worker or runner"}
	}
	if f := s.checkSections(); f != nil {
		return f
	}
	if f := checkAddr("dump", s.Dump); f != nil {
		return f
	}
	switch s.Role {
	case RoleEntry:
		return s.Entry.check()
	case RoleAgent:
		return s.Agent.check()
	case RoleLog:
		return s.Log.check()
	case RoleWorker:
		return s.Worker.check()
	default:
		return s.Runner.check()
	}
}

// checkSections checks that the section of the role is present and no other.
func (s *Settings) checkSections() *keyError {
	sections := []struct {
		role Role
		set  bool
	}{
		{role: RoleEntry, set: s.Entry != nil},
		{role: RoleAgent, set: s.Agent != nil},
		{role: RoleLog, set: s.Log != nil},
		{role: RoleWorker, set: s.Worker != nil},
		{role: RoleRunner, set: s.Runner != nil},
	}
	for _, section := range sections {
		if section.set && section.role != s.Role {
			return &keyError{key: section.role.String(), text: "does not belong to role " + s.Role.String()}
		}
		if !section.set && section.role == s.Role {
			return &keyError{key: section.role.String(), text: "is missing; role " + s.Role.String() + " needs it"}
		}
	}
	return nil
}

func (e *Entry) check() *keyError {
	return firstError(
		checkName("entry.name", e.Name),
		checkName("entry.domain", e.Domain),
		checkAddr("entry.bind", e.Bind),
		checkAddr("entry.http", e.HTTP),
		checkAddr("entry.log", e.Log),
		checkAddrs("entry.entries", e.Entries),
		checkContains("entry.entries", e.Entries, e.Bind),
		checkDigests("entry.operators", e.Operators),
		checkPositive("entry.retention", e.Retention),
		checkMemory("entry.memory", e.Memory),
	)
}

func (a *Agent) check() *keyError {
	if f := firstError(
		checkName("agent.name", a.Name),
		checkName("agent.domain", a.Domain),
		checkName("agent.rack", a.Rack),
		checkAddr("agent.bind", a.Bind),
		checkAddrs("agent.entries", a.Entries),
	); f != nil {
		return f
	}
	if a.Worker == nil && a.Runner == nil {
		return &keyError{key: "agent", text: "has neither worker nor runner"}
	}
	if a.Worker != nil {
		if f := firstError(
			checkAddr("agent.worker.addr", a.Worker.Addr),
			checkShape("agent.worker.shape", a.Worker.Shape),
		); f != nil {
			return f
		}
	}
	if a.Runner == nil {
		return nil
	}
	return firstError(
		checkAddr("agent.runner.addr", a.Runner.Addr),
		checkMin("agent.runner.slots", a.Runner.Slots, 1),
	)
}

func (l *Log) check() *keyError {
	return firstError(checkAddr("log.bind", l.Bind), checkMin("log.rate", l.Rate, 0))
}

func (w *Worker) check() *keyError {
	return firstError(checkAddr("worker.bind", w.Bind), checkShape("worker.shape", w.Shape))
}

func (r *Runner) check() *keyError {
	return firstError(checkAddr("runner.bind", r.Bind), checkMin("runner.slots", r.Slots, 1))
}

func checkAddr(key string, addr netip.AddrPort) *keyError {
	if addr.IsValid() {
		return nil
	}
	return &keyError{key: key, text: `is missing; use an address such as "10.0.0.1:7100"`}
}

// checkName checks a name. Names are parts of call ids and configuration keys,
// which are split at "." and "/".
func checkName(key, name string) *keyError {
	if name == "" {
		return &keyError{key: key, text: "is missing"}
	}
	if !regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`).MatchString(name) {
		return &keyError{key: key, text: fmt.Sprintf("name %q is not made of 1 to 63 of a-z, 0-9 and -", name)}
	}
	return nil
}

func checkAddrs(key string, addrs []netip.AddrPort) *keyError {
	if len(addrs) == 0 {
		return &keyError{key: key, text: "is missing; list the address of every entry"}
	}
	for i, addr := range addrs {
		if slices.Contains(addrs[:i], addr) {
			return &keyError{key: fmt.Sprintf("%s[%d]", key, i), text: "address " + addr.String() + " is listed twice"}
		}
	}
	return nil
}

func checkContains(key string, addrs []netip.AddrPort, own netip.AddrPort) *keyError {
	if slices.Contains(addrs, own) {
		return nil
	}
	return &keyError{key: key, text: "does not list this entry's own address " + own.String()}
}

func checkDigests(key string, m map[string]string) *keyError {
	for name, digest := range m {
		if b, err := hex.DecodeString(digest); err != nil || len(b) != 32 {
			return &keyError{key: key + "." + name, text: "is not a SHA-256 in hexadecimal"}
		}
	}
	return nil
}

func checkPositive(key string, d berylduration.Duration) *keyError {
	if d > 0 {
		return nil
	}
	return &keyError{key: key, text: `is missing; use a duration above zero such as "24h"`}
}

// checkMemory accepts zero and sizes in which a process has room.
func checkMemory(key string, s berylsize.Size) *keyError {
	if s != 0 && s < _minMemory {
		return &keyError{key: key, text: "is below 64MB"}
	}
	return nil
}

// _minMemory is the smallest memory of a VM.
const _minMemory = 64 * berylsize.MB

func checkShape(key string, s berylshape.Shape) *keyError {
	if err := s.Check(); err != nil {
		return &keyError{key: key, text: err.Error()}
	}
	return nil
}

func checkMin(key string, n, minimum int) *keyError {
	if n >= minimum {
		return nil
	}
	return &keyError{key: key, text: fmt.Sprintf("%d is below %d", n, minimum)}
}
