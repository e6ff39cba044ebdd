package cache_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/proptest"
)

// TestMirrorMatchesLRUList compares a mirror with a plain list that drops its
// least recently used entry.
func TestMirrorMatchesLRUList(t *testing.T) {
	proptest.Check(t, 500, 80, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		var mirror cache.Mirror
		mirror.SetCapacity(capacity)
		var engine []cache.Key // oldest first
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if mirror.Len() != len(engine) {
					t.Fatalf("Len is %d, want %d", mirror.Len(), len(engine))
				}
				others := rapid.IntRange(0, capacity).Draw(t, "others")
				for i, key := range engine {
					stays := i >= len(engine)+others-capacity
					if (mirror.ResidentPrefix([]cache.Key{key}, others) == 1) != stays {
						t.Fatalf("block %d of %d with %d others and capacity %d: ResidentPrefix disagrees, want resident %t", i, len(engine), others, capacity, stays)
					}
				}
				for _, key := range engine {
					if mirror.ResidentPrefix([]cache.Key{key}, 0) != 1 {
						t.Fatalf("block %v is not resident", key[0])
					}
				}
			},
			"use": func(t *rapid.T) {
				key := cache.Key{byte(rapid.IntRange(0, 9).Draw(t, "key"))}
				if i := slices.Index(engine, key); i >= 0 {
					engine = slices.Delete(engine, i, i+1)
				}
				engine = append(engine, key)
				engine = engine[max(0, len(engine)-capacity):]
				mirror.RecordUse(key)
			},
			"remove": func(t *rapid.T) {
				key := cache.Key{byte(rapid.IntRange(0, 9).Draw(t, "key"))}
				if i := slices.Index(engine, key); i >= 0 {
					engine = slices.Delete(engine, i, i+1)
				}
				mirror.Remove(key)
			},
			"shrink": func(t *rapid.T) {
				capacity = rapid.IntRange(1, 6).Draw(t, "capacity")
				engine = engine[max(0, len(engine)-capacity):]
				mirror.SetCapacity(capacity)
			},
		})
	})
}
