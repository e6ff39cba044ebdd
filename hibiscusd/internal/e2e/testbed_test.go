package e2e

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/caller"
	"hibiscuslb/fleet/operator"
	"hibiscuslb/fleet/operatorapi"
	"hibiscuslb/standin/fakeplatform"
	"hibiscuslb/standin/link"
	"hibiscuslb/standin/modelengine"
	"hibiscuslb/standin/plainservice"
	"hibiscuslb/standin/storehost"
)

// binary is the path of the hibiscusd binary, which TestMain builds.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hibiscusd")
	if err == nil {
		binary = filepath.Join(dir, "hibiscusd")
		build := exec.Command("go", "build", "-o", binary, "hibiscuslb/hibiscusd")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// server serves a stand-in. It keeps its address when it is started again.
type server struct {
	address fleet.Address
	http    *http.Server
}

func (s *server) start(t *testing.T, handler http.Handler) {
	t.Helper()
	address := s.address
	if address == "" {
		address = freeAddress(t)
	}
	var listener net.Listener
	require.Eventually(t, func() bool {
		var err error
		listener, err = net.Listen("tcp", string(address))
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	s.address = fleet.Address(listener.Addr().String())
	s.http = &http.Server{Handler: handler}
	httpServer := s.http
	go func() { _ = httpServer.Serve(listener) }()
	t.Cleanup(func() { _ = httpServer.Close() })
}

// kill closes the listener and all connections.
func (s *server) kill() { _ = s.http.Close() }

// host is one hibiscusd process.
type host struct {
	name                               string
	dataCentre                         string
	callerAddr, peerAddr, operatorAddr fleet.Address
	platformProxy                      *link.Proxy // through which the host reaches the platform
	command                            *exec.Cmd
	exited                             chan struct{}
}

// testbed is a fleet of hibiscusd processes with stand-ins that run in the test
// process. Engines 0 and 1 are in data centre a, 2 and 3 in b.
type testbed struct {
	t              *testing.T
	dir            string
	platform       fakeplatform.Store
	platformServer server
	engines        [4]*modelengine.Engine
	engineServers  [4]server
	store          *storehost.Store
	storeServer    server
	service        *plainservice.Service
	serviceServer  server
	hosts          []*host
	declaration    string
	operator       *operator.Client
	caller         *caller.Client
	agentsCaller   *caller.Client // of another workspace than caller
	engineConfig   modelengine.Config
}

const (
	leaseLength = 2 * time.Second
	coldLimit   = 2
	waitTimeout = 90 * time.Second
)

// newTestbed starts the stand-ins and the given number of hosts, applies the
// declaration and waits until the fleet serves.
func newTestbed(t *testing.T, hosts int) *testbed {
	t.Helper()
	t.Parallel()
	b := &testbed{t: t, dir: t.TempDir(), engineConfig: modelengine.Config{
		Model: "answer", Version: "v1", PrefillRate: 400_000, PieceInterval: 10 * time.Millisecond,
		CacheBlocks: 8, BlockLength: 1 << 20, ColdCapacity: coldLimit, ColdTime: time.Second,
		ReportLag: 200 * time.Millisecond, EventLossInterval: 7,
	}}
	b.platformServer.start(t, b.platform.Handler())
	for i := range b.engines {
		b.startEngine(i, fleet.Incarnation(i+1))
	}
	b.store = storehost.New(storehost.Config{Incarnation: 1, Memory: 1 << 30, Disk: 1 << 30, LinkRate: 1 << 30, DiskRate: 1 << 30})
	b.storeServer.start(t, b.store.Handler())
	b.service = plainservice.New(plainservice.Config{CallTime: 2 * time.Millisecond, ColdCapacity: 8})
	b.serviceServer.start(t, b.service.Handler())
	for i := range hosts {
		b.hosts = append(b.hosts, b.newHost(i))
	}
	b.operator = &operator.Client{Key: "operators-key"}
	httpClient := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true,
	}}
	b.caller = &caller.Client{Key: "clerks-key", HTTP: httpClient}
	b.agentsCaller = &caller.Client{Key: "agents-key", HTTP: httpClient}
	for _, h := range b.hosts {
		b.start(h)
		b.operator.Hosts = append(b.operator.Hosts, h.operatorAddr)
		b.caller.EntryHosts = append(b.caller.EntryHosts, h.callerAddr)
		b.agentsCaller.EntryHosts = append(b.agentsCaller.EntryHosts, h.callerAddr)
	}
	b.awaitReady(b.hosts...)
	b.declaration = b.declarationText()
	b.apply(b.declaration)
	b.awaitEngines()
	b.awaitWitnesses()
	return b
}

// awaitWitnesses waits until every host has its full panel of witnesses. If a host
// fails together with its first witness within a second of its start, no other
// host ends it; see the known limits in docs/DESIGN.md.
func (b *testbed) awaitWitnesses() {
	b.t.Helper()
	const panelSize = 4
	for _, h := range b.hosts {
		b.eventually(h.name+" has its full panel of witnesses", func() bool {
			return b.memberStatus(h, h).Witnesses == min(len(b.hosts)-1, panelSize)
		})
	}
}

func (b *testbed) startEngine(i int, incarnation fleet.Incarnation) {
	config := b.engineConfig
	config.Incarnation = incarnation
	b.engines[i] = modelengine.New(config)
	b.engineServers[i].start(b.t, b.engines[i].Handler())
}

// lastPort is the offset from firstPort of the port that was assigned last. Ports
// are below the range that the system uses for outgoing connections.
var lastPort atomic.Int32

const firstPort = 23000

// freeAddress returns an address that no other test of this process uses.
func freeAddress(t *testing.T) fleet.Address {
	t.Helper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort.Add(1))
		if listener, err := net.Listen("tcp", address); err == nil {
			require.NoError(t, listener.Close())
			return fleet.Address(address)
		}
	}
	t.Fatalf("no free port found in 1000 tries, last tried %d", firstPort+lastPort.Load())
	return ""
}

func (b *testbed) newHost(i int) *host {
	h := &host{
		name: fmt.Sprintf("host-%d", i+1), dataCentre: []string{"a", "b"}[i%2],
		callerAddr: freeAddress(b.t), peerAddr: freeAddress(b.t), operatorAddr: freeAddress(b.t),
		platformProxy: &link.Proxy{Listen: freeAddress(b.t), Target: b.platformServer.address},
	}
	runProxy(b.t, h.platformProxy)
	return h
}

// runProxy runs a proxy until the test ends.
func runProxy(t *testing.T, proxy *link.Proxy) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		for {
			err := proxy.Run(ctx)
			// The address may still be in use: a process that another test is
			// starting inherits all open listeners until it executes its
			// program, including the one with which freeAddress probed the port.
			if ctx.Err() != nil || !errors.Is(err, syscall.EADDRINUSE) {
				done <- err
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("proxy at %s: %v", proxy.Listen, err)
		}
	})
}

// TestProxyRetriesUntilAddressIsFree guards against a proxy that ends when its
// address is still in use; the host behind it would never become ready.
func TestProxyRetriesUntilAddressIsFree(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	address := freeAddress(t)
	blocker, err := net.Listen("tcp", string(address))
	require.NoError(t, err)
	runProxy(t, &link.Proxy{Listen: address, Target: fleet.Address(target.Addr().String())})
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, blocker.Close())
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", string(address))
		return err == nil && conn.Close() == nil
	}, 5*time.Second, 10*time.Millisecond)
}

// start starts the process of a host. If the test fails, the end of the host's log
// is printed.
func (b *testbed) start(h *host) {
	settings := fmt.Sprintf(`[Host]
Name = %s
DataCentre = %s
Region = r

[Listen]
Callers = %s
Hosts = %s
Operators = %s

[Platform]
Address = %s
Timeout = 1s

[Keys]
Fleet = fleet-key
Operators = operators-key
CacheSecret = %064d

[Lease]
Length = %v
Margin = 500ms

[Limits]
AddressTTL = 1s
IdleTime = 2s
`, h.name, h.dataCentre, h.callerAddr, h.peerAddr, h.operatorAddr, h.platformProxy.Listen, 7, leaseLength)
	file := filepath.Join(b.dir, h.name+".ini")
	require.NoError(b.t, os.WriteFile(file, []byte(settings), 0o600))
	log, err := os.OpenFile(filepath.Join(b.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(b.t, err)
	command := exec.Command(binary, "--settings", file)
	command.Stdout, command.Stderr = log, log
	require.NoError(b.t, command.Start())
	exited := make(chan struct{})
	h.command, h.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	b.t.Cleanup(func() {
		_ = command.Process.Kill()
		<-exited
		if b.t.Failed() {
			text, _ := os.ReadFile(filepath.Join(b.dir, h.name+".log"))
			lines := strings.Split(string(text), "\n")
			b.t.Logf("%s:\n%s", h.name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
		}
	})
}

func (h *host) signal(sig syscall.Signal) { _ = h.command.Process.Signal(sig) }

// eventually waits until the condition holds and logs how long that took.
func (b *testbed) eventually(what string, condition func() bool) {
	b.t.Helper()
	start := time.Now()
	require.Eventually(b.t, condition, waitTimeout, 50*time.Millisecond, what)
	b.t.Logf("%s after %v", what, time.Since(start).Round(time.Millisecond))
}

// awaitReady waits until the hosts report that they are ready.
func (b *testbed) awaitReady(hosts ...*host) {
	b.t.Helper()
	for _, h := range hosts {
		b.eventually(h.name+" is ready", func() bool {
			response, err := http.Get("http://" + string(h.operatorAddr) + "/ready")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

// ownerOf returns the owner of a target if it may act, and the epoch of the duty. It
// returns nil if there is none.
func (b *testbed) ownerOf(target fleet.TargetID) (*host, fleet.Epoch) {
	for _, h := range b.hosts {
		status, err := b.operator.StatusAt(context.Background(), h.operatorAddr)
		if err != nil {
			continue
		}
		for _, owned := range status.Targets {
			if owned.Target == target && status.MayAct {
				return h, owned.Epoch
			}
		}
	}
	return nil, 0
}

// memberStatus returns the state of a member as reported by observer. It returns the
// zero value if observer does not answer or does not know the member.
func (b *testbed) memberStatus(observer, member *host) operatorapi.Member {
	status, err := b.operator.StatusAt(context.Background(), observer.operatorAddr)
	if err != nil {
		return operatorapi.Member{}
	}
	for _, m := range status.Members {
		if string(m.Host) == member.name {
			return m
		}
	}
	return operatorapi.Member{}
}

// checkTargets checks the invariants at the targets, which must hold whatever faults
// occurred: no cold engine is sent more requests than its cold limit, no cache block
// is used for another workspace, prompt or version, and no order runs twice.
func (b *testbed) checkTargets() {
	b.t.Helper()
	for i, engine := range b.engines {
		counts := engine.Counts()
		require.Zero(b.t, counts.Overloads, "engine %d: requests beyond the cold limit", i)
		require.LessOrEqual(b.t, counts.PeakCold, coldLimit, "engine %d", i)
		require.Zero(b.t, counts.ForeignReads, "engine %d: reads of blocks of another workspace, prompt or version", i)
	}
	require.Zero(b.t, b.service.Counts().Repeated, "orders that ran twice")
}
