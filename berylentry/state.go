package berylentry

import (
	"context"

	"berylglade/berylapi"
	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/berylleader"
)

// State is the state of an entry for the state dump.
type State struct {
	Name string `json:"name"`
	// Offset is the version of the configuration.
	Offset int64 `json:"offset"`
	// Term, Leader and Leading describe the leadership.
	Term    int64  `json:"term"`
	Leader  string `json:"leader,omitempty"`
	Leading bool   `json:"leading"`
	// Control is the leader's own state; nil if this entry does not lead.
	Control *berylleader.State `json:"control,omitempty"`
	// Streams are the streams of the log by name.
	Streams map[string]StreamState `json:"streams"`
	// Starts is the reason why no work may start. It is empty if starts are
	// allowed.
	Starts string `json:"starts,omitempty"`
	// Outage is set while every entry reports that it cannot read the log.
	Outage bool `json:"outage,omitempty"`
	// Jobs counts jobs by phase, Keys the idempotency keys with a recorded
	// intent.
	Jobs map[string]int `json:"jobs"`
	Keys int            `json:"keys"`
	// InFlight counts the calls that hold a slot, Queued those that wait for
	// one.
	InFlight int              `json:"inflight"`
	Queued   int              `json:"queued"`
	Agents   []berylapi.Agent `json:"agents"`
}

// StreamState is the read state of one stream.
type StreamState struct {
	// Upto is the last offset that was read.
	Upto     int64 `json:"upto"`
	CaughtUp bool  `json:"caughtup"`
	// Age is the time since the last successful read was sent, in
	// milliseconds.
	Age     int64 `json:"age"`
	Failing bool  `json:"failing,omitempty"`
	// Malformed and Repeated count dropped records: those that could not be
	// decoded, and duplicates.
	Malformed int64 `json:"malformed,omitempty"`
	Repeated  int64 `json:"repeated,omitempty"`
}

// State returns the state of the entry, a [State], for encoding as JSON.
func (e *Entry) State(ctx context.Context) (any, error) {
	state, err := berylcontrol.Ask(ctx, e.loop, func(reply func(State)) message {
		return dumpState{reply: reply}
	})
	if err != nil {
		return nil, err
	}
	state.InFlight, state.Queued = e.admission.Load()
	state.Agents, err = e.Agents(ctx)
	return state, err
}

// Ready returns an error until the entry has a configuration or has read stream
// config to its end, and after a stop has begun. An empty stream is enough
// because operators publish the first configuration through an entry.
func (e *Entry) Ready() error {
	if isClosed(e.stopping) {
		return berylerror.Unavailable.Errorf("entry is stopping")
	}
	if v := e.view.Load(); v.config.Offset == 0 && !v.configRead {
		return berylerror.Unavailable.Errorf("entry has no configuration yet")
	}
	return nil
}
