// Package backend sends requests to targets over HTTP/1.1 connections whose
// state is known.
//
// A request that may not be repeated must leave this process once. The
// standard library's client sends some requests again by itself when a kept
// connection broke, so this package keeps its own connections: it writes a
// request once, and says whether bytes of it may have left.
//
// A target may send a second answer to an earlier request, late, where the next
// answer is due. Answers are therefore matched by the request's id before a
// byte of them is passed on, and a connection with unread bytes on it is not
// used again.
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
	"sync"
	"syscall"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/platform"
)

// A NotSentError reports that no byte of the request has left for the target.
type NotSentError struct {
	Target fleet.TargetID
	Cause  error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("target %s: no connection: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// A BrokenError reports that the request has left, at least in part, and that
// no whole answer came. The target may have run it.
type BrokenError struct {
	Target fleet.TargetID
	Cause  error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("target %s: no answer: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// A Request is what is sent to a target. URI is the path and query as the
// caller sent them.
type Request struct {
	ID      fleet.RequestID
	Target  fleet.TargetID
	Address fleet.Address
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// Once asks for a connection that the target has hardly had time to
	// close: a request that may not be repeated is lost with it.
	Once bool
}

const (
	// dialTime bounds a dial; a target that lives answers in milliseconds.
	dialTime = 400 * time.Millisecond
	// idleTime is how long a connection is kept when the target does not say
	// for how long it keeps it.
	idleTime = 4 * time.Second
	// idleMargin is taken off the time that the target says.
	idleMargin = 700 * time.Millisecond
	// onceIdle is how long a connection may have been idle for a request that
	// may not be repeated.
	onceIdle = 900 * time.Millisecond
	// strayAnswers is how many answers to other requests are skipped.
	strayAnswers = 3
	bufferSize   = 4 << 10
	// shortBody is a body that sockets hold even if the target does not read.
	shortBody = 2 << 10
	// reportTime is how long a writer may take to report its end after the
	// whole answer has come.
	reportTime = 5 * time.Millisecond
)

// key keeps connections of different targets at one address apart, since an
// address passes on to another target when its own has ended.
type key struct {
	target  fleet.TargetID
	address fleet.Address
}

// A Pool keeps idle connections to targets. The zero value is empty. It is safe
// for concurrent use.
type Pool struct {
	mu    sync.Mutex
	idle  map[key][]*conn // the most recently used last
	Dials uint64          // guarded by mu
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time // of being idle
	until  time.Time // when idle
}

// An Exchange is a request under way whose answer's head has come. Close ends
// it; a connection whose answer was not read to its end is closed.
type Exchange struct {
	Status   int
	Header   http.Header
	Answer   platform.Answer
	Length   int64 // of the body; -1 if the head does not say
	pool     *Pool
	key      key
	conn     *conn
	response *http.Response
	stop     func() bool
	whole    bool
	sent     chan error
}

// Send sends the request and returns when the head of its answer has come. The
// context ends the whole exchange. Errors are a *NotSentError or a
// *BrokenError.
func (p *Pool) Send(ctx context.Context, r *Request) (*Exchange, error) {
	k := key{r.Target, r.Address}
	c, err := p.connect(ctx, k, r.Once)
	if err != nil {
		return nil, &NotSentError{r.Target, err}
	}
	e := &Exchange{pool: p, key: k, conn: c, sent: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { _ = c.Close() }) // a second close is harmless
	if len(r.Body) <= shortBody {
		e.write(ctx, r)
	} else {
		go e.write(ctx, r)
	}
	if err := e.readHead(r); err != nil {
		e.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &BrokenError{r.Target, err}
	}
	return e, nil
}

// write sends the request. With a long body it runs beside the reading, since a
// target may answer before it has read it. It reports its end on sent.
func (e *Exchange) write(_ context.Context, r *Request) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// Writing to a buffer never fails.
	_ = r.Header.Write(&head)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{head.Bytes(), r.Body}
	_, err := buffers.WriteTo(e.conn.Conn)
	e.sent <- err
}

var errStray = errors.New("answers of other requests")

func (e *Exchange) readHead(r *Request) error {
	for range strayAnswers {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		answer := platform.DecodeAnswer(response.StatusCode, response.Header)
		if answer.ID == r.ID || answer.ID == "" && response.StatusCode >= http.StatusBadRequest {
			e.response, e.Answer = response, answer
			e.Status, e.Header, e.Length = response.StatusCode, response.Header, response.ContentLength
			return nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
	return errStray
}

// Read reads the body of the answer. It returns io.EOF only at the end of a
// whole answer.
func (e *Exchange) Read(buffer []byte) (int, error) {
	n, err := e.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		e.whole = true
	}
	return n, err
}

// Close ends the exchange.
func (e *Exchange) Close() {
	if !e.stop() || !e.whole || e.response.Close || e.Answer.Close || e.conn.reader.Buffered() > 0 || !e.written() {
		_ = e.conn.Close() // nothing is expected on it any more
		return
	}
	now := time.Now()
	idle := idleTime
	if e.Answer.Idle > 0 {
		idle = e.Answer.Idle - idleMargin
	}
	e.conn.since, e.conn.until = now, now.Add(idle)
	e.pool.keep(e.key, e.conn)
}

// written reports whether the whole request has been sent. The answer may have
// overtaken the writer's report.
func (e *Exchange) written() bool {
	timer := time.NewTimer(reportTime)
	defer timer.Stop()
	select {
	case err := <-e.sent:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (p *Pool) keep(k key, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[key][]*conn)
	}
	p.idle[k] = append(p.idle[k], c)
}

func (p *Pool) connect(ctx context.Context, k key, once bool) (*conn, error) {
	for {
		c := p.take(k, once)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close() // the target has closed it or sent what nobody asked for
	}
	p.mu.Lock()
	p.Dials++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTime}
	raw, err := dialer.DialContext(ctx, "tcp", string(k.address))
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize)}, nil
}

// take returns the idle connection that was used last, or nil.
func (p *Pool) take(k key, once bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	now := time.Now()
	if now.After(c.until) || once && now.Sub(c.since) > onceIdle {
		if !now.After(c.until) {
			return nil // good enough for others
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

// quiet reports whether nothing has come on an idle connection, not even its
// end.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Sweep closes connections that have been idle for too long, and those of
// targets that are not in use any more.
func (p *Pool) Sweep(inUse func(fleet.TargetID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for k, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) || !inUse(k.target) {
				_ = c.Close() // idle
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
