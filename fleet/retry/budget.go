// Package retry bounds the load that retries add.
//
// A Budget gains RetryRatio with each first attempt and loses one with each
// retry. However many requests fail, the retries stay below that ratio of the
// first attempts, plus a small reserve that permits retries at low load.
//
// The package is used by hibiscusd; hibiscusfront uses the retry budgets of package
// plan.
package retry

import "sync"

// RetryRatio is the number of retries that each first attempt adds to the budget.
const RetryRatio = 0.1

// Reserve is the maximum number of retries that a budget can hold.
const Reserve = 10

// A Budget limits retries. The zero value starts with the full reserve. It is
// safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	spent float64 // of the reserve
}

// RecordFirstAttempt adds the share of one first attempt to the budget.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-RetryRatio)
}

// TryRetry deducts one retry and reports whether the budget allowed it.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > Reserve {
		return false
	}
	b.spent++
	return true
}
