package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const settingsText = `nodeName: "%s"
ip: "127.0.0.1"
zone: "z"
region: "r"
zones: {z: "r"}
listen: {front: "%s", ready: "%s", directory: "%s"}
portRange: [%d, %d]
limits: {cpuShare: 0.4, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0}
bounds: {drainMs: 2000, graceS: 8, configApplyMs: 2000, versionMs: 6000, leaseMs: 3000, stableWindowMs: 3000,
  retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 54, coldOver: 1.5, coldSlack: 5, ttl_max_s: 5%s}
provider: {address: "%s", writesPerS: 400, readsPerS: 2000}
`

// newHost writes the settings of a host and starts the proxy to its store. It does
// not start the process. Bounds are added to those of the settings.
func newHost(t *testing.T, binary string, seed uint64, name, storeAddress, bounds string) *host {
	t.Helper()
	ports, peers := freePorts(t, 3), freePorts(t, 2)
	h := &host{
		name: name, binary: binary, settings: filepath.Join(t.TempDir(), "boot.yaml"),
		callers: address(ports), ready: address(ports + 1), directory: address(ports + 2),
		store: newPath(t, storeAddress), log: openLog(t, seed, name), ended: make(chan struct{}),
	}
	text := fmt.Sprintf(settingsText, name, h.callers, h.ready, h.directory, peers, peers+1, bounds, h.store.Listen)
	require.NoError(t, os.WriteFile(h.settings, []byte(text), 0o600))
	return h
}

// supervise runs the process and restarts it 200 ms after it ends, until the host
// is stopped.
func (h *host) supervise() {
	defer close(h.ended)
	for {
		h.mu.Lock()
		for h.paused && !h.stopped {
			h.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			h.mu.Lock()
		}
		command := exec.Command(h.binary, h.arguments...)
		command.Env = append(os.Environ(), "HIBISCUSLB_SETTINGS="+h.settings)
		command.Stdout, command.Stderr = h.log, h.log
		if h.stopped || command.Start() != nil {
			h.mu.Unlock()
			return
		}
		h.process = command.Process
		h.disturbed = append(h.disturbed, time.Now())
		h.mu.Unlock()
		_ = command.Wait() // an error is expected after a signal; its cause is in the host's log
		time.Sleep(200 * time.Millisecond)
	}
}

// signal sends a signal to the current process, if there is one.
func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.disturbed = append(h.disturbed, time.Now())
		_ = h.process.Signal(signal) // fails if the process has ended
	}
}

// use sets the program that the next process runs.
func (h *host) use(binary string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.binary = binary
}

// setPaused sets whether a process that has ended is left ended for now.
func (h *host) setPaused(paused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused = paused
}

// stop ends the process by SIGTERM. It is not started again.
func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.signal(syscall.SIGTERM)
}

// disturbances returns when the process was started or got a signal.
func (h *host) disturbances() []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]time.Time(nil), h.disturbed...)
}

// kill sends a signal that may end the process; supervise then restarts it.
func (h *host) kill(signal syscall.Signal) { h.signal(signal) }

// restart ends the process and returns when supervise has started another one.
func (h *host) restart() {
	h.mu.Lock()
	before := h.process
	h.mu.Unlock()
	h.signal(syscall.SIGKILL)
	for {
		time.Sleep(10 * time.Millisecond)
		h.mu.Lock()
		process := h.process
		h.mu.Unlock()
		if process != before {
			return
		}
	}
}

// suspend stops the process with SIGSTOP and resumes it after the pause.
func (h *host) suspend(pause time.Duration) {
	h.signal(syscall.SIGSTOP)
	time.AfterFunc(pause, func() { h.signal(syscall.SIGCONT) })
}

// close kills the process and waits until it is no longer supervised.
func (h *host) close() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.ended
}
