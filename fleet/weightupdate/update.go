// Package weightupdate schedules a rolling update of the weights on a model's engines.
//
// An engine starts no runs while it loads weights, and beyond a certain number
// parallel loads slow each other down far more than proportionally. So only a
// few engines load at a time, those with the fewest requests in flight first.
// A run takes seconds and a load a fraction of a second, so an engine does not
// drain before it loads: its runs continue under the new weights.
//
// An order tells an engine to load weights; it has nothing to do with the orders of
// package order. One that got no answer may still be carried out later. Each carries
// the number of orders that the engine had accepted before, so that a delayed
// one has no effect after another was accepted.
//
// An engine whose order gets no answer does not load as far as is known: it serves on, and
// others are ordered meanwhile. If it counted as loading, a wave in which most orders get no
// answer would reach the last engines after the end of the bound.
//
// The package is used by hibiscusfront; hibiscusd uses package loadslots.
package weightupdate

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
)

const (
	// parallelDivisor limits parallel loads to one in this many of a model's
	// engines.
	parallelDivisor = 5
	// retryDelay is the time from an order without an answer until it is repeated.
	// The first order may still be carried out seconds later; it has no effect
	// if the repeated one was accepted (see LoadOrder.Accepted).
	retryDelay = 700 * time.Millisecond
	// stateQueryDelay is how long a load may take before the engine is queried
	// for its state, if its entry does not show the new weights by then.
	stateQueryDelay = 350 * time.Millisecond
	// answerDelay is how long an order may take before its engine is taken not to load.
	answerDelay = 100 * time.Millisecond
	// loadTimeout is the time after which a load counts as failed, or an order
	// as lost.
	loadTimeout = 4 * time.Second
)

// An Engine is the known state of an engine.
type Engine struct {
	ID             fleet.TargetID
	Version        uint64
	OrdersAccepted uint64 // by the engine since its start
	InFlight       int    // requests
	CachedTokens   fleet.Tokens
	Usable         bool // reachable, and OrdersAccepted is known
}

// A Result is an engine's answer to an order.
type Result uint8

const (
	// Unknown means that the order may have been accepted, or may be accepted later.
	Unknown Result = iota
	// Accepted means that the engine is loading the weights.
	Accepted
	// AlreadyLoaded means that the engine has the weights.
	AlreadyLoaded
	// NotSent means that the order was not sent.
	NotSent
	// Refused means that another order is in progress, that the engine has
	// not accepted exactly LoadOrder.Accepted orders before, or that it
	// rejected the order as malformed or as meant for another target.
	Refused
)

func (r Result) String() string {
	return []string{"no answer", "accepted", "holds", "not sent", "refused"}[r]
}

type phase uint8

const (
	ordered phase = iota // an order was sent and is not known to be accepted
	loading
)

// engineUpdate is the update of one engine. While it may be loading the engine gets no work, and
// counts as one of the parallel loads.
type engineUpdate struct {
	phase     phase
	since     fleet.Instant // when the phase was entered
	lastQuery fleet.Instant // of the engine's state
	version   uint64
	noAnswer  bool // the order got no answer
}

// mayLoad reports whether the engine may be loading the version.
func (e *engineUpdate) mayLoad(now fleet.Instant) bool {
	return e.phase == loading || !e.noAnswer && now.Sub(e.since) < answerDelay
}

// A LoadOrder tells an engine to load a version.
type LoadOrder struct {
	Target   fleet.TargetID
	Version  uint64
	Accepted uint64 // number of orders that the engine accepted before
}

// An Update updates the engines of one model to a version. The zero value has
// no update in progress.
type Update struct {
	updates map[fleet.TargetID]*engineUpdate
}

// MaxParallelLoads returns how many of the given number of engines may load in
// parallel.
func MaxParallelLoads(engines int) int { return max(1, engines/parallelDivisor) }

// NeedsUpdate reports whether any engine has weights older than version.
func NeedsUpdate(engines []Engine, version uint64) bool {
	return version > 0 && slices.ContainsFunc(engines, func(e Engine) bool { return e.Version < version })
}

// Step removes ended updates of engines, starts new ones if mayOrder is set, and
// returns the orders to send for these.
func (u *Update) Step(now fleet.Instant, version uint64, engines []Engine, mayOrder bool) []LoadOrder {
	if u.updates == nil {
		u.updates = make(map[fleet.TargetID]*engineUpdate)
	}
	u.prune(now, engines)
	if !mayOrder {
		return nil
	}
	loads := 0
	for _, update := range u.updates {
		if update.mayLoad(now) {
			loads++
		}
	}
	var orders []LoadOrder
	for _, e := range u.candidates(version, engines) {
		if loads >= MaxParallelLoads(len(engines)) {
			break
		}
		loads++
		u.updates[e.ID] = &engineUpdate{phase: ordered, since: now, lastQuery: now, version: version}
		orders = append(orders, LoadOrder{Target: e.ID, Version: version, Accepted: e.OrdersAccepted})
	}
	return orders
}

// prune deletes the updates of engines that were removed, have the version or have
// exceeded loadTimeout, and of those whose unanswered order may be repeated.
func (u *Update) prune(now fleet.Instant, engines []Engine) {
	for id, update := range u.updates {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.ID == id })
		age := now.Sub(update.since)
		if i < 0 || engines[i].Version >= update.version || update.noAnswer && age > retryDelay || age > loadTimeout {
			delete(u.updates, id)
		}
	}
}

// candidates returns the engines that need the version and are not being updated,
// those with the fewest requests in flight and the least cache first: they lose the
// least, since a load discards the cache of the engine.
func (u *Update) candidates(version uint64, engines []Engine) []*Engine {
	var result []*Engine
	for i := range engines {
		e := &engines[i]
		if e.Usable && e.Version < version && u.updates[e.ID] == nil {
			result = append(result, e)
		}
	}
	slices.SortFunc(result, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.CachedTokens, b.CachedTokens), cmp.Compare(a.ID, b.ID))
	})
	return result
}

// RecordResult records the result of an order, and reports whether the number of
// orders that the engine has accepted is no longer known.
func (u *Update) RecordResult(now fleet.Instant, target fleet.TargetID, result Result) (ordersUnknown bool) {
	update := u.updates[target]
	if update == nil || update.phase != ordered {
		return result == Refused || result == Unknown
	}
	switch result {
	case Accepted:
		update.phase, update.since = loading, now
	case AlreadyLoaded, NotSent:
		delete(u.updates, target)
	case Refused:
		delete(u.updates, target)
		return true
	case Unknown:
		update.noAnswer = true
		return true
	}
	return false
}

// StartStateQueries returns the engines whose load is overdue and whose state
// must be queried now, and records that the queries are sent.
func (u *Update) StartStateQueries(now fleet.Instant) []fleet.TargetID {
	var result []fleet.TargetID
	for id, update := range u.updates {
		if update.phase == loading && now.Sub(max(update.since, update.lastQuery)) >= stateQueryDelay {
			update.lastQuery = now
			result = append(result, id)
		}
	}
	slices.Sort(result)
	return result
}

// Serves reports whether an engine may be given work, that is, is not taken to be loading.
func (u *Update) Serves(now fleet.Instant, target fleet.TargetID) bool {
	update, ok := u.updates[target]
	return !ok || !update.mayLoad(now)
}
