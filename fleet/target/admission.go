// Package target decides how much work a back end gets at any moment.
//
// Each target has one admission point in the fleet, at its keeper. An
// Admission holds what the keeper knows: the limit that the target bears now,
// what is in flight, and what waits. The limit starts at the cold limit and
// doubles whenever as many requests as it allows have ended well; it falls
// back at once on any sign that the target is cold: a new incarnation, a
// report that says so, or a broken answer.
//
// A new keeper does not know what its predecessor left in flight. It admits
// nothing until a report that was taken after the takeover tells, and counts
// the remainder until later reports show that it has gone. In the same way it
// counts a request whose caller has left, or whose connection broke, until a
// report shows that the target has given it up.
//
// Invariant: what the keeper has in flight, what was left behind and what it
// inherited are together never raised above the limit by an admission.
//
// Waiting requests go by priority, then to the workspace with the least in
// flight, then by arrival. The queue is bounded, and a request that can not
// make its deadline is refused at once rather than kept.
package target

import (
	"time"

	"hibiscuslb/fleet"
)

// A TicketID names a request at one admission point.
type TicketID uint64

// A RunID names a request at its target, over all keepers.
type RunID string

// A Ticket asks for admission.
type Ticket struct {
	ID        TicketID
	Run       RunID // none at a target that does not report its runs
	Workspace fleet.WorkspaceID
	Class     fleet.Class
	Priority  int           // smaller goes first
	Deadline  fleet.Instant // for the first token; zero for none
	Work      time.Duration // that the target has to do before its first token
	MaxWait   time.Duration // longest wait worth its while here; zero for any
	arrived   fleet.Instant
}

// Action is the answer to a Ticket.
type Action uint8

const (
	// ActionAdmit lets the request go to the target now.
	ActionAdmit Action = iota
	// ActionQueue keeps the request until Done, Expire or Report admits or drops it.
	ActionQueue
	// ActionRefuse turns the request away; it has not run.
	ActionRefuse
)

// A Decision is a Verdict with what goes with it.
type Decision struct {
	Action Action
	Reason fleet.Reason  // of a refusal
	Wait   time.Duration // estimated; of a refusal, when to come back
}

// A QueueChange lists tickets whose wait is over.
type QueueChange struct {
	Admitted []Ticket
	Expired  []Ticket // for their deadline
}

// Result is how a request ended at the target.
type Result uint8

const (
	// ResultComplete is an answer with its end mark.
	ResultComplete Result = iota
	// ResultIncomplete is an answer that ended without its end mark, or a failure.
	ResultIncomplete
	// ResultNotRun means that the target took no part of the request.
	ResultNotRun
	// ResultCancelled means that the caller went away.
	ResultCancelled
)

// Limits are what is declared of a target.
type Limits struct {
	Cold, Warm  int
	MaxQueueLen int // requests that may wait
	// MaxUnstarted bounds the requests that the target has been sent and has not
	// begun to answer; zero for no bound. An engine computes prompts one after
	// the other: those that wait inside it can not be put in order any more,
	// and the blocks that they need are evicted by the time they are computed.
	MaxUnstarted int
}

// A Report is what a report tells of the target at the moment Taken on the
// keeper's clock.
type Report struct {
	TakenAt     fleet.Instant
	Incarnation fleet.Incarnation
	Cold        bool
	Runs        []RunID // that the target works on
}

// leftBehind is a request that ended here and may still run at the target.
type leftBehind struct {
	run RunID
	at  fleet.Instant
}

type flight struct {
	run       RunID
	workspace fleet.WorkspaceID
	work      time.Duration // that the target has to do before it answers
	admitted  fleet.Instant
	started   fleet.Instant // when the first byte of the answer came; zero if not yet
}

// An Admission is the state of one target's admission point. The zero value
// admits nothing; set its limits first. It is not safe for concurrent use.
type Admission struct {
	limits      Limits
	limit       int
	proved      int // answers that ended well since the limit last changed
	incarnation fleet.Incarnation
	cold        bool

	flights   map[TicketID]*flight
	left      map[TicketID]leftBehind
	past      map[RunID]fleet.Instant // when own requests ended well
	busy      map[fleet.WorkspaceID]int
	queue     []Ticket
	inherited int
	unproved  bool          // no report yet that was taken after the takeover
	takeover  fleet.Instant // when this keeper took over
	pace      pace
}

// SetLimits takes the declared limits.
func (a *Admission) SetLimits(limits Limits) {
	a.limits = limits
	a.limit = min(max(a.limit, limits.Cold), limits.Warm)
}

// TakeOver starts as the successor of an unknown keeper at the moment. The
// margin covers what the old keeper had sent and the target not yet received.
func (a *Admission) TakeOver(now fleet.Instant, margin time.Duration) {
	a.takeover = now.Add(margin)
	a.unproved = true
	a.fall()
}

// InFlight is how many requests are at the target, with those that were left
// behind or inherited.
func (a *Admission) InFlight() int { return len(a.flights) + len(a.left) + a.inherited }

// Limit is how many requests the target bears now, as far as is known.
func (a *Admission) Limit() int { return a.limit }

// QueueLen is how many requests wait.
func (a *Admission) QueueLen() int { return len(a.queue) }

// Cold reports whether the target bears no more than its cold limit.
func (a *Admission) Cold() bool { return a.limit <= a.limits.Cold }

// NeedsReport reports whether a new report would tell much: the last one said
// cold, none has come since a takeover, or some requests may still run.
func (a *Admission) NeedsReport() bool {
	return a.cold || a.unproved || a.inherited > 0 || len(a.left) > 0
}

func (a *Admission) room() bool {
	return !a.unproved && a.InFlight() < a.limit &&
		(a.limits.MaxUnstarted == 0 || a.unstarted() < a.limits.MaxUnstarted)
}

func (a *Admission) unstarted() int {
	n := 0
	for _, f := range a.flights {
		if f.started == 0 {
			n++
		}
	}
	return n
}

// Offer decides on a request that has arrived. A more urgent request may take
// the place of a waiting one, which the next Expire drops.
func (a *Admission) Offer(now fleet.Instant, ticket Ticket) Decision {
	ticket.arrived = now
	decision := a.Preview(now, ticket)
	switch decision.Action {
	case ActionAdmit:
		a.admit(now, ticket)
	case ActionQueue:
		if len(a.queue) >= a.limits.MaxQueueLen {
			a.queue[a.lessUrgent(ticket)].Deadline = expired
		}
		a.queue = append(a.queue, ticket)
	}
	return decision
}

// Preview returns what Offer would decide.
func (a *Admission) Preview(now fleet.Instant, ticket Ticket) Decision {
	wait := a.estimate(ticket)
	switch {
	case late(now, ticket, wait):
		return Decision{Action: ActionRefuse, Reason: fleet.ReasonDeadline, Wait: wait}
	case a.room() && len(a.queue) == 0:
		return Decision{Action: ActionAdmit}
	case ticket.MaxWait > 0 && wait > ticket.MaxWait,
		len(a.queue) >= a.limits.MaxQueueLen && a.lessUrgent(ticket) < 0:
		return Decision{Action: ActionRefuse, Reason: fleet.ReasonOverloaded, Wait: wait}
	default:
		return Decision{Action: ActionQueue, Wait: wait}
	}
}

func late(now fleet.Instant, ticket Ticket, wait time.Duration) bool {
	return ticket.Deadline != 0 && now.Add(wait+ticket.Work) > ticket.Deadline
}

// lessUrgent returns the index of the waiting request of the least priority
// below the ticket's, the last of equals, or -1.
func (a *Admission) lessUrgent(ticket Ticket) int {
	worst := -1
	for i, waiting := range a.queue {
		if waiting.Priority > ticket.Priority && waiting.Deadline != expired &&
			(worst < 0 || waiting.Priority >= a.queue[worst].Priority) {
			worst = i
		}
	}
	return worst
}

// expired is a deadline that lies before every moment of a clock.
const expired fleet.Instant = 1

// estimate returns how long it would take until the target begins to work on
// the ticket: until there is room for it, and until the work before it is done.
// Engines compute prompts one after the other, so that work adds up.
func (a *Admission) estimate(ticket Ticket) time.Duration {
	work := a.Backlog()
	ahead := 1 + max(0, a.InFlight()-a.limit)
	for i := range a.queue {
		if a.queue[i].Priority <= ticket.Priority {
			ahead++
			work += a.queue[i].Work
		}
	}
	if a.room() && len(a.queue) == 0 {
		return work
	}
	return max(work, time.Duration(ahead)*a.pace.perRequest()/time.Duration(max(1, a.limit)))
}

// Backlog is the work of the requests that the target has been sent and has
// not begun to answer.
func (a *Admission) Backlog() time.Duration {
	var work time.Duration
	for _, f := range a.flights {
		if f.started == 0 {
			work += f.work
		}
	}
	return work
}

// SetWork changes how much work an admitted request is.
func (a *Admission) SetWork(id TicketID, work time.Duration) {
	if f, ok := a.flights[id]; ok {
		f.work = work
	}
}

// EstimateWait returns the estimated wait of a request of the lowest priority.
func (a *Admission) EstimateWait() time.Duration { return a.estimate(Ticket{Priority: lowest}) }

const lowest = 1 << 30

func (a *Admission) admit(now fleet.Instant, ticket Ticket) {
	if a.flights == nil {
		a.flights = make(map[TicketID]*flight)
		a.busy = make(map[fleet.WorkspaceID]int)
	}
	a.flights[ticket.ID] = &flight{run: ticket.Run, workspace: ticket.Workspace, work: ticket.Work, admitted: now}
	a.busy[ticket.Workspace]++
}

// RecordStart notes that the target has begun to answer a request, and returns
// whose turn it is now.
func (a *Admission) RecordStart(now fleet.Instant, id TicketID, incarnation fleet.Incarnation) QueueChange {
	if f, ok := a.flights[id]; ok {
		f.started = now
	}
	a.saw(incarnation)
	return a.ProcessQueue(now)
}

// Finish ends a request and returns whose turn it is now. It also takes a
// waiting request out that its caller gave up.
func (a *Admission) Finish(now fleet.Instant, id TicketID, result Result) QueueChange {
	f, ok := a.flights[id]
	if !ok {
		a.withdraw(id)
		return a.ProcessQueue(now)
	}
	delete(a.flights, id)
	if a.busy[f.workspace]--; a.busy[f.workspace] == 0 {
		delete(a.busy, f.workspace)
	}
	switch result {
	case ResultComplete:
		if a.past == nil {
			a.past = make(map[RunID]fleet.Instant)
		}
		a.past[f.run] = now
		a.pace.note(now.Sub(f.admitted))
		a.prove()
	case ResultIncomplete:
		a.leave(now, id, f)
		a.fall()
	case ResultCancelled:
		a.leave(now, id, f)
	}
	return a.ProcessQueue(now)
}

// leave notes a request whose answer nobody follows any more.
func (a *Admission) leave(now fleet.Instant, id TicketID, f *flight) {
	if a.left == nil {
		a.left = make(map[TicketID]leftBehind)
	}
	a.left[id] = leftBehind{run: f.run, at: now}
}

func (a *Admission) withdraw(id TicketID) {
	for i, waiting := range a.queue {
		if waiting.ID == id {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
}

// ProcessQueue drops waiting requests that can not make their deadline any more and
// admits what there is room for.
func (a *Admission) ProcessQueue(now fleet.Instant) QueueChange {
	var change QueueChange
	kept := a.queue[:0]
	for _, ticket := range a.queue {
		if late(now, ticket, 0) {
			change.Expired = append(change.Expired, ticket)
		} else {
			kept = append(kept, ticket)
		}
	}
	a.queue = kept
	for a.room() && len(a.queue) > 0 {
		next := a.first()
		ticket := a.queue[next]
		a.queue = append(a.queue[:next], a.queue[next+1:]...)
		a.admit(now, ticket)
		change.Admitted = append(change.Admitted, ticket)
	}
	return change
}

// first returns the index of the ticket whose turn it is.
func (a *Admission) first() int {
	best := 0
	for i := range a.queue {
		if a.before(&a.queue[i], &a.queue[best]) {
			best = i
		}
	}
	return best
}

func (a *Admission) before(x, y *Ticket) bool {
	if x.Priority != y.Priority {
		return x.Priority < y.Priority
	}
	if bx, by := a.busy[x.Workspace], a.busy[y.Workspace]; bx != by {
		return bx < by
	}
	return x.arrived < y.arrived
}
