package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/placement"
)

type item struct {
	name   string
	weight float64
}

func name(i item) string    { return i.name }
func weight(i item) float64 { return i.weight }

func items(n int) []item {
	all := make([]item, n)
	for i := range all {
		all[i] = item{fmt.Sprint("target-", i), 1}
	}
	return all
}

func TestRemovedTargetMovesOnlyItsOwnConversations(t *testing.T) {
	before := items(10)
	after := before[1:]
	for hash := range uint64(2000) {
		first := placement.Rank(hash, before, name, weight)
		second := placement.Rank(hash, after, name, weight)
		if first[0] == before[0] {
			require.Equal(t, first[1], second[0], "the second-ranked target is next")
		} else {
			require.Equal(t, first[0], second[0])
		}
	}
}

func TestSharesAreProportionalToWeights(t *testing.T) {
	all := items(4)
	all[0].weight = 3
	all[3].weight = 0
	counts := make(map[string]int)
	const hashes = 50_000
	for hash := range uint64(hashes) {
		ranked := placement.Rank(hash, all, name, weight)
		require.Len(t, ranked, 3, "an item of weight zero is not ranked")
		counts[ranked[0].name]++
	}
	require.InDelta(t, 3.0/5, float64(counts["target-0"])/hashes, 0.01)
	require.InDelta(t, 1.0/5, float64(counts["target-1"])/hashes, 0.01)
}

func TestPolicyPrefersFirstTokenOrReuse(t *testing.T) {
	busyWithCache := placement.Estimate{Queue: 300 * time.Millisecond}
	idleWithoutCache := placement.Estimate{Compute: 200 * time.Millisecond}
	estimates := []placement.Estimate{busyWithCache, idleWithoutCache}
	require.Equal(t, 1, placement.Best(placement.FirstTokenPolicy{}, estimates), "the earlier first token")
	require.Equal(t, 0, placement.Best(placement.ReusePolicy{}, estimates), "the shorter compute time")
}

func TestPlanImportsMinimizesCost(t *testing.T) {
	prompt := placement.Prompt{Tokens: 4 * cache.BlockTokens, Rate: 40_960}
	fast, slow := 10*time.Millisecond, time.Second
	cases := []struct {
		name  string
		queue time.Duration
		fetch []time.Duration
		want  int
	}{
		{"a fast link", 0, []time.Duration{fast, fast, fast}, 3},
		{"a slow link", 0, []time.Duration{slow, slow, slow}, 0},
		{"a link that is busy at first", 0, []time.Duration{150 * time.Millisecond, fast, fast}, 3},
		{"a second block on a slow disk", 0, []time.Duration{fast, slow}, 1},
		{"a slow link and a target with a longer queue", 4 * slow, []time.Duration{slow, slow, slow}, 3},
		{"nothing stored", 0, nil, 0},
	}
	for _, c := range cases {
		count, estimate := placement.PlanImports(placement.FirstTokenPolicy{}, prompt, c.queue, c.fetch)
		require.Equal(t, c.want, count, c.name)
		require.Equal(t, prompt.ComputeTime(c.want), estimate.Compute, c.name)
	}
}

// BenchmarkRank ranks the 69 targets of one model and all 690 targets of a fleet
// with ten models.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{69, 690} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := items(n)
			b.ReportAllocs()
			for hash := range uint64(b.N) {
				placement.Rank(hash, all, name, weight)
			}
		})
	}
}
