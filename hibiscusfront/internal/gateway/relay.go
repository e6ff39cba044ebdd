package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/platform"
)

// maxBufferedBody is the longest response body in bytes that is read completely
// before its header is sent to the caller. Until then a truncated response can
// still be retried or replaced by an error status.
const maxBufferedBody = 64 << 10

// relay relays the target's response to the caller. It reports whether the
// request should be sent to another target.
func (c *call) relay(g *plan.Grant, exchange *backend.Exchange) (retry bool, refusal *fleet.RefusalError) {
	success := exchange.Status < http.StatusMultipleChoices
	if c.route.Kind == route.Streaming && success {
		return c.relayStream(g, exchange)
	}
	if c.headerSent {
		// The target that should resume the stream answered with an error.
		return c.targetFailed(g, &platform.StatusError{Address: g.Address, Path: cutForLog(c.r.URL.Path), Status: exchange.Status})
	}
	hold := holding.Hold{Budget: c.Pool.Budget, Free: relayBufferSize}
	defer hold.Release()
	body, whole, err := readStart(exchange, &hold)
	if err != nil {
		return c.targetFailed(g, err)
	}
	c.firstByte = time.Since(c.start)
	if exchange.Status >= http.StatusInternalServerError {
		c.report(plan.ServerError)
		if c.mayRepeat() {
			c.logFailedAttempt(g, "target answered with a server error; trying another target", nil)
			return true, nil
		}
	}
	c.copyHeader(exchange)
	if whole {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(exchange.Status)
	if _, err := c.w.Write(body); err != nil {
		return false, c.abandon()
	}
	hold.Release()
	if !whole {
		return c.relayRest(g, exchange, nil)
	}
	if exchange.Status < http.StatusInternalServerError {
		c.report(plan.Done)
	}
	c.outcome = fleet.OutcomeRan
	return false, nil
}

// readStart reads a body, or the start of one that is not shorter than maxBufferedBody or that
// the hold does not allow.
func readStart(body io.Reader, hold *holding.Hold) (start []byte, whole bool, err error) {
	const firstSize = 1 << 10
	buffer := make([]byte, 0, firstSize)
	for {
		if len(buffer) == cap(buffer) {
			if cap(buffer) >= maxBufferedBody || hold.Keep(2*cap(buffer)) != nil {
				return buffer, false, nil
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// copyHeader copies the header of the target's response to the caller's.
func (c *call) copyHeader(exchange *backend.Exchange) {
	platform.CopyResponseHeaders(c.w.Header(), exchange.Header)
	c.headerSent = true
	c.status = exchange.Status
}

// abandon reports the grant as abandoned after a write to the caller failed.
func (c *call) abandon() *fleet.RefusalError {
	c.report(plan.Abandoned)
	return &fleet.RefusalError{Reason: fleet.ReasonCallerDisconnected, Outcome: fleet.OutcomeRan}
}

// relayBufferSize is the size in bytes of the buffer for relaying a response body.
const relayBufferSize = 8 << 10

// relayRest relays the rest of a response whose header has been sent to the
// caller. Events scans a stream; it is nil for other responses.
func (c *call) relayRest(g *plan.Grant, exchange *backend.Exchange, events *eventScanner) (retry bool, refusal *fleet.RefusalError) {
	flusher := http.NewResponseController(c.w)
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := exchange.Read(buffer)
		if n > 0 {
			c.recordFirstByte()
			if events != nil {
				events.scan(buffer[:n])
			}
			if _, err := c.w.Write(buffer[:n]); err != nil {
				return false, c.abandon()
			}
			if err := flusher.Flush(); err != nil {
				return false, c.abandon()
			}
		}
		if errors.Is(err, io.EOF) && events != nil {
			if truncated := events.checkEnd(exchange.Framing); truncated != nil {
				err = truncated
			}
		}
		if errors.Is(err, io.EOF) {
			c.report(plan.Done)
			c.outcome = fleet.OutcomeRan
			return false, nil
		}
		if err != nil {
			_, refusal = c.targetFailed(g, err)
			if refusal == nil {
				refusal = &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown}
			}
			return false, refusal
		}
	}
}

// recordFirstByte records the time to the first bytes of the body and reports that
// the response has started.
func (c *call) recordFirstByte() {
	if c.firstByte == 0 {
		c.firstByte = time.Since(c.start)
		c.report(plan.Started)
		c.recordReplacedStart()
	}
}

// relayStream relays a stream as it arrives. On a resumable route it relays only
// complete events, so that another target can resume after the last one. A stream
// that ends inside an event was broken off, even if its target ended it properly.
func (c *call) relayStream(g *plan.Grant, exchange *backend.Exchange) (retry bool, refusal *fleet.RefusalError) {
	if !c.headerSent {
		c.copyHeader(exchange)
		c.w.WriteHeader(exchange.Status)
	}
	if !c.route.Resumable {
		return c.relayRest(g, exchange, new(eventScanner))
	}
	flusher := http.NewResponseController(c.w)
	buffer := make([]byte, relayBufferSize)
	splitter := eventSplitter{hold: holding.Hold{Budget: c.Pool.Budget, Free: relayBufferSize}}
	defer splitter.hold.Release()
	for {
		n, err := exchange.Read(buffer)
		complete, splitErr := splitter.add(buffer[:n])
		if splitErr != nil {
			return c.targetFailed(g, splitErr)
		}
		if len(complete) > 0 {
			c.recordFirstByte()
			c.streamed, c.software = true, g.Software
			if _, err := c.w.Write(complete); err != nil {
				return false, c.abandon()
			}
			if err := flusher.Flush(); err != nil {
				return false, c.abandon()
			}
			if splitter.lastID != "" {
				c.LastEvent = splitter.lastID
			}
		}
		if errors.Is(err, io.EOF) {
			if err := splitter.checkEnd(exchange.Framing); err != nil {
				return c.targetFailed(g, err)
			}
			c.report(plan.Done)
			c.outcome = fleet.OutcomeRan
			return false, nil
		}
		if err != nil {
			return c.targetFailed(g, err)
		}
	}
}
