package rollout

import (
	"math"
	"slices"
	"time"

	"hibiscuslb/fleet"
)

// Exposure: which requests go to the new version while it is on trial, and to which targets.

// Arrived records that a request has reached the service. Only first attempts count.
func (r *Rollout) Arrived(now fleet.Instant, route string) {
	r.seen++
	r.arrivals.Add(now)
	e := r.route(route)
	e.seen, e.lastSeen = e.seen+1, now
}

// Returned records that a request that had arrived was not run.
func (r *Rollout) Returned(route string) {
	r.seen--
	r.route(route).seen--
}

// Sent records that a request was sent to the new version.
func (r *Rollout) Sent(now fleet.Instant, route string, target fleet.TargetID) {
	if r.stored.Stage != Canary {
		return
	}
	r.used++
	r.sentTo[target]++
	r.route(route).sent++
	gap := time.Duration(float64(time.Second) / r.pace(now))
	const burst = 3 // requests, since arrivals are irregular
	r.nextSend = max(r.nextSend, now.Add(-burst*gap)).Add(gap)
}

// Allow reports whether a new request on the route goes to the new version.
func (r *Rollout) Allow(now fleet.Instant, route string) bool {
	switch {
	case r.stored.Stage == Promoted || r.stored.Stage == Completed:
		return r.AllowStream()
	case !r.AllowStream():
		return false
	}
	e, level := r.route(route), r.level()
	// A route with few requests need not wait, since it might miss its turns.
	return float64(e.sent) < level && (now >= r.nextSend || e.seen <= rareRoute && float64(2*e.sent) < level)
}

// AllowStream reports whether a stream that the new version began may go on there.
func (r *Rollout) AllowStream() bool {
	switch r.stored.Stage {
	case RolledBack:
		return false
	case Canary:
		return !r.stopped() && r.used < r.stored.Reserved
	case Completed:
		return true
	}
	return !r.stopped()
}

// AllowOld reports whether old targets may get new requests.
func (r *Rollout) AllowOld(now fleet.Instant) bool {
	switch r.stored.Stage {
	case Completed:
		return false
	case Promoted:
		return r.stopped() || now < r.end().Add(-endMargin-drainTime)
	}
	return true
}

// end returns the end of the order's duration.
func (r *Rollout) end() fleet.Instant { return r.began.Add(r.Order.Duration) }

// limit returns the exposure that the bounds allow for the requests that were seen.
func (r *Rollout) limit() int { return int(r.Bounds.Share*float64(r.seen)) + r.Bounds.Slack }

// budget returns the exposure of the step.
func (r *Rollout) budget() float64 {
	s := steps[r.step]
	return s.share*r.Bounds.Share*float64(r.seen) + s.slack*float64(r.Bounds.Slack)
}

// maxRouteShare is the largest share of the requests on a route that goes to the new version, so
// that a route with few requests gives evidence, too.
const maxRouteShare = 0.5

// level returns the exposure of each route. Routes with few requests use less, the others the
// rest.
func (r *Rollout) level() float64 {
	var most []float64
	for _, e := range r.routes {
		most = append(most, 1+maxRouteShare*float64(e.seen))
	}
	slices.Sort(most)
	left := r.budget()
	for i, m := range most {
		if equal := left / float64(len(most)-i); equal <= m {
			return equal
		}
		left -= m
	}
	return math.Inf(1)
}

// oldLoad returns the requests per second that an old target bears without the new ones.
func (r *Rollout) oldLoad(now fleet.Instant) float64 {
	if len(r.old) == 0 {
		return 0
	}
	return float64(r.arrivals.Count(now)) / float64(len(r.old))
}

// Taking returns the new targets that take part: the fewest that bear the share at the load of
// old ones, without those that fail by themselves.
func (r *Rollout) Taking(now fleet.Instant) []fleet.TargetID {
	if r.stored.Stage != Canary {
		return r.new
	}
	sound := r.sound()
	return r.balanced(sound[:min(r.wanted(now), len(sound))])
}

// sound returns the new targets that do not fail by themselves.
func (r *Rollout) sound() (list []fleet.TargetID) {
	for _, id := range r.new {
		if !r.targets.Suspect(id) {
			list = append(list, id)
		}
	}
	return list
}

// wanted returns how many new targets bear the share at the load of old ones.
func (r *Rollout) wanted(now fleet.Instant) int {
	if load := r.oldLoad(now); load > 0 {
		return max(minTargets, int(math.Ceil(r.rate(now)/load)))
	}
	return minTargets
}

// maxLead is by how many requests a new target may be ahead of another. Caches would draw all
// requests to one, and a version can't be told from a target that is bad by itself.
const maxLead = 4

// balanced returns the targets that have not got many more requests than the others.
func (r *Rollout) balanced(targets []fleet.TargetID) []fleet.TargetID {
	if len(targets) == 0 {
		return nil
	}
	least := r.sentTo[targets[0]]
	for _, id := range targets {
		least = min(least, r.sentTo[id])
	}
	return slices.DeleteFunc(targets, func(id fleet.TargetID) bool { return r.sentTo[id] > least+maxLead })
}

// participants returns the number of new targets that take part.
func (r *Rollout) participants(now fleet.Instant) int { return min(r.wanted(now), len(r.sound())) }

// rate returns the requests per second that the step gives the new version. The last step uses
// what is left until the promotion.
func (r *Rollout) rate(now fleet.Instant) float64 {
	share := steps[r.step].share * r.Bounds.Share * float64(r.arrivals.Count(now))
	if r.step < len(steps)-1 {
		return share
	}
	return share + (r.budget()-float64(r.used))/max(0.5, r.promotion().Sub(now).Seconds())
}

// pace returns the highest rate of requests to the new version. In the last step its targets get
// the load of old ones, for as long as there is exposure left.
func (r *Rollout) pace(now fleet.Instant) float64 {
	const catchUp, least = 1.5, 2
	if r.step < len(steps)-1 {
		return max(least, catchUp*r.rate(now))
	}
	return max(least, loadFactor*r.oldLoad(now)*float64(r.participants(now)))
}

// promotion returns when the version is promoted if it is good: old targets then have the time
// that their longest request took.
func (r *Rollout) promotion() fleet.Instant {
	latest := r.Order.Duration - endMargin - r.longest - r.longest/4
	return r.began.Add(min(max(latest, r.part(promoteFrom)), r.part(promoteUntil-promotedFor)))
}

// part returns a share of the duration.
func (r *Rollout) part(share float64) time.Duration {
	return time.Duration(share * float64(r.Order.Duration))
}

// OldEnded records how long a request on an old target took.
func (r *Rollout) OldEnded(took time.Duration) { r.longest = max(r.longest, took) }

// OldLost records that the planner has lost sight of requests on old targets, which may still run.
func (r *Rollout) OldLost(now fleet.Instant) { r.oldLostAt = now }

// Undecided reports whether the version may get more requests later.
func (r *Rollout) Undecided() bool { return r.stored.Stage != RolledBack && !r.bad }
