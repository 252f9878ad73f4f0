package berylcli

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"berylglade/berylapi"
	"berylglade/berylclient"
	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylsettings"
)

// _devConfig is the configuration that dev publishes.
//
//go:embed dev.hujson
var _devConfig string

// _startTimeout bounds the wait until the system is ready.
const _startTimeout = 20 * time.Second

type devCmd struct {
	Port  int    `name:"port" default:"${devport}" help:"First of ${devports} consecutive ports on 127.0.0.1; 0 chooses free ports (default ${default})."`
	Demo  bool   `name:"demo" help:"Send one call and one job, print their progress, and exit."`
	Write string `name:"write" placeholder:"DIR" help:"Write the settings of every process to a directory and start nothing."`
}

// Run runs the system until ctx is cancelled, or until the demonstration ends.
func (c *devCmd) Run(ctx context.Context, o *output) error {
	port, err := c.firstPort()
	if err != nil {
		return err
	}
	f := newFleet(port, fleetDomains())
	if c.Write != "" {
		files, err := f.write(c.Write)
		if err != nil {
			return err
		}
		return o.print(files, func(w io.Writer) {
			for _, file := range files {
				_, _ = fmt.Fprintln(w, file)
			}
		})
	}
	if !portsFree(port) {
		return berylerror.Unavailable.Errorf("a port between %d and %d of 127.0.0.1 is in use; --port 0 chooses free ports", port, port+_fleetPorts-1)
	}
	return f.run(ctx, func(ctx context.Context) error {
		clock := berylclock.System()
		started := clock()
		if err := f.publish(ctx); err != nil {
			return err
		}
		if err := f.printReady(o, clock().Sub(started)); err != nil {
			return err
		}
		if c.Demo {
			return f.demo(ctx, o)
		}
		<-ctx.Done()
		return nil
	})
}

func (c *devCmd) firstPort() (int, error) {
	if c.Port == 0 {
		return findFreePorts()
	}
	if c.Port < 1 || c.Port+_fleetPorts > 65536 {
		return 0, berylerror.Invalid.Errorf("--port %d is neither 0 nor between 1 and %d", c.Port, 65536-_fleetPorts)
	}
	return c.Port, nil
}

// run starts every process and calls use, whose context is cancelled if a process
// fails. When use returns, the processes are stopped: first entries, then agents,
// then stand-ins, so that work in progress can end.
func (f *fleet) run(ctx context.Context, use func(ctx context.Context) error) error {
	useCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var stages [3]stage
	for i := range stages {
		stages[i].ctx, stages[i].stop = context.WithCancel(context.WithoutCancel(ctx))
		defer stages[i].stop()
	}
	var err error
	for _, n := range f.processes() {
		if err = stages[stageOf(n.settings.Role)].start(n, cancel); err != nil {
			break
		}
	}
	if err == nil {
		err = use(useCtx)
		if cause := context.Cause(useCtx); cause != nil && ctx.Err() == nil {
			err = cause
		}
	}
	for i := range stages {
		stages[i].stop()
		err = errors.Join(err, stages[i].wait())
	}
	return err
}

// stage is a set of processes that are stopped together.
type stage struct {
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	mu   sync.Mutex
	err  error
}

// stageOf returns the index of the stage that a role belongs to, in the order in
// which the stages stop.
func stageOf(r berylsettings.Role) int {
	switch r {
	case berylsettings.RoleEntry:
		return 0
	case berylsettings.RoleAgent:
		return 1
	default:
		return 2
	}
}

// start starts a process. If the process ends before the stage is stopped, failed
// is called.
func (s *stage) start(n namedSettings, failed context.CancelCauseFunc) error {
	p, err := newProcess(n.settings)
	if err != nil {
		return berylerror.Of(err).Wrap(err, "start "+n.name)
	}
	s.wg.Go(func() {
		err := p.serve(s.ctx)
		if s.ctx.Err() == nil {
			if err == nil {
				err = berylerror.Internal.Errorf("process ended before it was stopped")
			}
			failed(berylerror.Of(err).Wrap(err, n.name))
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.err = errors.Join(s.err, err)
	})
	return nil
}

// wait waits for the processes and returns the errors of their shutdown.
func (s *stage) wait() error {
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (f *fleet) operatorClient(i int) *berylclient.Client {
	return &berylclient.Client{
		Base:  baseURL(f.entries[i].Entry.HTTP),
		Token: _operatorToken,
		HTTP:  &http.Client{Timeout: _startTimeout},
	}
}

func (f *fleet) callerClient(i int) *berylclient.Client {
	c := f.operatorClient(i)
	c.Account, c.Token = "demo", _demoToken
	return c
}

// publish waits until the processes are ready, publishes the configuration, and
// waits until every entry and agent has it.
func (f *fleet) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _startTimeout)
	defer cancel()
	for _, n := range f.processes() {
		if err := waitReady(ctx, n); err != nil {
			return err
		}
	}
	set, err := berylsettings.ParseConfig("dev.hujson", []byte(_devConfig))
	if err != nil {
		return err
	}
	client := f.operatorClient(0)
	base := int64(0)
	offset, err := client.Publish(ctx, berylapi.Change{Base: &base, By: "dev", Set: set})
	if err != nil {
		return berylerror.Of(err).Wrap(err, "publish configuration")
	}
	for i := range f.entries {
		if err := f.waitConfig(ctx, i, offset); err != nil {
			return err
		}
	}
	return nil
}

// waitReady polls a process until it reports that it is ready.
func waitReady(ctx context.Context, n namedSettings) error {
	url := baseURL(n.settings.Dump) + "/readyz"
	for {
		_, err := httpGet(ctx, url)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(_pollInterval / 5):
		case <-ctx.Done():
			return berylerror.Unavailable.Wrap(err, n.name+" is not ready")
		}
	}
}

// waitConfig polls an entry until it has the configuration at offset or a newer
// one, and reports the same of all agents.
func (f *fleet) waitConfig(ctx context.Context, entry int, offset int64) error {
	client := f.operatorClient(entry)
	for {
		agents, err := client.Agents(ctx)
		cfg, cfgErr := client.Config(ctx)
		if err == nil && cfgErr == nil && cfg.Offset >= offset && countWithConfig(agents, offset) == len(f.agents) {
			return nil
		}
		select {
		case <-time.After(_pollInterval / 5):
		case <-ctx.Done():
			return berylerror.Unavailable.Errorf("entry-%d reports %d of %d agents with configuration version %d: %v", entry+1, countWithConfig(agents, offset), len(f.agents), offset, errors.Join(err, cfgErr))
		}
	}
}

// countWithConfig returns the number of agents that have the configuration at
// offset or a newer one.
func countWithConfig(agents []berylapi.Agent, offset int64) int {
	n := 0
	for i := range agents {
		if agents[i].Offset >= offset {
			n++
		}
	}
	return n
}

// processOutput is one process in the JSON output of dev.
type processOutput struct {
	Name string `json:"name"`
	Role string `json:"role"`
	Dump string `json:"dump"`
	HTTP string `json:"http,omitempty"`
}

// fleetOutput is the JSON output of dev.
type fleetOutput struct {
	Ready     string          `json:"ready"`
	Processes []processOutput `json:"processes"`
	Account   string          `json:"account"`
	Token     string          `json:"token"`
	Operator  string          `json:"operator"`
}

func (f *fleet) printReady(o *output, took time.Duration) error {
	p := fleetOutput{
		Ready:    took.Round(time.Millisecond).String(),
		Account:  "demo",
		Token:    _demoToken,
		Operator: _operatorToken,
	}
	for _, n := range f.processes() {
		line := processOutput{Name: n.name, Role: n.settings.Role.String(), Dump: n.settings.Dump.String()}
		if n.settings.Entry != nil {
			line.HTTP = n.settings.Entry.HTTP.String()
		}
		p.Processes = append(p.Processes, line)
	}
	return o.print(p, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "ready after %s with %s entries and %s hosts on 127.0.0.1\n",
			p.Ready, strconv.Itoa(len(f.entries)), strconv.Itoa(len(f.agents)))
		for _, line := range p.Processes {
			_, _ = fmt.Fprintf(w, "  %-9s dump %s", line.Name, line.Dump)
			if line.HTTP != "" {
				_, _ = fmt.Fprintf(w, "  callers and operators %s", line.HTTP)
			}
			_, _ = fmt.Fprintln(w)
		}
		_, _ = fmt.Fprintf(w, "client account %s with token %s; operators' token %s\n", p.Account, p.Token, p.Operator)
	})
}
