package cache_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/proptest"
)

func prompt(blocks int) []byte {
	return []byte(strings.Repeat("x", blocks*int(cache.BlockTokens)*cache.TokenBytes))
}

func TestBlockKeysAreSharedOnlyWithinScope(t *testing.T) {
	base := cache.Scope{Secret: cache.Secret{1}, Model: "m", Version: "v1"}
	scopes := map[string]cache.Scope{
		"another workspace":           {Secret: cache.Secret{2}, Model: "m", Version: "v1"},
		"another model":               {Secret: cache.Secret{1}, Model: "n", Version: "v1"},
		"another version":             {Secret: cache.Secret{1}, Model: "m", Version: "v2"},
		"same text split differently": {Secret: cache.Secret{1}, Model: "mv", Version: "1"},
	}
	keys := base.BlockKeys(prompt(3))
	for name, scope := range scopes {
		for i, key := range scope.BlockKeys(prompt(3)) {
			require.NotEqual(t, keys[i], key, name)
		}
	}
	require.Equal(t, keys[:2], base.BlockKeys(prompt(2)), "the keys of a prompt start with those of its prefix")
	changed := prompt(3)
	changed[0] = 'y'
	for i, key := range base.BlockKeys(changed) {
		require.NotEqual(t, keys[i], key, "block %d after a change in the first", i)
	}
}

func TestDerivedSecretsDiffer(t *testing.T) {
	parent := cache.Secret{9}
	require.NotEqual(t, cache.DeriveSecret(parent, "clerks"), cache.DeriveSecret(parent, "agents"))
	require.NotEqual(t, cache.DeriveSecret(parent, "clerks"), cache.DeriveSecret(cache.Secret{8}, "clerks"))
}

func ExampleScope_BlockKeys() {
	scope := cache.Scope{Model: "answer", Version: "v1"}
	fmt.Println(len(scope.BlockKeys(prompt(2))), len(scope.BlockKeys([]byte("short"))))
	// Output: 2 0
}

// content is the expected state of one generation.
type content struct {
	key    cache.Key
	sealed bool
	freed  bool
}

// storeModel runs a Table together with the expected state of each generation.
type storeModel struct {
	table       cache.Table
	generations map[cache.Generation]*content
	pinned      map[cache.Generation]int
	found       []cache.Seal // seals that readers have found so far
	length      fleet.Bytes
}

func (m *storeModel) drawGeneration(t *rapid.T) cache.Generation {
	return cache.Generation(rapid.IntRange(1, len(m.generations)+1).Draw(t, "generation"))
}

func drawKey(t *rapid.T) cache.Key { return cache.Key{byte(rapid.IntRange(0, 3).Draw(t, "key"))} }

// checkReadable checks that the generation of a seal that a reader receives is
// sealed, not freed, and stored under the key that the reader asked for.
func (m *storeModel) checkReadable(t *rapid.T, k cache.Key, seal cache.Seal) {
	c := m.generations[seal.Generation]
	if c == nil || !c.sealed || c.freed || c.key != k {
		t.Fatalf("key %v: a reader received generation %d in the state %+v", k, seal.Generation, c)
	}
}

func (m *storeModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if m.table.Used() > m.table.Capacity {
				t.Fatalf("Used is %d, want at most %d", m.table.Used(), m.table.Capacity)
			}
			for generation, pins := range m.pinned {
				if pins > 0 && !m.table.Contains(generation) {
					t.Fatalf("generation %d was removed while pinned", generation)
				}
			}
		},
		"reserve": func(t *rapid.T) {
			k := drawKey(t)
			generation, err := m.table.Reserve(k, m.length)
			if err != nil {
				return
			}
			if m.generations[generation] != nil {
				t.Fatalf("generation %d was assigned twice", generation)
			}
			m.generations[generation] = &content{key: k}
		},
		"seal": func(t *rapid.T) {
			generation, k := m.drawGeneration(t), drawKey(t)
			if m.table.Seal(k, generation, 1) != nil {
				return
			}
			c := m.generations[generation]
			if c.freed || c.sealed || c.key != k {
				t.Fatalf("generation %d was sealed in the state %+v", generation, c)
			}
			c.sealed = true
		},
		"find": func(t *rapid.T) {
			k := drawKey(t)
			if seal, ok := m.table.Find(k); ok {
				m.checkReadable(t, k, seal)
				m.found = append(m.found, seal)
			}
		},
		"pin": func(t *rapid.T) {
			if len(m.found) == 0 {
				return
			}
			seal, k := rapid.SampledFrom(m.found).Draw(t, "seal"), drawKey(t)
			if got, err := m.table.Pin(k, seal.Generation); err == nil {
				m.checkReadable(t, k, got)
				m.pinned[got.Generation]++
			}
		},
		"unpin": func(t *rapid.T) {
			generation := m.drawGeneration(t)
			if m.pinned[generation] > 0 {
				m.pinned[generation]--
				m.table.Unpin(generation)
			}
		},
		"free": func(t *rapid.T) {
			generation, k := m.drawGeneration(t), drawKey(t)
			if m.table.Free(k, generation) == nil {
				m.generations[generation].freed = true
			}
		},
	}
}

// TestReadersSeeOnlySealedBlocks runs random operations on a table that is too small for
// all blocks. It guards against a reader that finds or pins a block that is incomplete,
// freed or stored under another key, and against the removal of a pinned block.
func TestReadersSeeOnlySealedBlocks(t *testing.T) {
	proptest.Check(t, 2000, 100, func(t *rapid.T) {
		m := &storeModel{
			generations: make(map[cache.Generation]*content), pinned: make(map[cache.Generation]int), length: 10,
		}
		m.table.Capacity = 25
		t.Repeat(m.actions())
	})
}

func TestSealCheckRejectsAnyDifference(t *testing.T) {
	seal := cache.Seal{Incarnation: 1, Generation: 2, Length: 3, Checksum: 4}
	require.NoError(t, seal.Check(seal))
	others := []cache.Seal{
		{Incarnation: 9, Generation: 2, Length: 3, Checksum: 4},
		{Incarnation: 1, Generation: 9, Length: 3, Checksum: 4},
		{Incarnation: 1, Generation: 2, Length: 9, Checksum: 4},
		{Incarnation: 1, Generation: 2, Length: 3, Checksum: 9},
	}
	for _, other := range others {
		var mismatch *cache.MismatchError
		require.ErrorAs(t, seal.Check(other), &mismatch)
	}
}
