package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/relay"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// A node is what a host has to send requests for others and by way of others.
type node struct {
	relay.Sender
	server  relay.Server
	ways    relay.Ways
	pool    backend.Pool
	peers   peer.Pool
	parted  atomic.Bool // from all targets
	closed  []fleet.TargetID
	leaving atomic.Bool
	front   *httptest.Server // for other hosts
	conns   connections      // of other hosts

	mu      sync.Mutex
	notices []intake.Notice
	results map[string]int
}

func (n *node) Handle(ctx context.Context, kind peer.Kind, body cbor.RawMessage, send func(any) error) (any, error) {
	switch kind {
	case wire.KindRelayGo:
		return peer.ServeUnary(body, n.server.Go)
	case wire.KindRelayCredit:
		return peer.ServeUnary(body, n.server.Credit)
	}
	return n.server.Serve(ctx, body, send)
}

func (n *node) Closed(*view.View, route.ServiceID) []fleet.TargetID { return n.closed }

func (n *node) ObserveNotice(_ *view.View, _ *plan.Grant, notice intake.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notices = append(n.notices, notice)
}

func (n *node) RecordRelay(served bool, result string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.results == nil {
		n.results = make(map[string]int)
	}
	n.results[fmt.Sprint(served, " ", result)]++
}

// connections keeps the connections that a listener accepts. While frozen is locked for writing, nothing is
// read from them.
type connections struct {
	net.Listener
	frozen sync.RWMutex
	mu     sync.Mutex
	open   []net.Conn
}

func (c *connections) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	c.open = append(c.open, conn)
	return &freezingConn{conn, c}, nil
}

// A freezingConn is a connection of a host that may stand still.
type freezingConn struct {
	net.Conn
	host *connections
}

func (c *freezingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.host.frozen.RLock()
	defer c.host.frozen.RUnlock()
	return n, err
}

// freeze has the node read nothing from other hosts until the function that is returned is called. Little that
// they write fits into buffers.
func (n *node) freeze() (thaw func()) {
	n.conns.mu.Lock()
	defer n.conns.mu.Unlock()
	for _, conn := range n.conns.open {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	n.conns.frozen.Lock()
	return n.conns.frozen.Unlock
}

// die closes the node's connections with other hosts.
func (n *node) die() {
	_ = n.conns.Listener.Close()
	n.conns.mu.Lock()
	defer n.conns.mu.Unlock()
	for _, conn := range n.conns.open {
		_ = conn.Close()
	}
}

// startNodes starts hosts that know the targets t, t1 and so on, of which the first has no way to any.
func startNodes(t *testing.T, count int, targets ...string) []*node {
	t.Helper()
	v := new(view.View)
	for i, address := range targets {
		v.Targets = append(v.Targets, roster.Target{ID: targetID(i), Service: "s", Address: fleet.Address(address)})
	}
	var nodes []*node
	for i := range count {
		n := new(node)
		n.front = httptest.NewUnstartedServer(&peer.Server{Handler: n})
		require.NoError(t, n.front.Listener.Close())
		n.conns.Listener = listen(t)
		n.front.Listener = &n.conns
		n.front.Start()
		t.Cleanup(n.die)
		v.Hosts = append(v.Hosts, wire.Host{ID: fleet.HostID(fmt.Sprint("h", i)), Peers: fleet.Address(strings.TrimPrefix(n.front.URL, "http://"))})
		nodes = append(nodes, n)
	}
	v.Freeze()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i, n := range nodes {
		current := func() *view.View { return v }
		n.ways = relay.Ways{Clock: fleet.MonotonicClock(), View: current, Pool: &n.pool, Log: zerolog.Nop()}
		n.pool.Ways = &n.ways
		n.pool.Dial = func(ctx context.Context, address fleet.Address) (net.Conn, error) {
			if n.parted.Load() {
				return nil, syscall.ECONNREFUSED
			}
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", string(address))
		}
		n.Host, n.View, n.Pool, n.Peers, n.Ways, n.Meter = v.Hosts[i].ID, current, &n.pool, &n.peers, &n.ways, n
		n.server = relay.Server{View: current, Chooser: n, Pool: &n.pool, Ways: &n.ways, Meter: n, Leaving: n.leaving.Load}
		running.Go(func() { n.peers.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	nodes[0].parted.Store(true)
	require.Eventually(t, func() bool { return nodes[0].peers.Connect(ctx, v.Hosts[count-1].Peers) == nil }, 5*time.Second, time.Millisecond)
	return nodes
}

func targetID(i int) fleet.TargetID {
	if i == 0 {
		return "t"
	}
	return fleet.TargetID(fmt.Sprint("t", i))
}

var listeners atomic.Uint32

// listen listens at a loopback address that no other listener of this process has, so that nothing is sent there that
// was meant for a target or a host of another test which has ended.
func listen(t *testing.T) net.Listener {
	t.Helper()
	number := uint32(os.Getpid())<<16 + listeners.Add(1)
	address := fmt.Sprintf("127.%d.%d.%d:0", 1+number>>16%250, number>>8&255, number&255)
	// Another process may listen first on the port that the kernel has chosen.
	var listener net.Listener
	require.Eventually(t, func() (ok bool) {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	}, 5*time.Second, time.Millisecond)
	return listener
}

// startTarget starts a target that runs the script for each connection, and counts the requests.
func startTarget(t *testing.T, script func(conn net.Conn, r *http.Request)) (string, *atomic.Int32) {
	t.Helper()
	listener := listen(t)
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				requests.Add(1)
				script(conn, r)
			}()
		}
	}()
	return listener.Addr().String(), &requests
}

const head = "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: 7\r\nX-Hibiscuslb-Response-Signature: p\r\nServer-Limit: 5\r\n"

func request(target string) *backend.Request {
	return &backend.Request{
		ID: "7", Target: "t", Address: fleet.Address(target), Method: http.MethodPost, URI: "/a?b=c", Host: "h.example", SendOnce: true,
		Header: http.Header{"X-Hibiscuslb-Request-Id": {"7"}, "X-Hibiscuslb-Deadline-Ms": {"9000"}}, Body: [][]byte{[]byte("bo"), []byte("dy")},
		ExpiresAt: time.Now().Add(2 * time.Second),
	}
}

// read sends the request and reads the answer.
func (n *node) read(ctx context.Context, r *backend.Request) (*backend.Exchange, string, error) {
	exchange, err := n.Send(ctx, r)
	if err != nil {
		return nil, "", err
	}
	defer exchange.Close()
	body, err := io.ReadAll(exchange)
	return exchange, string(body), err
}
