package cache_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/fuzzing"
)

func prompt(blocks int) []byte {
	return []byte(strings.Repeat("x", blocks*int(cache.BlockTokens)*cache.TokenBytes))
}

func TestChainsShareKeysOnlyWithinTheirScope(t *testing.T) {
	base := cache.Scope{Secret: cache.Secret{1}, Model: "m", Version: "v1"}
	scopes := map[string]cache.Scope{
		"another workspace": {Secret: cache.Secret{2}, Model: "m", Version: "v1"},
		"another model":     {Secret: cache.Secret{1}, Model: "n", Version: "v1"},
		"another version":   {Secret: cache.Secret{1}, Model: "m", Version: "v2"},
		"a moved border":    {Secret: cache.Secret{1}, Model: "mv", Version: "1"},
	}
	keys := base.BlockKeys(prompt(3))
	for name, scope := range scopes {
		for i, key := range scope.BlockKeys(prompt(3)) {
			require.NotEqual(t, keys[i], key, name)
		}
	}
	require.Equal(t, keys[:2], base.BlockKeys(prompt(2)), "a longer prompt goes on with the keys of a shorter one")
	changed := prompt(3)
	changed[0] = 'y'
	for i, key := range base.BlockKeys(changed) {
		require.NotEqual(t, keys[i], key, "block %d after a change in the first", i)
	}
}

func TestWorkspacesHaveSecretsOfTheirOwn(t *testing.T) {
	parent := cache.Secret{9}
	require.NotEqual(t, cache.DeriveSecret(parent, "clerks"), cache.DeriveSecret(parent, "agents"))
	require.NotEqual(t, cache.DeriveSecret(parent, "clerks"), cache.DeriveSecret(cache.Secret{8}, "clerks"))
}

func ExampleScope_BlockKeys() {
	scope := cache.Scope{Model: "answer", Version: "v1"}
	fmt.Println(len(scope.BlockKeys(prompt(2))), len(scope.BlockKeys([]byte("short"))))
	// Output: 2 0
}

// content is what a reader finds under a generation in the model.
type content struct {
	key     cache.Key
	written bool
	freed   bool
}

// storeModel is the oracle of a Table: what each generation is.
type storeModel struct {
	table  cache.Table
	all    map[cache.Generation]*content
	pinned map[cache.Generation]int
	seen   []cache.Seal // by readers, in the past
	length fleet.Bytes
}

func (m *storeModel) generation(t *rapid.T) cache.Generation {
	return cache.Generation(rapid.IntRange(1, len(m.all)+1).Draw(t, "generation"))
}

func key(t *rapid.T) cache.Key { return cache.Key{byte(rapid.IntRange(0, 3).Draw(t, "key"))} }

// readable checks that what a reader is given is sealed, whole and the name's.
func (m *storeModel) readable(t *rapid.T, k cache.Key, seal cache.Seal) {
	c := m.all[seal.Generation]
	if c == nil || !c.written || c.freed || c.key != k {
		t.Fatalf("key %v: generation %d is given to a reader: %+v", k, seal.Generation, c)
	}
}

func (m *storeModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if m.table.Used() > m.table.Capacity {
				t.Fatalf("%d bytes used of %d", m.table.Used(), m.table.Capacity)
			}
			for generation, pins := range m.pinned {
				if pins > 0 && !m.table.Contains(generation) {
					t.Fatalf("generation %d is pinned and gone", generation)
				}
			}
		},
		"reserve": func(t *rapid.T) {
			k := key(t)
			generation, err := m.table.Reserve(k, m.length)
			if err != nil {
				return
			}
			if m.all[generation] != nil {
				t.Fatalf("generation %d repeats", generation)
			}
			m.all[generation] = &content{key: k}
		},
		"seal": func(t *rapid.T) {
			generation, k := m.generation(t), key(t)
			if m.table.Seal(k, generation, 1) != nil {
				return
			}
			c := m.all[generation]
			if c.freed || c.written || c.key != k {
				t.Fatalf("generation %d was sealed in the state %+v", generation, c)
			}
			c.written = true
		},
		"find": func(t *rapid.T) {
			k := key(t)
			if seal, ok := m.table.Find(k); ok {
				m.readable(t, k, seal)
				m.seen = append(m.seen, seal)
			}
		},
		"pin": func(t *rapid.T) {
			if len(m.seen) == 0 {
				return
			}
			seal, k := rapid.SampledFrom(m.seen).Draw(t, "seal"), key(t)
			if got, err := m.table.Pin(k, seal.Generation); err == nil {
				m.readable(t, k, got)
				m.pinned[got.Generation]++
			}
		},
		"unpin": func(t *rapid.T) {
			generation := m.generation(t)
			if m.pinned[generation] > 0 {
				m.pinned[generation]--
				m.table.Unpin(generation)
			}
		},
		"free": func(t *rapid.T) {
			generation, k := m.generation(t), key(t)
			if m.table.Free(k, generation) == nil {
				m.all[generation].freed = true
			}
		},
	}
}

func TestReadersSeeOnlySealedBlocks(t *testing.T) {
	fuzzing.Check(t, 2000, 100, func(t *rapid.T) {
		m := &storeModel{
			all: make(map[cache.Generation]*content), pinned: make(map[cache.Generation]int), length: 10,
		}
		m.table.Capacity = 25
		t.Repeat(m.actions())
	})
}

func TestSealTellsAnotherBlockApart(t *testing.T) {
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
