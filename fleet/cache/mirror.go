package cache

import (
	"container/list"
	"slices"
)

// A Mirror is what a keeper takes to be in an engine's cache. All work of the
// engine passes its keeper, so the keeper can follow what the engine uses and
// therefore what it evicts: the blocks unused for longest, once there are more
// than its capacity. Cache events come late and with gaps and only correct it.
//
// The zero value mirrors a cache of unknown capacity, which evicts nothing
// until an event says so. A Mirror is not safe for concurrent use.
type Mirror struct {
	capacity int
	order    list.List // of Key, the one unused for longest first
	places   map[Key]*list.Element
}

// unknownCapacity bounds the blocks of a mirror whose capacity is not known.
const unknownCapacity = 20_000

// SetCapacity sets how many blocks the engine holds; zero if not known.
func (m *Mirror) SetCapacity(blocks int) {
	m.capacity = blocks
	m.evict()
}

// RecordUse notes that the engine has used, computed or imported the blocks, in this
// order.
func (m *Mirror) RecordUse(keys ...Key) {
	if m.places == nil {
		m.places = make(map[Key]*list.Element)
	}
	for _, key := range keys {
		if place, ok := m.places[key]; ok {
			m.order.MoveToBack(place)
		} else {
			m.places[key] = m.order.PushBack(key)
		}
		m.evict()
	}
}

func (m *Mirror) evict() {
	capacity := m.capacity
	if capacity == 0 {
		capacity = unknownCapacity
	}
	for m.order.Len() > capacity {
		oldest := m.order.Remove(m.order.Front()).(Key)
		delete(m.places, oldest)
	}
}

// Remove notes that a block has left the cache.
func (m *Mirror) Remove(key Key) {
	if place, ok := m.places[key]; ok {
		m.order.Remove(place)
		delete(m.places, key)
	}
}

// ResidentPrefix returns how many of the chain's first blocks are in the cache and stay
// there while so many others are added.
func (m *Mirror) ResidentPrefix(chain []Key, others int) int {
	leaving := m.oldest(others)
	for i, key := range chain {
		if _, ok := m.places[key]; !ok || slices.Contains(leaving, key) {
			return i
		}
	}
	return len(chain)
}

// oldest returns the blocks that adding so many others would evict.
func (m *Mirror) oldest(others int) []Key {
	if m.capacity == 0 {
		return nil
	}
	var keys []Key
	place := m.order.Front()
	for range max(0, m.order.Len()+others-m.capacity) {
		if place == nil {
			break
		}
		keys = append(keys, place.Value.(Key))
		place = place.Next()
	}
	return keys
}

// Len is how many blocks are in the mirror.
func (m *Mirror) Len() int { return m.order.Len() }

// Clear forgets all, as after a restart of the engine.
func (m *Mirror) Clear() {
	m.order.Init()
	clear(m.places)
}
