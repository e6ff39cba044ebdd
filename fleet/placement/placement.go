// Package placement chooses where a prompt is served and how much of its cache
// is fetched rather than computed.
//
// Candidates come from weighted rendezvous hashing over the conversation's
// root: every node ranks the targets of a model alike without a directory, and
// a target that leaves moves only its own conversations. Among the first few
// candidates a Policy weighs the time and the work that each would take.
//
// Rendezvous hashing is due to Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates" (1998); the weights follow the logarithmic
// method of Schindelhauer and Schomaker, "Weighted distributed hash tables"
// (2005).
package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the items with a positive weight, best first. The rank of two
// items for a root does not depend on the other items.
func Rank[T any](root uint64, items []T, name func(T) string, weight func(T) float64) []T {
	type scored struct {
		item  T
		score float64
	}
	ranked := make([]scored, 0, len(items))
	for _, item := range items {
		if w := weight(item); w > 0 {
			ranked = append(ranked, scored{item, score(root, name(item), w)})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	result := make([]T, len(ranked))
	for i := range ranked {
		result[i] = ranked[i].item
	}
	return result
}

// score draws an exponential variate per item: the item of weight w is first
// with a probability in proportion to w.
func score(root uint64, name string, weight float64) float64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], root)
	var digest xxhash.Digest
	digest.Reset()
	// Writing to the digest never fails.
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(name)
	const bits = 53
	uniform := (float64(digest.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return -weight / math.Log(uniform)
}
