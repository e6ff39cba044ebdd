package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/hibiscusfront/internal/socket"
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
	// Dial opens a connection, if set. The connections must implement syscall.Conn.
	Dial func(context.Context, fleet.Address) (net.Conn, error)
	// Ways is told what connections show of the ways to targets; nil if nobody asks.
	Ways Ways

	mu      sync.Mutex
	idle    map[poolKey][]*conn // the most recently used is the last
	running map[*Exchange]struct{}
	Dials   uint64 // guarded by mu
}

// Ways learns what connections show of the ways from this host to targets.
type Ways interface {
	Reached(fleet.TargetID)  // a connection was opened
	Answered(fleet.TargetID) // an answer began, on a connection of any age
	Failed(fleet.TargetID)   // a connection could not be opened
}

// A DialError reports that no connection to the target could be opened.
type DialError struct{ Cause error }

func (e *DialError) Error() string { return "no connection: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ErrNoIdle reports that no connection was idle for a request that needs one.
var ErrNoIdle = errors.New("no connection is idle")

type conn struct {
	net.Conn
	reader    *bufio.Reader // reads from head
	head      headLimiter
	sent      []uint64 // hashes of the IDs of all requests sent on the connection
	idleSince time.Time
	idleUntil time.Time // when to stop using the idle connection
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
	if r.IdleOnly {
		return nil, &DialError{ErrNoIdle}
	}
	p.mu.Lock()
	p.Dials++
	p.mu.Unlock()
	limit := dialTimeout
	if r.DialLimit > 0 {
		limit = r.DialLimit
	}
	raw, err := p.Open(ctx, k.address, limit)
	if err != nil {
		if ctx.Err() != nil {
			return nil, err
		}
		if p.Ways != nil {
			p.Ways.Failed(k.target)
		}
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			p.closeIdle(k)
		}
		return nil, &DialError{err}
	}
	if p.Ways != nil {
		p.Ways.Reached(k.target)
	}
	c := &conn{Conn: raw, head: headLimiter{conn: raw, hold: holding.Hold{Budget: p.Budget, Free: freeHeadBytes}}}
	c.reader = bufio.NewReaderSize(&c.head, readBufferSize)
	return c, nil
}

// Open opens a connection to the address within the time limit.
func (p *Pool) Open(ctx context.Context, address fleet.Address, limit time.Duration) (net.Conn, error) {
	if p.Dial == nil {
		dialer := net.Dialer{Timeout: limit, Control: socket.BoundBuffers}
		return dialer.DialContext(ctx, "tcp", string(address))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return p.Dial(ctx, address)
}

// closeIdle closes the idle connections to a target to which no new one can be opened: what was
// sent on them might be lost.
func (p *Pool) closeIdle(k poolKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[k] {
		_ = c.Close()
	}
	delete(p.idle, k)
}

// A HangingError reports that an exchange was ended because the way to its target was lost and
// nothing came from it any more. The target may be up.
type HangingError struct{ Target fleet.TargetID }

func (e *HangingError) Error() string {
	return "the way to target " + string(e.Target) + " is lost, and nothing comes on the connection"
}

// EndHanging ends the exchanges of requests that may be repeated if hangs says so, with a
// *HangingError. It is given the target and how long nothing has been sent or received.
func (p *Pool) EndHanging(hangs func(fleet.TargetID, time.Duration) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now().UnixNano()
	for e := range p.running {
		if !e.sendOnce && hangs(e.key.target, time.Duration(now-e.lastRead.Load())) {
			e.hung.Store(true)
			_ = e.conn.Close()
		}
	}
}

// begin and end keep the set of exchanges for EndHanging.
func (p *Pool) begin(e *Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		p.running = make(map[*Exchange]struct{})
	}
	p.running[e] = struct{}{}
}

func (p *Pool) end(e *Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, e)
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
