package soak_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/standin/fakeplatform"
)

// endlessTarget is an engine that answers requests for /faulty/ with bytes that are no answer,
// until its caller closes the connection: first many at once, then some now and then.
type endlessTarget struct{ *fakeplatform.Target }

// endlessAnswers has, for each kind, the begin of the answer to a request with the ID %s, and the
// number of bytes that follow at once.
var endlessAnswers = map[string]struct {
	begin string
	bytes int
}{
	"event": {"HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: %s\r\nX-Hibiscuslb-Response-Signature: by x\r\n\r\ndata: ", 250 << 10},
	"head":  {"HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: %s\r\nA: ", 60 << 10},
	"body":  {"HTTP/1.1 400 Bad Request\r\nX-Hibiscuslb-Request-Id: %s\r\n\r\n", 63 << 10},
}

func (e *endlessTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, "/faulty/")
	if !ok {
		e.Target.ServeHTTP(w, r)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	answer := endlessAnswers[kind]
	_, err = io.WriteString(conn, fmt.Sprintf(answer.begin, r.Header.Get("X-Hibiscuslb-Request-Id"))+strings.Repeat("x", answer.bytes))
	for err == nil {
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(conn, "x")
	}
}

// peakMemory returns the most memory in bytes that the host's process has had.
func (h *host) peakMemory(t *testing.T) int {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("the process has no peak memory")
	return 0
}

// TestEndlessAnswersLeaveHostItsMemory guards against engines that send bytes without end: each
// answer was bounded, but not all together, so that the host ran out of memory and ended with the
// requests of other callers.
func TestEndlessAnswersLeaveHostItsMemory(t *testing.T) {
	const (
		memory  = 134 << 20
		engines = 16
		each    = 300 // requests of each kind
		timeout = 6 * time.Second
	)
	s := newSite(t, build(t), 0)
	h := s.hosts[0]
	text, err := os.ReadFile(h.settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(h.settings, []byte(strings.Replace(string(text), "memoryMb: 284", fmt.Sprint("memoryMb: ", memory>>20), 1)), 0o600))
	h.restart()
	for i := range engines {
		id := fmt.Sprint("endless-", i)
		address := serve(t, &endlessTarget{&fakeplatform.Target{ID: id, Model: model}})
		s.store.Put("servers", id, map[string]any{
			"service": "faulty", "address": address, "zone": "z", "slots": 64, "state": "ready", "coldRemainingMs": 0,
			"models": []map[string]any{{"name": model, "version": 1}}, "version": "",
		})
	}
	s.putFaultyRoutes(timeout)
	s.awaitReady(t, 10*time.Second)
	time.Sleep(time.Second) // all hosts have the configuration

	var callers sync.WaitGroup
	client := &http.Client{Timeout: 2 * timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for i := range each {
		for kind := range endlessAnswers {
			callers.Go(func() {
				send(client, h.callers, &result{id: fmt.Sprint(kind, "-", i), kind: "resume", path: "/faulty/" + kind, prefix: fmt.Sprintf("aa:10,b%d:10", i)})
			})
		}
	}
	served, asked := 0, 0
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r := result{id: fmt.Sprint("sound-", asked), kind: "order"}
		send(client, h.callers, &r)
		asked++
		if r.status == http.StatusOK && r.complete {
			served++
		}
	}
	peak := h.peakMemory(t)
	callers.Wait()
	t.Logf("%d of %d sound requests were served; the process had %d MB at most", served, asked, peak>>20)
	require.Equal(t, asked, served)
	require.Less(t, peak, memory)
}

// putFaultyRoutes writes a configuration with routes to the service faulty.
func (s *site) putFaultyRoutes(timeout time.Duration) {
	s.store.Put("config", "main", map[string]any{
		"version": s.configVersion + 3,
		"routes": []map[string]any{
			{"name": "order", "host": "h.example", "pathPrefix": "/order/", "kind": "non_idempotent", "service": "plain", "attempts": 1, "timeoutMs": 1500},
			{"name": "event", "host": "h.example", "pathPrefix": "/faulty/event", "kind": "streaming", "service": "faulty", "attempts": 1, "timeoutMs": timeout.Milliseconds(), "resumable": true},
			{"name": "head", "host": "h.example", "pathPrefix": "/faulty/head", "kind": "idempotent", "service": "faulty", "attempts": 1, "timeoutMs": timeout.Milliseconds()},
			{"name": "body", "host": "h.example", "pathPrefix": "/faulty/body", "kind": "idempotent", "service": "faulty", "attempts": 1, "timeoutMs": timeout.Milliseconds()},
		},
		"services": []map[string]any{
			{"name": "plain", "maxConns": 100},
			{"name": "faulty", "maxConns": 1000, "engine": map[string]any{"slots": 64, "kvCapacity": 100000, "tokenKvBytes": 1000, "linkMbps": 100000}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "w", "apiKeys": []string{"key-w"}}},
	})
}
