package rollout

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"hibiscuslb/fleet"
)

// Evidence and verdict.
//
// The responses of each route are counted in slices of time. A sequential probability ratio test
// (Wald 1945) compares two hypotheses: the new version has the rate of bad responses of the old
// one in the same slices, or in addition a fraction of its other responses is bad. The version is rejected
// if that holds for some fraction since the begin of some slice, since a version may become bad
// after many good responses. It is accepted if on each route the smallest fraction is refuted that
// the exposure can refute.
//
// A single bad target makes no bad version: the test must also reject without the target that has
// the most bad responses.
const (
	errorRate = 0.001 // of either kind
	// sliceCount is the number of slices of the order's duration, and minSlice the shortest one.
	sliceCount = 24
	minSlice   = 250 * time.Millisecond
	// quantile is that of the old version's first chunks above which a response is bad, for
	// either version. It is known from minTimes responses on, and follows the last maxTimes.
	// slowFactor allows for the error of the quantile of few responses.
	quantile   = 0.99
	minTimes   = 30
	maxTimes   = 400
	slowFactor = 1.5
	// minSlow is the shortest such time, since the old version may take less than any clock error.
	minSlow = 10 * time.Millisecond
	// minRate is the lowest rate of bad responses that the old version is taken to have, and
	// priorWeight the number of responses for which its rate over all slices counts.
	minRate     = 0.01
	priorWeight = 10
	// A target with suspectBad bad responses, at least one of suspectRate, takes no more part
	// if that rate is suspectRatio times that of the others.
	suspectBad, suspectRate, suspectRatio = 4, 5, 4
	// lossWindow is the time before the loss of a target in which its failures are no evidence.
	lossWindow = time.Second
	// rareRoute is the number of responses up to which a route can not give enough evidence
	// for the test; it has to have rareLeast responses of the new version instead.
	rareRoute = 60
	rareLeast = 3
	// quietTime is a share of the duration.
	quietTime = 0.25
)

// fractions are those of responses that a bad version makes bad.
var fractions = []float64{0.05, 0.1, 0.15, 0.2, 0.25, 0.5}

// tally counts responses.
type tally struct{ n, bad int }

func (t tally) plus(other tally) tally { return tally{t.n + other.n, t.bad + other.bad} }

func (t tally) minus(other tally) tally { return tally{t.n - other.n, t.bad - other.bad} }

// suspect reports whether a new target fails by itself: much more often than the others.
func (r *Rollout) suspect(id fleet.TargetID) bool {
	t := r.targets[id]
	if t.bad < suspectBad {
		return false
	}
	var others tally
	for other, o := range r.targets {
		if other != id {
			others = others.plus(o)
		}
	}
	return suspectRate*t.bad >= t.n && others.n > suspectBad && suspectRatio*others.bad*t.n <= t.bad*others.n
}

// slice counts the responses in a slice of time.
type slice struct {
	start fleet.Instant
	old   tally
	new   map[fleet.TargetID]tally
}

// failure is a failed response of a new target, which is no evidence if the target is lost.
type failure struct {
	at     fleet.Instant
	target fleet.TargetID
	slice  *slice
}

// evidence is that of a route.
type evidence struct {
	seen, sent int
	lastSeen   fleet.Instant
	slices     []*slice
	times      []time.Duration // of the first chunks of old targets, a ring
	next       int             // in times
	slow       time.Duration   // above which a response is bad; zero if not known
	failures   []failure
}

func (r *Rollout) route(name string) *evidence {
	e, ok := r.routes[name]
	if !ok {
		e = new(evidence)
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
	e := r.route(route)
	bad := result == Bad || e.slow > 0 && first > e.slow
	one := tally{n: 1}
	if bad {
		one.bad = 1
	}
	s := e.slice(now, max(minSlice, r.Order.Duration/sliceCount))
	if version != r.Order.To {
		s.old = s.old.plus(one)
		if result == Good {
			e.observe(first)
		}
		return
	}
	s.new[target] = s.new[target].plus(one)
	r.targets[target] = r.targets[target].plus(one)
	r.badTotal += one.bad
	r.dirty = r.dirty || bad
	if result == Bad {
		e.failures = slices.DeleteFunc(e.failures, func(f failure) bool { return now.Sub(f.at) > lossWindow })
		e.failures = append(e.failures, failure{now, target, s})
	}
}

// Slow reports whether the first chunk of a response that took so long counts as bad.
func (r *Rollout) Slow(route string, first time.Duration) bool {
	e := r.route(route)
	return e.slow > 0 && first > e.slow
}

// slice returns the present slice.
func (e *evidence) slice(now fleet.Instant, length time.Duration) *slice {
	if n := len(e.slices); n > 0 && now.Sub(e.slices[n-1].start) < length {
		return e.slices[n-1]
	}
	s := &slice{start: now, new: make(map[fleet.TargetID]tally)}
	e.slices = append(e.slices, s)
	if len(e.slices) > 2*sliceCount {
		e.slices = e.slices[1:]
	}
	return s
}

// observe records the time to the first chunk of an old target's response.
func (e *evidence) observe(first time.Duration) {
	if len(e.times) < maxTimes {
		e.times = append(e.times, first)
	} else {
		e.times[e.next] = first
	}
	e.next = (e.next + 1) % maxTimes
	if len(e.times) < minTimes || e.next%10 != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(e.times))
	e.slow = max(minSlow, time.Duration(slowFactor*float64(sorted[int(quantile*float64(len(sorted)-1))])))
}

// TargetLost records that a target is gone. Its last failures are no evidence.
func (r *Rollout) TargetLost(now fleet.Instant, target fleet.TargetID) {
	for _, e := range r.routes {
		e.failures = slices.DeleteFunc(e.failures, func(f failure) bool {
			if f.target != target || now.Sub(f.at) > lossWindow {
				return false
			}
			one := tally{1, 1}
			f.slice.new[target] = f.slice.new[target].minus(one)
			r.targets[target] = r.targets[target].minus(one)
			r.badTotal--
			return true
		})
	}
}

// sums returns the responses of the new version in slices, those without the target that has the
// most bad ones, and the rate of bad ones that the old version's in the same slices lead to expect.
// The share of the new version differs between slices, and so does the rate in an outage.
func (e *evidence) sums(list []*slice) (all, without tally, base float64) {
	old := e.old()
	prior := (float64(old.bad) + 0.5) / (float64(old.n) + 50)
	byTarget := make(map[fleet.TargetID]tally)
	expected := 0.0
	for _, s := range list {
		n := 0
		for id, t := range s.new {
			byTarget[id] = byTarget[id].plus(t)
			all = all.plus(t)
			n += t.n
		}
		expected += float64(n) * (float64(s.old.bad) + priorWeight*prior) / (float64(s.old.n) + priorWeight)
	}
	var worst tally
	for _, t := range byTarget {
		if t.bad > worst.bad || t.bad == worst.bad && t.n < worst.n {
			worst = t
		}
	}
	return all, all.minus(worst), max(minRate, expected/float64(max(1, all.n)))
}

// old returns the responses of the old version.
func (e *evidence) old() (sum tally) {
	for _, s := range e.slices {
		sum = sum.plus(s.old)
	}
	return sum
}

// ratio returns the logarithm of the likelihood ratio of the hypothesis that the fraction of
// responses is bad beyond the base rate.
func ratio(t tally, base, fraction float64) float64 {
	bad := base + fraction*(1-base)
	return float64(t.bad)*math.Log(bad/base) + float64(t.n-t.bad)*math.Log(1-fraction)
}

// judge rejects the version if it is worse than the old one.
func (r *Rollout) judge(now fleet.Instant) {
	if !r.dirty && r.badTotal < r.badCheck || r.bad || r.stored.Stage.Final() {
		return
	}
	r.dirty = false
	atLimit := r.badTotal >= r.badCheck
	threshold := math.Log(float64(sliceCount*len(fractions)) / errorRate)
	for name, e := range r.routes {
		if fraction, found := r.worse(e, threshold); found {
			r.reject(fmt.Sprintf("bad responses on route %q beyond those of the old version, at least %g of all: %s", name, fraction, r.Evidence()))
			return
		}
	}
	if !atLimit {
		return
	}
	responses := 0
	for _, e := range r.routes {
		all, without, base := e.sums(e.slices)
		responses += all.n
		for _, f := range fractions {
			if ratio(all, base, f) > limitRatio && ratio(r.others(all, without), base, f) > limitRatio {
				r.reject(fmt.Sprintf("%d bad responses: %s", r.badTotal, r.Evidence()))
				return
			}
		}
	}
	if responses < badLimit {
		// Most of them were counted by an earlier planner, with responses that this one does not know.
		r.reject(fmt.Sprintf("%d bad responses, most of them before this planner: %s", r.badTotal, r.Evidence()))
		return
	}
	r.badCheck = r.badTotal + badLimit // the old version is as bad
}

// limitRatio is the logarithm of the likelihood ratio above which the version is rejected
// at badLimit, and the last step shows a fault. Two versions that are equally bad are above zero half of the time.
const limitRatio = 3.5

// others returns the responses without the worst target, or all if the version has one target.
func (r *Rollout) others(all, without tally) tally {
	if len(r.new) < minTargets && len(r.targets) < minTargets {
		return all
	}
	return without
}

// worse reports whether the test rejects the version on a route, and for which fraction.
func (r *Rollout) worse(e *evidence, threshold float64) (fraction float64, found bool) {
	for i := range e.slices {
		all, without, base := e.sums(e.slices[i:])
		if all.bad == 0 {
			break
		}
		without = r.others(all, without)
		for _, f := range fractions {
			if ratio(all, base, f) > threshold && ratio(without, base, f) > threshold {
				return f, true
			}
		}
	}
	return 0, false
}

// busy returns the routes that have traffic. Those with few requests count for quietTime after
// the last one: they can give no more evidence when nothing comes any more.
func (r *Rollout) busy(now fleet.Instant) []*evidence {
	var list []*evidence
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
		all, _, _ := e.sums(e.slices)
		if e.seen > rareRoute && all.n < least {
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
	threshold := math.Log(errorRate)
	evident := false
	for _, e := range routes {
		all, without, base := e.sums(e.slices)
		if e.seen <= rareRoute && len(routes) > 1 {
			if all.n < min(rareLeast, e.seen/3) || ratio(all, base, fractions[0]) > 0 && (without.n == 0 || ratio(without, base, fractions[0]) > 0) {
				return false
			}
			continue
		}
		fraction := r.provable(len(routes), base)
		if lastChance {
			fraction = max(fraction, largestProvable(base))
		}
		if ratio(all, base, fraction) > threshold && ratio(without, base, fraction) > threshold || r.faultyUnderLoad(e) {
			return false
		}
		evident = true
	}
	return evident
}

// loadedShare times the load of an old target without the new ones is that from which the responses of a new
// one are evidence under load.
const loadedShare = 0.6

// faultyUnderLoad reports whether the last step shows a fault on a route, and the responses under load do not refute
// that it is the version's. Such a fault may by chance hit one target first, which then takes no more
// part. What is left of the exposure is too small to load another target as much, so that
// many responses without load would hide the few bad ones.
func (r *Rollout) faultyUnderLoad(e *evidence) bool {
	var step, loaded []*slice
	for _, s := range e.slices {
		if s.start < r.loadedAt {
			continue
		}
		requests := s.old.n
		for _, t := range s.new {
			requests += t.n
		}
		under := &slice{start: s.start, old: s.old, new: make(map[fleet.TargetID]tally)}
		for id, t := range s.new {
			if float64(t.n*max(1, len(r.old))) >= loadedShare*float64(requests) {
				under.new[id] = t
			}
		}
		step, loaded = append(step, s), append(loaded, under)
	}
	all, _, base := e.sums(step)
	if !slices.ContainsFunc(fractions, func(f float64) bool { return ratio(all, base, f) > limitRatio }) {
		return false
	}
	all, without, base := e.sums(loaded)
	return ratio(r.others(all, without), base, largestProvable(base)) > math.Log(errorRate)
}

// largestProvable returns the fraction that has to be refuted, however small the exposure is.
func largestProvable(base float64) float64 {
	if base >= highRate {
		return fractions[len(fractions)-1]
	}
	return maxFraction
}

// provable returns the smallest fraction that the exposure of a route can refute.
func (r *Rollout) provable(routes int, base float64) float64 {
	const spare = 1.3 // since responses vary, and some routes have fewer
	responses := float64(r.limit()) / float64(routes)
	for _, f := range fractions {
		// The expected logarithm of the likelihood ratio of a response of a good version.
		step := base*math.Log((base+f*(1-base))/base) + (1-base)*math.Log(1-f)
		if f >= maxFraction && base < highRate || spare*math.Log(errorRate)/step <= responses {
			return f
		}
	}
	return fractions[len(fractions)-1]
}

// maxFraction is the largest fraction that has to be refuted, however small the exposure is,
// unless the old version's own rate of bad responses is above highRate.
const (
	maxFraction = 0.25
	highRate    = 0.05
)

// Evidence describes the evidence by route, for the log.
func (r *Rollout) Evidence() string {
	var list []string
	for name, e := range r.routes {
		all, _, _ := e.sums(e.slices)
		old := e.old()
		list = append(list, fmt.Sprintf("%s: new %d of %d bad, old %d of %d", name, all.bad, all.n, old.bad, old.n))
	}
	slices.Sort(list)
	return strings.Join(list, "; ")
}
