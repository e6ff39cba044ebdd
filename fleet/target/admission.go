// Package target implements admission control for a back end.
//
// Each target has a single admission point in the fleet, on the host that is its
// owner; all requests to the target pass through it. An Admission holds the owner's
// state of the target: the current concurrency limit, the requests in flight and the
// queue. The limit starts at the declared cold limit. It doubles
// each time as many requests as the limit have completed successfully, up to the
// declared warm limit. It drops back to the cold limit on any sign that the
// target is cold: a new incarnation, a report with the Cold flag, or an
// incomplete answer.
//
// A new owner does not know which requests of its predecessor are still running.
// It admits nothing until it receives a report taken after the takeover, and
// counts the predecessor's requests that the report lists as in flight until
// later reports no longer list them. Likewise, a request whose caller has
// disconnected or whose connection broke counts as in flight until a report shows
// that the target no longer runs it.
//
// Invariant: an admission never raises the total of the requests in flight, the
// unconfirmed requests and the inherited requests above the limit.
//
// The queue is ordered by priority, then by the number of requests that the
// workspace has in flight, lowest first, then by arrival. It is bounded. A
// request that cannot meet its deadline is refused immediately instead of being
// queued.
//
// The package is used by hibiscusd; hibiscusfront uses package plan.
package target

import (
	"time"

	"hibiscuslb/fleet"
)

// Limits holds the declared limits of a target.
type Limits struct {
	Cold, Warm  int // requests in flight
	MaxQueueLen int // queued requests
	// MaxUnstarted bounds the requests that were sent to the target and whose
	// answer has not started; zero means no bound. An engine computes prompts one
	// after the other. Requests that wait inside the engine can no longer be
	// reordered, and the cache blocks that they need may be evicted before their
	// prompts are computed.
	MaxUnstarted int
}

// Report is the state of a target at the time TakenAt of the owner's clock.
type Report struct {
	TakenAt     fleet.Instant
	Incarnation fleet.Incarnation
	Cold        bool
	Runs        []RunID // requests that the target is working on
}

// unconfirmedRequest is a request that has ended for the owner but may still be
// running at the target.
type unconfirmedRequest struct {
	run     RunID
	endedAt fleet.Instant
}

// sentRequest is a request that was sent to the target and has not ended.
type sentRequest struct {
	run       RunID
	workspace fleet.WorkspaceID
	work      time.Duration // time that the target needs before the first token
	admitted  fleet.Instant
	started   fleet.Instant // when the first byte of the answer arrived; zero before that
}

// Admission is the state of one target's admission point. The zero value admits
// nothing; call SetLimits first. It is not safe for concurrent use.
type Admission struct {
	limits      Limits
	limit       int
	successes   int // completed requests since the limit last changed
	incarnation fleet.Incarnation
	cold        bool

	sent              map[TicketID]*sentRequest
	unconfirmed       map[TicketID]unconfirmedRequest
	finished          map[RunID]fleet.Instant // own requests that completed, with the time of completion
	sentByWorkspace   map[fleet.WorkspaceID]int
	queue             []Ticket
	inherited         int           // predecessor's requests that may still be running
	awaitingReport    bool          // no report taken after the takeover has arrived yet
	trustReportsAfter fleet.Instant // when this owner took over, plus the margin; earlier reports are not trusted
	duration          movingAverage
}

// SetLimits sets the declared limits.
func (a *Admission) SetLimits(limits Limits) {
	a.limits = limits
	a.limit = min(max(a.limit, limits.Cold), limits.Warm)
}

// TakeOver starts the admission of an owner that replaces another one. Reports
// taken before now plus margin are not trusted to list the predecessor's
// requests: the margin covers requests that it had sent and the target had not
// received yet.
func (a *Admission) TakeOver(now fleet.Instant, margin time.Duration) {
	a.trustReportsAfter = now.Add(margin)
	a.awaitingReport = true
	a.resetLimit()
}

// InFlight returns the number of requests at the target, including unconfirmed
// and inherited ones.
func (a *Admission) InFlight() int { return len(a.sent) + len(a.unconfirmed) + a.inherited }

// Limit returns the current concurrency limit.
func (a *Admission) Limit() int { return a.limit }

// QueueLen returns the number of queued requests.
func (a *Admission) QueueLen() int { return len(a.queue) }

// AtColdLimit reports whether the limit is at or below the cold limit.
func (a *Admission) AtColdLimit() bool { return a.limit <= a.limits.Cold }

// NeedsReport reports whether a new report could free capacity: the last report
// said that the target is cold, none has arrived since a takeover, or some
// requests may still be running.
func (a *Admission) NeedsReport() bool {
	return a.cold || a.awaitingReport || a.inherited > 0 || len(a.unconfirmed) > 0
}

func (a *Admission) hasCapacity() bool {
	return !a.awaitingReport && a.InFlight() < a.limit &&
		(a.limits.MaxUnstarted == 0 || a.unstartedCount() < a.limits.MaxUnstarted)
}

func (a *Admission) unstartedCount() int {
	n := 0
	for _, r := range a.sent {
		if r.started == 0 {
			n++
		}
	}
	return n
}

// Offer decides on a request that has just arrived. If the queue is full, the
// request replaces the least urgent queued request that is less urgent than itself.
// The next call of ProcessQueue reports the replaced request as expired.
func (a *Admission) Offer(now fleet.Instant, ticket Ticket) Decision {
	ticket.arrived = now
	decision := a.Preview(now, ticket)
	switch decision.Action {
	case ActionAdmit:
		a.admit(now, ticket)
	case ActionQueue:
		if len(a.queue) >= a.limits.MaxQueueLen {
			a.queue[a.leastUrgent(ticket)].Deadline = pastDeadline
		}
		a.queue = append(a.queue, ticket)
	}
	return decision
}

// Preview returns the decision that Offer would make, without a change of state.
func (a *Admission) Preview(now fleet.Instant, ticket Ticket) Decision {
	wait := a.estimate(ticket)
	switch {
	case missesDeadline(now, ticket, wait):
		return Decision{Action: ActionRefuse, Reason: fleet.ReasonDeadline, Wait: wait}
	case a.hasCapacity() && len(a.queue) == 0:
		return Decision{Action: ActionAdmit}
	case ticket.MaxWait > 0 && wait > ticket.MaxWait,
		len(a.queue) >= a.limits.MaxQueueLen && a.leastUrgent(ticket) < 0:
		return Decision{Action: ActionRefuse, Reason: fleet.ReasonOverloaded, Wait: wait}
	default:
		return Decision{Action: ActionQueue, Wait: wait}
	}
}

// missesDeadline reports whether the first token cannot arrive before the
// ticket's deadline if the request waits for the given time.
func missesDeadline(now fleet.Instant, ticket Ticket, wait time.Duration) bool {
	return ticket.Deadline != 0 && now.Add(wait+ticket.Work) > ticket.Deadline
}

// leastUrgent returns the index of the least urgent queued request that is less urgent
// than the ticket, the last one of equals, or -1 if there is none.
func (a *Admission) leastUrgent(ticket Ticket) int {
	worst := -1
	for i, waiting := range a.queue {
		if waiting.Priority > ticket.Priority && waiting.Deadline != pastDeadline &&
			(worst < 0 || waiting.Priority >= a.queue[worst].Priority) {
			worst = i
		}
	}
	return worst
}

// pastDeadline is a deadline that precedes every reading of the clock.
const pastDeadline fleet.Instant = 1

// estimate returns the time until the target starts to work on the ticket: until
// there is capacity for it, and until the work ahead of it is done. Engines
// compute prompts one after the other, so the work of the requests ahead adds up.
func (a *Admission) estimate(ticket Ticket) time.Duration {
	work := a.Backlog()
	ahead := 1 + max(0, a.InFlight()-a.limit)
	for i := range a.queue {
		if a.queue[i].Priority <= ticket.Priority {
			ahead++
			work += a.queue[i].Work
		}
	}
	if a.hasCapacity() && len(a.queue) == 0 {
		return work
	}
	return max(work, time.Duration(ahead)*a.duration.value()/time.Duration(max(1, a.limit)))
}

// Backlog returns the total work of the requests that were sent to the target and
// whose answer has not started.
func (a *Admission) Backlog() time.Duration {
	var work time.Duration
	for _, r := range a.sent {
		if r.started == 0 {
			work += r.work
		}
	}
	return work
}

// SetWork changes the estimated work of an admitted request.
func (a *Admission) SetWork(id TicketID, work time.Duration) {
	if r, ok := a.sent[id]; ok {
		r.work = work
	}
}

// EstimateWait returns the estimated wait of a request of the lowest priority.
func (a *Admission) EstimateWait() time.Duration { return a.estimate(Ticket{Priority: lowestPriority}) }

const lowestPriority = 1 << 30

func (a *Admission) admit(now fleet.Instant, ticket Ticket) {
	if a.sent == nil {
		a.sent = make(map[TicketID]*sentRequest)
		a.sentByWorkspace = make(map[fleet.WorkspaceID]int)
	}
	a.sent[ticket.ID] = &sentRequest{run: ticket.Run, workspace: ticket.Workspace, work: ticket.Work, admitted: now}
	a.sentByWorkspace[ticket.Workspace]++
}

// RecordStart records that the target, of the given incarnation, has started to
// answer a request. It returns the tickets that leave the queue.
func (a *Admission) RecordStart(now fleet.Instant, id TicketID, incarnation fleet.Incarnation) QueueChange {
	if r, ok := a.sent[id]; ok {
		r.started = now
	}
	a.observeIncarnation(incarnation)
	return a.ProcessQueue(now)
}

// Finish ends a request and returns the tickets that leave the queue. If the request
// is still queued, because its caller has disconnected, Finish removes it from there.
func (a *Admission) Finish(now fleet.Instant, id TicketID, result Result) QueueChange {
	r, ok := a.sent[id]
	if !ok {
		a.removeQueued(id)
		return a.ProcessQueue(now)
	}
	delete(a.sent, id)
	if a.sentByWorkspace[r.workspace]--; a.sentByWorkspace[r.workspace] == 0 {
		delete(a.sentByWorkspace, r.workspace)
	}
	switch result {
	case ResultComplete:
		if a.finished == nil {
			a.finished = make(map[RunID]fleet.Instant)
		}
		a.finished[r.run] = now
		a.duration.add(now.Sub(r.admitted))
		a.recordSuccess()
	case ResultIncomplete:
		a.addUnconfirmed(now, id, r)
		a.resetLimit()
	case ResultCancelled:
		a.addUnconfirmed(now, id, r)
	}
	return a.ProcessQueue(now)
}

// addUnconfirmed counts a request whose answer is no longer read as in flight until a
// report shows that it has ended.
func (a *Admission) addUnconfirmed(now fleet.Instant, id TicketID, r *sentRequest) {
	if a.unconfirmed == nil {
		a.unconfirmed = make(map[TicketID]unconfirmedRequest)
	}
	a.unconfirmed[id] = unconfirmedRequest{run: r.run, endedAt: now}
}

func (a *Admission) removeQueued(id TicketID) {
	for i, waiting := range a.queue {
		if waiting.ID == id {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
}

// ProcessQueue removes queued requests that cannot meet their deadline any more
// and admits as many of the others as there is capacity for.
func (a *Admission) ProcessQueue(now fleet.Instant) QueueChange {
	var change QueueChange
	kept := a.queue[:0]
	for _, ticket := range a.queue {
		if missesDeadline(now, ticket, 0) {
			change.Expired = append(change.Expired, ticket)
		} else {
			kept = append(kept, ticket)
		}
	}
	a.queue = kept
	for a.hasCapacity() && len(a.queue) > 0 {
		next := a.nextIndex()
		ticket := a.queue[next]
		a.queue = append(a.queue[:next], a.queue[next+1:]...)
		a.admit(now, ticket)
		change.Admitted = append(change.Admitted, ticket)
	}
	return change
}

// nextIndex returns the index of the queued ticket to admit next.
func (a *Admission) nextIndex() int {
	best := 0
	for i := range a.queue {
		if a.precedes(&a.queue[i], &a.queue[best]) {
			best = i
		}
	}
	return best
}

func (a *Admission) precedes(x, y *Ticket) bool {
	if x.Priority != y.Priority {
		return x.Priority < y.Priority
	}
	if bx, by := a.sentByWorkspace[x.Workspace], a.sentByWorkspace[y.Workspace]; bx != by {
		return bx < by
	}
	return x.arrived < y.arrived
}
