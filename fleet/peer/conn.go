package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/task"
)

// A Handler serves the exchanges that other hosts open. Handle may call send any number
// of times. The exchange ends when Handle returns, with an error or with a last reply,
// which is nil if there is none. The context ends when the other side cancels the
// exchange or the connection is lost.
type Handler interface {
	Handle(ctx context.Context, kind Kind, body cbor.RawMessage, send func(any) error) (any, error)
}

// conn is a connection that this host has dialled or accepted.
type conn struct {
	address fleet.Address
	ws      *websocket.Conn
	handler Handler // nil if this host has dialled

	lastRead   atomic.Int64 // time of the latest frame or pong, in nanoseconds since 1970
	mu         sync.Mutex
	lastNumber uint64                        // number of the latest exchange that this host has opened
	opened     map[uint64]*Exchange          // opened by this host, by number
	serving    map[uint64]context.CancelFunc // opened by the other side, by number
	idleSince  time.Time                     // end of the latest exchange
	err        error                         // why the connection has closed; nil while it is open
}

func newConn(address fleet.Address, ws *websocket.Conn, handler Handler) *conn {
	ws.SetReadLimit(MaxFrameBytes)
	c := &conn{
		address: address, ws: ws, handler: handler, idleSince: time.Now(),
		opened: make(map[uint64]*Exchange), serving: make(map[uint64]context.CancelFunc),
	}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// run reads and dispatches frames until the connection or the context ends, then closes
// the connection and waits for its handlers.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks task.Group
	tasks.Go(ctx, func(ctx context.Context) { c.monitor(ctx, cancel) })
	err := c.readFrames(ctx, &tasks)
	cancel()
	c.close(err)
	tasks.Wait()
}

// readFrames reads and dispatches frames until reading fails.
func (c *conn) readFrames(ctx context.Context, tasks *task.Group) error {
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			return err
		}
		c.lastRead.Store(time.Now().UnixNano())
		var f frame
		if err := cbor.Unmarshal(data, &f); err != nil {
			return fmt.Errorf("malformed frame: %w", err)
		}
		c.dispatch(ctx, &f, tasks)
	}
}

// dispatch processes a received frame.
func (c *conn) dispatch(ctx context.Context, f *frame, tasks *task.Group) {
	switch {
	case f.Kind == kindCancel:
		c.mu.Lock()
		if cancel, ok := c.serving[f.Exchange]; ok {
			cancel()
		}
		c.mu.Unlock()
	case f.Kind < firstControl:
		c.serve(ctx, f, tasks)
	default:
		c.mu.Lock()
		exchange := c.opened[f.Exchange]
		c.mu.Unlock()
		// A late reply to an exchange that was closed is dropped.
		if exchange != nil {
			exchange.receive(f)
		}
	}
}

// serve runs the handler for an exchange that the other side has opened, and sends its
// result.
func (c *conn) serve(ctx context.Context, f *frame, tasks *task.Group) {
	if c.handler == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.serving[f.Exchange] = cancel
	c.mu.Unlock()
	tasks.Go(ctx, func(ctx context.Context) {
		defer cancel()
		send := func(body any) error { return c.send(ctx, f.Exchange, kindReply, body) }
		last, err := c.handler.Handle(ctx, f.Kind, f.Body, send)
		c.mu.Lock()
		delete(c.serving, f.Exchange)
		c.idleSince = time.Now()
		c.mu.Unlock()
		// If sending fails the connection is lost, which the other side detects
		// itself.
		if err != nil {
			_ = c.send(ctx, f.Exchange, kindFail, failureOf(err))
		} else {
			_ = c.send(ctx, f.Exchange, kindEnd, last)
		}
	})
}

// send sends a frame of the exchange.
func (c *conn) send(ctx context.Context, exchange uint64, kind Kind, body any) error {
	raw, err := encode(body)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(frame{Exchange: exchange, Kind: kind, Body: raw})
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	// An interrupted write would break the connection for all exchanges, so the
	// write does not end with the context of one of them.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

// monitor pings a silent connection with open exchanges, and closes the connection if the
// ping fails or if there was no exchange for idleTimeout.
func (c *conn) monitor(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(SilenceLimit / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		busy := len(c.opened)+len(c.serving) > 0
		idle := time.Since(c.idleSince)
		c.mu.Unlock()
		silent := time.Since(time.Unix(0, c.lastRead.Load()))
		if !busy && idle > idleTimeout {
			cancel()
			return
		}
		if busy && silent > SilenceLimit && c.ping(ctx) != nil {
			cancel()
			return
		}
	}
}

// ping sends a ping and waits for the pong, for up to SilenceLimit.
func (c *conn) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, SilenceLimit)
	defer cancel()
	if err := c.ws.Ping(ctx); err != nil {
		return err
	}
	c.lastRead.Store(time.Now().UnixNano())
	return nil
}

// close closes the connection and ends all its exchanges with the error.
func (c *conn) close(err error) {
	if err == nil {
		err = errConnClosed
	}
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	opened := c.opened
	c.opened = make(map[uint64]*Exchange)
	for _, cancel := range c.serving {
		cancel()
	}
	c.mu.Unlock()
	for _, exchange := range opened {
		exchange.abort(&ConnectionLostError{Address: c.address, Cause: err})
	}
	_ = c.ws.CloseNow()
}

// open opens an exchange and sends its request.
func (c *conn) open(ctx context.Context, kind Kind, body any) (*Exchange, error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return nil, &DialError{Address: c.address, Cause: c.err}
	}
	c.lastNumber++
	exchange := &Exchange{conn: c, number: c.lastNumber, arrived: make(chan struct{}, 1)}
	c.opened[exchange.number] = exchange
	c.mu.Unlock()
	if err := c.send(ctx, exchange.number, kind, body); err != nil {
		exchange.remove()
		return nil, &ConnectionLostError{Address: c.address, Cause: err}
	}
	return exchange, nil
}

// isOpen reports whether the connection can still open exchanges.
func (c *conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil
}

// An Exchange is a request with its replies, on the side that has opened it.
type Exchange struct {
	conn    *conn
	number  uint64
	arrived chan struct{} // signals a new reply or the end

	mu      sync.Mutex
	replies []cbor.RawMessage
	end     error // nil while the exchange is open, io.EOF after a normal end
}

// receive processes a reply, end or failure frame.
func (e *Exchange) receive(f *frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Kind {
	case kindReply:
		e.replies = append(e.replies, f.Body)
	case kindEnd:
		if !bytes.Equal(f.Body, nullBody) {
			e.replies = append(e.replies, f.Body)
		}
		e.end = io.EOF
	case kindFail:
		var failed failure
		if err := cbor.Unmarshal(f.Body, &failed); err != nil {
			e.end = &ConnectionLostError{Address: e.conn.address, Cause: fmt.Errorf("malformed failure frame: %w", err)}
		} else {
			e.end = failed.error()
		}
	}
	e.notify()
}

// abort ends the exchange with the error if it has not ended.
func (e *Exchange) abort(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.end == nil {
		e.end = err
	}
	e.notify()
}

// notify wakes a waiting Next.
func (e *Exchange) notify() {
	select {
	case e.arrived <- struct{}{}:
	default:
	}
}

// Next waits for the next reply and decodes it into reply. After the last reply it
// returns io.EOF, the *fleet.RefusalError that ended the exchange, or a
// *ConnectionLostError. Any other error is that of the context or of the decoding.
func (e *Exchange) Next(ctx context.Context, reply any) error {
	for {
		e.mu.Lock()
		if len(e.replies) > 0 {
			body := e.replies[0]
			e.replies = e.replies[1:]
			e.mu.Unlock()
			if err := cbor.Unmarshal(body, reply); err != nil {
				return fmt.Errorf("peer %s: decoding reply into %T: %w", e.conn.address, reply, err)
			}
			return nil
		}
		end := e.end
		e.mu.Unlock()
		if end != nil {
			e.remove()
			return end
		}
		select {
		case <-e.arrived:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close cancels the exchange if it has not ended.
func (e *Exchange) Close() {
	e.mu.Lock()
	ended := e.end != nil
	e.mu.Unlock()
	e.remove()
	if !ended {
		_ = e.conn.send(context.Background(), e.number, kindCancel, nil)
	}
}

// remove removes the exchange from its connection.
func (e *Exchange) remove() {
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	delete(e.conn.opened, e.number)
	e.conn.idleSince = time.Now()
}
