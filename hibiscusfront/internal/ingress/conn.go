package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
)

const (
	// freeBytes of the head and body of a request draw on no budget: those of an ordinary request,
	// with a body of 12 KB.
	freeBytes = 20 << 10
	// headCopies is how often the bytes of a head are in memory: as received and decoded for the
	// request, and again for the one to the target.
	headCopies = 2
	// lineBytes is what each line of a head takes in addition, in the decoded headers of both.
	lineBytes = 256
	// writeTimeout is how long a client may take to read writePiece bytes of an answer. What it holds
	// until then are the buffers of the kernel and a target that waits.
	writeTimeout = 15 * time.Second
	writePiece   = 16 << 10
	// slowReadTime is how long a client may read nothing before its connection may be closed for
	// another.
	slowReadTime = 5 * time.Second
)

// A phase is what a connection is doing.
type phase int32

const (
	// waiting: no byte of the next request was received.
	waiting phase = iota
	// inHead: the head of a request is arriving.
	inHead
	// inBody: the handler runs, and the body of the request is arriving, or what is left of it
	// is read and dropped.
	inBody
	// serving: the request has arrived whole and runs, or its answer is written.
	serving
)

// A Conn is the connection of a client.
type Conn struct {
	net.Conn
	listener *Listener
	phase    atomic.Int32
	active   atomic.Int64 // time of the last byte that was received or the last answer, in Unix nanoseconds
	blocked  atomic.Int64 // since when a write has waited for the client; zero if none does
	evicted  atomic.Bool  // its hold was taken back

	// Used by the goroutine that reads the connection.
	head section      // of the current request
	rest rest         // received behind it
	hold holding.Hold // of the head and the body of the current request

	writeUntil time.Time // the write deadline; used by the goroutine that writes
}

func newConn(raw net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: raw, listener: l, hold: holding.Hold{Budget: l.Budget, Free: freeBytes}}
	c.hold.Evict = c.evict
	c.active.Store(time.Now().UnixNano())
	return c
}

// evict ends the reading of a request whose hold was taken back.
func (c *Conn) evict() {
	c.evicted.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a read that is blocked returns
}

// SetReadDeadline keeps the deadline that evict has set.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.evicted.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements io.Reader. While a head arrives, it accounts for the memory that it will take. A
// *net.OpError ends the connection without an answer if that is more than the budget allows.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	c.active.Store(time.Now().UnixNano())
	// While a handler runs, the server reads a single byte in another goroutine to see whether the client
	// leaves.
	if len(buffer) == 1 {
		return n, err
	}
	if p := phase(c.phase.Load()); p != waiting && p != inHead {
		c.rest.addToBody(buffer[:n], len(buffer))
		return n, err
	}
	c.phase.Store(int32(inHead))
	c.rest.addToHead(&c.head, buffer[:n])
	if c.hold.Keep(c.headCost()) != nil {
		return 0, c.refuseHead()
	}
	return n, err
}

// Write implements io.Writer. It fails if the client takes none of writePiece bytes within writeTimeout.
func (c *Conn) Write(data []byte) (int, error) {
	written := 0
	for {
		now := time.Now()
		if c.writeUntil.Sub(now) < writeTimeout-time.Second {
			if err := c.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
				return written, err
			}
		}
		c.blocked.Store(now.UnixNano())
		n, err := c.Conn.Write(data[written:min(len(data), written+writePiece)])
		c.blocked.Store(0)
		if written += n; err != nil || written == len(data) {
			return written, err
		}
	}
}

// SetWriteDeadline sets the write deadline. The server clears it after each answer.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeUntil = t
	return c.Conn.SetWriteDeadline(t)
}

// headCost returns the memory that the head of the current request takes.
func (c *Conn) headCost() int { return headCopies*c.head.bytes + lineBytes*c.head.lines }

// refuseHead closes the connection, since the budget left no room for a head. Otherwise the server may take the
// head for a malformed one, and answer that.
func (c *Conn) refuseHead() error {
	c.listener.headsRefused.Add(1)
	c.hold.Release()
	_ = c.Close()
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: &holding.SpentError{Limit: c.listener.Budget.Limit(), Wanted: fleet.Bytes(c.headCost())}}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// CloseWrite makes the server end its direction first, so that the client reads an answer that was sent before
// its request was read.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// begin records that the head of a request has arrived. It returns an error if the head can't be kept.
func (c *Conn) begin(r *http.Request) error {
	if c.head.bytes == 0 {
		// It was received together with the request before, which has released it.
		c.head = decoded(r)
		if c.hold.Keep(c.headCost()) != nil {
			return c.refuseHead()
		}
	}
	c.rest.begin(r.ContentLength)
	if r.ContentLength == 0 {
		return c.arrived()
	}
	c.phase.Store(int32(inBody))
	return nil
}

// arrived records that the request has arrived whole. It returns a *holding.EvictedError if its memory was given to
// others before.
func (c *Conn) arrived() error {
	if err := c.hold.Settle(); err != nil {
		return err
	}
	c.phase.Store(int32(serving))
	return nil
}

// end releases what the request held. The phase stays until the server has read the rest of the body and written
// the answer.
func (c *Conn) end() {
	c.hold.Release()
	c.head = section{}
}

// quietSince returns since when nothing has come from the client, or, while it is being served, since when it
// has read nothing. It reports false if the connection must be kept: its request runs.
func (c *Conn) quietSince(now time.Time) (since int64, ok bool) {
	if phase(c.phase.Load()) != serving {
		return c.active.Load(), true
	}
	blocked := c.blocked.Load()
	return blocked, blocked > 0 && now.Sub(time.Unix(0, blocked)) >= slowReadTime
}

// Record is the ConnState hook of the server: the next request may come, or none.
func Record(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	switch {
	case !ok:
	case state == http.StateIdle:
		c.active.Store(time.Now().UnixNano())
		c.phase.Store(int32(waiting))
	case state == http.StateClosed:
		c.hold.Release() // of a head that did not end
	}
}

// ResetAtEnd makes the connection of a request end with a reset, and not with an orderly close, if it came through
// a Listener.
func ResetAtEnd(r *http.Request) {
	c := connOf(r)
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if the client has reset it
	}
}

type connKey struct{}

// ConnContext is the ConnContext hook of the server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, nil if it did not come through a Listener.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
