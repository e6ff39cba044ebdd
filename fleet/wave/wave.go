// Package wave decides in which order the engines of a model take new weights.
//
// An engine that loads starts nothing, and engines that load at once slow each
// other beyond a number, far more than in proportion. So a few load at a time,
// those with the least work under way first. Runs take seconds and a load a
// fraction of one, so an engine does not wait for its runs to end: they go on
// under the new weights.
//
// An order without an answer may be carried out late. It carries the number of
// orders that the engine had accepted, so that a late one does nothing once
// another was accepted.
package wave

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
)

const (
	// share is the part of a model's engines that load at once: one in so
	// many.
	parallelShare = 5
	// leastAtOnce is how many engines may load at once however few there are,
	// as long as others serve.
	minParallel = 3
	// againTime is the pause before an order without an answer is repeated.
	// Late orders are carried out within seconds.
	retryDelay = 700 * time.Millisecond
	// reportTime is how long a load is given before the engine is asked for
	// its state, when its entry has not told of the new weights.
	stateQueryDelay = 350 * time.Millisecond
	// longestLoad is when a load counts as failed, or an order as lost.
	loadTimeout = 4 * time.Second
)

// An Engine is what is known of an engine that may need new weights.
type Engine struct {
	ID             fleet.TargetID
	Version        uint64
	OrdersAccepted uint64 // accepted in its life
	InFlight       int    // requests under way
	CachedTokens   fleet.Tokens
	Usable         bool // can be reached, and the number of its orders is known
}

// A Result is an engine's answer to an order.
type Result uint8

const (
	// Unknown means that the order may have been accepted, or may be later.
	Unknown Result = iota
	// Accepted means that the engine carries the order out.
	Accepted
	// Holds means that the engine has the weights.
	AlreadyLoaded
	// NotSent means that the order has not left.
	NotSent
	// Refused means that another order is in progress, or that the engine has
	// accepted another number of orders.
	Refused
)

func (r Result) String() string {
	return []string{"no answer", "accepted", "holds", "not sent", "refused"}[r]
}

type phase uint8

const (
	ordered phase = iota // an order is on its way, or its answer was lost
	loading
)

// step is an engine that is not to serve until it has the version.
type step struct {
	phase     phase
	since     fleet.Instant // of the phase
	lastQuery fleet.Instant // for its state, last
	version   uint64
	noAnswer  bool // the order had no answer
}

// An Order is due to be given to an engine.
type Order struct {
	Target   fleet.TargetID
	Version  uint64
	Accepted uint64 // orders that the engine has accepted before
}

// A Rollout brings one model's engines to a version. The zero value is idle.
type Rollout struct {
	steps map[fleet.TargetID]*step
}

// AtOnce is how many of so many engines load at once. At least a third of them
// serve meanwhile.
func MaxParallelLoads(engines int) int {
	return max(1, min(max(minParallel, engines/parallelShare), engines/3))
}

// Needed reports whether an engine has older weights than named.
func NeedsRollout(engines []Engine, version uint64) bool {
	return version > 0 && slices.ContainsFunc(engines, func(e Engine) bool { return e.Version < version })
}

// Step returns the orders that are due, if the host may give orders now.
func (r *Rollout) Step(now fleet.Instant, version uint64, engines []Engine, mayOrder bool) []Order {
	if r.steps == nil {
		r.steps = make(map[fleet.TargetID]*step)
	}
	r.prune(now, engines)
	if !mayOrder {
		return nil
	}
	var orders []Order
	for _, e := range r.candidates(version, engines) {
		if len(r.steps) >= MaxParallelLoads(len(engines)) {
			break
		}
		r.steps[e.ID] = &step{phase: ordered, since: now, lastQuery: now, version: version}
		orders = append(orders, Order{Target: e.ID, Version: version, Accepted: e.OrdersAccepted})
	}
	return orders
}

// forget drops the steps of engines that are gone, have the version, have taken
// too long, or whose order had no answer long enough ago to be given again.
func (r *Rollout) prune(now fleet.Instant, engines []Engine) {
	for id, s := range r.steps {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.ID == id })
		age := now.Sub(s.since)
		if i < 0 || engines[i].Version >= s.version || s.noAnswer && age > retryDelay || age > loadTimeout {
			delete(r.steps, id)
		}
	}
}

// candidates returns the engines that need the version and do nothing for it
// yet, those with the least to lose first.
func (r *Rollout) candidates(version uint64, engines []Engine) []*Engine {
	var result []*Engine
	for i := range engines {
		e := &engines[i]
		if e.Usable && e.Version < version && r.steps[e.ID] == nil {
			result = append(result, e)
		}
	}
	slices.SortFunc(result, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.CachedTokens, b.CachedTokens), cmp.Compare(a.ID, b.ID))
	})
	return result
}

// Answered notes an engine's answer to an order, and reports whether the number
// of orders that it has accepted is in doubt.
func (r *Rollout) RecordResult(now fleet.Instant, target fleet.TargetID, result Result) (doubt bool) {
	s := r.steps[target]
	if s == nil || s.phase != ordered {
		return result == Refused || result == Unknown
	}
	switch result {
	case Accepted:
		s.phase, s.since = loading, now
	case AlreadyLoaded, NotSent:
		delete(r.steps, target)
	case Refused:
		delete(r.steps, target)
		return true
	case Unknown:
		s.noAnswer, s.since = true, now
		return true
	}
	return false
}

// Overdue returns the engines that should be asked for their state, since their
// load takes long, and notes that they are asked.
func (r *Rollout) StartStateQueries(now fleet.Instant) []fleet.TargetID {
	var result []fleet.TargetID
	for id, s := range r.steps {
		if s.phase == loading && now.Sub(max(s.since, s.lastQuery)) >= stateQueryDelay {
			s.lastQuery = now
			result = append(result, id)
		}
	}
	slices.Sort(result)
	return result
}

// Serves reports whether an engine may be given work: it does not load.
func (r *Rollout) Serves(target fleet.TargetID) bool {
	_, ok := r.steps[target]
	return !ok
}
