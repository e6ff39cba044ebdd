package plan

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/shelf"
)

// A prompt is long against its answer, and its shared parts are most of it.
// Where the engine has them, the first piece comes in a few milliseconds; where
// they must be read again, it takes a hundred and keeps others waiting. So each
// target is weighed by what the prompt would cost there: the wait, the parts to
// fetch, the parts to read.
//
// The pattern that this answers: many sessions whose files return in random
// order and together are larger than all engines' memory. Hashing alone spreads
// them evenly but meets an engine that is busy, or empty, just the same.
const (
	// rereadWeight multiplies the time to read shared parts that have been
	// read before: the engine's time is lost for others, too.
	rereadWeight = 2.0
	// crossWeight multiplies the time of a transfer between data centres.
	crossWeight = 2
	// failureCost is the cost of a target all of whose answers fail.
	failureCost = 3 * time.Second
	// hashSpread spreads parts that are nowhere over equal targets, always
	// the same way.
	hashSpread = 6 * time.Millisecond
	// flightCost is the cost of each run under way: steps slow down a little.
	flightCost = 700 * time.Microsecond
	// farCost is the cost of a target in another data centre, where the rest
	// is equal.
	farCost = 2 * time.Millisecond
	// fetchWorth times the time to read a part is the longest fetch that is
	// better than reading: reading keeps the engine busy, a fetch does not.
	fetchWorth = 6
	// engineSourceCost is added to a transfer from an engine, compared with
	// one from a store.
	engineSourceCost = 8 * time.Millisecond
	// setupTime is what a transfer between engines takes beside its bytes.
	setupTime = 3 * time.Millisecond
)

// option is a target with what a request would cost there.
type option struct {
	target *target
	chain  *chain
	first  time.Duration // estimate until the first piece
	cost   time.Duration
	read   fleet.Tokens // that the engine would read
	again  fleet.Tokens // of read, what some engine has read before
	kept   fleet.Tokens
	moved  fleet.Tokens
	moving time.Duration // what the fetches take
	fetch  []fleet.Address
}

// chain is a prompt's parts under one version of the weights, with what is known
// of where they are.
type chain struct {
	salt  string
	parts []shelf.Part
	from  []origin // of the shared parts
}

// origin is where a part can be had.
type origin struct {
	stores  []*store  // that hold it whole
	engines []*target // that have said that they hold it whole
	known   bool      // some engine has read it, or reads it
}

// best returns the best usable target for a request, and whether there is any
// that may take it at all.
func (f *Fleet) best(now fleet.Instant, req *Request) (best option, any bool) {
	root := req.AffinityHash()
	chains := make(map[uint64]*chain) // by version of the weights
	for _, t := range f.targets {
		if t.Service != req.Service || !t.usable(now) || slices.Contains(req.Avoid, t.ID) {
			continue
		}
		if req.Prompt != nil && !f.serves(now, t, req.Prompt.Model) {
			continue
		}
		any = true
		if !f.coldRoom(now, t) || !t.room(req) {
			continue
		}
		o := option{target: t}
		if req.Prompt != nil && t.engine() {
			version := t.version(req.Prompt.Model)
			if chains[version] == nil {
				chains[version] = f.chain(now, req, version)
			}
			o.chain = chains[version]
		}
		f.weigh(now, &o, req)
		o.cost += spread(root, t.ID)
		if best.target == nil || o.cost < best.cost || o.cost == best.cost && t.ID < best.target.ID {
			best = o
		}
	}
	return best, any
}

// chain looks up where the prompt's parts are.
func (f *Fleet) chain(now fleet.Instant, req *Request, version uint64) *chain {
	p := req.Prompt
	c := &chain{salt: Salt(p.Model, version, req.Workspace, req.Isolated)}
	c.parts = make([]shelf.Part, len(p.Parts))
	c.from = make([]origin, len(p.Shared()))
	for i, part := range p.Parts {
		c.parts[i] = shelf.Part{Salt: c.salt, ID: part.ID}
	}
	for i := range c.from {
		c.from[i] = f.origin(now, c.parts[i], p.Parts[i].Tokens)
	}
	return c
}

func (f *Fleet) origin(now fleet.Instant, p shelf.Part, tokens fleet.Tokens) origin {
	var o origin
	for _, s := range f.stores {
		o.known = o.known || s.shelf.Contains(p)
		if f.FetchAllowed && s.shelf.Readable(p) {
			o.stores = append(o.stores, s)
		}
	}
	for _, t := range f.holders.engines[p] {
		o.known = true
		// What was only granted may not be read yet.
		if t.cache.parts[p].tokens >= tokens && !t.silent && now >= t.downTill {
			o.engines = append(o.engines, t)
		}
	}
	return o
}

// serves reports whether the engine may begin a run: it does not load weights,
// and it has weights that a run may still begin on.
func (f *Fleet) serves(now fleet.Instant, t *target, id fleet.ModelID) bool {
	m, version := f.model(id), t.version(id)
	return version > 0 && m.rollout.Serves(t.ID) && m.named.Allows(now, version, f.WeightsBound)
}

// room reports whether the target can start one more request soon.
func (t *target) room(req *Request) bool {
	if !t.engine() {
		return t.flights < t.slots()+plainQueue
	}
	if t.flights >= t.slots() {
		return false
	}
	most := fleet.Tokens(memoryShare * float64(t.service.spec.Engine.CacheCapacity))
	return t.flights == 0 || req.Prompt == nil || t.memory+req.Prompt.Input+req.Prompt.Output <= most
}

// plainQueue is how many requests may queue at a plain service's target: one
// that is about to be started when another ends.
const plainQueue = 1

// weigh estimates what the request costs at the target.
func (f *Fleet) weigh(now fleet.Instant, o *option, req *Request) {
	t := o.target
	if o.chain != nil {
		f.weighPrompt(now, o, req)
	} else {
		busy := t.flights - t.slots() + 1
		o.first = time.Duration(max(0, busy)) * plainTime
		o.cost = o.first
	}
	o.cost += time.Duration(t.failures * float64(failureCost))
	o.cost += time.Duration(t.flights) * flightCost
	if t.DataCentre != req.Near {
		o.cost += farCost
	}
	if id := req.modelID(); id != "" {
		if named, old := f.model(id).named.SupersededAt(t.version(id)); old {
			o.cost += oldWeightsCost
			if now.Sub(named) > oldWeightsTime {
				o.cost += lateWeightsCost
			}
		}
	}
}

const (
	// plainTime is what a request waits behind another at a plain service.
	plainTime = 20 * time.Millisecond
	// oldWeightsCost is the cost of an engine that is still to load: what it
	// begins now goes on under other weights soon.
	oldWeightsCost = 100 * time.Millisecond
	// oldWeightsTime is how long after the naming of new weights a run that
	// begins on the old ones is still worth all to its caller.
	oldWeightsTime = 1300 * time.Millisecond
	// lateWeightsCost is added after that.
	lateWeightsCost = 300 * time.Millisecond
)

func (r *Request) modelID() fleet.ModelID {
	if r.Prompt == nil {
		return ""
	}
	return r.Prompt.Model
}

// weighPrompt estimates what the parts of the prompt cost.
func (f *Fleet) weighPrompt(now fleet.Instant, o *option, req *Request) {
	t, p := o.target, req.Prompt
	engine := t.service.spec.Engine
	var fetch time.Duration
	gap := false // a part before is read, so that kept ones are of no use
	for i, part := range p.Parts {
		if i >= len(o.chain.from) {
			o.read += part.Tokens
			continue
		}
		kept := t.cache.holds(o.chain.parts[i], part.Tokens)
		if kept == part.Tokens && !gap {
			o.kept += kept
			continue
		}
		from := &o.chain.from[i]
		size := engine.TokenBytes * fleet.Bytes(part.Tokens-kept)
		source, took := from.nearest(now, t, engine.LinkRate.Time(size))
		if gap || source == "" || took > readRate.Time(part.Tokens-kept)*fetchWorth {
			gap = true
			o.read += part.Tokens - kept
			if from.known {
				o.again += part.Tokens - kept
			}
			continue
		}
		if o.fetch == nil {
			o.fetch = make([]fleet.Address, len(p.Parts))
		}
		o.fetch[i] = source
		o.from(now, t, i)
		o.moved += part.Tokens
		fetch += took
	}
	if fetch > 0 {
		fetch += t.link.wait(now)
	}
	o.moving = fetch
	o.first = t.wait(now) + fetch + readRate.Time(o.read) + firstStep
	o.cost = o.first + time.Duration((rereadWeight-1)*float64(readRate.Time(o.again)))
	// A target that would be late costs more than one that is only slower.
	if late := o.first - req.Objective; late > 0 && req.Objective > 0 {
		o.cost += 2 * late
	}
}

// from adds the sources of the parts before a part that is fetched. The engine
// has them, but a part may begin within a block of its memory, of which it has
// only the beginning; it fetches no more than it lacks.
func (o *option) from(now fleet.Instant, t *target, part int) {
	for i := range part {
		if o.fetch[i] == "" {
			o.fetch[i], _ = o.chain.from[i].nearest(now, t, 0)
		}
	}
}

// nearest returns the source from which a transfer to the target takes least,
// and how long it takes. Without a source the address is empty.
func (o *origin) nearest(now fleet.Instant, t *target, link time.Duration) (source fleet.Address, took time.Duration) {
	for _, s := range o.stores {
		d := link
		if s.spec.DataCentre != t.DataCentre {
			d *= crossWeight
		}
		d = setupTime + s.spec.FirstByteLatency + s.lane.wait(now) + time.Duration(float64(d)*s.lane.factor(now))
		if source == "" || d < took || d == took && s.spec.Address < source {
			source, took = s.spec.Address, d
		}
	}
	for _, e := range o.engines {
		if e == t {
			continue
		}
		// The engine may drop the part before it is fetched, and its link
		// serves its own fetches, too.
		d := setupTime + engineSourceCost + link
		if e.DataCentre != t.DataCentre {
			d += (crossWeight - 1) * link
		}
		if source == "" || d < took || d == took && e.Address < source {
			source, took = e.Address, d
		}
	}
	return source, took
}

// firstStep is what an engine takes from the last prompt token to the first
// piece, with the way there and back.
const firstStep = 12 * time.Millisecond

// saves chooses where the shared parts that an engine reads are saved, if they
// are on no shelf: in the engine's data centre if there is room.
func (f *Fleet) saves(now fleet.Instant, o *option, p *prompt.Prompt) []fleet.Address {
	var result []fleet.Address
	for i, part := range p.Shared() {
		if f.onShelf(o.chain.parts[i]) {
			continue
		}
		s := f.roomiest(o.target, part.Tokens)
		if s == nil || !s.shelf.Reserve(now, o.chain.parts[i], part.Tokens) {
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

func (f *Fleet) onShelf(p shelf.Part) bool {
	for _, s := range f.stores {
		if s.shelf.Contains(p) {
			return true
		}
	}
	return false
}

// roomiest returns the store for a new part: the emptiest, those in the
// target's data centre first as long as they have room.
func (f *Fleet) roomiest(t *target, tokens fleet.Tokens) *store {
	const nearBonus = 0.25 // of the capacity; a nearer store may be that much fuller
	var best *store
	var bestScore float64
	for _, s := range f.stores {
		if !s.shelf.Known() || s.shelf.Available() < tokens {
			continue
		}
		score := float64(s.shelf.Available()) / float64(s.spec.Capacity)
		if s.spec.DataCentre == t.DataCentre {
			score += nearBonus
		}
		if best == nil || score > bestScore || score == bestScore && s.spec.Address < best.spec.Address {
			best, bestScore = s, score
		}
	}
	return best
}

// AffinityHash is the same for requests that are best brought together: those whose
// prompts have the same root. Requests without a prompt are spread.
func (r *Request) AffinityHash() uint64 {
	if r.Prompt == nil {
		return xxhash.Sum64String(string(r.ID))
	}
	return xxhash.Sum64String(string(r.Prompt.AffinityPart()))
}

// spread returns a cost between zero and hashSpread that is fixed for a root
// and a target.
func spread(root uint64, id fleet.TargetID) time.Duration {
	const mix = 0x9e3779b97f4a7c15
	h := (root ^ xxhash.Sum64String(string(id))) * mix
	return time.Duration(h>>32) * hashSpread >> 32
}
