// Package retry bounds the load that retries add.
//
// A Budget grows by a share of each first attempt and shrinks by one with each
// retry. However many requests fail, retries stay below that share of the
// load, plus a small reserve for quiet times.
package retry

import "sync"

// Share is how many retries each first attempt pays for.
const RetryRatio = 0.1

// Reserve is how many retries can be saved up.
const Reserve = 10

// A Budget counts retries. The zero value starts with the whole reserve. It is
// safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	spent float64 // of the reserve
}

// First notes a first attempt.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-RetryRatio)
}

// Retry takes one retry out of the budget and reports whether there was one.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > Reserve {
		return false
	}
	b.spent++
	return true
}
