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
	Calls  int           `name:"calls" default:"6000" help:"Calls for each way and level (default ${default})."`
	Limit  time.Duration `name:"limit" default:"20s" help:"Longest time for each way and level (default ${default})."`
	Rounds int           `name:"rounds" default:"4" help:"Turns that the ways take at each level (default ${default})."`
	Delay  time.Duration `name:"delay" default:"5ms" help:"Time that the backend server takes for a call (default ${default})."`
	Slots  int           `name:"slots" default:"8" help:"Calls that the backend server runs at the same time (default ${default})."`

	Entry   string `name:"entry" placeholder:"IP:PORT" help:"Use a running entry instead of an own system; needs --runner."`
	Runner  string `name:"runner" placeholder:"IP:PORT" help:"Running backend server for the direct calls; needs --entry."`
	Account string `name:"account" default:"demo" help:"Client account at --entry (default ${default})."`
	Token   string `name:"token" default:"demo-token" help:"Bearer token at --entry (default ${default})."`
	Class   string `name:"class" default:"routine" help:"Class of the calls (default ${default})."`

	Idle    time.Duration `name:"idle" default:"10s" help:"Interval over which idle cost is measured (default ${default})."`
	PID     []int         `name:"pid" help:"Measure only the idle cost of these processes."`
	Metrics []string      `name:"metrics" placeholder:"IP:PORT" help:"Measure only the idle cost of the processes with these dump addresses. Their bytes include those of the measurement itself; --pid is more exact."`
}

// printedBench is the JSON output.
type printedBench struct {
	// Delay and Slots describe the backend server of an own system.
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
		return berylerror.Invalid.Errorf("--entry and --runner are used together")
	}
	if c.Calls < 1 || c.Rounds < 1 || c.Slots < 1 || c.Limit <= 0 {
		return berylerror.Invalid.Errorf("--calls, --rounds, --slots and --limit are at least one")
	}
	for _, level := range c.Levels {
		if level < 1 {
			return berylerror.Invalid.Errorf("--levels has %d, which is below one", level)
		}
	}
	if c.Entry != "" {
		return c.latency(ctx, o, c.Entry, c.Runner)
	}
	port, err := freeBlock()
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
		if _, err := loopback(addr); err != nil {
			return err
		}
		sources = append(sources, berylbench.Addr(addr))
	}
	costs, err := berylbench.Idle(ctx, berylclock.System(), c.Idle, sources)
	if err != nil {
		return err
	}
	return o.show(printedBench{Idle: costs}, func(w io.Writer) { berylbench.WriteIdle(w, costs) })
}

// loopback refuses other addresses, so that a measurement can't load a network
// by mistake.
func loopback(text string) (string, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || !addr.Addr().IsLoopback() {
		return "", berylerror.Invalid.Errorf("address %q is not a loopback address with a port", text)
	}
	return "http://" + text, nil
}

func (c *benchCmd) latency(ctx context.Context, o *output, entry, runner string) error {
	entryURL, err := loopback(entry)
	if err != nil {
		return err
	}
	runnerURL, err := loopback(runner)
	if err != nil {
		return err
	}
	most := 1
	for _, level := range c.Levels {
		most = max(most, level)
	}
	direct := berylrunner.New(runnerURL, most)
	defer direct.Close()
	transport := &http.Transport{MaxIdleConns: most, MaxIdleConnsPerHost: most}
	defer transport.CloseIdleConnections()
	routed := &berylclient.Client{
		Base:    entryURL,
		Account: c.Account,
		Token:   c.Token,
		HTTP:    &http.Client{Transport: transport},
	}
	bench := berylbench.Bench{
		Clock:  berylclock.System(),
		Routes: []berylbench.Route{c.directWay(direct), c.routedWay(routed)},
		Levels: c.Levels,
		Calls:  c.Calls,
		Limit:  c.Limit,
		Rounds: c.Rounds,
	}
	rows, err := bench.Latency(ctx)
	if err != nil {
		return err
	}
	p := printedBench{Latency: rows}
	if c.Entry == "" {
		p.Delay, p.Slots = berylduration.Duration(c.Delay), c.Slots
	}
	return o.show(p, func(w io.Writer) {
		if c.Entry == "" {
			_, _ = fmt.Fprintf(w, "backend server with %d slots, %v for each call; all processes and the load share this process\n", c.Slots, c.Delay)
		}
		berylbench.WriteLatency(w, rows)
	})
}

func (c *benchCmd) directWay(direct *berylrunner.Client) berylbench.Route {
	var n atomic.Int64
	return berylbench.Route{Name: "direct", Send: func(ctx context.Context) error {
		id := "bench-" + strconv.FormatInt(n.Add(1), 10)
		resp, err := direct.Work(ctx, berylrunner.Request{ID: id, Class: c.Class, Body: []byte(id)})
		if err != nil {
			return err
		}
		return check(resp.Body, []byte(id))
	}}
}

func (c *benchCmd) routedWay(routed *berylclient.Client) berylbench.Route {
	return berylbench.Route{Name: "entry+agent", Send: func(ctx context.Context) error {
		answer, err := routed.Call(ctx, berylclient.Call{Class: c.Class, Body: []byte("bench")})
		if err != nil {
			return err
		}
		return check(answer.Body, []byte(answer.ID))
	}}
}

// check returns an error unless the answer of the stand-in begins with the id
// of the call.
func check(body, id []byte) error {
	if !bytes.HasPrefix(body, id) {
		return berylerror.Internal.Errorf("answer %q is not that of %s", body, id)
	}
	return nil
}
