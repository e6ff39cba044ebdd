//go:build crowd

package soak_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// These tests have a crowd of clients send one host requests of legal size that never end, with
// limits of the host that such a crowd exceeds. They need the machine for themselves, so `make
// test` runs them after all others, by their build tag.

const (
	crowdMemory      = 88 << 20 // of the host
	crowdDescriptors = 400      // of the host
	crowdBody        = 4 << 20  // longest body that the configuration allows
	crowdHead        = 16 << 10 // longest head that the configuration allows
	shortOfEnd       = 10       // bytes that a client does not send
	crowdTimeout     = 30 * time.Second
)

// newCrowdSite returns a site with one host, whose limits are those of the crowd.
func newCrowdSite(t *testing.T) (*site, *host) {
	t.Helper()
	s := newSite(t, build(t), 0)
	for _, h := range s.hosts[1:] {
		h.close()
	}
	s.hosts = s.hosts[:1]
	h := s.hosts[0]
	text, err := os.ReadFile(h.settings)
	require.NoError(t, err)
	lowered := strings.NewReplacer("memoryMb: 284", fmt.Sprint("memoryMb: ", crowdMemory>>20), "maxFds: 4100", fmt.Sprint("maxFds: ", crowdDescriptors))
	require.NoError(t, os.WriteFile(h.settings, []byte(lowered.Replace(string(text))), 0o600))
	h.restart()
	s.store.Put("config", "main", map[string]any{
		"version": s.configVersion + 3,
		"routes": []map[string]any{
			{"name": "order", "host": "h.example", "pathPrefix": "/order/", "kind": "non_idempotent", "service": "plain", "attempts": 1, "timeoutMs": 5000, "targetLatencyMs": 2000},
			{"name": "long", "host": "h.example", "pathPrefix": "/long/", "kind": "non_idempotent", "service": "long", "attempts": 1, "timeoutMs": 20000},
			{"name": "talk", "host": "h.example", "pathPrefix": "/talk/", "kind": "streaming", "service": "lm", "attempts": 1, "timeoutMs": 20000, "targetLatencyMs": 2000},
			{"name": "stuck", "host": "h.example", "pathPrefix": "/stuck/", "kind": "non_idempotent", "service": "stuck", "attempts": 1, "timeoutMs": 20000},
		},
		"services": []map[string]any{{"name": "plain", "maxConns": 100}, {"name": "long", "maxConns": 1000}, {"name": "stuck", "maxConns": 1000},
			{"name": "lm", "maxConns": 100, "engine": map[string]any{"slots": 64, "kvCapacity": 100000, "tokenKvBytes": 1000, "linkMbps": 100000}}},
		"limits":  map[string]any{"maxHeaderBytes": crowdHead, "maxBodyBytes": crowdBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "w", "apiKeys": []string{"key-w"}}},
	})
	for service, address := range map[string]string{"long": serve(t, http.HandlerFunc(longAnswer)), "stuck": serveNothing(t)} {
		s.store.Put("servers", "i-"+service, map[string]any{
			"service": service, "address": address, "zone": "z", "slots": 1000, "state": "ready", "coldRemainingMs": 0, "version": "",
		})
		h.backends = append(h.backends, address)
	}
	s.awaitReady(t, crowdTimeout)
	return s, h
}

// longAnswer answers with as many bytes as the longest body of a request has.
func longAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Hibiscuslb-Request-Id", r.Header.Get("X-Hibiscuslb-Request-Id"))
	w.Header().Set("X-Hibiscuslb-Response-Signature", "by long")
	w.Header().Set("Content-Length", strconv.Itoa(crowdBody))
	_, _ = w.Write(bytes.Repeat([]byte("x"), crowdBody)) // fails if the host gives the request up
}

// serveNothing accepts connections, reads nothing from them and sends nothing. It returns its
// address.
func serveNothing(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
	})
	return l.Addr().String()
}

// A level is the most that a process has had. Queued are the bytes in the buffers of its sockets, which
// count toward the memory of its machine.
type level struct{ memory, queued, descriptors atomic.Int64 }

// watch samples what the process of the host has until stop is called.
func (l *level) watch(h *host) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	h.mu.Lock()
	pid := h.process.Pid
	h.mu.Unlock()
	raise := func(v *atomic.Int64, to int64) { v.Store(max(v.Load(), to)) }
	go func() {
		defer close(ended)
		for {
			queued := queuedBytes(h)
			raise(&l.queued, queued)
			raise(&l.memory, residentBytes(pid)+queued)
			if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				raise(&l.descriptors, int64(len(list)))
			}
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// residentBytes returns the memory of a process, zero if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// queuedBytes returns the bytes that the host has received and not read, or sent without having an
// acknowledgement, on its connections to clients and to the targets of the crowd.
func queuedBytes(h *host) int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	port := func(address string) string {
		_, port, _ := net.SplitHostPort(address)
		n, _ := strconv.Atoi(port)
		return fmt.Sprintf(":%04X", n)
	}
	local, remote := make(map[string]bool), make(map[string]bool)
	for _, address := range []string{h.callers, h.directory, h.ready} {
		local[port(address)] = true
	}
	for _, address := range h.backends {
		remote[port(address)] = true
	}
	const listening, portLen = "0A", 5 // of a listener, the queue is that of connections
	queued := int64(0)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == listening || len(fields[1]) < portLen || len(fields[2]) < portLen {
			continue
		}
		if !local[fields[1][len(fields[1])-portLen:]] && !remote[fields[2][len(fields[2])-portLen:]] {
			continue
		}
		for part := range strings.SplitSeq(fields[4], ":") {
			n, _ := strconv.ParseInt(part, 16, 64)
			queued += n
		}
	}
	return queued
}

// run sends what the clients of the kind send. The connections stay open until close is called.
func (k *crowdKind) run(t *testing.T, h *host) (closeAll func()) {
	t.Helper()
	var connections []net.Conn
	for i := range k.clients {
		// The host may refuse the connection, or close it at any time.
		conn, err := net.DialTimeout("tcp", k.address(h), crowdTimeout)
		if err != nil {
			continue
		}
		connections = append(connections, conn)
		_ = conn.SetDeadline(time.Now().Add(2 * crowdTimeout))
		if k.reads {
			go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
		}
		if k.head != nil {
			_, _ = io.WriteString(conn, k.head(i))
		}
	}
	send := func(conn net.Conn, piece int) bool {
		if k.body == nil {
			return false
		}
		data := k.body(piece)
		if len(data) == 0 {
			return false
		}
		_, err := conn.Write(data)
		return err == nil
	}
	var group sync.WaitGroup
	if k.inTurn {
		open := append([]net.Conn(nil), connections...)
		for piece := 0; len(open) > 0; piece++ {
			kept := open[:0]
			for _, conn := range open {
				if send(conn, piece) {
					kept = append(kept, conn)
				}
			}
			open = kept
		}
	} else {
		for _, conn := range connections {
			group.Go(func() {
				for piece := 0; send(conn, piece); piece++ {
				}
			})
		}
	}
	group.Wait()
	return func() {
		for _, conn := range connections {
			_ = conn.Close()
		}
	}
}

// requireServed asks until a request is served.
func requireServed(t *testing.T, h *host, name string, head, body []byte) {
	t.Helper()
	var last string
	for end, n := time.Now().Add(crowdTimeout), 0; time.Now().Before(end); n++ {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: crowdTimeout}
		request, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/order/x", bytes.NewReader(body))
		require.NoError(t, err)
		request.Host = "h.example"
		request.Header.Set("X-Hibiscuslb-Request-Id", fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), n))
		request.Header.Set("X-Hibiscuslb-Deadline-Ms", "5000")
		request.Header.Set("Authorization", "Token key-w")
		for line := range strings.FieldsSeq(string(head)) {
			request.Header.Set(line, "1")
		}
		response, err := client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if last = response.Status; err == nil && response.StatusCode == http.StatusOK {
				return
			}
		} else {
			last = err.Error()
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("%s: not served, last result: %s", name, last)
}

// TestCrowdLeavesHostItsMemory guards against clients that the operators do not control: they sent
// many heads and bodies of legal size at once, stopped just short of their end and kept their
// connections open, and the process ran out of memory or descriptors.
func TestCrowdLeavesHostItsMemory(t *testing.T) {
	for _, kind := range crowdKinds {
		t.Run(strings.ReplaceAll(kind.name, " ", "-"), func(t *testing.T) {
			_, h := newCrowdSite(t)
			requireServed(t, h, "ordinary request before", nil, []byte("body"))
			h.mu.Lock()
			process := h.process
			h.mu.Unlock()
			var most level
			stop := most.watch(h)
			closeAll := kind.run(t, h)
			requireServed(t, h, "ordinary request beside the crowd", nil, []byte("body"))
			closeAll()
			requireServed(t, h, "ordinary request after the crowd", nil, []byte("body"))
			requireServed(t, h, "long request in calm", nil, bytes.Repeat([]byte("x"), crowdBody))
			stop()
			h.mu.Lock()
			defer h.mu.Unlock()
			t.Logf("at most %d MB, %d KB of them in buffers of sockets, and %d descriptors",
				most.memory.Load()>>20, most.queued.Load()>>10, most.descriptors.Load())
			require.Equal(t, process.Pid, h.process.Pid, "the process has ended")
			require.LessOrEqual(t, most.memory.Load(), int64(crowdMemory))
			require.LessOrEqual(t, most.descriptors.Load(), int64(crowdDescriptors))
		})
	}
}
