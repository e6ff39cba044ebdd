package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"hibiscuslb/standin/fakeplatform"
)

const (
	hostName  = "nylo40.example"
	modelName = "daka51"
	apiKey    = "fqasnmgkcuyj8pjbvk9m"
	beatTime  = 1200 * time.Millisecond
)

// A site is a small deployment: front hosts, the platform's store and engines.
type site struct {
	record  *record
	store   *fakeplatform.Store
	hosts   []*host
	engines []*engine
	dir     string

	mu      sync.Mutex
	fault   fakeplatform.Fault
	version int
	stop    chan struct{}
	beats   sync.WaitGroup
	server  *http.Server
}

// layout tells what a site consists of.
type layout struct {
	hosts, models, plain int
	pieces               int
	pause                time.Duration // between two events of a stream
	work                 time.Duration // of a plain server's answer
	routes               []map[string]any
}

func newSite(r *record, binary string, l layout) (*site, error) {
	s := &site{record: r, store: new(fakeplatform.Store), version: 1, stop: make(chan struct{})}
	s.store.Latency = 4 * time.Millisecond
	var err error
	if s.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.store}
	go func() { _ = s.server.Serve(listener) }()
	s.store.Put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	zones := []string{"kurunegala", "negombo", "colombo-port", "kalutara"}
	for i := range l.models + l.plain {
		e := &engine{site: s, id: fmt.Sprintf("i-%02d", i), service: "refill", zone: zones[i%len(zones)], address: "127.0.0.1:0", pause: l.work, slots: 6}
		if i < l.models {
			e.service, e.model, e.pieces, e.pause, e.slots = "siphon", modelName, l.pieces, l.pause, 64
		}
		if err := e.start("v1"); err != nil {
			return nil, err
		}
		s.engines = append(s.engines, e)
		e.register()
	}
	if l.routes == nil {
		l.routes = defaultRoutes()
	}
	s.putManifest(l.routes)
	s.beats.Add(1)
	go s.beat()
	var ips []string
	for i := range l.hosts {
		ips = append(ips, hostIP(i))
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	for i := range l.hosts {
		h, err := newHost(s.dir, binary, listener.Addr().String(), i, p)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
		go h.supervise()
	}
	return s, nil
}

func defaultRoutes() []map[string]any {
	return []map[string]any{
		{"name": "digest", "host": hostName, "pathPrefix": "/digest/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 800, "priority": 2, "service": "siphon", "attempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 400},
		{"name": "query", "host": hostName, "pathPrefix": "/query/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 800, "priority": 1, "service": "siphon", "attempts": 1, "public": false, "sticky": true, "resumable": false, "gapAimMs": 400},
		{"name": "booking", "host": hostName, "pathPrefix": "/booking/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": "refill", "attempts": 1, "public": false},
		{"name": "status", "host": hostName, "pathPrefix": "/status/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": "refill", "attempts": 2, "public": false},
	}
}

func (s *site) putManifest(routes []map[string]any) {
	s.store.Put("config", "main", map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{
			{"name": "siphon", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
				"engine": map[string]any{"slots": 64, "kvCapacity": 90520, "tokenKvBytes": 327680, "linkMbps": 740000.0, "moves": true, "backups": true, "managed": true, "maxConcurrency": 12, "models": []map[string]any{{"name": modelName}}}},
			{"name": "refill", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "pulo780", "apiKeys": []string{apiKey}}, {"name": "raka12", "apiKeys": []string{apiKey + "2"}}},
	})
}

// beat has the engines write their entries.
func (s *site) beat() {
	defer s.beats.Done()
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(beatTime / 4):
		}
		for _, e := range s.engines {
			e.register()
		}
	}
}

func (s *site) setFault(f fakeplatform.Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	s.store.SetFault(f)
}

func (s *site) storeUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == fakeplatform.Healthy
}

// awaitReady waits until all hosts are ready.
func (s *site) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range s.hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready after %v", h.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// planner returns the host that holds the duty, as the store has it; nil if there is none.
func (s *site) planner() *host {
	o, ok := s.dutyHolder()
	if !ok {
		return nil
	}
	for _, h := range s.hosts {
		if h.name == o {
			return h
		}
	}
	return nil
}

// close ends all processes and servers.
func (s *site) close() {
	close(s.stop)
	s.beats.Wait()
	for _, h := range s.hosts {
		h.end()
	}
	for _, e := range s.engines {
		e.crash()
	}
	_ = s.server.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs kept in", s.dir)
		return
	}
	for _, h := range s.hosts {
		_ = os.Remove(filepath.Join(s.dir, h.name+".log"))
	}
	_ = os.RemoveAll(s.dir)
}
