package plan

import (
	"fmt"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/shelf"
)

// cache is what a planner takes to be in an engine's cache: what it was granted
// to read, corrected by the engine's events.
type cache struct {
	parts   map[shelf.Part]cached
	tokens  fleet.Tokens // of all parts
	holders *holders
}

// cached is a part in an engine's cache. An engine reads a part piece by piece,
// and drops it from its end.
type cached struct {
	tokens  fleet.Tokens // that the engine has said it holds
	granted bool         // a run that reads all of it is under way
}

// holders is an index of the engines that have a part.
type holders struct {
	engines map[shelf.Part][]*target
}

func (h *holders) add(p shelf.Part, t *target) {
	if h.engines == nil {
		h.engines = make(map[shelf.Part][]*target)
	}
	h.engines[p] = append(h.engines[p], t)
}

func (h *holders) remove(p shelf.Part, t *target) {
	list := h.engines[p]
	for i, other := range list {
		if other == t {
			list[i] = list[len(list)-1]
			list = list[:len(list)-1]
			break
		}
	}
	if len(list) == 0 {
		delete(h.engines, p)
		return
	}
	h.engines[p] = list
}

// holds is how many of a part's tokens the engine has, or will have when it
// begins with the next run.
func (c *cache) holds(p shelf.Part, tokens fleet.Tokens) fleet.Tokens {
	entry := c.parts[p]
	if entry.granted {
		return tokens
	}
	return min(entry.tokens, tokens)
}

// set notes what the engine says of a part.
func (c *cache) set(t *target, p shelf.Part, tokens fleet.Tokens) {
	entry := c.parts[p]
	c.put(t, p, cached{tokens: tokens, granted: entry.granted && tokens >= entry.tokens})
}

func (c *cache) put(t *target, p shelf.Part, entry cached) {
	old, ok := c.parts[p]
	if !ok {
		if c.parts == nil {
			c.parts = make(map[shelf.Part]cached)
		}
		c.holders.add(p, t)
	}
	c.tokens += entry.tokens - old.tokens
	c.parts[p] = entry
}

// grant notes that a run was granted that reads the parts.
func (c *cache) grant(t *target, parts ...shelf.Part) {
	for _, p := range parts {
		c.put(t, p, cached{tokens: c.parts[p].tokens, granted: true})
	}
}

func (c *cache) forget(t *target, parts ...shelf.Part) {
	for _, p := range parts {
		old, ok := c.parts[p]
		if !ok {
			continue
		}
		c.tokens -= old.tokens
		delete(c.parts, p)
		c.holders.remove(p, t)
	}
}

// clear forgets all.
func (c *cache) clear(t *target) {
	for p := range c.parts {
		c.holders.remove(p, t)
	}
	c.parts, c.tokens = nil, 0
}

// SetCachedTokens notes that an engine holds so many tokens of a part, none if it has
// dropped all of them.
func (f *Fleet) SetCachedTokens(id fleet.TargetID, p shelf.Part, tokens fleet.Tokens) {
	t, ok := f.targets[id]
	switch {
	case !ok:
	case tokens == 0:
		t.cache.forget(t, p)
	default:
		t.cache.set(t, p, tokens)
	}
}

// ClearCache notes that an engine's cache is empty, as after a restart.
func (f *Fleet) ClearCache(id fleet.TargetID) {
	if t, ok := f.targets[id]; ok {
		t.cache.clear(t)
	}
}

// Stats says how much of the prompts was granted to be read, in tokens.
type Stats struct {
	Grants        uint64
	ReadTokens    fleet.Tokens // of all parts
	RereadTokens  fleet.Tokens // of shared parts that an engine has read before
	FetchedTokens fleet.Tokens
	CachedTokens  fleet.Tokens // found in the engine's own cache
	UnsavedParts  uint64       // parts for which no store had room

	Repeats        uint64 // requests that were sent to a second target
	RepeatsRefused uint64 // beyond the retry budget
}

// String formats the statistics for logs.
func (s Stats) String() string {
	return fmt.Sprintf("grants %d read %d reread %d fetched %d kept %d unsaved %d",
		s.Grants, s.ReadTokens, s.RereadTokens, s.FetchedTokens, s.CachedTokens, s.UnsavedParts)
}
