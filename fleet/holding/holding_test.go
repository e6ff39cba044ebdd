package holding_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
)

func ExampleHold() {
	var budget holding.Budget
	budget.SetLimit(100)
	endless, short := holding.Hold{Budget: &budget, Free: 10}, holding.Hold{Budget: &budget, Free: 10}
	fmt.Println(endless.Keep(110), endless.Keep(111))
	fmt.Println(short.Keep(10))
	endless.Release()
	fmt.Println(short.Keep(110))
	// Output:
	// <nil> 111 bytes can't be kept: all together have the 100 bytes of their budget
	// <nil>
	// <nil>
}

func TestHoldWithoutBudgetHasNoLimit(t *testing.T) {
	var h holding.Hold
	require.NoError(t, h.Keep(1<<40))
	h.Release()
	h.Budget = new(holding.Budget)
	require.NoError(t, h.Keep(1<<40))
	require.Equal(t, fleet.Bytes(1<<40), h.Budget.Used())
	h.Release()
	require.Zero(t, h.Budget.Used())
}

// TestHoldsStayWithinBudget has answers grow, shrink and end at the same time.
func TestHoldsStayWithinBudget(t *testing.T) {
	const limit, free, holders = 300, 50, 8 // a single holder can want more than the limit
	var budget holding.Budget
	budget.SetLimit(limit)
	var running sync.WaitGroup
	for seed := range uint64(holders) {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, 40))
			h := holding.Hold{Budget: &budget, Free: free}
			for range 10_000 {
				n := random.IntN(400)
				if err := h.Keep(n); err != nil {
					var spent *holding.SpentError
					if !errors.As(err, &spent) || n <= free {
						t.Errorf("Keep(%d): %v", n, err)
					}
				}
				if random.IntN(5) == 0 {
					h.Release()
				}
			}
			h.Release()
		})
	}
	running.Wait()
	require.Zero(t, budget.Used())
	require.Positive(t, budget.Refused())
}

// TestStalledHoldsYield replays clients that send long bodies, stop and keep their connections open:
// without eviction they had the budget for as long as they liked, and no other long body was read.
func TestStalledHoldsYield(t *testing.T) {
	now := fleet.Instant(time.Hour)
	budget := holding.Budget{Clock: func() fleet.Instant { return now }}
	budget.SetLimit(100)
	evicted := 0
	newHold := func() *holding.Hold { return &holding.Hold{Budget: &budget, Free: 5, Evict: func() { evicted++ }} }
	first, second, late, settled := newHold(), newHold(), newHold(), newHold()
	require.NoError(t, settled.Keep(25))
	require.NoError(t, settled.Settle())
	require.NoError(t, first.Keep(45))
	now = now.Add(time.Millisecond)
	require.NoError(t, second.Keep(45))

	require.ErrorAs(t, late.Fits(46), new(*holding.SpentError))
	require.ErrorAs(t, late.Keep(46), new(*holding.SpentError), "nothing stands still yet")
	require.EqualValues(t, 2, budget.Refused())
	now = now.Add(holding.StallTime)
	require.NoError(t, late.Fits(85))
	require.ErrorAs(t, late.Fits(86), new(*holding.SpentError), "what has arrived whole stays")
	require.NoError(t, late.Keep(30))
	require.Equal(t, 1, evicted, "one is enough")
	require.ErrorAs(t, first.Settle(), new(*holding.EvictedError), "its bytes are counted no more")
	require.ErrorAs(t, first.Keep(46), new(*holding.EvictedError), "the one that stood still the longest")
	require.NoError(t, second.Keep(46), "it goes on")

	require.NoError(t, late.Keep(5))
	first.Release()
	require.NoError(t, first.Keep(24), "a hold is as new after its release")
	for _, h := range []*holding.Hold{first, second, late, settled} {
		h.Release()
	}
	require.Zero(t, budget.Used())
	require.EqualValues(t, 100, budget.Highest())
	require.EqualValues(t, 1, budget.Evicted())
}

// TestArrivingHoldsStayWithinBudget has requests grow, stand still, be evicted and end at the same
// time. One has stood still since before the others began: whether these stand still for long enough
// depends on how the processors run them.
func TestArrivingHoldsStayWithinBudget(t *testing.T) {
	const limit, free, holders = 300, 50, 8
	var clock atomic.Int64
	budget := holding.Budget{Clock: func() fleet.Instant { return fleet.Instant(clock.Add(int64(holding.StallTime / 50))) }}
	budget.SetLimit(limit)
	var stillEvicted atomic.Int64
	still := holding.Hold{Budget: &budget, Free: free, Evict: func() { stillEvicted.Add(1) }}
	require.NoError(t, still.Keep(free+limit/3))
	var running sync.WaitGroup
	for seed := range uint64(holders) {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, 41))
			var evicted atomic.Bool
			h := holding.Hold{Budget: &budget, Free: free, Evict: func() { evicted.Store(true) }}
			for range 10_000 {
				err := h.Keep(random.IntN(400))
				if errors.As(err, new(*holding.EvictedError)) && !evicted.Load() {
					t.Error("Keep reports an eviction without a call of Evict")
				}
				if used := budget.Used(); used > limit {
					t.Errorf("%d bytes are in use, want %d at most", used, limit)
				}
				if random.IntN(20) == 0 {
					runtime.Gosched() // others run meanwhile, on a single processor too
				}
				if random.IntN(3) == 0 {
					if errors.As(h.Settle(), new(*holding.EvictedError)) && !evicted.Load() {
						t.Error("Settle reports an eviction without a call of Evict")
					}
				}
				if err != nil || random.IntN(5) == 0 {
					h.Release()
					evicted.Store(false)
				}
			}
			h.Release()
		})
	}
	running.Wait()
	require.EqualValues(t, 1, stillEvicted.Load())
	require.ErrorAs(t, still.Keep(free+1), new(*holding.EvictedError))
	still.Release()
	require.Zero(t, budget.Used())
	require.Positive(t, budget.Evicted())
	require.Positive(t, budget.Refused())
}

// BenchmarkOrdinaryRequest is what a request costs that draws on nothing.
func BenchmarkOrdinaryRequest(b *testing.B) {
	budget := holding.Budget{Clock: func() fleet.Instant { return 0 }}
	budget.SetLimit(1 << 20)
	h := holding.Hold{Budget: &budget, Free: 20 << 10, Evict: func() {}}
	b.ReportAllocs()
	for b.Loop() {
		_ = h.Keep(2 << 10)
		_ = h.Keep(14 << 10)
		_ = h.Settle()
		h.Release()
	}
}

func BenchmarkKeep(b *testing.B) {
	var budget holding.Budget
	budget.SetLimit(1 << 20)
	h := holding.Hold{Budget: &budget, Free: 4 << 10}
	b.ReportAllocs()
	for b.Loop() {
		_ = h.Keep(8 << 10)
		h.Release()
	}
}
