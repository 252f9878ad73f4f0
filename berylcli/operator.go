package berylcli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"berylglade/berylapi"
	"berylglade/berylclient"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylsettings"
)

// operatorFlags are the flags of the commands for operators.
type operatorFlags struct {
	connectionFlags
	Token string `name:"token" env:"BERYLGLADE_OPERATOR_TOKEN" placeholder:"TOKEN" help:"Bearer token of the operator."`
}

func (c *operatorFlags) client() (*berylclient.Client, error) {
	client, err := c.connectionFlags.client()
	if err != nil {
		return nil, err
	}
	client.Token = c.Token
	return client, nil
}

type configCmd struct {
	Show    configShowCmd    `cmd:"" help:"Print the configuration and its version."`
	Publish configPublishCmd `cmd:"" help:"Publish the keys in a configuration file."`
}

type configShowCmd struct {
	operatorFlags
}

// Run prints the configuration, always as JSON.
func (c *configShowCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	cfg, err := client.Config(ctx)
	if err != nil {
		return err
	}
	asJSON := *o
	asJSON.json = true
	return asJSON.print(cfg, nil)
}

type configPublishCmd struct {
	operatorFlags
	File string `arg:"" help:"Configuration file with classes, accounts or domains; null removes a key."`
	Base *int64 `name:"base" help:"Reject the change if one of its keys was changed after this version (default: the entry's present version)."`
	By   string `name:"by" default:"operator" help:"Name of the operator to record in the log."`
}

// Run publishes the change.
func (c *configPublishCmd) Run(ctx context.Context, o *output) error {
	set, err := berylsettings.LoadConfig(c.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	base := c.Base
	if base == nil {
		cfg, err := client.Config(ctx)
		if err != nil {
			return err
		}
		base = &cfg.Offset
	}
	offset, err := client.Publish(ctx, berylapi.Change{Base: base, By: c.By, Set: set})
	return o.printPublished(offset, err)
}

func (o *output) printPublished(offset int64, err error) error {
	if err != nil {
		return err
	}
	return o.print(berylapi.PublishReply{Offset: offset}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "published as version %d\n", offset)
	})
}

type domainCmd struct {
	Out  domainOutCmd  `cmd:"" help:"Take a failure domain out of service: no new work starts there."`
	Back domainBackCmd `cmd:"" help:"Put a failure domain back into service."`
}

type domainOutCmd struct {
	operatorFlags
	Name  string                 `arg:"" help:"Failure domain."`
	Grace berylduration.Duration `name:"grace" placeholder:"DURATION" help:"Time that running work has to end or move elsewhere."`
}

// Run takes the failure domain out of service.
func (c *domainOutCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return o.printPublished(client.TakeDomainOut(ctx, c.Name, berylapi.OutRequest{Grace: c.Grace}))
}

type domainBackCmd struct {
	operatorFlags
	Name string `arg:"" help:"Failure domain."`
}

// Run puts the failure domain back into service.
func (c *domainBackCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return o.printPublished(client.BringDomainBack(ctx, c.Name))
}

type drainCmd struct {
	operatorFlags
	Agent string `arg:"" help:"Name of the agent."`
}

// Run drains the agent.
func (c *drainCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := client.Drain(ctx, c.Agent); err != nil {
		return err
	}
	return o.print(struct{}{}, func(w io.Writer) { _, _ = fmt.Fprintf(w, "agent %s is draining\n", c.Agent) })
}

type agentsCmd struct {
	operatorFlags
}

// Run lists the agents.
func (c *agentsCmd) Run(ctx context.Context, o *output) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	agents, err := client.Agents(ctx)
	if err != nil {
		return err
	}
	return o.print(agents, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(tw, "NAME\tDOMAIN\tRACK\tSTATE\tDRAINING\tBUSY\tSLOTS\tGANGS\tACCELERATORS\tVERSION")
		for i := range agents {
			a := &agents[i]
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\n",
				a.Name, a.Domain, a.Rack, a.State, a.Draining, a.Busy, a.Slots, a.Gangs, a.Total.Accelerators, a.Offset)
		}
		_ = tw.Flush()
	})
}

type dumpCmd struct {
	Addr  string        `arg:"" help:"Dump address of the process (IP:port)."`
	Limit time.Duration `name:"limit" default:"10s" help:"Time limit of the command (default ${default})."`
}

// Run prints the dump, always as JSON.
func (c *dumpCmd) Run(ctx context.Context, o *output) error {
	if _, err := netip.ParseAddrPort(c.Addr); err != nil {
		return berylerror.Invalid.Errorf("address %q is not a numeric IP address with a port", c.Addr)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	data, err := httpGet(ctx, "http://"+c.Addr+"/dump")
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := json.Indent(&text, data, "", "  "); err != nil {
		return berylerror.Unavailable.Wrap(err, "decode dump")
	}
	_, _ = text.WriteTo(o.out)
	return nil
}

// httpGet returns the body of a URL. A status other than 200 is an error of kind
// unavailable.
func httpGet(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, berylerror.Invalid.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, berylerror.Unavailable.Wrap(err, "read "+url)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, berylerror.Unavailable.Wrap(err, "read "+url)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, berylerror.Unavailable.Errorf("%s answered with status %d: %s", url, resp.StatusCode, bytes.TrimSpace(data))
	}
	return data, nil
}
