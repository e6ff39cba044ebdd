package soak_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBlockedLogPipeDelaysNoRequests guards against requests or the shutdown of a
// host waiting for its log. The host logs to a pipe that is not read, and the requests
// cause more log lines than the pipe and the log's buffer can hold. All requests must
// be answered in time, and the host must end within its grace period after SIGTERM.
func TestBlockedLogPipeDelaysNoRequests(t *testing.T) {
	binary := build(t)
	s := newSite(t, binary, 0)
	unread, log, err := os.Pipe()
	require.NoError(t, err)
	defer unread.Close()
	defer log.Close()
	metrics := freePorts(t, 1)
	h := newHost(t, binary, 0, "unread", string(s.hosts[0].store.Target), "")
	h.log = log
	h.arguments = []string{"--log", "debug", "--metrics", fmt.Sprint(metrics)}
	go h.supervise()
	defer h.close()
	s.hosts = append(s.hosts, h)
	s.awaitReady(t, 10*time.Second)

	h.loadWithBlockedLog(t)
	text := fetchMetrics(t, metrics)
	require.Contains(t, text, `RequestsEnded{Status="200",Route="read"} 3000`)

	// A reader that resumes gets a line about the dropped lines. Then it stops
	// reading again.
	require.NoError(t, unread.SetReadDeadline(time.Now().Add(4*time.Second)))
	read, err := io.ReadAll(unread)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Contains(t, string(read), "log lines were dropped")
	require.Regexp(t, `State{What="LogLinesDropped"} [1-9]`, fetchMetrics(t, metrics))
	h.loadWithBlockedLog(t)

	h.mu.Lock()
	process := h.process
	h.stopped = true
	h.mu.Unlock()
	require.NoError(t, process.Signal(syscall.SIGTERM))
	const grace = 8 * time.Second // graceS in settingsText
	select {
	case <-h.ended:
	case <-time.After(grace):
		t.Fatalf("host %s with a blocked log pipe did not stop within its grace period of %v after SIGTERM", h.name, grace)
	}
}

// loadWithBlockedLog sends more requests than the pipe and the log's buffer have
// room for lines, and checks that each is answered with 200 within a second.
func (h *host) loadWithBlockedLog(t *testing.T) {
	t.Helper()
	const callers, each = 6, 500
	var load sync.WaitGroup
	late := make(chan string, callers*each)
	for caller := range callers {
		load.Go(func() {
			for i := range each {
				began := time.Now()
				status := sendRead(t, h, fmt.Sprintf("log-%d-%d", caller, i))
				if took := time.Since(began); status != http.StatusOK || took > time.Second {
					late <- fmt.Sprintf("status %d after %v", status, took)
				}
			}
		})
	}
	load.Wait()
	require.Empty(t, late, "requests that failed or took over 1 s while the log pipe was blocked")
}

func fetchMetrics(t *testing.T, port int) string {
	t.Helper()
	response, err := http.Get("http://" + address(port) + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(text)
}

// sendRead sends one request to h and returns the status of its answer.
func sendRead(t *testing.T, h *host, id string) int {
	r := result{id: id, kind: "read"}
	send(http.DefaultClient, h.callers, &r)
	if !r.complete || !strings.Contains(r.body, id) {
		t.Errorf("request %s: got body %q (complete: %v), want a complete body that contains the ID", id, r.body, r.complete)
	}
	return r.status
}
