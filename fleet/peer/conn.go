package peer

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/task"
)

// A Handler serves the exchanges that others open. Send may be called any
// number of times before Handle returns. What Handle returns ends the exchange:
// an error, or a last reply, which is nil if there is none. The context ends
// when the other side gives up.
type Handler interface {
	Handle(ctx context.Context, kind Kind, body cbor.RawMessage, send func(any) error) (any, error)
}

// conn is one connection, of either direction.
type conn struct {
	address fleet.Address
	ws      *websocket.Conn
	handler Handler // nil on the dialling side

	lastRead atomic.Int64 // nanoseconds since 1970
	mu       sync.Mutex
	next     uint64
	opened   map[uint64]*Exchange          // that we opened
	serving  map[uint64]context.CancelFunc // that the other side opened
	idle     time.Time
	err      error
}

func newConn(address fleet.Address, ws *websocket.Conn, handler Handler) *conn {
	ws.SetReadLimit(FrameLimit)
	c := &conn{
		address: address, ws: ws, handler: handler, idle: time.Now(),
		opened: make(map[uint64]*Exchange), serving: make(map[uint64]context.CancelFunc),
	}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// run reads frames until the connection or the context ends.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks task.Group
	tasks.Go(ctx, func(ctx context.Context) { c.watch(ctx, cancel) })
	err := c.read(ctx, &tasks)
	cancel()
	c.close(err)
	tasks.Wait()
}

func (c *conn) read(ctx context.Context, tasks *task.Group) error {
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			return err
		}
		c.lastRead.Store(time.Now().UnixNano())
		var f frame
		if err := cbor.Unmarshal(data, &f); err != nil {
			return err
		}
		c.take(ctx, &f, tasks)
	}
}

func (c *conn) take(ctx context.Context, f *frame, tasks *task.Group) {
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
		// A reply to an exchange that was given up is late and is dropped.
		if exchange != nil {
			exchange.take(f)
		}
	}
}

// serve runs the handler for an exchange that the other side has opened.
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
		c.idle = time.Now()
		c.mu.Unlock()
		// If this fails the connection is lost, which the other side sees.
		if err != nil {
			_ = c.send(ctx, f.Exchange, kindFail, fail(err))
		} else {
			_ = c.send(ctx, f.Exchange, kindEnd, last)
		}
	})
}

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
	// A write that is cut short breaks the connection for all exchanges, so it
	// does not end with the context of one of them.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

// watch pings a connection that is silent and closes one that is idle.
func (c *conn) watch(ctx context.Context, cancel context.CancelFunc) {
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
		idle := time.Since(c.idle)
		c.mu.Unlock()
		silent := time.Since(time.Unix(0, c.lastRead.Load()))
		if !busy && idle > idleTime {
			cancel()
			return
		}
		if busy && silent > SilenceLimit && c.ping(ctx) != nil {
			cancel()
			return
		}
	}
}

func (c *conn) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, SilenceLimit)
	defer cancel()
	if err := c.ws.Ping(ctx); err != nil {
		return err
	}
	c.lastRead.Store(time.Now().UnixNano())
	return nil
}

// close ends the connection and all its exchanges.
func (c *conn) close(err error) {
	if err == nil {
		err = errClosed
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
		exchange.lose(&ConnectionLostError{Address: c.address, Cause: err})
	}
	_ = c.ws.CloseNow()
}

// open starts an exchange.
func (c *conn) open(ctx context.Context, kind Kind, body any) (*Exchange, error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return nil, &DialError{Address: c.address, Cause: c.err}
	}
	c.next++
	exchange := &Exchange{conn: c, number: c.next, arrived: make(chan struct{}, 1)}
	c.opened[exchange.number] = exchange
	c.mu.Unlock()
	if err := c.send(ctx, exchange.number, kind, body); err != nil {
		exchange.forget()
		return nil, &ConnectionLostError{Address: c.address, Cause: err}
	}
	return exchange, nil
}

func (c *conn) alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil
}

// An Exchange is one request and its replies, as seen by who opened it.
type Exchange struct {
	conn    *conn
	number  uint64
	arrived chan struct{}

	mu      sync.Mutex
	replies []cbor.RawMessage
	end     error // io.EOF for a good end
}

func (e *Exchange) take(f *frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Kind {
	case kindReply:
		e.replies = append(e.replies, f.Body)
	case kindEnd:
		if !bytes.Equal(f.Body, null) {
			e.replies = append(e.replies, f.Body)
		}
		e.end = io.EOF
	case kindFail:
		var failed failure
		if err := cbor.Unmarshal(f.Body, &failed); err != nil {
			e.end = &ConnectionLostError{Address: e.conn.address, Cause: err}
		} else {
			e.end = failed.error()
		}
	}
	e.wake()
}

func (e *Exchange) lose(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.end == nil {
		e.end = err
	}
	e.wake()
}

func (e *Exchange) wake() {
	select {
	case e.arrived <- struct{}{}:
	default:
	}
}

// Next returns the next reply, decoded into reply. After the last one it
// returns io.EOF, the refusal that ended the exchange, or a *LostError.
func (e *Exchange) Next(ctx context.Context, reply any) error {
	for {
		e.mu.Lock()
		if len(e.replies) > 0 {
			body := e.replies[0]
			e.replies = e.replies[1:]
			e.mu.Unlock()
			return cbor.Unmarshal(body, reply)
		}
		end := e.end
		e.mu.Unlock()
		if end != nil {
			e.forget()
			return end
		}
		select {
		case <-e.arrived:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close gives the exchange up if it has not ended.
func (e *Exchange) Close() {
	e.mu.Lock()
	ended := e.end != nil
	e.mu.Unlock()
	e.forget()
	if !ended {
		_ = e.conn.send(context.Background(), e.number, kindCancel, nil)
	}
}

func (e *Exchange) forget() {
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	delete(e.conn.opened, e.number)
	e.conn.idle = time.Now()
}
