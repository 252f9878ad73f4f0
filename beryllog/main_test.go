package beryllog

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive the tests: they would leak in a
// process that runs for months.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
