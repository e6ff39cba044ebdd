package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	versionHosts   = 4
	versionEngines = 12
	streamsPerS    = 180
	freezeTime     = 900 * time.Millisecond
	killDelay      = 200 * time.Millisecond
	killed         = 2 // hosts
	rounds         = 4
	roundTime      = 12 * time.Second
	warmTime       = 4 * time.Second
	restartPause   = 2 * time.Second
	maxMixed       = 2 // streams that may hold events of two versions
)

func (s *site) putManifest(version int, tenants []any) {
	s.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-2xp4zhp", "host": hostName, "pathPrefix": "/kafi500/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 800, "priority": 2,
				"service": "huvo11a", "attempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 400},
			map[string]any{"name": "r-8d2k", "host": hostName, "pathPrefix": "/zizi34/", "kind": "idempotent", "timeoutMs": 10000, "targetLatencyMs": 1000, "priority": 2,
				"service": "kafi81c", "attempts": 2, "public": false, "sticky": false, "resumable": false},
			map[string]any{"name": "r-77xa", "host": hostName, "pathPrefix": "/boye613/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2,
				"service": "kafi81c", "attempts": 1, "public": false, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 17.0,
				"engine": map[string]any{"slots": 64, "kvCapacity": 90520, "tokenKvBytes": 327680, "linkMbps": 740000.0, "maxConcurrency": 12,
					"models": []any{map[string]any{"name": modelName}}}},
			map[string]any{"name": "kafi81c", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}

func (s *site) putWeights() {
	s.store.Put("versions", modelName, map[string]any{"model": modelName, "version": 1})
}

func tenant(name, key string, isolated bool) any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1, "isolated": isolated}
}

// playVersions has engines of two software versions side by side. The planner's machine freezes
// for a moment; soon after it wakes, the process of another machine is killed, and the consumers
// take its streams up at the others. No stream may hold events of both versions.
func playVersions(s *site) (bool, error) {
	s.putWeights()
	s.putManifest(7, []any{tenant("pulo780", "fqasnmgkcuyj8pjbvk9m", false)})
	peers := new(engines)
	for i := range versionEngines {
		e := &engine{service: "huvo11a", software: fmt.Sprint("v", 1+i%2), events: streamEvents, pause: 60 * time.Millisecond}
		if _, err := s.startEngine(peers, 100+i, e); err != nil {
			return false, err
		}
	}
	if err := s.startHosts(versionHosts); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	d := newDirectory(s)
	var (
		consumers sync.WaitGroup
		mu        sync.Mutex
		streams   []*stream
	)
	stop := make(chan struct{})
	consumers.Go(func() {
		ticker := time.NewTicker(time.Second / streamsPerS)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			prefix := fmt.Sprintf("5c1e07%02x:650,%s:177", rand.IntN(24), newID())
			consumers.Go(func() {
				st := consume(s, d, "fqasnmgkcuyj8pjbvk9m", prefix)
				mu.Lock()
				streams = append(streams, st)
				mu.Unlock()
			})
		}
	})
	time.Sleep(warmTime)
	for range rounds {
		if trouble() {
			if err := s.freezeAndKill(); err != nil {
				return false, err
			}
		}
		time.Sleep(roundTime)
	}
	close(stop)
	consumers.Wait()
	complete, resumed, mixed := 0, 0, 0
	for _, st := range streams {
		if st.complete {
			complete++
		}
		if st.resumed {
			resumed++
		}
		if st.mixed {
			mixed++
			s.rec.add("stream of the attempts %v holds events of %v", st.attempts, st.versions)
		}
	}
	s.rec.tell("%d streams, %d complete, %d taken up by their consumers, %d hold events of two software versions (%d are allowed)", len(streams), complete, resumed, mixed, maxMixed)
	if complete < len(streams)/2 {
		return false, fmt.Errorf("only %d of %d streams were complete", complete, len(streams))
	}
	return mixed > maxMixed, nil
}

// freezeAndKill freezes the planner's machine for a moment, and then kills the processes of
// other machines at the same time.
func (s *site) freezeAndKill() error {
	planner := s.planner()
	if planner == nil {
		return fmt.Errorf("no host holds the planner's duty")
	}
	var others []*host
	for _, h := range s.hosts {
		if h != planner {
			others = append(others, h)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if os.Getenv("FREEZE") != "0" { // to tell the two disruptions apart
		planner.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		planner.signal(syscall.SIGCONT)
	}
	time.Sleep(killDelay)
	for _, h := range others[:killed] {
		go h.kill(restartPause)
	}
	return nil
}
