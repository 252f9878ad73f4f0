package berylrpc

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutine leaks, which accumulate in a process that runs for
// months.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
