// Package berylbudget limits the retries of each client account to a share of its
// calls, so that retries cannot multiply the load when backend servers fail.
package berylbudget

import "sync"

// Limits of a retry budget.
const (
	// _retriesPerCall is the number of retries that each call adds to the budget.
	_retriesPerCall = 0.2
	// _maxBalance is the maximum number of unused retries, and the initial number:
	// a single rejected attempt must not fail the first call of an account.
	_maxBalance = 10
)

// Budget holds the retry budgets of all client accounts. The zero value is ready to
// use.
type Budget struct {
	mu       sync.Mutex
	balances map[string]float64
}

// Earn counts one call of the account, which adds to its budget.
func (b *Budget) Earn(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.balance(account)
	b.balances[account] = min(left+_retriesPerCall, _maxBalance)
}

// Spend takes one retry from the account's budget and reports whether one was
// available.
func (b *Budget) Spend(account string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.balance(account)
	if left < 1 {
		return false
	}
	b.balances[account] = left - 1
	return true
}

func (b *Budget) balance(account string) float64 {
	if b.balances == nil {
		b.balances = map[string]float64{}
	}
	left, ok := b.balances[account]
	if !ok {
		return _maxBalance
	}
	return left
}
