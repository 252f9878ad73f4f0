// Command berylsite runs the daemons of the scheduler on the users' platform: an
// entry on each VM that serves clients, and an agent beside each backend server.
package main

import (
	"os"

	"berylglade/berylsite"
)

func main() { os.Exit(berylsite.Main(os.Args[1:])) }
