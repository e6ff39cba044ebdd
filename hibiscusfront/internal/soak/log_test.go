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

// TestAStoppedReaderOfLogsHoldsNothingUp sends a host more requests than a pipe
// and the log's buffer can hold lines for, while nobody reads them.
func TestAStoppedReaderOfLogsHoldsNothingUp(t *testing.T) {
	binary := build(t)
	s := newSite(t, binary, 0)
	unread, log, err := os.Pipe()
	require.NoError(t, err)
	defer unread.Close()
	defer log.Close()
	metrics := freePorts(t, 1)
	h := newHost(t, binary, 0, "unread", string(s.hosts[0].store.Target))
	h.log = log
	h.arguments = []string{"--log", "debug", "--metrics", fmt.Sprint(metrics)}
	go h.keep()
	defer h.close()
	s.hosts = append(s.hosts, h)
	s.awaitReady(t, 10*time.Second)

	h.loadUnread(t)
	text := metricsOf(t, metrics)
	require.Contains(t, text, `RequestsEnded{Status="200",Route="read"} 3000`)

	// The reader comes back, learns what it has missed, and stops again.
	require.NoError(t, unread.SetReadDeadline(time.Now().Add(4*time.Second)))
	read, err := io.ReadAll(unread)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Contains(t, string(read), "log lines were dropped")
	require.Regexp(t, `State{What="LogLinesDropped"} [1-9]`, metricsOf(t, metrics))
	h.loadUnread(t)

	h.mu.Lock()
	process := h.process
	h.over = true
	h.mu.Unlock()
	require.NoError(t, process.Signal(syscall.SIGTERM))
	const grace = 8 * time.Second // of the settings
	select {
	case <-h.ended:
	case <-time.After(grace):
		t.Fatal("a host whose log nobody reads does not stop in its grace time")
	}
}

// loadUnread sends more requests than there is room for lines, and checks that
// each is answered in time.
func (h *host) loadUnread(t *testing.T) {
	t.Helper()
	const callers, each = 6, 500
	var load sync.WaitGroup
	late := make(chan string, callers*each)
	for caller := range callers {
		load.Go(func() {
			for i := range each {
				began := time.Now()
				status := readOnce(t, h, fmt.Sprintf("log-%d-%d", caller, i))
				if took := time.Since(began); status != http.StatusOK || took > time.Second {
					late <- fmt.Sprintf("status %d after %v", status, took)
				}
			}
		})
	}
	load.Wait()
	require.Empty(t, late, "requests that the unread log held up")
}

func metricsOf(t *testing.T, port int) string {
	t.Helper()
	response, err := http.Get("http://" + address(port) + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(text)
}

func readOnce(t *testing.T, h *host, id string) int {
	r := result{id: id, kind: "read"}
	send(http.DefaultClient, h.callers, &r)
	if !r.whole || !strings.Contains(r.body, id) {
		t.Errorf("request %s: body %q, whole %v", id, r.body, r.whole)
	}
	return r.status
}
