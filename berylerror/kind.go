// Package berylerror defines the closed list of error kinds and maps each kind to
// a name, an HTTP status and an exit code.
//
// [Kind.Errorf] and [Kind.Wrap] return an error of a kind. [Of] returns the kind
// of any error; an error without one is [Internal]. Adapters translate a kind
// with [Kind.Status], [Kind.Exit] and [Kind.String] and never inspect the text.
package berylerror

import (
	"github.com/go-faster/errors"
)

// Kind tells the caller what a failure means.
type Kind uint8

const (
	// Internal means that the system itself is at fault.
	Internal Kind = iota + 1
	// Invalid means that the request is malformed.
	Invalid
	// Denied means that the credentials are missing or wrong.
	Denied
	// Missing means that the named object does not exist or is unknown.
	Missing
	// Conflict means that another request or change was accepted first.
	Conflict
	// Oversize means that the request exceeds a size limit.
	Oversize
	// Impossible means that the request can never run.
	Impossible
	// NotRun means that the request did not run and may be retried.
	NotRun
	// Unknown means that it is not known whether the request ran.
	Unknown
	// Expired means that the answer was evicted from memory.
	Expired
	// Failed means that the request ran and failed.
	Failed
	// Unavailable means that a read or an operator's request can't be served
	// now.
	Unavailable
	// Exhausted means that the request did not run, as a bound on accepted work is
	// reached, and may be retried later. Other processes give the same answer.
	Exhausted
)

// answer is the public form of one kind.
type answer struct {
	name   string
	status int
	exit   int
}

// answers returns the answer of each kind. It is a function because a
// package-level variable could be changed.
func answers() [Exhausted + 1]answer {
	return [...]answer{
		Internal:    {name: "internal", status: 500, exit: 1},
		Invalid:     {name: "invalid", status: 400, exit: 2},
		Denied:      {name: "denied", status: 401, exit: 3},
		Missing:     {name: "missing", status: 404, exit: 4},
		Conflict:    {name: "conflict", status: 409, exit: 5},
		Oversize:    {name: "oversize", status: 413, exit: 6},
		Impossible:  {name: "impossible", status: 422, exit: 7},
		NotRun:      {name: "notrun", status: 503, exit: 8},
		Unknown:     {name: "unknown", status: 504, exit: 9},
		Expired:     {name: "expired", status: 410, exit: 10},
		Failed:      {name: "failed", status: 502, exit: 11},
		Unavailable: {name: "unavailable", status: 503, exit: 12},
		Exhausted:   {name: "exhausted", status: 429, exit: 13},
	}
}

// Kinds returns all kinds in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, Exhausted)
	for k := Internal; k <= Exhausted; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Parse returns the kind with the given name, or Internal if there is none.
func Parse(name string) Kind {
	for k, a := range answers() {
		if a.name == name && a.name != "" {
			return Kind(k)
		}
	}
	return Internal
}

// String returns the name of the kind as used in answers and metrics.
func (k Kind) String() string { return k.answer().name }

// Status returns the HTTP status of the kind.
func (k Kind) Status() int { return k.answer().status }

// Exit returns the exit code of the kind on the command line.
func (k Kind) Exit() int { return k.answer().exit }

func (k Kind) answer() answer {
	if k < Internal || k > Exhausted {
		k = Internal
	}
	return answers()[k]
}

// Final reports whether the same request fails in the same way however often it is repeated,
// and at whichever process.
func (k Kind) Final() bool {
	switch k {
	case Invalid, Conflict, Oversize, Impossible:
		return true
	default:
		return false
	}
}

// Errorf returns a new error of this kind.
func (k Kind) Errorf(format string, args ...any) error {
	return &kindError{kind: k, err: errors.Errorf(format, args...)}
}

// Wrap returns an error of this kind that wraps err and has the text before it.
func (k Kind) Wrap(err error, text string) error {
	return &kindError{kind: k, err: errors.Wrap(err, text)}
}

// Of returns the kind of the outermost error in err's chain that has one, or
// Internal.
func Of(err error) Kind {
	var ke *kindError
	if errors.As(err, &ke) {
		return ke.kind
	}
	return Internal
}

type kindError struct {
	kind Kind
	err  error
}

func (e *kindError) Error() string { return e.err.Error() }

func (e *kindError) Unwrap() error { return e.err }
