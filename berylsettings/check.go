package berylsettings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"berylglade/berylduration"
	"berylglade/berylshape"
)

// fault is a broken rule at a key. Unlike an error it carries no line yet.
type fault struct {
	key  string
	text string
}

// first returns the first fault that is not nil.
func first(faults ...*fault) *fault {
	for _, f := range faults {
		if f != nil {
			return f
		}
	}
	return nil
}

func (s *Settings) check() *fault {
	if s.Role == 0 {
		return &fault{key: "role", text: "is missing; use entry, agent, log, worker or runner"}
	}
	if f := s.checkSections(); f != nil {
		return f
	}
	if f := present("dump", s.Dump); f != nil {
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

// checkSections wants the section of the role and no other.
func (s *Settings) checkSections() *fault {
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
			return &fault{key: section.role.String(), text: "does not belong to role " + s.Role.String()}
		}
		if !section.set && section.role == s.Role {
			return &fault{key: section.role.String(), text: "is missing; role " + s.Role.String() + " needs it"}
		}
	}
	return nil
}

func (e *Entry) check() *fault {
	return first(
		named("entry.name", e.Name),
		named("entry.domain", e.Domain),
		present("entry.bind", e.Bind),
		present("entry.http", e.HTTP),
		present("entry.log", e.Log),
		listed("entry.entries", e.Entries),
		contains("entry.entries", e.Entries, e.Bind),
		digests("entry.operators", e.Operators),
		timed("entry.retention", e.Retention),
	)
}

func (a *Agent) check() *fault {
	if f := first(
		named("agent.name", a.Name),
		named("agent.domain", a.Domain),
		named("agent.rack", a.Rack),
		present("agent.bind", a.Bind),
		listed("agent.entries", a.Entries),
	); f != nil {
		return f
	}
	if a.Worker == nil && a.Runner == nil {
		return &fault{key: "agent", text: "has neither worker nor runner"}
	}
	if a.Worker != nil {
		if f := first(
			present("agent.worker.addr", a.Worker.Addr),
			shaped("agent.worker.shape", a.Worker.Shape),
		); f != nil {
			return f
		}
	}
	if a.Runner == nil {
		return nil
	}
	return first(
		present("agent.runner.addr", a.Runner.Addr),
		atLeast("agent.runner.slots", a.Runner.Slots, 1),
	)
}

func (l *Log) check() *fault {
	return first(present("log.bind", l.Bind), atLeast("log.rate", l.Rate, 0))
}

func (w *Worker) check() *fault {
	return first(present("worker.bind", w.Bind), shaped("worker.shape", w.Shape))
}

func (r *Runner) check() *fault {
	return first(present("runner.bind", r.Bind), atLeast("runner.slots", r.Slots, 1))
}

func present(key string, addr netip.AddrPort) *fault {
	if addr.IsValid() {
		return nil
	}
	return &fault{key: key, text: `is missing; use an address such as "10.0.0.1:7100"`}
}

// named checks a name. Names become parts of call ids and configuration keys,
// which are split at "." and "/".
func named(key, name string) *fault {
	if name == "" {
		return &fault{key: key, text: "is missing"}
	}
	if !regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`).MatchString(name) {
		return &fault{key: key, text: fmt.Sprintf("name %q is not made of 1 to 63 of a-z, 0-9 and -", name)}
	}
	return nil
}

func listed(key string, addrs []netip.AddrPort) *fault {
	if len(addrs) == 0 {
		return &fault{key: key, text: "is missing; list the address of every entry"}
	}
	for i, addr := range addrs {
		if slices.Contains(addrs[:i], addr) {
			return &fault{key: fmt.Sprintf("%s[%d]", key, i), text: "address " + addr.String() + " is listed twice"}
		}
	}
	return nil
}

func contains(key string, addrs []netip.AddrPort, own netip.AddrPort) *fault {
	if slices.Contains(addrs, own) {
		return nil
	}
	return &fault{key: key, text: "does not list this entry's own address " + own.String()}
}

func digests(key string, m map[string]string) *fault {
	for name, digest := range m {
		if b, err := hex.DecodeString(digest); err != nil || len(b) != 32 {
			return &fault{key: key + "." + name, text: "is not a SHA-256 in hexadecimal"}
		}
	}
	return nil
}

func timed(key string, d berylduration.Duration) *fault {
	if d > 0 {
		return nil
	}
	return &fault{key: key, text: `is missing; use a duration above zero such as "24h"`}
}

func shaped(key string, s berylshape.Shape) *fault {
	if err := s.Check(); err != nil {
		return &fault{key: key, text: err.Error()}
	}
	return nil
}

func atLeast(key string, n, least int) *fault {
	if n >= least {
		return nil
	}
	return &fault{key: key, text: fmt.Sprintf("%d is below %d", n, least)}
}
