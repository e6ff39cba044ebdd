package plan

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/prompt"
)

// Placement.
//
// Prompts are long compared with their answers, and most of a prompt are shared
// parts. If the engine has these in its cache, the first piece comes within a few
// milliseconds. If it has to read them again, the first piece takes about a hundred
// milliseconds and delays other requests. Each target is therefore rated by the
// estimated cost of the prompt there: the wait for the engine, the parts to fetch
// and the parts to read.
//
// This handles many sessions whose files are used in random order and together
// exceed the cache memory of all engines. Placement by hash alone would spread
// them evenly, but would also choose engines that are busy or have an empty cache.
const (
	// rereadFactor multiplies the time to read shared parts that have been
	// read before, since other requests lose the engine's time, too.
	rereadFactor = 2.0
	// crossDataCentreFactor multiplies the time of a transfer between data centres.
	crossDataCentreFactor = 2
	// failureCost is the cost of a target whose answers all fail; a target
	// of which a share fails costs that share of it.
	failureCost = 3 * time.Second
	// maxHashCost bounds hashCost, which distributes parts that are not
	// cached anywhere over otherwise equal targets, always in the same way.
	maxHashCost = 6 * time.Millisecond
	// activeGrantCost is the cost of each active grant of the target, since
	// each run slows down the steps of an engine a little.
	activeGrantCost = 700 * time.Microsecond
	// crossDataCentreCost is the cost of a target in another data centre than
	// the host. It is small, so that it decides only between targets whose
	// other costs are about equal.
	crossDataCentreCost = 2 * time.Millisecond
	// maxFetchReadRatio times the time to read a part is the longest fetch
	// that is preferred to reading it: reading occupies the engine, a fetch
	// does not.
	maxFetchReadRatio = 6
	// engineSourceCost is the additional cost of a transfer from an engine,
	// compared with one from a cache store.
	engineSourceCost = 8 * time.Millisecond
	// transferSetupTime is the time that a transfer takes in addition to the
	// transfer of its bytes.
	transferSetupTime = 3 * time.Millisecond
)

// candidate is a target with the estimated cost of a request there.
type candidate struct {
	target *target
	chain  *chain

	firstPiece time.Duration // estimated time until the first piece
	cost       time.Duration // of this candidate; the lowest is chosen

	readTokens    fleet.Tokens    // computed by the engine
	rereadTokens  fleet.Tokens    // of readTokens, those that some engine has computed before
	cachedTokens  fleet.Tokens    // found in the engine's cache
	fetchedTokens fleet.Tokens    // transferred from cache stores or other engines
	fetchTime     time.Duration   // of all transfers
	transferTime  time.Duration   // of their bytes at the nominal rates of the links, part of fetchTime
	fetch         []fleet.Address // for each part, the source to fetch it from; "" for none
}

// chain is the chain of a prompt's parts under one version of the weights, with
// the sources of the shared parts.
type chain struct {
	salt    string
	parts   []cachestore.Part
	sources []partSources // of the shared parts
}

// partSources is where a part can be fetched from.
type partSources struct {
	stores     []*store  // cache stores that hold the whole part
	engines    []*target // that have reported that they hold the whole part
	readBefore bool      // some engine has read the part, or was granted to
}

// bestCandidate returns the target with the lowest cost for a request, of the
// versions that are allowed. The
// candidate has no target if none has capacity now; eligible tells whether any
// target may be given the request once it has capacity.
func (f *Fleet) bestCandidate(now fleet.Instant, req *Request, allowed *versions) (best candidate, eligible bool) {
	f.stats.Considered++
	affinity := req.AffinityHash()
	chains := make(map[uint64]*chain) // by version of the weights
	for _, t := range f.targets {
		if t.Service != req.Service || !allowed.admits(t) || !t.usable(now) && !f.mayTry(now, t, req.Host) || slices.Contains(req.Avoid, t.ID) {
			continue
		}
		if req.Prompt != nil && !f.canStartRun(now, t, req.Prompt.Model) || f.spares(now, t, req) {
			continue
		}
		eligible = true
		if t.reservation.excludes(now, req) || !f.withinColdRate(now, t) || f.limitWait(now, t) > 0 || !t.hasCapacity(req) || !f.hasBrittleRoom(now, t, req) {
			continue
		}
		c := candidate{target: t}
		if req.Prompt != nil && t.isEngine() {
			version := t.version(req.Prompt.Model)
			if chains[version] == nil {
				chains[version] = f.findChain(now, req, version)
			}
			c.chain = chains[version]
		}
		f.estimate(now, &c, req)
		if !f.startsInTime(now, &c, req) {
			continue
		}
		c.cost += hashCost(affinity, t.ID)
		if t.unresponsive {
			c.cost += trialCost
		}
		if best.target == nil || c.cost < best.cost || c.cost == best.cost && t.ID < best.target.ID {
			best = c
		}
	}
	return best, eligible
}

// findChain returns the chain of the prompt's parts with their sources.
func (f *Fleet) findChain(now fleet.Instant, req *Request, version uint64) *chain {
	p := req.Prompt
	c := &chain{salt: Salt(p.Model, version, req.Workspace, req.Isolation)}
	c.parts = make([]cachestore.Part, len(p.Parts))
	c.sources = make([]partSources, len(p.Shared()))
	for i, part := range p.Parts {
		c.parts[i] = cachestore.Part{Salt: c.salt, ID: part.ID}
	}
	for i := range c.sources {
		c.sources[i] = f.findSources(now, c.parts[i], p.Parts[i].Tokens)
	}
	return c
}

// findSources returns the sources of a part.
func (f *Fleet) findSources(now fleet.Instant, p cachestore.Part, tokens fleet.Tokens) partSources {
	var src partSources
	for _, s := range f.stores {
		src.readBefore = src.readBefore || s.inventory.Contains(p)
		if f.StoresAllowed && s.inventory.Readable(p) {
			src.stores = append(src.stores, s)
		}
	}
	for _, t := range f.enginesByPart.engines[p] {
		src.readBefore = true
		// A part that was only granted may not be read yet.
		if t.cache.parts[p].tokens >= tokens && !t.unresponsive && now >= t.pausedUntil {
			src.engines = append(src.engines, t)
		}
	}
	return src
}

// hasCapacity reports whether the target can start one more request soon.
func (t *target) hasCapacity(req *Request) bool {
	if !t.isEngine() {
		return t.activeGrants < t.slots()+plainQueueLen
	}
	if t.activeGrants >= t.slots() {
		return false
	}
	limit := fleet.Tokens(maxMemoryShare * float64(t.service.spec.Engine.CacheCapacity))
	return t.activeGrants == 0 || req.Prompt == nil || t.memory+req.Prompt.Input+req.Prompt.Output <= limit
}

// plainQueueLen is how many requests may queue at a target of a plain service: one,
// which the target starts as soon as another ends.
const plainQueueLen = 1

// estimate sets the cost of the request at the candidate's target.
func (f *Fleet) estimate(now fleet.Instant, c *candidate, req *Request) {
	t := c.target
	if c.chain != nil {
		f.estimatePrompt(now, c, req)
	} else {
		queuedBefore := t.activeGrants - t.slots() + 1
		c.firstPiece = time.Duration(max(0, queuedBefore)) * plainWaitTime
		c.cost = c.firstPiece
	}
	c.cost += time.Duration(t.failureShare * float64(failureCost))
	c.cost += time.Duration(t.activeGrants) * activeGrantCost
	if t.DataCentre != req.Near {
		c.cost += crossDataCentreCost
	}
	if id := req.modelID(); id != "" {
		if supersededAt, superseded := f.model(id).announced.SupersededAt(t.version(id)); superseded {
			c.cost += oldWeightsCost
			if now.Sub(supersededAt) > oldWeightsGrace {
				c.cost += lateWeightsCost
			}
		}
	}
}

const (
	// plainWaitTime is how long a request waits for each request before it at
	// a plain service.
	plainWaitTime = 20 * time.Millisecond
	// oldWeightsCost is the cost of an engine that has yet to load the newest
	// weights, since a run that starts now will soon continue under others.
	oldWeightsCost = 100 * time.Millisecond
	// oldWeightsGrace is the time after the announcement of new weights in which
	// a run that starts on the old ones still counts in full, so that
	// lateWeightsCost is not added. lateWeightsCost has an effect only if
	// WeightsBound is zero or longer than oldWeightsGrace and the startMargin of
	// package weightupdate together, since otherwise no such run is started.
	oldWeightsGrace = 1300 * time.Millisecond
	// lateWeightsCost is added to oldWeightsCost after oldWeightsGrace.
	lateWeightsCost = 300 * time.Millisecond
)

// modelID returns the model of the request's prompt, or "".
func (r *Request) modelID() fleet.ModelID {
	if r.Prompt == nil {
		return ""
	}
	return r.Prompt.Model
}

// estimatePrompt decides for each part of the prompt whether it is cached, fetched
// or read, and sets the resulting times and cost.
func (f *Fleet) estimatePrompt(now fleet.Instant, c *candidate, req *Request) {
	t, p := c.target, req.Prompt
	engine, pace := t.service.spec.Engine, t.pace()
	var fetchTime time.Duration
	mustRead := false // an earlier part has to be read, which makes later cached parts unusable
	for i, part := range p.Parts {
		if i >= len(c.chain.sources) {
			c.readTokens += part.Tokens
			continue
		}
		cached := t.cache.available(c.chain.parts[i], part.Tokens)
		if cached == part.Tokens && !mustRead {
			c.cachedTokens += cached
			continue
		}
		sources := &c.chain.sources[i]
		size := engine.TokenBytes * fleet.Bytes(part.Tokens-cached)
		source, took, nominal := sources.fastest(now, t, engine.LinkRate.Time(size))
		if mustRead || source == "" || took > pace.readTime(part.Tokens-cached)*maxFetchReadRatio {
			mustRead = true
			c.readTokens += part.Tokens - cached
			if sources.readBefore {
				c.rereadTokens += part.Tokens - cached
			}
			continue
		}
		if c.fetch == nil {
			c.fetch = make([]fleet.Address, len(p.Parts))
		}
		c.fetch[i] = source
		c.addEarlierSources(now, t, i)
		c.fetchedTokens += part.Tokens
		fetchTime += took
		c.transferTime += nominal
	}
	if fetchTime > 0 {
		fetchTime += t.link.wait(now)
	}
	c.fetchTime = fetchTime
	c.firstPiece = t.wait(now) + fetchTime + pace.readTime(c.readTokens) + pace.firstStep()
	c.cost = c.firstPiece + time.Duration((rereadFactor-1)*float64(pace.readTime(c.rereadTokens)))
	// Time beyond the objective costs more than time within it.
	if late := c.firstPiece - req.Objective; late > 0 && req.Objective > 0 {
		c.cost += 2 * late
	}
}

// addEarlierSources adds the sources of the parts before a fetched part. The engine
// has these parts, but a part may begin within a block of its memory of which it
// has only the beginning. The engine fetches only the blocks that it lacks.
func (c *candidate) addEarlierSources(now fleet.Instant, t *target, part int) {
	for i := range part {
		if c.fetch[i] == "" {
			c.fetch[i], _, _ = c.chain.sources[i].fastest(now, t, 0)
		}
	}
}

// fastest returns the source with the shortest transfer to the target, the time that it
// takes, and the part of that time for the bytes at the nominal rate of the links.
// LinkTime is the time of the transfer at the nominal rate of the target's link. Without
// a source the address is empty.
func (src *partSources) fastest(now fleet.Instant, t *target, linkTime time.Duration) (source fleet.Address, took, nominal time.Duration) {
	consider := func(address fleet.Address, d, bytesTime time.Duration) {
		if source == "" || d < took || d == took && address < source {
			source, took, nominal = address, d, bytesTime
		}
	}
	for _, s := range src.stores {
		bytesTime := linkTime
		if s.spec.DataCentre != t.DataCentre {
			bytesTime *= crossDataCentreFactor
		}
		consider(s.spec.Address, transferSetupTime+s.spec.FirstByteLatency+s.link.wait(now)+time.Duration(float64(bytesTime)*s.link.slowdown(now)), bytesTime)
	}
	for _, e := range src.engines {
		if e == t {
			continue
		}
		// engineSourceCost accounts for an engine that may evict the part
		// before it is fetched, and whose link carries its own fetches, too.
		bytesTime := linkTime
		if e.DataCentre != t.DataCentre {
			bytesTime *= crossDataCentreFactor
		}
		consider(e.Address, transferSetupTime+engineSourceCost+bytesTime, bytesTime)
	}
	return source, took, nominal
}

// chooseSaves reserves space in cache stores for the shared parts that none holds,
// preferably in the engine's data centre, and returns for each part the address of
// its store; "" for none.
func (f *Fleet) chooseSaves(now fleet.Instant, c *candidate, p *prompt.Prompt) []fleet.Address {
	var result []fleet.Address
	for i, part := range p.Shared() {
		if f.stored(c.chain.parts[i]) {
			continue
		}
		s := f.storeForPart(c.target, part.Tokens)
		if s == nil || !s.inventory.Reserve(now, c.chain.parts[i], part.Tokens) {
			f.stats.UnsavedParts++
			continue
		}
		if result == nil {
			result = make([]fleet.Address, len(p.Parts))
		}
		result[i] = s.spec.Address
	}
	return result
}

// stored reports whether some cache store holds the part or has space reserved for it.
func (f *Fleet) stored(p cachestore.Part) bool {
	for _, s := range f.stores {
		if s.inventory.Contains(p) {
			return true
		}
	}
	return false
}

// storeForPart returns the cache store for a new part: the one with the largest share of
// free space, where stores in the target's data centre have a bonus. It returns nil
// if no store has space.
func (f *Fleet) storeForPart(t *target, tokens fleet.Tokens) *store {
	const localBonus = 0.25 // share of the capacity by which a store in the same data centre may be fuller
	var best *store
	var bestScore float64
	for _, s := range f.stores {
		if !s.inventory.Known() || s.inventory.Available() < tokens {
			continue
		}
		score := float64(s.inventory.Available()) / float64(s.spec.Capacity)
		if s.spec.DataCentre == t.DataCentre {
			score += localBonus
		}
		if best == nil || score > bestScore || score == bestScore && s.spec.Address < best.spec.Address {
			best, bestScore = s, score
		}
	}
	return best
}

// AffinityHash returns the hash by which requests are brought to the same target:
// of the prompt's affinity part, or of the request ID if there is no prompt, so
// that such requests are spread.
func (r *Request) AffinityHash() uint64 {
	if r.Prompt == nil {
		return xxhash.Sum64String(string(r.ID))
	}
	return xxhash.Sum64String(string(r.Prompt.AffinityPart()))
}

// hashCost returns a cost between zero and maxHashCost that is fixed for an
// affinity hash and a target.
func hashCost(affinity uint64, id fleet.TargetID) time.Duration {
	const mix = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio, as in Fibonacci hashing
	h := (affinity ^ xxhash.Sum64String(string(id))) * mix
	return time.Duration(h>>32) * maxHashCost >> 32
}
