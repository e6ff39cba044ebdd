package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/task"
	"hibiscuslb/fleet/traffic"
)

// keyHeader carries the fleet's key, which every host knows.
const keyHeader = "Hibiscus-Key"

// path is where hosts accept connections of others.
const path = "/peer"

// A Pool holds the connections that this host has dialled. Connections end
// with the context that Run was given.
type Pool struct {
	Key     string
	Traffic traffic.Counter // of connections that this host has dialled

	mu    sync.Mutex
	conns map[fleet.Address]*slot
	ctx   context.Context
	tasks task.Group
}

// slot makes callers who want the same connection dial once.
type slot struct {
	mu   sync.Mutex
	conn *conn
}

// Run keeps the pool open until the context ends and its connections are
// closed.
func (p *Pool) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	<-ctx.Done()
	p.tasks.Wait()
}

// Open starts an exchange with the host at the address. An error other than a
// *LostError proves that nothing was sent.
func (p *Pool) Open(ctx context.Context, address fleet.Address, kind Kind, body any) (*Exchange, error) {
	c, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.open(ctx, kind, body)
}

// Call starts an exchange and returns its one reply.
func (p *Pool) Call(ctx context.Context, address fleet.Address, kind Kind, body, reply any) error {
	exchange, err := p.Open(ctx, address, kind, body)
	if err != nil {
		return err
	}
	defer exchange.Close()
	err = exchange.Next(ctx, reply)
	if errors.Is(err, io.EOF) {
		return &ConnectionLostError{Address: address, Cause: io.ErrUnexpectedEOF}
	}
	return err
}

func (p *Pool) connect(ctx context.Context, address fleet.Address) (*conn, error) {
	p.mu.Lock()
	if p.ctx == nil || p.ctx.Err() != nil {
		p.mu.Unlock()
		return nil, &DialError{Address: address, Cause: errClosed}
	}
	if p.conns == nil {
		p.conns = make(map[fleet.Address]*slot)
	}
	s, ok := p.conns[address]
	if !ok {
		s = new(slot)
		p.conns[address] = s
	}
	p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.alive() {
		return s.conn, nil
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	s.conn = c
	p.tasks.Go(p.ctx, c.run)
	return c, nil
}

func (p *Pool) dial(ctx context.Context, address fleet.Address) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: p.Traffic.Dial(dialTimeout)}
	options := &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport}, HTTPHeader: http.Header{keyHeader: {p.Key}},
	}
	ws, _, err := websocket.Dial(ctx, "ws://"+string(address)+path, options)
	if err != nil {
		return nil, err
	}
	return newConn(address, ws, nil), nil
}

// A Server accepts the connections of other hosts.
type Server struct {
	Key     string
	Handler Handler
}

var _ http.Handler = (*Server)(nil)

// ServeHTTP implements http.Handler. It returns when the connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != path {
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
