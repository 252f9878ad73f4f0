package beryllog

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive the tests, which a process that runs
// for months would collect.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
