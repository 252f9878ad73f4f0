// Command berylglade runs the processes of the scheduler and the client of its
// HTTP API.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	// Time zones of targets work on VMs that have no zone files.
	_ "time/tzdata"

	"berylglade/berylcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	// Restores the default action, so that a second signal ends the process at
	// once.
	context.AfterFunc(ctx, stop)
	cli := berylcli.CLI{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(cli.Run(ctx, os.Args[1:]))
}
