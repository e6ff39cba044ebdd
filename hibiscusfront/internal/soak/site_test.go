package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/standin/fakeplatform"
	"hibiscuslb/standin/link"
)

const (
	hostCount   = 4
	engineCount = 4
	plainCount  = 2 // targets that are not engines
	targetSlots = 8
	model       = "m"
)

// crashPart is the part of prompts that crashes engines.
const crashPart = "dead"

// crashPath is the path of a request that crashes targets of the plain service.
const crashPath = "/read/dead"

// site is a small deployment: a store, front hosts and targets.
type site struct {
	store   *fakeplatform.Store
	hosts   []*host
	targets []*target

	isolated bool // the workspace v shares no cache

	mu             sync.Mutex
	configVersion  int
	weightsVersion int
	copies         []fakeplatform.Copy // of the store, one each registrationInterval, the newest last
}

const (
	// registrationInterval is the time between two updates of the targets' entries.
	registrationInterval = 100 * time.Millisecond
	// maxCopies limits the age of a copy of the store to 9 s.
	maxCopies = 90
)

// path is a proxy into which faults can be injected.
type path struct {
	*link.Proxy
	mu     sync.Mutex
	faults int // number of injected faults, so that the end of an older one does not end a newer one
}

// injectFault sets the mode of the proxy and restores link.Pass after the duration.
func (p *path) injectFault(mode link.Mode, duration time.Duration) {
	p.mu.Lock()
	p.faults++
	fault := p.faults
	p.mu.Unlock()
	p.SetMode(mode)
	time.AfterFunc(duration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.faults == fault {
			p.SetMode(link.Pass)
		}
	})
}

// target is a stand-in for a target that is reached through a proxy.
type target struct {
	*fakeplatform.Target
	path *path
}

// host supervises the process of a front host: it restarts the process when that
// ends, until stopped is set.
type host struct {
	name                      string
	binary, settings          string
	arguments                 []string
	callers, directory, ready string
	store                     *path
	log                       *os.File
	backends                  []string // addresses of targets whose connections count as the host's memory

	mu        sync.Mutex
	disturbed []time.Time // when the process was started or got a signal
	process   *os.Process
	paused    bool          // the process is not started again for now
	stopped   bool          // the process is not started again
	ended     chan struct{} // closed when supervise has returned
}

// newPath starts a proxy to an address. If another process binds the port between
// the check and the proxy's listen, it retries with the next free port.
func newPath(t *testing.T, to string) *path {
	t.Helper()
	const attempts = 20
	var failed error
	for range attempts {
		p := &path{Proxy: &link.Proxy{Listen: fleet.Address(address(freePorts(t, 1))), Target: fleet.Address(to)}}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- p.Run(ctx) }()
		select {
		case failed = <-done:
			cancel()
			continue
		case <-time.After(20 * time.Millisecond): // Run has not failed, so it listens
		}
		t.Cleanup(func() {
			cancel()
			<-done
		})
		return p
	}
	t.Fatalf("proxy to %s: no listener after %d attempts: %v", to, attempts, failed)
	return nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// serve starts an HTTP server for the handler and returns its host and port.
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

// newSite starts the store, the targets and the hosts. Targets update their
// entries in the store every registrationInterval. Bounds are added to those of the settings.
func newSite(t *testing.T, binary string, seed uint64, bounds ...string) *site {
	t.Helper()
	s := &site{store: new(fakeplatform.Store), weightsVersion: 1}
	s.store.Put("versions", model, map[string]any{"model": model, "version": 1})
	for i := range engineCount + plainCount {
		standIn := &fakeplatform.Target{ID: fmt.Sprintf("i-%02d", i), WorkTime: 10 * time.Millisecond}
		if i < engineCount {
			standIn.Model, standIn.Events = model, 12
		}
		path := newPath(t, serve(t, standIn))
		standIn.CrashPart, standIn.CrashPath, standIn.Crash = crashPart, crashPath, func() { path.injectFault(link.Cut, 1500*time.Millisecond) }
		s.targets = append(s.targets, &target{standIn, path})
		s.register(s.targets[i])
	}
	s.putConfiguration()
	ctx, cancel := context.WithCancel(context.Background())
	registrations := make(chan struct{}) // closed when the targets have stopped registering
	go func() {
		defer close(registrations)
		for ctx.Err() == nil {
			time.Sleep(registrationInterval)
			s.copyStore()
			for _, target := range s.targets {
				s.register(target)
			}
		}
	}()
	storeAddress := serve(t, s.store)
	for i := range hostCount {
		h := newHost(t, binary, seed, fmt.Sprintf("h%d", i), storeAddress, strings.Join(bounds, ""))
		s.hosts = append(s.hosts, h)
		go h.supervise()
	}
	t.Cleanup(func() {
		for _, h := range s.hosts {
			h.close()
		}
		cancel()
		<-registrations
	})
	return s
}

// register writes a target's entry to the store if it has changed.
func (s *site) register(t *target) {
	service, models := "plain", []map[string]any(nil)
	if t.Model != "" {
		service = "lm"
		models = []map[string]any{{"name": model, "version": t.Version()}}
	}
	s.store.PutIfChanged("servers", t.ID, map[string]any{
		"service": service, "address": string(t.path.Listen), "zone": "z", "slots": targetSlots, "state": "ready",
		"coldRemainingMs": 0, "models": models, "version": t.Software(),
	})
}

// copyStore keeps a copy of the store.
func (s *site) copyStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, s.store.Copy())
	s.copies = s.copies[max(0, len(s.copies)-maxCopies):]
}

// restoreStore brings the store back from an earlier copy. The operator then writes its
// entries again.
func (s *site) restoreStore(random *rand.Rand) {
	s.mu.Lock()
	if len(s.copies) > 0 {
		s.store.Restore(s.copies[random.IntN(len(s.copies))])
	}
	s.mu.Unlock()
	s.writeConfiguration()
	s.writeWeights()
}

// putConfiguration writes a new configuration version to the store.
func (s *site) putConfiguration() {
	s.mu.Lock()
	s.configVersion += 3
	s.mu.Unlock()
	s.writeConfiguration()
}

// writeConfiguration writes the newest configuration version to the store.
func (s *site) writeConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	routes := []map[string]any{
		{"name": "order", "host": "h.example", "pathPrefix": "/order/", "kind": "non_idempotent", "service": "plain", "attempts": 1, "timeoutMs": 1500, "targetLatencyMs": 200},
		{"name": "read", "host": "h.example", "pathPrefix": "/read/", "kind": "idempotent", "service": "plain", "attempts": 2, "timeoutMs": 1500, "targetLatencyMs": 200},
		{"name": "talk", "host": "h.example", "pathPrefix": "/talk/", "kind": "streaming", "service": "lm", "attempts": 1, "timeoutMs": 3000, "targetLatencyMs": 400},
		{"name": "resume", "host": "h.example", "pathPrefix": "/resume/", "kind": "streaming", "service": "lm", "attempts": 3, "timeoutMs": 3000, "targetLatencyMs": 400, "resumable": true},
		{"name": fmt.Sprint("r", s.configVersion), "host": "h.example", "pathPrefix": fmt.Sprintf("/r%d/", s.configVersion), "kind": "idempotent", "service": "plain"},
	}
	s.store.Put("config", "main", map[string]any{
		"version": s.configVersion, "routes": routes,
		"services": []map[string]any{
			{"name": "plain", "maxConns": 100},
			{"name": "lm", "maxConns": 100, "engine": map[string]any{"slots": 8, "kvCapacity": 100000, "tokenKvBytes": 1000, "linkMbps": 100000}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "w", "apiKeys": []string{"key-w"}}, {"name": "v", "apiKeys": []string{"key-v"}, "isolated": s.isolated}},
	})
}

// putWeights announces the next version of the weights in the store.
func (s *site) putWeights() {
	s.mu.Lock()
	s.weightsVersion++
	s.mu.Unlock()
	s.writeWeights()
}

// writeWeights announces the newest version of the weights in the store.
func (s *site) writeWeights() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put("versions", model, map[string]any{"model": model, "version": s.weightsVersion})
}

// clearFaults ends all faults and waits until their effects on processes are over.
func (s *site) clearFaults() {
	s.store.SetFault(fakeplatform.Healthy)
	for _, t := range s.targets {
		t.path.injectFault(link.Pass, 0)
		t.SetLimit(0)
		t.SetLeaving(false)
		t.SetPause(0)
	}
	for _, h := range s.hosts {
		h.store.injectFault(link.Pass, 0)
	}
	time.Sleep(3 * time.Second) // in which suspended processes are resumed and ended ones restarted
}

// currentHosts returns the hosts.
func (s *site) currentHosts() []*host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*host(nil), s.hosts...)
}

// awaitReady waits until each host reports that it is ready, at most the time-out
// for each.
func (s *site) awaitReady(t *testing.T, timeout time.Duration) {
	t.Helper()
	for _, h := range s.hosts {
		require.Eventually(t, func() bool {
			response, err := http.Get("http://" + h.ready + "/-/readyz")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, timeout, 50*time.Millisecond, "host %s is not ready", h.name)
	}
}
