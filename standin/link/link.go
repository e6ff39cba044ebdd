// Package link implements a TCP proxy that simulates a faulty network path: it can
// close connections, delay data, or drop all data while connections stay open.
package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/task"
	"hibiscuslb/standin/internal/web"
)

// Mode determines how a proxy treats connections.
type Mode string

// The modes of a proxy.
const (
	Pass   Mode = "Pass"   // forward all data
	Cut    Mode = "Cut"    // close all connections, also new ones
	Silent Mode = "Silent" // keep open connections open and drop their data; forward data of new ones
)

// A Proxy accepts connections at Listen and forwards their data to Target and back.
// It waits for Delay after every read before it forwards the data. The initial mode is Pass.
type Proxy struct {
	Listen, Target fleet.Address
	Delay          time.Duration

	mu          sync.Mutex
	mode        Mode
	connections map[*connection]struct{}
}

// connection is a forwarded connection: the one from the client and the one to the
// target.
type connection struct {
	client, server net.Conn
	closed         chan struct{} // closed by close
	once           sync.Once
	mu             sync.Mutex
	silent         bool
}

// SetMode sets the mode. Connections on which Silent was set remain silent in later
// modes until they are closed.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for c := range p.connections {
		switch mode {
		case Cut:
			c.close()
		case Silent:
			c.silence()
		}
	}
}

// Admin returns an HTTP handler that sets the mode.
func (p *Proxy) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/mode", func(w http.ResponseWriter, request *http.Request) {
		mode := Mode(request.URL.Query().Get("Mode"))
		if mode != Pass && mode != Cut && mode != Silent {
			web.Refuse(w, http.StatusBadRequest, fmt.Sprintf("query parameter Mode is %q, want Pass, Cut or Silent", mode))
			return
		}
		p.SetMode(mode)
	})
	return mux
}

// Run listens at Listen and calls Serve. It returns an error if it can't listen.
func (p *Proxy) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(p.Listen))
	if err != nil {
		return err
	}
	return p.Serve(ctx, listener)
}

// Serve accepts and forwards the listener's connections until the context is done, then
// closes them and the listener and returns nil. It returns an error if it can't accept
// connections. Listen is not used.
func (p *Proxy) Serve(ctx context.Context, listener net.Listener) error {
	defer listener.Close()
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		p.SetMode(Cut)
	})
	defer stop()
	var forwarding task.Group
	defer forwarding.Wait()
	for {
		client, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		forwarding.Go(ctx, func(ctx context.Context) { p.forwardConnection(ctx, client) })
	}
}

// forwardConnection opens a connection to the target and forwards data in both
// directions until one end or the proxy closes the connection.
func (p *Proxy) forwardConnection(ctx context.Context, client net.Conn) {
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", string(p.Target))
	if err != nil {
		client.Close()
		return
	}
	c := &connection{client: client, server: server, closed: make(chan struct{})}
	if !p.register(c) {
		c.close()
		return
	}
	defer p.unregister(c)
	ended := make(chan struct{}, 2)
	go c.copy(ended, c.server, c.client, p.Delay)
	go c.copy(ended, c.client, c.server, p.Delay)
	<-ended
	c.close()
	<-ended
}

// register adds an open connection and reports whether the mode allows it.
func (p *Proxy) register(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Cut {
		return false
	}
	if p.connections == nil {
		p.connections = make(map[*connection]struct{})
	}
	p.connections[c] = struct{}{}
	return true
}

func (p *Proxy) unregister(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

func (c *connection) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *connection) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *connection) close() {
	c.once.Do(func() {
		close(c.closed)
		c.client.Close()
		c.server.Close()
	})
}

// copy forwards data in one direction. On a silent connection it reads and drops the
// data, and after a read error it does not return until the proxy closes the
// connection, so that the other end does not detect the error.
func (c *connection) copy(ended chan<- struct{}, to io.Writer, from io.Reader, delay time.Duration) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil && c.isSilent() {
			<-c.closed
		}
		if err != nil {
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if c.isSilent() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
