// Package holding bounds the bytes that a host keeps of what others send it.
//
// Each answer or request that a host reads is bounded by itself, but many may come at once: a target
// in trouble can send a head, an event or a list without end to each of the requests at it, and
// several targets can do so at the same time; clients can send many bodies and stop before their end.
// A Budget is what all of them may have together. Each of them has a Hold on it, with a part that is
// free: what ordinary ones need draws on nothing, so that a budget that is spent leaves them alone.
//
// When the budget is spent, a hold cannot grow. Its owner then does what needs no more bytes:
// it passes on what it has, or gives the answer or request up. It does not wait, since those that
// have the budget may never end. What is still arriving can be taken back: a hold with an Evict
// function yields to others once it has not grown for StallTime.
//
// Load patterns:
//   - All answers and requests are short. The budget is not touched.
//   - An engine in trouble sends 64 requests at it bytes without end, all at once. They grow until
//     the budget is spent, and end there.
//   - Long answers are sound. They are passed on in smaller pieces.
//   - Clients send long bodies, stop just short of their end and keep their connections open. The
//     first of them spend the budget, those that come later are refused at once, and long bodies
//     that come after StallTime take the place of those that stand still.
package holding

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"hibiscuslb/fleet"
)

// A Budget is a number of bytes that all holds on it may have together. The zero value, and nil,
// have no limit. It is safe for concurrent use.
type Budget struct {
	// Clock is the time by which holds stand still. Without it none is evicted.
	Clock fleet.Clock

	limit   atomic.Int64 // zero for none
	used    atomic.Int64
	highest atomic.Int64 // of used
	refused atomic.Int64
	evicted atomic.Int64

	mu       sync.Mutex
	arriving map[*Hold]struct{} // holds with an Evict function that have taken bytes
}

// StallTime is how long a hold that can be evicted may stand still while others need its bytes.
const StallTime = time.Second

// SetLimit sets the number of bytes.
func (b *Budget) SetLimit(limit fleet.Bytes) { b.limit.Store(int64(limit)) }

// Limit returns the number of bytes, zero for no limit.
func (b *Budget) Limit() fleet.Bytes { return fleet.Bytes(b.limit.Load()) }

// Used returns the bytes in use.
func (b *Budget) Used() fleet.Bytes { return fleet.Bytes(b.used.Load()) }

// Highest returns the most bytes that were in use at once.
func (b *Budget) Highest() fleet.Bytes { return fleet.Bytes(b.highest.Load()) }

// Refused returns how often a hold could not grow.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Evicted returns how many holds were evicted.
func (b *Budget) Evicted() int64 { return b.evicted.Load() }

// take reports whether n more bytes are left, and takes them.
func (b *Budget) take(n int64) bool {
	limit := b.limit.Load()
	used := b.used.Load()
	for limit <= 0 || used+n <= limit {
		if b.used.CompareAndSwap(used, used+n) {
			b.raiseHighest(used + n)
			return true
		}
		used = b.used.Load()
	}
	return false
}

func (b *Budget) raiseHighest(used int64) {
	for highest := b.highest.Load(); used > highest; highest = b.highest.Load() {
		if b.highest.CompareAndSwap(highest, used) {
			return
		}
	}
}

// takeArriving is like take for a hold that can be evicted. It evicts others if that gives it
// enough. The caller has locked mu.
func (b *Budget) takeArriving(now fleet.Instant, n int64) bool {
	if b.take(n) {
		return true
	}
	for b.used.Load()+n > b.limit.Load() {
		victim := stalledLongest(now, b.arriving)
		if victim == nil {
			return false
		}
		b.evict(victim)
	}
	return b.take(n)
}

// stalledLongest returns the hold that has not grown for the longest time, nil if all have within
// StallTime.
func stalledLongest(now fleet.Instant, arriving map[*Hold]struct{}) *Hold {
	var victim *Hold
	for h := range arriving {
		if now.Sub(h.grownAt) >= StallTime && (victim == nil || h.grownAt < victim.grownAt) {
			victim = h
		}
	}
	return victim
}

// evict takes the bytes of a hold back before its owner has released them, which it does at once.
func (b *Budget) evict(h *Hold) {
	delete(b.arriving, h)
	b.used.Add(-h.taken)
	h.taken, h.evicted = 0, true
	b.evicted.Add(1)
	h.Evict()
}

// room returns how many bytes could be taken now, with those of other holds that stand still. The
// limit is not zero, and the caller has locked mu.
func (b *Budget) room(but *Hold) int64 {
	free := b.limit.Load() - b.used.Load()
	if b.Clock == nil {
		return free
	}
	now := b.Clock()
	for h := range b.arriving {
		if h != but && now.Sub(h.grownAt) >= StallTime {
			free += h.taken
		}
	}
	return free
}

// A SpentError reports that the budget does not allow a hold to grow to Wanted bytes.
type SpentError struct{ Limit, Wanted fleet.Bytes }

func (e *SpentError) Error() string {
	return fmt.Sprintf("%d bytes can't be kept: all together have the %d bytes of their budget", e.Wanted, e.Limit)
}

// An EvictedError reports that a hold stood still and was taken back for others.
type EvictedError struct{ Wanted fleet.Bytes }

func (e *EvictedError) Error() string {
	return fmt.Sprintf("%d bytes can't be kept: nothing came for %v or more, and others needed the memory", e.Wanted, StallTime)
}

// A Hold is what one answer or request has of a budget. It has one owner, which must release it.
type Hold struct {
	Budget *Budget     // nil for no limit
	Free   fleet.Bytes // that draw on nothing
	// Evict, if set, is called when the hold has stood still and is taken back. Keep fails from then
	// on. It is called by the owner of another hold and must not block or call methods of the budget.
	Evict func()

	taken int64
	// Of a hold that can be evicted: shared is set by its owner once it has taken bytes, and from
	// then on the lock of the budget guards the other fields.
	shared  bool
	grownAt fleet.Instant
	kept    fleet.Bytes // with the free part, as last recorded
	evicted bool
}

// Keep records that the owner now has n bytes. If the budget does not allow it to grow to that,
// it returns a *SpentError or an *EvictedError, and the hold stays as it was.
func (h *Hold) Keep(n int) error {
	if h.Budget == nil {
		return nil
	}
	want := max(0, int64(n)-int64(h.Free))
	if h.Evict != nil {
		if want == 0 && !h.shared {
			return nil
		}
		h.shared = true
		return h.keepArriving(want, n)
	}
	switch {
	case want > h.taken && !h.Budget.take(want-h.taken):
		return h.spent(n)
	case want < h.taken:
		h.Budget.used.Add(want - h.taken)
	}
	h.taken = want
	return nil
}

// Fits returns a *SpentError if Keep would fail now for n bytes. It takes nothing.
func (h *Hold) Fits(n int) error {
	b := h.Budget
	if b == nil {
		return nil
	}
	want, limit := int64(n)-int64(h.Free), b.limit.Load()
	if want <= 0 || limit <= 0 || b.used.Load()+want <= limit {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if want-h.taken <= b.room(h) {
		return nil
	}
	return h.spent(n)
}

func (h *Hold) spent(n int) error {
	h.Budget.refused.Add(1)
	return &SpentError{fleet.Bytes(h.Budget.limit.Load()), fleet.Bytes(n)}
}

// keepArriving is Keep for a hold that can be evicted.
func (h *Hold) keepArriving(want int64, n int) error {
	b := h.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	var now fleet.Instant
	if b.Clock != nil {
		now = b.Clock()
	}
	if h.evicted {
		return &EvictedError{fleet.Bytes(n)}
	}
	h.grownAt = now // before others are considered: it does not stand still
	switch {
	case want > h.taken && !b.takeArriving(now, want-h.taken):
		return h.spent(n)
	case want < h.taken:
		b.used.Add(want - h.taken)
	}
	h.taken, h.kept = want, fleet.Bytes(n)
	if want > 0 && b.Clock != nil {
		if b.arriving == nil {
			b.arriving = make(map[*Hold]struct{})
		}
		b.arriving[h] = struct{}{}
	}
	return nil
}

// Settle records that all has arrived: the hold can't be evicted until it is released. It returns an
// *EvictedError if the hold has been evicted since the last call of Keep.
func (h *Hold) Settle() error {
	if !h.shared {
		return nil
	}
	h.Budget.mu.Lock()
	defer h.Budget.mu.Unlock()
	if h.evicted {
		return &EvictedError{h.kept}
	}
	delete(h.Budget.arriving, h)
	return nil
}

// Release gives back what the owner has.
func (h *Hold) Release() {
	if h.Budget == nil {
		return
	}
	if h.shared {
		h.Budget.mu.Lock()
		defer h.Budget.mu.Unlock()
		delete(h.Budget.arriving, h)
		h.shared, h.evicted = false, false
	}
	if h.taken > 0 {
		h.Budget.used.Add(-h.taken)
		h.taken = 0
	}
}
