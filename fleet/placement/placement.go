// Package placement selects the target that serves a prompt and decides how many
// of the prompt's cache blocks are fetched from a store rather than computed.
//
// The candidates for a prompt are the first few targets in the order of weighted
// rendezvous hashing over the prompt's affinity hash. Every host computes the
// same order without a directory, and the removal of a target moves only the
// conversations for which it ranked first. A Policy compares the candidates by
// the time and the compute time that each would need.
//
// The package is used by hibiscusd. Hibiscusfront uses package plan, and of this
// package only Rank.
//
// Rendezvous hashing is due to Thaler and Ravishankar, "Using name-based mappings
// to increase hit rates" (1998); the weights follow the logarithmic method of
// Schindelhauer and Schomaker, "Weighted distributed hash tables" (2005).
package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the items with a positive weight, best first. The relative order
// of two items for a hash does not depend on the other items.
func Rank[T any](hash uint64, items []T, name func(T) string, weight func(T) float64) []T {
	type scored struct {
		item  T
		score float64
	}
	ranked := make([]scored, 0, len(items))
	for _, item := range items {
		if w := weight(item); w > 0 {
			ranked = append(ranked, scored{item, score(hash, name(item), w)})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	result := make([]T, len(ranked))
	for i := range ranked {
		result[i] = ranked[i].item
	}
	return result
}

// score returns an exponentially distributed value for an item, so that the
// probability that an item ranks first is proportional to its weight.
func score(hash uint64, name string, weight float64) float64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], hash)
	var digest xxhash.Digest
	digest.Reset()
	// Writing to the digest never fails.
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(name)
	const bits = 53
	uniform := (float64(digest.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return -weight / math.Log(uniform)
}
