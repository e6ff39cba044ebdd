// Package modelengine implements a stand-in for a model engine of hibiscusd.
//
// It simulates the properties that the decisions of hibiscuslb depend on:
//
//   - Prompts are computed one at a time, in order of priority, at a limited rate.
//   - The answers of many requests are streamed concurrently.
//   - The cache is limited and evicts the least recently used block.
//   - An engine is cold after its start, and then requests beyond its cold
//     capacity fail.
//   - Reports can be outdated by up to Config.ReportLag, and some cache events are lost.
//   - Fencing tokens are checked or ignored, as configured.
//
// It also counts what must never happen: requests beyond the cold capacity, and
// reads of blocks that belong to another workspace, prompt or version.
package modelengine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/task"
)

// Config holds the settings of an Engine.
type Config struct {
	Model             fleet.ModelID
	Version           fleet.WeightVersion
	Incarnation       fleet.Incarnation
	PrefillRate       fleet.TokenRate // of computing prompts
	PieceInterval     time.Duration   // between two pieces of an answer
	CacheBlocks       int             // capacity of the cache
	BlockLength       fleet.Bytes     // nominal length of an exported block
	ColdCapacity      int             // concurrent requests that a cold engine can run
	ColdTime          time.Duration   // how long the engine is cold after its start
	ReportLag         time.Duration   // how long a report is repeated before a new one is made
	EventLossInterval int             // every event whose number is a multiple of it is lost; zero loses none
	CheckFence        bool            // refuse requests and commands with an outdated fencing token
	WeightStore       fleet.Address   // if empty, weights load immediately
}

// Counts holds the counters of an Engine.
type Counts struct {
	Requests      int // requests that were not refused
	Whole         int // answers that were sent completely
	PeakCold      int // most concurrent requests while cold
	Overloads     int // requests that failed because they exceeded ColdCapacity
	ForeignReads  int // reads of blocks of another workspace, prompt or version
	BadImports    int // imports of blocks that did not match their seal
	Imports       int
	Exports       int
	PromptTokens  fleet.Tokens
	CachedTokens  fleet.Tokens
	StaleOrders   int // requests and commands refused for an outdated fencing token
	VersionMisses int // requests for a version that is not loaded
}

// blockOrigin identifies what a block was computed from. Its JSON form is the
// content of an exported block.
type blockOrigin struct {
	Workspace fleet.WorkspaceID
	Version   fleet.WeightVersion
	Prefix    uint64 // hash of the prompt up to the end of the block
}

// cachedBlock is a block in the cache.
type cachedBlock struct {
	origin  blockOrigin
	lastUse uint64 // value of Engine.useCount at the last use
}

// An Engine serves requests. Create one with New.
type Engine struct {
	config Config

	mu          sync.Mutex
	version     fleet.WeightVersion
	loading     bool
	coldUntil   time.Time
	blocks      map[cache.Key]*cachedBlock
	useCount    uint64                                // number of uses of blocks
	fence       fleet.Epoch                           // highest fencing token received
	cancels     map[engine.Attempt]context.CancelFunc // of the running requests
	counts      Counts
	events      []engine.Event // the latest ones that were not lost
	sequence    uint64         // number of the latest event
	report      engine.Report  // repeated for ReportLag
	reportTime  time.Time      // when report was made
	prefillLock priorityLock   // held while a prompt is computed
}

// New returns an engine that is cold from now on for Config.ColdTime.
func New(config Config) *Engine {
	return &Engine{
		config:    config,
		version:   config.Version,
		coldUntil: time.Now().Add(config.ColdTime),
		blocks:    make(map[cache.Key]*cachedBlock),
		cancels:   make(map[engine.Attempt]context.CancelFunc),
	}
}

// Counts returns the current counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// BecomeCold clears the cache and makes the engine cold without a restart, so that
// its incarnation stays the same.
func (e *Engine) BecomeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(e.config.ColdTime)
	e.clearCache()
}

var errLoading = errors.New("engine is loading weights")

func staleFenceError(fence, highest fleet.Epoch) error {
	return fmt.Errorf("fencing token %d is outdated, want at least %d", fence, highest)
}

// begin starts a request, or returns why the engine can't run it. refused means
// that the engine provably ran no part of the request.
func (e *Engine) begin(request *engine.Request, cancel context.CancelFunc) (refused bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.recordFence(request.Fence) {
		return true, staleFenceError(request.Fence, e.fence)
	}
	if e.loading {
		return true, errLoading
	}
	if request.Version != e.version || request.Model != e.config.Model {
		e.counts.VersionMisses++
		return true, fmt.Errorf("model %s in version %s is not loaded, engine has model %s in version %s",
			request.Model, request.Version, e.config.Model, e.version)
	}
	e.counts.Requests++
	if time.Now().Before(e.coldUntil) {
		e.counts.PeakCold = max(e.counts.PeakCold, len(e.cancels)+1)
		if len(e.cancels) >= e.config.ColdCapacity {
			e.counts.Overloads++
			return false, fmt.Errorf("overloaded: the cold engine runs %d requests, its capacity is %d",
				len(e.cancels), e.config.ColdCapacity)
		}
	}
	e.cancels[request.Attempt] = cancel
	return false, nil
}

// end removes a request from the running ones and counts complete answers.
func (e *Engine) end(request *engine.Request, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, request.Attempt)
	if complete {
		e.counts.Whole++
	}
}

// recordFence records the highest fencing token. It reports whether the given one is
// outdated, in which case it counts a stale request or command, which must be refused.
// e.mu is held.
func (e *Engine) recordFence(fence fleet.Epoch) (stale bool) {
	if e.config.CheckFence && fence < e.fence {
		e.counts.StaleOrders++
		return true
	}
	e.fence = max(e.fence, fence)
	return false
}

// computePrompt simulates the computation of the prompt and adds its blocks to the
// cache. It returns how many tokens it read from the cache and how many it computed,
// and false if the context is done first.
func (e *Engine) computePrompt(ctx context.Context, request *engine.Request) (*engine.Start, bool) {
	if !e.prefillLock.acquire(ctx, request.Priority) {
		return nil, false
	}
	defer e.prefillLock.release()
	// Pieces before From are computed as part of the prompt.
	total := cache.TokenCount(len(request.Prompt)) + request.From
	cached := e.readCachedPrefix(request)
	if !task.Sleep(ctx, e.config.PrefillRate.Time(total-cached)) {
		return nil, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.PromptTokens += total
	e.counts.CachedTokens += cached
	if request.Version == e.version {
		for i, key := range request.Blocks {
			e.put(key, originOf(request, i))
		}
	}
	return &engine.Start{Incarnation: e.config.Incarnation, Cached: cached, Computed: total - cached}, true
}

// readCachedPrefix marks the longest cached prefix of the prompt as used and returns
// its length. The prefix ends before a block of another origin, which is counted as
// a foreign read.
func (e *Engine) readCachedPrefix(request *engine.Request) fleet.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	var cached fleet.Tokens
	for i, key := range request.Blocks {
		b, ok := e.blocks[key]
		if !ok {
			break
		}
		if b.origin != originOf(request, i) {
			e.counts.ForeignReads++
			break
		}
		e.useCount++
		b.lastUse = e.useCount
		cached += cache.BlockTokens
	}
	return cached
}

// originOf returns the origin of a block of the request's prompt.
func originOf(request *engine.Request, block int) blockOrigin {
	end := (block + 1) * int(cache.BlockTokens) * cache.TokenBytes
	return blockOrigin{
		Workspace: request.Workspace,
		Version:   request.Version,
		Prefix:    xxhash.Sum64(request.Prompt[:min(end, len(request.Prompt))]),
	}
}

// put adds a block, or marks it as used if it is cached. It evicts the least
// recently used blocks if the cache is full. e.mu is held.
func (e *Engine) put(key cache.Key, origin blockOrigin) {
	e.useCount++
	if b, ok := e.blocks[key]; ok {
		b.lastUse = e.useCount
		return
	}
	for len(e.blocks) >= e.config.CacheBlocks {
		e.evictLeastRecentlyUsed()
	}
	e.blocks[key] = &cachedBlock{origin: origin, lastUse: e.useCount}
	e.recordEvent(key, false)
}

// evictLeastRecentlyUsed removes the least recently used block. e.mu is held.
func (e *Engine) evictLeastRecentlyUsed() {
	var victim cache.Key
	oldest := e.useCount + 1
	for key, b := range e.blocks {
		if b.lastUse < oldest {
			victim, oldest = key, b.lastUse
		}
	}
	delete(e.blocks, victim)
	e.recordEvent(victim, true)
}

// clearCache removes all blocks. e.mu is held.
func (e *Engine) clearCache() {
	for key := range e.blocks {
		e.recordEvent(key, true)
	}
	clear(e.blocks)
}

// maxEvents is the number of latest events that the engine keeps for reports.
const maxEvents = 1024

// recordEvent numbers a cache event and records it, unless it is lost by
// Config.EventLossInterval. e.mu is held.
func (e *Engine) recordEvent(key cache.Key, removed bool) {
	e.sequence++
	if e.config.EventLossInterval > 0 && e.sequence%uint64(e.config.EventLossInterval) == 0 {
		return
	}
	e.events = append(e.events, engine.Event{Sequence: e.sequence, Key: key, Removed: removed})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents:]
	}
}

// Report returns a report that is at most ReportLag old, with the events after the
// sequence number since.
func (e *Engine) Report(since uint64) engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reportTime) >= e.config.ReportLag {
		e.reportTime = now
		e.report = engine.Report{
			Incarnation: e.config.Incarnation, Version: e.version, Loading: e.loading,
			Cold: now.Before(e.coldUntil), Runs: slices.Collect(maps.Keys(e.cancels)), Last: e.sequence,
			Events: append([]engine.Event(nil), e.events...),
		}
	}
	report := e.report
	report.Age = now.Sub(e.reportTime)
	report.Events = nil
	next := since + 1
	for _, event := range e.report.Events {
		if event.Sequence <= since {
			continue
		}
		report.Gap = report.Gap || event.Sequence != next
		next = event.Sequence + 1
		report.Events = append(report.Events, event)
	}
	return report
}
