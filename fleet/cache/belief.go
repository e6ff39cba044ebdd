package cache

// A Belief is what a keeper takes to be in an engine's cache. Events of the
// cache come late and with gaps, so the belief rests on what the engine was
// asked to compute or import, and on how much of it was still there later.
//
// An engine evicts what was unused for longest. The belief counts, for each
// block, how many blocks have been added since its last use, and trusts the
// block up to a depth. The depth is learned: it shrinks to where a block was
// missing, and grows a little with each prompt whose blocks were all there.
//
// The zero value knows nothing and trusts a small cache.
type Belief struct {
	used  map[Key]uint64 // value of added at the last use
	added uint64         // blocks added so far
	depth float64
}

const (
	leastDepth = 8
	firstDepth = 64
	mostDepth  = 16_384
	depthStep  = 0.25 // by which a good prompt lets the depth grow, in blocks
)

func (b *Belief) limit() uint64 {
	if b.depth == 0 {
		b.depth = firstDepth
	}
	return uint64(b.depth)
}

// holds reports whether the block is trusted to be there.
func (b *Belief) holds(key Key) bool {
	at, ok := b.used[key]
	return ok && b.added-at < b.limit()
}

// Prefix returns how many of the chain's first blocks are trusted to be there.
func (b *Belief) Prefix(chain []Key) int {
	for i, key := range chain {
		if !b.holds(key) {
			return i
		}
	}
	return len(chain)
}

// Use notes that the engine has used, computed or imported the blocks.
func (b *Belief) Use(keys []Key) {
	if b.used == nil {
		b.used = make(map[Key]uint64)
	}
	for _, key := range keys {
		if !b.holds(key) {
			b.added++
		}
		b.used[key] = b.added
	}
	b.trim()
}

// Remove notes that a block has left the cache.
func (b *Belief) Remove(key Key) { delete(b.used, key) }

// Found learns from a prompt of which so many blocks were expected in the
// cache and so many were there.
func (b *Belief) Found(chain []Key, expected, cached int) {
	if cached >= expected {
		b.limit() // gives the depth its first value
		b.depth = min(mostDepth, b.depth+depthStep)
		return
	}
	if at, ok := b.used[chain[cached]]; ok {
		b.depth = max(leastDepth, min(float64(b.limit()), float64(b.added-at)))
	}
}

// Len is how many blocks are trusted to be there.
func (b *Belief) Len() int {
	n := 0
	for key := range b.used {
		if b.holds(key) {
			n++
		}
	}
	return n
}

// Clear forgets all, as after a restart of the engine.
func (b *Belief) Clear() {
	clear(b.used)
}

// trim forgets blocks that are far beyond the depth.
func (b *Belief) trim() {
	if len(b.used) <= 4*int(b.limit()) {
		return
	}
	for key, at := range b.used {
		if b.added-at >= 2*b.limit() {
			delete(b.used, key)
		}
	}
}
