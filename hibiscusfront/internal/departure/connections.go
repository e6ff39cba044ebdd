package departure

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// An End is how a connection of a caller ended: in which phase, and what was on it.
type End struct {
	Phase Phase
	On    http.ConnState // its last state: StateNew, StateActive (a request) or StateIdle
}

// Connections counts how the connections of a server ended. A connection that the host closes
// while it is idle may take a request with it; in a planned stop that happens only in the phase
// Closing. The caller may have closed it, too. The zero value is ready for use.
type Connections struct {
	Departure *Departure

	mu    sync.Mutex
	open  map[net.Conn]http.ConnState
	ended map[End]int64
}

// Record is the ConnState hook of the server.
func (c *Connections) Record(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open, c.ended = make(map[net.Conn]http.ConnState), make(map[End]int64)
	}
	if state != http.StateClosed && state != http.StateHijacked {
		c.open[conn] = state
		return
	}
	c.ended[End{c.Departure.Phase(time.Now()), c.open[conn]}]++
	delete(c.open, conn)
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Each calls f with the number of connections of each End.
func (c *Connections) Each(f func(End, int64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for end, n := range c.ended {
		f(end, n)
	}
}
