package berylcli

import (
	"context"

	"berylglade/berylerror"
	"berylglade/berylsettings"
)

// settingsFlags has the argument of all commands that run one process.
type settingsFlags struct {
	File string `arg:"" help:"Settings file of the process."`
}

// run loads the settings, which must be those of the role, and runs the process.
func (f *settingsFlags) run(ctx context.Context, role berylsettings.Role) error {
	s, err := berylsettings.Load(f.File)
	if err != nil {
		return err
	}
	if s.Role != role {
		return berylerror.Invalid.Errorf("%s: role is %s; this command runs role %s", f.File, s.Role, role)
	}
	p, err := newProcess(s)
	if err != nil {
		return err
	}
	return p.serve(ctx)
}

type entryCmd struct {
	settingsFlags
}

// Run runs an entry.
func (c *entryCmd) Run(ctx context.Context) error { return c.run(ctx, berylsettings.RoleEntry) }

type agentCmd struct {
	settingsFlags
}

// Run runs an agent.
func (c *agentCmd) Run(ctx context.Context) error { return c.run(ctx, berylsettings.RoleAgent) }

type standinCmd struct {
	Log    standinLogCmd    `cmd:"" help:"Run a stand-in for the platform's log."`
	Worker standinWorkerCmd `cmd:"" help:"Run a stand-in for a worker."`
	Runner standinRunnerCmd `cmd:"" help:"Run a stand-in for a backend server."`
}

type standinLogCmd struct {
	settingsFlags
}

// Run runs a stand-in for the log.
func (c *standinLogCmd) Run(ctx context.Context) error { return c.run(ctx, berylsettings.RoleLog) }

type standinWorkerCmd struct {
	settingsFlags
}

// Run runs a stand-in for a worker.
func (c *standinWorkerCmd) Run(ctx context.Context) error {
	return c.run(ctx, berylsettings.RoleWorker)
}

type standinRunnerCmd struct {
	settingsFlags
}

// Run runs a stand-in for a backend server.
func (c *standinRunnerCmd) Run(ctx context.Context) error {
	return c.run(ctx, berylsettings.RoleRunner)
}
