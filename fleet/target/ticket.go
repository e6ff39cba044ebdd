package target

import (
	"time"

	"hibiscuslb/fleet"
)

// TicketID identifies a request at one admission point.
type TicketID uint64

// RunID identifies a request at its target. It is unique across owners.
type RunID string

// Ticket describes a request that asks for admission.
type Ticket struct {
	ID        TicketID
	Run       RunID // empty if the target does not report its runs
	Workspace fleet.WorkspaceID
	Class     fleet.Class
	Priority  int           // smaller values are more urgent
	Deadline  fleet.Instant // for the first token; zero for no deadline
	Work      time.Duration // time that the target needs before the first token
	MaxWait   time.Duration // longest acceptable wait in this queue; zero for no limit
	arrived   fleet.Instant
}

// Action tells what happens to a request that was offered.
type Action uint8

const (
	// ActionAdmit means that the request may be sent to the target now.
	ActionAdmit Action = iota
	// ActionQueue means that the request waits until a later QueueChange admits
	// it or reports it as expired.
	ActionQueue
	// ActionRefuse means that the request is refused. It has not run.
	ActionRefuse
)

// Decision is the result of Offer.
type Decision struct {
	Action Action
	Reason fleet.Reason  // set if the request is refused
	Wait   time.Duration // estimated wait; of a refused request, when to retry
}

// QueueChange lists the tickets that left the queue.
type QueueChange struct {
	Admitted []Ticket
	Expired  []Ticket // could not meet their deadline any more, or were replaced by a more urgent one
}

// Result tells how a request ended at the target.
type Result uint8

const (
	// ResultComplete means that the answer arrived with its end mark.
	ResultComplete Result = iota
	// ResultIncomplete means that the answer ended without its end mark, or that
	// the request failed.
	ResultIncomplete
	// ResultNotRun means that the target did not run any part of the request.
	ResultNotRun
	// ResultCancelled means that the caller disconnected.
	ResultCancelled
)
