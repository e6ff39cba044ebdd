package gateway

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/platform"
)

// statuses are the answers to requests that have not run for a reason that does
// not pass.
var statuses = map[fleet.Reason]int{
	fleet.ReasonMalformed: http.StatusBadRequest, fleet.ReasonUnauthorized: http.StatusUnauthorized,
	fleet.ReasonUnknownRoute: http.StatusNotFound, fleet.ReasonTooLarge: http.StatusRequestEntityTooLarge,
}

// refuse answers a request that gets no answer of a target. The status says
// whether it may have run: 503 promises that it has not and never will.
func (c *call) refuse(refusal *fleet.RefusalError) {
	c.reason = refusal.Reason
	c.outcome = refusal.Outcome
	if c.started || refusal.Reason == fleet.ReasonCallerDisconnected {
		// Part of an answer is with the caller, or nobody reads it. Breaking
		// the connection off is the one way to say that the answer ends here.
		c.end()
		panic(http.ErrAbortHandler)
	}
	status, ok := statuses[refusal.Reason]
	switch {
	case ok && refusal.Outcome == fleet.NotRun:
	case refusal.Reason == fleet.ReasonDeadline:
		status = http.StatusGatewayTimeout
	case refusal.Outcome == fleet.NotRun:
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusBadGateway
	}
	h := c.w.Header()
	platform.RefuseHeaders(h, c.ID, refusal.RetryAfter)
	if refusal.Reason == fleet.ReasonHostLeaving || refusal.Reason == fleet.ReasonTooLarge || refusal.Reason == fleet.ReasonMalformed {
		h.Set("Connection", "close")
	}
	c.status = status
	c.w.WriteHeader(status)
}

func requestHash(id fleet.RequestID) uint64 { return xxhash.Sum64String(string(id)) }
