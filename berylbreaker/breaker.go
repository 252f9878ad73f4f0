// Package berylbreaker decides which backend servers get work although runs have failed
// there at once.
//
// It answers a backend server that fails each run that it starts. Its capacity is always
// free, so that all waiting work of a full cluster goes there, and sound tasks use up their
// attempts within a second. The breaker of such a server opens with the first failure. After
// a pause it is half open: one run at a time is started there as a probe, and the breaker
// closes when a run that was started since the last failure makes progress.
package berylbreaker

import (
	"maps"
	"strings"
	"time"
)

// State is what may be started on a backend server.
type State uint8

const (
	// Closed means any work.
	Closed State = iota
	// HalfOpen means one run, as a probe.
	HalfOpen
	// Open means nothing.
	Open
)

// Table has the breakers of all backend servers. The zero value has closed ones only.
type Table struct {
	servers map[string]*breaker
	// failed has, by step, the servers on which its runs have failed at once.
	failed map[string]map[string]bool
	// opened is the number of breakers that are not closed.
	opened int
}

// breaker is that of one backend server.
type breaker struct {
	closed bool
	// failedAt is when a run last failed at once. Steps are those whose runs have, and
	// works is true if one of them works elsewhere.
	failedAt time.Time
	steps    map[string]bool
	works    bool
	// pause is the length of the latest pause, which lasts until until.
	pause time.Duration
	until time.Time
	// probedAt is when the latest probe was started; zero if none was since the pause.
	probedAt time.Time
}

// Failure is a run that has failed before it made any progress.
type Failure struct {
	// Server is the backend server, and Servers how many there are.
	Server  string
	Servers int
	// Step identifies the step of the run. Works is true if other runs of it have made
	// progress.
	Step  string
	Works bool
}

// Fail notes a failure, and reports whether it has opened the breaker of its server. A step
// that works nowhere opens some breakers only without the failure of another step: the
// fault is likely its own.
func (t *Table) Fail(now time.Time, f Failure) bool {
	if t.servers == nil {
		t.servers = map[string]*breaker{}
		t.failed = map[string]map[string]bool{}
	}
	b := t.servers[f.Server]
	if b == nil || now.Sub(b.failedAt) > _memory {
		t.ForgetServer(f.Server)
		b = &breaker{closed: true, steps: map[string]bool{}}
		t.servers[f.Server] = b
	}
	if t.failed[f.Step] == nil {
		t.failed[f.Step] = map[string]bool{}
	}
	b.failedAt = now
	b.steps[f.Step] = true
	b.works = b.works || f.Works
	t.failed[f.Step][f.Server] = true
	if !b.confirmed() && t.blamed(f.Step) > max(f.Servers/_blamedDivisor, _minBlamed) {
		return false
	}
	if !b.closed && b.probedAt.IsZero() && now.Before(b.until) {
		// The run was started before the breaker opened.
		return false
	}
	if b.closed {
		t.opened++
	}
	b.open(now)
	return true
}

// blamed returns the number of servers on which only the given step has failed.
func (t *Table) blamed(step string) int {
	n := 0
	for server := range t.failed[step] {
		if b := t.servers[server]; b != nil && !b.confirmed() {
			n++
		}
	}
	return n
}

// confirmed reports whether the fault is the server's rather than that of a step.
func (b *breaker) confirmed() bool { return b.works || len(b.steps) > 1 }

func (b *breaker) open(now time.Time) {
	switch {
	case b.pause == 0:
		b.pause = _firstPause
	case b.confirmed():
		b.pause = min(2*b.pause, _maxPause)
	default:
		// A probe of the only step that has failed there tells nothing new.
	}
	b.closed = false
	b.until = now.Add(b.pause)
	b.probedAt = time.Time{}
}

// Advance notes that a run on a server, which was started at startedAt, has made progress,
// and reports whether this has closed the server's breaker.
func (t *Table) Advance(server string, startedAt time.Time) bool {
	b := t.servers[server]
	if b == nil || b.closed || !startedAt.After(b.failedAt) {
		return false
	}
	b.closed = true
	t.opened--
	clear(b.steps)
	b.works = false
	return true
}

// AllClosed reports whether no breaker waits for progress.
func (t *Table) AllClosed() bool { return t.opened == 0 }

// State returns the state of a server's breaker. One that has seen no failure for some time
// counts as closed, as there may be no work for a probe.
func (t *Table) State(now time.Time, server string) State {
	b := t.servers[server]
	switch {
	case b == nil || b.closed || now.Sub(b.failedAt) > _memory:
		return Closed
	case now.Before(b.until) || now.Sub(b.probedAt) < _probeTimeout:
		return Open
	default:
		return HalfOpen
	}
}

// Probe notes that a run is started on a server whose breaker is half open.
func (t *Table) Probe(now time.Time, server string) {
	if b := t.servers[server]; b != nil {
		b.probedAt = now
	}
}

// ForgetServer closes the breaker of a server that has restarted.
func (t *Table) ForgetServer(server string) {
	if b := t.servers[server]; b != nil && !b.closed {
		t.opened--
	}
	delete(t.servers, server)
}

// ForgetJob drops what is kept of the steps whose names have the prefix.
func (t *Table) ForgetJob(prefix string) {
	maps.DeleteFunc(t.failed, func(step string, _ map[string]bool) bool { return strings.HasPrefix(step, prefix) })
}

const (
	// _firstPause is the pause after the first failure. It doubles with each failed probe,
	// up to _maxPause.
	_firstPause = 500 * time.Millisecond
	_maxPause   = 4 * time.Second
	// _memory is how long a failure counts. It is longer than the longest pause.
	_memory = 8 * time.Second
	// _probeTimeout is the time without a result after which a probe is repeated.
	_probeTimeout = 2 * time.Second
	// _blamedDivisor is all servers divided by those that a step which works nowhere may
	// take out of use, and _minBlamed is the least number of them.
	_blamedDivisor = 4
	_minBlamed     = 2
)
