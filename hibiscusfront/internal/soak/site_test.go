package soak_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/standin/link"
	"hibiscuslb/standin/prepared"
)

const (
	hostCount   = 4
	engineCount = 4
	plainCount  = 2
	model       = "m"
)

// site is a small deployment.
type site struct {
	store   *prepared.Store
	hosts   []*host
	targets []*target
	mu      sync.Mutex
	number  int // of the configuration
	version int // of the weights
}

// path is a relay that can be disturbed.
type path struct {
	*link.Relay
	mu      sync.Mutex
	strikes int // counts disturbances, so that an older one does not end a newer
}

// strike disturbs the path for a while.
func (p *path) strike(mode link.Mode, pause time.Duration) {
	p.mu.Lock()
	p.strikes++
	mine := p.strikes
	p.mu.Unlock()
	p.SetMode(mode)
	time.AfterFunc(pause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.strikes == mine {
			p.SetMode(link.Pass)
		}
	})
}

type target struct {
	*prepared.Target
	path *path
}

// host is a process of a front host, which is started again when it ends.
type host struct {
	name                      string
	binary, settings          string
	arguments                 []string
	callers, directory, ready string
	store                     *path
	log                       *os.File

	mu      sync.Mutex
	process *os.Process
	over    bool
	ended   chan struct{} // the keeper of the process has returned
}

// newPath starts a relay. Another process may take its port between the look and
// the use; then it tries the next one.
func newPath(t *testing.T, to string) *path {
	t.Helper()
	const tries = 20
	var failed error
	for range tries {
		p := &path{Relay: &link.Relay{Listen: fleet.Address(address(freePorts(t, 1))), Target: fleet.Address(to)}}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- p.Run(ctx) }()
		select {
		case failed = <-done:
			cancel()
			continue
		case <-time.After(20 * time.Millisecond): // it listens
		}
		t.Cleanup(func() {
			cancel()
			<-done
		})
		return p
	}
	t.Fatalf("no relay: %v", failed)
	return nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Ports below those that the kernel gives to connections, so that nobody takes
// one between the look and its use. Each process begins elsewhere.
const firstPort, portCount = 20_000, 12_000

var nextPort = os.Getpid() * 1009 % portCount

// freePorts returns the first of n neighbouring ports that are free.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for range portCount {
		port := firstPort + nextPort
		nextPort = (nextPort + n) % (portCount - n)
		free := true
		for i := 0; i < n && free; i++ {
			l, err := net.Listen("tcp", address(port+i))
			if free = err == nil; free {
				free = l.Close() == nil
			}
		}
		if free {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func newSite(t *testing.T, binary string, seed uint64) *site {
	t.Helper()
	s := &site{store: new(prepared.Store), version: 1}
	s.store.Put("versions", model, map[string]any{"model": model, "version": 1})
	for i := range engineCount + plainCount {
		work := &prepared.Target{ID: fmt.Sprintf("i-%02d", i), Work: 10 * time.Millisecond}
		if i < engineCount {
			work.Model, work.Events = model, 12
		}
		s.targets = append(s.targets, &target{work, newPath(t, serve(t, work))})
		s.enter(s.targets[i])
	}
	s.configure()
	ctx, cancel := context.WithCancel(context.Background())
	beats := make(chan struct{})
	go func() {
		defer close(beats)
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			for _, target := range s.targets {
				s.enter(target)
			}
		}
	}()
	storeAddress := serve(t, s.store)
	for i := range hostCount {
		h := newHost(t, binary, seed, fmt.Sprintf("h%d", i), storeAddress)
		s.hosts = append(s.hosts, h)
		go h.keep()
	}
	t.Cleanup(func() {
		for _, h := range s.hosts {
			h.close()
		}
		cancel()
		<-beats
	})
	return s
}

// enter writes a target's own entry, if it has changed.
func (s *site) enter(t *target) {
	service, models := "plain", []map[string]any(nil)
	if t.Model != "" {
		service = "lm"
		models = []map[string]any{{"name": model, "version": t.Version()}}
	}
	s.store.PutChanged("servers", t.ID, map[string]any{
		"service": service, "address": string(t.path.Listen), "zone": "z", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "models": models,
	})
}

// configure writes the next configuration.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number += 3
	routes := []map[string]any{
		{"name": "order", "host": "h.example", "pathPrefix": "/order/", "kind": "non_idempotent", "service": "plain", "attempts": 1, "timeoutMs": 1500, "targetLatencyMs": 200},
		{"name": "read", "host": "h.example", "pathPrefix": "/read/", "kind": "idempotent", "service": "plain", "attempts": 2, "timeoutMs": 1500, "targetLatencyMs": 200},
		{"name": "talk", "host": "h.example", "pathPrefix": "/talk/", "kind": "streaming", "service": "lm", "attempts": 1, "timeoutMs": 3000, "targetLatencyMs": 400},
		{"name": "resume", "host": "h.example", "pathPrefix": "/resume/", "kind": "streaming", "service": "lm", "attempts": 3, "timeoutMs": 3000, "targetLatencyMs": 400, "resumable": true},
		{"name": fmt.Sprint("r", s.number), "host": "other.example", "pathPrefix": "/", "kind": "idempotent", "service": "plain"},
	}
	s.store.Put("config", "main", map[string]any{
		"version": s.number, "routes": routes,
		"services": []map[string]any{
			{"name": "plain", "maxConns": 100},
			{"name": "lm", "maxConns": 100, "engine": map[string]any{"slots": 8, "kvCapacity": 100000, "tokenKvBytes": 1000, "linkMbps": 100000}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "w", "apiKeys": []string{"key-w"}}},
	})
}

// nameWeights names the next version of the weights.
func (s *site) nameWeights() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.Put("versions", model, map[string]any{"model": model, "version": s.version})
}

// calm ends all disturbances.
func (s *site) calm() {
	s.store.SetFault(prepared.Healthy)
	for _, t := range s.targets {
		t.path.strike(link.Pass, 0)
	}
	for _, h := range s.hosts {
		h.store.strike(link.Pass, 0)
	}
	time.Sleep(3 * time.Second) // suspended hosts wake, stopped ones are back
}

func (s *site) awaitReady(t *testing.T, most time.Duration) {
	t.Helper()
	for _, h := range s.hosts {
		require.Eventually(t, func() bool {
			response, err := http.Get("http://" + h.ready + "/-/readyz")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, most, 50*time.Millisecond, "host %s is not ready", h.name)
	}
}

const settingsText = `nodeName: "%s"
ip: "127.0.0.1"
zone: "z"
region: "r"
zones: {z: "r"}
listen: {front: "%s", ready: "%s", directory: "%s"}
portRange: [%d, %d]
limits: {cpuShare: 0.4, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0}
bounds: {drainMs: 2000, graceS: 8, configApplyMs: 2000, versionMs: 6000, leaseMs: 3000, stableWindowMs: 3000,
  retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 54, coldOver: 1.5, coldSlack: 5, ttl_max_s: 5}
provider: {address: "%s", writesPerS: 400, readsPerS: 2000}
`

func newHost(t *testing.T, binary string, seed uint64, name, storeAddress string) *host {
	t.Helper()
	ports, peers := freePorts(t, 3), freePorts(t, 2)
	h := &host{
		name: name, binary: binary, settings: filepath.Join(t.TempDir(), "boot.yaml"),
		callers: address(ports), ready: address(ports + 1), directory: address(ports + 2),
		store: newPath(t, storeAddress), log: openLog(t, seed, name), ended: make(chan struct{}),
	}
	text := fmt.Sprintf(settingsText, name, h.callers, h.ready, h.directory, peers, peers+1, h.store.Listen)
	require.NoError(t, os.WriteFile(h.settings, []byte(text), 0o600))
	return h
}

// keep runs the process, and starts it again whenever it ends.
func (h *host) keep() {
	defer close(h.ended)
	for {
		command := exec.Command(h.binary, h.arguments...)
		command.Env = append(os.Environ(), "HIBISCUSLB_SETTINGS="+h.settings)
		command.Stdout, command.Stderr = h.log, h.log
		h.mu.Lock()
		if h.over || command.Start() != nil {
			h.mu.Unlock()
			return
		}
		h.process = command.Process
		h.mu.Unlock()
		_ = command.Wait() // it was signalled; its log says the rest
		time.Sleep(200 * time.Millisecond)
	}
}

func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Signal(signal) // it may have ended by itself
	}
}

func (h *host) end(signal syscall.Signal) { h.signal(signal) }

func (h *host) suspend(pause time.Duration) {
	h.signal(syscall.SIGSTOP)
	time.AfterFunc(pause, func() { h.signal(syscall.SIGCONT) })
}

func (h *host) close() {
	h.mu.Lock()
	h.over = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.ended
}
