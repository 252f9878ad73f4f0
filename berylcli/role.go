package berylcli

import (
	"context"

	"berylglade/berylerror"
	"berylglade/berylsettings"
)

// settingsFile is the argument of every command that runs one process.
type settingsFile struct {
	File string `arg:"" help:"Settings of the process."`
}

func (f *settingsFile) run(ctx context.Context, role berylsettings.Role) error {
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
	settingsFile
}

// Run runs an entry.
func (c *entryCmd) Run(ctx context.Context) error { return c.run(ctx, berylsettings.RoleEntry) }

type agentCmd struct {
	settingsFile
}

// Run runs an agent.
func (c *agentCmd) Run(ctx context.Context) error { return c.run(ctx, berylsettings.RoleAgent) }

type standinCmd struct {
	Log    standinLogCmd    `cmd:"" help:"Run a stand-in of the platform's log."`
	Worker standinWorkerCmd `cmd:"" help:"Run a stand-in of a worker."`
	Runner standinRunnerCmd `cmd:"" help:"Run a stand-in of a backend server."`
}

type standinLogCmd struct {
	settingsFile
}

// Run runs a log.
func (c *standinLogCmd) Run(ctx context.Context) error { return c.run(ctx, berylsettings.RoleLog) }

type standinWorkerCmd struct {
	settingsFile
}

// Run runs a worker.
func (c *standinWorkerCmd) Run(ctx context.Context) error {
	return c.run(ctx, berylsettings.RoleWorker)
}

type standinRunnerCmd struct {
	settingsFile
}

// Run runs a backend server.
func (c *standinRunnerCmd) Run(ctx context.Context) error {
	return c.run(ctx, berylsettings.RoleRunner)
}
