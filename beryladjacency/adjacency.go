// Package beryladjacency says how close together the tasks of a gang must run.
package beryladjacency

import "berylglade/berylerror"

// Adjacency is the smallest unit that has to hold the whole gang. The zero
// value asks for nothing.
type Adjacency uint8

const (
	// Anywhere allows the gang to spread over all failure domains.
	Anywhere Adjacency = iota
	// Domain asks for one failure domain.
	Domain
	// Rack asks for one rack.
	Rack
	// Worker asks for one worker.
	Worker
)

func names() []string { return []string{"anywhere", "domain", "rack", "worker"} }

// String returns the name used in settings and answers.
func (a Adjacency) String() string {
	if int(a) >= len(names()) {
		return "anywhere"
	}
	return names()[a]
}

// MarshalText writes the name.
func (a Adjacency) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText reads the name.
func (a *Adjacency) UnmarshalText(text []byte) error {
	for i, name := range names() {
		if name == string(text) {
			*a = Adjacency(i)
			return nil
		}
	}
	return berylerror.Invalid.Errorf("adjacency %q is not one of anywhere, domain, rack, worker", text)
}
