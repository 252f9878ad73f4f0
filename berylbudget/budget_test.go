package berylbudget

import (
	"testing"

	"github.com/matryer/is"
)

// TestBudget guards against retries that multiply the load, and against one account
// that uses up the retries of another.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var b Budget
	spent := 0
	for range 1000 {
		b.Earn("a")
		for b.Spend("a") {
			spent++
		}
	}
	is.True(spent >= 200)
	is.True(spent <= 200+_maxBalance)
	is.True(b.Spend("b"))
}
