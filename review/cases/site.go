package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hibiscuslb/standin/fakeplatform"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	callersPort   = 8580
	controlPort   = 8582
	directoryPort = 8584
	readyPort     = 8586
	storePort     = 8587
	enginePort    = 8080
	firstPeerPort = 7260
	lastPeerPort  = 7275
)

// memoryMb is the memory of a machine.
const memoryMb = 134

// A site is a small deployment: the object store, engines, and front hosts as processes.
type site struct {
	rec    *record
	dir    string // temporary folder
	net    string // first three bytes of all addresses
	root   string // of the repository
	run    []string
	store  *fakeplatform.Store
	hosts  []*host
	ctx    context.Context
	cancel context.CancelFunc
}

// A host supervises the process of a front host.
type host struct {
	site           *site
	name, ip       string
	settings       string
	mu             sync.Mutex
	process        *os.Process
	ended          chan struct{} // of the current process
	stopped        bool
	memoryExceeded int // times that the process was ended since it had more memory than its machine
}

func newSite(rec *record, root string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	run, err := runCommand(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, root: root, run: run, store: &fakeplatform.Store{Latency: 4 * time.Millisecond}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		if l, err := net.Listen("tcp", s.address(250, storePort)); err == nil {
			go s.serve(l, s.store)
			return s, nil
		}
	}
	return nil, errors.New("no free address for the object store")
}

// runCommand returns the command of the role in the deploy file.
func runCommand(file string) ([]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s has no command", file)
}

func (s *site) address(last, port int) string { return fmt.Sprintf("%s.%d:%d", s.net, last, port) }

func (s *site) serve(l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	go func() {
		<-s.ctx.Done()
		_ = server.Close()
	}()
	_ = server.Serve(l) // returns when the site is closed
}

// listen starts an engine's server and returns its address.
func (s *site) listen(last int, handler http.Handler) (string, error) {
	address := s.address(last, enginePort)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go s.serve(l, handler)
	return address, nil
}

const settingsText = `nodeName: "%[1]s"
role: "front"
machineClass: "front"
serves: ["front", "directory"]
ip: "%[2]s"
zone: "kurunegala"
region: "lk-west"
zones: {kurunegala: "lk-west"}
listen: {front: "%[2]s:%[3]d", ready: "%[2]s:%[4]d", directory: "%[2]s:%[5]d"}
portRange: [%[6]d, %[7]d]
seeds: []
firstStart: %[8]t
inTolerance: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: %[9]d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "directory"
heartbeatMs: 1200
faultTolerance: {machines: 2, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, stableWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200,
  configApplyMs: 2000, downgradeSlackMs: 250, skewMaxMs: 5000, revokeStrict: false, revokeMs: 5000, retryBudgetRatio: 0.2,
  budgetWindowS: 10, budgetSlack: 58, coldOver: 1.5, coldSlack: 5, evacuateMs: 5000, recoverS: 12, transitMaxMs: 120, reuseWindowS: 20,
  fencingEnforced: false, leaseMs: 3000, thawMs: 300, versionMs: 6000, versionAllMs: 8400, ttl_max_s: 5}
provider: {address: "%[10]s", form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`

func (h *host) writeSettings(first bool) error {
	text := fmt.Sprintf(settingsText, h.name, h.ip, callersPort, readyPort, directoryPort, firstPeerPort, lastPeerPort, first, memoryMb, h.site.address(250, storePort))
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// startHosts starts the front hosts and waits until all are ready.
func (s *site) startHosts(n int) error {
	for i := range n {
		h := &host{site: s, name: fmt.Sprintf("front-kurunegala-%d", i+1), ip: fmt.Sprintf("%s.%d", s.net, i+1)}
		h.settings = filepath.Join(s.dir, h.name+".yaml")
		if err := h.writeSettings(true); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, h := range s.hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if err := h.writeSettings(false); err != nil { // for later starts
			return err
		}
	}
	return nil
}

func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(h.site.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(h.site.run[0], h.site.run[1:]...)
	command.Dir = h.site.root
	command.Env = []string{"HIBISCUSLB_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.process, h.ended = command.Process, ended
	h.site.rec.add("platform: started %s, process %d", h.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		h.site.rec.add("platform: the process of %s has ended: %v", h.name, err)
		close(ended)
	}()
	return nil
}

func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.site.rec.add("platform: %v to %s", signal, h.name)
		_ = h.process.Signal(signal) // fails if the process has ended
	}
}

// kill ends the process; the platform starts it again after a pause.
func (h *host) kill(pause time.Duration) {
	h.signal(syscall.SIGKILL)
	<-h.ended
	time.AfterFunc(pause, func() {
		if err := h.start(); err != nil {
			h.site.rec.add("platform: cannot start %s: %v", h.name, err)
		}
	})
}

// close ends all processes and servers.
func (s *site) close() {
	for _, h := range s.hosts {
		h.mu.Lock()
		h.stopped = true
		h.mu.Unlock()
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		if h.ended != nil {
			<-h.ended
		}
	}
	s.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// planner returns the host that holds the planner's duty, by its object in the store.
func (s *site) planner() *host {
	response, err := http.Get("http://" + s.address(250, storePort) + "/-/objects/duties/planner")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var o struct{ Spec struct{ Holder string } }
	if json.NewDecoder(response.Body).Decode(&o) != nil {
		return nil
	}
	for _, h := range s.hosts {
		if h.name == o.Spec.Holder {
			return h
		}
	}
	return nil
}

// lookup asks up to three hosts, in random order, where to connect.
func (s *site) lookup() []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(s.hosts))[:min(3, len(s.hosts))] {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/-/lookup?name=%s&region=lk-west&zone=kurunegala", s.hosts[i].ip, directoryPort, hostName))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttlS"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// hostName is the name by which consumers call the system.
const hostName = "nylo40.example"
