// Package berylcli is the command line of the program. Its commands run a daemon
// or a stand-in, run a whole system in one process for development, or send
// requests to the HTTP API. It belongs to the system's own interface; the command
// line for the users' platform is berylsite.
//
// [CLI.Run] parses the arguments into a struct, grammar, in which each command is a
// field with a type of its own. It runs the command and returns the exit code of the
// error's kind.
package berylcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	// Embeds the time zone database, since VMs may have none and targets name
	// time zones.
	_ "time/tzdata"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"berylglade/berylerror"
)

// CLI runs commands with the given standard streams.
type CLI struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// grammar declares the flags and commands. Kong fills it from the arguments.
type grammar struct {
	JSON bool `name:"json" help:"Print answers and errors as JSON."`

	Entry   entryCmd   `cmd:"" group:"processes" help:"Run an entry, which serves callers and operators."`
	Agent   agentCmd   `cmd:"" group:"processes" help:"Run an agent for a worker, a backend server, or both."`
	Standin standinCmd `cmd:"" group:"processes" help:"Run a stand-in for a part of the platform."`
	Dev     devCmd     `cmd:"" group:"processes" help:"Run a whole system, with stand-ins, in one process on loopback."`
	Check   checkCmd   `cmd:"" group:"processes" help:"Check settings and configuration files without starting anything."`

	Call   callCmd   `cmd:"" group:"callers" help:"Send a call and print its answer."`
	Result resultCmd `cmd:"" group:"callers" help:"Print the answer to an earlier call."`
	Submit submitCmd `cmd:"" group:"callers" help:"Submit a job and print its id."`
	Status statusCmd `cmd:"" group:"callers" help:"Print the state of a job."`
	Jobs   jobsCmd   `cmd:"" group:"callers" help:"List the jobs of the client account."`
	Cancel cancelCmd `cmd:"" group:"callers" help:"Cancel a job."`

	Config configCmd `cmd:"" group:"operators" help:"Show or publish the configuration."`
	Domain domainCmd `cmd:"" group:"operators" help:"Take a failure domain out of service, or put it back."`
	Drain  drainCmd  `cmd:"" group:"operators" help:"Stop assigning new work to an agent."`
	Agents agentsCmd `cmd:"" group:"operators" help:"List the agents."`
	Dump   dumpCmd   `cmd:"" group:"operators" help:"Print the state of one process."`
	Bench  benchCmd  `cmd:"" group:"operators" help:"Measure the added latency and the idle cost on loopback."`

	Measure measureCmd `cmd:"" group:"operators" help:"Compare the scheduler with baseline policies in virtual time."`
}

const _description = `Scheduler for multi-accelerator jobs and router for short calls.

Start with "berylglade dev --demo", which runs a whole system on loopback, sends one call and one job, and exits.
Exit codes: 0 success, 1 internal, 2 invalid, 3 denied, 4 missing, 5 conflict, 6 oversize, 7 impossible, 8 notrun, 9 unknown, 10 expired, 11 failed, 12 unavailable.`

// Main runs the program with the arguments, streams and signals of the process
// and returns the exit code. SIGINT and SIGTERM cause a graceful shutdown; a
// second signal ends the process at once.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// Restores the default action of the signals after the first signal.
	context.AfterFunc(ctx, stop)
	cli := CLI{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	return cli.Run(ctx, os.Args[1:])
}

// Run runs one command until it ends or ctx ends, and returns the exit code.
func (c *CLI) Run(ctx context.Context, args []string) int {
	var g grammar
	helpPrinted := false
	parser, err := kong.New(&g,
		kong.Name("berylglade"),
		kong.Description(_description),
		kong.Writers(c.Out, c.Err),
		kong.Exit(func(int) { helpPrinted = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
		kong.ExplicitGroups([]kong.Group{
			{Key: "processes", Title: "Processes:"},
			{Key: "callers", Title: "For callers:"},
			{Key: "operators", Title: "For operators:"},
		}),
		kong.Vars{"devport": strconv.Itoa(_devPort), "devports": strconv.Itoa(_fleetPorts)},
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		return c.fail(false, berylerror.Internal.Wrap(err, "build command line"))
	}
	parsed, err := parser.Parse(args)
	if helpPrinted {
		return 0
	}
	if err != nil {
		return c.fail(g.JSON || slices.Contains(args, "--json"), usageError(err))
	}
	out := &output{json: g.JSON, in: c.In, out: c.Out, err: c.Err}
	err = parsed.Run(out)
	var warnings *warningsError
	if errors.As(err, &warnings) {
		return _warningsExit
	}
	if err != nil {
		return c.fail(g.JSON, err)
	}
	return 0
}

// usageError returns an error of kind invalid for an error of the parser, with a
// hint at the help.
func usageError(err error) error {
	var parse *kong.ParseError
	if errors.As(err, &parse) && parse.Context != nil && parse.Context.Command() != "" {
		return berylerror.Invalid.Errorf("%v; see berylglade %s --help", err, parse.Context.Command())
	}
	return berylerror.Invalid.Errorf("%v; see berylglade --help", err)
}

// errorOutput is the JSON output for an error.
type errorOutput struct {
	Kind string `json:"kind"`
	Text string `json:"text"`
	// ID is the ID of the call or job that may exist in spite of the error.
	ID string `json:"id,omitempty"`
}

func (c *CLI) fail(asJSON bool, err error) int {
	p := errorOutput{Kind: berylerror.Of(err).String(), Text: err.Error()}
	var idErr *idError
	if errors.As(err, &idErr) {
		p.ID = idErr.id
	}
	switch {
	case asJSON:
		_ = json.NewEncoder(c.Err).Encode(p)
	case p.ID != "":
		_, _ = fmt.Fprintf(c.Err, "berylglade: %s: %s (id %s)\n", p.Kind, p.Text, p.ID)
	default:
		_, _ = fmt.Fprintf(c.Err, "berylglade: %s: %s\n", p.Kind, p.Text)
	}
	return berylerror.Of(err).Exit()
}

// output has the streams of a command and the format of its output.
type output struct {
	json bool
	in   io.Reader
	out  io.Writer
	err  io.Writer
}

// print writes v as JSON if --json is set, and otherwise calls text.
func (o *output) print(v any, text func(w io.Writer)) error {
	if !o.json {
		text(o.out)
		return nil
	}
	enc := json.NewEncoder(o.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return berylerror.Internal.Wrap(err, "print answer")
	}
	return nil
}
