// Package link is a TCP relay that behaves like a bad network path: it can
// cut connections, delay what passes, or go silent while connections stay
// open.
package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/task"
	"hibiscuslb/standin/internal/web"
)

// Mode is how a relay treats connections.
type Mode string

// The modes of a relay.
const (
	Pass   Mode = "Pass"   // carry everything
	Cut    Mode = "Cut"    // close connections and refuse new ones
	Silent Mode = "Silent" // keep open connections open and carry nothing on them; new ones work
)

// A Relay carries connections from Listen to Target. Delay is added to every
// read. The zero mode is Pass.
type Relay struct {
	Listen, Target fleet.Address
	Delay          time.Duration

	mu    sync.Mutex
	mode  Mode
	pairs map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	client, server net.Conn
	cut            chan struct{} // closed by close
	once           sync.Once
	mu             sync.Mutex
	silent         bool
}

// SetMode changes how the relay treats connections. Silent strikes those that
// are open now; later ones pass.
func (r *Relay) SetMode(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	for p := range r.pairs {
		switch mode {
		case Cut:
			p.close()
		case Silent:
			p.mute()
		}
	}
}

// Admin returns the HTTP interface that sets the mode.
func (r *Relay) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/mode", func(w http.ResponseWriter, request *http.Request) {
		mode := Mode(request.URL.Query().Get("Mode"))
		if mode != Pass && mode != Cut && mode != Silent {
			web.Refuse(w, http.StatusBadRequest, "Mode is Pass, Cut or Silent")
			return
		}
		r.SetMode(mode)
	})
	return mux
}

// Run relays until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(r.Listen))
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		r.SetMode(Cut)
	})
	defer stop()
	var carriers task.Group
	defer carriers.Wait()
	for {
		client, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		carriers.Go(ctx, func(ctx context.Context) { r.carry(ctx, client) })
	}
}

func (r *Relay) carry(ctx context.Context, client net.Conn) {
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", string(r.Target))
	if err != nil {
		client.Close()
		return
	}
	p := &pair{client: client, server: server, cut: make(chan struct{})}
	if !r.enter(p) {
		p.close()
		return
	}
	defer r.leave(p)
	ended := make(chan struct{}, 2)
	go p.copy(ended, p.server, p.client, r.Delay)
	go p.copy(ended, p.client, p.server, r.Delay)
	<-ended
	p.close()
	<-ended
}

func (r *Relay) enter(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Cut {
		return false
	}
	if r.pairs == nil {
		r.pairs = make(map[*pair]struct{})
	}
	r.pairs[p] = struct{}{}
	return true
}

func (r *Relay) leave(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

func (p *pair) mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

func (p *pair) muted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *pair) close() {
	p.once.Do(func() {
		close(p.cut)
		p.client.Close()
		p.server.Close()
	})
}

// copy carries one direction. Once muted it reads on and drops, and hides that
// an end has closed, so that the other does not notice.
func (p *pair) copy(ended chan<- struct{}, to io.Writer, from io.Reader, delay time.Duration) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil && p.muted() {
			<-p.cut
		}
		if err != nil {
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if p.muted() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
