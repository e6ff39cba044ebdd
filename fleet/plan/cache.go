package plan

import (
	"fmt"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/prompt"
)

// cache is the planner's estimate of an engine's cache: the parts of the prompts
// that were granted to the engine, corrected by the engine's events.
type cache struct {
	parts         map[cachestore.Part]cachedPart
	tokens        fleet.Tokens // sum over parts
	enginesByPart *engineIndex
}

// cachedPart is a part in an engine's cache. An engine reads a part gradually and
// evicts it from its end, so it may hold only the beginning.
type cachedPart struct {
	tokens  fleet.Tokens // that the engine has reported
	granted bool         // a run that reads the whole part was granted
}

// engineIndex maps each part to the engines that have cached it, wholly or partly.
type engineIndex struct {
	engines map[cachestore.Part][]*target
}

func (h *engineIndex) add(p cachestore.Part, t *target) {
	if h.engines == nil {
		h.engines = make(map[cachestore.Part][]*target)
	}
	h.engines[p] = append(h.engines[p], t)
}

func (h *engineIndex) remove(p cachestore.Part, t *target) {
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

// available returns how many of a part's tokens the engine has, or will have when
// it starts the next run.
func (c *cache) available(p cachestore.Part, tokens fleet.Tokens) fleet.Tokens {
	entry := c.parts[p]
	if entry.granted {
		return tokens
	}
	return min(entry.tokens, tokens)
}

// setTokens records the number of a part's tokens that the engine reported.
// Fewer tokens than before mean that the engine has evicted some of them, so an
// earlier grant no longer counts as holding the whole part.
func (c *cache) setTokens(t *target, p cachestore.Part, tokens fleet.Tokens) {
	entry := c.parts[p]
	c.put(t, p, cachedPart{tokens: tokens, granted: entry.granted && tokens >= entry.tokens})
}

// maxCachedParts is how many parts the estimate of one engine has at most. An engine has memory for a few
// hundred parts of usual prompts; the bound keeps callers with parts of few tokens from filling the
// planner's memory.
const maxCachedParts = 4096

// put stores the entry of a part and updates the index. It takes the place of any other entry if there
// are maxCachedParts.
func (c *cache) put(t *target, p cachestore.Part, entry cachedPart) {
	old, ok := c.parts[p]
	if !ok {
		if len(c.parts) >= maxCachedParts {
			for other := range c.parts {
				c.remove(t, other)
				break
			}
		}
		if c.parts == nil {
			c.parts = make(map[cachestore.Part]cachedPart)
		}
		c.enginesByPart.add(p, t)
	}
	c.tokens += entry.tokens - old.tokens
	c.parts[p] = entry
}

// markGranted records the grant of a run that reads the parts.
func (c *cache) markGranted(t *target, parts ...cachestore.Part) {
	for _, p := range parts {
		c.put(t, p, cachedPart{tokens: c.parts[p].tokens, granted: true})
	}
}

// remove deletes parts from the estimate.
func (c *cache) remove(t *target, parts ...cachestore.Part) {
	for _, p := range parts {
		old, ok := c.parts[p]
		if !ok {
			continue
		}
		c.tokens -= old.tokens
		delete(c.parts, p)
		c.enginesByPart.remove(p, t)
	}
}

// clear deletes all parts from the estimate.
func (c *cache) clear(t *target) {
	for p := range c.parts {
		c.enginesByPart.remove(p, t)
	}
	c.parts, c.tokens = nil, 0
}

// SetCachedTokens records how many tokens of a part an engine holds; zero if it
// has evicted the part. A part with a longer ID than one that can be shared is ignored.
func (f *Fleet) SetCachedTokens(id fleet.TargetID, p cachestore.Part, tokens fleet.Tokens) {
	t, ok := f.targets[id]
	switch {
	case !ok, len(p.ID) >= prompt.MaxPartIDBytes:
	case tokens == 0:
		t.cache.remove(t, p)
	default:
		t.cache.setTokens(t, p, tokens)
	}
}

// ClearCache records that an engine's cache is empty, as after a restart.
func (f *Fleet) ClearCache(id fleet.TargetID) {
	if t, ok := f.targets[id]; ok {
		t.cache.clear(t)
	}
}

// Stats counts the grants of a tenure and the prompt tokens that they contain, by
// the way in which the engine obtains them.
type Stats struct {
	Grants        uint64
	ReadTokens    fleet.Tokens // computed by engines
	RereadTokens  fleet.Tokens // of ReadTokens, those of shared parts that some engine had computed before
	FetchedTokens fleet.Tokens // transferred from cache stores or other engines
	CachedTokens  fleet.Tokens // found in the cache of the target engine
	UnsavedParts  uint64       // parts for which no cache store had capacity

	Considered     uint64 // times that a request was compared with all targets of its service
	Repeats        uint64 // repeats within the retry budget
	RepeatsRefused uint64 // repeats beyond the retry budget
	Crashes        uint64 // of targets with requests on them
	Withheld       uint64 // requests refused because they or a part of their prompt are withheld
	UnknownOrigins uint64 // requests refused because the version that began their stream is not known
	Uncounted      uint64 // failures that say nothing of a target: who met them is cut off

	BrittleRejections uint64 // requests that brittle targets turned away
	BrittleFalls      uint64 // times that a brittle target turned more away within a second than it withstands
}

// String formats the statistics for logs.
func (s Stats) String() string {
	return fmt.Sprintf("grants %d considered %d read %d reread %d fetched %d cached %d unsaved %d",
		s.Grants, s.Considered, s.ReadTokens, s.RereadTokens, s.FetchedTokens, s.CachedTokens, s.UnsavedParts)
}
