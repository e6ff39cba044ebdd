package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/platform"
)

// shortBody is the longest answer that is read whole before its head is passed
// on, so that a broken one can be repeated, or told from a whole one.
const shortBody = 64 << 10

// pass passes an answer on to the caller.
func (c *call) pass(g *plan.Grant, exchange *backend.Exchange) (again bool, refusal *fleet.RefusalError) {
	success := exchange.Status < http.StatusMultipleChoices
	if c.route.Kind == route.Streaming && success {
		return c.passStream(g, exchange)
	}
	if c.started {
		// A stream that was to go on was refused by its next target.
		return c.broken(g, &platform.StatusError{Path: c.r.URL.Path, Status: exchange.Status})
	}
	body, err := io.ReadAll(io.LimitReader(exchange, shortBody+1))
	if err != nil {
		return c.broken(g, err)
	}
	c.first = time.Since(c.began)
	if exchange.Status >= http.StatusInternalServerError {
		c.report(plan.Failed)
		if c.mayRepeat() {
			c.decided(g, "the target answered with a failure; trying another one", nil)
			return true, nil
		}
	}
	c.head(exchange)
	if len(body) <= shortBody {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(exchange.Status)
	if _, err := c.w.Write(body); err != nil {
		return false, c.callerGone()
	}
	if len(body) > shortBody {
		return c.passRest(g, exchange)
	}
	if exchange.Status < http.StatusInternalServerError {
		c.report(plan.Done)
	}
	c.outcome = fleet.Ran
	return false, nil
}

// head passes on the head of an answer.
func (c *call) head(exchange *backend.Exchange) {
	platform.Return(c.w.Header(), exchange.Header)
	c.started = true
	c.status = exchange.Status
}

// callerGone ends a request whose caller does not read its answer.
func (c *call) callerGone() *fleet.RefusalError {
	c.report(plan.Abandoned)
	return &fleet.RefusalError{Reason: fleet.ReasonCallerDisconnected, Outcome: fleet.Ran}
}

// streamBuffer is the size of the pieces in which an answer is passed on.
const streamBuffer = 8 << 10

// passRest passes on what is left of an answer whose head is with the caller.
func (c *call) passRest(g *plan.Grant, exchange *backend.Exchange) (again bool, refusal *fleet.RefusalError) {
	flusher := http.NewResponseController(c.w)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := exchange.Read(buffer)
		if n > 0 {
			c.begun()
			if _, err := c.w.Write(buffer[:n]); err != nil {
				return false, c.callerGone()
			}
			if err := flusher.Flush(); err != nil {
				return false, c.callerGone()
			}
		}
		if errors.Is(err, io.EOF) {
			c.report(plan.Done)
			c.outcome = fleet.Ran
			return false, nil
		}
		if err != nil {
			_, refusal = c.broken(g, err)
			if refusal == nil {
				refusal = &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.Unknown}
			}
			return false, refusal
		}
	}
}

// begun notes the first piece.
func (c *call) begun() {
	if c.first == 0 {
		c.first = time.Since(c.began)
		c.report(plan.Started)
	}
}

// passStream passes a stream on as it comes. Where it may be resumed, only
// whole events are passed on, so that another target can go on after the last.
func (c *call) passStream(g *plan.Grant, exchange *backend.Exchange) (again bool, refusal *fleet.RefusalError) {
	if !c.started {
		c.head(exchange)
		c.w.WriteHeader(exchange.Status)
	}
	if !c.route.Resumable {
		return c.passRest(g, exchange)
	}
	flusher := http.NewResponseController(c.w)
	buffer := make([]byte, streamBuffer)
	var events events
	for {
		n, err := exchange.Read(buffer)
		if whole := events.add(buffer[:n]); len(whole) > 0 {
			c.begun()
			if _, err := c.w.Write(whole); err != nil {
				return false, c.callerGone()
			}
			if err := flusher.Flush(); err != nil {
				return false, c.callerGone()
			}
			if events.last != "" {
				c.LastEvent = events.last
			}
		}
		if errors.Is(err, io.EOF) {
			c.report(plan.Done)
			c.outcome = fleet.Ran
			if _, err := c.w.Write(events.rest()); err != nil {
				return false, c.callerGone()
			}
			return false, nil
		}
		if err != nil {
			return c.broken(g, err)
		}
	}
}
