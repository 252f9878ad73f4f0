package berylcli

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/go-faster/errors"

	"berylglade/berylbaseline"
	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylmeasure"
	"berylglade/berylscheduler"
	"berylglade/berylsuite"
	"berylglade/berylworkload"
)

type measureCmd struct {
	Workloads []string `name:"workloads" default:"quabbin,ribnica" help:"Workloads: quabbin, ribnica, target (default ${default})."`
	Policies  []string `name:"policies" default:"berylglade,firstfit,easy" help:"Policies: berylglade, firstfit, easy, and berylglade with one feature disabled: noguarantee, noreservation, noestimator, nofragmentation, nocompaction, noquarantine, noageing (default ${default})."`
	Seeds     int      `name:"seeds" default:"10" help:"Number of random seeds, from 1 on (default ${default})."`
	Workers   int      `name:"workers" default:"11000" help:"Workers of the target workload (default ${default})."`
	Parallel  int      `name:"parallel" default:"0" help:"Number of parallel simulations; zero means half of the CPUs."`
	Out       string   `name:"out" type:"path" placeholder:"DIR" help:"Write results.csv, results.json and plots to a directory."`
}

// Run simulates the workloads with each policy in virtual time.
func (c *measureCmd) Run(o *output) error {
	suite := berylsuite.Suite{
		Workloads: map[string]func(uint64) *berylworkload.Workload{},
		Workers:   c.Parallel,
		Clock:     berylclock.System(),
		Reference: &berylsuite.NamedPolicy{Name: "witness", New: newFirstFit},
	}
	if suite.Workers == 0 {
		suite.Workers = max(runtime.NumCPU()/2, 1)
	}
	for i := range c.Seeds {
		suite.Seeds = append(suite.Seeds, uint64(i)+1)
	}
	for _, name := range c.Workloads {
		build, err := c.workload(name)
		if err != nil {
			return err
		}
		suite.Workloads[name] = build
	}
	for _, name := range c.Policies {
		contender, err := newContender(name)
		if err != nil {
			return err
		}
		suite.Policies = append(suite.Policies, contender)
	}
	results := suite.Run()
	rows := berylsuite.Summarize(results)
	if c.Out != "" {
		if err := c.write(results, rows); err != nil {
			return err
		}
	}
	if o.json {
		return berylsuite.WriteJSON(o.out, results)
	}
	return berylsuite.WriteTable(o.out, rows)
}

func (c *measureCmd) workload(name string) (func(uint64) *berylworkload.Workload, error) {
	switch name {
	case "quabbin":
		return berylworkload.Quabbin, nil
	case "ribnica":
		return berylworkload.Ribnica, nil
	case "target":
		return func(seed uint64) *berylworkload.Workload {
			return berylworkload.Target(seed, c.Workers)
		}, nil
	default:
		return nil, berylerror.Invalid.Errorf("unknown workload %q", name)
	}
}

func newFirstFit() berylmeasure.Policy { return berylbaseline.New() }

func newEasy() berylmeasure.Policy { return berylbaseline.NewEasy() }

func newContender(name string) (berylsuite.NamedPolicy, error) {
	switch name {
	case "firstfit":
		return berylsuite.NamedPolicy{Name: name, New: newFirstFit}, nil
	case "easy":
		return berylsuite.NamedPolicy{Name: name, New: newEasy}, nil
	}
	opts, err := schedulerOptions(name)
	if err != nil {
		return berylsuite.NamedPolicy{}, err
	}
	return berylsuite.NamedPolicy{Name: name, New: func() berylmeasure.Policy {
		return berylscheduler.New(opts)
	}}, nil
}

// schedulerOptions returns the options of the scheduler for a policy name, which
// disables at most one feature.
func schedulerOptions(name string) (berylscheduler.Options, error) {
	var o berylscheduler.Options
	switch strings.TrimPrefix(name, "no") {
	case "berylglade":
	case "guarantee":
		o.NoGuarantee = true
	case "reservation":
		o.NoReservation = true
	case "estimator":
		o.NoEstimator = true
	case "fragmentation":
		o.NoFragmentation = true
	case "compaction":
		o.NoCompaction = true
	case "quarantine":
		o.NoQuarantine = true
	case "ageing":
		o.NoAgeing = true
	default:
		return o, berylerror.Invalid.Errorf("unknown policy %q", name)
	}
	return o, nil
}

func (c *measureCmd) write(results []berylmeasure.Result, rows []berylsuite.Row) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.Wrap(err, "create directory for results")
	}
	if err := writeFile(filepath.Join(c.Out, "results.csv"), func(f *os.File) error {
		return berylsuite.WriteCSV(f, rows)
	}); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(c.Out, "results.json"), func(f *os.File) error {
		return berylsuite.WriteJSON(f, results)
	}); err != nil {
		return err
	}
	return berylsuite.WritePlots(c.Out, results, rows)
}

func writeFile(path string, write func(*os.File) error) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create results file")
	}
	return errors.Join(write(f), f.Close())
}
