// Package modelengine is a stand-in for a model engine.
//
// It models what the system's decisions depend on: prompts are computed one at
// a time at a finite rate, in order of priority; answers of many requests are
// written side by side; the cache is limited and loses the block that was used
// longest ago; a fresh engine is cold and falls over when it is given more
// than its cold bound; reports lag and cache events have gaps; a fencing
// number is checked or ignored as it is told.
//
// It also counts what must never happen: requests beyond the cold bound and
// reads of blocks that belong to another workspace, prompt or version.
package modelengine

import (
	"context"
	"errors"
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

// A Config sets an engine's abilities.
type Config struct {
	Model             fleet.ModelID
	Version           fleet.WeightVersion
	Incarnation       fleet.Incarnation
	PrefillRate       fleet.TokenRate
	PieceInterval     time.Duration // between two pieces of an answer
	CacheBlocks       int
	BlockLength       fleet.Bytes // of an exported block
	ColdCapacity      int
	ColdTime          time.Duration // after a start
	ReportLag         time.Duration
	EventLossInterval int // every such event is lost; zero loses none
	CheckFence        bool
	WeightStore       fleet.Address // empty: weights load at once
}

// Counts is what an engine has seen.
type Counts struct {
	Requests      int
	Whole         int
	PeakCold      int // most requests at once while cold
	Overloads     int // requests beyond the cold bound
	ForeignReads  int // blocks of another workspace, prompt or version
	BadImports    int // imports that did not match their seal
	Imports       int
	Exports       int
	PromptTokens  fleet.Tokens
	CachedTokens  fleet.Tokens
	StaleOrders   int // orders refused for their fencing number
	VersionMisses int // requests for a version that is not loaded
}

// owner tells what a block was computed from.
type owner struct {
	Workspace fleet.WorkspaceID
	Version   fleet.WeightVersion
	Prefix    uint64
}

type entry struct {
	owner owner
	used  uint64
}

// An Engine serves requests. Make one with New.
type Engine struct {
	config Config

	mu        sync.Mutex
	version   fleet.WeightVersion
	loading   bool
	coldUntil time.Time
	blocks    map[cache.Key]*entry
	tick      uint64
	fence     fleet.Epoch
	cancels   map[engine.Attempt]context.CancelFunc // of what runs
	counts    Counts
	events    []engine.Event
	sequence  uint64
	report    engine.Report
	reported  time.Time
	prefill   gate
}

// New starts an engine, which is cold.
func New(config Config) *Engine {
	return &Engine{
		config:    config,
		version:   config.Version,
		coldUntil: time.Now().Add(config.ColdTime),
		blocks:    make(map[cache.Key]*entry),
		cancels:   make(map[engine.Attempt]context.CancelFunc),
	}
}

// Counts returns what the engine has seen.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// BecomeCold empties the cache and makes the engine cold without a sign.
func (e *Engine) BecomeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(e.config.ColdTime)
	e.dropBlocks()
}

var (
	errVersion  = errors.New("version is not loaded")
	errLoading  = errors.New("weights are loading")
	errFence    = errors.New("fencing number is old")
	errOverload = errors.New("fell over: more than a cold engine bears")
)

// begin admits a request, or says why not. refused is true when the engine
// took no part of it.
func (e *Engine) begin(request *engine.Request, cancel context.CancelFunc) (refused bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staleFence(request.Fence) {
		return true, errFence
	}
	if e.loading {
		return true, errLoading
	}
	if request.Version != e.version || request.Model != e.config.Model {
		e.counts.VersionMisses++
		return true, errVersion
	}
	e.counts.Requests++
	if time.Now().Before(e.coldUntil) {
		e.counts.PeakCold = max(e.counts.PeakCold, len(e.cancels)+1)
		if len(e.cancels) >= e.config.ColdCapacity {
			e.counts.Overloads++
			return false, errOverload
		}
	}
	e.cancels[request.Attempt] = cancel
	return false, nil
}

func (e *Engine) end(request *engine.Request, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, request.Attempt)
	if whole {
		e.counts.Whole++
	}
}

// staleFence reports whether an order must be refused. e.mu is held.
func (e *Engine) staleFence(fence fleet.Epoch) bool {
	if e.config.CheckFence && fence < e.fence {
		e.counts.StaleOrders++
		return true
	}
	e.fence = max(e.fence, fence)
	return false
}

// prepare computes the prompt and returns how much came from the cache.
func (e *Engine) prepare(ctx context.Context, request *engine.Request) (*engine.Start, bool) {
	if !e.prefill.enter(ctx, request.Priority) {
		return nil, false
	}
	defer e.prefill.leave()
	total := cache.TokenCount(len(request.Prompt)) + request.From
	cached := e.readPrefix(request)
	if !task.Sleep(ctx, e.config.PrefillRate.Time(total-cached)) {
		return nil, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.PromptTokens += total
	e.counts.CachedTokens += cached
	if request.Version == e.version {
		for i, key := range request.Blocks {
			e.put(key, ownerOf(request, i))
		}
	}
	return &engine.Start{Incarnation: e.config.Incarnation, Cached: cached, Computed: total - cached}, true
}

// readPrefix reads the longest cached prefix and counts foreign blocks in it.
func (e *Engine) readPrefix(request *engine.Request) fleet.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	var cached fleet.Tokens
	for i, key := range request.Blocks {
		b, ok := e.blocks[key]
		if !ok {
			break
		}
		if b.owner != ownerOf(request, i) {
			e.counts.ForeignReads++
			break
		}
		e.tick++
		b.used = e.tick
		cached += cache.BlockTokens
	}
	return cached
}

func ownerOf(request *engine.Request, block int) owner {
	end := (block + 1) * int(cache.BlockTokens) * cache.TokenBytes
	return owner{
		Workspace: request.Workspace,
		Version:   request.Version,
		Prefix:    xxhash.Sum64(request.Prompt[:min(end, len(request.Prompt))]),
	}
}

// put adds a block and evicts the one unused for longest. e.mu is held.
func (e *Engine) put(key cache.Key, o owner) {
	e.tick++
	if b, ok := e.blocks[key]; ok {
		b.used = e.tick
		return
	}
	for len(e.blocks) >= e.config.CacheBlocks {
		e.evictOldest()
	}
	e.blocks[key] = &entry{owner: o, used: e.tick}
	e.note(key, false)
}

func (e *Engine) evictOldest() {
	var victim cache.Key
	oldest := e.tick + 1
	for key, b := range e.blocks {
		if b.used < oldest {
			victim, oldest = key, b.used
		}
	}
	delete(e.blocks, victim)
	e.note(victim, true)
}

func (e *Engine) dropBlocks() {
	for key := range e.blocks {
		e.note(key, true)
	}
	clear(e.blocks)
}

const eventsKept = 1024

// note records a cache event, unless its turn to be lost has come.
func (e *Engine) note(key cache.Key, removed bool) {
	e.sequence++
	if e.config.EventLossInterval > 0 && e.sequence%uint64(e.config.EventLossInterval) == 0 {
		return
	}
	e.events = append(e.events, engine.Event{Sequence: e.sequence, Key: key, Removed: removed})
	if len(e.events) > eventsKept {
		e.events = e.events[len(e.events)-eventsKept:]
	}
}

// Report returns the report that was current ReportLag ago at the latest.
func (e *Engine) Report(since uint64) engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reported) >= e.config.ReportLag {
		e.reported = now
		e.report = engine.Report{
			Incarnation: e.config.Incarnation, Version: e.version, Loading: e.loading,
			Cold: now.Before(e.coldUntil), Runs: slices.Collect(maps.Keys(e.cancels)), Last: e.sequence,
			Events: append([]engine.Event(nil), e.events...),
		}
	}
	report := e.report
	report.Age = now.Sub(e.reported)
	report.Events = nil
	due := since + 1
	for _, event := range e.report.Events {
		if event.Sequence <= since {
			continue
		}
		report.Gap = report.Gap || event.Sequence != due
		due = event.Sequence + 1
		report.Events = append(report.Events, event)
	}
	return report
}
