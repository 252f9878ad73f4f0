// Package beryladjacency defines how close together the tasks of a gang must run.
package beryladjacency

import "berylglade/berylerror"

// Adjacency is the unit within which the whole gang must be placed. The zero value
// is no restriction.
type Adjacency uint8

const (
	// Anywhere allows the gang to spread over several failure domains.
	Anywhere Adjacency = iota
	// Domain requires one failure domain.
	Domain
	// Rack requires one rack.
	Rack
	// Worker requires one worker.
	Worker
)

func names() []string { return []string{"anywhere", "domain", "rack", "worker"} }

// String returns the name as written in the configuration and in answers.
func (a Adjacency) String() string {
	if int(a) >= len(names()) {
		return "anywhere"
	}
	return names()[a]
}

// MarshalText returns the name of the adjacency.
func (a Adjacency) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText parses the name of an adjacency.
func (a *Adjacency) UnmarshalText(text []byte) error {
	for i, name := range names() {
		if name == string(text) {
			*a = Adjacency(i)
			return nil
		}
	}
	return berylerror.Invalid.Errorf("adjacency %q is not one of anywhere, domain, rack, worker", text)
}
