package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hibiscuslb/fleet/holding"
	"hibiscuslb/hibiscusfront/internal/socket"
)

// A Listener accepts the connections of clients within limits.
type Listener struct {
	net.Listener
	// Connections is the number of connections that may be open; zero for no limit.
	Connections int
	// Budget is that of heads and bodies; nil for no limit. Listeners may share one.
	Budget *holding.Budget

	mu   sync.Mutex
	open map[*Conn]struct{}

	// Counts of connections that were closed for others, and of those that were not taken.
	evicted, refused atomic.Int64
	// headsRefused counts heads for which the budget left no room.
	headsRefused atomic.Int64
}

// Listen listens on an address.
func Listen(ctx context.Context, address string, connections int, budget *holding.Budget) (*Listener, error) {
	config := net.ListenConfig{Control: socket.BoundBuffers}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, Connections: connections, Budget: budget}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(raw, l)
		victim, ok := l.add(c)
		if victim != nil {
			l.evicted.Add(1)
			_ = victim.Close()
		}
		if ok {
			return c, nil
		}
		l.refused.Add(1)
		_ = raw.Close()
	}
}

// add adds a connection, and returns the one to be closed for it, if any. It reports false if there
// is none and the limit does not allow one more.
func (l *Listener) add(c *Conn) (victim *Conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[*Conn]struct{})
	}
	if l.Connections > 0 && len(l.open) >= l.Connections {
		if victim = quietLongest(l.open, time.Now()); victim == nil {
			return nil, false
		}
		delete(l.open, victim)
	}
	l.open[c] = struct{}{}
	return victim, true
}

// quietLongest returns the connection on which nothing has happened for the longest time, of those that
// need not be kept; nil if there is none.
func quietLongest(open map[*Conn]struct{}, now time.Time) *Conn {
	var victim *Conn
	var earliest int64
	for c := range open {
		if since, ok := c.quietSince(now); ok && (victim == nil || since < earliest) {
			victim, earliest = c, since
		}
	}
	return victim
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Counts are what a listener has counted since its start.
type Counts struct {
	Open         int   // connections
	Evicted      int64 // connections closed for others
	Refused      int64 // connections that were not taken
	HeadsRefused int64 // heads for which there was no memory
}

// Counts returns the counts.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Open: len(l.open), Evicted: l.evicted.Load(), Refused: l.refused.Load(), HeadsRefused: l.headsRefused.Load()}
}
