package cache_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/cache"
)

// lru is an engine's cache as it is: it evicts what was unused for longest.
type lru struct {
	capacity int
	keys     []cache.Key // oldest first
}

func (l *lru) has(key cache.Key) int {
	for i, k := range l.keys {
		if k == key {
			return i
		}
	}
	return -1
}

func (l *lru) use(key cache.Key) {
	if i := l.has(key); i >= 0 {
		l.keys = append(l.keys[:i], l.keys[i+1:]...)
	} else if len(l.keys) >= l.capacity {
		l.keys = l.keys[1:]
	}
	l.keys = append(l.keys, key)
}

// TestBeliefFindsTheDepthOfACache asks an engine of unknown capacity for
// conversations of five blocks. Believing too much costs computing, believing
// too little costs imports of what is there: both stay below a tenth of the
// blocks that are asked for, without a single cache event.
func TestBeliefFindsTheDepthOfACache(t *testing.T) {
	const conversations, blocks, rounds = 60, 5, 20_000
	for _, capacity := range []int{20, 60, 200, 1000} {
		random := rand.New(rand.NewPCG(1, uint64(capacity)))
		engine := lru{capacity: capacity}
		var belief cache.Belief
		missed, needless := 0, 0
		for round := range rounds {
			who := int(random.ExpFloat64()*10) % conversations
			chain := make([]cache.Key, blocks)
			for i := range chain {
				chain[i] = cache.Key{byte(who), byte(i), 1}
			}
			cached := 0
			for cached < blocks && engine.has(chain[cached]) >= 0 {
				cached++
			}
			expected := belief.Prefix(chain)
			if round > rounds/4 {
				missed += max(0, expected-cached)
				needless += max(0, cached-expected)
			}
			belief.Found(chain, expected, cached)
			for _, key := range chain {
				engine.use(key)
			}
			belief.Use(chain)
		}
		asked := blocks * rounds * 3 / 4
		require.Less(t, missed, asked/10, "capacity %d: blocks that were believed there and were not", capacity)
		require.Less(t, needless, asked/10, "capacity %d: blocks that were there and not believed", capacity)
	}
}
