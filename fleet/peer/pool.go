package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/task"
	"hibiscuslb/fleet/traffic"
)

// keyHeader is the header with the fleet's key, which all hosts share.
const keyHeader = "Hibiscus-Key"

// peerPath is the path at which hosts accept connections of other hosts.
const peerPath = "/peer"

// A Pool holds the connections that this host has dialled, at most one per address.
// Connections close when the context of Run ends; before Run, none can be opened.
type Pool struct {
	Key     string          // the fleet's key
	Traffic traffic.Counter // of connections that this host has dialled

	mu    sync.Mutex
	conns map[fleet.Address]*poolEntry
	ctx   context.Context // of Run
	tasks task.Group
}

// poolEntry holds the connection to an address. Its mutex ensures that concurrent callers
// dial only once.
type poolEntry struct {
	mu   sync.Mutex
	conn *conn
}

// Run keeps the pool open until the context ends, and returns when its connections are
// closed.
func (p *Pool) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	<-ctx.Done()
	p.tasks.Wait()
}

// Open opens an exchange with the host at the address and sends its request. An error
// other than a *ConnectionLostError means that nothing was sent.
func (p *Pool) Open(ctx context.Context, address fleet.Address, kind Kind, body any) (*Exchange, error) {
	c, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.open(ctx, kind, body)
}

// Connect makes sure that there is a connection to the host at the address.
func (p *Pool) Connect(ctx context.Context, address fleet.Address) error {
	_, err := p.connect(ctx, address)
	return err
}

// Call opens an exchange and decodes its first reply into reply. It returns a
// *ConnectionLostError if the exchange ends without a reply.
func (p *Pool) Call(ctx context.Context, address fleet.Address, kind Kind, body, reply any) error {
	exchange, err := p.Open(ctx, address, kind, body)
	if err != nil {
		return err
	}
	defer exchange.Close()
	err = exchange.Next(ctx, reply)
	if errors.Is(err, io.EOF) {
		return &ConnectionLostError{Address: address, Cause: fmt.Errorf("exchange ended without a reply: %w", io.ErrUnexpectedEOF)}
	}
	return err
}

// connect returns the open connection to the address, or dials a new one.
func (p *Pool) connect(ctx context.Context, address fleet.Address) (*conn, error) {
	p.mu.Lock()
	if p.ctx == nil || p.ctx.Err() != nil {
		p.mu.Unlock()
		return nil, &DialError{Address: address, Cause: errPoolClosed}
	}
	if p.conns == nil {
		p.conns = make(map[fleet.Address]*poolEntry)
	}
	entry, ok := p.conns[address]
	if !ok {
		entry = new(poolEntry)
		p.conns[address] = entry
	}
	p.mu.Unlock()
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.conn != nil && entry.conn.isOpen() {
		return entry.conn, nil
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	entry.conn = c
	p.tasks.Go(p.ctx, c.run)
	return c, nil
}

// dial opens a WebSocket connection to the address.
func (p *Pool) dial(ctx context.Context, address fleet.Address) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: p.Traffic.Dial(dialTimeout)}
	options := &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport}, HTTPHeader: http.Header{keyHeader: {p.Key}},
	}
	ws, _, err := websocket.Dial(ctx, "ws://"+string(address)+peerPath, options)
	if err != nil {
		return nil, err
	}
	return newConn(address, ws, nil), nil
}

// A Server accepts connections of other hosts and serves their exchanges.
type Server struct {
	Key     string // the fleet's key
	Handler Handler
}

var _ http.Handler = (*Server)(nil)

// ServeHTTP implements http.Handler. It returns when the connection has closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != peerPath {
		http.NotFound(w, r)
		return
	}
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(s.Key)) != 1 {
		http.Error(w, "wrong key", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	newConn(fleet.Address(r.RemoteAddr), ws, s.Handler).run(r.Context())
}
