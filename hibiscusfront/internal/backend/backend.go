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
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/hibiscusfront/internal/socket"
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
)

// A poolKey identifies the connections of one target. It includes the target's
// ID because the address of an ended target may be reassigned to another one.
type poolKey struct {
	target  fleet.TargetID
	address fleet.Address
}

// A Pool keeps idle connections to targets. The zero value is empty. It is safe
// for concurrent use.
type Pool struct {
	// Budget bounds what all exchanges keep of answers that are too long; nil for no bound.
	Budget *holding.Budget

	mu    sync.Mutex
	idle  map[poolKey][]*conn // the most recently used is the last
	Dials uint64              // guarded by mu
}

type conn struct {
	net.Conn
	reader    *bufio.Reader // reads from head
	head      headLimiter
	sent      []uint64 // hashes of the IDs of all requests sent on the connection
	idleSince time.Time
	idleUntil time.Time // when to stop using the idle connection
}

// An Exchange is a request whose response header was received. Read returns the
// response body. Close must be called; it closes the connection unless the
// response was read to its end and passes CheckSignature.
type Exchange struct {
	Status          int
	Header          http.Header
	Answer          platform.ResponseHeaders
	Framing         Framing
	pool            *Pool
	key             poolKey
	conn            *conn
	response        *http.Response
	cancelAutoClose func() bool // after it returns true, the end of the context no longer closes conn
	complete        bool        // the response was read to its end
	writeResult     chan error
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
	e := &Exchange{pool: p, key: k, conn: c, writeResult: make(chan error, 1)}
	e.cancelAutoClose = context.AfterFunc(ctx, func() { _ = c.Close() }) // closing twice is harmless
	if r.bodyLen() <= maxInlineBody {
		e.write(ctx, r)
	} else {
		go e.write(ctx, r)
	}
	if err := e.readHeader(r); err != nil {
		e.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &NoResponseError{r.Target, err}
	}
	return e, nil
}

// write writes the request and sends the result to e.writeResult. With a long body
// it runs concurrently with the reading, since a target may respond before it
// has read the body.
func (e *Exchange) write(_ context.Context, r *Request) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// Writing to a bytes.Buffer never fails.
	_ = r.Header.Write(&head)
	if length := r.bodyLen(); length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
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
		if response.StatusCode < http.StatusOK {
			continue // an interim response (1xx)
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
// response, or, if Framing is FramedByClose, when the target has closed the connection.
func (e *Exchange) Read(buffer []byte) (int, error) {
	n, err := e.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		e.complete = true
	}
	return n, err
}

// Close ends the exchange and returns the connection to the pool if it can be reused.
func (e *Exchange) Close() {
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
func (e *Exchange) requestSent() bool {
	timer := time.NewTimer(writeResultTimeout)
	defer timer.Stop()
	select {
	case err := <-e.writeResult:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (p *Pool) putIdle(k poolKey, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[poolKey][]*conn)
	}
	p.idle[k] = append(p.idle[k], c)
}

func (p *Pool) connect(ctx context.Context, k poolKey, r *Request) (*conn, error) {
	for {
		c := p.takeIdle(k, r.SendOnce)
		if c == nil {
			break
		}
		if c.usable() && !slices.Contains(c.sent, idHash(r.ID)) {
			return c, nil
		}
		_ = c.Close() // the target has closed it or sent unrequested data, or the ID was sent on it
	}
	p.mu.Lock()
	p.Dials++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout, Control: socket.BoundBuffers}
	raw, err := dialer.DialContext(ctx, "tcp", string(k.address))
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, head: headLimiter{conn: raw, hold: holding.Hold{Budget: p.Budget, Free: freeHeadBytes}}}
	c.reader = bufio.NewReaderSize(&c.head, readBufferSize)
	return c, nil
}

// takeIdle removes and returns the most recently used idle connection, or returns
// nil if the request needs a new one.
func (p *Pool) takeIdle(k poolKey, sendOnce bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	now := time.Now()
	if now.After(c.idleUntil) || sendOnce && now.Sub(c.idleSince) > sendOnceMaxIdle {
		if !now.After(c.idleUntil) {
			return nil // still usable for requests that may be repeated
		}
		for _, old := range list {
			_ = old.Close()
		}
		delete(p.idle, k)
		return nil
	}
	p.idle[k] = list[:len(list)-1]
	return c
}

// usable reports whether an idle connection is open and has no unread data.
func (c *conn) usable() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Sweep closes connections that have been idle for too long and those of targets
// that are no longer in use.
func (p *Pool) Sweep(inUse func(fleet.TargetID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for k, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.idleUntil) || !inUse(k.target) {
				_ = c.Close() // idle: no request is lost
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, k)
			continue
		}
		p.idle[k] = kept
	}
}
