package plan

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/shelf"
)

// Engines start what they are sent in order of urgency, but what they have is
// theirs: it can not be taken back and given to another. So a request that no
// engine can start soon waits with the planner, for an eighth of its objective
// at most, and goes to the first engine that has room. What can not be begun by
// then is refused at once, with the time at which room is expected.
//
// The pattern that this answers: a burst beyond what the engines bear, by which
// a queue at each engine would make everybody late. Requests that can be in
// time go first, the most urgent of them first, then the one that has the least
// time left.
const (
	// waitShare of the objective is the longest wait with the planner.
	waitShare = 8
	// leastRetry and mostRetry bound the time after which a refused caller is
	// told to come back.
	leastRetry = 100 * time.Millisecond
	mostRetry  = time.Second
	// lateFactor times the objective is the latest first piece that a request
	// is accepted for: beyond it, it would only keep others late, too.
	lateFactor = 2.5
)

// MaxQueueTime is how long the request may wait with the planner.
func (r *Request) MaxQueueTime() time.Duration { return max(0, r.Objective) / waitShare }

type waiter struct {
	req   *Request
	since fleet.Instant
	until fleet.Instant
}

// Submit decides on a request. No verdict means that it waits; its verdict comes
// out of a later Tick.
func (f *Fleet) Submit(now fleet.Instant, req *Request) (Decision, bool) {
	s, ok := f.services[req.Service]
	if !ok {
		return refused(req, fleet.ReasonNoTarget, leastRetry), true
	}
	if req.Repeat {
		if !f.mayRepeat(now, s) {
			f.stats.RepeatsRefused++
			return refused(req, fleet.ReasonRetryBudget, leastRetry), true
		}
		f.stats.Repeats++
		s.repeats.add(now, f.RetryWindow)
	} else {
		s.arrived.add(now, f.RetryWindow)
	}
	if v, ok := f.try(now, req); ok {
		return v, true
	}
	f.waiting = append(f.waiting, &waiter{req, now, now.Add(req.MaxQueueTime())})
	return Decision{}, false
}

// deputyBurst is a deputy's share of the repeats that do not depend on how much
// it sees: two deputies at a time stay within what the planner leaves.
const deputyBurst = 0.15

// mayRepeat reports whether a service may get one more repeat in the window.
func (f *Fleet) mayRepeat(now fleet.Instant, s *service) bool {
	const margin = 0.7 // deputies, and hosts that reach neither, repeat, too
	burst := f.RetryBurst
	if f.Deputy {
		burst *= deputyBurst
	}
	allowed := margin * (f.RetryRatio*float64(s.arrived.count(now, f.RetryWindow)) + burst)
	return float64(s.repeats.count(now, f.RetryWindow)) < allowed
}

// try grants the request if a target can start it in time.
func (f *Fleet) try(now fleet.Instant, req *Request) (Decision, bool) {
	o, any := f.best(now, req)
	if !any && o.target == nil && !f.expected(req) {
		return refused(req, fleet.ReasonNoTarget, mostRetry/2), true
	}
	if o.target == nil {
		return Decision{}, false
	}
	if req.Objective > 0 && o.first > time.Duration(lateFactor*float64(req.Objective)) {
		return Decision{}, false
	}
	return Decision{Request: req, Grant: f.grant(now, req, &o)}, true
}

// expected reports whether a target that takes no work now may do so soon.
func (f *Fleet) expected(req *Request) bool {
	for _, t := range f.targets {
		if t.Service == req.Service && !t.Leaving && !t.evacuated && !slices.Contains(req.Avoid, t.ID) {
			return true
		}
	}
	return false
}

// grant takes the room for a request at the chosen target.
func (f *Fleet) grant(now fleet.Instant, req *Request, o *option) *Grant {
	f.next++
	t := o.target
	g := &Grant{
		Number: f.next, Target: t.ID, Address: t.Address, Service: req.Service, Rank: min(req.Rank, MaxRank),
	}
	fl := &flight{req: req, target: t, granted: now, read: o.read, first: o.first, fetch: o.moving}
	if p := req.Prompt; p != nil && t.engine() {
		g.Version = t.version(p.Model)
		g.Salt = o.chain.salt
		g.Fetch = o.fetch
		engine := t.service.spec.Engine
		for i, address := range o.fetch {
			size := engine.TokenBytes * fleet.Bytes(p.Parts[i].Tokens)
			if address != "" {
				t.link.take(now, engine.LinkRate.Time(size))
			}
			if s := f.stores[address]; s != nil {
				s.shelf.LeaseRead(now, o.chain.parts[i], now.Add(MaxFetchTime+readMargin))
				s.lane.take(now, s.spec.LinkRate.Time(size))
				if !slices.Contains(fl.from, s) {
					fl.from = append(fl.from, s)
				}
			}
		}
		if f.FetchAllowed && g.Version >= f.model(p.Model).version {
			g.Save = f.saves(now, o, p)
			for i, address := range g.Save {
				if address != "" {
					t.link.take(now, engine.LinkRate.Time(engine.TokenBytes*fleet.Bytes(p.Parts[i].Tokens)))
				}
			}
		}
		fl.parts, fl.size = o.chain.parts, p.Input+p.Output
	}
	f.stats.Grants++
	f.stats.ReadTokens += o.read
	f.stats.RereadTokens += o.again
	f.stats.FetchedTokens += o.moved
	f.stats.CachedTokens += o.kept
	t.grant(now, fl)
	if f.flights == nil {
		f.flights = make(map[GrantNumber]*flight)
	}
	f.flights[g.Number] = fl
	return g
}

const (
	// MaxRank is the least urgent rank that engines know.
	MaxRank = 9
	// readMargin covers the error of the estimate of the engines' clock.
	readMargin = 300 * time.Millisecond
)

func refused(req *Request, reason fleet.Reason, after time.Duration) Decision {
	return Decision{Request: req, Refusal: fleet.RefuseWithRetryAfter(reason, after)}
}

// Tick decides on the requests that wait.
func (f *Fleet) Tick(now fleet.Instant) []Decision {
	f.sweep(now)
	slices.SortStableFunc(f.waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.req.Rank, b.req.Rank), cmp.Compare(a.until, b.until))
	})
	var verdicts []Decision
	var left []*waiter
	for _, w := range f.waiting {
		waited := now.Sub(w.since)
		req := *w.req
		req.Objective -= waited
		req.Deadline -= waited
		if v, ok := f.try(now, &req); ok {
			v.Request = w.req
			verdicts = append(verdicts, v)
			continue
		}
		if now >= w.until {
			verdicts = append(verdicts, refused(w.req, fleet.ReasonOverloaded, f.retryAfter(now, w.req)))
			continue
		}
		left = append(left, w)
	}
	f.waiting = left
	return verdicts
}

// Cancel drops a request that waits, because its host no longer wants it.
func (f *Fleet) Cancel(req *Request) {
	f.waiting = slices.DeleteFunc(f.waiting, func(w *waiter) bool { return w.req == req })
}

// UsableTargets is how many targets of a service may be given work.
func (f *Fleet) UsableTargets(now fleet.Instant, service route.ServiceID) int {
	n := 0
	for _, t := range f.targets {
		if t.Service == service && t.usable(now) {
			n++
		}
	}
	return n
}

// QueueLen is how many requests wait.
func (f *Fleet) QueueLen() int { return len(f.waiting) }

// retryAfter is when a refused caller should find room: when the service's
// least loaded target has read what it has. Callers are spread over as much
// time again, so that they do not come back together.
func (f *Fleet) retryAfter(now fleet.Instant, req *Request) time.Duration {
	soonest := mostRetry
	for _, t := range f.targets {
		if t.Service == req.Service && t.usable(now) {
			soonest = min(soonest, t.wait(now))
		}
	}
	after := max(leastRetry, soonest)
	return min(after+after*time.Duration(req.AffinityHash()%retrySpread)/retrySpread, 2*mostRetry)
}

// retrySpread is how many steps the return of refused callers is spread over.
const retrySpread = 64

// An Eviction tells a store to free parts.
type Eviction struct {
	Address     fleet.Address
	Incarnation uint64
	Parts       []shelf.Part
}

// Evictions returns the parts that stores shall free now.
func (f *Fleet) Evictions(now fleet.Instant) []Eviction {
	var frees []Eviction
	for address, s := range f.stores {
		if parts := s.shelf.StartEvictions(now, f.stale); len(parts) > 0 {
			frees = append(frees, Eviction{address, s.shelf.Incarnation(), parts})
		}
	}
	return frees
}

// stale reports whether no request can use the part any more, since all engines
// have newer weights.
func (f *Fleet) stale(p shelf.Part) bool {
	id, version, ok := saltVersion(p.Salt)
	if !ok {
		return true // not of this system
	}
	if version >= f.model(id).version {
		return false
	}
	for _, t := range f.targets {
		if v := t.version(id); v > 0 && v <= version {
			return false
		}
	}
	return true
}

// StoreInventory returns the account of the store at the address, or nil.
func (f *Fleet) StoreInventory(address fleet.Address) *shelf.Inventory {
	if s, ok := f.stores[address]; ok {
		return &s.shelf
	}
	return nil
}

// Engines returns the entries of all model engines.
func (f *Fleet) Engines() []roster.Target {
	var result []roster.Target
	for _, t := range f.targets {
		if t.service != nil && t.engine() {
			result = append(result, t.Target)
		}
	}
	return result
}

// Stores returns the addresses of all stores.
func (f *Fleet) Stores() []fleet.Address {
	result := make([]fleet.Address, 0, len(f.stores))
	for address := range f.stores {
		result = append(result, address)
	}
	slices.Sort(result)
	return result
}
