// Package berylid has the id of a call. The id names the one agent incarnation
// that may ever run the call, so no second agent can run it by mistake.
package berylid

import (
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"

	"berylglade/berylerror"
)

// ID identifies one attempt to run a call.
type ID struct {
	// Unique is a ULID and never repeats.
	Unique string
	// Agent is the name of the agent that may run the call.
	Agent string
	// Incarnation is the process of that agent; a restarted agent has another.
	Incarnation string
	// Epoch is the agent's epoch when the id was made. The agent refuses ids
	// of epochs that it no longer remembers.
	Epoch int64
}

// New returns a new id for the given agent incarnation.
func New(agent, incarnation string, epoch int64) ID {
	return ID{
		Unique:      ulid.Make().String(),
		Agent:       agent,
		Incarnation: incarnation,
		Epoch:       epoch,
	}
}

// String returns the text form, which [Parse] reads.
func (id ID) String() string {
	return id.Unique + "." + id.Agent + "." + id.Incarnation + "." + strconv.FormatInt(id.Epoch, 10)
}

// Parse reads the text form of an id. It accepts one text per id: a second
// spelling would be another id to a ledger.
func Parse(text string) (ID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[1] == "" || parts[2] == "" {
		return ID{}, berylerror.Invalid.Errorf("call id %q is malformed", text)
	}
	if _, err := ulid.ParseStrict(parts[0]); err != nil {
		return ID{}, berylerror.Invalid.Errorf("call id %q is malformed", text)
	}
	epoch, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil || epoch < 0 {
		return ID{}, berylerror.Invalid.Errorf("call id %q is malformed", text)
	}
	id := ID{Unique: parts[0], Agent: parts[1], Incarnation: parts[2], Epoch: epoch}
	if id.String() != text || strings.ToUpper(id.Unique) != id.Unique {
		return ID{}, berylerror.Invalid.Errorf("call id %q is not in the form that the system writes", text)
	}
	return id, nil
}
