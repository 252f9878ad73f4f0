package berylagent

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive an agent.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
