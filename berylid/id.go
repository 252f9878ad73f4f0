// Package berylid defines the id of a call. The id names the only agent
// incarnation (one run of an agent process) that may run the call, so no second
// agent can run it by mistake, nor can the same agent after a restart.
package berylid

import (
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"

	"berylglade/berylerror"
)

// ID identifies one attempt to run a call.
type ID struct {
	// Unique is a ULID, which is unique among all ids.
	Unique string
	// Agent is the name of the agent that may run the call.
	Agent string
	// Incarnation identifies the process of that agent. It changes when the
	// agent is restarted.
	Incarnation string
	// Epoch is the agent's epoch when the id was created. The agent rejects ids
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

// String returns the text form, which [Parse] accepts.
func (id ID) String() string {
	return id.Unique + "." + id.Agent + "." + id.Incarnation + "." + strconv.FormatInt(id.Epoch, 10)
}

// Parse parses the text form of an id. It accepts only one spelling of each id,
// because an agent's ledger would treat a second spelling as another id.
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
		return ID{}, berylerror.Invalid.Errorf("call id %q is not in canonical form", text)
	}
	return id, nil
}
