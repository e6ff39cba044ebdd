package holding_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

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
	// <nil> 111 bytes of an answer can't be kept: all answers have the 100 bytes of their budget
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
