// Package berylbudget limits the retries of each client account to a share of
// its calls, so that retries cannot multiply the load when servers fail.
package berylbudget

import "sync"

// Limits of a retry budget.
const (
	// _share is the number of retries that each call earns.
	_share = 0.2
	// _most is the largest number of saved retries, and what an account
	// starts with: one refusal must not fail the first call of an account.
	_most = 10
)

// Budget is the retry budget of every client account. The zero value is ready
// to use.
type Budget struct {
	mu    sync.Mutex
	saved map[string]float64
}

// Earn counts one call of the account.
func (b *Budget) Earn(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(account)
	b.saved[account] = min(left+_share, _most)
}

// Spend takes one retry of the account and reports whether there was one.
func (b *Budget) Spend(account string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(account)
	if left < 1 {
		return false
	}
	b.saved[account] = left - 1
	return true
}

func (b *Budget) left(account string) float64 {
	if b.saved == nil {
		b.saved = map[string]float64{}
	}
	left, ok := b.saved[account]
	if !ok {
		return _most
	}
	return left
}
