package berylentry

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against leaked goroutines, which would accumulate in a process that
// runs for months.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
