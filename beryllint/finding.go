// Package beryllint checks a configuration before it is sent, beyond its syntax: entries that
// can never match, limits that contradict each other, and what differs from the version in
// force.
//
// [Policy] checks the desired state on the users' platform; docs/CHECK.md lists its rules. The
// configuration of the system's own interface is checked by berylconfiglint, which berylsite
// need not link.
package beryllint

import (
	"cmp"
	"slices"
	"strconv"
)

// Finding is one mistake or doubt.
type Finding struct {
	// Rule is the name of the rule in docs/CHECK.md.
	Rule string `json:"rule"`
	// Error means that an entry has no effect, or not the intended one, whatever the load.
	// Otherwise the finding is a warning.
	Error bool `json:"error"`
	// Place is the key of the entry, such as "queues/q" or "accounts/a".
	Place string `json:"place"`
	Text  string `json:"text"`
	// Line is the line of the entry in its file; zero if it is not known.
	Line int `json:"line,omitempty"`
}

// Change is a difference from the version in force.
type Change struct {
	// Kind is removed, changed or added.
	Kind  string `json:"kind"`
	Place string `json:"place"`
	Text  string `json:"text"`
	// Weight orders the changes of a kind.
	Weight Weight `json:"-"`
}

// Kinds of changes, in the order in which they are listed.
const (
	Removed = "removed"
	Changed = "changed"
	Added   = "added"
)

// Weight says what a change concerns.
type Weight int

// Weights in the order in which an operator cares about them: who may send requests, how much
// room there is, what work has to achieve.
const (
	WeightAccess Weight = iota
	WeightRoom
	WeightTarget
	WeightOther
)

func kindOrder(kind string) int {
	switch kind {
	case Removed:
		return 0
	case Changed:
		return 1
	default:
		return 2
	}
}

// SortChanges orders changes by kind, weight and place.
func SortChanges(list []Change) { slices.SortFunc(list, compareChanges) }

func compareChanges(a, b Change) int {
	return cmp.Or(
		cmp.Compare(kindOrder(a.Kind), kindOrder(b.Kind)),
		cmp.Compare(a.Weight, b.Weight),
		cmp.Compare(a.Place, b.Place),
		cmp.Compare(a.Text, b.Text),
	)
}

// Line returns a finding as the end of a line that begins with the name of the file.
func Line(f Finding) string {
	level := "warning"
	if f.Error {
		level = "error"
	}
	place := ""
	if f.Line > 0 {
		place = ":" + strconv.Itoa(f.Line)
	}
	return place + ": " + level + ": " + f.Place + ": " + f.Text + " (" + f.Rule + ")"
}
