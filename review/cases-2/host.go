package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The layout follows the settings of a front machine of the small site ksw-refill.
const settingsText = `nodeName: "%s"
role: "front"
machineClass: "front"
serves: ["front", "directory"]
ip: "%s"
zone: "%s"
region: "lk-west"
zones: {kurunegala: "lk-west", negombo: "lk-west", colombo-port: "lk-west", kalutara: "lk-west"}
listen: {front: "%[2]s:%[4]d", ready: "%[2]s:%[5]d", directory: "%[2]s:%[6]d"}
portRange: [%[7]d, %[8]d]
seeds: []
firstStart: %[9]t
inTolerance: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: 134, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "directory"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "places", "platform"]
faultTolerance: {machines: 2, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, stableWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200,
  configApplyMs: 2000, downgradeSlackMs: 250, skewMaxMs: 5000, revokeStrict: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10,
  budgetSlack: 58, coldOver: 1.5, coldSlack: 5, evacuateMs: 5000, recoverS: 12, transitMaxMs: 120, reuseWindowS: 20, fencingEnforced: false,
  leaseMs: 3000, thawMs: 300, versionMs: 6000, versionAllMs: 8400, ttl_max_s: 5}
provider: {address: "%[10]s", form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`

// ports are those of all hosts, each of which has an address of its own.
type ports struct{ front, ready, directory, peers int }

// A host is a front host: a process that is started again when it ends.
type host struct {
	name, ip, zone string
	binary, store  string
	ports          ports
	settings       string
	log            *os.File

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	starts  []time.Time
	done    chan struct{}
}

// writeSettings writes the settings file. The first start of the whole system is marked in it.
func (h *host) writeSettings(first bool) error {
	text := fmt.Sprintf(settingsText, h.name, h.ip, h.zone, h.ports.front, h.ports.ready, h.ports.directory, h.ports.peers, h.ports.peers+1, first, h.store)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

func newHost(dir, binary, store string, i int, p ports) (*host, error) {
	zones := []string{"kurunegala", "negombo", "colombo-port", "kalutara"}
	name := fmt.Sprintf("front-%d", i)
	h := &host{name: name, ip: hostIP(i), zone: zones[i%len(zones)], binary: binary, store: store, ports: p, settings: filepath.Join(dir, name+".yaml"), done: make(chan struct{})}
	var err error
	if h.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return h, h.writeSettings(true)
}

func hostIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

// supervise runs the process until the host is stopped. The command is that of the deploy file.
func (h *host) supervise() {
	defer close(h.done)
	for first := true; ; first = false {
		if !first {
			time.Sleep(300 * time.Millisecond)
			_ = h.writeSettings(false)
		}
		h.mu.Lock()
		command := exec.Command(h.binary, "--metrics", "9464")
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HIBISCUSLB_SETTINGS=" + h.settings}
		command.Stdout, command.Stderr = h.log, h.log
		// The process ends with this one.
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if h.stopped || command.Start() != nil {
			h.mu.Unlock()
			return
		}
		h.command = command
		h.starts = append(h.starts, time.Now())
		h.mu.Unlock()
		_ = command.Wait()
	}
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		_ = h.command.Process.Signal(s)
	}
}

// end ends the process for good.
func (h *host) end() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.done
	_ = h.log.Close()
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, h.ports.front) }

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", h.ip, h.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// freePorts returns ports that are free at all the addresses.
func freePorts(ips []string) (ports, error) {
	free := func(port int) bool {
		for _, ip := range ips {
			l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
		return true
	}
	for base := 21000 + os.Getpid()%500*16; base < 32000; base += 16 {
		all := true
		for i := range 6 {
			all = all && free(base+i)
		}
		if all {
			return ports{base, base + 1, base + 2, base + 4}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}
