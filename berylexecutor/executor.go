// Package berylexecutor is the port to a backend server that runs tasks under a
// lease.
package berylexecutor

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"berylglade/berylreport"
)

// Call is one of StartCall, StopCall and HoldCall.
type Call interface {
	isCall()
	// Name is the call's name in metrics.
	Name() string
}

// Target names the life of the backend server that a call is meant for, and who
// calls.
type Target struct {
	Addr     string
	Instance string
	// Fence rises with each agent process; lower ones are refused.
	Fence int64
}

// StartCall starts one run of a task.
type StartCall struct {
	Target
	berylreport.Start
	// Deadline is on the clock of the backend server, in milliseconds. All of
	// its runs end when the highest deadline that it was given has passed.
	Deadline int64
}

// StopCall stops a run, or makes sure that it never starts.
type StopCall struct {
	Target
	berylreport.Key
}

// RenewCall extends the lease and lists what runs.
type RenewCall struct {
	Target
	// Deadline extends the lease; zero leaves it as it is.
	Deadline int64
	// Acked lets the backend server forget ends up to this number.
	Acked int64
	// Wait is how long the call may wait for a new end.
	Wait time.Duration
}

func (StartCall) isCall() {}
func (StopCall) isCall()  {}
func (RenewCall) isCall() {}

// Name implements Call.
func (StartCall) Name() string { return "start" }

// Name implements Call.
func (StopCall) Name() string { return "stop" }

// Name implements Call.
func (RenewCall) Name() string { return "hold" }

// Listing is what a backend server says of itself.
type Listing struct {
	// Clock is its clock in milliseconds.
	Clock int64
	// StartedAt tells its lives apart; zero if it does not say.
	StartedAt int64
	Runs      []berylreport.Run
	Ends      []berylreport.End
}

// Final answers of a backend server. After any other error it is not known
// whether the call was carried out, or will be.
var (
	// ErrRefused means that the run does not exist and this call never starts it.
	ErrRefused = errors.New("refused")
	// ErrFenced means that a higher fence has been seen.
	ErrFenced = errors.New("fenced")
	// ErrBusy means that the backend server did nothing and may be asked again.
	ErrBusy = errors.New("busy")
	// ErrOtherInstance means that another life of the backend server answered.
	ErrOtherInstance = errors.New("another instance answered")
	// ErrDown means that no process listens at the address.
	ErrDown = errors.New("nobody listens")
)

// Executor carries calls out. Implementations are safe for concurrent use.
type Executor interface {
	// Do carries out one call. The listing of a start or stop has no runs and
	// ends.
	Do(ctx context.Context, c Call) (Listing, error)
}
