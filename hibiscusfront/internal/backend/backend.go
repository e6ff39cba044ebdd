// Package backend sends requests to targets over its own pool of HTTP/1.1
// connections.
//
// A request that may not be repeated must be sent at most once. The client of
// net/http sends some requests again by itself when a reused connection fails,
// so this package manages its own connections: it writes each request once and
// reports whether any bytes of it may have been sent.
//
// A target may send a late second response to an earlier request in place of
// the response to the current one. Responses are therefore matched by the
// request's ID before any byte of them is returned, and a connection with
// unread bytes is not reused. No ID is sent twice on a connection, and an error
// response without an ID counts only on a connection that had no request before.
// Otherwise an earlier refusal could pass for one of a request that runs.
//
// A connection is not reused after a success response without a signature, since its
// target may have lost or added other bytes as well.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/platform"
)

// A NotSentError reports that no byte of the request was sent to the target.
type NotSentError struct {
	Target fleet.TargetID
	Cause  error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("target %s: request not sent: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// A NoResponseError reports that the request may have been sent, at least in
// part, and that no valid response header was received. The target may have run
// the request.
type NoResponseError struct {
	Target fleet.TargetID
	Cause  error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("target %s: request may have been sent, no valid response: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

const (
	// dialTimeout limits a dial. A target that is up accepts a connection
	// within milliseconds.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target
	// does not announce its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that the target announces, so
	// that the target does not close the connection while a request is under way.
	idleMargin = 700 * time.Millisecond
	// sendOnceMaxIdle is how long a connection may have been idle to be used
	// for a request that may not be repeated.
	sendOnceMaxIdle = 900 * time.Millisecond
	// maxResponses is how many responses are read, interim ones and those to
	// other requests included, to find the one to the current request.
	maxResponses = 3
	// maxConnRequests is how many requests are sent on a connection. Their IDs are kept.
	maxConnRequests = 1024
	readBufferSize  = 4 << 10
	// maxSkippedBody is the longest body in bytes of a response to another
	// request that is read to get to the one after it.
	maxSkippedBody = 64 << 10
	// maxInlineBody is the longest body in bytes that is written before the
	// response is read. Socket buffers hold it even if the target does not read.
	maxInlineBody = 2 << 10
	// writeResultTimeout is how long to wait for the writer's result after the
	// complete response was received.
	writeResultTimeout = 5 * time.Millisecond
	// endTimeout is how long to wait for it where it tells whether the response is
	// complete. A target that has closed the connection ends the writer at once, one
	// that has only ended its response reads on.
	endTimeout = 2 * time.Second
)

// An Exchange is a request whose response header was received. Read returns the
// response body. Close must be called; it closes the connection unless the
// response was read to its end and passes CheckSignature.
type Exchange struct {
	Status          int
	Header          http.Header
	Answer          platform.ResponseHeaders
	Framing         Framing
	Via             fleet.HostID // that has sent the request, if another host did
	pool            *Pool
	key             poolKey
	conn            *conn
	response        *http.Response
	cancelAutoClose func() bool // after it returns true, the end of the context no longer closes conn
	complete        bool        // the response was read to its end
	end             error       // how the body ended
	writeResult     chan error
	written         bool  // the writer has ended
	writeErr        error // of the writer that has ended
	sendOnce        bool
	lastRead        atomic.Int64  // time of the sending or of the latest bytes, in nanoseconds since 1970
	hung            atomic.Bool   // EndHanging has closed conn
	relayed         io.ReadCloser // the body, if another host has sent the request; then there is no conn
}

// RelayedExchange returns the exchange of a request that the host has sent for this one. Closing it closes
// the body.
func RelayedExchange(target fleet.TargetID, via fleet.HostID, status int, header http.Header, framing Framing, body io.ReadCloser) *Exchange {
	return &Exchange{
		Status: status, Header: header, Answer: platform.DecodeResponseHeaders(status, header), Framing: framing, Via: via,
		key: poolKey{target: target}, relayed: body,
	}
}

// Send sends the request and returns when the response header was received. The
// end of the context ends the exchange, also while the body is read. An error is
// a *NotSentError or a *NoResponseError.
func (p *Pool) Send(ctx context.Context, r *Request) (*Exchange, error) {
	k := poolKey{r.Target, r.Address}
	c, err := p.connect(ctx, k, r)
	if err == nil && r.Check != nil {
		if err = r.Check(); err != nil {
			_ = c.Close()
		}
	}
	if err != nil {
		return nil, &NotSentError{r.Target, err}
	}
	c.sent = append(c.sent, idHash(r.ID))
	e := &Exchange{pool: p, key: k, conn: c, writeResult: make(chan error, 1), sendOnce: r.SendOnce}
	e.lastRead.Store(time.Now().UnixNano())
	p.begin(e)
	e.cancelAutoClose = context.AfterFunc(ctx, func() { _ = c.Close() }) // closing twice is harmless
	if r.BodyLen() <= maxInlineBody {
		e.write(ctx, r)
	} else {
		go e.write(ctx, r)
	}
	if err := e.readHeader(r); err != nil {
		err = e.explain(err)
		e.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &NoResponseError{r.Target, err}
	}
	e.lastRead.Store(time.Now().UnixNano())
	if p.Ways != nil {
		p.Ways.Answered(k.target)
	}
	return e, nil
}

// explain returns the reason why reading failed.
func (e *Exchange) explain(err error) error {
	if e.hung.Load() {
		return &HangingError{e.key.target}
	}
	return err
}

// write writes the request and sends the result to e.writeResult. With a long body
// it runs concurrently with the reading, since a target may respond before it
// has read the body.
func (e *Exchange) write(_ context.Context, r *Request) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// Writing to a bytes.Buffer never fails.
	_ = r.Header.Write(&head)
	if length := r.BodyLen(); length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", length)
	}
	head.WriteString("\r\n")
	buffers := append(net.Buffers{head.Bytes()}, r.Body...)
	_, err := buffers.WriteTo(e.conn.Conn)
	e.writeResult <- err
}

// idHash returns the hash by which a connection knows an ID.
func idHash(id fleet.RequestID) uint64 { return xxhash.Sum64String(string(id)) }

// errNoID ends a connection on which an error response without an ID may be one to an
// earlier request.
var errNoID = errors.New("an error response on a connection with earlier requests has no ID")

var errNoMatch = fmt.Errorf("none of %d responses received has the request's ID", maxResponses)

// errSkippedTooLong ends a connection on which a response to another request goes on
// for longer than its request is worth waiting for.
var errSkippedTooLong = fmt.Errorf("the body of a response to another request has more than %d bytes", maxSkippedBody)

// An InvalidStatusError reports that a target answered with a status that is none of a
// response to a request.
type InvalidStatusError struct {
	Target fleet.TargetID
	Status int
}

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("target %s: a response with the invalid status %03d", e.Target, e.Status)
}

// validStatus reports whether a response may have the status, see RFC 9110, section 15.
// No request asks to switch protocols.
func validStatus(status int) bool {
	const first, last = 100, 599
	return status >= first && status <= last && status != http.StatusSwitchingProtocols
}

// skipBody reads a body to its end.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBody+1))
	if err == nil && n > maxSkippedBody {
		return errSkippedTooLong
	}
	return err
}

// readHeader reads responses until one has the request's ID. An error response
// without an ID also counts as the response to the request, if it is the first on its
// connection.
func (e *Exchange) readHeader(r *Request) error {
	for range maxResponses {
		e.conn.head.start()
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: r.Method})
		e.conn.head.end()
		if err != nil {
			return err
		}
		switch status := response.StatusCode; {
		case !validStatus(status):
			return &InvalidStatusError{r.Target, status}
		case status < http.StatusOK:
			continue // an interim response
		}
		answer := platform.DecodeResponseHeaders(response.StatusCode, response.Header)
		withoutID := answer.ID == "" && response.StatusCode >= http.StatusBadRequest
		if withoutID && len(e.conn.sent) > 1 {
			return errNoID
		}
		if answer.ID == r.ID || withoutID {
			e.response, e.Answer = response, answer
			e.Status, e.Header, e.Framing = response.StatusCode, response.Header, framingOf(response)
			return nil
		}
		if err := skipBody(response.Body); err != nil {
			return err
		}
	}
	return errNoMatch
}

// Read reads the response body. It returns io.EOF only at the end of a complete
// response, or, if Framing is FramedByClose, when the target has closed the connection
// and has not left the request unread, see checkEnd.
func (e *Exchange) Read(buffer []byte) (int, error) {
	if e.relayed != nil {
		return e.relayed.Read(buffer)
	}
	if e.end != nil {
		return 0, e.end
	}
	n, err := e.response.Body.Read(buffer)
	if n > 0 {
		e.lastRead.Store(time.Now().UnixNano())
	}
	if errors.Is(err, io.EOF) {
		err = e.checkEnd()
		e.complete = err == io.EOF
	}
	if err != nil && !e.complete {
		err = e.explain(err)
	}
	e.end = err
	return n, err
}

// An UnreadRequestError reports that a response without a length ended before the whole
// request was written, so that it may have been cut.
type UnreadRequestError struct {
	Target fleet.TargetID
	Status int
	Cause  error // of the writer
}

func (e *UnreadRequestError) Error() string {
	return fmt.Sprintf("target %s: the connection ended a response with status %d before the request was written: %v", e.Target, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadRequestError) Unwrap() error { return e.Cause }

// checkEnd returns io.EOF if a body that ends now is complete, and else an
// *UnreadRequestError.
//
// The kernel gives the error of a reset to one call only. If the writer gets it, the
// reader gets the bytes that came before the reset and then the end of the connection.
// The writer gets EPIPE if the target had closed the connection in order before the
// reset; then the target has sent all that it meant to, unless it ended in trouble. That
// is taken for the end of an error response, since targets need not read what they
// refuse, but not of a success response to a request that the target did not read.
func (e *Exchange) checkEnd() error {
	if e.Framing != FramedByClose {
		return io.EOF
	}
	err := e.awaitWriter(endTimeout)
	if err == nil || e.Status >= http.StatusBadRequest && errors.Is(err, syscall.EPIPE) {
		return io.EOF
	}
	return &UnreadRequestError{e.key.target, e.Status, err}
}

// Close ends the exchange and returns the connection to the pool if it can be reused.
func (e *Exchange) Close() {
	if e.relayed != nil {
		_ = e.relayed.Close() // its error is that of the exchange with the other host
		return
	}
	e.pool.end(e)
	e.conn.head.hold.Release()
	if !e.cancelAutoClose() || !e.complete || len(e.conn.sent) >= maxConnRequests || e.CheckSignature() != nil || e.response.Close || e.Answer.Close || e.conn.reader.Buffered() > 0 || !e.requestSent() {
		_ = e.conn.Close() // no more data is expected on it
		return
	}
	now := time.Now()
	idle := defaultIdleTimeout
	if e.Answer.IdleTimeout > 0 {
		idle = e.Answer.IdleTimeout - idleMargin
	}
	e.conn.idleSince, e.conn.idleUntil = now, now.Add(idle)
	e.pool.putIdle(e.key, e.conn)
}

// requestSent reports whether the complete request was sent. It waits a little,
// since the response may be read before the writer has sent its result.
func (e *Exchange) requestSent() bool { return e.awaitWriter(writeResultTimeout) == nil }

// errWriting reports that the writer has not ended in time.
var errWriting = errors.New("the request is still being written")

// awaitWriter waits for the writer's result and returns its error. The end of the
// request's context ends the writer.
func (e *Exchange) awaitWriter(limit time.Duration) error {
	if e.written {
		return e.writeErr
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case e.writeErr = <-e.writeResult:
		e.written = true
		return e.writeErr
	case <-timer.C:
		return errWriting
	}
}
