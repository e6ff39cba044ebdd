package rollout

import (
	"fmt"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/rollout/evidence"
)

// Evidence and verdict.
//
// The version is rejected if the responses of a route show that it is worse than the old one, see package
// evidence. It is accepted if on each route the smallest fraction is refuted that
// the exposure can refute.
const (
	// rareRoute is the number of responses up to which a route can not give enough evidence
	// for the test; it has to have rareLeast responses of the new version instead.
	rareRoute = 60
	rareLeast = 3
	// quietTime is a share of the duration.
	quietTime = 0.25
)

// routeState is the evidence of a route, and the requests on it.
type routeState struct {
	evidence.Route
	seen, sent int
	lastSeen   fleet.Instant
}

func (r *Rollout) route(name string) *routeState {
	e, ok := r.routes[name]
	if !ok {
		e = new(routeState)
		r.routes[name] = e
	}
	return e
}

// Record records a response. First is the time to its first chunk, if it did not fail. Responses after
// the completion are no evidence.
func (r *Rollout) Record(now fleet.Instant, route string, target fleet.TargetID, version fleet.Software, result Result, first time.Duration) {
	if r.stored.Stage == Completed {
		return
	}
	isNew := version == r.Order.To
	bad := r.route(route).Record(now, r.Order.Duration, target, isNew, result == Bad, first)
	if !isNew {
		return
	}
	r.badTotal += r.targets.Add(target, bad)
	r.dirty = r.dirty || bad
}

// Slow reports whether the first chunk of a response that took so long counts as bad.
func (r *Rollout) Slow(route string, first time.Duration) bool { return r.route(route).Slow(first) }

// TargetLost records that a target is gone. Its last failures are no evidence.
func (r *Rollout) TargetLost(now fleet.Instant, target fleet.TargetID) {
	for _, e := range r.routes {
		n := e.TargetLost(now, target)
		r.targets.TakeBack(target, n)
		r.badTotal -= n
	}
}

// judge rejects the version if it is worse than the old one.
func (r *Rollout) judge(now fleet.Instant) {
	if !r.dirty && r.badTotal < r.badCheck || r.bad || r.stored.Stage.Final() {
		return
	}
	r.dirty = false
	atLimit := r.badTotal >= r.badCheck
	for name, e := range r.routes {
		if fraction, found := e.Worse(r.single()); found {
			r.reject(fmt.Sprintf("bad responses on route %q beyond those of the old version, at least %g of all: %s", name, fraction, r.Evidence()))
			return
		}
	}
	if !atLimit {
		return
	}
	responses := 0
	for _, e := range r.routes {
		responses += e.New().N
		if e.Favoured(r.single()) {
			r.reject(fmt.Sprintf("%d bad responses: %s", r.badTotal, r.Evidence()))
			return
		}
	}
	if responses < badLimit {
		// Most of them were counted by an earlier planner, with responses that this one does not know.
		r.reject(fmt.Sprintf("%d bad responses, most of them before this planner: %s", r.badTotal, r.Evidence()))
		return
	}
	r.badCheck = r.badTotal + badLimit // the old version is as bad
}

// single reports whether the version has one target.
func (r *Rollout) single() bool { return len(r.new) < minTargets && len(r.targets) < minTargets }

// busy returns the routes that have traffic. Those with few requests count for quietTime after
// the last one: they can give no more evidence when nothing comes any more.
func (r *Rollout) busy(now fleet.Instant) []*routeState {
	var list []*routeState
	for _, e := range r.routes {
		if e.seen > rareRoute || e.seen > 0 && now.Sub(e.lastSeen) < r.part(quietTime) {
			list = append(list, e)
		}
	}
	return list
}

// sampled reports whether each busy route has so many responses of the new version.
func (r *Rollout) sampled(now fleet.Instant, least int) bool {
	for _, e := range r.busy(now) {
		if e.seen > rareRoute && e.New().N < least {
			return false
		}
	}
	return true
}

// accepted reports whether the version is as good as the old one on all routes. At the last
// chance it suffices that the largest fraction is refuted.
func (r *Rollout) accepted(now fleet.Instant, lastChance bool) bool {
	routes := r.busy(now)
	if len(routes) == 0 {
		return false
	}
	evident := false
	for _, e := range routes {
		if e.seen <= rareRoute && len(routes) > 1 {
			if e.New().N < min(rareLeast, e.seen/3) || !e.Sound() {
				return false
			}
			continue
		}
		if !e.Refuted(float64(r.limit())/float64(len(routes)), lastChance) || e.FaultyUnderLoad(r.loadedAt, len(r.old), r.single()) {
			return false
		}
		evident = true
	}
	return evident
}

// Evidence describes the evidence by route, for the log.
func (r *Rollout) Evidence() string { return evidence.Describe(r.routes) }
