package berylcli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"
	"unicode/utf8"

	"berylglade/beryladjacency"
	"berylglade/berylapi"
	"berylglade/berylclient"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/beryljob"
	"berylglade/berylshape"
	"berylglade/berylsize"
)

// _pollInterval is the interval at which a waiting command polls the state of a
// job.
const _pollInterval = 100 * time.Millisecond

// connectionFlags are the flags of all commands that send requests to an entry.
// The default is the first entry of the development system.
type connectionFlags struct {
	Entry string        `name:"entry" env:"BERYLGLADE_ENTRY" default:"127.0.0.1:17111" placeholder:"IP:PORT" help:"HTTP address of an entry or of the load balancer (default ${default})."`
	Limit time.Duration `name:"limit" default:"1m" help:"Time limit of the command (default ${default})."`
}

func (r *connectionFlags) client() (*berylclient.Client, error) {
	if _, err := netip.ParseAddrPort(r.Entry); err != nil {
		return nil, berylerror.Invalid.Errorf("--entry %q is not a numeric IP address with a port", r.Entry)
	}
	return &berylclient.Client{Base: "http://" + r.Entry, HTTP: &http.Client{Timeout: r.Limit}}, nil
}

// callerFlags are the flags of the commands for client accounts.
type callerFlags struct {
	connectionFlags
	Account string `name:"account" env:"BERYLGLADE_ACCOUNT" placeholder:"NAME" help:"Client account."`
	Token   string `name:"token" env:"BERYLGLADE_TOKEN" placeholder:"TOKEN" help:"Bearer token of the client account."`
}

func (c *callerFlags) client() (*berylclient.Client, error) {
	client, err := c.connectionFlags.client()
	if err != nil {
		return nil, err
	}
	client.Account, client.Token = c.Account, c.Token
	return client, nil
}

// idError is the error of a request that may have created the call or job with
// this ID.
type idError struct {
	error
	id string
}

// Unwrap returns the wrapped error, which has the kind.
func (e *idError) Unwrap() error { return e.error }

func withID(id string, err error) error {
	if err == nil || id == "" {
		return err
	}
	return &idError{error: err, id: id}
}

type callCmd struct {
	callerFlags
	Class   string        `arg:"" help:"Class of work in the configuration."`
	Body    string        `name:"body" help:"Body of the call." xor:"body"`
	File    string        `name:"file" placeholder:"FILE" help:"Read the body from a file; - is the standard input." xor:"body"`
	Key     string        `name:"key" help:"Idempotency key: calls with the same key run at most once."`
	Timeout time.Duration `name:"timeout" placeholder:"DURATION" help:"Timeout of the call (default and maximum: the timeout of the class)."`
}

// Run sends the call.
func (c *callCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	body := []byte(c.Body)
	if c.File != "" {
		if body, err = readInput(o, c.File); err != nil {
			return err
		}
	}
	answer, err := client.Call(ctx, berylclient.Call{Class: c.Class, Key: c.Key, Timeout: c.Timeout, Body: body})
	return o.printAnswer(answer, err)
}

func readInput(o *output, file string) ([]byte, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(o.in)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, berylerror.Missing.Wrap(err, "read body")
	}
	return data, nil
}

// answerOutput is the JSON output for an answer.
type answerOutput struct {
	ID     string `json:"id"`
	Length int    `json:"length"`
	// Text is the body if it is valid UTF-8. Otherwise Data is the body.
	Text string `json:"text,omitempty"`
	Data []byte `json:"data,omitempty"`
}

func (o *output) printAnswer(a berylclient.Answer, err error) error {
	if err != nil {
		return withID(a.ID, err)
	}
	p := answerOutput{ID: a.ID, Length: len(a.Body)}
	if utf8.Valid(a.Body) {
		p.Text = string(a.Body)
	} else {
		p.Data = a.Body
	}
	if !o.json {
		_, _ = fmt.Fprintf(o.err, "call %s\n", a.ID)
	}
	return o.print(p, func(w io.Writer) { _, _ = w.Write(a.Body) })
}

type resultCmd struct {
	callerFlags
	ID   string        `arg:"" help:"ID of the call, or its idempotency key with --key."`
	Key  bool          `name:"key" help:"The argument is an idempotency key."`
	Wait time.Duration `name:"wait" help:"Longest time to wait for a call that is still running."`
}

// Run prints the answer to an earlier call.
func (c *resultCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	find := client.Find
	if c.Key {
		find = client.FindKey
	}
	answer, err := find(ctx, c.ID, c.Wait)
	return o.printAnswer(answer, err)
}

type submitCmd struct {
	callerFlags
	Class        string                   `arg:"" help:"Class of work in the configuration."`
	Tasks        int                      `name:"tasks" default:"1" help:"Number of identical tasks, which run all together or not at all."`
	Accelerators int                      `name:"accelerators" help:"Accelerators of each task."`
	Cores        int                      `name:"cores" help:"CPU cores of each task."`
	Memory       berylsize.Size           `name:"memory" placeholder:"SIZE" help:"Memory of each task, such as 16GB."`
	Adjacent     beryladjacency.Adjacency `name:"adjacent" placeholder:"UNIT" help:"Unit within which all tasks must run: anywhere, domain, rack or worker."`
	Declared     berylduration.Duration   `name:"declared" placeholder:"DURATION" help:"Expected run time."`
	Payload      string                   `name:"payload" help:"Text that is passed to each task."`
	Key          string                   `name:"key" help:"Idempotency key."`
	Wait         bool                     `name:"wait" help:"Wait for the end of the job."`
}

// Run submits the job.
func (c *submitCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	state, err := client.Submit(ctx, c.Key, berylapi.Submission{
		Class:    c.Class,
		Tasks:    c.Tasks,
		Shape:    berylshape.Shape{Accelerators: c.Accelerators, Cores: c.Cores, Memory: c.Memory},
		Adjacent: c.Adjacent.String(),
		Declared: c.Declared,
		Payload:  c.Payload,
	})
	if err != nil {
		return withID(state.ID, err)
	}
	if !c.Wait {
		return o.print(state, func(w io.Writer) { _, _ = fmt.Fprintln(w, state.ID) })
	}
	return c.waitAndPrint(ctx, o, client, state.ID)
}

// waitAndPrint waits for the end of a job and prints its state. It returns an
// error unless the job is done.
func (c *callerFlags) waitAndPrint(ctx context.Context, o *output, client *berylclient.Client, id string) error {
	state, err := waitJob(ctx, client, id, c.Limit, beryljob.Phase.Ended)
	if err != nil {
		return withID(id, err)
	}
	if err := o.printJob(state); err != nil {
		return err
	}
	return jobError(state)
}

// jobError returns an error for a job that ended in another phase than done.
func jobError(s beryljob.State) error {
	if s.Phase == beryljob.Done {
		return nil
	}
	return withID(s.ID, berylerror.Failed.Errorf("job is %s: %s", s.Phase, s.Reason))
}

// waitJob polls the state of a job until want reports true for its phase. It
// retries while the entry is unavailable.
func waitJob(ctx context.Context, client *berylclient.Client, id string, limit time.Duration, want func(beryljob.Phase) bool) (beryljob.State, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		state, err := client.Job(ctx, id)
		if err == nil && want(state.Phase) {
			return state, nil
		}
		if err != nil && berylerror.Of(err) != berylerror.Unavailable {
			return state, err
		}
		select {
		case <-time.After(_pollInterval):
		case <-ctx.Done():
			return state, berylerror.Unavailable.Errorf("job %s has phase %q after %v", id, state.Phase, limit)
		}
	}
}

type statusCmd struct {
	callerFlags
	ID   string `arg:"" help:"ID of the job."`
	Wait bool   `name:"wait" help:"Wait for the end of the job."`
}

// Run prints the state of the job.
func (c *statusCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.Wait {
		return c.waitAndPrint(ctx, o, client, c.ID)
	}
	state, err := client.Job(ctx, c.ID)
	if err != nil {
		return err
	}
	return o.printJob(state)
}

func (o *output) printJob(s beryljob.State) error {
	return o.print(s, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "id       %s\nclass    %s\nphase    %s\nattempt  %d\n", s.ID, s.Class, s.Phase, s.Attempt)
		_, _ = fmt.Fprintf(w, "tasks    %d of %s\n", s.Tasks, s.Shape)
		if s.Reason != "" {
			_, _ = fmt.Fprintf(w, "reason   %s\n", s.Reason)
		}
		for _, m := range s.Members {
			_, _ = fmt.Fprintf(w, "member   %s with %d tasks\n", m.Agent, m.Tasks)
		}
	})
}

type jobsCmd struct {
	callerFlags
}

// Run lists the jobs.
func (c *jobsCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	jobs, err := client.Jobs(ctx)
	if err != nil {
		return err
	}
	return o.print(jobs, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(tw, "ID\tCLASS\tPHASE\tTASKS\tATTEMPT\tREASON")
		for i := range jobs {
			j := &jobs[i]
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%s\n", j.ID, j.Class, j.Phase, j.Tasks, j.Attempt, strings.TrimSpace(j.Reason))
		}
		_ = tw.Flush()
	})
}

type cancelCmd struct {
	callerFlags
	ID string `arg:"" help:"ID of the job."`
}

// Run cancels the job.
func (c *cancelCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	state, err := client.Cancel(ctx, c.ID)
	if err != nil {
		return withID(c.ID, err)
	}
	return o.printJob(state)
}
