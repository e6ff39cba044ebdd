package host

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/platform"
	"hibiscuslb/standin/fakeplatform"
)

// A sight is how a cut between a host and targets looks to the host.
type sight string

const (
	hang       sight = "hang"        // nothing passes, and nothing says so
	reset      sight = "reset"       // connections are reset, new ones refused
	newRefused sight = "new refused" // open connections live on
)

// A partition lies between a host and all targets.
type partition struct {
	local net.IP // of the host
	mu    sync.Mutex
	cut   sight // empty if there is none
	lines map[*line]struct{}
}

// A line is a connection to a target.
type line struct {
	*net.TCPConn
	closed chan struct{}
	once   sync.Once
	mu     sync.Mutex
	hung   bool
}

func (p *partition) dial(ctx context.Context, address fleet.Address) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.cut {
	case hang:
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()
		return nil, ctx.Err()
	case reset, newRefused:
		return nil, syscall.ECONNREFUSED
	}
	conn, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: p.local}}).Dial("tcp", string(address))
	if err != nil {
		return nil, err
	}
	l := &line{TCPConn: conn.(*net.TCPConn), closed: make(chan struct{})}
	p.lines[l] = struct{}{}
	return l, nil
}

func (p *partition) set(s sight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = s
	for l := range p.lines {
		switch s {
		case hang:
			l.mu.Lock()
			l.hung = true
			l.mu.Unlock()
		case reset:
			_ = l.SetLinger(0)
			_ = l.TCPConn.Close()
		}
	}
}

func (l *line) isHung() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hung
}

func (l *line) Read(buffer []byte) (int, error) {
	n, err := l.TCPConn.Read(buffer)
	if l.isHung() {
		<-l.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (l *line) Write(data []byte) (int, error) {
	if l.isHung() {
		return len(data), nil
	}
	return l.TCPConn.Write(data)
}

func (l *line) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPConn.Close()
}

// A cutSite has three hosts in this process, some engines and targets of a plain service.
type cutSite struct {
	hosts   []*Host
	stops   []context.CancelFunc // of the hosts
	paths   []*partition
	targets []*fakeplatform.Target

	mu     sync.Mutex
	orders map[sending][]time.Time // when orders reached a target
}

// A sending is a host that sends to a target.
type sending struct{ host, target string }

// noteOrder notes an order that reaches a target.
func (s *cutSite) noteOrder(r *http.Request, target string) {
	if !strings.HasPrefix(r.URL.Path, "/order/") {
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	by := sending{host, target}
	s.orders[by] = append(s.orders[by], time.Now())
}

const (
	cutEngines = 4
	cutPlain   = 3
	cutEvents  = 10 // of a stream
)

func startCutSite(t *testing.T, change ...func(*platform.Settings)) *cutSite {
	t.Helper()
	s := &cutSite{orders: make(map[sending][]time.Time)}
	store := new(fakeplatform.Store)
	store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	for i := range cutEngines + cutPlain {
		target := &fakeplatform.Target{ID: fmt.Sprintf("i-%02d", i), WorkTime: 5 * time.Millisecond}
		service, models := "plain", []map[string]any(nil)
		if i < cutEngines {
			target.Model, target.Events = "m", cutEvents
			service, models = "lm", []map[string]any{{"name": "m", "version": 1}}
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.noteOrder(r, target.ID)
			target.ServeHTTP(w, r)
		}))
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		store.Put("servers", target.ID, map[string]any{
			"service": service, "address": strings.TrimPrefix(server.URL, "http://"), "zone": "z", "slots": 64, "state": "ready",
			"coldRemainingMs": 0, "models": models,
		})
		s.targets = append(s.targets, target)
	}
	store.Put("config", "main", map[string]any{
		"version": 1, "routes": []map[string]any{
			{"name": "order", "host": "h.example", "pathPrefix": "/order/", "kind": "non_idempotent", "service": "plain", "attempts": 1, "timeoutMs": 1500, "targetLatencyMs": 200},
			{"name": "talk", "host": "h.example", "pathPrefix": "/talk/", "kind": "streaming", "service": "lm", "attempts": 1, "timeoutMs": 6000, "targetLatencyMs": 400},
			{"name": "resume", "host": "h.example", "pathPrefix": "/resume/", "kind": "streaming", "service": "lm", "attempts": 3, "timeoutMs": 3000, "targetLatencyMs": 400, "resumable": true},
		},
		"services": []map[string]any{
			{"name": "plain", "maxConns": 100},
			{"name": "lm", "maxConns": 100, "engine": map[string]any{"slots": 64, "kvCapacity": 100000, "tokenKvBytes": 1000, "linkMbps": 100000}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000},
	})
	storeServer := httptest.NewServer(store)
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range 3 {
		settings := platform.Settings{
			Host: fleet.HostID(fmt.Sprint("h", i)), DataCentre: "z", IP: "127.0.0.1", Store: fleet.Address(strings.TrimPrefix(storeServer.URL, "http://")),
			Callers: freeAddress(t), Readiness: freeAddress(t), Directory: freeAddress(t), Peers: freeAddress(t),
			Cores: 0.4, Link: 1e9, Memory: 284 << 20,
			Bounds: platform.Bounds{
				Grace: 300 * time.Millisecond, Configuration: 2 * time.Second, Weights: 6 * time.Second, Lease: 3 * time.Second,
				AddressTTL: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryReserve: 54,
			},
		}
		for _, f := range change {
			f(&settings)
		}
		h := New(settings, zerolog.Nop())
		hostCtx, stop := context.WithCancel(ctx)
		path := &partition{local: net.IPv4(127, 0, 0, byte(2+i)), lines: make(map[*line]struct{})}
		h.pool.Dial = path.dial
		s.hosts, s.stops, s.paths = append(s.hosts, h), append(s.stops, stop), append(s.paths, path)
		running.Go(func() {
			if err := h.Run(hostCtx); err != nil {
				t.Errorf("host %s: %v", settings.Host, err)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return s
}

// ports are below the kernel's ephemeral range, so that no outgoing connection takes one before its use.
var ports = struct {
	sync.Mutex
	next int
}{next: os.Getpid() * 1009 % portCount}

const firstPort, portCount = 11_000, 9_000

// freeAddress returns an address with a port that is free and was not returned before.
func freeAddress(t *testing.T) fleet.Address {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+ports.next)
		ports.next = (ports.next + 1) % portCount
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return fleet.Address(address)
		}
	}
	t.Fatalf("no free port from %d to %d", firstPort, firstPort+portCount-1)
	return ""
}

// send sends a request to a host and reports whether it was served whole.
func (s *cutSite) send(client *http.Client, host int, kind, id string) bool {
	return s.sendWithin(client, host, kind, id, 1500*time.Millisecond)
}

func (s *cutSite) sendWithin(client *http.Client, host int, kind, id string, deadline time.Duration) bool {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/x", s.hosts[host].settings.Callers, kind), strings.NewReader("body"))
	if err != nil {
		return false
	}
	request.Host = "h.example"
	request.Header.Set("X-Hibiscuslb-Request-Id", id)
	request.Header.Set("X-Hibiscuslb-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if kind != "order" {
		request.Header.Set("X-Hibiscuslb-Model", "m")
		request.Header.Set("X-Hibiscuslb-Token-Usage", "30,10")
		request.Header.Set("X-Hibiscuslb-Prefix-Hash", "aa:10,b"+id+":10,cc:10")
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	if kind == "order" {
		return len(body) > 0
	}
	return strings.Count(string(body), "data:") == cutEvents
}

// counts are the requests to a host, and how many of them were served.
type counts struct{ sent, served int }

const (
	// longestPause is how long this process may not run while requests are counted. All hosts are frozen then, and
	// requests end by their deadlines.
	longestPause = 300 * time.Millisecond
	loadTries    = 10
)

// load sends requests to all hosts until the time is over. It returns the counts by host of those that
// were sent after the first part of it. If this process has not run for longestPause, it starts again.
func (s *cutSite) load(t *testing.T, name string, first, rest time.Duration) []counts {
	t.Helper()
	for try := range loadTries {
		ended, longest := make(chan struct{}), make(chan time.Duration)
		go func() { longest <- measurePauses(ended) }()
		result := s.loadOnce(fmt.Sprint(name, try), first, rest)
		close(ended)
		pause := <-longest
		if pause <= longestPause {
			return result
		}
		t.Logf("%s: the process did not run for %v, %v do not count", name, pause, result)
	}
	require.Fail(t, "the process did not run for longer than longestPause, each time")
	return nil
}

// measurePauses returns the longest time for which this process has not run, as far as its timers show.
func measurePauses(ended <-chan struct{}) (longest time.Duration) {
	const interval = 10 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-ended:
			return max(longest, time.Since(last)-interval)
		case <-time.After(interval):
			now := time.Now()
			longest, last = max(longest, now.Sub(last)-interval), now
		}
	}
}

func (s *cutSite) loadOnce(name string, first, rest time.Duration) []counts {
	var mu sync.Mutex
	result := make([]counts, len(s.hosts))
	var callers sync.WaitGroup
	start := time.Now()
	for host := range s.hosts {
		for caller := range 6 {
			callers.Go(func() {
				client := &http.Client{Transport: new(http.Transport), Timeout: 3 * time.Second}
				defer client.CloseIdleConnections()
				kind := []string{"order", "talk", "resume"}[caller%3]
				for i := 0; time.Since(start) < first+rest; i++ {
					counted := time.Since(start) >= first
					served := s.send(client, host, kind, fmt.Sprintf("%s-%d-%d-%d", name, host, caller, i))
					time.Sleep(15 * time.Millisecond)
					if !counted {
						continue
					}
					mu.Lock()
					result[host].sent++
					if served {
						result[host].served++
					}
					mu.Unlock()
				}
			})
		}
	}
	callers.Wait()
	return result
}

// share returns the served share at the hosts.
func share(result []counts, of func(host int) bool) float64 {
	var sum counts
	for host, c := range result {
		if of(host) {
			sum.sent += c.sent
			sum.served += c.served
		}
	}
	return float64(sum.served) / float64(max(sum.sent, 1))
}

// awaitPlanner waits until all hosts are ready, and returns the one that plans.
func (s *cutSite) awaitPlanner(t *testing.T) int {
	t.Helper()
	for _, h := range s.hosts {
		require.Eventually(t, func() bool { return h.ready() && len(h.control.View().Hosts) == len(s.hosts) }, 10*time.Second, 20*time.Millisecond)
	}
	planner := -1
	require.Eventually(t, func() bool {
		for i, h := range s.hosts {
			if h.control.MayPlan() {
				planner = i
			}
		}
		return planner >= 0
	}, 10*time.Second, 20*time.Millisecond)
	return planner
}
