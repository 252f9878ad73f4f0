package berylcli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"berylglade/berylbench"
	"berylglade/berylclient"
	"berylglade/berylclock"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylrunner"
)

type benchCmd struct {
	Levels []int         `name:"levels" default:"1,60,600" help:"Numbers of concurrent calls (default ${default})."`
	Calls  int           `name:"calls" default:"6000" help:"Calls for each route and level (default ${default})."`
	Limit  time.Duration `name:"limit" default:"20s" help:"Time limit for each route and level (default ${default})."`
	Rounds int           `name:"rounds" default:"4" help:"Rounds at each level; each round measures every route in turn (default ${default})."`
	Delay  time.Duration `name:"delay" default:"5ms" help:"Service time of a call at the backend server (default ${default})."`
	Slots  int           `name:"slots" default:"8" help:"Concurrent calls of the backend server (default ${default})."`

	Entry   string `name:"entry" placeholder:"IP:PORT" help:"Use a running entry instead of a system that the command starts; needs --runner."`
	Runner  string `name:"runner" placeholder:"IP:PORT" help:"Running backend server to call directly; needs --entry."`
	Account string `name:"account" default:"demo" help:"Client account at --entry (default ${default})."`
	Token   string `name:"token" default:"demo-token" help:"Bearer token at --entry (default ${default})."`
	Class   string `name:"class" default:"routine" help:"Class of the calls (default ${default})."`

	Idle    time.Duration `name:"idle" default:"10s" help:"Interval over which idle cost is measured (default ${default})."`
	PID     []int         `name:"pid" help:"Measure only the idle cost of the processes with these IDs."`
	Metrics []string      `name:"metrics" placeholder:"IP:PORT" help:"Measure only the idle cost of the processes with these dump addresses. Their bytes include those of the measurement itself; --pid is more exact."`
}

// benchOutput is the JSON output of bench.
type benchOutput struct {
	// Delay and Slots describe the backend server if the command started it.
	Delay   berylduration.Duration `json:"delay,omitempty"`
	Slots   int                    `json:"slots,omitempty"`
	Latency []berylbench.Row       `json:"latency,omitempty"`
	Idle    []berylbench.Cost      `json:"idle,omitempty"`
}

// Run measures the idle cost of processes if some are given, and otherwise the
// latency.
func (c *benchCmd) Run(ctx context.Context, o *output) error {
	if len(c.PID)+len(c.Metrics) > 0 {
		return c.idle(ctx, o)
	}
	if (c.Entry == "") != (c.Runner == "") {
		return berylerror.Invalid.Errorf("--entry and --runner must be used together")
	}
	if c.Calls < 1 || c.Rounds < 1 || c.Slots < 1 || c.Limit <= 0 {
		return berylerror.Invalid.Errorf("--calls, --rounds and --slots must be at least one, and --limit above zero")
	}
	for _, level := range c.Levels {
		if level < 1 {
			return berylerror.Invalid.Errorf("--levels contains %d, which is below one", level)
		}
	}
	if c.Entry != "" {
		return c.latency(ctx, o, c.Entry, c.Runner)
	}
	port, err := findFreePorts()
	if err != nil {
		return err
	}
	f := newFleet(port, fleetDomains()[:1])
	f.runners[0].Runner.Slots = c.Slots
	f.runners[0].Runner.Delay = berylduration.Duration(c.Delay)
	f.agents[0].Agent.Runner.Slots = c.Slots
	return f.run(ctx, func(ctx context.Context) error {
		if err := f.publish(ctx); err != nil {
			return err
		}
		return c.latency(ctx, o, f.entries[0].Entry.HTTP.String(), f.runners[0].Runner.Bind.String())
	})
}

func (c *benchCmd) idle(ctx context.Context, o *output) error {
	sources := make([]berylbench.Source, 0, len(c.PID)+len(c.Metrics))
	for _, pid := range c.PID {
		sources = append(sources, berylbench.PID(pid))
	}
	for _, addr := range c.Metrics {
		if _, err := loopbackURL(addr); err != nil {
			return err
		}
		sources = append(sources, berylbench.Addr(addr))
	}
	costs, err := berylbench.Idle(ctx, berylclock.System(), c.Idle, sources)
	if err != nil {
		return err
	}
	return o.print(benchOutput{Idle: costs}, func(w io.Writer) { berylbench.WriteIdle(w, costs) })
}

// loopbackURL returns the URL of a loopback address. Other addresses are an
// error, so that a benchmark can't load a network by mistake.
func loopbackURL(text string) (string, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || !addr.Addr().IsLoopback() {
		return "", berylerror.Invalid.Errorf("address %q is not a loopback address with a port", text)
	}
	return "http://" + text, nil
}

func (c *benchCmd) latency(ctx context.Context, o *output, entry, runner string) error {
	entryURL, err := loopbackURL(entry)
	if err != nil {
		return err
	}
	runnerURL, err := loopbackURL(runner)
	if err != nil {
		return err
	}
	maxLevel := 1
	for _, level := range c.Levels {
		maxLevel = max(maxLevel, level)
	}
	direct := berylrunner.New(runnerURL, maxLevel)
	defer direct.Close()
	transport := &http.Transport{MaxIdleConns: maxLevel, MaxIdleConnsPerHost: maxLevel}
	defer transport.CloseIdleConnections()
	routed := &berylclient.Client{
		Base:    entryURL,
		Account: c.Account,
		Token:   c.Token,
		HTTP:    &http.Client{Transport: transport},
	}
	bench := berylbench.Bench{
		Clock:  berylclock.System(),
		Routes: []berylbench.Route{c.directRoute(direct), c.entryRoute(routed)},
		Levels: c.Levels,
		Calls:  c.Calls,
		Limit:  c.Limit,
		Rounds: c.Rounds,
	}
	rows, err := bench.Latency(ctx)
	if err != nil {
		return err
	}
	p := benchOutput{Latency: rows}
	if c.Entry == "" {
		p.Delay, p.Slots = berylduration.Duration(c.Delay), c.Slots
	}
	return o.print(p, func(w io.Writer) {
		if c.Entry == "" {
			_, _ = fmt.Fprintf(w, "backend server with %d slots and a service time of %v; all roles and the load generator share this process\n", c.Slots, c.Delay)
		}
		berylbench.WriteLatency(w, rows)
	})
}

func (c *benchCmd) directRoute(direct *berylrunner.Client) berylbench.Route {
	var n atomic.Int64
	return berylbench.Route{Name: "direct", Send: func(ctx context.Context) error {
		id := "bench-" + strconv.FormatInt(n.Add(1), 10)
		resp, err := direct.Work(ctx, berylrunner.Request{ID: id, Class: c.Class, Body: []byte(id)})
		if err != nil {
			return err
		}
		return checkAnswer(resp.Body, []byte(id))
	}}
}

func (c *benchCmd) entryRoute(routed *berylclient.Client) berylbench.Route {
	return berylbench.Route{Name: "entry+agent", Send: func(ctx context.Context) error {
		answer, err := routed.Call(ctx, berylclient.Call{Class: c.Class, Body: []byte("bench")})
		if err != nil {
			return err
		}
		return checkAnswer(answer.Body, []byte(answer.ID))
	}}
}

// checkAnswer returns an error unless the answer of the stand-in begins with the
// ID of the call.
func checkAnswer(body, id []byte) error {
	if !bytes.HasPrefix(body, id) {
		return berylerror.Internal.Errorf("answer %q does not begin with call ID %s", body, id)
	}
	return nil
}
