package plan

import (
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
	// setupTime is what a transfer between engines takes beside its bytes.
	setupTime = 3 * time.Millisecond
)

// option is a target with what a request would cost there.
type option struct {
	target *target
	first  time.Duration // estimate until the first piece
	cost   time.Duration
	read   fleet.Tokens
	fetch  []fleet.Address
	stores []*store // of the parts that are fetched; nil for engines
	parts  []shelf.Part
}

// options returns the best usable target for a request, and whether there is
// any that may take it at all.
func (f *Fleet) best(now fleet.Instant, ask *Ask) (best option, any bool) {
	root := rootHash(ask)
	for _, t := range f.targets {
		if t.Service != ask.Service || !t.usable(now) || contains(ask.Avoid, t.ID) {
			continue
		}
		if ask.Prompt != nil && !f.serves(now, t, ask.Prompt.Model) {
			continue
		}
		any = true
		if !t.coldRoom(now, f.from) || !t.room(ask) {
			continue
		}
		o := f.weigh(now, t, ask)
		o.cost += spread(root, t.ID)
		if best.target == nil || o.cost < best.cost || o.cost == best.cost && t.ID < best.target.ID {
			best = o
		}
	}
	return best, any
}

func contains(list []fleet.TargetID, id fleet.TargetID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

// serves reports whether the engine may begin a run: it does not load weights,
// and it has weights that a run may still begin on.
func (f *Fleet) serves(now fleet.Instant, t *target, id fleet.ModelID) bool {
	m, version := f.model(id), t.version(id)
	return version > 0 && m.rollout.Serves(t.ID) && m.named.Holds(now, version, f.WeightsBound)
}

// room reports whether the target can start one more request soon.
func (t *target) room(ask *Ask) bool {
	if !t.engine() {
		return t.flights < t.slots()+plainQueue
	}
	if t.flights >= t.slots() {
		return false
	}
	most := fleet.Tokens(memoryShare * float64(t.service.spec.Engine.Memory))
	return t.flights == 0 || ask.Prompt == nil || t.memory+ask.Prompt.Input+ask.Prompt.Output <= most
}

// plainQueue is how many requests may queue at a plain service's target: one
// that is about to be started when another ends.
const plainQueue = 1

// weigh returns what the request costs at the target.
func (f *Fleet) weigh(now fleet.Instant, t *target, ask *Ask) option {
	o := option{target: t}
	if ask.Prompt != nil && t.engine() {
		f.weighPrompt(now, &o, ask)
	} else {
		busy := t.flights - t.slots() + 1
		o.first = time.Duration(max(0, busy)) * plainTime
		o.cost = o.first
	}
	o.cost += time.Duration(t.failures * float64(failureCost))
	o.cost += time.Duration(t.flights) * flightCost
	if t.DataCentre != ask.Near {
		o.cost += farCost
	}
	if id := ask.modelID(); id != "" {
		if named, old := f.model(id).named.Since(t.version(id)); old {
			o.cost += oldWeightsCost
			if now.Sub(named) > oldWeightsTime {
				o.cost += lateWeightsCost
			}
		}
	}
	return o
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

func (a *Ask) modelID() fleet.ModelID {
	if a.Prompt == nil {
		return ""
	}
	return a.Prompt.Model
}

// weighPrompt adds what the parts of the prompt cost.
func (f *Fleet) weighPrompt(now fleet.Instant, o *option, ask *Ask) {
	t, p := o.target, ask.Prompt
	engine := t.service.spec.Engine
	salt := Salt(p.Model, t.version(p.Model), ask.Workspace, ask.Isolated)
	shared := len(p.Shared())
	o.parts = make([]shelf.Part, len(p.Parts))
	wait := t.wait(now)
	var reread fleet.Tokens
	var fetch time.Duration
	for i, part := range p.Parts {
		o.parts[i] = shelf.Part{Salt: salt, ID: part.ID}
		if i >= shared {
			o.read += part.Tokens
			continue
		}
		if t.cache.has(o.parts[i]) {
			continue
		}
		source, s, known := f.source(now, t, o.parts[i])
		if source == "" {
			o.read += part.Tokens
			if known {
				reread += part.Tokens
			}
			continue
		}
		if o.fetch == nil {
			o.fetch = make([]fleet.Address, len(p.Parts))
		}
		o.fetch[i] = source
		if s != nil {
			o.stores = append(o.stores, s)
		}
		fetch += f.transfer(t, engine.Link, engine.TokenBytes*fleet.Bytes(part.Tokens), s)
	}
	o.first = wait + fetch + readRate.Time(o.read) + firstStep
	o.cost = o.first + time.Duration((rereadWeight-1)*float64(readRate.Time(reread)))
	// A target that would be late costs more than one that is only slower.
	if late := o.first - ask.Objective; late > 0 && ask.Objective > 0 {
		o.cost += 2 * late
	}
}

// firstStep is what an engine takes from the last prompt token to the first
// piece, with the way there and back.
const firstStep = 12 * time.Millisecond

// transfer is how long it takes to fetch so many bytes to the target.
func (f *Fleet) transfer(t *target, link fleet.ByteRate, size fleet.Bytes, s *store) time.Duration {
	d := setupTime + link.Time(size)
	if s != nil {
		d += s.spec.FirstByte
		if s.spec.DataCentre != t.DataCentre {
			d += (crossWeight - 1) * link.Time(size)
		}
	}
	return d
}

// source returns where a part can be fetched from, and whether any engine has
// read it.
func (f *Fleet) source(now fleet.Instant, t *target, p shelf.Part) (address fleet.Address, from *store, known bool) {
	for _, s := range f.stores {
		if !s.shelf.Has(p) || !f.FetchAllowed {
			known = known || s.shelf.Holds(p)
			continue
		}
		known = true
		if from == nil || f.nearer(t, s, from) {
			from = s
		}
	}
	if from != nil {
		return from.spec.Address, from, true
	}
	var best *target
	for _, other := range f.targets {
		if other == t || !other.cache.has(p) {
			continue
		}
		known = true
		// A part that was granted may not be read yet; its tokens are known
		// once the engine has said that it holds it.
		if other.cache.parts[p].tokens == 0 || other.silent || now < other.downTill || other.gone {
			continue
		}
		if best == nil || other.DataCentre == t.DataCentre && best.DataCentre != t.DataCentre ||
			(other.DataCentre == t.DataCentre) == (best.DataCentre == t.DataCentre) && other.ID < best.ID {
			best = other
		}
	}
	if best != nil {
		return best.Address, nil, true
	}
	return "", nil, known
}

// nearer reports whether a transfer from a takes less than from b.
func (f *Fleet) nearer(t *target, a, b *store) bool {
	near := func(s *store) int {
		if s.spec.DataCentre == t.DataCentre {
			return 0
		}
		return 1
	}
	if near(a) != near(b) {
		return near(a) < near(b)
	}
	if a.spec.FirstByte != b.spec.FirstByte {
		return a.spec.FirstByte < b.spec.FirstByte
	}
	return a.spec.Address < b.spec.Address
}

// saves chooses where the shared parts that an engine reads are saved, if they
// are on no shelf: in the engine's data centre if there is room.
func (f *Fleet) saves(now fleet.Instant, o *option, p *prompt.Prompt) []fleet.Address {
	var result []fleet.Address
	for i, part := range p.Shared() {
		if o.fetch != nil && o.fetch[i] != "" && f.stores[o.fetch[i]] != nil {
			continue
		}
		if f.onShelf(o.parts[i]) {
			continue
		}
		s := f.roomiest(now, o.target, part.Tokens)
		if s == nil || !s.shelf.Save(now, o.parts[i], part.Tokens) {
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
		if s.shelf.Holds(p) {
			return true
		}
	}
	return false
}

// roomiest returns the store for a new part: the emptiest, those in the
// target's data centre first as long as they have room.
func (f *Fleet) roomiest(now fleet.Instant, t *target, tokens fleet.Tokens) *store {
	const nearBonus = 0.25 // of the capacity; a nearer store may be that much fuller
	var best *store
	var bestScore float64
	for _, s := range f.stores {
		if !s.shelf.Known() || s.shelf.Free() < tokens {
			continue
		}
		score := float64(s.shelf.Free()) / float64(s.spec.Capacity)
		if s.spec.DataCentre == t.DataCentre {
			score += nearBonus
		}
		if best == nil || score > bestScore || score == bestScore && s.spec.Address < best.spec.Address {
			best, bestScore = s, score
		}
	}
	return best
}

func rootHash(ask *Ask) uint64 {
	if ask.Prompt == nil {
		return xxhash.Sum64String(string(ask.ID))
	}
	return xxhash.Sum64String(string(ask.Prompt.Root()))
}

// spread returns a cost between zero and hashSpread that is fixed for a root
// and a target.
func spread(root uint64, id fleet.TargetID) time.Duration {
	const mix = 0x9e3779b97f4a7c15
	h := (root ^ xxhash.Sum64String(string(id))) * mix
	return time.Duration(h>>32) * hashSpread >> 32
}
