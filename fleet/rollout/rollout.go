// Package rollout decides how much traffic of a service goes to a new version of its targets'
// software, and whether that version replaces the old one.
//
// An order names the service, the version and a duration. The roll-out passes through stages:
//
//   - Canary: the new version gets a share of the requests, in steps of 1, 3 and 9 tenths of the
//     exposure that the bounds allow, and at last all of it at the load that old targets bear.
//   - Promoted: new requests go to the new version first, old targets finish theirs.
//   - Completed: the old targets get nothing more, and stop.
//   - RolledBack: the new version gets nothing more.
//
// Invariants:
//
//   - Exposure is reserved in the record before it is used, and counts as used once it is
//     reserved. A planner that takes over starts from the reserved exposure, so that planners
//     that fail one after another stay within the bounds together.
//   - A stage is in effect once its record is written, but a version that was found to be bad gets
//     nothing from that moment on.
//   - RolledBack is final until there is a new order. Too little evidence ends in RolledBack.
//   - A version that did not replace the old one is barred under later orders to other versions.
//
// Load patterns: a version is bad at once, after some seconds, under load only, on one route only,
// by failures of a part of its responses or by slowness; one of its targets is bad while the version
// is good; an outage fails requests of both versions; old targets fail as often as new ones;
// there is little traffic, or none on some routes.
//
// A Rollout has no clock and does no I/O. It is not safe for concurrent use. The verdict is in verdict.go, its
// statistics are in package evidence.
package rollout

import (
	"math"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/rollout/evidence"
	"hibiscuslb/fleet/route"
)

// An Order requests that the traffic of a service moves to a version.
type Order struct {
	Service  route.ServiceID
	To       fleet.Software
	Duration time.Duration
}

// Bounds limit what a bad version may get.
type Bounds struct {
	Share    float64       // of the requests of the service between the order and its end
	Slack    int           // requests in addition
	Rollback time.Duration // from the 50th bad response to the last request
}

// Enabled reports whether there are roll-outs at all.
func (b Bounds) Enabled() bool { return b.Share > 0 }

// Stage is the stage of a roll-out.
type Stage uint8

// The stages of a roll-out. Canary consists of the steps of the type step.
const (
	Canary Stage = iota
	Promoted
	Completed
	RolledBack
)

// String returns the name of the stage in logs and metrics.
func (s Stage) String() string {
	return [...]string{"Canary", "Promoted", "Completed", "RolledBack"}[min(s, RolledBack)]
}

// Final reports whether the stage ends the roll-out.
func (s Stage) Final() bool { return s == Completed || s == RolledBack }

// Result is the result of a response.
type Result uint8

// The results of a response.
const (
	Good Result = iota
	Bad
)

// step is a step of the stage Canary.
type step struct {
	share float64 // of the exposure that depends on the traffic
	slack float64 // of the exposure that does not
	from  float64 // earliest begin, as a share of the duration
	least int     // responses on each busy route that the step before needs
}

// steps are those of the stage Canary. The slack is mainly kept for the last one, so that few
// targets get the load of old ones although the share of the traffic is small.
var steps = []step{
	{share: 0.1, slack: 0.1},
	{share: 0.3, slack: 0.15, from: 0.08, least: 2},
	{share: 0.9, slack: 0.2, from: 0.2, least: 5},
	{share: 1, slack: 1, from: 0.45, least: 5},
}

const (
	// promoteFrom and promoteUntil bound the promotion, as shares of the duration. It comes as late as
	// old targets can still finish their requests, since a version may become bad late; after
	// promoteUntil it is too late.
	promoteFrom, promoteUntil = 0.55, 0.85
	// promotedFor is the least time from the promotion to the completion, as a share of the duration.
	promotedFor = 0.1
	// endMargin is the time before the end of the duration at which the last status has to be
	// written: two writes to a slow store.
	endMargin = 700 * time.Millisecond
	// drainTime is the time before endMargin in which old targets get no new requests.
	drainTime = 1500 * time.Millisecond
	// badLimit is the number of bad responses at which the new version gets nothing until the
	// verdict. Ten more may be under way before the fiftieth.
	badLimit = 40
	// reserveAhead is for how long reserved exposure has to last: one write a second.
	reserveAhead = 2500 * time.Millisecond
	minReserve   = 5
	// writeInterval is the shortest time between two records that only reserve exposure.
	writeInterval = time.Second
	// minTargets is the number of new targets that take part if there are as many, so that a
	// bad target can be told from a bad version.
	minTargets = 2
	// loadFactor times the load of an old target is the highest of a new one.
	loadFactor = 1.1
)

// change is a change of the stage.
type change struct {
	stage  Stage
	reason string
}

// A Rollout is the state of one service's roll-out on the planner.
type Rollout struct {
	Order  Order
	Bounds Bounds
	began  fleet.Instant
	epoch  fleet.Epoch

	stored    Record // that the store holds
	confirmed bool   // stored was written by this planner
	writing   bool
	lastWrite fleet.Instant
	next      *change // to be written as soon as possible

	step     int
	used     int // exposure; at least what other planners reserved
	seen     int
	badTotal int
	badCheck int  // bad responses at which the verdict is due
	bad      bool // found to be bad, maybe not yet written

	routes     map[string]*routeState
	targets    evidence.Targets       // new ones
	sentTo     map[fleet.TargetID]int // requests on new ones
	old, new   []fleet.TargetID
	nextSend   fleet.Instant // to the new version, at the pace of the step
	longest    time.Duration // that a request on an old target took
	arrivals   evidence.Window
	loadedAt   fleet.Instant // when the last step began
	promotedAt fleet.Instant
	oldLostAt  fleet.Instant // when requests on old targets were last lost sight of
	withdrawn  bool          // the order was deleted
	inherited  bool          // the version was promoted by another planner, whose requests this one does not know
	checkedAt  fleet.Instant
	dirty      bool // a bad response came since the last verdict
}

// Begin returns the roll-out of an order that was written age ago. Stored is the last record of
// the order, or nil.
func Begin(now fleet.Instant, order Order, bounds Bounds, epoch fleet.Epoch, age time.Duration, stored *Record) *Rollout {
	r := &Rollout{Order: order, Bounds: bounds, epoch: epoch, badCheck: badLimit, routes: make(map[string]*routeState), targets: make(evidence.Targets), sentTo: make(map[fleet.TargetID]int)}
	r.stored.Order = order
	switch {
	case stored == nil:
	case stored.Order != order:
		r.stored.Barred = stored.barredUnder(order.To)
	case stored.Withdrawn:
		r.stored.Sequence, r.stored.Barred = stored.Sequence, stored.Barred
	default:
		r.stored = *stored
	}
	r.began = now.Add(-max(age, r.stored.Elapsed))
	r.used, r.seen, r.badTotal = r.stored.Reserved, r.stored.Seen, r.stored.Bad
	r.inherited = r.stored.Stage == Promoted
	return r
}

// Stage returns the stage that is in effect.
func (r *Rollout) Stage() Stage { return r.stored.Stage }

// Exposure returns the requests that the new version may have got while it was on trial.
func (r *Rollout) Exposure() int { return r.used }

// BadResponses returns the bad responses of the new version that this planner knows of.
func (r *Rollout) BadResponses() int { return r.badTotal }

// Share returns the share of the traffic that the new version may get.
func (r *Rollout) Share() float64 {
	switch {
	case r.stopped() || r.stored.Stage == RolledBack:
		return 0
	case r.stored.Stage == Canary:
		return steps[r.step].share * r.Bounds.Share
	}
	return 1
}

// stopped reports whether the new version gets nothing until the verdict.
func (r *Rollout) stopped() bool { return r.bad || r.badTotal >= r.badCheck }

// SetTargets sets the usable targets of the service.
func (r *Rollout) SetTargets(old, new []fleet.TargetID) {
	slices.Sort(old)
	slices.Sort(new)
	r.old, r.new = old, new
}

// Actions are what a Tick requires.
type Actions struct {
	Record *Record // to write; Written or WriteFailed must be called then
}

// Tick returns what has to be done. OldActive is the number of requests on old targets.
func (r *Rollout) Tick(now fleet.Instant, oldActive int) Actions {
	r.judge(now)
	r.advance(now, oldActive)
	record := r.stored
	switch {
	case r.writing:
		return Actions{}
	case r.next != nil:
		record.Stage, record.Reason = r.next.stage, r.next.reason
	case r.stored.Stage == Canary && !r.stopped() && (!r.confirmed || now.Sub(r.lastWrite) >= writeInterval):
		need := min(int(r.budget())+1, r.used+max(minReserve, int(math.Ceil(r.pace(now)*reserveAhead.Seconds()))))
		record.Reserved = max(record.Reserved, min(r.limit(), need))
		if r.confirmed && (record.Reserved == r.stored.Reserved || r.stored.Reserved-r.used > (need-r.used)/2) {
			return Actions{}
		}
	default:
		return Actions{}
	}
	record.Epoch, record.Seen, record.Bad, record.Elapsed = r.epoch, r.seen, r.badTotal, now.Sub(r.began)
	record.Sequence, record.Withdrawn = r.stored.Sequence+1, r.Withdrawn()
	r.writing, r.lastWrite = true, now
	return Actions{Record: &record}
}

// Written records that the store holds the record, which is in effect from now on. A completion
// is not followed by a roll-back, since the platform may have stopped the old targets.
func (r *Rollout) Written(now fleet.Instant, record Record) {
	r.writing, r.confirmed = false, true
	if record.Stage == Promoted && r.stored.Stage == Canary {
		r.promotedAt = now
	}
	if r.next != nil && (r.next.stage == record.Stage || record.Stage == Completed) {
		r.next = nil
	}
	r.stored = record
	r.rewriteWithdrawal()
}

// rewriteWithdrawal makes the withdrawal due if the store has a record of the end without it.
func (r *Rollout) rewriteWithdrawal() {
	if r.withdrawn && r.next == nil && r.stored.Stage.Final() && !r.stored.Withdrawn {
		r.setNext(r.stored.Stage, withdrawnReason)
	}
}

// WriteFailed records that a record was not written, or that this is not known. If the store is
// known to hold another one, it is passed as found.
func (r *Rollout) WriteFailed(now fleet.Instant, found *Record) {
	r.writing = false
	switch {
	case found != nil && found.Order != r.Order:
		r.stored.Barred = found.barredUnder(r.Order.To) // the record was not known at the begin
	case found == nil || !found.Newer(r.stored):
	case found.Epoch == r.epoch:
		r.Written(now, *found) // the answer to an earlier write was lost
	default:
		// Another planner may have used what it had reserved, beside what this one has used.
		r.used += max(0, found.Reserved-r.stored.Reserved)
		r.stored, r.confirmed = *found, false
		if found.Stage == Completed || found.Stage != Canary && !r.bad {
			r.next = nil
			r.rewriteWithdrawal()
		}
	}
}

// Barred returns the versions of earlier orders that must get no new request or stream now.
func (r *Rollout) Barred(has Has) []fleet.Software {
	return barredWhile(r.stored.Stage, r.Order.To, r.stored.Barred, has)
}

// Alone reports whether the service has targets of the ordered version, and none that it could replace.
func (r *Rollout) Alone(has Has) bool {
	return has(func(s fleet.Software) bool { return s == r.Order.To }) && !has(established(r.Order.To, r.stored.Barred))
}

// Idle reports whether the roll-out has ended and there is nothing to write.
func (r *Rollout) Idle() bool { return r.stored.Stage.Final() && r.next == nil && !r.writing }

// Settle records that the order has ended already, as its status says.
func (r *Rollout) Settle(stage Stage, reason string) {
	if !r.stored.Stage.Final() && r.next == nil {
		r.setNext(stage, reason)
	}
}

// Completing reports whether the version replaces the old one although the store does not have the completion yet,
// since there was nothing to compare it with.
func (r *Rollout) Completing() bool {
	return r.stored.Stage == Canary && r.next != nil && r.next.stage == Completed
}

// Rewrite writes what is known again, since the store has lost it.
func (r *Rollout) Rewrite() {
	if r.next == nil {
		r.setNext(r.stored.Stage, r.stored.Reason)
	}
}

// Last returns the last record that the store is known to have held.
func (r *Rollout) Last() Record { return r.stored }

const withdrawnReason = "the order was deleted"

// Withdraw records that the order was deleted. A roll-out that has not ended does so in favour of
// the old version.
func (r *Rollout) Withdraw() {
	switch {
	case r.withdrawn:
		return
	case !r.stored.Stage.Final():
		r.reject(withdrawnReason)
	case r.next == nil && !r.stored.Withdrawn:
		r.setNext(r.stored.Stage, withdrawnReason)
	}
	r.withdrawn = true
}

// Withdrawn reports whether the order was deleted.
func (r *Rollout) Withdrawn() bool { return r.withdrawn || r.stored.Withdrawn }

// reject finds the version bad.
func (r *Rollout) reject(reason string) {
	if !r.bad {
		r.bad = true
		r.setNext(RolledBack, reason)
	}
}

func (r *Rollout) setNext(stage Stage, reason string) {
	r.next = &change{stage, reason}
}

// advance decides on steps and stages.
func (r *Rollout) advance(now fleet.Instant, oldActive int) {
	age := now.Sub(r.began)
	if r.bad || r.next != nil || r.stored.Stage.Final() {
		return
	}
	switch r.stored.Stage {
	case Canary:
		for r.step < len(steps)-1 && age >= r.part(steps[r.step+1].from) && (r.sampled(now, steps[r.step+1].least) || r.step == len(steps)-2) {
			r.step++
			r.loadedAt = now
		}
		switch {
		case now >= r.promotion() && r.step == len(steps)-1 && r.checkDue(now) && r.accepted(now, age >= r.part(promoteUntil-0.05)):
			r.setNext(Promoted, "the new version is as good as the old one: "+r.Evidence())
		case age >= r.part(promoteUntil):
			r.reject("too little evidence: " + r.Evidence())
		}
	case Promoted:
		// Requests that others sent to old targets take no longer than the longest known.
		wait := max(r.part(promotedFor), r.longest+r.longest/4)
		idle := oldActive == 0 && !r.inherited && now.Sub(max(r.promotedAt, r.oldLostAt)) >= wait
		if idle || now >= r.end().Add(-endMargin) {
			r.setNext(Completed, "old targets have finished: "+r.Evidence())
		}
	}
}

// checkInterval is the time between two checks of the acceptance.
const checkInterval = 50 * time.Millisecond

func (r *Rollout) checkDue(now fleet.Instant) bool {
	if now.Sub(r.checkedAt) < checkInterval {
		return false
	}
	r.checkedAt = now
	return true
}
