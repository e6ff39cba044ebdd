package plan

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/route"
)

// Admission control.
//
// An engine starts the requests that it was sent in order of urgency, but a
// request that was sent cannot be withdrawn and sent to another engine. A
// request that no engine can start soon is therefore queued at the planner, for
// at most an eighth of its objective, and sent to the first engine that has
// capacity. If none has by then, it is refused, with the time at which capacity
// is expected.
//
// This handles bursts beyond the capacity of the engines, in which a queue at
// each engine would make all requests late. The queue is ordered by rank, then
// by the end of a request's time in the queue, earliest first. A request whose
// first piece would be far too late at the target with the lowest cost is not
// granted.
//
// Streams that were broken off in a burst are taken up while all engines are full, and
// fewer engines may serve them, see origin.go. Their callers have part of the answer
// already, and most would not come back after a refusal. They are therefore considered
// before new requests of their rank, and wait for up to half of their objective. Short
// requests would take each bit of memory that becomes free, so that a long prompt never
// fits. Each of those streams therefore reserves an engine while it waits: requests of
// its rank, and less urgent ones, get nothing there.
const (
	// queueTimeDivisor divides the objective to give the longest time in the
	// planner's queue.
	queueTimeDivisor = 8
	// resumeQueueTimeDivisor does the same for a request that resumes a stream.
	resumeQueueTimeDivisor = 2
	// minRetryAfter and maxRetryAfter bound the retry time of a refused
	// request, before it is spread.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
	// maxLateFactor times the objective is the latest estimated first piece
	// for which a request is granted. A later one would only delay others.
	maxLateFactor = 2.5
)

// MaxQueueTime returns how long the request may stay in the planner's queue.
func (r *Request) MaxQueueTime() time.Duration {
	if r.Resumption.Resumes {
		return max(originLoadTime, r.Objective/resumeQueueTimeDivisor)
	}
	return max(0, r.Objective) / queueTimeDivisor
}

// queuedRequest is a request in the planner's queue.
type queuedRequest struct {
	req      *Request
	enqueued fleet.Instant
	expires  fleet.Instant
	// nextTry is when the request is considered again. It is in the future only if a
	// target had capacity, but would have started the request too late.
	nextTry fleet.Instant
	// reserved is the target that is kept for a request that resumes a stream; nil if there
	// is none.
	reserved *target
}

// lateRetryInterval is the time after which a request that would have started too late
// is considered again. The passing of time does not help it, since its objective comes
// nearer as fast as the engines read; only reports from hosts do.
const lateRetryInterval = 40 * time.Millisecond

// demand is what a request needs of a target, apart from the targets that it avoids.
type demand struct {
	service route.ServiceID
	model   fleet.ModelID
}

// demand returns what the request needs, with the cache memory that its run occupies.
func (r *Request) demand() (demand, fleet.Tokens) {
	if r.Prompt == nil {
		return demand{service: r.Service}, 0
	}
	return demand{r.Service, r.Prompt.Model}, r.Prompt.Input + r.Prompt.Output
}

// verdict is the result of an attempt to grant a request.
type verdict uint8

const (
	decided    verdict = iota // granted, or refused since no target will serve it
	noCapacity                // no target has capacity now
	tooLate                   // the best target would start the request too late
)

// Submit decides on a request. If it returns false, the request is queued and a
// later Tick returns its decision.
func (f *Fleet) Submit(now fleet.Instant, req *Request) (Decision, bool) {
	f.learnKnown(now, req)
	f.learnWaiting(req.Host, req.Waiting)
	s, ok := f.services[req.Service]
	if !ok {
		return refuse(req, fleet.ReasonNoTarget, minRetryAfter), true
	}
	switch {
	case req.Again: // it was counted when a target was chosen for it
	case req.Repeat:
		if !f.repeatAllowed(now, s) {
			f.stats.RepeatsRefused++
			return refuse(req, fleet.ReasonRetryBudget, minRetryAfter), true
		}
		f.stats.Repeats++
		s.repeats.add(now, f.RetryWindow)
	default:
		s.firstAttempts.add(now, f.RetryWindow)
	}
	decision, verdict := f.tryGrant(now, now, req.under(f.table))
	if verdict == decided {
		decision.Request = req
		return decision, true
	}
	if f.soonestWithinLimit(now, req) > req.MaxQueueTime() {
		return refuse(req, fleet.ReasonOverloaded, f.retryAfter(now, req)), true
	}
	q := &queuedRequest{req: req, enqueued: now, expires: now.Add(req.MaxQueueTime())}
	q.postpone(now, verdict)
	f.queue = append(f.queue, q)
	return Decision{}, false
}

// deputyReserveShare multiplies RetryReserve for a deputy, before margin is applied.
// The reserve does not depend on the traffic that a deputy sees. A deputy may use
// 0.7*0.15 of it, so that two at a time stay within the 0.3 that the planner leaves.
// The same holds for a planner until RetryWindow after it took over, since it does not know
// what its predecessor has granted.
const deputyReserveShare = 0.15

// repeatAllowed reports whether the retry budget of a service allows one more
// repeat in the window.
func (f *Fleet) repeatAllowed(now fleet.Instant, s *service) bool {
	const margin = 0.7 // the rest is for deputies, and for hosts that reach neither planner nor deputy
	reserve := f.RetryReserve
	if f.Deputy || now < f.reserveFrom {
		reserve *= deputyReserveShare
	}
	allowed := margin * (f.RetryRatio*float64(s.firstAttempts.count(now, f.RetryWindow)) + reserve)
	return float64(s.repeats.count(now, f.RetryWindow)) < allowed
}

// postpone sets when the request is considered again after an attempt.
func (q *queuedRequest) postpone(now fleet.Instant, v verdict) {
	if v == tooLate {
		q.nextTry = min(now.Add(lateRetryInterval), q.expires)
	}
}

// tryGrant grants the request if a target can start it in time, and refuses it if a
// part of its prompt is withheld or no target is expected to serve it. Otherwise the
// request, which came at the given time, has to wait.
func (f *Fleet) tryGrant(now, came fleet.Instant, req *Request) (Decision, verdict) {
	refusal, trial := f.checkQuarantine(now, req)
	if refusal != nil {
		return Decision{Request: req, Refusal: refusal}, decided
	}
	software, known := f.requiredSoftware(now, came, req)
	switch {
	case known:
	case f.origins.LoadPending():
		return Decision{}, noCapacity
	default:
		f.stats.UnknownOrigins++
		return refuse(req, fleet.ReasonUnknownOrigin, unknownOriginRetryAfter), decided
	}
	choices, count, wait := f.choices(now, req, software, trial)
	if count == 0 {
		if wait {
			return Decision{}, noCapacity
		}
		return refuse(req, fleet.ReasonNoTarget, maxRetryAfter/2), decided
	}
	var c candidate
	late, eligible, possible := false, false, false
	for i := range choices[:count] {
		var some bool
		c, some = f.bestCandidate(now, req, &choices[i])
		eligible = eligible || some
		late = c.target != nil && req.Objective > 0 && c.firstPiece > time.Duration(maxLateFactor*float64(req.Objective))
		if c.target != nil && !late {
			break
		}
		possible = possible || !some && c.target == nil && f.mayBecomeUsable(req, &choices[i])
	}
	if !eligible && c.target == nil && !possible {
		return refuse(req, fleet.ReasonNoTarget, maxRetryAfter/2), decided
	}
	if c.target == nil {
		return Decision{}, noCapacity
	}
	if late {
		return Decision{}, tooLate
	}
	f.quarantine.RecordSent(now, req.Fingerprint, req.Prompt)
	return Decision{Request: req, Grant: f.grant(now, req, &c)}, decided
}

// mayBecomeUsable reports whether the service has a target that may be given the
// request later, although it is not usable now.
func (f *Fleet) mayBecomeUsable(req *Request, allowed *versions) bool {
	for _, t := range f.targets {
		if t.Service == req.Service && allowed.admits(t) && !t.leaves() && !t.evacuated && !slices.Contains(req.Avoid, t.ID) {
			return true
		}
	}
	return false
}

// grant reserves the capacity for a request at the chosen target and on the links
// that its transfers use.
func (f *Fleet) grant(now fleet.Instant, req *Request, c *candidate) *Grant {
	f.lastNumber++
	t := c.target
	g := &Grant{
		Number: f.lastNumber, Target: t.ID, Address: t.Address, Service: req.Service, Rank: min(req.Rank, MaxRank),
		Limited: t.limit.Named || t.brittleness().Named, Software: t.Software,
	}
	ag := &activeGrant{req: req, target: t, software: t.Software, grantedAt: now, readTokens: c.readTokens, firstPiece: c.firstPiece, fetchTime: c.fetchTime, transfer: c.transferTime, slowdown: 1}
	if p := req.Prompt; p != nil && t.isEngine() {
		g.Version = t.version(p.Model)
		g.Salt, g.Configuration = c.chain.salt, req.Configuration
		if latest, limited := f.model(p.Model).announced.LatestStart(g.Version, f.WeightsBound); limited {
			g.StartWithin = max(1, latest.Sub(now))
		}
		if f.WeightsBound > 0 {
			g.Wait = c.firstPiece + f.hiddenWait(now, t)
		}
		g.Fetch, g.Read = c.fetch, c.readTokens
		engine := t.service.spec.Engine
		for i, address := range c.fetch {
			size := engine.TokenBytes * fleet.Bytes(p.Parts[i].Tokens)
			if address != "" {
				t.link.reserve(now, engine.LinkRate.Time(size))
			}
			if s := f.stores[address]; s != nil {
				ag.slowdown = max(ag.slowdown, s.link.slowdown(now))
				s.inventory.LeaseRead(now, c.chain.parts[i], now.Add(MaxFetchTime+clockErrorMargin))
				s.link.reserve(now, s.spec.LinkRate.Time(size))
				if !slices.Contains(ag.fetchStores, s) {
					ag.fetchStores = append(ag.fetchStores, s)
				}
			}
		}
		if f.StoresAllowed && g.Version >= f.model(p.Model).version {
			g.Save = f.chooseSaves(now, c, p)
			for i, address := range g.Save {
				if address != "" {
					t.link.reserve(now, engine.LinkRate.Time(engine.TokenBytes*fleet.Bytes(p.Parts[i].Tokens)))
				}
			}
		}
		ag.parts, ag.memory = c.chain.parts, p.Input+p.Output
		ag.leastUrgent = g.Rank >= t.service.leastUrgent
	}
	f.recordGrant(now, ag)
	f.stats.Grants++
	f.stats.ReadTokens += c.readTokens
	f.stats.RereadTokens += c.rereadTokens
	f.stats.FetchedTokens += c.fetchedTokens
	f.stats.CachedTokens += c.cachedTokens
	if t.unresponsive {
		f.recordTrial(now, req.Host)
	}
	t.addGrant(now, ag)
	if f.active == nil {
		f.active = make(map[GrantNumber]*activeGrant)
	}
	f.active[g.Number] = ag
	if req.Resumable {
		f.origins.RecordDeadline(req.Deadline)
	}
	return g
}

const (
	// MaxRank is the least urgent rank that engines support.
	MaxRank = 9
	// clockErrorMargin covers the error of the estimate of the engines' clock.
	clockErrorMargin = 300 * time.Millisecond
)

func refuse(req *Request, reason fleet.Reason, after time.Duration) Decision {
	return Decision{Request: req, Refusal: fleet.RefuseWithRetryAfter(reason, after)}
}

// Tick expires grants, records crashes of engines and returns the decisions on queued
// requests: those that a target can start now and those whose time in the queue is over.
//
// The queue is long when all targets are busy, and then to consider each request at each
// target would take all of the planner's time. Grants only take capacity away, so once
// no target had capacity for a request, none has for others that need as much.
func (f *Fleet) Tick(now fleet.Instant) []Decision {
	f.expireGrants(now)
	f.forgetObservers(now)
	f.settleCrashes(now)
	f.probeGone(now)
	slices.SortStableFunc(f.queue, func(a, b *queuedRequest) int {
		return cmp.Or(cmp.Compare(a.req.Rank, b.req.Rank), cmp.Compare(a.order(), b.order()), cmp.Compare(a.expires, b.expires))
	})
	var decisions []Decision
	var remaining []*queuedRequest
	unmet := make(map[demand]fleet.Tokens) // smallest memory for which no target has capacity
	for _, q := range f.queue {
		kind, memory := q.req.demand()
		smallest, full := unmet[kind]
		if now >= q.nextTry && !(full && memory >= smallest) {
			waited := now.Sub(q.enqueued)
			req := q.req.under(f.table)
			req.Objective -= waited
			req.Deadline -= waited
			decision, verdict := f.tryGrant(now, q.enqueued, req)
			if verdict == decided {
				decision.Request = q.req
				decisions = append(decisions, decision)
				continue
			}
			q.postpone(now, verdict)
			switch {
			case verdict != noCapacity:
			case q.req.Resumption.Resumes:
				f.reserve(now, q)
			case len(q.req.Avoid) == 0 && !f.quarantine.Suspects(q.req.Fingerprint):
				unmet[kind] = memory
			}
		}
		if now >= q.expires {
			decisions = append(decisions, refuse(q.req, fleet.ReasonOverloaded, f.retryAfter(now, q.req)))
			continue
		}
		remaining = append(remaining, q)
	}
	f.queue = remaining
	return decisions
}

// Cancel removes a request from the queue without a decision, because its host no
// longer needs one.
func (f *Fleet) Cancel(req *Request) {
	f.queue = slices.DeleteFunc(f.queue, func(q *queuedRequest) bool { return q.req == req })
}

// UsableTargets returns how many targets of a service may be given work.
func (f *Fleet) UsableTargets(now fleet.Instant, service route.ServiceID) int {
	n := 0
	for _, t := range f.targets {
		if t.Service == service && t.usable(now) {
			n++
		}
	}
	return n
}

// QueueLen returns the number of queued requests.
func (f *Fleet) QueueLen() int { return len(f.queue) }

// retryAfter returns the time until a refused request should find capacity: until
// the least loaded target of the service has read the prompts granted to it, or
// until one allows a request if all have named limits or, brittle, have turned too many away.
// Requests with different affinity hashes are spread over as much time again, so
// that they are not repeated all at once. Prompts with the same last shared part
// get the same time.
func (f *Fleet) retryAfter(now fleet.Instant, req *Request) time.Duration {
	soonest := maxRetryAfter
	for _, t := range f.targets {
		if t.Service == req.Service && t.usable(now) {
			soonest = min(soonest, t.wait(now))
		}
	}
	after := max(minRetryAfter, soonest, f.soonestWithinLimit(now, req))
	return after + after*time.Duration(req.AffinityHash()%retrySpreadSteps)/retrySpreadSteps
}

// retrySpreadSteps is the number of steps over which retry times are spread.
const retrySpreadSteps = 64
