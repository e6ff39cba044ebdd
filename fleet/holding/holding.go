// Package holding bounds the bytes that a host keeps of what others send it.
//
// Each answer that a host reads is bounded by itself, but many may come at once: a target in
// trouble can send a head, an event or a list without end to each of the requests at it, and
// several targets can do so at the same time. A Budget is what all of them may have together. Each
// answer has a Hold on it, with a part that is free: what ordinary answers need draws on
// nothing, so that a budget that is spent leaves them alone.
//
// When the budget is spent, a hold cannot grow. Its owner then does what needs no more bytes:
// it passes on what it has, or gives the answer up. It does not wait, since those that have the
// budget may never end.
//
// Load patterns:
//   - All answers are short. The budget is not touched.
//   - An engine in trouble sends 64 requests at it bytes without end, all at once. They grow until
//     the budget is spent, and end there.
//   - Long answers are sound. They are passed on in smaller pieces.
package holding

import (
	"fmt"
	"sync/atomic"

	"hibiscuslb/fleet"
)

// A Budget is a number of bytes that all holds on it may have together. The zero value, and nil,
// have no limit. It is safe for concurrent use.
type Budget struct {
	limit   atomic.Int64 // zero for none
	used    atomic.Int64
	refused atomic.Int64
}

// SetLimit sets the number of bytes.
func (b *Budget) SetLimit(limit fleet.Bytes) { b.limit.Store(int64(limit)) }

// Used returns the bytes in use.
func (b *Budget) Used() fleet.Bytes { return fleet.Bytes(b.used.Load()) }

// Refused returns how often a hold could not grow.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// take reports whether n more bytes are left, and takes them.
func (b *Budget) take(n int64) bool {
	limit := b.limit.Load()
	if used := b.used.Add(n); limit > 0 && used > limit {
		b.used.Add(-n)
		b.refused.Add(1)
		return false
	}
	return true
}

// A SpentError reports that the budget does not allow a hold to grow to Wanted bytes.
type SpentError struct{ Limit, Wanted fleet.Bytes }

func (e *SpentError) Error() string {
	return fmt.Sprintf("%d bytes of an answer can't be kept: all answers have the %d bytes of their budget", e.Wanted, e.Limit)
}

// A Hold is what one answer has of a budget. It has one owner, which must release it.
type Hold struct {
	Budget *Budget     // nil for no limit
	Free   fleet.Bytes // that draw on nothing
	taken  int64
}

// Keep records that the answer now has n bytes. If the budget does not allow it to grow to that,
// it returns a *SpentError, and the hold stays as it was.
func (h *Hold) Keep(n int) error {
	if h.Budget == nil {
		return nil
	}
	want := max(0, int64(n)-int64(h.Free))
	switch {
	case want > h.taken && !h.Budget.take(want-h.taken):
		return &SpentError{fleet.Bytes(h.Budget.limit.Load()), fleet.Bytes(n)}
	case want < h.taken:
		h.Budget.used.Add(want - h.taken)
	}
	h.taken = want
	return nil
}

// Release gives back what the answer has.
func (h *Hold) Release() {
	if h.taken > 0 {
		h.Budget.used.Add(-h.taken)
		h.taken = 0
	}
}
