package gateway

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/ingress"
	"hibiscuslb/platform"
)

// permanentStatuses holds the statuses of requests that have not run and would
// be refused for the same reason again.
var permanentStatuses = map[fleet.Reason]int{
	fleet.ReasonMalformed: http.StatusBadRequest, fleet.ReasonUnauthorized: http.StatusUnauthorized,
	fleet.ReasonUnknownRoute: http.StatusNotFound, fleet.ReasonTooLarge: http.StatusRequestEntityTooLarge,
	fleet.ReasonBodyTimeout: http.StatusRequestTimeout,
}

// closingReasons are those of refusals after which the connection can't be used again: the host
// leaves, or the rest of the request is not read.
var closingReasons = map[fleet.Reason]bool{
	fleet.ReasonHostLeaving: true, fleet.ReasonTooLarge: true, fleet.ReasonMalformed: true, fleet.ReasonBodyTimeout: true,
	fleet.ReasonHostMemory: true,
}

// refuse answers a request without the response of a target. The status tells
// whether the request may have run: 503 guarantees that it has not run and will
// not run.
func (c *call) refuse(refusal *fleet.RefusalError) {
	c.reason = refusal.Reason
	c.outcome = refusal.Outcome
	if c.headerSent || refusal.Reason == fleet.ReasonCallerDisconnected {
		// The caller has received part of a response, or has disconnected. Aborting
		// the connection is the only way to mark the response as truncated. To a caller
		// without chunks, an orderly close is the end of a complete response.
		if !c.r.ProtoAtLeast(1, 1) {
			ingress.ResetAtEnd(c.r)
		}
		c.recordEnd()
		panic(http.ErrAbortHandler)
	}
	status, ok := permanentStatuses[refusal.Reason]
	switch {
	case ok && refusal.Outcome == fleet.OutcomeNotRun:
	case refusal.Reason == fleet.ReasonDeadline:
		status = http.StatusGatewayTimeout
	case refusal.Outcome == fleet.OutcomeNotRun:
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusBadGateway
	}
	h := c.w.Header()
	platform.SetRefusalHeaders(h, c.ID, refusal.RetryAfter)
	if closingReasons[refusal.Reason] {
		h.Set("Connection", "close")
	}
	c.status = status
	c.w.WriteHeader(status)
	if refusal.Reason == fleet.ReasonHostMemory || refusal.Reason == fleet.ReasonTooLarge {
		ingress.DropBody(c.w, c.r)
	}
}

func requestHash(id fleet.RequestID) uint64 { return xxhash.Sum64String(string(id)) }
