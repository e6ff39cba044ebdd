package cache

import (
	"container/list"
	"slices"
)

// Mirror is the estimate that an engine's owner has of the contents of the
// engine's cache. All requests to the engine pass through its owner, so the owner
// can follow which blocks the engine uses, and therefore which ones it evicts: the
// least recently used blocks beyond its capacity. Cache events of the engine arrive
// late and with gaps, and serve only as corrections.
//
// The zero value mirrors a cache of unknown capacity, from which blocks are
// removed only by events, up to a fixed bound. A Mirror is not safe for
// concurrent use.
type Mirror struct {
	capacity int
	order    list.List // of Key, least recently used first
	elements map[Key]*list.Element
}

// defaultCapacity bounds the number of blocks while the engine's capacity is
// unknown.
const defaultCapacity = 20_000

// SetCapacity sets the engine's capacity in blocks; zero if unknown.
func (m *Mirror) SetCapacity(blocks int) {
	m.capacity = blocks
	m.evict()
}

// RecordUse records that the engine has used, computed or imported the blocks, in
// this order.
func (m *Mirror) RecordUse(keys ...Key) {
	if m.elements == nil {
		m.elements = make(map[Key]*list.Element)
	}
	for _, key := range keys {
		if element, ok := m.elements[key]; ok {
			m.order.MoveToBack(element)
		} else {
			m.elements[key] = m.order.PushBack(key)
		}
		m.evict()
	}
}

func (m *Mirror) evict() {
	capacity := m.capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	for m.order.Len() > capacity {
		oldest := m.order.Remove(m.order.Front()).(Key)
		delete(m.elements, oldest)
	}
}

// Remove records that a block has left the cache.
func (m *Mirror) Remove(key Key) {
	if element, ok := m.elements[key]; ok {
		m.order.Remove(element)
		delete(m.elements, key)
	}
}

// ResidentPrefix returns how many leading blocks of the chain are in the cache
// and remain there when the given number of other blocks is added.
func (m *Mirror) ResidentPrefix(chain []Key, others int) int {
	evicted := m.nextEvicted(others)
	for i, key := range chain {
		if _, ok := m.elements[key]; !ok || slices.Contains(evicted, key) {
			return i
		}
	}
	return len(chain)
}

// nextEvicted returns the blocks that adding the given number of blocks would
// evict.
func (m *Mirror) nextEvicted(others int) []Key {
	if m.capacity == 0 {
		return nil
	}
	var keys []Key
	element := m.order.Front()
	for range max(0, m.order.Len()+others-m.capacity) {
		if element == nil {
			break
		}
		keys = append(keys, element.Value.(Key))
		element = element.Next()
	}
	return keys
}

// Len returns the number of blocks in the mirror.
func (m *Mirror) Len() int { return m.order.Len() }

// Clear removes all blocks, as after a restart of the engine.
func (m *Mirror) Clear() {
	m.order.Init()
	clear(m.elements)
}
