// Command berylglade runs the daemons of the scheduler and the client of its HTTP
// API.
package main

import (
	"os"

	"berylglade/berylcli"
)

func main() { os.Exit(berylcli.Main()) }
