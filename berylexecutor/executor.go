// Package berylexecutor defines the interface through which an agent on the users'
// platform controls a backend server. The backend server runs the tasks, under a lease
// that the agent renews; an [Executor] carries the agent's calls to it.
//
// In contrast, berylrunner, of the system's own interface, sends a single request to a
// backend server and returns its response, without a lease.
package berylexecutor

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"berylglade/berylreport"
)

// Call is a StartCall, StopCall or RenewCall.
type Call interface {
	isCall()
	// Name returns the call's name in metrics.
	Name() string
}

// Target identifies the backend server that a call is meant for, and the
// caller's fence.
type Target struct {
	Addr     string
	Instance string
	// Fence increases with each agent process; the backend server refuses calls
	// with a lower one.
	Fence int64
}

// StartCall starts one run of a task.
type StartCall struct {
	Target
	berylreport.Start
	// Deadline is on the clock of the backend server, in milliseconds. All its
	// runs end when the highest deadline it was given has passed.
	Deadline int64
}

// StopCall stops a run, or ensures that it never starts.
type StopCall struct {
	Target
	berylreport.Key
}

// RenewCall extends the lease and lists the runs.
type RenewCall struct {
	Target
	// Deadline extends the lease; zero leaves it unchanged.
	Deadline int64
	// Acked lets the backend server forget ends up to this number.
	Acked int64
	// Wait is how long the call may wait for a run to end.
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

// Listing is the state that a backend server reports.
type Listing struct {
	// Clock is its clock in milliseconds.
	Clock int64
	// StartedAt distinguishes its incarnations; zero if it is not reported.
	StartedAt int64
	// Runs has all runs that exist.
	Runs []berylreport.Run
	// Ends has the unacknowledged ends with the lowest numbers.
	Ends []berylreport.End
	// Truncated is true if there may be further ends than Ends has. A run that is in
	// neither list may then have ended.
	Truncated bool
}

// Definite errors of a backend server. After any other error it is unknown
// whether the call was or will be carried out.
var (
	// ErrRefused means that the run does not exist and that this call never starts
	// it.
	ErrRefused = errors.New("refused")
	// ErrSuperseded means that this call never starts the run, because this run or a
	// higher one of the task was stopped or has ended there.
	ErrSuperseded = errors.New("run was stopped or has ended")
	// ErrFenced means that a higher fence has been seen.
	ErrFenced = errors.New("fenced")
	// ErrBusy means that the backend server did nothing and that the call may be
	// repeated.
	ErrBusy = errors.New("busy")
	// ErrOtherInstance means that another instance answered at the address.
	ErrOtherInstance = errors.New("another instance answered at the address")
	// ErrDown means that no process listens at the address.
	ErrDown = errors.New("no process listens at the address")
)

// Executor carries out calls. Implementations are safe for concurrent use.
type Executor interface {
	// Do carries out one call. The listing for a start or stop contains no runs or
	// ends.
	Do(ctx context.Context, c Call) (Listing, error)
}
